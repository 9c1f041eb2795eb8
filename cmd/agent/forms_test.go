package main

import (
	"encoding/json"
	"testing"

	"dahlialock/internal/daemon"
	"dahlialock/internal/membership"
	"dahlialock/internal/settings"
	"dahlialock/internal/storedforms"
)

// TestCountersKeepTheirKeys guards the keys of the counters that operators read, on a new daemon.
func TestCountersKeepTheirKeys(t *testing.T) {
	var lines []string
	for _, callers := range []settings.ClientProtocol{settings.ClientProtocolJSON, settings.ClientProtocolLines} {
		current := settings.Settings{
			Name:             "agent-1",
			Kind:             membership.KindAgent,
			OperatorProtocol: settings.OperatorProtocolJSON,
			ClientProtocol:   callers,
			AdmissionMode:    settings.AdmissionOpen,
			Timeouts:         settings.DefaultTimeouts(),
		}
		self := membership.Member{Name: current.Name, Kind: current.Kind, Address: "127.0.0.1:1"}
		built, err := build(current, self, daemon.StoredState{NewDisk: "disk", Incarnation: 1})
		if err != nil {
			t.Fatal(err)
		}
		text, err := json.Marshal(built.Counters())
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, string(callers)+" "+string(text))
	}
	storedforms.Compare(t, "counters.txt", lines)
}
