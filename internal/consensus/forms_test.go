package consensus

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"dahlialock/internal/storedforms"
)

func storedForms() []storedforms.Form {
	return []storedforms.Form{
		{Name: "entry", Type: reflect.TypeFor[diskEntry]()},
		{Name: "snapshot", Type: reflect.TypeFor[diskSnapshot]()},
	}
}

func TestStoredFormsKeepTheirBytes(t *testing.T) {
	storedforms.CheckBytes(t, "forms.txt", storedForms())
}

func TestStoredFormsKeepTheirLayout(t *testing.T) {
	storedforms.CheckLayout(t, "forms-layout.txt", storedForms())
}

func TestStoredFormsHaveExplicitKeys(t *testing.T) { storedforms.CheckKeys(t, storedForms()) }

// countingState is a substitute for the control state, which is tested in another package.
type countingState struct{ applied, restored, bytes int }

func (cs *countingState) Apply(_ time.Time, command []byte) {
	cs.applied++
	cs.bytes += len(command)
}
func (cs *countingState) Snapshot() []byte { return nil }
func (cs *countingState) Restore(packed []byte) error {
	cs.restored++
	cs.bytes += len(packed)
	return nil
}

func TestRecordedFoldersAreReadAsBefore(t *testing.T) {
	var lines []string
	for _, folder := range storedforms.Folders(t, "../storedforms", "controller") {
		if len(folder.Snapshot) > 0 {
			storedforms.CheckRoundTrip[diskSnapshot](t, folder.Name, folder.Snapshot)
		}
		for position, packed := range folder.Entries {
			storedforms.CheckRoundTrip[diskEntry](t, fmt.Sprintf("%s, entry %d", folder.Name, position), packed)
		}
		state := &countingState{}
		settings := Settings{Self: Controller{Name: "controller-1"}, ClusterSize: 3, Incarnation: 1}
		node, err := New(settings, state, folder.Snapshot, folder.Entries)
		if err != nil {
			t.Errorf("%s: %v", folder.Name, err)
			continue
		}
		lines = append(lines, fmt.Sprintf("%s: index %d, %d commands, %d states, %d bytes",
			folder.Name, node.appliedIndex, state.applied, state.restored, state.bytes))
		lines = append(lines, storedforms.Describe(t, "durable", node.hardState)...)
		lines = append(lines, storedforms.Describe(t, "spares", node.stagedSnapshots())...)
	}
	storedforms.Compare(t, "folders.txt", lines)
}
