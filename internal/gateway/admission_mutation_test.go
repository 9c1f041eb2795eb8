//go:build mutation

package gateway_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

func TestAdmissionMutationAdmitsAll(t *testing.T) {
	defer statemachine.Mutate("all-admitted")()
	fixture := open(t)
	fixture.gateway.SetLinkBytesPerSecond(thinLink)
	assert.Equal(t, admitAll(t, fixture, 300), 300)
}
