// Placement and partitions against a model: stores under the real placement rules,
// with links that lose, repeat and reorder, kills that lose what was not synced,
// freezes, retirements and one lost disk at a time. What was told accepted has
// one offset for ever, and in the end the first holds all of it, each sender's
// messages in order and nothing that was refused for sure on every try.
package controller

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/config"
	"dahlialock/internal/membership"
	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

const (
	testConfig    = `{"version": 1, "spaces": [{"name": "boards", "promise": "kept", "order": "channel"}]}`
	testPartition = "boards~1/0"
	testSenders   = 5
)

type store struct {
	yard    *yard
	name    string
	machine *partition.Store
	up      bool
	frozen  bool
	life    int
	wrote   int
	frame   []byte
	entries [][]byte
	waits   []func()
	timer   int
	offset  time.Duration
	// slow is what each write takes besides; until hung none lasts, and a full
	// disk refuses them.
	slow time.Duration
	hung time.Duration
	full bool
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

// events are in order of time, and of when they were made.
type events []event

func (e events) Len() int             { return len(e) }
func (e events) Swap(left, right int) { e[left], e[right] = e[right], e[left] }
func (e *events) Push(item any)       { *e = append(*e, item.(event)) }
func (e events) Less(left, right int) bool {
	if e[left].at != e[right].at {
		return e[left].at < e[right].at
	}
	return e[left].order < e[right].order
}

func (e *events) Pop() any {
	last := len(*e) - 1
	item := (*e)[last]
	*e = (*e)[:last]
	return item
}

type writer struct {
	seq      uint64
	request  uint64
	answered uint64
	tries    int
	refused  int
	busy     bool
}

type yard struct {
	t        *testing.T
	random   *rand.Rand
	now      time.Duration
	queue    events
	order    int
	state    *State
	stores   []*store
	writers  [testSenders]*writer
	requests uint64
	accepted map[string]uint64
	offsets  map[uint64]string
	never    map[string]bool
	fetched  *partition.FetchResponse
	loss     float64
	wipedAt  time.Duration
	calm     bool
	// single says that there is one copy only, which must not be wiped.
	single bool
	// told is given what the stores answer, in place of the writers' checker.
	told func(from string, message any)
	lags map[string]lag
	// inOrder is when the gateway's last message to a store arrives, on a link
	// that doesn't reorder.
	inOrder map[string]time.Duration
	// held, if set, tells for how long a link holds a message, which then reaches
	// whatever life is there, and whether it is lost instead.
	held func(from, to string, message any) (hold time.Duration, lost bool)
}

func (y *yard) after(wait time.Duration, run func()) {
	y.order++
	heap.Push(&y.queue, event{at: y.now + wait, order: y.order, run: run})
}

func (y *yard) run(length time.Duration) {
	until := y.now + length
	for len(y.queue) > 0 && y.queue[0].at <= until {
		next := heap.Pop(&y.queue).(event)
		y.now = next.at
		next.run()
	}
	y.now = until
}

func (s *store) local() time.Time {
	return time.Unix(1_700_000_000, 0).Add(s.offset + s.yard.now)
}

func (s *store) member() membership.Member {
	return membership.Member{Name: s.name, Kind: membership.KindStore, Address: s.name, Zone: s.name, Incarnation: uint64(s.life), Alive: true}
}

func (s *store) start() {
	if s.up {
		return
	}
	s.life++
	s.up, s.frozen, s.waits = true, false, nil
	s.offset = time.Duration(s.yard.random.Int64N(int64(4*time.Hour))) - 2*time.Hour
	machine, err := partition.New(partition.Settings{Self: s.member(), Seeds: []string{"controller"}, NewDisk: fmt.Sprintf("%s-%d", s.name, s.life), Incarnation: statemachine.Incarnation(s.yard.random.Uint64())}, s.frame, s.entries)
	assert.NilError(s.yard.t, err)
	s.machine = machine
	s.step(func(now time.Time, effects *statemachine.Effects) { machine.Start(now, effects) })
}

func (s *store) kill() {
	s.up = false
	s.life++
}

func (s *store) thaw() {
	if s.up && s.frozen {
		s.frozen = false
		waits := s.waits
		s.waits = nil
		for _, run := range waits {
			run()
		}
	}
}

// refuse tells the store that its disk takes no write, as long as that is so.
func (s *store) refuse() {
	if s.full && s.up {
		s.enter(s.life, func(now time.Time, effects *statemachine.Effects) {
			s.machine.HandleCommand(now, statemachine.DiskUnavailable{}, effects)
		})
	}
	if s.full {
		s.yard.after(200*time.Millisecond, s.refuse)
	}
}

func (s *store) enter(life int, run func(now time.Time, effects *statemachine.Effects)) {
	switch {
	case !s.up || s.life != life:
	case s.frozen:
		s.waits = append(s.waits, func() { s.enter(life, run) })
	default:
		s.step(run)
	}
}

func (s *store) step(run func(now time.Time, effects *statemachine.Effects)) {
	yard, life := s.yard, s.life
	var effects statemachine.Effects
	run(s.local(), &effects)
	for _, send := range effects.Sends {
		yard.send(s.name, send)
	}
	for _, write := range effects.Writes {
		// Writes last in their order.
		takes := time.Duration(1+yard.random.IntN(4))*time.Millisecond + s.slow
		takes = max(takes, s.hung-yard.now)
		s.wrote = max(s.wrote, int(yard.now+takes))
		yard.after(time.Duration(s.wrote)-yard.now, func() {
			if !s.up || s.life != life {
				return
			}
			if frame, whole := write.SnapshotBytes(); whole {
				s.frame, s.entries = frame, nil
			}
			s.entries = append(s.entries, write.Entries...)
			s.enter(life, func(now time.Time, effects *statemachine.Effects) {
				s.machine.HandleCommand(now, statemachine.Synced{Token: write.Token}, effects)
			})
		})
	}
	s.timer++
	timer := s.timer
	if due := s.machine.NextTick(); !due.IsZero() {
		yard.after(max(0, due.Sub(s.local()))+time.Microsecond, func() {
			if s.timer == timer {
				s.enter(life, func(now time.Time, effects *statemachine.Effects) { s.machine.Tick(now, effects) })
			}
		})
	}
}

// send carries a message over a link that may lose, repeat and reorder.
func (y *yard) send(from string, send statemachine.Send) {
	if y.random.Float64() < y.loss {
		return
	}
	packed, err := transport.Encode(statemachine.Meta{From: from, Version: 1}, send.Message)
	assert.NilError(y.t, err)
	if y.held != nil {
		hold, lost := y.held(from, send.To, send.Message)
		if lost {
			return
		}
		if hold > 0 {
			y.after(hold, func() { y.deliver(from, send.To, packed) })
			return
		}
	}
	times := 1 + y.random.IntN(15)/14
	if y.inOrder != nil && from == "gateway" {
		times = 1
	}
	for range times {
		takes := time.Duration(200+y.random.IntN(2000)) * time.Microsecond
		if y.inOrder != nil && from == "gateway" {
			takes = max(takes, y.inOrder[send.To]-y.now)
			y.inOrder[send.To] = y.now + takes
		}
		y.after(takes, func() { y.deliver(from, send.To, packed) })
	}
}

// deliver brings a message to whatever life is there now.
func (y *yard) deliver(from, to string, packed []byte) {
	meta, message, err := transport.Decode(packed[4:])
	assert.NilError(y.t, err)
	for _, store := range y.stores {
		if store.name == to {
			store.enter(store.life, func(now time.Time, effects *statemachine.Effects) {
				store.machine.HandleMessage(now, meta, message, effects)
			})
		}
	}
	switch to {
	case "controller":
		y.controller(from, message)
	case "gateway":
		if y.told != nil {
			y.told(from, message)
			return
		}
		y.gateway(message)
	}
}

// controller answers as the primary would, and tends the placement.
func (y *yard) controller(from string, message any) {
	switch body := message.(type) {
	case membership.ViewRequest:
		known, found := y.state.Members[from]
		if !found || known.Incarnation < body.Self.Incarnation || known.Incarnation == body.Self.Incarnation && !known.Alive {
			y.apply(Command{Joins: []Join{{Self: body.Self}}})
		}
		news := membership.ViewUpdate{
			Recipient: from, Nonce: body.Nonce, Epoch: 1, Primary: "controller", Index: y.state.Index, Version: y.state.Version,
			Document: y.state.Document,
		}
		if body.Index != y.state.Index {
			y.state.view(&news, body.Index)
		}
		y.after(50*time.Millisecond, func() { y.send("controller", statemachine.Send{To: from, Message: news}) })
	case membership.PartitionReplicated:
		y.apply(Command{Settled: []membership.PartitionReplicated{body}})
	case membership.SlowDiskReport:
		y.lags[body.Name] = lag{at: time.Unix(0, 0).Add(y.now), incarnation: body.Incarnation, delay: body.Delay}
	}
}

func (y *yard) apply(command Command) { y.state.Apply(time.Time{}, mustPack(command)) }

func (y *yard) tend() {
	y.after(150*time.Millisecond, y.tend)
	for _, store := range y.stores {
		member, found := y.state.Members[store.name]
		if found && member.Alive && (!store.up || store.frozen) && y.random.IntN(6) == 0 {
			y.apply(Command{Departures: []Departure{{Name: store.name, Incarnation: member.Incarnation}}})
		}
		y.apply(Command{Emptied: []string{store.name}})
	}
	if changes := y.state.degradations(time.Unix(0, 0).Add(y.now), y.lags); len(changes) > 0 {
		y.apply(Command{Degradations: changes})
	}
	if changes := y.state.plan(y.configuration()); len(changes) > 0 {
		y.apply(Command{Places: changes})
	}
}

// write lets each sender publish one after the other, and again until it knows.
func (y *yard) write(number int) {
	y.after(time.Duration(10+y.random.IntN(40))*time.Millisecond, func() { y.write(number) })
	writer := y.writers[number]
	place, placed := y.state.Places[testPartition]
	if !placed || y.calm || writer.busy {
		return
	}
	if writer.request == 0 {
		writer.seq++
		writer.tries, writer.refused = 0, 0
	}
	writer.tries++
	y.requests++
	writer.request, writer.busy = y.requests, true
	request := y.requests
	sender := fmt.Sprintf("sender-%d", number)
	y.send("gateway", statemachine.Send{To: place.Leader, Message: partition.Append{
		Partition: testPartition, RequestID: request, Topic: "a", Sender: sender, Seq: writer.seq, Data: fmt.Appendf(nil, "%s %d", sender, writer.seq),
	}})
	y.after(700*time.Millisecond, func() {
		if writer.request == request {
			writer.busy = false
		}
	})
}

func (y *yard) gateway(message any) {
	switch body := message.(type) {
	case partition.AppendResponse:
		for number, writer := range y.writers {
			if writer.request != body.RequestID || writer.answered == body.RequestID {
				continue
			}
			writer.answered = body.RequestID
			name := fmt.Sprintf("sender-%d/%d", number, writer.seq)
			switch body.Outcome {
			case partition.OutcomeAccepted:
				offset := body.Record.Offset
				if earlier, had := y.accepted[name]; had && earlier != offset {
					y.t.Fatalf("%s was accepted at %d and again at %d", name, earlier, offset)
				}
				if other, taken := y.offsets[offset]; taken && other != name {
					y.t.Fatalf("offset %d was given to %s and to %s", offset, other, name)
				}
				y.accepted[name], y.offsets[offset] = offset, name
				writer.request = 0
			case partition.OutcomeRejected:
				writer.refused++
				if body.Code == "old-seq" || body.Code == "seq-reused" {
					y.t.Fatalf("%s, without an answer so far, was told %s", name, body.Code)
				}
				if writer.refused == writer.tries && writer.tries > 8 {
					// Given up: never taken, so it may never be seen.
					y.never[name] = true
					writer.request = 0
				}
			}
			writer.busy = false
		}
	case partition.FetchResponse:
		if body.Ready {
			y.fetched = &body
		}
	}
}

func (y *yard) whole() bool {
	for _, store := range y.stores {
		if !store.up || store.frozen {
			return false
		}
	}
	for _, place := range y.state.Places {
		if !place.Complete {
			return false
		}
	}
	return len(y.state.Places) > 0
}

func (y *yard) trouble() {
	y.after(time.Duration(800+y.random.IntN(2500))*time.Millisecond, y.trouble)
	if y.calm {
		return
	}
	store := y.stores[y.random.IntN(len(y.stores))]
	length := time.Duration(100+y.random.IntN(3000)) * time.Millisecond
	switch y.random.IntN(6) {
	case 0, 1:
		store.kill()
		y.after(length, store.start)
	case 2:
		store.frozen = store.up
		y.after(length, store.thaw)
	case 3:
		y.loss = 0.25
		y.after(length, func() { y.loss = 0 })
	case 4:
		if !y.single && y.whole() && y.now-y.wipedAt > 4*time.Second {
			y.wipedAt = y.now
			store.kill()
			store.frame, store.entries = nil, nil
			y.after(length, store.start)
		}
	case 5:
		retiring := 0
		for _, member := range y.state.Members {
			if member.Retiring {
				retiring++
			}
		}
		if retiring == 0 && y.state.Members[store.name].Alive {
			y.apply(Command{Retirement: &Retirement{Store: store.name, Retiring: true}})
			y.after(4*time.Second, func() { y.apply(Command{Retirement: &Retirement{Store: store.name}}) })
		}
	}
}

func (y *yard) configuration() config.Configuration {
	configuration, faults := config.Read(y.state.Document)
	assert.Equal(y.t, len(faults), 0)
	return configuration
}

func TestPartitionsAgainstAModel(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			yard := &yard{
				t: t, random: rand.New(rand.NewPCG(seed, 0x57a)), state: newState(), accepted: map[string]uint64{}, offsets: map[uint64]string{},
				never: map[string]bool{}, wipedAt: -time.Minute, lags: map[string]lag{},
			}
			yard.apply(Command{Configuration: configured(1, testConfig)})
			for number := range 4 {
				store := &store{yard: yard, name: fmt.Sprintf("store-%d", number)}
				yard.stores = append(yard.stores, store)
				yard.after(time.Duration(yard.random.IntN(200))*time.Millisecond, store.start)
			}
			yard.after(time.Second, yard.tend)
			for number := range testSenders {
				yard.writers[number] = &writer{}
				yard.after(2*time.Second, func() { yard.write(number) })
			}
			yard.after(4*time.Second, yard.trouble)
			yard.run(45 * time.Second)
			yard.calm, yard.loss = true, 0
			for _, store := range yard.stores {
				store.thaw()
				store.start()
			}
			yard.run(8 * time.Second)
			assert.Assert(t, yard.whole(), "not whole after eight quiet seconds: %+v", yard.state.Places[testPartition])
			assert.Assert(t, len(yard.accepted) > 300, "only %d were accepted", len(yard.accepted))
			var got []partition.Record
			for after := uint64(0); ; {
				yard.fetched = nil
				yard.send("gateway", statemachine.Send{To: yard.state.Places[testPartition].Leader, Message: partition.Fetch{Partition: testPartition, RequestID: 1, After: after, Prefixes: []string{""}}})
				yard.run(200 * time.Millisecond)
				assert.Assert(t, yard.fetched != nil, "the first does not answer")
				got = append(got, yard.fetched.Records...)
				if after = yard.fetched.Until; after >= yard.fetched.HighWatermark {
					break
				}
			}
			held, last := map[string]uint64{}, map[string]uint64{}
			for position, record := range got {
				name := fmt.Sprintf("%s/%d", record.Sender, record.Seq)
				assert.Assert(t, held[name] == 0, "%s is kept twice", name)
				assert.Assert(t, !yard.never[name], "%s was refused on every try and is kept", name)
				assert.Assert(t, record.Seq > last[record.Sender], "%s after seq %d", name, last[record.Sender])
				assert.Assert(t, position == 0 || record.Offset == got[position-1].Offset+1, "a hole before %d", record.Offset)
				held[name], last[record.Sender] = record.Offset, record.Seq
			}
			for name, offset := range yard.accepted {
				assert.Assert(t, held[name] == offset, "%s was accepted at %d and is at %d", name, offset, held[name])
			}
		})
	}
}
