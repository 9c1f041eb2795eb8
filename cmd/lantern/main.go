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
	"dahlialock/internal/pier"
	"dahlialock/internal/props"
	"dahlialock/platform"
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
	callersKey := key
	if settings.Admission == props.AdmissionOpen {
		callersKey = nil
	}
	machine := lamp.New(lamp.Props{Self: self, Tender: settings.Tender, Key: key, OriginsMost: settings.OriginsMost, Processor: processorTime,
		// A sixth of the time in which a version is to be in force is left for news
		// on its way, and two fifths of the grace for what comes after the callers.
		ConfirmedFor: settings.Bounds.Apply * 5 / 6, StopWithin: settings.Bounds.Grace * 3 / 5,
	})
	built := berth.Build{
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
		Caller:  func(at *berth.Berth) http.Handler { return mooring.New(settings.Name, callersKey, at) },
		Reload:  func(after props.Props) { machine.SetOriginsMost(after.OriginsMost) },
		Adapter: platform.Adapter(settings),
	}
	if settings.Callers == props.CallersLines {
		serveLines(&built, settings, callersKey)
	}
	return built, nil
}

// serveLines has callers speak lines in place of HTTP.
func serveLines(built *berth.Build, settings props.Props, key []byte) {
	var served *pier.Pier
	var admit func(origin, token string) bool
	if len(key) > 0 {
		admit = func(origin, token string) bool { return mooring.Origin(key, token) == origin }
	}
	own := built.Counters
	built.Counters = func() any { return map[string]any{"machine": own(), "callers": served.Sums()} }
	built.Callers = func(at *berth.Berth, address string) (berth.Server, error) {
		var fault error
		served, fault = pier.Start(pier.Props{
			Address: address, Berth: at, Protocol: platform.Lines{}, Admit: admit, Silent: 3 * settings.Bounds.Ping,
			// A few more than may open a channel, so that they are told to go elsewhere.
			ConnectionsMost: settings.OriginsMost + settings.OriginsMost/10 + 64,
		})
		return served, fault
	}
}
