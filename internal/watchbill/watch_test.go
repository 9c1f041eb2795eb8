// Five watches against a small model: clocks that run apart and by other hands,
// links that delay, lose and repeat, pilots that are frozen, killed, cut off and
// wiped one at a time. At no moment may two pilots hold the tenure or the duty,
// and what was committed is in the state of whoever may answer, in order.
package watchbill

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/flare"
	"dahlialock/internal/foghorn"
	"dahlialock/internal/helm"
)

// words is a ledger that holds the commands themselves.
type words struct{ said []uint64 }

func (words *words) Apply(_ time.Time, command []byte) {
	words.said = append(words.said, binary.BigEndian.Uint64(command))
}
func (words *words) Frame() []byte { return flare.MustMarshal(words.said) }
func (words *words) Restore(state []byte) error {
	words.said = nil
	return flare.Unmarshal(state, &words.said)
}

type moment struct {
	at    time.Duration
	order int
	run   func()
}
type moments []moment

func (moments moments) Len() int { return len(moments) }
func (moments moments) Less(left, right int) bool {
	return moments[left].at < moments[right].at || moments[left].at == moments[right].at && moments[left].order < moments[right].order
}
func (moments moments) Swap(left, right int) {
	moments[left], moments[right] = moments[right], moments[left]
}
func (moments *moments) Push(item any) { *moments = append(*moments, item.(moment)) }
func (moments *moments) Pop() any {
	last := (*moments)[len(*moments)-1]
	*moments = (*moments)[:len(*moments)-1]
	return last
}

type pilot struct {
	bench   *watchBench
	self    Pilot
	watch   *Watch
	ledger  *words
	duty    *Tenure
	life    int
	up      bool
	frozen  bool
	waits   []func()
	frame   []byte
	entries [][]byte
	offset  time.Duration
	rate    float64
	timer   int
	cut     bool
	gone    bool
	hung    time.Duration
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
	t         trial
	random    *rand.Rand
	now       time.Duration
	queue     moments
	order     int
	pilots    []*pilot
	committed []uint64
	next      uint64
	loss      float64
	tenures   int
	wiped     time.Duration
	calm      bool
	seeds     []string
	count     int
	tolerance int
	disks     int
	founded   map[string]bool
}

var origin = time.Unix(1_700_000_000, 0)

func (bench *watchBench) after(wait time.Duration, run func()) {
	bench.order++
	heap.Push(&bench.queue, moment{at: bench.now + wait, order: bench.order, run: run})
}

func (bench *watchBench) run(length time.Duration) {
	until := bench.now + length
	for len(bench.queue) > 0 && bench.queue[0].at <= until {
		next := heap.Pop(&bench.queue).(moment)
		bench.now = next.at
		next.run()
		bench.judge()
	}
	bench.now = until
}

func (pilot *pilot) local() time.Time {
	return origin.Add(pilot.offset + time.Duration(float64(pilot.bench.now)*pilot.rate))
}

func (pilot *pilot) start() {
	if pilot.up || pilot.gone {
		return
	}
	pilot.life++
	pilot.up, pilot.frozen, pilot.waits = true, false, nil
	pilot.offset = time.Duration(pilot.bench.random.Int64N(int64(4*time.Hour))) - 2*time.Hour
	pilot.ledger = &words{}
	props := Props{Self: pilot.self, Count: pilot.bench.count, Seeds: pilot.bench.seeds, Founding: pilot.founding, Tolerance: pilot.bench.tolerance}
	if props.Count == 0 {
		pilot.bench.disks++
		props.NewDisk = fmt.Sprint("disk-", pilot.bench.disks)
	}
	watch, fault := New(props, pilot.ledger, pilot.frame, pilot.entries)
	assert.NilError(pilot.bench.t, fault)
	pilot.watch = watch
	pilot.duty = watch.NewTenure("duty")
	pilot.step(func(now time.Time, effects *helm.Effects) { watch.Start(now, effects) })
}

func (pilot *pilot) kill() {
	pilot.up, pilot.life, pilot.watch = false, pilot.life+1, nil
}

func (pilot *pilot) thaw() {
	if !pilot.up || !pilot.frozen {
		return
	}
	pilot.frozen = false
	waits := pilot.waits
	pilot.waits = nil
	pilot.step(func(now time.Time, effects *helm.Effects) { pilot.watch.Due(now, effects) })
	for _, run := range waits {
		run()
	}
}

// enter runs something in a process of a pilot, if that still lives.
func (pilot *pilot) enter(life int, run func()) {
	switch {
	case !pilot.up || pilot.life != life:
	case pilot.frozen:
		pilot.waits = append(pilot.waits, func() { pilot.enter(life, run) })
	default:
		run()
	}
}

func (pilot *pilot) step(run func(now time.Time, effects *helm.Effects)) {
	bench, life := pilot.bench, pilot.life
	var effects helm.Effects
	run(pilot.local(), &effects)
	for _, note := range effects.Notes {
		bench.note(pilot, note)
	}
	for _, send := range effects.Sends {
		bench.send(pilot, send)
	}
	for _, write := range effects.Writes {
		// Only what is synced is on the disk; a process that ends first has
		// written nothing.
		wait := max(0, pilot.hung-bench.now)
		bench.after(wait+time.Duration(1+bench.random.IntN(8))*time.Millisecond, func() {
			if !pilot.up || pilot.life != life {
				return
			}
			if write.Frame != nil {
				pilot.frame, pilot.entries = write.Frame, nil
			}
			pilot.entries = append(pilot.entries, write.Entries...)
			pilot.enter(life, func() {
				pilot.step(func(now time.Time, effects *helm.Effects) { pilot.watch.Synced(now, write.Token, effects) })
			})
		})
	}
	pilot.timer++
	timer := pilot.timer
	if due := pilot.watch.NextDue(); !due.IsZero() {
		wait := max(0, time.Duration(float64(due.Sub(pilot.local()))/pilot.rate))
		bench.after(wait+time.Microsecond, func() {
			if pilot.timer == timer {
				pilot.enter(life, func() {
					pilot.step(func(now time.Time, effects *helm.Effects) { pilot.watch.Due(now, effects) })
				})
			}
		})
	}
}

func (bench *watchBench) send(from *pilot, send helm.Send) {
	for _, to := range bench.pilots {
		if to.self.Address != send.To || from.cut != to.cut || bench.random.Float64() < bench.loss {
			continue
		}
		packed, fault := flare.Encode(helm.Meta{From: from.self.Address}, send.Message)
		assert.NilError(bench.t, fault)
		for range 1 + bench.random.IntN(20)/19 {
			life := to.life
			bench.after(time.Duration(100+bench.random.IntN(3000))*time.Microsecond, func() {
				to.enter(life, func() {
					meta, message, fault := flare.Decode(packed[4:])
					assert.NilError(bench.t, fault)
					to.step(func(now time.Time, effects *helm.Effects) { to.watch.Message(now, meta, message, effects) })
				})
			})
		}
	}
}

// note looks at what is logged: a fleet is founded once.
func (bench *watchBench) note(pilot *pilot, note helm.Note) {
	if note.Number != foghorn.Founded {
		return
	}
	bench.founded[fmt.Sprint(pilot.watch.Record())] = true
	if len(bench.founded) > 1 {
		bench.t.Fatalf("%s at %s founded another fleet: %v", pilot.self.Name, bench.now, bench.founded)
	}
}

// judge is the model: it looks at every moment.
func (bench *watchBench) judge() {
	primaries, holders := []string{}, []string{}
	for _, pilot := range bench.pilots {
		if !pilot.up || pilot.frozen {
			continue
		}
		if pilot.watch.HoldsTenure(pilot.local()) {
			primaries = append(primaries, pilot.self.Name)
		}
		if pilot.duty.Held(pilot.local()) {
			holders = append(holders, pilot.self.Name)
		}
		if pilot.watch.Serving(pilot.local()) {
			said := pilot.ledger.said
			if len(said) < len(bench.committed) || !slices.Equal(said[:len(bench.committed)], bench.committed) {
				bench.t.Fatalf("%s at %s may answer and has %v, committed were %v", pilot.self.Name, bench.now, said, bench.committed)
			}
		}
	}
	if len(primaries) > 1 || len(holders) > 1 {
		bench.t.Fatalf("at %s the tenure is held by %v and the duty by %v", bench.now, primaries, holders)
	}
	bench.tenures += len(primaries)
}

// busy lets pilots submit commands and ask for the duty all along.
func (bench *watchBench) busy() {
	bench.after(time.Duration(20+bench.random.IntN(80))*time.Millisecond, bench.busy)
	pilot := bench.pilots[bench.random.IntN(len(bench.pilots))]
	if !pilot.up || pilot.frozen {
		return
	}
	pilot.step(func(now time.Time, effects *helm.Effects) { pilot.watch.AskDuty(now, pilot.duty, effects) })
	if !pilot.watch.Serving(pilot.local()) || pilot.watch.Waiting() > 0 {
		return
	}
	bench.next++
	number := bench.next
	pilot.step(func(now time.Time, effects *helm.Effects) {
		pilot.watch.Submit(now, binary.BigEndian.AppendUint64(nil, number), 2*time.Second, func(_ time.Time, _ *helm.Effects, outcome Outcome) {
			if outcome == Committed {
				// Those that were unsettled before it and yet lie before it in
				// the state are committed with it.
				said := pilot.ledger.said
				bench.committed = append([]uint64(nil), said[:slices.Index(said, number)+1]...)
			}
		}, effects)
	})
}

// trouble strikes one pilot, or the links, now and then.
func (bench *watchBench) trouble() {
	if bench.calm {
		return
	}
	bench.after(time.Duration(2000+bench.random.IntN(5000))*time.Millisecond, bench.trouble)
	pilot := bench.pilots[bench.random.IntN(len(bench.pilots))]
	if pilot.gone {
		return
	}
	length := time.Duration(200+bench.random.IntN(7000)) * time.Millisecond
	switch bench.random.IntN(6) {
	case 0, 1:
		pilot.kill()
		bench.after(length, pilot.start)
	case 2:
		pilot.frozen = pilot.up
		bench.after(length, pilot.thaw)
	case 3:
		pilot.cut = true
		bench.after(length, func() { pilot.cut = false })
	case 4:
		bench.loss = 0.3
		bench.after(length/2, func() { bench.loss = 0 })
	case 5:
		if bench.mayLoseADisk() {
			bench.wiped = bench.now
			pilot.wipe()
			bench.after(length, pilot.start)
		}
	}
}

// mayLoseADisk tells whether another disk may be lost: once the loss before was
// mended.
func (bench *watchBench) mayLoseADisk() bool {
	for _, pilot := range bench.pilots {
		if !pilot.gone && (!pilot.up || pilot.frozen || pilot.cut) {
			return false
		}
	}
	return bench.now-bench.wiped > 20*time.Second && bench.settled()
}

func (bench *watchBench) settled() bool {
	for _, pilot := range bench.pilots {
		if pilot.up && !pilot.frozen && pilot.watch.Serving(pilot.local()) {
			return true
		}
	}
	return false
}

func TestTenureAndStateAgainstAModel(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			bench := &watchBench{
				t: t, random: rand.New(rand.NewPCG(seed, 0x7e)), count: 5, seeds: []string{"pilot-0", "pilot-1", "pilot-2"}, founded: map[string]bool{},
			}
			for number := range 5 {
				name := fmt.Sprintf("pilot-%d", number)
				bench.pilots = append(bench.pilots, &pilot{
					bench: bench, self: Pilot{Name: name, Address: name, Locality: fmt.Sprint(number % 3)},
					rate: 1 + (bench.random.Float64()-0.5)*0.08,
				})
			}
			for _, pilot := range bench.pilots {
				bench.after(time.Duration(bench.random.IntN(500))*time.Millisecond, pilot.start)
			}
			bench.after(time.Second, bench.busy)
			bench.after(4*time.Second, bench.trouble)
			bench.run(3 * time.Minute)
			assert.Assert(t, len(bench.committed) > 200 && bench.tenures > 1000, "little happened: %d committed", len(bench.committed))
			// With all trouble over, somebody serves again within twelve seconds.
			bench.calm = true
			for _, pilot := range bench.pilots {
				pilot.cut = false
				pilot.thaw()
				pilot.start()
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
