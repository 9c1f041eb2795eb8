package settings_test

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/settings"
)

const storeBase = `"name":"store-1","zone":"east","address":"10.1.0.2:7120","ctl":"10.1.0.2:7121","data":"/data"`

func write(t *testing.T, path, text string) {
	t.Helper()
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
}

// newLoader writes a text to a settings file and returns a loader for it and its path.
func newLoader(t *testing.T, kind, text string, flags ...string) (*settings.Loader, string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	write(t, path, text)
	loader, err := settings.ParseFlags(kind, append([]string{"-settings", path}, flags...))
	assert.NilError(t, err)
	return loader, path
}

func TestLoadDefaults(t *testing.T) {
	loader, _ := newLoader(t, "store", `{`+storeBase+`,"seeds":["10.1.0.9:8264"]}`)
	current, err := loader.Load()
	assert.NilError(t, err)
	assert.DeepEqual(t, current.Seeds, []string{"10.1.0.9:8264"})
	assert.Equal(t, current.Controllers, 5)
	assert.Equal(t, current.Tolerance, 1)
	assert.Equal(t, current.Timeouts, settings.DefaultTimeouts())
	assert.Equal(t, current.ClientProtocol, settings.ClientProtocolJSON)
	assert.Equal(t, current.AdmissionMode, settings.AdmissionToken)
	assert.Equal(t, current.VersionPolicy, settings.VersionPolicyStrict)
	assert.Equal(t, current.OperatorProtocol, settings.OperatorProtocolJSON)
	assert.Assert(t, !current.Bootstrap)
	assert.Equal(t, current.MemoryLimit(), int64(math.MaxInt64))
}

func TestLoadAllSettings(t *testing.T) {
	loader, _ := newLoader(t, "store", `{`+storeBase+`,"seeds":["10.1.0.9:8264","10.2.0.9:8264"],"seeds_port":7120,
		"controllers":0,"bootstrap":true,"tolerance":2,
		"bounds":{"contact":"4000ms","catch_up":"4.1s","presence":"5000ms"},"callers":"lines","admission":"open",
		"versions":"highest","memory":"200MB","link":"2.6Mbit/s"}`)
	current, err := loader.Load()
	assert.NilError(t, err)
	assert.DeepEqual(t, current.Seeds, []string{"10.1.0.9:7120", "10.2.0.9:7120"})
	assert.Equal(t, current.Controllers, 0)
	assert.Assert(t, current.Bootstrap)
	assert.Equal(t, current.Tolerance, 2)
	assert.Equal(t, current.Timeouts.CatchUp, 4100*time.Millisecond)
	assert.Equal(t, current.Timeouts.Contact, 4*time.Second)
	assert.Equal(t, current.ClientProtocol, settings.ClientProtocolLines)
	assert.Equal(t, current.AdmissionMode, settings.AdmissionOpen)
	assert.Equal(t, current.VersionPolicy, settings.VersionPolicyHighest)
	assert.Equal(t, current.MemoryBytes, int64(200e6))
	assert.Equal(t, current.MemoryLimit(), int64(160e6))
	assert.Equal(t, current.LinkBytesPerSecond, 325_000)
}

func TestLoadFlagsTakePrecedence(t *testing.T) {
	loader, _ := newLoader(t, "store", `{`+storeBase+`,"seeds":["10.1.0.9:1"],"tolerance":2}`,
		"-seeds-port=7120", "-bootstrap=true", "-tolerance=0", "-bounds=ping=1s,grace=7s", "-memory=64MiB")
	current, err := loader.Load()
	assert.NilError(t, err)
	assert.DeepEqual(t, current.Seeds, []string{"10.1.0.9:7120"})
	assert.Assert(t, current.Bootstrap)
	assert.Equal(t, current.Tolerance, 0)
	assert.Equal(t, current.Timeouts.Ping, time.Second)
	assert.Equal(t, current.Timeouts.Grace, 7*time.Second)
	assert.Equal(t, current.MemoryBytes, int64(64<<20))
}

func TestLoadReportsFaultsWithPath(t *testing.T) {
	for text, path := range map[string]string{
		`"seeds_port":70000`:           "$.seeds_port",
		`"link":"2.6MB"`:               "$.link",
		`"link":"1kbit/s"`:             "$.link",
		`"link":"NaNMbit/s"`:           "$.link",
		`"link":2.6`:                   "$.link",
		`"seeds_port":"7120"`:          "$.seeds_port",
		`"bootstrap":1`:                "$.bootstrap",
		`"controllers":1`:              "$.controllers",
		`"controllers":4`:              "$.controllers",
		`"tolerance":4`:                "$.tolerance",
		`"tolerance":-1`:               "$.tolerance",
		`"bounds":5`:                   "$.bounds",
		`"bounds":{"stretch":"1s"}`:    "$.bounds.stretch",
		`"bounds":{"contact":"ms"}`:    "$.bounds.contact",
		`"bounds":{"contact":4000}`:    "$.bounds.contact",
		`"bounds":{"ping":"0s"}`:       "$.bounds.ping",
		`"callers":"words"`:            "$.callers",
		`"admission":"closed"`:         "$.admission",
		`"versions":"any"`:             "$.versions",
		`"operators":"unheard"`:        "$.operators",
		`"compression":"all"`:          "$.compression",
		`"memory":"284 MB"`:            "$.memory",
		`"memory":"MB"`:                "$.memory",
		`"memory":"9000000000000GiB"`:  "$.memory",
		`"memory":1024`:                "$.memory",
		`"memory":"-284MB"`:            "$.memory",
		`"unknown":1`:                  "$.unknown",
		`"seeds":["10.1.0.9"],"key":1`: "$.seeds[0]",
	} {
		seeds := `,"seeds":["10.1.0.9:1"]`
		if strings.HasPrefix(text, `"seeds":`) {
			seeds = ""
		}
		loader, _ := newLoader(t, "store", `{`+storeBase+seeds+`,`+text+`}`)
		_, err := loader.Load()
		assert.Assert(t, err != nil, text)
		names := strings.Contains(err.Error(), path+":") || strings.Contains(err.Error(), path+" ")
		assert.Assert(t, names, "%s: %v", text, err)
	}
}

func TestLoadRequiresKeyUnlessAdmissionIsOpen(t *testing.T) {
	const gateway = `"name":"gateway-1","zone":"east","address":"10.1.0.2:7120","ctl":"10.1.0.2:8268",` +
		`"caller":"10.1.0.2:8266","agent":"10.1.0.2:7121"`
	loader, _ := newLoader(t, "gateway", `{`+gateway+`}`)
	_, err := loader.Load()
	assert.ErrorContains(t, err, "$.key")
	loader, _ = newLoader(t, "gateway", `{`+gateway+`,"admission":"open"}`)
	_, err = loader.Load()
	assert.NilError(t, err)
}

func TestMustRegisterOperatorProtocolAddsChoice(t *testing.T) {
	const signals settings.OperatorProtocol = "signals"
	settings.MustRegisterOperatorProtocol(signals)
	loader, _ := newLoader(t, "store", `{`+storeBase+`,"seeds":["10.1.0.9:1"],"operators":"signals"}`)
	current, err := loader.Load()
	assert.NilError(t, err)
	assert.Equal(t, current.OperatorProtocol, signals)
}

func TestImmutableChangesAllowsWhatOnlyAStartReads(t *testing.T) {
	before := settings.Settings{Name: "a", Seeds: []string{"10.1.0.9:1"}, Bootstrap: true, Tolerance: 1}
	after := before
	after.Seeds, after.Bootstrap, after.Tolerance = nil, false, 2
	after.MemoryBytes, after.LinkBytesPerSecond = 1<<30, 325_000
	assert.Equal(t, len(settings.ImmutableChanges(before, after)), 0)
	after.ClientProtocol, after.Name = settings.ClientProtocolLines, "b"
	assert.DeepEqual(t, settings.ImmutableChanges(before, after), []string{"callers", "name"})
}

// The channel of ticks is unbuffered and received by one goroutine: once it has received a
// second tick, the first one is completely processed.
func TestPollNotifiesOncePerChange(t *testing.T) {
	complete := `{` + storeBase + `,"seeds":["10.1.0.9:1"]}`
	loader, path := newLoader(t, "store", complete)
	_, err := loader.Load()
	assert.NilError(t, err)
	ticks := make(chan time.Time)
	defer close(ticks)
	changed := loader.Poll(ticks)
	notified := func() bool {
		ticks <- time.Time{}
		ticks <- time.Time{}
		select {
		case <-changed:
			return true
		default:
			return false
		}
	}
	assert.Assert(t, !notified(), "nothing has changed")
	for _, step := range []struct {
		name   string
		change func()
		faulty bool
	}{
		{name: "half-written", change: func() { write(t, path, complete[:20]) }, faulty: true},
		{name: "missing", change: func() { assert.NilError(t, os.Remove(path)) }, faulty: true},
		{name: "empty", change: func() { write(t, path, "") }, faulty: true},
		{name: "complete", change: func() { write(t, path, strings.Replace(complete, "}", `,"log_level":"warn"}`, 1)) }},
	} {
		step.change()
		assert.Assert(t, notified(), step.name)
		_, err := loader.Load()
		assert.Equal(t, err != nil, step.faulty, step.name)
		assert.Assert(t, !notified(), "%s was reported twice", step.name)
	}
}

func TestLoadDerivesMaxSessionsFromDescriptors(t *testing.T) {
	const gatewayBase = `"name":"l","address":"10.1.0.1:1","ctl":"10.1.0.1:2","caller":"10.1.0.1:3",` +
		`"agent":"10.1.0.1:4","zone":"east","key":"0123456789abcdef"`
	for text, wanted := range map[string]int{
		``:                                      2000,
		`,"descriptors":4400`:                   3200,
		`,"descriptors":300`:                    1,
		`,"descriptors":4400,"origins_most":77`: 77,
	} {
		loader, _ := newLoader(t, "gateway", `{`+gatewayBase+text+`}`)
		current, err := loader.Load()
		assert.NilError(t, err)
		assert.Equal(t, current.MaxSessions, wanted, text)
	}
}

func TestLoadTakesTheGreaterTolerance(t *testing.T) {
	for text, wanted := range map[string]int{
		`,"tolerance_zones":1`:               1,
		`,"tolerance":0,"tolerance_zones":1`: 1,
		`,"tolerance":2,"tolerance_zones":1`: 2,
		`,"tolerance":0,"tolerance_zones":0`: 0,
		`,"tolerance":1,"tolerance_zones":3`: 3,
	} {
		loader, _ := newLoader(t, "store", `{`+storeBase+`,"seeds":["10.1.0.9:8264"]`+text+`}`)
		current, err := loader.Load()
		assert.NilError(t, err)
		assert.Equal(t, current.Tolerance, wanted, text)
	}
}
