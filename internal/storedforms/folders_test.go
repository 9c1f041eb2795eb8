package storedforms_test

import (
	"fmt"
	"testing"

	"dahlialock/internal/controller"
	"dahlialock/internal/membership"
	"dahlialock/internal/storedforms"
	"dahlialock/internal/transport"
)

// controlFields has those fields of a controller's entry or snapshot that contain control state.
type controlFields struct {
	Command []byte `cbor:"Command"`
	State   []byte `cbor:"State"`
}

func TestControllerFoldersAreReadAsBefore(t *testing.T) {
	var lines []string
	for _, folder := range storedforms.Folders(t, ".", "controller") {
		self := membership.Member{Name: "controller-1", Address: "controller-1:1", Zone: "zone-1"}
		settings := controller.Settings{Self: self, ControllerCount: 3, Incarnation: 1}
		machine, err := controller.New(settings, folder.Snapshot, folder.Entries)
		if err != nil {
			t.Errorf("%s: %v", folder.Name, err)
			continue
		}
		lines = append(lines, fmt.Sprintf("%s: %d entries, %d bytes torn, index %d, complete %d, blank %t",
			folder.Name, len(folder.Entries), folder.TornBytes,
			machine.Node().AppliedIndex(), machine.Node().CompleteEpoch(), machine.Node().Blank()))
		lines = append(lines, storedforms.Describe(t, "epoch", machine.Node().Record())...)
		lines = append(lines, storedforms.Describe(t, "state", machine.State())...)
	}
	storedforms.Compare(t, "folders-controller.txt", lines)
}

func TestCommandsAndStatesInFoldersAreWrittenAsBefore(t *testing.T) {
	commands, states := 0, 0
	for _, folder := range storedforms.Folders(t, ".", "controller") {
		for position, packed := range append(folder.Entries, folder.Snapshot) {
			if len(packed) == 0 {
				continue
			}
			name := fmt.Sprintf("%s, entry %d", folder.Name, position)
			var fields controlFields
			if err := transport.Unmarshal(packed, &fields); err != nil {
				t.Errorf("%s: %v", name, err)
				continue
			}
			if len(fields.Command) > 0 {
				commands++
				storedforms.CheckRoundTrip[controller.Command](t, name, fields.Command)
			}
			if len(fields.State) > 0 {
				states++
				storedforms.CheckRoundTrip[controller.State](t, name, fields.State)
			}
		}
	}
	if commands < 20 || states < 5 {
		t.Errorf("only %d commands and %d states were found", commands, states)
	}
}
