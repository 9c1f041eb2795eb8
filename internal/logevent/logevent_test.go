package logevent

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

func TestCatalogueMatchesDocs(t *testing.T) {
	body, err := os.ReadFile("../../docs/events.md")
	assert.NilError(t, err)
	rows := map[string]bool{}
	for _, line := range strings.Split(string(body), "\n") {
		if strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| number") && !strings.HasPrefix(line, "| ---") {
			rows[line] = true
		}
	}
	assert.Equal(t, len(rows), len(Catalogue))
	for number, description := range Catalogue {
		level := strings.Replace(description.Level.String(), "warning", "warn", 1)
		row := fmt.Sprintf("| %d | %s | %s |", number, level, description.Text)
		assert.Assert(t, rows[row], "docs/events.md has no row %s", row)
	}
}

func TestLoggerWritesOneLinePerEvent(t *testing.T) {
	var written bytes.Buffer
	New(&written, "gateway-1", logrus.InfoLevel).Report(MemberLost, "member", "store-2")
	var line map[string]any
	assert.NilError(t, json.Unmarshal(written.Bytes(), &line))
	assert.Equal(t, line["number"], float64(MemberLost))
	assert.Equal(t, line["member"], "store-2")
	assert.Equal(t, line["daemon"], "gateway-1")
	assert.Equal(t, strings.Count(written.String(), "\n"), 1)
}
