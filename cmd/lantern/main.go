// The lantern daemon: the proxy that holds client connections.
package main

import (
	"net/http"
	"os"
	"syscall"
	"time"

	"dahlialock/internal/beacon"
	"dahlialock/internal/berth"
	"dahlialock/internal/lamp"
	"dahlialock/internal/mooring"
	"dahlialock/internal/props"
)

func main() {
	os.Exit(berth.Main(beacon.KindLantern, os.Args[1:], build))
}

// processorTime is what this process has used so far.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func build(settings props.Props, self beacon.Member, _ berth.Stored) (berth.Build, error) {
	key := []byte(settings.Key)
	machine := lamp.New(lamp.Props{Self: self, Tender: settings.Tender, Key: key, OriginsMost: settings.OriginsMost, Processor: processorTime})
	return berth.Build{
		Machine: machine,
		Ready:   func(now time.Time) bool { return machine.Ready(now) },
		Stop:    lamp.Stop{},
		Slow:    func(channel uint64) any { return lamp.CloseChannel{Channel: channel, Why: "slow"} },
		Visit: func(local uint64, method, path string, body []byte) any {
			return lamp.ControlVisit{Local: local, Method: method, Path: path, Body: body}
		},
		Find: func(local uint64, visit, message, origin string) any {
			return lamp.FindDecisions{Local: local, Visit: visit, Message: message, Origin: origin}
		},
		Counters: func() any {
			subscribing, publishing := machine.Fairway().Hosted()
			return map[string]any{
				"lantern": machine.Counts, "overlay": machine.Fairway().Counts, "peers_subscribing": subscribing, "peers_publishing": publishing,
				"load": machine.Load(), "orders": machine.Follower().Orders,
			}
		},
		Caller: func(at *berth.Berth) http.Handler { return mooring.New(settings.Name, key, at) },
		Reload: func(after props.Props) { machine.SetOriginsMost(after.OriginsMost) },
	}, nil
}
