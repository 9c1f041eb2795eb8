// These tests check restarts and catch-up after many changes: the amount of data that a controller
// reads from its disk, and that a new replica or member is sent, must depend on the size of the
// control state, not on the number of changes.
package controller

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
	"dahlialock/internal/wal"
)

// sizedDocument returns a configuration with a number of routes, and an annex text whose length is
// proportional to that number.
func sizedDocument(version uint64, routes int) []byte {
	const space = `{"name": "space-%d", "promise": "kept", "order": "topic", ` +
		`"holding": "35s", "answer_within": "%dms"}`
	var spaces, prefixes []string
	for number := range routes {
		spaces = append(spaces, fmt.Sprintf(space, number, 1000+version%500))
		prefixes = append(prefixes, fmt.Sprintf(`{"prefix": "topic%d.", "space": "space-%d"}`, number, number))
	}
	annex := strings.Repeat("annex ", 30*routes)
	return fmt.Appendf(nil, `{"version": %d, "spaces": [%s], "routes": [%s], "annex": %q}`,
		version, strings.Join(spaces, ", "), strings.Join(prefixes, ", "), annex)
}

// replayBytes returns the size of the log entries that a start reads in addition to the snapshot.
func replayBytes(recovered wal.Recovered) int {
	sum := 0
	for _, entry := range recovered.Entries {
		sum += len(entry)
	}
	return sum
}

// maxReplayBytes returns the maximum size of the log for the size of a snapshot. The log may exceed
// its limit by the command that triggers a new snapshot and by commands in flight.
func maxReplayBytes(snapshot, document int) int {
	return max(64<<10, 2*snapshot) + 3*document
}

func TestRestartReadsBySizeOfState(t *testing.T) {
	for _, routes := range []int{12, 100} {
		cluster, version := newControllerCluster(t, 3), 0
		for _, changes := range []int{10, 100, 500} {
			cluster.putConfigurations(version+1, changes-version, routes)
			version = changes
			for name, node := range statemachine.Sorted(cluster.nodes) {
				recovered := node.recoverDisk()
				read, snapshot := replayBytes(recovered), len(recovered.Snapshot)
				t.Logf("%d routes, %d changes, %s: snapshot %d bytes, log %d bytes in %d entries",
					routes, changes, name, snapshot, read, len(recovered.Entries))
				limit := maxReplayBytes(snapshot, len(sizedDocument(1, routes)))
				assert.Check(t, read <= limit, "%s reads %d bytes of log after %d changes, the state takes %d",
					name, read, changes, snapshot)
			}
		}
	}
}

// A new controller, a returning backup and a controller whose disk was lost must be sent the state,
// not the changes that led to it. The state itself has decisions on at most maxHistory versions.
func TestCatchUpSendsStateAndNotChanges(t *testing.T) {
	const routes = 12
	document := len(sizedDocument(1, routes))
	for _, changes := range []int{10, 100, maxHistory + 100} {
		cluster := newControllerCluster(t, 3)
		cluster.putConfigurations(1, changes, routes)
		record := cluster.primary().machine.node.Record()
		backup := cluster.nodes[record.Backups[0]]
		backup.kill()
		backup.disk.Wipe()
		clear(cluster.sent)
		// Another controller replaces the backup. Then the backup returns and is needed again.
		cluster.run(3 * time.Second)
		backup.start(false)
		cluster.run(3 * time.Second)
		cluster.nodes[cluster.primary().machine.node.Record().Backups[0]].kill()
		began := cluster.now
		cluster.putConfiguration(sizedDocument(uint64(changes+1), routes))
		took, state := cluster.now.Sub(began), len(cluster.primary().machine.state.Snapshot())
		sent := 0
		for what, bytes := range cluster.sent {
			if strings.Contains(what, "consensus.InstallSnapshot") || strings.Contains(what, "consensus.Append") {
				sent += bytes
			}
		}
		t.Logf("%d changes: the state takes %d bytes, %d bytes of state and commands were sent in %s",
			changes, state, sent, took)
		assert.Check(t, sent <= 5*state+5*document, "%d bytes were sent for a state of %d bytes", sent, state)
		assert.Check(t, took < time.Second, "%s", took)
		limit := 3*document + 64*maxHistory
		assert.Check(t, state < limit, "the state takes %d bytes after %d changes", state, changes)
	}
}

// powerLossRun puts many configurations while controllers lose power at random times, either one
// or all at once. Sometimes one of them also loses its disk.
type powerLossRun struct {
	*controllerCluster
	seed         uint64
	acknowledged uint64
	// lastWipe is when a disk was last lost.
	lastWipe  time.Time
	documents map[uint64][]byte
}

// checkServing checks that each controller that serves has all acknowledged configurations.
func (r *powerLossRun) checkServing() {
	for name, node := range statemachine.Sorted(r.nodes) {
		if !node.up || !node.machine.node.Serving(r.now) {
			continue
		}
		state := node.machine.state
		otherContent := state.Version > 0 && !slices.Equal(state.Document, r.documents[state.Version])
		if state.Version < r.acknowledged || otherContent {
			r.t.Fatalf("seed %d: %s serves version %d, but version %d was acknowledged",
				r.seed, name, state.Version, r.acknowledged)
		}
	}
}

// losePower cuts the power of one controller, or of all, and restarts them later. It does nothing
// while a controller is down.
func (r *powerLossRun) losePower() {
	names := slices.Sorted(maps.Keys(r.nodes))
	if slices.ContainsFunc(names, func(name string) bool { return !r.nodes[name].up }) {
		return
	}
	chosen := r.random.IntN(len(names))
	wipe := r.now.Sub(r.lastWipe) > 12*time.Second && r.primary() != nil && r.random.IntN(2) == 0
	all := r.random.IntN(4) == 0
	for position, name := range names {
		if position != chosen && !all {
			continue
		}
		node := r.nodes[name]
		node.kill()
		if position == chosen && wipe {
			node.disk.Wipe()
			r.lastWipe = r.now
		}
		r.after(time.Duration(r.random.IntN(1500))*time.Millisecond, func() { node.start(false) })
	}
}

// powerLossAtAnyPoint executes a powerLossRun, and returns how many snapshots were written.
func powerLossAtAnyPoint(t testingT, seed uint64) (snapshots int) {
	t.Helper()
	const changes, routes = 60, 12
	run := &powerLossRun{controllerCluster: newControllerCluster(t, 4), seed: seed, documents: map[uint64][]byte{}}
	run.random = rand.New(rand.NewPCG(seed, 0x5afe))
	run.lastWipe, run.check = run.now, run.checkServing
	for number := range uint64(changes) {
		if run.random.IntN(4) == 0 {
			run.after(time.Duration(run.random.IntN(20_000))*time.Microsecond, run.losePower)
		}
		version := number + 1
		run.documents[version] = sizedDocument(version, routes)
		run.putConfiguration(run.documents[version])
		run.acknowledged = version
	}
	for _, node := range run.nodes {
		snapshots += node.snapshots
	}
	return snapshots
}

func TestPowerLossAtAnyPointLosesNothing(t *testing.T) {
	snapshots := 0
	for seed := range uint64(25) {
		snapshots += powerLossAtAnyPoint(t, seed)
	}
	assert.Assert(t, snapshots > 100, "only %d snapshots were written", snapshots)
}

// A gateway, agent or store that missed many configurations must be sent only the newest document
// and the changes of the view.
func TestViewUpdateSendsOneDocument(t *testing.T) {
	var complete, incremental []int
	for _, changes := range []int{10, 100, 1000} {
		run := newReplacementRun(t, 1)
		index := run.state.Index
		for number := range changes {
			version := uint64(number + 2)
			run.apply(Command{Configuration: configured(version, string(sizedDocument(version, 12)))})
		}
		for _, since := range []uint64{0, index} {
			update := membership.ViewUpdate{
				Index:    run.state.Index,
				Version:  run.state.Version,
				Document: run.state.Document,
			}
			run.state.fillView(&update, since)
			if bytes := len(transport.MustMarshal(update)); since == 0 {
				complete = append(complete, bytes)
			} else {
				incremental = append(incremental, bytes)
			}
		}
	}
	t.Logf("bytes after 10, 100 and 1,000 changes: complete updates %v, incremental updates %v", complete, incremental)
	assert.Assert(t, slices.Max(complete) < slices.Min(complete)+64)
	assert.Assert(t, slices.Max(incremental) < slices.Min(incremental)+64)
}

// BenchmarkRestart measures a restart of the primary for different numbers of configuration
// changes and of routes in each configuration.
func BenchmarkRestart(b *testing.B) {
	for _, routes := range []int{12, 300} {
		for _, changes := range []int{10, 100, 1000} {
			b.Run(fmt.Sprintf("routes-%d/changes-%d", routes, changes), func(b *testing.B) {
				benchmarkRestart(b, routes, changes)
			})
		}
	}
}

func benchmarkRestart(b *testing.B, routes, changes int) {
	b.Helper()
	cluster := newControllerCluster(b, 3)
	cluster.putConfigurations(1, changes, routes)
	primary := cluster.primary()
	recovered := primary.recoverDisk()
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		_, recovered, err := wal.Open(primary.disk)
		assert.NilError(b, err)
		_, err = New(primary.settings(false), recovered.Snapshot, recovered.Entries)
		assert.NilError(b, err)
	}
	b.StopTimer()
	b.ReportMetric(float64(len(recovered.Entries)), "entries")
	b.ReportMetric(float64(replayBytes(recovered)), "log-B")
	b.ReportMetric(float64(len(recovered.Snapshot)), "frame-B")
}
