//go:build mutation

package controlclient

import (
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// If incarnations have equal identifiers, an operator gets the response to another request.
func TestIncarnationIsNeeded(t *testing.T) {
	defer statemachine.Mutate("lives-alike")()
	responses := responsesToEarlierIncarnation(t)
	assert.Equal(t, len(responses), 1)
	assert.Equal(t, string(responses[0].Value.(membership.ControlResponse).Body), "another's")
}
