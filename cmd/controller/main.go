// The controller daemon: the coordinator, as primary, backup or witness.
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
	os.Exit(daemon.Main(membership.KindController, os.Args[1:], build))
}

func build(current settings.Settings, self membership.Member, stored daemon.Stored) (daemon.Build, error) {
	machine, err := controller.New(controller.Settings{
		Self: self, Count: current.Controllers, Seeds: current.Seeds, Founding: current.Bootstrap, Tolerance: &current.Tolerance,
		NewDisk: stored.NewDisk, Incarnation: stored.Incarnation, Acknowledge: current.Bounds.Acknowledge, Contact: current.Bounds.Contact, Highest: current.Versions == settings.VersionsHighest, Grace: current.Bounds.Grace,
	}, stored.Frame, stored.Entries)
	if err != nil {
		return daemon.Build{}, err
	}
	return daemon.Build{
		Machine: machine,
		Ready:   func(time.Time) bool { return machine.Ready() },
		Stop:    controller.Stop{},
		Request: func(local uint64, method, path string, body []byte) any {
			return controller.Request{Local: local, Method: method, Path: path, Body: body}
		},
		Counters: func() any {
			record := machine.Node().Record()
			return map[string]any{
				"epoch": record.Epoch, "primary": record.Primary, "backups": record.Backups, "index": machine.Node().AppliedIndex(),
				"complete": machine.Node().CompleteEpoch(), "holds_lease": machine.Node().HoldsLease(time.Now()),
			}
		},
		Reload:  func(after settings.Settings) { machine.SetTolerance(after.Tolerance) },
		Adapter: platform.Adapter(current),
	}, nil
}
