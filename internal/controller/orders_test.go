// Orders that meet in the queue: what the log's order decides, and not the
// moment at which each came. A controller that is alone on its voters holds
// commands back as long as its disk does, so that several wait at once.
package controller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/config"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

const operatorAddress = "operator"

// lone is a controller without backups, whose disk syncs when the test says so.
type lone struct {
	t          assert.TestingT
	controller *Controller
	now        time.Time
	holds      bool
	unsynced   []statemachine.Write
	answers    map[uint64]membership.ControlResponse
	requests   uint64
}

func newLone(t assert.TestingT, highest bool) *lone {
	tolerance := 0
	alone := &lone{t: t, now: time.Unix(1_700_000_000, 0), answers: map[uint64]membership.ControlResponse{}}
	self := membership.Member{Name: "controller", Kind: membership.KindController, Address: "controller", Zone: "zone", Incarnation: 1}
	made, err := New(Settings{Self: self, Seeds: []string{"controller"}, Founding: true, NewDisk: "disk", Highest: highest, Tolerance: &tolerance}, nil, nil)
	assert.NilError(t, err)
	alone.controller = made
	alone.step(func(effects *statemachine.Effects) { made.Start(alone.now, effects) })
	for range 500 {
		alone.pass(10 * time.Millisecond)
	}
	assert.Assert(t, made.node.Serving(alone.now), "a controller that is alone serves within five seconds")
	return alone
}

// step runs one step, and carries to itself what the controller says to itself.
func (l *lone) step(run func(effects *statemachine.Effects)) {
	var effects statemachine.Effects
	run(&effects)
	l.unsynced = append(l.unsynced, effects.Writes...)
	for _, send := range effects.Sends {
		if response, answers := send.Message.(membership.ControlResponse); answers && send.To == operatorAddress {
			l.answers[response.Request.Number] = response
		}
		if send.To == "controller" {
			l.tell("controller", send.Message)
		}
	}
	if !l.holds {
		l.sync()
	}
}

func (l *lone) tell(from string, message any) {
	l.step(func(effects *statemachine.Effects) {
		l.controller.HandleMessage(l.now, statemachine.Meta{From: from}, message, effects)
	})
}

// sync ends all writes, also those that come with it.
func (l *lone) sync() {
	for len(l.unsynced) > 0 {
		write := l.unsynced[0]
		l.unsynced = l.unsynced[1:]
		l.step(func(effects *statemachine.Effects) {
			l.controller.HandleCommand(l.now, statemachine.Synced{Token: write.Token}, effects)
		})
	}
}

func (l *lone) pass(length time.Duration) {
	until := l.now.Add(length)
	for due := l.controller.NextTick(); !due.IsZero() && !due.After(until); due = l.controller.NextTick() {
		if due.After(l.now) {
			l.now = due
		}
		l.now = l.now.Add(time.Microsecond)
		l.step(func(effects *statemachine.Effects) { l.controller.Tick(l.now, effects) })
	}
	l.now = until
}

// held has the disk keep all writes back while something is done, and syncs
// them then.
func (l *lone) held(do func()) {
	l.holds = true
	do()
	l.holds = false
	l.sync()
	l.pass(300 * time.Millisecond)
}

// order sends an operator's order and gives its number.
func (l *lone) order(method, path, body string) uint64 {
	l.requests++
	request := l.requests
	l.tell(operatorAddress, membership.ControlRequest{Request: statemachine.RequestID{Incarnation: 1, Number: request}, Method: method, Path: path, Body: []byte(body)})
	return request
}

func (l *lone) status(request uint64) int { return l.answers[request].Status }

// ask sends an order and gives the status that it ends with.
func (l *lone) ask(method, path, body string) int {
	request := l.order(method, path, body)
	l.pass(300 * time.Millisecond)
	return l.status(request)
}

func memberNamed(kind, name string, incarnation uint64, disk string) membership.Member {
	return membership.Member{Name: name, Kind: kind, Address: name, Zone: "zone-" + name, Incarnation: incarnation, Disk: disk, Alive: true}
}

// hears has a member ask for news, as each does all along; it hears the answers.
func (l *lone) hears(self membership.Member) {
	l.tell(self.Address, membership.ViewRequest{Self: self, Nonce: 1, LastAnswered: 1})
}

func (l *lone) joins(kind string, names ...string) {
	for _, name := range names {
		l.hears(memberNamed(kind, name, 1, "disk-"+name))
	}
	l.pass(500 * time.Millisecond)
	for _, name := range names {
		assert.Assert(l.t, l.controller.state.Members[name].Alive, "%s has joined", name)
	}
}

func (l *lone) member(name string) membership.Member { return l.controller.state.Members[name] }

func retirePath(name string) string { return "/v1/stores/" + name + "/retire" }

// Of two orders that would each leave enough stores, and both together too few,
// one is refused, whichever came first into the log.
func TestOfTwoRetirementsThatLeaveTooFewOneIsRefused(t *testing.T) { twoRetirements(t) }

func twoRetirements(t assert.TestingT) {
	alone := newLone(t, true)
	alone.joins(membership.KindStore, "store-1", "store-2")
	var first, second uint64
	alone.held(func() {
		first = alone.order(http.MethodPost, retirePath("store-1"), "")
		second = alone.order(http.MethodPost, retirePath("store-2"), "")
	})
	assert.Equal(t, alone.status(first), http.StatusAccepted)
	assert.Equal(t, alone.status(second), http.StatusConflict)
	assert.Assert(t, alone.member("store-1").Retiring && !alone.member("store-2").Retiring)
	assert.Equal(t, alone.ask(http.MethodPost, retirePath("store-1"), ""), http.StatusAccepted, "what was taken is acknowledged again")
	assert.Equal(t, alone.ask(http.MethodPost, retirePath("store-2"), ""), http.StatusConflict)
}

// A configuration whose drains would leave no gateway is refused even if the last
// other one was lost while the configuration waited.
func TestDrainsAreCheckedWhereTheLogDecides(t *testing.T) { drainsAndALoss(t) }

func drainsAndALoss(t assert.TestingT) {
	alone := newLone(t, true)
	alone.joins(membership.KindGateway, "gateway-1", "gateway-2")
	var put uint64
	alone.held(func() {
		alone.tell("gateway-2", membership.GracefulLeave{Name: "gateway-2", Incarnation: 1})
		alone.pass(50 * time.Millisecond)
		put = alone.order(http.MethodPut, "/v1/configuration", `{"version": 1, "spaces": [], "drains": ["gateway-1"]}`)
	})
	assert.Equal(t, alone.status(put), http.StatusBadRequest, "%s", alone.answers[put].Body)
	assert.Equal(t, alone.controller.state.Version, uint64(0))
}

// A retirement that waits while a store begins another life, or is taken for
// degraded, changes nothing of that.
func TestAWaitingOrderOverwritesNothingElse(t *testing.T) {
	alone := newLone(t, true)
	alone.joins(membership.KindStore, "store-1", "store-2", "store-3")
	var put uint64
	alone.held(func() {
		// The store's next life is on its way into the log when the order comes.
		alone.hears(memberNamed(membership.KindStore, "store-1", 2, "disk-store-1"))
		alone.pass(150 * time.Millisecond)
		put = alone.order(http.MethodPost, retirePath("store-1"), "")
	})
	assert.Equal(t, alone.status(put), http.StatusAccepted)
	member := alone.member("store-1")
	assert.Equal(t, member.Incarnation, uint64(2), "the order brought an earlier life back")
	assert.Assert(t, member.Retiring && member.Alive)
}

// A store's loss that waits behind an order leaves the order in force.
func TestALossThatWaitsLeavesAnOrderInForce(t *testing.T) {
	alone := newLone(t, true)
	alone.joins(membership.KindStore, "store-1", "store-2", "store-3")
	var put uint64
	alone.held(func() {
		// Another command occupies the disk, so that both wait behind it.
		alone.order(http.MethodPut, "/v1/configuration", `{"version": 1, "spaces": []}`)
		put = alone.order(http.MethodPost, retirePath("store-1"), "")
		alone.tell("store-1", membership.GracefulLeave{Name: "store-1", Incarnation: 1})
		alone.pass(50 * time.Millisecond)
	})
	assert.Equal(t, alone.status(put), http.StatusAccepted)
	member := alone.member("store-1")
	assert.Assert(t, member.Retiring, "the loss overwrote the order")
	assert.Assert(t, !member.Alive)
}

// An order to empty a store holds for whatever disk it comes back with, until it is
// done.
func TestARetirementOutlastsADisk(t *testing.T) {
	alone := newLone(t, true)
	alone.joins(membership.KindStore, "store-1", "store-2", "store-3")
	alone.order(http.MethodPut, "/v1/configuration", `{"version": 1, "spaces": [{"name": "a", "promise": "kept"}]}`)
	alone.pass(4 * time.Second)
	alone.joins(membership.KindStore, "store-1", "store-2", "store-3")
	leaving := alone.controller.state.Places[PartitionName("a", 1, 0)].Leader
	assert.Equal(t, alone.ask(http.MethodPost, retirePath(leaving), ""), http.StatusAccepted)
	assert.Assert(t, !alone.member(leaving).Retired, "its partitions lie nowhere else")
	alone.hears(memberNamed(membership.KindStore, leaving, 2, "another disk"))
	alone.pass(200 * time.Millisecond)
	assert.Equal(t, alone.member(leaving).Incarnation, uint64(2))
	assert.Assert(t, alone.member(leaving).Retiring, "an order that was acknowledged is forgotten")
}

func configurationOf(version int, answerWithin string) string {
	return fmt.Sprintf(`{"version": %d, "spaces": [{"name": "a", "promise": "passing", "answer_within": %q}]}`, version, answerWithin)
}

// Under one number one content is confirmed, at whatever moment and in whichever
// mode; and what was taken is acknowledged again for ever.
func TestOneNumberIsConfirmedWithOneContent(t *testing.T) { oneNumber(t) }

func oneNumber(t assert.TestingT) {
	for _, highest := range []bool{true, false} {
		alone := newLone(t, highest)
		var left, right uint64
		alone.held(func() {
			left = alone.order(http.MethodPut, "/v1/configuration", configurationOf(5, "1s"))
			right = alone.order(http.MethodPut, "/v1/configuration", configurationOf(5, "2s"))
		})
		assert.Equal(t, alone.status(left), http.StatusOK)
		assert.Equal(t, alone.status(right), http.StatusConflict, "two operators were confirmed under one number")
		var refused struct {
			Code string `json:"code"`
		}
		assert.NilError(t, json.Unmarshal(alone.answers[right].Body, &refused))
		assert.Equal(t, refused.Code, "same-version")
		put := func(version int, content string) int {
			return alone.ask(http.MethodPut, "/v1/configuration", configurationOf(version, content))
		}
		assert.Equal(t, put(5, "1s"), http.StatusOK)
		assert.Equal(t, put(5, "2s"), http.StatusConflict)
		assert.Equal(t, put(8, "3s"), http.StatusOK)
		assert.Equal(t, put(5, "1s"), http.StatusOK, "what was taken is never refused")
		assert.Equal(t, put(5, "2s"), http.StatusConflict)
		overtaken := put(7, "1s")
		if !highest {
			assert.Equal(t, overtaken, http.StatusConflict)
			assert.Equal(t, put(7, "1s"), http.StatusConflict)
			continue
		}
		assert.Equal(t, overtaken, http.StatusOK, "a number below the one in force is acknowledged")
		assert.Equal(t, put(7, "2s"), http.StatusConflict, "but not with two contents")
		assert.Equal(t, put(7, "1s"), http.StatusOK)
		assert.Equal(t, alone.controller.state.Version, uint64(8))
	}
}

// The history is bounded, and the number in force is never forgotten.
func TestTheHistoryIsBounded(t *testing.T) {
	state := newState()
	at := time.Unix(1_700_000_000, 0)
	put := func(version uint64, content string) Outcome {
		change := configured(version, configurationOf(int(version), content))
		change.At, change.Through, change.Highest = at, operatorAddress, true
		state.Apply(time.Time{}, mustPack(Command{Configuration: change}))
		return state.result.outcome
	}
	for version := range uint64(3 * historyLimit) {
		assert.Equal(t, put(version+1, "1s"), Taken)
	}
	assert.Equal(t, len(state.History), historyLimit)
	newest := state.History[historyLimit-1]
	assert.Equal(t, newest.Version, uint64(3*historyLimit))
	assert.Equal(t, newest.Through, operatorAddress)
	assert.Assert(t, newest.At.Equal(at))
	assert.Equal(t, put(1, "1s"), Overtaken, "what is forgotten is acknowledged where the highest number counts")
	assert.Equal(t, put(2*historyLimit+1, "1s"), Repeated)
	assert.Equal(t, put(2*historyLimit+1, "2s"), OtherContent)
	assert.Equal(t, put(3*historyLimit, "2s"), OtherContent)
	packed := state.Snapshot()
	restored := newState()
	assert.NilError(t, restored.Restore(packed))
	assert.DeepEqual(t, transport.MustMarshal(restored.History), transport.MustMarshal(state.History))
	state.Document = nil
	assert.Assert(t, len(state.Snapshot()) < historyLimit*64, "%d bytes", len(state.Snapshot()))
}

// A number that was overtaken while it waited is not confirmed where it is refused,
// and nothing is refused later as if it had been.
func TestAnOvertakenOrderThatWasRefusedDecidesNothing(t *testing.T) {
	alone := newLone(t, false)
	var higher, lower uint64
	alone.held(func() {
		higher = alone.order(http.MethodPut, "/v1/configuration", configurationOf(9, "1s"))
		lower = alone.order(http.MethodPut, "/v1/configuration", configurationOf(8, "1s"))
	})
	assert.Equal(t, alone.status(higher), http.StatusOK)
	older := func(request uint64) {
		var refused struct {
			Code string `json:"code"`
		}
		assert.NilError(t, json.Unmarshal(alone.answers[request].Body, &refused))
		assert.Equal(t, refused.Code, "older-version")
	}
	older(lower)
	for _, content := range []string{"1s", "2s"} {
		lower = alone.order(http.MethodPut, "/v1/configuration", configurationOf(8, content))
		alone.pass(300 * time.Millisecond)
		older(lower)
	}
}

// What is decided on one life of a member, or on one placement, changes nothing of
// another.
func TestCommandsHoldForWhatTheyWereDecidedOn(t *testing.T) {
	state := stateOf(5, 1)
	apply := func(command Command) { state.Apply(time.Time{}, mustPack(command)) }
	configuration, _ := config.Read(state.Document)
	apply(Command{Places: state.plan(configuration)})
	earlier := state.Members["store-0"]
	next := earlier
	next.Incarnation, next.Alive = 2, false
	apply(Command{Joins: []Join{{Self: next}}})
	apply(Command{
		Departures: []Departure{{Name: "store-0", Incarnation: 1}}, Joins: []Join{{Self: earlier}},
		Degradations: []Degradation{{Name: "store-0", Incarnation: 1, Degraded: true}}, Rests: []Rest{{Name: "store-0", Incarnation: 1, Resting: true}},
	})
	member := state.Members["store-0"]
	assert.Assert(t, member.Alive && !member.Degraded && !member.Resting)
	assert.Equal(t, member.Incarnation, uint64(2))
	apply(Command{Joins: []Join{{Self: earlier, Over: 2}}})
	assert.Equal(t, state.Members["store-0"].Incarnation, uint64(1), "a clock that was set back, and the later life silent")

	// A plan waits; meanwhile a store that it gives copies to is ordered away.
	apply(Command{Departures: []Departure{{Name: "store-0", Incarnation: 1}}})
	planned := state.plan(configuration)
	assert.Assert(t, len(planned) > 0)
	chosen := planned[0].Followers[0]
	apply(Command{Retirement: &Retirement{Store: chosen, Retiring: true}})
	assert.Equal(t, state.result.outcome, Taken)
	apply(Command{Places: planned, Emptied: []string{chosen}})
	assert.Assert(t, !slices.Contains(state.Places[planned[0].Partition].Followers, chosen) || state.Places[planned[0].Partition].Epoch < planned[0].Epoch)
	assert.Assert(t, !state.Members[chosen].Retired, "partitions still lie there")

	// Another waits while the configuration takes its space away.
	apply(Command{Configuration: configured(2, `{"version": 2, "spaces": [{"name": "s", "promise": "kept"}]}`)})
	configuration, _ = config.Read(state.Document)
	planned = slices.DeleteFunc(state.plan(configuration), func(place membership.Placement) bool { return config.IsShared(place.Partition) })
	assert.Assert(t, len(planned) > 0)
	apply(Command{Configuration: configured(3, `{"version": 3, "spaces": []}`)})
	apply(Command{Places: planned})
	for _, place := range planned {
		_, placed := state.Places[place.Partition]
		assert.Assert(t, !placed, "%s came back", place.Partition)
	}
}
