// Agent is the daemon that runs next to each gateway, on the same machine.
package main

import (
	"os"
	"time"

	"dahlialock/internal/agent"
	"dahlialock/internal/daemon"
	"dahlialock/internal/membership"
	"dahlialock/internal/settings"
	"dahlialock/platform"
)

func main() {
	os.Exit(int(daemon.Main(membership.KindAgent, os.Args[1:], build)))
}

func build(current settings.Settings, self membership.Member, stored daemon.StoredState) (daemon.Service, error) {
	machine := agent.New(agent.Settings{
		Self:               self,
		Seeds:              current.Seeds,
		Gateway:            current.GatewayAddress,
		AcknowledgeTimeout: current.Timeouts.Acknowledge,
		Incarnation:        stored.Incarnation,
	})
	return daemon.Service{
		Machine:     machine,
		Ready:       func(time.Time) bool { return machine.Ready() },
		StopCommand: agent.Stop{},
		OperatorRequest: func(local uint64, method, path string, body []byte) any {
			return agent.Request{Local: local, Method: method, Path: path, Body: body}
		},
		Counters:       func() any { return map[string]any{} },
		ControlAdapter: platform.Adapter(current),
	}, nil
}
