package simulator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/agent"
	"dahlialock/internal/controller"
	"dahlialock/internal/gateway"
	"dahlialock/internal/membership"
	"dahlialock/internal/partition"
)

// The simulator must run the same state machines as the real daemons: runs with substitutes
// would prove nothing about the daemons.
func TestNodesRunTheDaemonsOwnMachines(t *testing.T) {
	fleet, _ := Prepare(5, Shape{Gateways: 3, Stores: 4, Controllers: 5, Zones: 3, Delay: time.Millisecond}, nil)
	assert.Equal(t, len(fleet.Nodes("")), 15)
	for _, node := range fleet.Nodes("") {
		var same bool
		switch node.Kind {
		case membership.KindGateway:
			_, same = node.Machine.(*gateway.Gateway)
		case membership.KindAgent:
			_, same = node.Machine.(*agent.Agent)
		case membership.KindStore:
			_, same = node.Machine.(*partition.Store)
		case membership.KindController:
			_, same = node.Machine.(*controller.Controller)
		}
		assert.Assert(t, same, node.Name)
	}
}
