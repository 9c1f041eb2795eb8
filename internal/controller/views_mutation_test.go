//go:build mutation

package controller

import (
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

func TestBoundOnViewsIsNeeded(t *testing.T) {
	bounded, _ := viewsOnSlowLink(t)
	restore := statemachine.Mutate("views-again")
	views, _ := viewsOnSlowLink(t)
	restore()
	assert.Assert(t, views > bounded, "%d views for all polls, %d bounded", views, bounded)
	restore = statemachine.Mutate("late-answers-unheard")
	_, firstViewAfter := viewsOnSlowLink(t)
	restore()
	assert.Equal(t, int64(firstViewAfter), int64(0), "a late answer was accepted")
}
