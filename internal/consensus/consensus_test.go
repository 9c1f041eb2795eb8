// Five watches against a small model: clocks that run apart and by other hands,
// links that delay, lose and repeat, controllers that are frozen, killed, cut off and
// wiped one at a time. At no moment may two controllers hold the lease or the duty,
// and what was committed is in the state of whoever may answer, in order.
package consensus

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/logevent"
	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
	"dahlialock/internal/wal"
)

// said is the command of a number, long enough for snapshots to come now and then.
func said(number uint64) []byte {
	return append(binary.BigEndian.AppendUint64(nil, number), make([]byte, 3000)...)
}

// words is a ledger that holds the commands themselves.
type words struct{ said []uint64 }

func (w *words) Apply(_ time.Time, command []byte) {
	w.said = append(w.said, binary.BigEndian.Uint64(command))
}
func (w *words) Snapshot() []byte { return transport.MustMarshal(w.said) }
func (w *words) Restore(state []byte) error {
	w.said = nil
	return transport.Unmarshal(state, &w.said)
}

type moment struct {
	at    time.Duration
	order int
	run   func()
}
type moments []moment

func (m moments) Len() int { return len(m) }
func (m moments) Less(left, right int) bool {
	return m[left].at < m[right].at || m[left].at == m[right].at && m[left].order < m[right].order
}
func (m moments) Swap(left, right int) {
	m[left], m[right] = m[right], m[left]
}
func (m *moments) Push(item any) { *m = append(*m, item.(moment)) }
func (m *moments) Pop() any {
	last := (*m)[len(*m)-1]
	*m = (*m)[:len(*m)-1]
	return last
}

type controller struct {
	bench  *watchBench
	self   Controller
	watch  *Node
	ledger *words
	duty   *RoleLease
	life   int
	up     bool
	frozen bool
	waits  []func()
	disk   *wal.MemoryFolder
	book   *wal.Log
	// waiting is what was handed to the disk, in order, and landing when the last of it
	// lands.
	waiting []statemachine.Write
	landing time.Duration
	// snapshots counts those that were handed to the disk.
	snapshots int
	offset    time.Duration
	rate      float64
	timer     int
	cut       bool
	deaf      bool
	gone      bool
	hung      time.Duration
	// founding is what the platform tells at this start.
	founding bool
}

// trial is what a run reports to: a test, or a proof that a run fails.
type trial interface {
	assert.TestingT
	Helper()
	Logf(format string, values ...any)
	Fatalf(format string, values ...any)
}

type watchBench struct {
	t           trial
	random      *rand.Rand
	now         time.Duration
	queue       moments
	order       int
	controllers []*controller
	committed   []uint64
	next        uint64
	loss        float64
	leases      int
	wiped       time.Duration
	calm        bool
	seeds       []string
	count       int
	tolerance   int
	disks       int
	snapshots   int
	lives       statemachine.Incarnation
	founded     map[string]bool
	// held, if set, tells for how long the links hold a message, which then reaches
	// whatever life is there, and whether it is lost instead.
	held func(from, to *controller, message any) (hold time.Duration, lost bool)
}

var origin = time.Unix(1_700_000_000, 0)

func (wb *watchBench) after(wait time.Duration, run func()) {
	wb.order++
	heap.Push(&wb.queue, moment{at: wb.now + wait, order: wb.order, run: run})
}

func (wb *watchBench) run(length time.Duration) {
	until := wb.now + length
	for len(wb.queue) > 0 && wb.queue[0].at <= until {
		next := heap.Pop(&wb.queue).(moment)
		wb.now = next.at
		next.run()
		wb.judge()
	}
	wb.now = until
}

func (c *controller) local() time.Time {
	return origin.Add(c.offset + time.Duration(float64(c.bench.now)*c.rate))
}

func (c *controller) start() {
	if c.up || c.gone {
		return
	}
	c.life++
	c.up, c.frozen, c.waits = true, false, nil
	c.offset = time.Duration(c.bench.random.Int64N(int64(4*time.Hour))) - 2*time.Hour
	c.ledger = &words{}
	settings := Settings{Self: c.self, ClusterSize: c.bench.count, Seeds: c.bench.seeds, Founding: c.founding, Tolerance: c.bench.tolerance}
	if settings.ClusterSize == 0 {
		c.bench.disks++
		settings.NewDiskID = fmt.Sprint("disk-", c.bench.disks)
	}
	book, recovered, err := wal.Open(c.disk)
	assert.NilError(c.bench.t, err)
	c.book = book
	c.bench.lives++
	settings.Incarnation = c.bench.lives
	watch, err := New(settings, c.ledger, recovered.Snapshot, recovered.Entries)
	assert.NilError(c.bench.t, err)
	c.watch = watch
	c.duty = watch.NewRoleLease("duty")
	c.step(func(now time.Time, effects *statemachine.Effects) { watch.Start(now, effects) })
}

// kill takes the power: the disk stops in the midst of what waits for it, between any
// two of its operations.
func (c *controller) kill() {
	if c.up {
		c.disk.FailAfter(c.bench.random.IntN(12))
		for _, write := range c.waiting {
			if c.perform(write) != nil {
				break
			}
		}
		c.disk.LosePower(c.bench.random.IntN)
	}
	c.up, c.life, c.watch, c.waiting, c.landing = false, c.life+1, nil, nil, 0
}

func (c *controller) perform(write statemachine.Write) error {
	if write.Snapshot != nil {
		c.bench.snapshots++
		c.snapshots++
		if err := c.book.Checkpoint(write.Snapshot); err != nil {
			return err
		}
	}
	if len(write.Entries) > 0 {
		return c.book.Append(write.Entries)
	}
	return nil
}

func (c *controller) thaw() {
	if !c.up || !c.frozen {
		return
	}
	c.frozen = false
	waits := c.waits
	c.waits = nil
	c.step(func(now time.Time, effects *statemachine.Effects) { c.watch.Tick(now, effects) })
	for _, run := range waits {
		run()
	}
}

// enter runs something in a process of a controller, if that still lives.
func (c *controller) enter(life int, run func()) {
	switch {
	case !c.up || c.life != life:
	case c.frozen:
		c.waits = append(c.waits, func() { c.enter(life, run) })
	default:
		run()
	}
}

func (c *controller) step(run func(now time.Time, effects *statemachine.Effects)) {
	bench, life := c.bench, c.life
	var effects statemachine.Effects
	run(c.local(), &effects)
	for _, note := range effects.LogEvents {
		bench.note(c, note)
	}
	for _, send := range effects.Sends {
		bench.send(c, send)
	}
	for _, write := range effects.Writes {
		// The disk does one after the other.
		c.waiting = append(c.waiting, write)
		wait := max(0, c.hung-bench.now) + time.Duration(1+bench.random.IntN(8))*time.Millisecond
		c.landing = max(c.landing, bench.now+wait)
		bench.after(c.landing-bench.now, func() {
			if !c.up || c.life != life {
				return
			}
			c.waiting = c.waiting[1:]
			assert.NilError(bench.t, c.perform(write))
			c.enter(life, func() {
				c.step(func(now time.Time, effects *statemachine.Effects) { c.watch.Synced(now, write.Token, effects) })
			})
		})
	}
	c.timer++
	timer := c.timer
	if due := c.watch.NextTick(); !due.IsZero() {
		wait := max(0, time.Duration(float64(due.Sub(c.local()))/c.rate))
		bench.after(wait+time.Microsecond, func() {
			if c.timer == timer {
				c.enter(life, func() {
					c.step(func(now time.Time, effects *statemachine.Effects) { c.watch.Tick(now, effects) })
				})
			}
		})
	}
}

func (wb *watchBench) send(from *controller, send statemachine.Send) {
	for _, to := range wb.controllers {
		if to.self.Address != send.To || from.cut != to.cut || to.deaf || wb.random.Float64() < wb.loss {
			continue
		}
		packed, err := transport.Encode(statemachine.Meta{From: from.self.Address}, send.Message)
		assert.NilError(wb.t, err)
		if wb.held != nil {
			hold, lost := wb.held(from, to, send.Message)
			if lost {
				continue
			}
			if hold > 0 {
				wb.after(hold, func() { to.take(packed) })
				continue
			}
		}
		for range 1 + wb.random.IntN(20)/19 {
			life := to.life
			wb.after(time.Duration(100+wb.random.IntN(3000))*time.Microsecond, func() {
				if to.life == life {
					to.take(packed)
				}
			})
		}
	}
}

// take hands a message to the life that is there now.
func (c *controller) take(packed []byte) {
	c.enter(c.life, func() {
		meta, message, err := transport.Decode(packed[4:])
		assert.NilError(c.bench.t, err)
		c.step(func(now time.Time, effects *statemachine.Effects) { c.watch.HandleMessage(now, meta, message, effects) })
	})
}

// note looks at what is logged: a fleet is founded once.
func (wb *watchBench) note(controller *controller, note statemachine.LogEvent) {
	if note.Number != logevent.Founded {
		return
	}
	wb.founded[fmt.Sprint(controller.watch.Record())] = true
	if len(wb.founded) > 1 {
		wb.t.Fatalf("%s at %s founded another fleet: %v", controller.self.Name, wb.now, wb.founded)
	}
}

// judge is the model: it looks at every moment.
func (wb *watchBench) judge() {
	primaries, holders := []string{}, []string{}
	for _, controller := range wb.controllers {
		if !controller.up || controller.frozen {
			continue
		}
		if controller.watch.HoldsLease(controller.local()) {
			primaries = append(primaries, controller.self.Name)
		}
		if controller.duty.Valid(controller.local()) {
			holders = append(holders, controller.self.Name)
		}
		if controller.watch.Serving(controller.local()) {
			said := controller.ledger.said
			if len(said) < len(wb.committed) || !slices.Equal(said[:len(wb.committed)], wb.committed) {
				wb.t.Fatalf("%s at %s may answer and has %v, committed were %v", controller.self.Name, wb.now, said, wb.committed)
			}
		}
	}
	if len(primaries) > 1 || len(holders) > 1 {
		wb.t.Fatalf("at %s the lease is held by %v and the duty by %v", wb.now, primaries, holders)
	}
	wb.leases += len(primaries)
}

// busy lets controllers submit commands and ask for the duty all along.
func (wb *watchBench) busy() {
	wb.after(time.Duration(20+wb.random.IntN(80))*time.Millisecond, wb.busy)
	controller := wb.controllers[wb.random.IntN(len(wb.controllers))]
	if !controller.up || controller.frozen {
		return
	}
	controller.step(func(now time.Time, effects *statemachine.Effects) {
		controller.watch.RequestRoleLease(now, controller.duty, effects)
	})
	if !controller.watch.Serving(controller.local()) || controller.watch.PendingProposals() > 0 {
		return
	}
	wb.next++
	number := wb.next
	controller.step(func(now time.Time, effects *statemachine.Effects) {
		controller.watch.Submit(now, said(number), 2*time.Second, func(_ time.Time, _ *statemachine.Effects, outcome Outcome) {
			if outcome == Committed {
				// Those that were unsettled before it and yet lie before it in
				// the state are committed with it.
				said := controller.ledger.said
				wb.committed = append([]uint64(nil), said[:slices.Index(said, number)+1]...)
			}
		}, effects)
	})
}

// trouble strikes one controller, or the links, now and then.
func (wb *watchBench) trouble() {
	if wb.calm {
		return
	}
	wb.after(time.Duration(2000+wb.random.IntN(5000))*time.Millisecond, wb.trouble)
	controller := wb.controllers[wb.random.IntN(len(wb.controllers))]
	if controller.gone {
		return
	}
	length := time.Duration(200+wb.random.IntN(7000)) * time.Millisecond
	switch wb.random.IntN(6) {
	case 0, 1:
		controller.kill()
		wb.after(length, controller.start)
	case 2:
		controller.frozen = controller.up
		wb.after(length, controller.thaw)
	case 3:
		controller.cut = true
		wb.after(length, func() { controller.cut = false })
	case 4:
		wb.loss = 0.3
		wb.after(length/2, func() { wb.loss = 0 })
	case 5:
		if wb.mayLoseADisk() {
			wb.wiped = wb.now
			controller.wipe()
			wb.after(length, controller.start)
		}
	}
}

// mayLoseADisk tells whether another disk may be lost: once the loss before was
// mended.
func (wb *watchBench) mayLoseADisk() bool {
	for _, controller := range wb.controllers {
		if !controller.gone && (!controller.up || controller.frozen || controller.cut) {
			return false
		}
	}
	return wb.now-wb.wiped > 20*time.Second && wb.settled()
}

func (wb *watchBench) settled() bool {
	for _, controller := range wb.controllers {
		if controller.up && !controller.frozen && controller.watch.Serving(controller.local()) {
			return true
		}
	}
	return false
}

func TestLeaseAndStateAgainstAModel(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			bench := &watchBench{
				t: t, random: rand.New(rand.NewPCG(seed, 0x7e)), count: 5, seeds: []string{"controller-0", "controller-1", "controller-2"}, founded: map[string]bool{},
			}
			for number := range 5 {
				name := fmt.Sprintf("controller-%d", number)
				bench.controllers = append(bench.controllers, &controller{
					disk:  wal.NewMemoryFolder(),
					bench: bench, self: Controller{Name: name, Address: name, Zone: fmt.Sprint(number % 3)},
					rate: 1 + (bench.random.Float64()-0.5)*0.08,
				})
			}
			for _, controller := range bench.controllers {
				bench.after(time.Duration(bench.random.IntN(500))*time.Millisecond, controller.start)
			}
			bench.after(time.Second, bench.busy)
			bench.after(4*time.Second, bench.trouble)
			bench.run(3 * time.Minute)
			assert.Assert(t, len(bench.committed) > 200 && bench.leases > 1000 && bench.snapshots > 20, "little happened: %d committed, %d snapshots", len(bench.committed), bench.snapshots)
			// With all trouble over, somebody serves again within twelve seconds.
			bench.calm = true
			for _, controller := range bench.controllers {
				controller.cut = false
				controller.thaw()
				controller.start()
			}
			bench.loss = 0
			before := len(bench.committed)
			calm := bench.now
			for bench.now-calm < 12*time.Second && !bench.settled() {
				bench.run(50 * time.Millisecond)
			}
			assert.Assert(t, bench.settled() || len(bench.committed) > before, "nobody serves %s after the last fault", bench.now-calm)
		})
	}
}
