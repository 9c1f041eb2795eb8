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

// noLedger stands for the control state, which has tests of its own.
type noLedger struct{ applied, restored, bytes int }

func (nl *noLedger) Apply(_ time.Time, command []byte) {
	nl.applied++
	nl.bytes += len(command)
}
func (nl *noLedger) Snapshot() []byte { return nil }
func (nl *noLedger) Restore(packed []byte) error {
	nl.restored++
	nl.bytes += len(packed)
	return nil
}

func TestRecordedFoldersAreReadAsBefore(t *testing.T) {
	var lines []string
	for _, folder := range storedforms.Folders(t, "../storedforms", "controller") {
		if len(folder.Frame) > 0 {
			storedforms.CheckRewrite[diskFrame](t, folder.Name, folder.Frame)
		}
		for position, packed := range folder.Entries {
			storedforms.CheckRewrite[diskEntry](t, fmt.Sprintf("%s, entry %d", folder.Name, position), packed)
		}
		ledger := &noLedger{}
		settings := Settings{Self: Controller{Name: "controller-1"}, Count: 3, Incarnation: 1}
		watch, err := New(settings, ledger, folder.Frame, folder.Entries)
		if err != nil {
			t.Errorf("%s: %v", folder.Name, err)
			continue
		}
		lines = append(lines, fmt.Sprintf("%s: index %d, %d commands, %d states, %d bytes",
			folder.Name, watch.index, ledger.applied, ledger.restored, ledger.bytes))
		lines = append(lines, storedforms.Describe(t, "durable", watch.durable)...)
		lines = append(lines, storedforms.Describe(t, "spares", watch.heldFrames())...)
	}
	storedforms.Compare(t, "folders.txt", lines)
}
