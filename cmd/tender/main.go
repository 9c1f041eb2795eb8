// The tender daemon: the agent beside a lantern.
package main

import (
	"os"
	"time"

	"dahlialock/internal/beacon"
	"dahlialock/internal/berth"
	"dahlialock/internal/props"
	"dahlialock/internal/tender"
	"dahlialock/platform"
)

func main() {
	os.Exit(berth.Main(beacon.KindTender, os.Args[1:], build))
}

func build(settings props.Props, self beacon.Member, _ berth.Stored) (berth.Build, error) {
	machine := tender.New(tender.Props{Self: self, Seeds: settings.Seeds, Lantern: settings.Lantern})
	return berth.Build{
		Machine: machine,
		Ready:   func(time.Time) bool { return machine.Ready() },
		Stop:    tender.Stop{},
		Visit: func(local uint64, method, path string, body []byte) any {
			return tender.Visit{Local: local, Method: method, Path: path, Body: body}
		},
		Counters: func() any { return map[string]any{} },
		Adapter:  platform.Adapter(settings),
	}, nil
}
