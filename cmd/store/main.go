// The store daemon: the store with a small disk.
package main

import (
	"os"
	"time"

	"dahlialock/internal/daemon"
	"dahlialock/internal/membership"
	"dahlialock/internal/partition"
	"dahlialock/internal/settings"
	"dahlialock/platform"
)

func main() {
	os.Exit(daemon.Main(membership.KindStore, os.Args[1:], build))
}

func build(current settings.Settings, self membership.Member, stored daemon.Stored) (daemon.Build, error) {
	machine, err := partition.New(partition.Settings{
		Self: self, Seeds: current.Seeds, NewDisk: stored.NewDisk, Incarnation: stored.Incarnation,
		RedeliveryWindow: current.Bounds.Redeliver, Acknowledge: current.Bounds.Acknowledge, ShutdownGrace: current.Bounds.Grace,
	}, stored.Frame, stored.Entries)
	if err != nil {
		return daemon.Build{}, err
	}
	return daemon.Build{
		Machine: machine,
		Ready:   func(time.Time) bool { return machine.Ready() },
		Stop:    partition.Stop{},
		Request: func(local uint64, method, path string, body []byte) any {
			return partition.Request{Local: local, Method: method, Path: path, Body: body}
		},
		Find: func(local uint64, request, message, origin string) any {
			return partition.FindDecisions{Local: local, Request: request, Message: message, Session: origin}
		},
		Counters: func() any { return map[string]any{"store": machine.Counts, "partitions": machine.Partitions()} },
		Adapter:  platform.Adapter(current),
	}, nil
}
