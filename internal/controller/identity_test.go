// A store whose process ends and begins anew at once is still first of its
// partitions, and gives offsets again that its earlier life gave to messages which
// its disk never had. What the earlier life sent, and what was answered to it, may
// come seconds later, and must not count for the new life's messages.
package controller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/membership"
	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

// pair is a partition's first and its follower, with a gateway that hears answers.
type pair struct {
	*yard
	first, follower *store
	answers         map[uint64]partition.AppendResponse
	records         []partition.Record
}

func newPair(t *testing.T, seed uint64) *pair {
	made := &pair{
		yard: &yard{
			t: t, random: rand.New(rand.NewPCG(seed, 0x1de)), state: newState(), accepted: map[string]uint64{}, offsets: map[uint64]string{},
			never: map[string]bool{}, wipedAt: -time.Minute, lags: map[string]lag{},
		},
		answers: map[uint64]partition.AppendResponse{},
	}
	made.told = func(_ string, message any) {
		switch body := message.(type) {
		case partition.AppendResponse:
			made.answers[body.RequestID] = body
		case partition.FetchResponse:
			if body.Ready {
				made.records = body.Records
			}
		}
	}
	made.configure()
	for number := range 3 {
		store := &store{yard: made.yard, name: fmt.Sprintf("store-%d", number)}
		made.stores = append(made.stores, store)
		store.start()
	}
	made.run(500 * time.Millisecond)
	made.apply(Command{Places: made.state.plan(made.configuration())})
	made.run(3 * time.Second)
	place := made.state.Places[testPartition]
	for _, store := range made.stores {
		switch store.name {
		case place.Leader:
			made.first = store
		case place.Followers[0]:
			made.follower = store
		}
	}
	return made
}

func (p *pair) configure() {
	p.apply(Command{Configuration: configured(1, testConfig)})
}

// publish sends a message of a sender of its own to the first.
func (p *pair) publish(request uint64) {
	p.send("gateway", statemachine.Send{To: p.first.name, Message: partition.Append{
		Partition: testPartition, RequestID: request, Topic: "a", Sender: fmt.Sprint("sender-", request), Seq: 1, Data: fmt.Append(nil, request),
	}})
}

// loseUnsynced publishes while the first's disk takes nothing, then ends the first's
// process and begins it anew at once.
func (p *pair) loseUnsynced() {
	p.first.hung = p.now + time.Hour
	p.publish(1)
	p.run(20 * time.Millisecond)
	p.first.kill()
	p.run(30 * time.Millisecond)
	p.first.hung, p.first.wrote = 0, 0
	p.first.start()
}

// wasAccepted tells whether a message was told accepted.
func (p *pair) wasAccepted(request uint64) bool {
	return p.answers[request].Outcome == partition.OutcomeAccepted
}

// sameOffset has the first's new life take a message before it knows what its follower
// has, which is the earlier life's message at the same offset; no message is late.
// Then the first is lost with its disk.
func sameOffset(t *testing.T, seed uint64) (broken string) {
	pair := newPair(t, seed)
	pair.loseUnsynced()
	for request := uint64(2); request < 250; request++ {
		pair.after(time.Duration(request)*3*time.Millisecond, func() { pair.publish(request) })
	}
	pair.run(time.Second)
	return pair.loseFirst(1, 250)
}

// loseFirst loses the first with its disk, and then looks for what was accepted.
func (p *pair) loseFirst(from, to uint64) (broken string) {
	p.first.kill()
	p.first.frame, p.first.entries = nil, nil
	p.after(0, p.tend)
	p.run(4 * time.Second)
	p.send("gateway", statemachine.Send{To: p.state.Places[testPartition].Leader, Message: partition.Fetch{Partition: testPartition, RequestID: 1, Prefixes: []string{""}}})
	p.run(time.Second)
	held, any := map[string]bool{}, false
	for _, record := range p.records {
		held[string(record.Data)] = true
	}
	for request := from; request < to; request++ {
		any = any || p.wasAccepted(request)
		if p.wasAccepted(request) && !held[fmt.Sprint(request)] {
			return fmt.Sprintf("message %d was accepted and is lost with the first's disk", request)
		}
	}
	if !any {
		return "nothing was accepted"
	}
	return ""
}

// lateAcknowledgement has the follower's word for a message of the first's earlier life
// come to the next one, which can copy nothing to the follower: nothing may be
// accepted.
func lateAcknowledgement(t *testing.T, seed uint64) (broken string) {
	pair := newPair(t, seed)
	pair.held = func(from, to string, message any) (time.Duration, bool) {
		if _, copies := message.(partition.ReplicateResponse); copies && from == pair.follower.name && to == pair.first.name {
			return 1500 * time.Millisecond, false
		}
		return 0, false
	}
	began := pair.now
	pair.loseUnsynced()
	pair.held = nil
	pair.run(1400*time.Millisecond - (pair.now - began))
	pair.held = func(from, _ string, message any) (time.Duration, bool) {
		_, copies := message.(partition.Replicate)
		return 0, copies && from == pair.first.name
	}
	pair.publish(2)
	pair.run(time.Second)
	if pair.wasAccepted(2) {
		return "accepted with one copy only"
	}
	return ""
}

// lateCopy has a copy of the first's earlier life come to the follower once the next
// life has levelled it, and then loses the first with its disk.
func lateCopy(t *testing.T, seed uint64) (broken string) {
	pair := newPair(t, seed)
	pair.held = func(from, _ string, message any) (time.Duration, bool) {
		if _, copies := message.(partition.Replicate); copies && from == pair.first.name {
			return 1200 * time.Millisecond, false
		}
		return 0, false
	}
	pair.loseUnsynced()
	pair.held = nil
	pair.run(1500 * time.Millisecond)
	pair.publish(2)
	pair.run(500 * time.Millisecond)
	return pair.loseFirst(1, 3)
}

// doubledFrame has the first's whole partition come to the follower a second time,
// once more was accepted after it, and then loses the first with its disk.
func doubledFrame(t *testing.T, seed uint64) (broken string) {
	pair := newPair(t, seed)
	frames := 0
	pair.held = func(from, to string, message any) (time.Duration, bool) {
		if _, whole := message.(partition.InstallSnapshot); whole {
			frames++
			packed, err := transport.Encode(statemachine.Meta{From: from, Version: 1}, message)
			assert.NilError(t, err)
			pair.after(1500*time.Millisecond, func() { pair.deliver(from, to, packed) })
		}
		return 0, false
	}
	pair.loseUnsynced()
	pair.run(time.Second)
	for request := uint64(2); request < 10; request++ {
		pair.publish(request)
	}
	pair.run(time.Second)
	if frames == 0 {
		return "no frame was sent"
	}
	return pair.loseFirst(1, 10)
}

// orderAgain tells whether a store is being emptied after an order to empty it was
// taken, another to use it again was taken, and the first comes once more from a daemon
// that had no answer to it.
func orderAgain() bool {
	state := newState()
	apply := func(command Command) { state.Apply(time.Time{}, mustPack(command)) }
	for _, name := range []string{"store-0", "store-1", "store-2"} {
		apply(Command{Joins: []Join{{Self: membership.Member{Name: name, Kind: membership.KindStore, Alive: true, Incarnation: 1}}}})
	}
	empty := Retirement{Order: statemachine.RequestID{Incarnation: 7, Number: 3}, Store: "store-0", Retiring: true}
	apply(Command{Retirement: &empty})
	apply(Command{Retirement: &Retirement{Order: statemachine.RequestID{Incarnation: 9, Number: 3}, Store: "store-0"}})
	apply(Command{Retirement: &empty})
	return state.Members["store-0"].Retiring
}

func TestAnOrderThatComesAgainIsKnown(t *testing.T) {
	assert.Assert(t, !orderAgain())
}

var restartedFirst = []struct {
	name string
	run  func(t *testing.T, seed uint64) string
}{
	{"late acknowledgement", lateAcknowledgement},
	{"late copy", lateCopy},
	{"same offset", sameOffset},
	{"doubled frame", doubledFrame},
}

func TestAFirstThatBeginsAnewCountsNothingOfItsEarlierLife(t *testing.T) {
	for _, each := range restartedFirst {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%s %d", each.name, seed), func(t *testing.T) {
				t.Parallel()
				assert.Equal(t, each.run(t, seed), "")
			})
		}
	}
}
