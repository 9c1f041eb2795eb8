// Placement and strands against a model: keepers under the real placement rules,
// with links that lose, repeat and reorder, kills that lose what was not synced,
// freezes, retirements and one lost disk at a time. What was told accepted has
// one offset for ever, and in the end the first holds all of it, each sender's
// messages in order and nothing that was refused for sure on every try.
package pilotage

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/beacon"
	"dahlialock/internal/chart"
	"dahlialock/internal/flare"
	"dahlialock/internal/helm"
	"dahlialock/internal/strand"
)

const (
	testChart   = `{"version": 1, "spaces": [{"name": "boards", "promise": "kept", "order": "channel"}]}`
	testStrand  = "boards~1/0"
	testSenders = 5
)

type store struct {
	yard    *yard
	name    string
	machine *strand.Keeper
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

func (queue events) Len() int             { return len(queue) }
func (queue events) Swap(left, right int) { queue[left], queue[right] = queue[right], queue[left] }
func (queue *events) Push(item any)       { *queue = append(*queue, item.(event)) }
func (queue events) Less(left, right int) bool {
	if queue[left].at != queue[right].at {
		return queue[left].at < queue[right].at
	}
	return queue[left].order < queue[right].order
}

func (queue *events) Pop() any {
	last := len(*queue) - 1
	item := (*queue)[last]
	*queue = (*queue)[:last]
	return item
}

type writer struct {
	seq      uint64
	visit    uint64
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
	visits   uint64
	accepted map[string]uint64
	offsets  map[uint64]string
	never    map[string]bool
	fetched  *strand.FetchReturn
	loss     float64
	wipedAt  time.Duration
	calm     bool
	// single says that there is one copy only, which must not be wiped.
	single bool
	// told is given what the keepers answer, in place of the writers' oracle.
	told func(from string, message any)
	lags map[string]lag
	// inOrder is when the lantern's last message to a keeper arrives, on a link
	// that doesn't reorder.
	inOrder map[string]time.Duration
}

func (yard *yard) after(wait time.Duration, run func()) {
	yard.order++
	heap.Push(&yard.queue, event{at: yard.now + wait, order: yard.order, run: run})
}

func (yard *yard) run(length time.Duration) {
	until := yard.now + length
	for len(yard.queue) > 0 && yard.queue[0].at <= until {
		next := heap.Pop(&yard.queue).(event)
		yard.now = next.at
		next.run()
	}
	yard.now = until
}

func (store *store) local() time.Time {
	return time.Unix(1_700_000_000, 0).Add(store.offset + store.yard.now)
}

func (store *store) member() beacon.Member {
	return beacon.Member{Name: store.name, Kind: beacon.KindKeeper, Address: store.name, Locality: store.name, Incarnation: uint64(store.life), Alive: true}
}

func (store *store) start() {
	if store.up {
		return
	}
	store.life++
	store.up, store.frozen, store.waits = true, false, nil
	store.offset = time.Duration(store.yard.random.Int64N(int64(4*time.Hour))) - 2*time.Hour
	machine, fault := strand.New(strand.Props{Self: store.member(), Seeds: []string{"pilot"}, NewDisk: fmt.Sprintf("%s-%d", store.name, store.life)}, store.frame, store.entries)
	assert.NilError(store.yard.t, fault)
	store.machine = machine
	store.step(func(now time.Time, effects *helm.Effects) { machine.Start(now, effects) })
}

func (store *store) kill() {
	store.up = false
	store.life++
}

func (store *store) thaw() {
	if store.up && store.frozen {
		store.frozen = false
		waits := store.waits
		store.waits = nil
		for _, run := range waits {
			run()
		}
	}
}

// refuse tells the keeper that its disk takes no write, as long as that is so.
func (store *store) refuse() {
	if store.full && store.up {
		store.enter(store.life, func(now time.Time, effects *helm.Effects) { store.machine.Command(now, helm.DiskRefused{}, effects) })
	}
	if store.full {
		store.yard.after(200*time.Millisecond, store.refuse)
	}
}

func (store *store) enter(life int, run func(now time.Time, effects *helm.Effects)) {
	switch {
	case !store.up || store.life != life:
	case store.frozen:
		store.waits = append(store.waits, func() { store.enter(life, run) })
	default:
		store.step(run)
	}
}

func (store *store) step(run func(now time.Time, effects *helm.Effects)) {
	yard, life := store.yard, store.life
	var effects helm.Effects
	run(store.local(), &effects)
	for _, send := range effects.Sends {
		yard.send(store.name, send)
	}
	for _, write := range effects.Writes {
		// Writes last in their order.
		takes := time.Duration(1+yard.random.IntN(4))*time.Millisecond + store.slow
		takes = max(takes, store.hung-yard.now)
		store.wrote = max(store.wrote, int(yard.now+takes))
		yard.after(time.Duration(store.wrote)-yard.now, func() {
			if !store.up || store.life != life {
				return
			}
			if frame, whole := write.Whole(); whole {
				store.frame, store.entries = frame, nil
			}
			store.entries = append(store.entries, write.Entries...)
			store.enter(life, func(now time.Time, effects *helm.Effects) {
				store.machine.Command(now, helm.Synced{Token: write.Token}, effects)
			})
		})
	}
	store.timer++
	timer := store.timer
	if due := store.machine.NextDue(); !due.IsZero() {
		yard.after(max(0, due.Sub(store.local()))+time.Microsecond, func() {
			if store.timer == timer {
				store.enter(life, func(now time.Time, effects *helm.Effects) { store.machine.Due(now, effects) })
			}
		})
	}
}

// send carries a message over a link that may lose, repeat and reorder.
func (yard *yard) send(from string, send helm.Send) {
	if yard.random.Float64() < yard.loss {
		return
	}
	packed, fault := flare.Encode(helm.Meta{From: from, Version: 1}, send.Message)
	assert.NilError(yard.t, fault)
	times := 1 + yard.random.IntN(15)/14
	if yard.inOrder != nil && from == "lantern" {
		times = 1
	}
	for range times {
		takes := time.Duration(200+yard.random.IntN(2000)) * time.Microsecond
		if yard.inOrder != nil && from == "lantern" {
			takes = max(takes, yard.inOrder[send.To]-yard.now)
			yard.inOrder[send.To] = yard.now + takes
		}
		yard.after(takes, func() {
			meta, message, fault := flare.Decode(packed[4:])
			assert.NilError(yard.t, fault)
			for _, store := range yard.stores {
				if store.name == send.To {
					store.enter(store.life, func(now time.Time, effects *helm.Effects) { store.machine.Message(now, meta, message, effects) })
				}
			}
			switch send.To {
			case "pilot":
				yard.pilot(from, message)
			case "lantern":
				if yard.told != nil {
					yard.told(from, message)
					return
				}
				yard.lantern(message)
			}
		})
	}
}

// pilot answers as the primary would, and tends the placement.
func (yard *yard) pilot(from string, message any) {
	switch body := message.(type) {
	case beacon.Ask:
		known, found := yard.state.Members[from]
		if !found || known.Incarnation < body.Self.Incarnation || known.Incarnation == body.Self.Incarnation && !known.Alive {
			next := body.Self
			if found && known.Disk == next.Disk {
				next.Retiring, next.Retired = known.Retiring, known.Retired
			}
			yard.apply(Command{Members: []beacon.Member{next}})
		}
		news := beacon.News{
			For: from, Nonce: body.Nonce, Epoch: 1, Primary: "pilot", Index: yard.state.Index, Version: yard.state.Version,
			Document: yard.state.Document,
		}
		if body.Index != yard.state.Index {
			yard.state.view(&news, body.Index)
		}
		yard.after(50*time.Millisecond, func() { yard.send("pilot", helm.Send{To: from, Message: news}) })
	case beacon.StrandComplete:
		yard.apply(Command{Settled: []beacon.StrandComplete{body}})
	case beacon.Lagging:
		yard.lags[body.Name] = lag{at: time.Unix(0, 0).Add(yard.now), incarnation: body.Incarnation, delay: body.Delay}
	}
}

func (yard *yard) apply(command Command) { yard.state.Apply(time.Time{}, mustPack(command)) }

func (yard *yard) tend() {
	yard.after(150*time.Millisecond, yard.tend)
	for _, store := range yard.stores {
		member, found := yard.state.Members[store.name]
		if found && member.Alive && (!store.up || store.frozen) && yard.random.IntN(6) == 0 {
			member.Alive = false
			yard.apply(Command{Members: []beacon.Member{member}})
		}
		if found && member.Retiring && !member.Retired && !yard.state.refers(store.name) {
			member.Retired = true
			yard.apply(Command{Members: []beacon.Member{member}})
		}
	}
	if ailments := yard.state.ailments(time.Unix(0, 0).Add(yard.now), yard.lags); len(ailments) > 0 {
		yard.apply(Command{Members: ailments})
	}
	if changes := yard.state.plan(yard.configuration()); len(changes) > 0 {
		yard.apply(Command{Places: changes})
	}
}

// write lets each sender publish one after the other, and again until it knows.
func (yard *yard) write(number int) {
	yard.after(time.Duration(10+yard.random.IntN(40))*time.Millisecond, func() { yard.write(number) })
	writer := yard.writers[number]
	place, placed := yard.state.Places[testStrand]
	if !placed || yard.calm || writer.busy {
		return
	}
	if writer.visit == 0 {
		writer.seq++
		writer.tries, writer.refused = 0, 0
	}
	writer.tries++
	yard.visits++
	writer.visit, writer.busy = yard.visits, true
	visit := yard.visits
	sender := fmt.Sprintf("sender-%d", number)
	yard.send("lantern", helm.Send{To: place.First, Message: strand.Append{
		Strand: testStrand, Visit: visit, Topic: "a", Sender: sender, Seq: writer.seq, Data: fmt.Appendf(nil, "%s %d", sender, writer.seq),
	}})
	yard.after(700*time.Millisecond, func() {
		if writer.visit == visit {
			writer.busy = false
		}
	})
}

func (yard *yard) lantern(message any) {
	switch body := message.(type) {
	case strand.AppendReturn:
		for number, writer := range yard.writers {
			if writer.visit != body.Visit || writer.answered == body.Visit {
				continue
			}
			writer.answered = body.Visit
			name := fmt.Sprintf("sender-%d/%d", number, writer.seq)
			switch body.Outcome {
			case strand.Accepted:
				offset := body.Record.Offset
				if earlier, had := yard.accepted[name]; had && earlier != offset {
					yard.t.Fatalf("%s was accepted at %d and again at %d", name, earlier, offset)
				}
				if other, taken := yard.offsets[offset]; taken && other != name {
					yard.t.Fatalf("offset %d was given to %s and to %s", offset, other, name)
				}
				yard.accepted[name], yard.offsets[offset] = offset, name
				writer.visit = 0
			case strand.Refused:
				writer.refused++
				if body.Code == "old-seq" || body.Code == "seq-reused" {
					yard.t.Fatalf("%s, without an answer so far, was told %s", name, body.Code)
				}
				if writer.refused == writer.tries && writer.tries > 8 {
					// Given up: never taken, so it may never be seen.
					yard.never[name] = true
					writer.visit = 0
				}
			}
			writer.busy = false
		}
	case strand.FetchReturn:
		if body.Ready {
			yard.fetched = &body
		}
	}
}

func (yard *yard) whole() bool {
	for _, store := range yard.stores {
		if !store.up || store.frozen {
			return false
		}
	}
	for _, place := range yard.state.Places {
		if !place.Complete {
			return false
		}
	}
	return len(yard.state.Places) > 0
}

func (yard *yard) trouble() {
	yard.after(time.Duration(800+yard.random.IntN(2500))*time.Millisecond, yard.trouble)
	if yard.calm {
		return
	}
	store := yard.stores[yard.random.IntN(len(yard.stores))]
	length := time.Duration(100+yard.random.IntN(3000)) * time.Millisecond
	switch yard.random.IntN(6) {
	case 0, 1:
		store.kill()
		yard.after(length, store.start)
	case 2:
		store.frozen = store.up
		yard.after(length, store.thaw)
	case 3:
		yard.loss = 0.25
		yard.after(length, func() { yard.loss = 0 })
	case 4:
		if !yard.single && yard.whole() && yard.now-yard.wipedAt > 4*time.Second {
			yard.wipedAt = yard.now
			store.kill()
			store.frame, store.entries = nil, nil
			yard.after(length, store.start)
		}
	case 5:
		retiring := 0
		for _, member := range yard.state.Members {
			if member.Retiring {
				retiring++
			}
		}
		member := yard.state.Members[store.name]
		if retiring == 0 && member.Alive {
			member.Retiring = true
			yard.apply(Command{Members: []beacon.Member{member}})
			yard.after(4*time.Second, func() {
				member := yard.state.Members[store.name]
				member.Retiring, member.Retired = false, false
				yard.apply(Command{Members: []beacon.Member{member}})
			})
		}
	}
}

func (yard *yard) configuration() chart.Configuration {
	configuration, faults := chart.Read(yard.state.Document)
	assert.Equal(yard.t, len(faults), 0)
	return configuration
}

func TestStrandsAgainstAModel(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			yard := &yard{
				t: t, random: rand.New(rand.NewPCG(seed, 0x57a)), state: newState(), accepted: map[string]uint64{}, offsets: map[uint64]string{},
				never: map[string]bool{}, wipedAt: -time.Minute, lags: map[string]lag{},
			}
			yard.apply(Command{Version: 1, Document: []byte(testChart)})
			for number := range 4 {
				store := &store{yard: yard, name: fmt.Sprintf("keeper-%d", number)}
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
			assert.Assert(t, yard.whole(), "not whole after eight quiet seconds: %+v", yard.state.Places[testStrand])
			assert.Assert(t, len(yard.accepted) > 300, "only %d were accepted", len(yard.accepted))
			var got []strand.Record
			for after := uint64(0); ; {
				yard.fetched = nil
				yard.send("lantern", helm.Send{To: yard.state.Places[testStrand].First, Message: strand.Fetch{Strand: testStrand, Visit: 1, After: after, Prefixes: []string{""}}})
				yard.run(200 * time.Millisecond)
				assert.Assert(t, yard.fetched != nil, "the first does not answer")
				got = append(got, yard.fetched.Records...)
				if after = yard.fetched.Until; after >= yard.fetched.Head {
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
