package partition

import (
	"crypto/sha256"
	"fmt"
	"reflect"
	"testing"
	"time"

	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
	"dahlialock/internal/storedforms"
)

func storedForms() []storedforms.Form {
	return []storedforms.Form{
		{Name: "entry", Type: reflect.TypeFor[diskEntry]()},
		{Name: "snapshot", Type: reflect.TypeFor[diskSnapshot]()},
		{Name: "log", Type: reflect.TypeFor[log]()},
	}
}

func TestStoredFormsKeepTheirBytes(t *testing.T) {
	storedforms.CheckBytes(t, "forms.txt", storedForms())
}

func TestStoredFormsKeepTheirLayout(t *testing.T) {
	storedforms.CheckLayout(t, "forms-layout.txt", storedForms())
}

func TestStoredFormsHaveExplicitKeys(t *testing.T) { storedforms.CheckKeys(t, storedForms()) }

func TestRecordedFoldersAreReadAsBefore(t *testing.T) {
	var lines []string
	for _, folder := range storedforms.Folders(t, "../storedforms", "store") {
		if len(folder.Snapshot) > 0 {
			storedforms.CheckRoundTrip[diskSnapshot](t, folder.Name, folder.Snapshot)
		}
		for position, packed := range folder.Entries {
			storedforms.CheckRoundTrip[diskEntry](t, fmt.Sprintf("%s, entry %d", folder.Name, position), packed)
		}
		settings := Settings{Self: membership.Member{Name: "store-1", Address: "store-1:1"}, Incarnation: 1}
		store, err := New(settings, folder.Snapshot, folder.Entries)
		if err != nil {
			t.Errorf("%s: %v", folder.Name, err)
			continue
		}
		lines = append(lines, fmt.Sprintf("%s: disk %s, %d entries, %d bytes torn, snapshot %x", folder.Name,
			store.disk, len(folder.Entries), folder.TornBytes, sha256.Sum256(snapshotOf(store))))
		for name, partition := range statemachine.Sorted(store.replicas) {
			lines = append(lines, storedforms.Describe(t, name, partition.log)...)
		}
	}
	storedforms.Compare(t, "folders.txt", lines)
}

// snapshotOf returns the snapshot that a store writes of the state that it has read.
func snapshotOf(store *Store) []byte {
	var effects statemachine.Effects
	store.checkpoint(time.Unix(1_700_000_000, 0), &effects)
	packed, _ := effects.Writes[0].SnapshotBytes()
	return packed
}
