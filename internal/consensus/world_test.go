package consensus

// A small model of a cluster for exhaustive exploration of the orders in which messages are
// delivered, writes are synced and timers expire, with lost and duplicated messages and with
// processes that are restarted or lost, with or without their disks. The default schedule
// processes the oldest item in flight first, and advances the time once nothing is in flight.
// Each deviation from the default schedule has a cost.

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

// faultBudget is how many events of each type may still happen.
type faultBudget struct {
	submits     int
	losses      int
	repeats     int
	crashes     int
	wipes       int
	kills       int
	powerLosses int
}

// inFlight is a message that is not delivered yet, or a write that is not synced yet.
type inFlight struct {
	to      int
	from    string
	message any
	packed  []byte
	delayed bool
	// ticks is the number of ticks for which the item is still delayed.
	ticks int
	write *statemachine.Write
	// cause is the message that caused the write. It is part of the fingerprint, since the
	// continuation of the write depends on both.
	cause []byte
}

// process is a node and its disk.
type process struct {
	world    *world
	number   int
	self     Controller
	node     *Node
	state    *appliedNumbers
	snapshot []byte
	entries  [][]byte
	// disk is the fingerprint of the contents of the disk.
	disk        explore.Key
	up          bool
	removed     bool
	partitioned bool
	runs        int
}

// world is a state of the exploration.
type world struct {
	now       time.Time
	begun     time.Time
	processes []*process
	items     []*inFlight
	remaining faultBudget
	tolerance int
	committed []uint64
	next      uint64
	decided   map[uint64]Record
	broken    error
	cause     []byte
	moves     []move
	// lost is how many processes were lost with their disks, at most as many as are tolerated.
	// mayLose, if set, reports whether another one may be lost in the current state.
	lost    int
	mayLose func(w *world) bool
}

// move is a choice of the exploration and its action.
type move struct {
	explore.Choice
	do func()
}

func newWorld(controllers, voters, tolerance int, faults faultBudget) *world {
	w := &world{
		now:       startTime,
		begun:     startTime,
		remaining: faults,
		tolerance: tolerance,
		decided:   map[uint64]Record{},
	}
	record := Record{Epoch: 1, Primary: "c0"}
	for number := range controllers {
		name := fmt.Sprint("c", number)
		self := Controller{Name: name, Address: name, Zone: fmt.Sprint(number), DiskID: "disk-" + name}
		w.processes = append(w.processes, &process{world: w, number: number, self: self})
		if number < voters {
			record.Voters = append(record.Voters, self)
		}
		if number > 0 && number <= max(1, tolerance) {
			record.Backups = append(record.Backups, name)
		}
	}
	for _, each := range w.processes {
		hardState := HardState{DiskID: each.self.DiskID, Record: record}
		if each.self.Name == record.Primary || slices.Contains(record.Backups, each.self.Name) {
			hardState.CompleteEpoch = 1
		}
		each.entries = [][]byte{transport.MustMarshal(diskEntry{HardState: &hardState})}
	}
	for _, each := range w.processes {
		each.start()
	}
	// Leases that were granted before the initial state have expired.
	for _, each := range w.processes {
		each.node.voter.uncertainUntil = w.now
		each.node.lease.lastGrant = map[string]time.Time{}
		for _, other := range record.Voters {
			each.node.lease.lastGrant[other.Name] = w.now
		}
	}
	w.runUntilServing()
	return w
}

// runUntilServing runs the default schedule until a process serves and nothing is in flight.
func (w *world) runUntilServing() {
	for range 400 {
		if w.serving() != nil && len(w.items) == 0 {
			return
		}
		w.defaultStep()
	}
	panic("no process serves in the initial state")
}

func (w *world) serving() *process {
	for _, each := range w.processes {
		if each.up && each.node.Serving(w.now) {
			return each
		}
	}
	return nil
}

func (p *process) start() {
	settings := Settings{
		Self:      p.self,
		Seeds:     []string{"c0", "c1", "c2"},
		Tolerance: p.world.tolerance,
		NewDiskID: p.self.DiskID,
	}
	settings.Self.DiskID = ""
	if p.runs > 0 {
		settings.NewDiskID = fmt.Sprintf("%s-%d", p.self.DiskID, p.runs)
	}
	p.runs++
	settings.Incarnation = statemachine.Incarnation(p.number<<8 + p.runs)
	p.state = &appliedNumbers{}
	node, err := New(settings, p.state, p.snapshot, p.entries)
	if err != nil {
		panic(err)
	}
	p.node, p.up = node, true
	p.step(func(now time.Time, effects *statemachine.Effects) { node.Start(now, effects) })
}

// end ends a process. Its unsynced writes and the messages in flight to it are lost.
func (p *process) end() {
	p.up = false
	p.world.items = slices.DeleteFunc(p.world.items, func(item *inFlight) bool { return item.to == p.number })
}

func (p *process) step(run func(now time.Time, effects *statemachine.Effects)) {
	w := p.world
	var effects statemachine.Effects
	run(w.now, &effects)
	for _, send := range effects.Sends {
		for _, to := range w.processes {
			if to.self.Address != send.To || !to.up || to.partitioned != p.partitioned {
				continue
			}
			packed, err := transport.Encode(statemachine.Meta{From: p.self.Address}, send.Message)
			if err != nil {
				panic(err)
			}
			w.items = append(w.items, &inFlight{to: to.number, from: p.self.Address, message: decoded(packed), packed: packed})
		}
	}
	if p.node.LeaveCompleted() {
		p.end()
		p.removed = true
		return
	}
	for _, write := range effects.Writes {
		w.items = append(w.items, &inFlight{to: p.number, write: &write, cause: w.cause})
	}
}

// decodedMessages caches decoded messages, since an exploration decodes the same messages many
// times.
var decodedMessages = map[string]any{}

func decoded(packed []byte) any {
	if message, found := decodedMessages[string(packed)]; found {
		return message
	}
	_, message, err := transport.Decode(packed[4:])
	if err != nil {
		panic(err)
	}
	decodedMessages[string(packed)] = message
	return message
}

func (w *world) deliver(item *inFlight) {
	w.items = slices.DeleteFunc(w.items, func(other *inFlight) bool { return other == item })
	w.handle(item)
}

func (w *world) handle(item *inFlight) {
	to := w.processes[item.to]
	if item.write == nil {
		w.cause = item.packed
		to.step(func(now time.Time, effects *statemachine.Effects) {
			to.node.HandleMessage(now, statemachine.Meta{From: item.from}, item.message, effects)
		})
		return
	}
	if item.write.Snapshot != nil {
		to.snapshot, to.entries = item.write.Snapshot, nil
	}
	to.entries = append(to.entries, item.write.Entries...)
	to.disk = explore.KeyOf(time.Time{}, nil, to.disk, item.write.Entries, item.write.Snapshot)
	w.cause = item.cause
	to.step(func(now time.Time, effects *statemachine.Effects) { to.node.Synced(now, item.write.Token, effects) })
}

// tick advances the time to the next timer of any process and runs it.
func (w *world) tick() {
	var next *process
	for _, each := range w.processes {
		if each.up && (next == nil || each.node.NextTick().Before(next.node.NextTick())) {
			next = each
		}
	}
	if next == nil {
		panic("no process is up")
	}
	for _, item := range w.items {
		if item.delayed {
			item.ticks--
			item.delayed = item.ticks > 0
		}
	}
	if due := next.node.NextTick(); due.After(w.now) {
		w.now = due
	}
	w.cause = []byte("tick")
	next.step(func(now time.Time, effects *statemachine.Effects) { next.node.Tick(now, effects) })
}

// oldestItem returns the oldest item that is in flight and not delayed, or nil.
func (w *world) oldestItem() *inFlight {
	for _, item := range w.items {
		if !item.delayed {
			return item
		}
	}
	return nil
}

// defaultStep takes one step of the default schedule.
func (w *world) defaultStep() {
	if item := w.oldestItem(); item != nil {
		w.deliver(item)
	} else {
		w.tick()
	}
}

func (w *world) submit(to *process) {
	w.next++
	number := w.next
	command := binary.BigEndian.AppendUint64(nil, number)
	done := func(_ time.Time, _ *statemachine.Effects, outcome Outcome) {
		if outcome == Committed {
			applied := to.state.numbers
			w.committed = slices.Clone(applied[:slices.Index(applied, number)+1])
		}
	}
	w.cause = []byte("submit")
	to.step(func(now time.Time, effects *statemachine.Effects) {
		to.node.Submit(now, command, 2*time.Second, done, effects)
	})
}

func (p *inFlight) label(w *world) string {
	name := w.processes[p.to].self.Name
	if p.write != nil {
		return fmt.Sprintf("a write of %s is synced", name)
	}
	return fmt.Sprintf("%s receives %T%+v from %s", name, p.message, p.message, p.from)
}

func (w *world) addMove(cost int, label func() string, do func()) {
	w.moves = append(w.moves, move{Choice: explore.Choice{Label: label, Cost: cost}, do: do})
}

// Choices lists the possible next events.
func (w *world) Choices() []explore.Choice {
	w.moves = w.moves[:0]
	first := w.oldestItem()
	if first != nil {
		w.addMove(0, func() string { return first.label(w) }, func() { w.deliver(first) })
	} else {
		w.addMove(0, func() string { return "the time advances" }, w.tick)
	}
	w.addReorderings(first)
	w.addFaults(first)
	var choices []explore.Choice
	for _, each := range w.moves {
		choices = append(choices, each.Choice)
	}
	return choices
}

// addReorderings adds the choices that process items in flight in another order.
func (w *world) addReorderings(first *inFlight) {
	hasWrite := map[int]bool{}
	for _, item := range w.items {
		if item.write != nil {
			if hasWrite[item.to] {
				continue
			}
			hasWrite[item.to] = true
		}
		if item == first {
			continue
		}
		cost := 1
		if item.delayed {
			if first != nil {
				continue
			}
			cost = 0
		}
		w.addMove(cost, func() string { return item.label(w) }, func() { w.deliver(item) })
	}
	if first != nil {
		w.addMove(1, func() string { return "delayed: " + first.label(w) }, func() { w.delay(first) })
	}
}

// delayTicks is how many timers run before a delayed item is processed again.
const delayTicks = 4

// delay delays an item until delayTicks timers have run. The exploration may also choose to
// process it once only delayed items are in flight. Later writes to the same disk are delayed
// too.
func (w *world) delay(item *inFlight) {
	item.delayed, item.ticks = true, delayTicks
	for _, other := range w.items {
		if item.write != nil && other.write != nil && other.to == item.to {
			other.delayed, other.ticks = true, delayTicks
		}
	}
}

func (w *world) addFaults(first *inFlight) {
	if serving := w.serving(); serving != nil && w.remaining.submits > 0 && serving.node.PendingProposals() == 0 {
		w.addMove(0, func() string { return "a command is submitted" }, func() {
			w.remaining.submits--
			w.submit(serving)
		})
	}
	if first != nil && first.write == nil {
		w.addLinkFaults(first)
	}
	mayLose := w.lost < w.tolerance && (w.mayLose == nil || w.mayLose(w))
	for _, each := range w.processes {
		if each.up {
			w.addProcessFaults(each, mayLose)
		}
	}
}

// addLinkFaults adds the choices in which the first message is lost or duplicated.
func (w *world) addLinkFaults(first *inFlight) {
	if w.remaining.losses > 0 {
		w.addMove(1, func() string { return "lost: " + first.label(w) }, func() {
			w.remaining.losses--
			w.items = slices.DeleteFunc(w.items, func(other *inFlight) bool { return other == first })
		})
	}
	if w.remaining.repeats > 0 {
		w.addMove(1, func() string { return "duplicated: " + first.label(w) }, func() {
			w.remaining.repeats--
			again := *first
			again.delayed, again.ticks = true, delayTicks
			w.items = append(w.items, &again)
			w.deliver(first)
		})
	}
}

// addProcessFaults adds the choices in which a process is restarted, with or without its disk, or
// is lost.
func (w *world) addProcessFaults(each *process, mayLose bool) {
	if w.remaining.crashes > 0 {
		w.addMove(1, func() string { return each.self.Name + " is restarted" }, func() {
			w.remaining.crashes--
			each.end()
			each.start()
		})
	}
	if w.remaining.wipes > 0 && mayLose {
		w.addMove(1, func() string { return each.self.Name + " loses its disk" }, func() {
			w.remaining.wipes--
			each.wipe()
		})
		if w.remaining.powerLosses > 0 {
			w.addMove(1, func() string { return each.self.Name + " loses its disk, and all others lose power" }, func() {
				w.remaining.wipes--
				w.remaining.powerLosses--
				w.losePower()
				each.wipe()
			})
		}
	}
	if w.remaining.kills > 0 && mayLose {
		w.addMove(1, func() string { return each.self.Name + " is permanently lost" }, func() {
			w.remaining.kills--
			w.lost++
			each.end()
			each.removed = true
		})
	}
}

// leave asks a process to leave. Once it has left, it is removed with its disk.
func (p *process) leave() {
	p.world.cause = []byte("leave")
	p.step(func(now time.Time, effects *statemachine.Effects) { p.node.Leave(now, effects) })
}

func (p *process) wipe() {
	p.world.lost++
	p.end()
	p.snapshot, p.entries, p.disk = nil, nil, explore.Key{}
	p.start()
}

// losePower restarts all processes. All items in flight are lost.
func (w *world) losePower() {
	for _, each := range w.processes {
		if each.up {
			each.end()
		}
	}
	w.items = nil
	for _, each := range w.processes {
		if !each.removed {
			each.start()
		}
	}
}

// Take executes one of the choices and checks the invariants.
func (w *world) Take(choice int) {
	w.Choices()
	w.moves[choice].do()
	w.checkInvariants()
}

func (w *world) checkInvariants() {
	if w.broken != nil {
		return
	}
	var holders []string
	for _, each := range w.processes {
		if !each.up {
			continue
		}
		if record := each.node.Record(); record.Epoch > 0 {
			if earlier, found := w.decided[record.Epoch]; found && !same(earlier, record) {
				w.broken = fmt.Errorf("epoch %d is decided as %v and as %v", record.Epoch, earlier, record)
			}
			w.decided[record.Epoch] = record
		}
		if !each.node.HoldsLease(w.now) {
			continue
		}
		holders = append(holders, each.self.Name)
		applied := each.state.numbers
		if len(applied) < len(w.committed) || !slices.Equal(applied[:len(w.committed)], w.committed) {
			w.broken = fmt.Errorf("%s holds the lease with state %v, but %v is committed", each.self.Name, applied, w.committed)
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

// Violation returns the invariant that was violated, if any.
func (w *world) Violation() error { return w.broken }

var excludedFromKey = []reflect.Type{reflect.TypeFor[*world](), reflect.TypeFor[Settings]()}

// Key returns the fingerprint of the state.
func (w *world) Key() explore.Key {
	parts := []any{w.remaining, w.lost, w.committed, w.next, w.now.Sub(w.begun) > newMachineDelay}
	for _, each := range w.processes {
		parts = append(parts, each.up, each.removed, each.partitioned, each.disk)
		if each.up {
			parts = append(parts, each.node)
		}
	}
	for _, item := range w.items {
		parts = append(parts, item.to, item.from, item.packed, item.delayed, item.ticks, item.cause)
		if item.write != nil {
			parts = append(parts, item.write.Entries, item.write.Snapshot)
		}
	}
	return explore.KeyOf(w.now, excludedFromKey, parts...)
}

// newMachineDelay is how long a new machine counts as lost, so that no other may be lost.
const newMachineDelay = 4100 * time.Millisecond

// maxSteps is far above the number of steps that twelve seconds take.
const maxSteps = 10000

// Finish delivers all items in flight and runs the default schedule until a process serves.
func (w *world) Finish() error {
	for _, item := range w.items {
		item.delayed = false
	}
	for _, each := range w.processes {
		each.partitioned = false
	}
	lastFault := w.now
	for steps := 0; w.now.Sub(lastFault) < 12*time.Second; steps++ {
		if steps > maxSteps {
			return fmt.Errorf("the cluster does not become idle, the next event is: %s", w.Choices()[0].Label())
		}
		w.defaultStep()
		w.checkInvariants()
		if w.broken != nil {
			return w.broken
		}
		if serving := w.serving(); serving != nil && len(w.items) == 0 {
			return nil
		}
	}
	return fmt.Errorf("no process serves 12s after the last fault")
}
