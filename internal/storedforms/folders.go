package storedforms

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"dahlialock/internal/transport"
	"dahlialock/internal/wal"
)

// Folder is a recorded data folder with the state that the log recovered from it.
type Folder struct {
	Name string
	wal.Recovered
}

// Folders opens copies of the recorded data folders of a kind of daemon, which are in the
// testdata directory of this package. root is the relative path from the test's directory
// to this package.
func Folders(t *testing.T, root, kind string) []Folder {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(root, "testdata", "folders", kind+"-*"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("no recorded data folders of a %s (%v)", kind, err)
	}
	slices.Sort(paths)
	var folders []Folder
	for _, path := range paths {
		copied := t.TempDir()
		if err := os.CopyFS(copied, os.DirFS(path)); err != nil {
			t.Fatal(err)
		}
		folder, err := wal.OpenFileFolder(copied)
		if err != nil {
			t.Fatal(err)
		}
		_, recovered, err := wal.Open(folder)
		if err != nil || recovered.Blank {
			t.Fatalf("%s: blank %t, %v", path, recovered.Blank, err)
		}
		folders = append(folders, Folder{Name: filepath.Base(path), Recovered: recovered})
	}
	return folders
}

// Describe returns the encoded form of a value in cbor's diagnostic notation, split into
// lines, with the keys as they are stored on disk.
func Describe(t *testing.T, name string, value any) []string {
	t.Helper()
	packed, err := transport.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	text, err := cbor.Diagnose(packed)
	if err != nil {
		t.Fatal(err)
	}
	return strings.Split(name+": "+strings.ReplaceAll(text, "}, ", "},\n\t"), "\n")
}

// CheckRoundTrip decodes recorded bytes into a value, checks that encoding the value again
// gives the same bytes, and returns the value.
func CheckRoundTrip[T any](t *testing.T, name string, packed []byte) T {
	t.Helper()
	var value T
	if err := transport.Unmarshal(packed, &value); err != nil {
		t.Errorf("%s: %v", name, err)
		return value
	}
	encoded, err := transport.Marshal(value)
	if err != nil || string(encoded) != string(packed) {
		t.Errorf("%s: decoded and encoded again\n\t%x\nrecorded\n\t%x (%v)", name, encoded, packed, err)
	}
	return value
}
