package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"dahlialock/internal/storedforms"
)

// byKey returns the loaded value of each key of a daemon's settings, one line per key.
func byKey(read Settings) []string {
	bounds := read.Timeouts
	return []string{
		fmt.Sprint("name ", read.Name), fmt.Sprint("zone ", read.Zone), fmt.Sprint("address ", read.Address),
		fmt.Sprint("ctl ", read.ControlAddress), fmt.Sprint("caller ", read.ClientAddress),
		fmt.Sprint("agent ", read.AgentAddress), fmt.Sprint("gateway ", read.GatewayAddress),
		fmt.Sprint("seeds, seeds_port ", read.Seeds, read.SeedsPort),
		fmt.Sprint("data ", read.DataDir), fmt.Sprint("controllers ", read.Controllers), fmt.Sprint("key ", read.Key),
		fmt.Sprint("origins_most, descriptors ", read.MaxSessions), fmt.Sprint("log_level ", read.LogLevel),
		fmt.Sprint("bootstrap ", read.Bootstrap), fmt.Sprint("tolerance, tolerance_zones ", read.Tolerance),
		fmt.Sprint("callers ", read.ClientProtocol), fmt.Sprint("admission ", read.AdmissionMode),
		fmt.Sprint("versions ", read.VersionPolicy), fmt.Sprint("operators ", read.OperatorProtocol),
		fmt.Sprint("compression ", read.Compression), fmt.Sprint("traffic ", read.TrafficInterval),
		fmt.Sprint("memory ", read.MemoryBytes), fmt.Sprint("link ", read.LinkBytesPerSecond),
		fmt.Sprint("bounds.contact ", bounds.Contact), fmt.Sprint("bounds.acknowledge ", bounds.Acknowledge),
		fmt.Sprint("bounds.catch_up ", bounds.CatchUp), fmt.Sprint("bounds.drain ", bounds.Drain),
		fmt.Sprint("bounds.grace ", bounds.Grace), fmt.Sprint("bounds.apply ", bounds.Apply),
		fmt.Sprint("bounds.revert_slack ", bounds.RevertSlack), fmt.Sprint("bounds.recovery ", bounds.Recovery),
		fmt.Sprint("bounds.ping ", bounds.Ping), fmt.Sprint("bounds.resume ", bounds.Resume),
		fmt.Sprint("bounds.redeliver ", bounds.Redeliver), fmt.Sprint("bounds.presence ", bounds.Presence),
		fmt.Sprint("trial.delays ", read.Impairment.Delays), fmt.Sprint("trial.loss ", read.Impairment.Loss),
		fmt.Sprint("trial.cuts ", read.Impairment.Partitioned), fmt.Sprint("trial.mutes ", read.Impairment.OutboundBlocked),
		fmt.Sprint("trial.deaf ", read.Impairment.InboundBlocked), fmt.Sprint("trial.disk ", read.Impairment.DiskDelay),
	}
}

const minimal = `{"name":"d-1","zone":"east","address":"10.1.0.2:1","ctl":"10.1.0.2:2","caller":"10.1.0.2:3",
	"seeds":["10.1.0.9:1"],"data":"/data","agent":"10.1.0.2:4","gateway":"10.1.0.2:5","key":"a-key-of-16-bytes-or-more"}`

// complete has every key except descriptors and tolerance_zones, whose effects would be hidden by
// origins_most and tolerance. TestLoadKeepsKeysAndDefaults has a separate document with these two.
const complete = `{"name":"d-1","zone":"east","address":"10.1.0.2:1","ctl":"10.1.0.2:2","caller":"10.1.0.2:3",
	"seeds":["10.1.0.9:1","10.1.0.8:1"],"seeds_port":7,"data":"/data","agent":"10.1.0.2:4","gateway":"10.1.0.2:5",
	"key":"a-key-of-16-bytes-or-more","controllers":7,"bootstrap":true,"tolerance":2,"callers":"lines",
	"admission":"open","versions":"highest","operators":"json","compression":"far","traffic":"3s","memory":"64MiB",
	"link":"2.6Mbit/s","origins_most":77,"log_level":"debug",
	"bounds":{"contact":"1s","acknowledge":"2s","catch_up":"3s","drain":"4s","grace":"5s","apply":"6s",
		"revert_slack":"7s","recovery":"8s","ping":"9s","resume":"10s","redeliver":"11s","presence":"12s"},
	"trial":{"delays":{"10.":"1ms"},"loss":{"11.":0.25},"cuts":["12."],"mutes":["13."],"deaf":["14."],"disk":"5ms"}}`

func TestLoadKeepsKeysAndDefaults(t *testing.T) {
	var lines []string
	for _, kind := range []string{"agent", "controller", "gateway", "store"} {
		for name, text := range []string{
			minimal, complete,
			strings.Replace(minimal, `{`, `{"descriptors":1000,"tolerance_zones":3,`, 1),
			`{}`, `{"no":1,"bounds":{"no":"1s"},"trial":{"no":1},"callers":"x","log_level":"loud","memory":"1X"}`,
		} {
			lines = append(lines, fmt.Sprintf("%s, document %d", kind, name+1))
			lines = append(lines, readLines(t, kind, text)...)
		}
	}
	storedforms.Compare(t, "forms.txt", lines)
}

// readLines loads a document for a kind of daemon and returns a line per key. For faulty
// settings it returns only the paths of the faults, since their texts may be reworded.
func readLines(t *testing.T, kind, text string) []string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	loader, err := ParseFlags(kind, []string{"-trial", "-settings", path})
	if err != nil {
		t.Fatal(err)
	}
	read, err := loader.Load()
	if err == nil {
		return byKey(read)
	}
	var paths []string
	for _, fault := range strings.Split(err.Error(), "; ") {
		path, _, _ := strings.Cut(fault[strings.Index(fault, "$"):], ":")
		paths = append(paths, "faulty at "+path)
	}
	return paths
}

func TestParseFlagsKeepsFlagsAndChoices(t *testing.T) {
	flags := slices.Clone(keys)
	slices.Sort(flags)
	lines := []string{
		"keys " + strings.Join(flags, " "),
		fmt.Sprint("callers ", ClientProtocolJSON, " ", ClientProtocolLines),
		fmt.Sprint("admission ", AdmissionToken, " ", AdmissionOpen),
		fmt.Sprint("versions ", VersionPolicyStrict, " ", VersionPolicyHighest),
		fmt.Sprint("operators ", OperatorProtocolJSON),
		fmt.Sprint("compression ", CompressionNone, " ", CompressionCrossZone),
	}
	storedforms.Compare(t, "forms-words.txt", lines)
}
