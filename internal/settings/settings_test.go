// Settings as a daemon reads them: what holds where nothing is said, each fault
// with its path, and how a changed file is noticed where the system tells of no
// changes.
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

func source(t *testing.T, kind, text string, flags ...string) (*settings.Loader, string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	write(t, path, text)
	made, err := settings.ParseFlags(kind, append([]string{"-settings", path}, flags...))
	assert.NilError(t, err)
	return made, path
}

func TestSettingsThatSayLittle(t *testing.T) {
	made, _ := source(t, "store", `{`+storeBase+`,"seeds":["10.1.0.9:8264"]}`)
	read, err := made.Load()
	assert.NilError(t, err)
	assert.DeepEqual(t, read.Seeds, []string{"10.1.0.9:8264"})
	assert.Equal(t, read.Controllers, 5)
	assert.Equal(t, read.Tolerance, 1)
	assert.Equal(t, read.Timeouts, settings.DefaultTimeouts())
	assert.Equal(t, read.ClientProtocol, settings.ClientProtocolJSON)
	assert.Equal(t, read.AdmissionMode, settings.AdmissionToken)
	assert.Equal(t, read.VersionPolicy, settings.VersionsStrict)
	assert.Equal(t, read.OperatorProtocol, settings.OperatorProtocolJSON)
	assert.Assert(t, !read.Bootstrap)
	assert.Equal(t, read.MemoryLimit(), int64(math.MaxInt64))
}

func TestSettingsThatSayAll(t *testing.T) {
	made, _ := source(t, "store", `{`+storeBase+`,"seeds":["10.1.0.9:8264","10.2.0.9:8264"],"seeds_port":7120,"controllers":0,"bootstrap":true,
		"tolerance":2,"bounds":{"contact":"4000ms","catch_up":"4.1s","presence":"5000ms"},"callers":"lines","admission":"open",
		"versions":"highest","memory":"200MB","link":"2.6Mbit/s"}`)
	current, err := made.Load()
	assert.NilError(t, err)
	assert.DeepEqual(t, current.Seeds, []string{"10.1.0.9:7120", "10.2.0.9:7120"})
	assert.Equal(t, current.Controllers, 0)
	assert.Assert(t, current.Bootstrap)
	assert.Equal(t, current.Tolerance, 2)
	assert.Equal(t, current.Timeouts.CatchUp, 4100*time.Millisecond)
	assert.Equal(t, current.Timeouts.Contact, 4*time.Second)
	assert.Equal(t, current.ClientProtocol, settings.ClientProtocolLines)
	assert.Equal(t, current.AdmissionMode, settings.AdmissionOpen)
	assert.Equal(t, current.VersionPolicy, settings.VersionsHighest)
	assert.Equal(t, current.MemoryBytes, int64(200e6))
	assert.Equal(t, current.MemoryLimit(), int64(160e6))
	assert.Equal(t, current.LinkBytesPerSecond, 325_000)
}

func TestFlagsGoBeforeTheFile(t *testing.T) {
	made, _ := source(t, "store", `{`+storeBase+`,"seeds":["10.1.0.9:1"],"tolerance":2}`,
		"-seeds-port=7120", "-bootstrap=true", "-tolerance=0", "-bounds=ping=1s,grace=7s", "-memory=64MiB")
	current, err := made.Load()
	assert.NilError(t, err)
	assert.DeepEqual(t, current.Seeds, []string{"10.1.0.9:7120"})
	assert.Assert(t, current.Bootstrap)
	assert.Equal(t, current.Tolerance, 0)
	assert.Equal(t, current.Timeouts.Ping, time.Second)
	assert.Equal(t, current.Timeouts.Grace, 7*time.Second)
	assert.Equal(t, current.MemoryBytes, int64(64<<20))
}

func TestEveryFaultIsToldWithItsPath(t *testing.T) {
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
		made, _ := source(t, "store", `{`+storeBase+seeds+`,`+text+`}`)
		_, err := made.Load()
		assert.Assert(t, err != nil, text)
		assert.Assert(t, strings.Contains(err.Error(), path+":") || strings.Contains(err.Error(), path+" "), "%s: %v", text, err)
	}
}

func TestKeyIsWantedUnlessAdmissionIsOpen(t *testing.T) {
	const gateway = `"name":"gateway-1","zone":"east","address":"10.1.0.2:7120","ctl":"10.1.0.2:8268","caller":"10.1.0.2:8266","agent":"10.1.0.2:7121"`
	made, _ := source(t, "gateway", `{`+gateway+`}`)
	_, err := made.Load()
	assert.ErrorContains(t, err, "$.key")
	made, _ = source(t, "gateway", `{`+gateway+`,"admission":"open"}`)
	_, err = made.Load()
	assert.NilError(t, err)
}

func TestFormsOfOperatorsAreRegistered(t *testing.T) {
	settings.MustRegisterOperatorProtocol("signals")
	made, _ := source(t, "store", `{`+storeBase+`,"seeds":["10.1.0.9:1"],"operators":"signals"}`)
	current, err := made.Load()
	assert.NilError(t, err)
	assert.Equal(t, current.OperatorProtocol, "signals")
}

func TestWhatOnlyAStartReadsMayChange(t *testing.T) {
	before := settings.Settings{Name: "a", Seeds: []string{"10.1.0.9:1"}, Bootstrap: true, Tolerance: 1}
	after := before
	after.Seeds, after.Bootstrap, after.Tolerance, after.MemoryBytes, after.LinkBytesPerSecond = nil, false, 2, 1<<30, 325_000
	assert.Equal(t, len(settings.ImmutableChanges(before, after)), 0)
	after.ClientProtocol, after.Name = settings.ClientProtocolLines, "b"
	assert.DeepEqual(t, settings.ImmutableChanges(before, after), []string{"callers", "name"})
}

// The ticks are handed over one by one: once a second one is taken, the first
// has had its whole effect.
func TestChangedContentIsToldOnce(t *testing.T) {
	whole := `{` + storeBase + `,"seeds":["10.1.0.9:1"]}`
	made, path := source(t, "store", whole)
	_, err := made.Load()
	assert.NilError(t, err)
	ticks := make(chan time.Time)
	defer close(ticks)
	changed := made.Poll(ticks)
	told := func() bool {
		ticks <- time.Time{}
		ticks <- time.Time{}
		select {
		case <-changed:
			return true
		default:
			return false
		}
	}
	assert.Assert(t, !told(), "nothing has changed")
	for _, step := range []struct {
		name   string
		change func()
		faulty bool
	}{
		{name: "half-written", change: func() { write(t, path, whole[:20]) }, faulty: true},
		{name: "missing", change: func() { assert.NilError(t, os.Remove(path)) }, faulty: true},
		{name: "empty", change: func() { write(t, path, "") }, faulty: true},
		{name: "whole", change: func() { write(t, path, strings.Replace(whole, "}", `,"log_level":"warn"}`, 1)) }},
	} {
		step.change()
		assert.Assert(t, told(), step.name)
		_, err := made.Load()
		assert.Equal(t, err != nil, step.faulty, step.name)
		assert.Assert(t, !told(), "%s was told twice", step.name)
	}
}

func TestChannelsFollowTheDescriptors(t *testing.T) {
	const gatewayBase = `"name":"l","address":"10.1.0.1:1","ctl":"10.1.0.1:2","caller":"10.1.0.1:3","agent":"10.1.0.1:4","zone":"east","key":"0123456789abcdef"`
	for text, wanted := range map[string]int{
		``:                                      2000,
		`,"descriptors":4400`:                   3200,
		`,"descriptors":300`:                    1,
		`,"descriptors":4400,"origins_most":77`: 77,
	} {
		made, _ := source(t, "gateway", `{`+gatewayBase+text+`}`)
		current, err := made.Load()
		assert.NilError(t, err)
		assert.Equal(t, current.MaxSessions, wanted, text)
	}
}

func TestTheGreaterToleranceCounts(t *testing.T) {
	for text, wanted := range map[string]int{
		`,"tolerance_zones":1`:               1,
		`,"tolerance":0,"tolerance_zones":1`: 1,
		`,"tolerance":2,"tolerance_zones":1`: 2,
		`,"tolerance":0,"tolerance_zones":0`: 0,
		`,"tolerance":1,"tolerance_zones":3`: 3,
	} {
		made, _ := source(t, "store", `{`+storeBase+`,"seeds":["10.1.0.9:8264"]`+text+`}`)
		current, err := made.Load()
		assert.NilError(t, err)
		assert.Equal(t, current.Tolerance, wanted, text)
	}
}
