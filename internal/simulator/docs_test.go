// Checks that every test, scenario and mutation named in the proof columns of
// docs/brief.md and docs/promises.md exists.
package simulator

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestDocsNameWhatExists(t *testing.T) {
	tests, mutated := map[string]bool{}, map[string]bool{}
	testName := regexp.MustCompile(`(?m)^func (Test\w+|Fuzz\w+)\(`)
	mutationCall := regexp.MustCompile(`statemachine\.Mutated\("([a-z-]+)"\)`)
	assert.NilError(t, filepath.WalkDir("../..", func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		body, err := os.ReadFile(path)
		for _, found := range testName.FindAllStringSubmatch(string(body), -1) {
			tests[found[1]] = true
		}
		for _, found := range mutationCall.FindAllStringSubmatch(string(body), -1) {
			mutated[found[1]] = true
		}
		return err
	}))
	quoted := regexp.MustCompile("`([^`]+)`")
	scenario := regexp.MustCompile(`^[a-z]+(-[a-z]+)*$`)
	checked := 0
	for _, page := range []struct {
		name    string
		columns []string
	}{{"brief.md", []string{"proof"}}, {"promises.md", []string{"provoked by", "seen red"}}} {
		body, err := os.ReadFile("../../docs/" + page.name)
		assert.NilError(t, err)
		var wanted []int
		for _, line := range strings.Split(string(body), "\n") {
			if !strings.HasPrefix(line, "|") {
				wanted = nil
				continue
			}
			cells := strings.Split(strings.Trim(line, "|"), " | ")
			if wanted == nil {
				wanted = []int{}
				for position, cell := range cells {
					if slices.Contains(page.columns, strings.TrimSpace(cell)) {
						wanted = append(wanted, position)
					}
				}
				continue
			}
			for _, position := range wanted {
				if position >= len(cells) {
					continue
				}
				for _, found := range quoted.FindAllStringSubmatch(cells[position], -1) {
					name := found[1]
					_, isScenario := Find(name)
					checked++
					switch {
					case strings.HasPrefix(name, "go test "):
						parts := strings.Fields(name)
						folder := parts[len(parts)-1]
						_, err := os.Stat(filepath.Join("../..", folder))
						assert.NilError(t, err, "%s: %s", page.name, name)
					case scenario.MatchString(name):
						assert.Check(t, isScenario || mutated[name], "%s names the scenario or mutation %q", page.name, name)
					default:
						assert.Check(t, tests[name], "%s names the test %q", page.name, name)
					}
				}
			}
		}
	}
	assert.Assert(t, checked > 100, "only %d names were found", checked)
}
