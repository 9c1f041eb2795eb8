//go:build mutation

package controller

import (
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

func TestWhatBoundsViewsIsNeeded(t *testing.T) {
	bounded, _ := slowView(t)
	restore := statemachine.Mutate("views-again")
	views, _ := slowView(t)
	restore()
	assert.Assert(t, views > bounded, "%d views for each question, %d bounded", views, bounded)
	restore = statemachine.Mutate("late-answers-unheard")
	_, taken := slowView(t)
	restore()
	assert.Equal(t, int64(taken), int64(0), "a late answer was taken")
}
