//go:build mutation

package gateway_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

func TestAdmissionMutationAdmitsAll(t *testing.T) {
	defer statemachine.Mutate("all-admitted")()
	fleetlab := open(t)
	fleetlab.gateway.SetLink(thinLink)
	assert.Equal(t, letIn(t, fleetlab, 300), 300)
}
