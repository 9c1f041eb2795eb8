// Fetches have a credit, places are confirmed before what they lack is fetched, and nobody is told of who still waits for its place.
package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/config"
	"dahlialock/internal/membership"
	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
)

// crowded is a gateway at which callers take up many kept topics at once.
type crowded struct {
	now      time.Time
	gateway  *Gateway
	effects  statemachine.Effects
	channels []*channel
}

func newCrowded(count int) *crowded {
	made := &crowded{now: time.Unix(1000, 0)}
	made.gateway = New(Settings{Self: membership.Member{Name: "gateway-1", Kind: membership.KindGateway, Address: "a:1"}, Agent: "a:2"})
	made.gateway.follower.Members["store-1"] = membership.Member{Name: "store-1", Kind: membership.KindStore, Address: "k:1", Alive: true}
	made.gateway.spaces["boards"] = &spaceState{space: config.Space{Name: "boards", Promise: config.Kept, Order: config.OrderTopic, Subscribers: []string{"*"}}, name: "boards~0"}
	for number := range count {
		name := fmt.Sprintf("topic-%d", number)
		partition := config.SharedPartition(name)
		made.gateway.follower.Places[partition] = membership.Placement{Partition: partition, Epoch: 1, First: "store-1", Complete: true}
		taken := &place{channel: uint64(number + 1), filling: true, request: Subscribe{Request: uint64(number + 1)}, limit: made.now.Add(time.Second)}
		opened := &channel{origin: name, routed: map[string]*place{name: taken}}
		made.gateway.channels[taken.channel] = opened
		made.channels = append(made.channels, opened)
		followed := made.gateway.addPlace(made.now, name, "boards", taken, &made.effects)
		made.gateway.fetchTopic(made.now, followed, &made.effects)
	}
	return made
}

// asked gives the fetches that were sent since it was last called.
func (c *crowded) asked() []partition.Fetch {
	var fetches []partition.Fetch
	for _, send := range c.effects.Sends {
		if fetch, is := send.Message.(partition.Fetch); is {
			fetches = append(fetches, fetch)
		}
	}
	c.effects = statemachine.Effects{}
	return fetches
}

func (c *crowded) answer(fetch partition.Fetch) {
	c.gateway.onFetchResponse(c.now, partition.FetchResponse{Partition: fetch.Partition, Request: fetch.Request, Epoch: 1, Head: 5, Until: 5, Ready: true}, &c.effects)
}

func TestFetchesWaitForCredit(t *testing.T) {
	many := newCrowded(3 * fetchesMost)
	fetches := many.asked()
	assert.Equal(t, len(fetches), fetchesMost)
	many.answer(fetches[0])
	assert.Equal(t, len(many.asked()), 1)
}

func TestAFetchForWhichNobodyWaitsKeepsItsCreditUntilItsAnswer(t *testing.T) {
	many := newCrowded(2*fetchesMost + 1)
	fetches := many.asked()
	gone := fetches[0].Topics[0]
	many.gateway.dropPlace(many.now, many.channels[0], gone, &many.effects)
	assert.Equal(t, len(many.asked()), 0)
	many.answer(fetches[0])
	assert.Equal(t, len(many.asked()), 1)
	// One whose answer never comes gives its credit back after a while.
	many.gateway.dropPlace(many.now, many.channels[1], fetches[1].Topics[0], &many.effects)
	many.now = many.now.Add(abandonedFor)
	many.gateway.dropAbandoned(many.now, &many.effects)
	assert.Equal(t, len(many.asked()), 1)
}

func TestATopicThatNobodyWantsAnyMoreIsNotFetched(t *testing.T) {
	many := newCrowded(fetchesMost + 2)
	fetches := many.asked()
	waiting := many.channels[fetchesMost]
	many.gateway.dropPlace(many.now, waiting, waiting.origin, &many.effects)
	many.answer(fetches[0])
	next := many.asked()
	assert.Equal(t, len(next), 1)
	assert.Equal(t, next[0].Topics[0], many.channels[fetchesMost+1].origin)
}

// toldWhileWaiting is how many subscribers others are told of while one waits for
// its place, and once it has it.
func toldWhileWaiting() (waiting, filled int) {
	one := newCrowded(1)
	followed := one.gateway.routed.topics["topic-0"]
	waiting = followed.told
	one.answer(one.asked()[0])
	return waiting, followed.told
}

func TestNobodyIsToldOfWhoWaitsForItsPlace(t *testing.T) {
	waiting, filled := toldWhileWaiting()
	assert.Equal(t, waiting, 0)
	assert.Equal(t, filled, 1)
}

// confirmed tells whether a caller who comes back with a cursor is answered before
// what it missed was fetched.
func confirmed(t *testing.T, cursor uint64) bool {
	one := newCrowded(1)
	one.answer(one.asked()[0])
	gateway := one.gateway
	partition := config.SharedPartition("topic-0")
	gateway.routed.bases[partition] = 3
	gateway.follower.Index, gateway.follower.Confirmed = 1, one.now
	gateway.pulse.Heard(one.now)
	gateway.config = configOf(t)
	gateway.channels[9] = &channel{origin: "late", routed: map[string]*place{}}
	gateway.routed.topics["topic-0"].recentFrom, gateway.routed.topics["topic-0"].last = 9, 9
	one.effects = statemachine.Effects{}
	gateway.subscribeRouted(one.now, Subscribe{Request: 77, Channel: 9, Origin: "late", Interests: []Interest{{Path: "topic-0"}}, Cursor: placeText(cursor)}, true, &one.effects)
	for _, returned := range one.effects.Returns {
		if returned.Request == 77 {
			answer := returned.Value.(Answer)
			assert.Equal(t, answer.Outcome, OutcomeAccepted, "%v", answer)
			assert.Equal(t, answer.Cursor, placeText(cursor))
			return true
		}
	}
	assert.Equal(t, len(one.asked()), 1)
	return false
}

func configOf(t *testing.T) config.Configuration {
	read, faults := config.Read([]byte(`{"version":1,"spaces":[{"name":"boards","promise":"kept","order":"topic"}],"routes":[{"prefix":"topic-","space":"boards"}]}`))
	assert.Equal(t, len(faults), 0, "%v", faults)
	return read
}

func TestAPlaceOfWhichAllIsHeldIsConfirmedAtOnce(t *testing.T) {
	assert.Assert(t, confirmed(t, 5))
	assert.Assert(t, !confirmed(t, 2), "what lay there may be gone")
}
