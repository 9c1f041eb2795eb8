// A small world of real stores under the real placement rules for exhaustive walks:
// one partition, a few messages, and at each step a store that ends, loses its disk
// or is retired. The primary is modelled as one that is always there.
package controller

import (
	"flag"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/config"
	"dahlialock/internal/explore"
	"dahlialock/internal/membership"
	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

var deep = flag.Bool("deep", false, "walk the longer explorations too")

// Spans of the modelled primary.
const (
	exploreTendEvery = 150 * time.Millisecond
	exploreAskHeld   = 600 * time.Millisecond
	exploreMissAfter = 600 * time.Millisecond
	exploreCalm      = 8 * time.Second
	exploreHoldTicks = 4
	// exploreMostSteps is far above what the calm takes.
	exploreMostSteps = 5000
)

var exploreOrigin = time.Unix(1_700_000_000, 0)

type exploreStore struct {
	world   *storeWorld
	number  int
	name    string
	machine *partition.Store
	up      bool
	gone    bool
	lives   int
	endedAt time.Time
	frame   []byte
	entries [][]byte
	disk    explore.Key
}

// underWay is a message on its way, or a write that does not last yet.
type onTheWay struct {
	to     string
	from   string
	packed []byte
	write  *statemachine.Write
	cause  []byte
	held   bool
	ticks  int
}

type storeTroubles struct {
	appends, losses, repeats, crashes, wipes, kills, retires int
}

type storeWorld struct {
	now      time.Time
	tendAt   time.Time
	state    *State
	config   config.Configuration
	stores   []*exploreStore
	items    []*onTheWay
	left     storeTroubles
	lost     int
	asks     map[string]heldAsk
	lags     map[string]lag
	asked    uint64
	accepted map[string]uint64
	fetched  map[uint64]string
	broken   error
	cause    []byte
	moves    []storeMove
}

type storeMove struct {
	explore.Choice
	do func()
}

func newStoreWorld(stores, tolerance int, left storeTroubles) *storeWorld {
	w := &storeWorld{
		now: exploreOrigin, tendAt: exploreOrigin, state: newState(), left: left, asks: map[string]heldAsk{}, lags: map[string]lag{}, accepted: map[string]uint64{}, fetched: map[uint64]string{},
	}
	w.apply(Command{Configuration: configured(1, testConfig), Tolerance: &tolerance})
	w.config, _ = config.Read(w.state.Document)
	for number := range stores {
		store := &exploreStore{world: w, number: number, name: fmt.Sprint("s", number)}
		w.stores = append(w.stores, store)
		store.start()
	}
	for range 500 {
		if place, placed := w.state.Places[testPartition]; placed && place.Complete && len(w.items) == 0 && w.knownEverywhere() {
			return w
		}
		w.ordinary()
	}
	panic("the partition is not placed")
}

// knownEverywhere tells whether the first accepts: it has taken its placement.
func (w *storeWorld) knownEverywhere() bool {
	if len(w.accepted) == 0 && w.asked < 200 {
		w.append("begin", 1)
	}
	return len(w.accepted) > 0
}

func (w *storeWorld) apply(command Command) { w.state.Apply(time.Time{}, mustPack(command)) }

func (s *exploreStore) member() membership.Member {
	return membership.Member{Name: s.name, Kind: membership.KindStore, Address: s.name, Zone: s.name, Incarnation: uint64(s.lives), Alive: true}
}

func (s *exploreStore) start() {
	s.lives++
	machine, err := partition.New(partition.Settings{
		Self: s.member(), Seeds: []string{"controller"}, NewDisk: fmt.Sprintf("%s-%d", s.name, s.lives), Incarnation: statemachine.Incarnation(s.number<<8 + s.lives),
	}, s.frame, s.entries)
	if err != nil {
		panic(err)
	}
	s.machine, s.up = machine, true
	s.step(func(now time.Time, effects *statemachine.Effects) { machine.Start(now, effects) })
}

func (s *exploreStore) end() {
	s.up, s.endedAt = false, s.world.now
	s.world.items = slices.DeleteFunc(s.world.items, func(item *onTheWay) bool { return item.to == s.name })
}

func (s *exploreStore) step(run func(now time.Time, effects *statemachine.Effects)) {
	w := s.world
	var effects statemachine.Effects
	run(w.now, &effects)
	for _, send := range effects.Sends {
		w.send(s.name, send.To, send.Message)
	}
	if effects.Stop {
		// Its machine is taken away with it.
		s.remove()
		return
	}
	for _, write := range effects.Writes {
		w.items = append(w.items, &onTheWay{to: s.name, write: &write, cause: w.cause})
	}
}

func (w *storeWorld) send(from, to string, message any) {
	packed, err := transport.Encode(statemachine.Meta{From: from, Version: 1}, message)
	if err != nil {
		panic(err)
	}
	if store := w.store(to); store != nil && !store.up {
		return
	}
	w.items = append(w.items, &onTheWay{to: to, from: from, packed: packed})
}

func (w *storeWorld) store(name string) *exploreStore {
	for _, store := range w.stores {
		if store.name == name {
			return store
		}
	}
	return nil
}

func (w *storeWorld) arrive(item *onTheWay) {
	w.items = slices.DeleteFunc(w.items, func(other *onTheWay) bool { return other == item })
	w.give(item)
}

func (w *storeWorld) give(item *onTheWay) {
	store := w.store(item.to)
	if item.write != nil {
		if frame, whole := item.write.SnapshotBytes(); whole {
			store.frame, store.entries = frame, nil
		}
		store.entries = append(store.entries, item.write.Entries...)
		store.disk = explore.KeyOf(time.Time{}, nil, store.disk, item.write.Entries, store.frame)
		w.cause = item.cause
		store.step(func(now time.Time, effects *statemachine.Effects) {
			store.machine.HandleCommand(now, statemachine.Synced{Token: item.write.Token}, effects)
		})
		return
	}
	meta, message, err := transport.Decode(item.packed[4:])
	if err != nil {
		panic(err)
	}
	w.cause = item.packed
	switch item.to {
	case "controller":
		w.controller(item.from, message)
	case "gateway":
		w.gateway(message)
	default:
		store.step(func(now time.Time, effects *statemachine.Effects) {
			store.machine.HandleMessage(now, meta, message, effects)
		})
	}
}

// controller answers as the primary would.
func (w *storeWorld) controller(from string, message any) {
	switch body := message.(type) {
	case membership.ViewRequest:
		if store := w.store(from); !store.up || uint64(store.lives) != body.Self.Incarnation {
			return
		}
		if known, found := w.state.Members[from]; !found || known.Incarnation < body.Self.Incarnation || !known.Alive {
			w.apply(Command{Joins: []Join{{Self: body.Self}}})
		}
		w.asks[from] = heldAsk{ask: body, until: w.now.Add(exploreAskHeld)}
		w.answerNews()
	case membership.PartitionReplicated:
		w.apply(Command{Settled: []membership.PartitionReplicated{body}})
	case membership.SlowDiskReport:
		w.lags[body.Name] = lag{at: w.now, incarnation: body.Incarnation, delay: body.Delay}
	}
}

// heldAsk is a store's question that waits for news.
type heldAsk struct {
	ask   membership.ViewRequest
	until time.Time
}

// answerNews answers whoever there is news for, or has waited long enough.
func (w *storeWorld) answerNews() {
	for from, held := range statemachine.Sorted(w.asks) {
		if held.ask.Index == w.state.Index && w.now.Before(held.until) {
			continue
		}
		delete(w.asks, from)
		news := membership.ViewUpdate{
			Recipient: from, Nonce: held.ask.Nonce, Epoch: 1, Primary: "controller", Index: w.state.Index, Version: w.state.Version, Document: w.state.Document,
		}
		if held.ask.Index != w.state.Index {
			w.state.view(&news, held.ask.Index)
		}
		w.send("controller", from, news)
	}
}

// tend misses stores, tells which are emptied, and places.
func (w *storeWorld) tend() {
	for _, store := range w.stores {
		member, found := w.state.Members[store.name]
		if found && member.Alive && !store.up && w.now.Sub(store.endedAt) >= exploreMissAfter {
			w.apply(Command{Departures: []Departure{{Name: store.name, Incarnation: member.Incarnation}}})
		}
		if !w.state.Members[store.name].Retired {
			w.apply(Command{Emptied: []string{store.name}})
		}
		if w.state.Members[store.name].Retired && !store.gone {
			// It is taken away at once, disk and all.
			store.remove()
		}
	}
	if changes := w.state.degradations(w.now, w.lags); len(changes) > 0 {
		w.apply(Command{Degradations: changes})
	}
	if changes := w.state.plan(w.config); len(changes) > 0 {
		w.apply(Command{Places: changes})
	}
	w.answerNews()
}

func (s *exploreStore) remove() {
	if s.up {
		s.end()
	}
	s.gone = true
	s.frame, s.entries = nil, nil
}

func (w *storeWorld) append(sender string, seq uint64) {
	w.asked++
	w.send("gateway", w.state.Places[testPartition].Leader, partition.Append{
		Partition: testPartition, RequestID: w.asked, Topic: "a", Sender: sender, Seq: seq, Data: fmt.Appendf(nil, "%s %d", sender, seq),
	})
}

func (w *storeWorld) gateway(message any) {
	switch body := message.(type) {
	case partition.AppendResponse:
		if body.Outcome != partition.OutcomeAccepted {
			return
		}
		name := fmt.Sprintf("%s/%d", body.Record.Sender, body.Record.Seq)
		if earlier, had := w.accepted[name]; had && earlier != body.Record.Offset {
			w.broken = fmt.Errorf("%s was accepted at %d and at %d", name, earlier, body.Record.Offset)
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

func (w *storeWorld) tick() {
	for _, item := range w.items {
		if item.held {
			item.ticks--
			item.held = item.ticks > 0
		}
	}
	var next *exploreStore
	for _, store := range w.stores {
		if store.up && (next == nil || store.machine.NextTick().Before(next.machine.NextTick())) {
			next = store
		}
	}
	w.cause = []byte("tick")
	if next == nil || !w.tendAt.After(next.machine.NextTick()) {
		w.now = w.later(w.tendAt)
		w.tendAt = w.now.Add(exploreTendEvery)
		w.tend()
		return
	}
	w.now = w.later(next.machine.NextTick())
	next.step(func(now time.Time, effects *statemachine.Effects) { next.machine.Tick(now, effects) })
}

func (w *storeWorld) later(at time.Time) time.Time {
	if at.After(w.now) {
		return at
	}
	return w.now
}

func (w *storeWorld) first() *onTheWay {
	for _, item := range w.items {
		if !item.held {
			return item
		}
	}
	return nil
}

func (w *storeWorld) ordinary() {
	if item := w.first(); item != nil {
		w.arrive(item)
	} else {
		w.tick()
	}
}

func (i *onTheWay) label() string {
	if i.write != nil {
		return "a write of " + i.to + " lasts"
	}
	_, message, _ := transport.Decode(i.packed[4:])
	return fmt.Sprintf("%s takes %T%+v from %s", i.to, message, message, i.from)
}

func (w *storeWorld) offer(cost int, label string, do func()) {
	w.moves = append(w.moves, storeMove{Choice: explore.Choice{Label: func() string { return label }, Cost: cost}, do: do})
}

// Choices lists what may happen next.
func (w *storeWorld) Choices() []explore.Choice {
	w.moves = w.moves[:0]
	first := w.first()
	if first == nil {
		w.offer(0, "time passes", w.tick)
	} else {
		w.moves = append(w.moves, storeMove{Choice: explore.Choice{Label: first.label}, do: func() { w.arrive(first) }})
		w.offerItems(first)
	}
	w.offerTroubles()
	var choices []explore.Choice
	for _, each := range w.moves {
		choices = append(choices, each.Choice)
	}
	return choices
}

func (w *storeWorld) offerItems(first *onTheWay) {
	wrote := map[string]bool{}
	for _, item := range w.items {
		if item.write != nil && wrote[item.to] {
			continue
		}
		wrote[item.to] = wrote[item.to] || item.write != nil
		if item != first && !item.held {
			w.moves = append(w.moves, storeMove{Choice: explore.Choice{Label: item.label, Cost: 1}, do: func() { w.arrive(item) }})
		}
	}
	w.offer(1, "the next is held back", func() {
		for _, item := range w.items {
			if item == first || first.write != nil && item.write != nil && item.to == first.to {
				item.held, item.ticks = true, exploreHoldTicks
			}
		}
	})
	if first.write == nil && w.left.losses > 0 {
		w.offer(1, "the next is lost", func() {
			w.left.losses--
			w.items = slices.DeleteFunc(w.items, func(item *onTheWay) bool { return item == first })
		})
	}
	if first.write == nil && w.left.repeats > 0 {
		w.offer(1, "the next comes twice", func() {
			w.left.repeats--
			again := *first
			again.held, again.ticks = true, exploreHoldTicks
			w.items = append(w.items, &again)
			w.arrive(first)
		})
	}
}

func (w *storeWorld) offerTroubles() {
	if w.left.appends > 0 {
		w.offer(1, "a message is published", func() {
			w.left.appends--
			w.append("late", uint64(w.left.appends)+1)
		})
	}
	mayLose := w.lost < w.state.Tolerance
	for _, store := range w.stores {
		if !store.up {
			continue
		}
		if w.left.crashes > 0 {
			w.offer(1, store.name+" is started anew", func() {
				w.left.crashes--
				store.end()
				store.start()
			})
		}
		if w.left.wipes > 0 && mayLose {
			w.offer(1, store.name+" loses its disk", func() {
				w.left.wipes--
				w.lost++
				store.end()
				store.frame, store.entries, store.disk = nil, nil, explore.Key{}
				store.start()
			})
		}
		if w.left.kills > 0 && mayLose {
			w.offer(1, store.name+" is gone", func() {
				w.left.kills--
				w.lost++
				store.remove()
			})
		}
		if w.left.retires > 0 {
			w.offer(1, store.name+" is retired", func() {
				w.left.retires--
				w.apply(Command{Retirement: &Retirement{Store: store.name, Retiring: true}})
			})
		}
	}
}

// Take lets one of the choices happen.
func (w *storeWorld) Take(choice int) {
	w.Choices()
	w.moves[choice].do()
}

// Broken tells which promise the present state breaks.
func (w *storeWorld) Broken() error { return w.broken }

var notInStores = []reflect.Type{reflect.TypeFor[*storeWorld](), reflect.TypeFor[partition.Settings](), reflect.TypeFor[partition.Counts](), reflect.TypeFor[config.Configuration]()}

// Key names the state.
func (w *storeWorld) Key() explore.Key {
	parts := []any{w.left, w.lost, w.tendAt, w.state.Places, w.state.Members, w.state.Index, w.asks, w.lags, w.accepted}
	for _, store := range w.stores {
		parts = append(parts, store.up, store.gone, store.disk, store.lives, store.endedAt)
		if store.up {
			parts = append(parts, store.machine)
		}
	}
	for _, item := range w.items {
		parts = append(parts, item.to, item.from, item.packed, item.held, item.ticks, item.cause)
		if item.write != nil {
			parts = append(parts, item.write.Entries)
		}
	}
	return explore.KeyOf(w.now, notInStores, parts...)
}

// Finish waits until the partition is complete again, and reads all of it.
func (w *storeWorld) Finish() error {
	for _, item := range w.items {
		item.held = false
	}
	calm, askedAt := w.now, time.Time{}
	for steps := 0; w.now.Sub(calm) < exploreCalm; steps++ {
		if steps > exploreMostSteps {
			return fmt.Errorf("something goes on without end: %s", w.Choices()[0].Label())
		}
		w.ordinary()
		if w.broken != nil {
			return w.broken
		}
		place := w.state.Places[testPartition]
		if first := w.store(place.Leader); len(w.items) > 0 || !place.Complete || !first.up || w.now.Sub(calm) < time.Second {
			continue
		}
		if w.fetched[0] == "" {
			if w.now.Sub(askedAt) < exploreTendEvery {
				continue
			}
			w.asked++
			askedAt = w.now
			w.send("gateway", place.Leader, partition.Fetch{Partition: testPartition, RequestID: w.asked, Prefixes: []string{""}})
			continue
		}
		for name, offset := range w.accepted {
			if w.fetched[offset] != name {
				return fmt.Errorf("%s was accepted at %d, where %s holds %q", name, offset, place.Leader, w.fetched[offset])
			}
		}
		return nil
	}
	return fmt.Errorf("the partition is not whole %s after the last trouble: %+v", exploreCalm, w.state.Places[testPartition])
}

// storeWalk is one exploration of stores.
type storeWalk struct {
	name   string
	begin  func() explore.World
	short  explore.Bounds
	longer explore.Bounds
}

// striking begins with a trouble that is still to be mended.
func striking(stores, tolerance int, left storeTroubles, strike func(w *storeWorld)) func() explore.World {
	return func() explore.World {
		w := newStoreWorld(stores, tolerance, left)
		strike(w)
		return w
	}
}

func (w *storeWorld) leader() *exploreStore { return w.store(w.state.Places[testPartition].Leader) }

func (w *storeWorld) follower() *exploreStore {
	return w.store(w.state.Places[testPartition].Followers[0])
}

func (w *storeWorld) retire(store *exploreStore) {
	w.apply(Command{Retirement: &Retirement{Store: store.name, Retiring: true}})
}

func (s *exploreStore) stop() {
	s.world.cause = []byte("stop")
	s.step(func(now time.Time, effects *statemachine.Effects) {
		s.machine.HandleCommand(now, partition.Stop{}, effects)
	})
}

var storeWalks = []storeWalk{
	{
		name:   "the leader is stopped and taken away, another loses its disk",
		begin:  striking(3, 1, storeTroubles{appends: 1, losses: 1, repeats: 1, wipes: 1}, func(w *storeWorld) { w.leader().stop() }),
		short:  explore.Bounds{Depth: 60, Budget: 1, Finish: explore.FinishLast},
		longer: explore.Bounds{Depth: 40, Budget: 2, Finish: explore.FinishLast},
	},
	{
		name:   "the leader is retired, another loses its disk",
		begin:  striking(3, 1, storeTroubles{appends: 1, losses: 1, repeats: 1, wipes: 1}, func(w *storeWorld) { w.retire(w.leader()) }),
		short:  explore.Bounds{Depth: 60, Budget: 1, Finish: explore.FinishLast},
		longer: explore.Bounds{Depth: 40, Budget: 2, Finish: explore.FinishLast},
	},
	{
		name:   "the follower is retired, another loses its disk",
		begin:  striking(3, 1, storeTroubles{appends: 1, losses: 1, repeats: 1, wipes: 1}, func(w *storeWorld) { w.retire(w.follower()) }),
		short:  explore.Bounds{Depth: 60, Budget: 1, Finish: explore.FinishLast},
		longer: explore.Bounds{Depth: 40, Budget: 2, Finish: explore.FinishLast},
	},
	{
		name: "two disks may be lost: one store is gone, one is retired, another loses its disk",
		begin: striking(5, 2, storeTroubles{appends: 1, losses: 1, wipes: 1}, func(w *storeWorld) {
			w.retire(w.leader())
			w.follower().remove()
			w.lost = 1
		}),
		short:  explore.Bounds{Depth: 60, Budget: 1, Finish: explore.FinishLast},
		longer: explore.Bounds{Depth: 40, Budget: 2, Finish: explore.FinishLast},
	},
	{
		name:   "a message is under way, a store loses its disk or is gone",
		begin:  striking(3, 1, storeTroubles{losses: 1, repeats: 1, wipes: 1, kills: 1}, func(w *storeWorld) { w.append("early", 1) }),
		short:  explore.Bounds{Depth: 30, Budget: 1, Finish: explore.FinishLast},
		longer: explore.Bounds{Depth: 30, Budget: 2, Finish: explore.FinishLast},
	},
	{
		name: "a copy is replaced under a message, a store is started anew",
		begin: striking(3, 1, storeTroubles{appends: 1, losses: 1, repeats: 1, crashes: 1}, func(w *storeWorld) {
			w.append("early", 1)
			w.follower().remove()
			w.lost = 1
		}),
		short:  explore.Bounds{Depth: 60, Budget: 1, Finish: explore.FinishLast},
		longer: explore.Bounds{Depth: 40, Budget: 2, Finish: explore.FinishLast},
	},
}

func TestAllThatCanHappenToAPartition(t *testing.T) {
	for _, each := range storeWalks {
		t.Run(each.name, func(t *testing.T) {
			bounds := each.short
			if *deep {
				bounds = each.longer
			}
			result := explore.Run(each.begin, bounds)
			t.Log(result)
			assert.NilError(t, result.Broken)
			assert.Assert(t, result.Whole)
		})
	}
}
