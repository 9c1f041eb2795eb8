//go:build mutation

// With the lives alike, a caller gets the answer to another one.
package controlclient

import (
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

func TestTheLifeIsNeeded(t *testing.T) {
	defer statemachine.Mutate("lives-alike")()
	returned := lateAnswer(t)
	assert.Equal(t, len(returned), 1)
	assert.Equal(t, string(returned[0].Value.(membership.ControlResponse).Body), "another's")
}
