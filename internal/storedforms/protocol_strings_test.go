package storedforms_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"dahlialock/internal/daemon"
	"dahlialock/internal/logevent"
	"dahlialock/internal/storedforms"
)

func TestNumbersOfEventsStay(t *testing.T) {
	var lines []string
	for _, number := range slices.Sorted(maps.Keys(logevent.Catalogue)) {
		lines = append(lines, fmt.Sprintf("%d %s", number, logevent.Catalogue[number].Level))
	}
	storedforms.Compare(t, "events.txt", lines)
}

func TestExitCodesOfDaemonsStay(t *testing.T) {
	codes := []daemon.ExitCode{
		daemon.ExitOK, daemon.ExitFailed, daemon.ExitInvariant, daemon.ExitDisk, daemon.ExitSettings,
	}
	if !slices.Equal(codes, []daemon.ExitCode{0, 1, 2, 3, 64}) {
		t.Errorf("the exit codes are %v", codes)
	}
}

// protocolString matches the syntax of codes, decision steps, reasons and keys.
var protocolString = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9]*([-_][a-z0-9]+)*$`)

// tagKey matches the JSON key in a struct tag.
var tagKey = regexp.MustCompile(`json:"([^",]+)`)

// addProtocolStrings adds a string literal if it has the syntax of a
// protocol string, or its JSON key if it is a struct tag.
func addProtocolStrings(found map[string]bool, literal string) {
	text, err := strconv.Unquote(literal)
	if err != nil {
		return
	}
	if protocolString.MatchString(text) {
		found[text] = true
	}
	if key := tagKey.FindStringSubmatch(text); key != nil {
		found[key[1]] = true
	}
}

// protocolStrings returns all protocol strings among the string literals and struct tags
// of the programs, without those in tests.
func protocolStrings(t *testing.T) map[string]bool {
	t.Helper()
	found := map[string]bool{}
	for _, root := range []string{"../../internal", "../../cmd", "../../platform"} {
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			tree, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			ast.Inspect(tree, func(node ast.Node) bool {
				if literal, matches := node.(*ast.BasicLit); matches && literal.Kind == token.STRING {
					addProtocolStrings(found, literal.Value)
				}
				return true
			})
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return found
}

// TestProtocolStringsStay checks the strings that other programs compare with and that no
// other test in this package produces: each must still occur in the code.
func TestProtocolStringsStay(t *testing.T) {
	found := protocolStrings(t)
	recorded, _ := storedforms.Recorded(t, "words.txt", nil)
	for _, text := range recorded {
		for _, each := range strings.Fields(text)[1:] {
			if !found[each] {
				t.Errorf("%s %s no longer occurs in the code", strings.Fields(text)[0], each)
			}
		}
	}
}
