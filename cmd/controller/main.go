// Controller is the daemon that coordinates the fleet, as primary, backup or witness.
package main

import (
	"os"
	"time"

	"dahlialock/internal/controller"
	"dahlialock/internal/daemon"
	"dahlialock/internal/membership"
	"dahlialock/internal/settings"
	"dahlialock/platform"
)

func main() {
	os.Exit(int(daemon.Main(membership.KindController, os.Args[1:], build)))
}

func build(current settings.Settings, self membership.Member, stored daemon.StoredState) (daemon.Service, error) {
	machine, err := controller.New(controller.Settings{
		Self:               self,
		ControllerCount:    current.Controllers,
		Seeds:              current.Seeds,
		Bootstrap:          current.Bootstrap,
		Tolerance:          &current.Tolerance,
		NewDisk:            stored.NewDisk,
		Incarnation:        stored.Incarnation,
		AcknowledgeTimeout: current.Timeouts.Acknowledge,
		ContactTimeout:     current.Timeouts.Contact,
		HighestWins:        current.VersionPolicy == settings.VersionPolicyHighest,
		StopGracePeriod:    current.Timeouts.Grace,
	}, stored.Snapshot, stored.Entries)
	if err != nil {
		return daemon.Service{}, err
	}
	return daemon.Service{
		Machine:     machine,
		Ready:       func(time.Time) bool { return machine.Ready() },
		StopCommand: controller.Stop{},
		OperatorRequest: func(local uint64, method, path string, body []byte) any {
			return controller.Request{Local: local, Method: method, Path: path, Body: body}
		},
		Counters: func() any {
			record := machine.Node().Record()
			return map[string]any{
				"epoch": record.Epoch, "primary": record.Primary, "backups": record.Backups, "index": machine.Node().AppliedIndex(),
				"complete": machine.Node().CompleteEpoch(), "holds_lease": machine.Node().HoldsLease(time.Now()),
			}
		},
		Reload:         func(after settings.Settings) { machine.SetTolerance(after.Tolerance) },
		ControlAdapter: platform.Adapter(current),
	}, nil
}
