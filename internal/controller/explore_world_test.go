package controller

import (
	"fmt"
	"reflect"
	"slices"
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/explore"
	"dahlialock/internal/membership"
	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

// Timeouts and limits of the modelled primary and of the exploration.
const (
	exploreReconcileInterval = 150 * time.Millisecond
	explorePollTimeout       = 600 * time.Millisecond
	exploreFailureTimeout    = 600 * time.Millisecond
	exploreRecoveryTime      = 8 * time.Second
	exploreDelayTicks        = 4
	// exploreMaxSteps is far above the number of steps that a recovery takes.
	exploreMaxSteps = 5000
)

var exploreStart = time.Unix(1_700_000_000, 0)

// inFlight is a message that has not arrived, or a write that has not completed.
type inFlight struct {
	to     string
	from   string
	packed []byte
	write  *statemachine.Write
	cause  []byte
	// delayed is set while the item is delayed; ticks is the number of remaining ticks.
	delayed bool
	ticks   int
}

// explorePoll is a store's poll that waits for a change.
type explorePoll struct {
	request  membership.ViewRequest
	deadline time.Time
}

// faultBudget is the remaining number of publications and of faults of each kind.
type faultBudget struct {
	appends, losses, duplicates, restarts, wipes, removals, retirements int
}

// storeWorld is a small world for exhaustive exploration, with real stores under the real
// placement rules: one partition, a few messages, and at each step the choice to restart, wipe,
// remove or retire a store. The modelled primary is always available.
type storeWorld struct {
	now         time.Time
	reconcileAt time.Time
	state       *State
	config      config.Configuration
	stores      []*exploreStore
	items       []*inFlight
	budget      faultBudget
	// lost counts the disks that were lost permanently.
	lost        int
	polls       map[string]explorePoll
	slowDisks   map[string]slowDisk
	lastRequest uint64
	accepted    map[string]uint64
	// fetched holds the message at each offset. Offset 0 is set once a fetch has succeeded.
	fetched   map[uint64]string
	violation error
	cause     []byte
	moves     []storeMove
}

// storeMove is a choice of the world, with the function that executes it.
type storeMove struct {
	explore.Choice
	do func()
}

func newStoreWorld(stores, tolerance int, budget faultBudget) *storeWorld {
	w := &storeWorld{
		now:         exploreStart,
		reconcileAt: exploreStart,
		state:       newState(),
		budget:      budget,
		polls:       map[string]explorePoll{},
		slowDisks:   map[string]slowDisk{},
		accepted:    map[string]uint64{},
		fetched:     map[uint64]string{},
	}
	w.apply(Command{Configuration: configured(1, testConfig), Tolerance: &tolerance})
	w.config, _ = config.Read(w.state.Document)
	for number := range stores {
		store := &exploreStore{world: w, number: number, name: fmt.Sprint("s", number)}
		w.stores = append(w.stores, store)
		store.start()
	}
	for range 500 {
		placement, placed := w.state.Placements[testPartition]
		if placed && placement.Complete && len(w.items) == 0 && w.accepts() {
			return w
		}
		w.step()
	}
	panic("the partition is not placed")
}

// accepts reports whether the leader has accepted a message, which requires that it has received
// its placement. It publishes another message if none was accepted yet.
func (w *storeWorld) accepts() bool {
	if len(w.accepted) == 0 && w.lastRequest < 200 {
		w.append("begin", 1)
	}
	return len(w.accepted) > 0
}

func (w *storeWorld) apply(command Command) { w.state.Apply(time.Time{}, encodeCommand(command)) }

func (w *storeWorld) store(name string) *exploreStore {
	for _, store := range w.stores {
		if store.name == name {
			return store
		}
	}
	return nil
}

func (w *storeWorld) leader() *exploreStore { return w.store(w.state.Placements[testPartition].Leader) }

func (w *storeWorld) follower() *exploreStore {
	return w.store(w.state.Placements[testPartition].Followers[0])
}

func (w *storeWorld) retire(store *exploreStore) {
	w.apply(Command{Retirement: &Retirement{Store: store.name, Retiring: true}})
}

func (w *storeWorld) send(from, to string, message any) {
	packed, err := transport.Encode(statemachine.Meta{From: from, Version: 1}, message)
	if err != nil {
		panic(err)
	}
	if store := w.store(to); store != nil && !store.up {
		return
	}
	w.items = append(w.items, &inFlight{to: to, from: from, packed: packed})
}

// append publishes a message.
func (w *storeWorld) append(sender string, seq uint64) {
	w.lastRequest++
	w.send(gatewayAddress, w.state.Placements[testPartition].Leader, partition.Append{
		Partition: testPartition,
		RequestID: w.lastRequest,
		Topic:     "a",
		Sender:    sender,
		Seq:       seq,
		Data:      fmt.Appendf(nil, "%s %d", sender, seq),
	})
}

// arrive delivers a message or completes a write.
func (w *storeWorld) arrive(item *inFlight) {
	w.items = slices.DeleteFunc(w.items, func(other *inFlight) bool { return other == item })
	store := w.store(item.to)
	if item.write != nil {
		w.cause = item.cause
		store.finishWrite(item.write)
		return
	}
	meta, message, err := transport.Decode(item.packed[4:])
	if err != nil {
		panic(err)
	}
	w.cause = item.packed
	switch item.to {
	case controllerAddress:
		w.handleAsController(item.from, message)
	case gatewayAddress:
		w.handleAsGateway(message)
	default:
		store.step(func(now time.Time, effects *statemachine.Effects) {
			store.machine.HandleMessage(now, meta, message, effects)
		})
	}
}

// handleAsController handles a message to the modelled primary.
func (w *storeWorld) handleAsController(from string, message any) {
	switch body := message.(type) {
	case membership.ViewRequest:
		if store := w.store(from); !store.up || uint64(store.incarnation) != body.Self.Incarnation {
			return
		}
		known, found := w.state.Members[from]
		if !found || known.Incarnation < body.Self.Incarnation || !known.Alive {
			w.apply(Command{Joins: []Join{{Self: body.Self}}})
		}
		w.polls[from] = explorePoll{request: body, deadline: w.now.Add(explorePollTimeout)}
		w.answerPolls()
	case membership.PartitionReplicated:
		w.apply(Command{Replicated: []membership.PartitionReplicated{body}})
	case membership.SlowDiskReport:
		w.slowDisks[body.Name] = slowDisk{at: w.now, incarnation: body.Incarnation, delay: body.Delay}
	}
}

// answerPolls answers the polls of stores whose view is out of date, and those that have reached
// their deadline.
func (w *storeWorld) answerPolls() {
	for from, poll := range statemachine.Sorted(w.polls) {
		if poll.request.Index == w.state.Index && w.now.Before(poll.deadline) {
			continue
		}
		delete(w.polls, from)
		w.send(controllerAddress, from, updateFor(w.state, from, poll.request))
	}
}

// reconcile marks stores that are down as failed, completes retirements, and plans degradations
// and placements.
func (w *storeWorld) reconcile() {
	for _, store := range w.stores {
		member, found := w.state.Members[store.name]
		if found && member.Alive && !store.up && w.now.Sub(store.endedAt) >= exploreFailureTimeout {
			w.apply(Command{Leaves: []MemberIncarnation{{Name: store.name, Incarnation: member.Incarnation}}})
		}
		if !w.state.Members[store.name].Retired {
			w.apply(Command{RetiredStores: []string{store.name}})
		}
		if w.state.Members[store.name].Retired && !store.removed {
			// The machine is removed at once, together with its disk.
			store.remove()
		}
	}
	if changes := w.state.planDegradations(w.now, w.slowDisks); len(changes) > 0 {
		w.apply(Command{Degradations: changes})
	}
	if changes := w.state.planPlacements(w.config); len(changes) > 0 {
		w.apply(Command{Placements: changes})
	}
	w.answerPolls()
}

func (w *storeWorld) handleAsGateway(message any) {
	switch body := message.(type) {
	case partition.AppendResponse:
		if body.Outcome != partition.OutcomeAccepted {
			return
		}
		name := fmt.Sprintf("%s/%d", body.Record.Sender, body.Record.Seq)
		if earlier, found := w.accepted[name]; found && earlier != body.Record.Offset {
			w.violation = fmt.Errorf("%s was accepted at %d and at %d", name, earlier, body.Record.Offset)
		}
		w.accepted[name] = body.Record.Offset
	case partition.FetchResponse:
		if !body.Ready {
			return
		}
		for _, record := range body.Records {
			w.fetched[record.Offset] = fmt.Sprintf("%s/%d", record.Sender, record.Seq)
		}
		w.fetched[0] = "answered"
	}
}

// step executes the next event without a fault.
func (w *storeWorld) step() {
	if item := w.next(); item != nil {
		w.arrive(item)
	} else {
		w.tick()
	}
}

// next returns the oldest item in flight that is not delayed, or nil.
func (w *storeWorld) next() *inFlight {
	for _, item := range w.items {
		if !item.delayed {
			return item
		}
	}
	return nil
}

// tick advances the time to the next tick of a store or the next reconciliation, and runs it.
func (w *storeWorld) tick() {
	for _, item := range w.items {
		if item.delayed {
			item.ticks--
			item.delayed = item.ticks > 0
		}
	}
	var next *exploreStore
	for _, store := range w.stores {
		if store.up && (next == nil || store.machine.NextTick().Before(next.machine.NextTick())) {
			next = store
		}
	}
	w.cause = []byte("tick")
	if next == nil || !w.reconcileAt.After(next.machine.NextTick()) {
		w.advanceTo(w.reconcileAt)
		w.reconcileAt = w.now.Add(exploreReconcileInterval)
		w.reconcile()
		return
	}
	w.advanceTo(next.machine.NextTick())
	next.step(func(now time.Time, effects *statemachine.Effects) { next.machine.Tick(now, effects) })
}

func (w *storeWorld) advanceTo(at time.Time) {
	if at.After(w.now) {
		w.now = at
	}
}

// Violation returns the violation that was found, if any.
func (w *storeWorld) Violation() error { return w.violation }

// excludedTypes are the types whose values are not part of a world's state.
var excludedTypes = []reflect.Type{
	reflect.TypeFor[*storeWorld](),
	reflect.TypeFor[partition.Settings](),
	reflect.TypeFor[partition.Counts](),
	reflect.TypeFor[config.Configuration](),
}

// Key identifies the state of the world.
func (w *storeWorld) Key() explore.Key {
	parts := []any{
		w.budget, w.lost, w.reconcileAt, w.state.Placements, w.state.Members, w.state.Index,
		w.polls, w.slowDisks, w.accepted,
	}
	for _, store := range w.stores {
		parts = append(parts, store.up, store.removed, store.disk, store.incarnation, store.endedAt)
		if store.up {
			parts = append(parts, store.machine)
		}
	}
	for _, item := range w.items {
		parts = append(parts, item.to, item.from, item.packed, item.delayed, item.ticks, item.cause)
		if item.write != nil {
			parts = append(parts, item.write.Entries)
		}
	}
	return explore.KeyOf(w.now, excludedTypes, parts...)
}

// Finish runs the world without further faults until the partition is replicated again, and
// checks all its records.
func (w *storeWorld) Finish() error {
	for _, item := range w.items {
		item.delayed = false
	}
	began, requestedAt := w.now, time.Time{}
	for steps := 0; w.now.Sub(began) < exploreRecoveryTime; steps++ {
		if steps > exploreMaxSteps {
			return fmt.Errorf("the world does not become idle; the next event is: %s", w.Choices()[0].Label())
		}
		w.step()
		if w.violation != nil {
			return w.violation
		}
		placement := w.state.Placements[testPartition]
		ready := len(w.items) == 0 && placement.Complete && w.leader().up
		if !ready || w.now.Sub(began) < time.Second {
			continue
		}
		if w.fetched[0] != "" {
			return w.checkFetched(placement.Leader)
		}
		if w.now.Sub(requestedAt) >= exploreReconcileInterval {
			w.lastRequest++
			requestedAt = w.now
			w.send(gatewayAddress, placement.Leader, partition.Fetch{
				Partition: testPartition,
				RequestID: w.lastRequest,
				Prefixes:  []string{""},
			})
		}
	}
	return fmt.Errorf("the partition is not replicated %s after the last fault: %+v",
		exploreRecoveryTime, w.state.Placements[testPartition])
}

// checkFetched checks that the leader has all accepted messages at their offsets.
func (w *storeWorld) checkFetched(leader string) error {
	for name, offset := range w.accepted {
		if w.fetched[offset] != name {
			return fmt.Errorf("%s was accepted at %d, where %s has %q", name, offset, leader, w.fetched[offset])
		}
	}
	return nil
}

// exploreStore is a real store on a modelled disk.
type exploreStore struct {
	world       *storeWorld
	number      int
	name        string
	machine     *partition.Store
	up          bool
	removed     bool
	incarnation int
	endedAt     time.Time
	snapshot    []byte
	entries     [][]byte
	// disk is a key of the disk's contents.
	disk explore.Key
}

func (s *exploreStore) member() membership.Member {
	return membership.Member{
		Name:        s.name,
		Kind:        membership.KindStore,
		Address:     s.name,
		Zone:        s.name,
		Incarnation: uint64(s.incarnation),
		Alive:       true,
	}
}

func (s *exploreStore) start() {
	s.incarnation++
	machine, err := partition.New(partition.Settings{
		Self:        s.member(),
		Seeds:       []string{controllerAddress},
		NewDisk:     fmt.Sprintf("%s-%d", s.name, s.incarnation),
		Incarnation: statemachine.Incarnation(s.number<<8 + s.incarnation),
	}, s.snapshot, s.entries)
	if err != nil {
		panic(err)
	}
	s.machine, s.up = machine, true
	s.step(func(now time.Time, effects *statemachine.Effects) { machine.Start(now, effects) })
}

func (s *exploreStore) end() {
	s.up, s.endedAt = false, s.world.now
	s.world.items = slices.DeleteFunc(s.world.items, func(item *inFlight) bool { return item.to == s.name })
}

// restart ends the process and starts it again at once.
func (s *exploreStore) restart() {
	s.end()
	s.start()
}

// remove removes the store's machine together with its disk.
func (s *exploreStore) remove() {
	if s.up {
		s.end()
	}
	s.removed = true
	s.snapshot, s.entries = nil, nil
}

// stop requests a graceful shutdown of the store.
func (s *exploreStore) stop() {
	s.world.cause = []byte("stop")
	s.step(func(now time.Time, effects *statemachine.Effects) {
		s.machine.HandleCommand(now, partition.Stop{}, effects)
	})
}

func (s *exploreStore) step(run func(now time.Time, effects *statemachine.Effects)) {
	w := s.world
	var effects statemachine.Effects
	run(w.now, &effects)
	for _, send := range effects.Sends {
		w.send(s.name, send.To, send.Message)
	}
	if effects.Stop {
		s.remove()
		return
	}
	for _, write := range effects.Writes {
		w.items = append(w.items, &inFlight{to: s.name, write: &write, cause: w.cause})
	}
}

// finishWrite completes a write.
func (s *exploreStore) finishWrite(write *statemachine.Write) {
	if snapshot, complete := write.SnapshotBytes(); complete {
		s.snapshot, s.entries = snapshot, nil
	}
	s.entries = append(s.entries, write.Entries...)
	s.disk = explore.KeyOf(time.Time{}, nil, s.disk, write.Entries, s.snapshot)
	s.step(func(now time.Time, effects *statemachine.Effects) {
		s.machine.HandleCommand(now, statemachine.Synced{Token: write.Token}, effects)
	})
}
