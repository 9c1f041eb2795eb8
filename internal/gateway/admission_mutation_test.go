//go:build mutation

package gateway_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

func TestAdmissionMutationAdmitsAll(t *testing.T) {
	defer statemachine.Mutate("all-admitted")()
	fixture := newFixture(t)
	fixture.gateway.SetLinkBytesPerSecond(slowLink)
	assert.Equal(t, admitAll(t, fixture, 300), 300)
}
