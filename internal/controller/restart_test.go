// Restarts after many changes: what a controller reads from its disk and what a
// newcomer is sent follow the size of the control state, not the number of changes
// that led to it.

package controller

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
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

const (
	linkDelay = time.Millisecond
	diskDelay = 2 * time.Millisecond
)

// reporter is what a run reports to: a test, a benchmark, or a proof that a run fails.
type reporter interface {
	assert.TestingT
	Helper()
	Fatalf(format string, values ...any)
}

type happening struct {
	at    time.Time
	order int
	run   func()
}

type happenings []happening

func (h happenings) Len() int { return len(h) }
func (h happenings) Less(left, right int) bool {
	if !h[left].at.Equal(h[right].at) {
		return h[left].at.Before(h[right].at)
	}
	return h[left].order < h[right].order
}
func (h happenings) Swap(left, right int) { h[left], h[right] = h[right], h[left] }
func (h *happenings) Push(item any)       { *h = append(*h, item.(happening)) }
func (h *happenings) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// council is a few controllers with real logs on disks in memory, on links and in a
// time of the test's own.
type council struct {
	t       reporter
	now     time.Time
	order   int
	queue   happenings
	seats   map[string]*seat
	request uint64
	returns map[uint64]membership.ControlResponse
	// sent counts the bytes of messages by receiver and type.
	sent map[string]int
	// random, if set, draws what a loss of power leaves, and judge looks at each moment.
	random *rand.Rand
	judge  func()
}

// seat is one controller's machine.
type seat struct {
	council *council
	name    string
	disk    *wal.MemoryFolder
	book    *wal.Log
	machine *Controller
	life    int
	up      bool
	// queue waits for the disk, and writing is what it does.
	queue     []statemachine.Write
	writing   []statemachine.Write
	busy      bool
	snapshots int
	timer     int
	// replayed is what the last start read.
	replayed wal.Recovered
}

func newCouncil(t reporter, seats int) *council {
	made := &council{t: t, now: time.Unix(1_700_000_000, 0), seats: map[string]*seat{}, returns: map[uint64]membership.ControlResponse{}, sent: map[string]int{}}
	for number := range seats {
		made.add(number)
	}
	for _, each := range statemachine.Sorted(made.seats) {
		each.start(true)
	}
	made.until(10*time.Second, "somebody serves", func() bool { return made.primary() != nil })
	return made
}

func (c *council) add(number int) *seat {
	name := fmt.Sprint("controller-", number)
	c.seats[name] = &seat{council: c, name: name, disk: wal.NewMemoryFolder()}
	return c.seats[name]
}

func (c *council) after(wait time.Duration, run func()) {
	c.order++
	heap.Push(&c.queue, happening{at: c.now.Add(wait), order: c.order, run: run})
}

func (c *council) run(length time.Duration) {
	until := c.now.Add(length)
	for len(c.queue) > 0 && !c.queue[0].at.After(until) {
		next := heap.Pop(&c.queue).(happening)
		c.now = next.at
		next.run()
		if c.judge != nil {
			c.judge()
		}
	}
	c.now = until
}

func (c *council) until(limit time.Duration, what string, holds func() bool) {
	c.t.Helper()
	for begun := c.now; !holds(); c.run(time.Millisecond) {
		if c.now.Sub(begun) > limit {
			c.t.Fatalf("not within %s: %s", limit, what)
		}
	}
}

func (c *council) primary() *seat {
	for _, each := range statemachine.Sorted(c.seats) {
		if each.up && each.machine.node.Serving(c.now) {
			return each
		}
	}
	return nil
}

// recover reads a seat's disk as its next start will.
func (s *seat) recover() wal.Recovered {
	_, recovered, err := wal.Open(s.disk)
	assert.NilError(s.council.t, err)
	return recovered
}

func (s *seat) settings(founding bool) Settings {
	tolerance := 1
	self := membership.Member{Name: s.name, Kind: membership.KindController, Address: s.name, Zone: s.name, Incarnation: uint64(s.life), Alive: true}
	return Settings{Self: self, Seeds: []string{"controller-0", "controller-1", "controller-2"}, Founding: founding, NewDisk: fmt.Sprint(s.name, ".", s.life), Highest: true, Tolerance: &tolerance}
}

func (s *seat) start(founding bool) {
	var err error
	s.life++
	s.up, s.queue, s.writing, s.busy = true, nil, nil, false
	s.book, s.replayed, err = wal.Open(s.disk)
	assert.NilError(s.council.t, err)
	s.machine, err = New(s.settings(founding), s.replayed.Snapshot, s.replayed.Entries)
	assert.NilError(s.council.t, err)
	s.step(func(now time.Time, effects *statemachine.Effects) { s.machine.Start(now, effects) })
}

// kill takes the power: the disk stops in the midst of what waits for it, between any two
// of its operations, and what was not synced is lost, or by a draw kept in part.
func (s *seat) kill() {
	if !s.up {
		return
	}
	if random := s.council.random; random != nil {
		s.disk.FailAfter(random.IntN(12))
		for _, each := range append(s.writing, s.queue...) {
			if s.perform(each) != nil {
				break
			}
		}
		s.disk.LosePower(random.IntN)
	} else {
		s.disk.LosePower(nil)
	}
	s.up = false
	s.life++
}

func (s *seat) perform(write statemachine.Write) error {
	if frame, whole := write.SnapshotBytes(); whole {
		s.snapshots++
		if err := s.book.Checkpoint(frame); err != nil {
			return err
		}
	}
	if len(write.Entries) == 0 {
		return nil
	}
	return s.book.Append(write.Entries)
}

func (s *seat) enter(life int, run func(now time.Time, effects *statemachine.Effects)) {
	if s.up && s.life == life {
		s.step(run)
	}
}

func (s *seat) step(run func(now time.Time, effects *statemachine.Effects)) {
	var effects statemachine.Effects
	run(s.council.now, &effects)
	for _, send := range effects.Sends {
		s.council.carry(s.name, send)
	}
	for _, returned := range effects.Responses {
		s.council.returns[returned.Request] = returned.Value.(membership.ControlResponse)
	}
	s.queue = append(s.queue, effects.Writes...)
	s.write()
	s.timer++
	if due := s.machine.NextTick(); !due.IsZero() {
		life, timer := s.life, s.timer
		s.council.after(max(0, due.Sub(s.council.now)), func() {
			if s.timer == timer {
				s.enter(life, func(now time.Time, effects *statemachine.Effects) { s.machine.Tick(now, effects) })
			}
		})
	}
}

// write puts what waits on the disk, as the real host does.
func (s *seat) write() {
	if s.busy || len(s.queue) == 0 {
		return
	}
	batch, life := s.queue, s.life
	s.queue, s.writing, s.busy = nil, s.queue, true
	s.council.after(diskDelay, func() {
		if !s.up || s.life != life {
			return
		}
		for _, each := range batch {
			assert.NilError(s.council.t, s.perform(each))
		}
		s.busy, s.writing = false, nil
		for _, each := range batch {
			s.enter(life, func(now time.Time, effects *statemachine.Effects) {
				s.machine.HandleCommand(now, statemachine.Synced{Token: each.Token}, effects)
			})
		}
		s.write()
	})
}

func (c *council) carry(from string, send statemachine.Send) {
	to, found := c.seats[send.To]
	if !found || !to.up {
		return
	}
	packed, err := transport.Encode(statemachine.Meta{From: from}, send.Message)
	assert.NilError(c.t, err)
	c.sent[fmt.Sprintf("%s %T", send.To, send.Message)] += len(packed)
	life := to.life
	c.after(linkDelay, func() {
		meta, message, err := transport.Decode(packed[4:])
		assert.NilError(c.t, err)
		to.enter(life, func(now time.Time, effects *statemachine.Effects) {
			to.machine.HandleMessage(now, meta, message, effects)
		})
	})
}

// put brings a configuration in until it is acknowledged.
func (c *council) put(document []byte) {
	c.t.Helper()
	for tries := 0; tries < 50; tries++ {
		primary := c.primary()
		if primary == nil {
			c.run(20 * time.Millisecond)
			continue
		}
		c.request++
		request := c.request
		primary.step(func(now time.Time, effects *statemachine.Effects) {
			primary.machine.HandleCommand(now, Request{Local: request, Method: http.MethodPut, Path: "/v1/configuration", Body: document}, effects)
		})
		for begun := c.now; c.returns[request].Status == 0 && c.now.Sub(begun) < 3*time.Second; {
			c.run(time.Millisecond)
		}
		answered := c.returns[request]
		delete(c.returns, request)
		if answered.Status == http.StatusOK {
			return
		}
		c.run(20 * time.Millisecond)
	}
	c.t.Fatalf("a configuration was not acknowledged")
}

// sizedDocument is a configuration of so many routes, with a text as long as theirs beside
// them.
func sizedDocument(version uint64, routes int) []byte {
	spaces, leads, annex := []string{}, []string{}, strings.Repeat("annex ", 30*routes)
	for number := range routes {
		spaces = append(spaces, fmt.Sprintf(`{"name": "space-%d", "promise": "kept", "order": "topic", "holding": "35s", "answer_within": "%dms"}`, number, 1000+version%500))
		leads = append(leads, fmt.Sprintf(`{"prefix": "topic%d.", "space": "space-%d"}`, number, number))
	}
	return fmt.Appendf(nil, `{"version": %d, "spaces": [%s], "routes": [%s], "annex": %q}`, version, strings.Join(spaces, ", "), strings.Join(leads, ", "), annex)
}

// change brings so many configurations in, one after the other.
func (c *council) change(from, count, routes int) {
	c.t.Helper()
	for number := range count {
		c.put(sizedDocument(uint64(from+number), routes))
	}
}

// replayBytes is how many bytes of entries a start reads, besides the frame.
func replayBytes(recovered wal.Recovered) int {
	sum := 0
	for _, entry := range recovered.Entries {
		sum += len(entry)
	}
	return sum
}

// restartMost is what a log may hold of a state whose snapshot is so large, with the
// command that made it too long and one more under way.
func restartMost(snapshot, document int) int {
	return max(64<<10, 2*snapshot) + 3*document
}

func TestARestartReadsByTheSizeOfTheStateAndNotByTheChanges(t *testing.T) {
	for _, routes := range []int{12, 100} {
		c, version := newCouncil(t, 3), 0
		for _, changes := range []int{10, 100, 500} {
			c.change(version+1, changes-version, routes)
			version = changes
			for name, each := range statemachine.Sorted(c.seats) {
				recovered := each.recover()
				read := replayBytes(recovered)
				t.Logf("%d routes, %d changes, %s: snapshot %d bytes, log %d bytes in %d entries", routes, changes, name, len(recovered.Snapshot), read, len(recovered.Entries))
				most := restartMost(len(recovered.Snapshot), len(sizedDocument(1, routes)))
				assert.Check(t, read <= most, "%s reads %d bytes of log after %d changes, the state takes %d", name, read, changes, len(recovered.Snapshot))
			}
		}
	}
}

// An empty newcomer, a backup that comes back and one whose disk was lost get the state,
// not what led to it. The state itself remembers no more than historyLimit numbers.
func TestCatchingUpTakesTheStateAndNotTheChanges(t *testing.T) {
	const routes = 12
	document := len(sizedDocument(1, routes))
	for _, changes := range []int{10, 100, historyLimit + 100} {
		c := newCouncil(t, 3)
		c.change(1, changes, routes)
		record := c.primary().machine.node.Record()
		backup := c.seats[record.Backups[0]]
		backup.kill()
		backup.disk.Wipe()
		for name := range c.sent {
			delete(c.sent, name)
		}
		// Another takes its place, and then it is needed again itself.
		c.run(3 * time.Second)
		backup.start(false)
		c.run(3 * time.Second)
		c.seats[c.primary().machine.node.Record().Backups[0]].kill()
		begun := c.now
		c.put(sizedDocument(uint64(changes+1), routes))
		took, state := c.now.Sub(begun), len(c.primary().machine.state.Snapshot())
		sent := 0
		for what, bytes := range c.sent {
			if strings.Contains(what, "consensus.InstallSnapshot") || strings.Contains(what, "consensus.Append") {
				sent += bytes
			}
		}
		t.Logf("%d changes: a state of %d bytes, %d bytes of state and commands were sent, %s", changes, state, sent, took)
		assert.Check(t, sent <= 5*state+5*document, "%d bytes were sent of a state of %d", sent, state)
		assert.Check(t, took < time.Second, "%s", took)
		assert.Check(t, state < 3*document+64*historyLimit, "the state takes %d bytes after %d changes", state, changes)
	}
}

// restartAtAnyPoint brings many changes in while members lose their power at any moment,
// one at a time or all together, and now and then one its disk too. Whoever serves has
// what was acknowledged.
func restartAtAnyPoint(t reporter, seed uint64) (snapshots int) {
	const changes, routes = 60, 12
	c := newCouncil(t, 4)
	c.random = rand.New(rand.NewPCG(seed, 0x5afe))
	acknowledged, wiped, documents := uint64(0), c.now, map[uint64][]byte{}
	c.judge = func() {
		for name, each := range statemachine.Sorted(c.seats) {
			if !each.up || !each.machine.node.Serving(c.now) {
				continue
			}
			held := each.machine.state
			if held.Version < acknowledged || held.Version > 0 && !slices.Equal(held.Document, documents[held.Version]) {
				t.Fatalf("seed %d: %s serves with number %d, acknowledged was %d", seed, name, held.Version, acknowledged)
			}
		}
	}
	strike := func() {
		names := slices.Collect(maps.Keys(c.seats))
		slices.Sort(names)
		if slices.ContainsFunc(names, func(name string) bool { return !c.seats[name].up }) {
			return
		}
		one := c.random.IntN(len(names))
		wipe := c.now.Sub(wiped) > 12*time.Second && c.primary() != nil && c.random.IntN(2) == 0
		all := c.random.IntN(4) == 0
		for position, name := range names {
			if position != one && !all {
				continue
			}
			struck := c.seats[name]
			struck.kill()
			if position == one && wipe {
				struck.disk.Wipe()
				wiped = c.now
			}
			c.after(time.Duration(c.random.IntN(1500))*time.Millisecond, func() { struck.start(false) })
		}
	}
	for number := range uint64(changes) {
		if c.random.IntN(4) == 0 {
			c.after(time.Duration(c.random.IntN(20_000))*time.Microsecond, strike)
		}
		documents[number+1] = sizedDocument(number+1, routes)
		c.put(documents[number+1])
		acknowledged = number + 1
	}
	for _, each := range c.seats {
		snapshots += each.snapshots
	}
	return snapshots
}

func TestRestartsAtAnyPointOfLogAndSnapshotLoseNothing(t *testing.T) {
	snapshots := 0
	for seed := range uint64(25) {
		snapshots += restartAtAnyPoint(t, seed)
	}
	assert.Assert(t, snapshots > 100, "only %d snapshots were written", snapshots)
}

// A gateway, agent or store that missed so many changes is told one document and what
// changed of the view.
func TestWhoFollowsIsToldOneDocument(t *testing.T) {
	var blank, behind []int
	for _, changes := range []int{10, 100, 1000} {
		run := newChurn(t, 1)
		index := run.state.Index
		for number := range changes {
			run.apply(Command{Configuration: configured(uint64(number+2), string(sizedDocument(uint64(number+2), 12)))})
		}
		for _, since := range []uint64{0, index} {
			news := membership.ViewUpdate{Index: run.state.Index, Version: run.state.Version, Document: run.state.Document}
			run.state.view(&news, since)
			if bytes := len(transport.MustMarshal(news)); since == 0 {
				blank = append(blank, bytes)
			} else {
				behind = append(behind, bytes)
			}
		}
	}
	t.Logf("after 10, 100 and 1,000 changes: %v bytes to a newcomer, %v to one who missed them", blank, behind)
	assert.Assert(t, slices.Max(blank) < slices.Min(blank)+64 && slices.Max(behind) < slices.Min(behind)+64)
}

// BenchmarkRestart tells what a restart of the primary takes after so many changes of
// a configuration with so many routes.
func BenchmarkRestart(b *testing.B) {
	for _, routes := range []int{12, 300} {
		for _, changes := range []int{10, 100, 1000} {
			b.Run(fmt.Sprintf("routes-%d/changes-%d", routes, changes), func(b *testing.B) {
				c := newCouncil(b, 3)
				c.change(1, changes, routes)
				primary := c.primary()
				recovered := primary.recover()
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
			})
		}
	}
}
