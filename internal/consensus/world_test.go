// A small world of watches for exhaustive walks: every order in which messages
// arrive and writes last, with losses, repeats, processes that end with and without
// their disk, and time that passes meanwhile. The ordinary schedule brings what is
// oldest first and lets time pass once nothing is under way; what differs from it
// costs.
package consensus

import (
	"encoding/binary"
	"fmt"
	"reflect"
	"slices"
	"time"

	"dahlialock/internal/explore"
	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

// troubles is what may still befall a world.
type troubles struct {
	submits int
	losses  int
	repeats int
	crashes int
	wipes   int
	kills   int
	powers  int
}

// pending is a message on its way, or a write that does not last yet.
type pending struct {
	to      int
	from    string
	message any
	packed  []byte
	held    bool
	// ticks is for how many of them it is still held back.
	ticks int
	write *statemachine.Write
	// cause is the message that led to the write: what is done once it lasts
	// follows from both.
	cause []byte
}

type node struct {
	world   *world
	number  int
	self    Controller
	watch   *Node
	ledger  *words
	frame   []byte
	entries [][]byte
	// disk is the fingerprint of what lies on the disk.
	disk  explore.Key
	up    bool
	gone  bool
	cut   bool
	lives int
}

type world struct {
	now       time.Time
	begun     time.Time
	nodes     []*node
	items     []*pending
	left      troubles
	tolerance int
	committed []uint64
	next      uint64
	decided   map[uint64]Record
	broken    error
	cause     []byte
	moves     []move
	// lost is how many were lost with their disks, at most as many as are tolerated;
	// mayLose, if given, tells whether one may be lost in the present state.
	lost    int
	mayLose func(w *world) bool
}

// move is what a choice does.
type move struct {
	explore.Choice
	do func()
}

func newWorld(controllers, voters, tolerance int, left troubles) *world {
	w := &world{now: origin, begun: origin, left: left, tolerance: tolerance, decided: map[uint64]Record{}}
	record := Record{Epoch: 1, Primary: "c0"}
	for number := range controllers {
		name := fmt.Sprint("c", number)
		self := Controller{Name: name, Address: name, Zone: fmt.Sprint(number), DiskID: "disk-" + name}
		w.nodes = append(w.nodes, &node{world: w, number: number, self: self})
		if number < voters {
			record.Voters = append(record.Voters, self)
		}
		if number > 0 && number <= max(1, tolerance) {
			record.Backups = append(record.Backups, name)
		}
	}
	for _, each := range w.nodes {
		durable := HardState{DiskID: each.self.DiskID, Record: record}
		if each.self.Name == record.Primary || slices.Contains(record.Backups, each.self.Name) {
			durable.CompleteEpoch = 1
		}
		each.entries = [][]byte{transport.MustMarshal(diskEntry{HardState: &durable})}
	}
	for _, each := range w.nodes {
		each.start()
	}
	// Whoever was granted something before the beginning has waited it out.
	for _, each := range w.nodes {
		each.watch.voter.uncertainUntil = w.now
		each.watch.lease.lastGrant = map[string]time.Time{}
		for _, other := range record.Voters {
			each.watch.lease.lastGrant[other.Name] = w.now
		}
	}
	w.settle()
	return w
}

// settle lets the ordinary schedule run until somebody serves and nothing is under way.
func (w *world) settle() {
	for range 400 {
		if w.serving() != nil && len(w.items) == 0 {
			return
		}
		w.ordinary()
	}
	panic("nobody serves at the beginning")
}

func (w *world) serving() *node {
	for _, each := range w.nodes {
		if each.up && each.watch.Serving(w.now) {
			return each
		}
	}
	return nil
}

func (n *node) start() {
	settings := Settings{Self: n.self, Seeds: []string{"c0", "c1", "c2"}, Tolerance: n.world.tolerance, NewDiskID: n.self.DiskID}
	settings.Self.DiskID = ""
	if n.lives > 0 {
		settings.NewDiskID = fmt.Sprintf("%s-%d", n.self.DiskID, n.lives)
	}
	n.lives++
	settings.Incarnation = statemachine.Incarnation(n.number<<8 + n.lives)
	n.ledger = &words{}
	watch, err := New(settings, n.ledger, n.frame, n.entries)
	if err != nil {
		panic(err)
	}
	n.watch, n.up = watch, true
	n.step(func(now time.Time, effects *statemachine.Effects) { watch.Start(now, effects) })
}

// end ends a process; what it wrote and did not last is lost, and what was on its way to
// it too.
func (n *node) end() {
	n.up = false
	n.world.items = slices.DeleteFunc(n.world.items, func(item *pending) bool { return item.to == n.number })
}

func (n *node) step(run func(now time.Time, effects *statemachine.Effects)) {
	w := n.world
	var effects statemachine.Effects
	run(w.now, &effects)
	for _, send := range effects.Sends {
		for _, to := range w.nodes {
			if to.self.Address != send.To || !to.up || to.cut != n.cut {
				continue
			}
			packed, err := transport.Encode(statemachine.Meta{From: n.self.Address}, send.Message)
			if err != nil {
				panic(err)
			}
			w.items = append(w.items, &pending{to: to.number, from: n.self.Address, message: decoded(packed), packed: packed})
		}
	}
	if n.watch.Left() {
		n.end()
		n.gone = true
		return
	}
	for _, write := range effects.Writes {
		w.items = append(w.items, &pending{to: n.number, write: &write, cause: w.cause})
	}
}

// known are messages that were decoded before: a walk meets the same ones again and
// again.
var known = map[string]any{}

func decoded(packed []byte) any {
	if message, found := known[string(packed)]; found {
		return message
	}
	_, message, err := transport.Decode(packed[4:])
	if err != nil {
		panic(err)
	}
	known[string(packed)] = message
	return message
}

func (w *world) arrive(item *pending) {
	w.items = slices.DeleteFunc(w.items, func(other *pending) bool { return other == item })
	w.give(item)
}

func (w *world) give(item *pending) {
	to := w.nodes[item.to]
	if item.write == nil {
		w.cause = item.packed
		to.step(func(now time.Time, effects *statemachine.Effects) {
			to.watch.HandleMessage(now, statemachine.Meta{From: item.from}, item.message, effects)
		})
		return
	}
	if item.write.Snapshot != nil {
		to.frame, to.entries = item.write.Snapshot, nil
	}
	to.entries = append(to.entries, item.write.Entries...)
	to.disk = explore.KeyOf(time.Time{}, nil, to.disk, item.write.Entries, item.write.Snapshot)
	w.cause = item.cause
	to.step(func(now time.Time, effects *statemachine.Effects) { to.watch.Synced(now, item.write.Token, effects) })
}

// tick lets time pass until the next timer of any process, which runs.
func (w *world) tick() {
	var next *node
	for _, each := range w.nodes {
		if each.up && (next == nil || each.watch.NextTick().Before(next.watch.NextTick())) {
			next = each
		}
	}
	if next == nil {
		panic("nobody is left")
	}
	for _, item := range w.items {
		if item.held {
			item.ticks--
			item.held = item.ticks > 0
		}
	}
	if due := next.watch.NextTick(); due.After(w.now) {
		w.now = due
	}
	w.cause = []byte("tick")
	next.step(func(now time.Time, effects *statemachine.Effects) { next.watch.Tick(now, effects) })
}

// firstItem is the oldest of what is under way and not held back.
func (w *world) firstItem() *pending {
	for _, item := range w.items {
		if !item.held {
			return item
		}
	}
	return nil
}

// ordinary takes the ordinary choice.
func (w *world) ordinary() {
	if item := w.firstItem(); item != nil {
		w.arrive(item)
	} else {
		w.tick()
	}
}

func (w *world) submit(to *node) {
	w.next++
	number := w.next
	w.cause = []byte("submit")
	to.step(func(now time.Time, effects *statemachine.Effects) {
		to.watch.Submit(now, binary.BigEndian.AppendUint64(nil, number), 2*time.Second, func(_ time.Time, _ *statemachine.Effects, outcome Outcome) {
			if outcome == Committed {
				said := to.ledger.said
				w.committed = slices.Clone(said[:slices.Index(said, number)+1])
			}
		}, effects)
	})
}

func (p *pending) label(w *world) string {
	name := w.nodes[p.to].self.Name
	if p.write != nil {
		return fmt.Sprintf("a write of %s lasts", name)
	}
	return fmt.Sprintf("%s takes %T%+v from %s", name, p.message, p.message, p.from)
}

func (w *world) offer(cost int, label func() string, do func()) {
	w.moves = append(w.moves, move{Choice: explore.Choice{Label: label, Cost: cost}, do: do})
}

// Choices lists what may happen next.
func (w *world) Choices() []explore.Choice {
	w.moves = w.moves[:0]
	first := w.firstItem()
	if first != nil {
		w.offer(0, func() string { return first.label(w) }, func() { w.arrive(first) })
	} else {
		w.offer(0, func() string { return "time passes" }, w.tick)
	}
	w.offerItems(first)
	w.offerTroubles(first)
	var choices []explore.Choice
	for _, each := range w.moves {
		choices = append(choices, each.Choice)
	}
	return choices
}

// offerItems offers other orders of what is under way.
func (w *world) offerItems(first *pending) {
	wrote := map[int]bool{}
	for _, item := range w.items {
		if item.write != nil {
			if wrote[item.to] {
				continue
			}
			wrote[item.to] = true
		}
		if item == first {
			continue
		}
		cost := 1
		if item.held {
			if first != nil {
				continue
			}
			cost = 0
		}
		w.offer(cost, func() string { return item.label(w) }, func() { w.arrive(item) })
	}
	if first != nil {
		w.offer(1, func() string { return "held back: " + first.label(w) }, func() { w.hold(first) })
	}
}

// holdTicks is for how many timers something may be held back.
const holdTicks = 4

// hold keeps one thing back, until some timers have run or, at a choice, until
// nothing else is under way; later writes of the same disk wait for it.
func (w *world) hold(item *pending) {
	item.held, item.ticks = true, holdTicks
	for _, other := range w.items {
		if item.write != nil && other.write != nil && other.to == item.to {
			other.held, other.ticks = true, holdTicks
		}
	}
}

func (w *world) offerTroubles(first *pending) {
	if serving := w.serving(); serving != nil && w.left.submits > 0 && serving.watch.PendingProposals() == 0 {
		w.offer(0, func() string { return "a command is submitted" }, func() {
			w.left.submits--
			w.submit(serving)
		})
	}
	if first != nil && first.write == nil {
		if w.left.losses > 0 {
			w.offer(1, func() string { return "lost: " + first.label(w) }, func() {
				w.left.losses--
				w.items = slices.DeleteFunc(w.items, func(other *pending) bool { return other == first })
			})
		}
		if w.left.repeats > 0 {
			w.offer(1, func() string { return "twice: " + first.label(w) }, func() {
				w.left.repeats--
				again := *first
				again.held, again.ticks = true, holdTicks
				w.items = append(w.items, &again)
				w.arrive(first)
			})
		}
	}
	mayLose := w.lost < w.tolerance && (w.mayLose == nil || w.mayLose(w))
	for _, each := range w.nodes {
		if !each.up {
			continue
		}
		if w.left.crashes > 0 {
			w.offer(1, func() string { return each.self.Name + " is started anew" }, func() {
				w.left.crashes--
				each.end()
				each.start()
			})
		}
		if w.left.wipes > 0 && mayLose {
			w.offer(1, func() string { return each.self.Name + " loses its disk" }, func() {
				w.left.wipes--
				each.wipe()
			})
			if w.left.powers > 0 {
				w.offer(1, func() string { return each.self.Name + " loses its disk, and all others lose power" }, func() {
					w.left.wipes--
					w.left.powers--
					w.power()
					each.wipe()
				})
			}
		}
		if w.left.kills > 0 && mayLose {
			w.offer(1, func() string { return each.self.Name + " is gone" }, func() {
				w.left.kills--
				w.lost++
				each.end()
				each.gone = true
			})
		}
	}
}

// leave asks a process to stop; its machine goes with it, disk and all.
func (n *node) leave() {
	n.world.cause = []byte("leave")
	n.step(func(now time.Time, effects *statemachine.Effects) { n.watch.Leave(now, effects) })
}

func (n *node) wipe() {
	n.world.lost++
	n.end()
	n.frame, n.entries, n.disk = nil, nil, explore.Key{}
	n.start()
}

// power takes the power of all that run; what is on the links is lost.
func (w *world) power() {
	for _, each := range w.nodes {
		if each.up {
			each.end()
		}
	}
	w.items = nil
	for _, each := range w.nodes {
		if !each.gone {
			each.start()
		}
	}
}

// Take lets one of the choices happen, and looks at what comes of it.
func (w *world) Take(choice int) {
	w.Choices()
	w.moves[choice].do()
	w.judge()
}

func (w *world) judge() {
	if w.broken != nil {
		return
	}
	var holders []string
	for _, each := range w.nodes {
		if !each.up {
			continue
		}
		if record := each.watch.Record(); record.Epoch > 0 {
			if earlier, found := w.decided[record.Epoch]; found && !same(earlier, record) {
				w.broken = fmt.Errorf("epoch %d is decided as %v and as %v", record.Epoch, earlier, record)
			}
			w.decided[record.Epoch] = record
		}
		if !each.watch.HoldsLease(w.now) {
			continue
		}
		holders = append(holders, each.self.Name)
		if said := each.ledger.said; len(said) < len(w.committed) || !slices.Equal(said[:len(w.committed)], w.committed) {
			w.broken = fmt.Errorf("%s holds the lease with %v, committed were %v", each.self.Name, said, w.committed)
		}
	}
	if len(holders) > 1 {
		w.broken = fmt.Errorf("the lease is held by %v", holders)
	}
}

func same(left, right Record) bool {
	return left.Epoch == right.Epoch && left.Primary == right.Primary &&
		slices.Equal(left.Backups, right.Backups) && slices.Equal(left.Voters, right.Voters)
}

// Broken tells which promise the present state breaks.
func (w *world) Broken() error { return w.broken }

var notPartOfTheState = []reflect.Type{reflect.TypeFor[*world](), reflect.TypeFor[Settings]()}

// Key names the state.
func (w *world) Key() explore.Key {
	parts := []any{w.left, w.lost, w.committed, w.next, w.now.Sub(w.begun) > catchUp}
	for _, each := range w.nodes {
		parts = append(parts, each.up, each.gone, each.cut, each.disk)
		if each.up {
			parts = append(parts, each.watch)
		}
	}
	for _, item := range w.items {
		parts = append(parts, item.to, item.from, item.packed, item.held, item.ticks, item.cause)
		if item.write != nil {
			parts = append(parts, item.write.Entries, item.write.Snapshot)
		}
	}
	return explore.KeyOf(w.now, notPartOfTheState, parts...)
}

// catchUp is how long a machine that is new counts as lost.
const catchUp = 4100 * time.Millisecond

// mostSteps is far above what twelve seconds take.
const mostSteps = 10000

// Finish lets all that is under way arrive, and then waits for somebody to serve.
func (w *world) Finish() error {
	for _, item := range w.items {
		item.held = false
	}
	for _, each := range w.nodes {
		each.cut = false
	}
	calm := w.now
	for steps := 0; w.now.Sub(calm) < 12*time.Second; steps++ {
		if steps > mostSteps {
			return fmt.Errorf("something goes on without end: %s", w.Choices()[0].Label())
		}
		w.ordinary()
		w.judge()
		if w.broken != nil {
			return w.broken
		}
		if serving := w.serving(); serving != nil && len(w.items) == 0 {
			return nil
		}
	}
	return fmt.Errorf("nobody serves 12s after the last trouble")
}
