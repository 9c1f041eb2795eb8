package agent_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/agent"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

const gateway = "10.0.0.1:1"

func startAgent(at time.Time) *agent.Agent {
	machine := agent.New(agent.Settings{
		Self:    membership.Member{Name: "agent-1", Kind: membership.KindAgent},
		Seeds:   []string{"10.0.0.9:1"},
		Gateway: gateway,
	})
	var effects statemachine.Effects
	machine.Start(at, &effects)
	return machine
}

// stop sends the command Stop to an agent and reports whether the agent stops at once.
func stop(machine *agent.Agent, at time.Time) bool {
	var effects statemachine.Effects
	machine.HandleCommand(at, agent.Stop{}, &effects)
	return effects.Stop
}

func TestAgentWithoutGatewayStopsAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	assert.Assert(t, stop(startAgent(now), now))
}

func TestAgentStopsAfterItsGateway(t *testing.T) {
	now := time.Unix(1000, 0)
	machine := startAgent(now)
	var effects statemachine.Effects
	machine.HandleMessage(now, statemachine.Meta{From: gateway}, membership.ViewRequest{Nonce: 1}, &effects)
	now = now.Add(time.Second)
	assert.Assert(t, !stop(machine, now))
	// The graceful leave of a daemon other than the gateway has no effect.
	effects = statemachine.Effects{}
	machine.HandleMessage(now, statemachine.Meta{From: "10.0.0.5:1"}, membership.GracefulLeave{Name: "other"}, &effects)
	assert.Assert(t, !effects.Stop)
	machine.HandleMessage(now, statemachine.Meta{From: gateway}, membership.GracefulLeave{Name: "gateway-1"}, &effects)
	assert.Assert(t, effects.Stop)
}

func TestAgentStopsAfterTimeout(t *testing.T) {
	now := time.Unix(1000, 0)
	machine := startAgent(now)
	var effects statemachine.Effects
	machine.HandleMessage(now, statemachine.Meta{From: gateway}, membership.ViewRequest{Nonce: 1}, &effects)
	assert.Assert(t, !stop(machine, now))
	for until := now.Add(4 * time.Second); !effects.Stop && !now.After(until); now = now.Add(100 * time.Millisecond) {
		machine.Tick(now, &effects)
	}
	assert.Assert(t, effects.Stop)
}
