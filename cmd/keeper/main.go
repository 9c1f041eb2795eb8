// The keeper daemon: the store with a small disk.
package main

import (
	"os"
	"time"

	"dahlialock/internal/beacon"
	"dahlialock/internal/berth"
	"dahlialock/internal/props"
	"dahlialock/internal/strand"
	"dahlialock/platform"
)

func main() {
	os.Exit(berth.Main(beacon.KindKeeper, os.Args[1:], build))
}

func build(settings props.Props, self beacon.Member, stored berth.Stored) (berth.Build, error) {
	machine, fault := strand.New(strand.Props{Self: self, Seeds: settings.Seeds, NewDisk: stored.NewDisk, Redeliver: settings.Bounds.Redeliver}, stored.Frame, stored.Entries)
	if fault != nil {
		return berth.Build{}, fault
	}
	return berth.Build{
		Machine: machine,
		Ready:   func(time.Time) bool { return machine.Ready() },
		Stop:    strand.Stop{},
		Visit: func(local uint64, method, path string, body []byte) any {
			return strand.Visit{Local: local, Method: method, Path: path, Body: body}
		},
		Find: func(local uint64, visit, message, origin string) any {
			return strand.FindDecisions{Local: local, Visit: visit, Message: message, Origin: origin}
		},
		Counters: func() any { return map[string]any{"keeper": machine.Counts, "strands": machine.Strands()} },
		Adapter:  platform.Adapter(settings),
	}, nil
}
