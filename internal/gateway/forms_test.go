package gateway

import (
	"reflect"
	"testing"

	"dahlialock/internal/storedforms"
)

func storedForms() []storedforms.Form {
	return []storedforms.Form{
		{Name: "cursor", Type: reflect.TypeFor[cursor]()},
	}
}

func TestStoredFormsKeepTheirBytes(t *testing.T) {
	storedforms.CheckBytes(t, "forms.txt", storedForms())
}

func TestStoredFormsKeepTheirLayout(t *testing.T) {
	storedforms.CheckLayout(t, "forms-layout.txt", storedForms())
}

func TestStoredFormsHaveExplicitKeys(t *testing.T) { storedforms.CheckKeys(t, storedForms()) }

var cursorKey = []byte("recorded-key-0123456")

// sampleCursors returns a cursor of a client that has received all messages up to the floor, one with
// gaps above the floor, and one of a client that saw ephemeral messages.
func sampleCursors() []cursor {
	withoutGaps := cursor{
		Layout:     cursorLayout,
		Client:     "origin-1",
		Interests:  []Interest{{Space: "orders", Path: "a/b"}, {Space: "orders", Path: "a", Prefix: true}},
		Partitions: map[string]position{"orders~1/0": {Floor: 17}, "orders~1/7": {}},
		Marks:      map[string]map[string]uint64{},
	}
	withGaps := withoutGaps
	withGaps.Partitions = map[string]position{
		"orders~1/0": {Floor: 70000, Extras: []uint64{70002, 70009}, Since: map[string]uint64{"ta/b": 70001, "wa": 3}},
	}
	withEphemeral := withoutGaps
	withEphemeral.Partitions = map[string]position{}
	withEphemeral.Marks = map[string]map[string]uint64{"pulse": {"sender-1": 5, "sender-2": 1 << 40}}
	return []cursor{withoutGaps, withGaps, withEphemeral}
}

func TestRecordedCursorsAreReadAndWrittenAsBefore(t *testing.T) {
	var lines []string
	for _, sample := range sampleCursors() {
		lines = append(lines, seal(cursorKey, sample))
	}
	storedforms.Compare(t, "cursors.txt", lines)
	recorded, _ := storedforms.Recorded(t, "cursors.txt", lines)
	for position, text := range recorded {
		decoded, code := openCursor(cursorKey, "origin-1", text)
		if code != "" {
			t.Errorf("cursor %d is rejected as %s", position+1, code)
			continue
		}
		if again := seal(cursorKey, decoded); again != text {
			t.Errorf("cursor %d, decoded and encoded again, is\n\t%s\nnot\n\t%s", position+1, again, text)
		}
		if !reflect.DeepEqual(decoded, sampleCursors()[position]) {
			t.Errorf("cursor %d is read as %v", position+1, decoded)
		}
		if _, code := openCursor(cursorKey, "origin-2", text); code != "other-origin" {
			t.Errorf("cursor %d of another client is rejected as %q", position+1, code)
		}
		if _, code := openCursor([]byte("another-key-01234567"), "origin-1", text); code != CodeBadCursor {
			t.Errorf("cursor %d under another key is rejected as %q", position+1, code)
		}
	}
}
