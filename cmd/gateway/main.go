// Gateway is the daemon that serves the connections of clients.
package main

import (
	"net/http"
	"os"
	"syscall"
	"time"

	"dahlialock/internal/daemon"
	"dahlialock/internal/gateway"
	"dahlialock/internal/httpapi"
	"dahlialock/internal/lineserver"
	"dahlialock/internal/membership"
	"dahlialock/internal/settings"
	"dahlialock/platform"
)

func main() {
	os.Exit(int(daemon.Main(membership.KindGateway, os.Args[1:], build)))
}

// processorTime returns the processor time that this process has used so far.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func build(current settings.Settings, self membership.Member, stored daemon.StoredState) (daemon.Service, error) {
	key := []byte(current.Key)
	clientKey := key
	if current.AdmissionMode == settings.AdmissionOpen {
		clientKey = nil
	}
	machine := gateway.New(gateway.Settings{
		Self:               self,
		Agent:              current.AgentAddress,
		Key:                key,
		MaxClients:         current.MaxSessions,
		LinkBytesPerSecond: current.LinkBytesPerSecond,
		ProcessorTime:      processorTime,
		Incarnation:        stored.Incarnation,
		// One sixth of the time within which a version must be in force is reserved for
		// updates in flight, and two fifths of the grace period for the rest of the
		// shutdown after the clients have moved.
		ConfirmedFor: current.Timeouts.Apply * 5 / 6,
		StopWithin:   current.Timeouts.Grace * 3 / 5,
		// The other half is for the transfer of the request to the gateway.
		RefreshWithin:      current.Timeouts.RevertSlack / 2,
		AcknowledgeTimeout: current.Timeouts.Acknowledge,
	})
	built := daemon.Service{
		Machine:          machine,
		Ready:            func(now time.Time) bool { return machine.Ready(now) },
		StopCommand:      gateway.Stop{},
		CloseSlowSession: func(channel uint64) any { return gateway.CloseSession{Session: channel, Reason: "slow"} },
		OperatorRequest: func(local uint64, method, path string, body []byte) any {
			return gateway.ControlRequest{Local: local, Method: method, Path: path, Body: body}
		},
		FindDecisions: func(local uint64, request, message, origin string) any {
			return gateway.FindDecisions{Local: local, Request: request, Message: message, Client: origin}
		},
		Counters: func() any {
			subscribing, publishing := machine.Overlay().PeerCounts()
			return map[string]any{
				"gateway":           machine.Counts,
				"overlay":           machine.Overlay().Counts,
				"peers_subscribing": subscribing,
				"peers_publishing":  publishing,
				"load":              machine.Load(),
				"orders":            machine.ViewClient().Directives,
			}
		},
		ClientHandler: func(at *daemon.EventLoop) http.Handler { return httpapi.New(current.Name, clientKey, at) },
		Reload: func(after settings.Settings) {
			machine.SetMaxClients(after.MaxSessions)
			machine.SetLinkBytesPerSecond(after.LinkBytesPerSecond)
		},
		ControlAdapter: platform.Adapter(current),
	}
	if current.ClientProtocol == settings.ClientProtocolLines {
		serveLines(&built, current, clientKey)
	}
	return built, nil
}

// serveLines serves clients with the line protocol instead of HTTP.
func serveLines(built *daemon.Service, current settings.Settings, key []byte) {
	var served *lineserver.Server
	var admit func(origin, token string) bool
	if len(key) > 0 {
		admit = func(origin, token string) bool { return httpapi.ClientOf(key, token) == origin }
	}
	machineCounters := built.Counters
	built.Counters = func() any {
		return map[string]any{"machine": machineCounters(), "callers": served.CounterValues(), "told": served.SentTotals()}
	}
	built.ListenClients = func(at *daemon.EventLoop, address string) (daemon.Server, error) {
		var err error
		served, err = lineserver.Start(lineserver.Settings{
			Address:        address,
			EventLoop:      at,
			Protocol:       platform.LineProtocol{},
			Admit:          admit,
			SilenceTimeout: 3 * current.Timeouts.Ping,
			// Some connections beyond the session limit are accepted, so that their clients
			// get an answer that refers them to another gateway.
			MaxConnections: current.MaxSessions + current.MaxSessions/10 + 64,
		})
		return served, err
	}
}
