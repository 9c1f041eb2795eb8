// The pilot daemon: the coordinator, as primary, backup or witness.
package main

import (
	"os"
	"time"

	"dahlialock/internal/beacon"
	"dahlialock/internal/berth"
	"dahlialock/internal/pilotage"
	"dahlialock/internal/props"
	"dahlialock/platform"
)

func main() {
	os.Exit(berth.Main(beacon.KindPilot, os.Args[1:], build))
}

func build(settings props.Props, self beacon.Member, stored berth.Stored) (berth.Build, error) {
	machine, fault := pilotage.New(pilotage.Props{
		Self: self, Count: settings.Pilots, Seeds: settings.Seeds, Founding: settings.Bootstrap, Tolerance: &settings.Tolerance,
		NewDisk: stored.NewDisk, Highest: settings.Versions == props.VersionsHighest,
	}, stored.Frame, stored.Entries)
	if fault != nil {
		return berth.Build{}, fault
	}
	return berth.Build{
		Machine: machine,
		Ready:   func(time.Time) bool { return machine.Ready() },
		Stop:    pilotage.Stop{},
		Visit: func(local uint64, method, path string, body []byte) any {
			return pilotage.Visit{Local: local, Method: method, Path: path, Body: body}
		},
		Counters: func() any {
			record := machine.Watch().Record()
			return map[string]any{
				"epoch": record.Epoch, "primary": record.Primary, "backups": record.Backups, "index": machine.Watch().Index(),
				"complete": machine.Watch().Complete(), "holds_tenure": machine.Watch().HoldsTenure(time.Now()),
			}
		},
		Reload:  func(after props.Props) { machine.SetTolerance(after.Tolerance) },
		Adapter: platform.Adapter(settings),
	}, nil
}
