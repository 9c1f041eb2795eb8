package main

import (
	"encoding/json"
	"testing"

	"dahlialock/internal/daemon"
	"dahlialock/internal/membership"
	"dahlialock/internal/settings"
	"dahlialock/internal/storedforms"
)

// TestCountersKeepTheirKeys holds what ctl tells of a daemon that has just been made.
func TestCountersKeepTheirKeys(t *testing.T) {
	var lines []string
	for _, callers := range []string{settings.CallersJSON, settings.CallersLines} {
		current := settings.Settings{
			Name:      "store-1",
			Kind:      membership.KindStore,
			Operators: settings.OperatorsJSON,
			Callers:   callers,
			Admission: settings.AdmissionOpen,
			Bounds:    settings.DefaultBounds(),
		}
		self := membership.Member{Name: current.Name, Kind: current.Kind, Address: "127.0.0.1:1"}
		built, err := build(current, self, daemon.Stored{NewDisk: "disk", Incarnation: 1})
		if err != nil {
			t.Fatal(err)
		}
		text, err := json.Marshal(built.Counters())
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, callers+" "+string(text))
	}
	storedforms.Compare(t, "counters.txt", lines)
}
