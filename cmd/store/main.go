// Store is the daemon that keeps replicas of partitions on its disk.
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
	os.Exit(int(daemon.Main(membership.KindStore, os.Args[1:], build)))
}

func build(current settings.Settings, self membership.Member, stored daemon.StoredState) (daemon.Service, error) {
	machine, err := partition.New(partition.Settings{
		Self: self, Seeds: current.Seeds, NewDisk: stored.NewDisk, Incarnation: stored.Incarnation,
		RedeliveryWindow: current.Timeouts.Redeliver, AcknowledgeTimeout: current.Timeouts.Acknowledge,
		ShutdownGrace: current.Timeouts.Grace, MemoryBytes: current.MemoryBytes,
	}, stored.Snapshot, stored.Entries)
	if err != nil {
		return daemon.Service{}, err
	}
	return daemon.Service{
		Machine:     machine,
		Ready:       func(time.Time) bool { return machine.Ready() },
		StopCommand: partition.Stop{},
		OperatorRequest: func(local uint64, method, path string, body []byte) any {
			return partition.Request{Local: local, Method: method, Path: path, Body: body}
		},
		FindDecisions: func(local uint64, request, message, origin string) any {
			return partition.FindDecisions{Local: local, Request: request, Message: message, Session: origin}
		},
		Counters:       func() any { return map[string]any{"store": machine.Counts, "partitions": machine.Partitions()} },
		Reload:         func(after settings.Settings) { machine.SetMemoryBytes(after.MemoryBytes) },
		ControlAdapter: platform.Adapter(current),
	}, nil
}
