package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/config"
	"dahlialock/internal/membership"
	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
)

const (
	earlierIncarnation statemachine.Incarnation = 0x5851_f42d_4c95_7f2d
	currentIncarnation statemachine.Incarnation = 0x1405_7b7e_f767_814f
)

// requester is a gateway with one space and one pending publication.
type requester struct {
	gateway     *Gateway
	publication *publication
}

// newRequester returns a gateway with the given incarnation and one store per partition. The response of a
// store to an earlier incarnation must not be accepted by the current one.
func newRequester(incarnation statemachine.Incarnation, now time.Time, partitions ...string) *requester {
	gateway := New(Settings{
		Self:        membership.Member{Name: "gateway-1", Kind: membership.KindGateway, Address: "a:1"},
		Agent:       "a:2",
		Incarnation: incarnation,
	})
	for number, name := range partitions {
		store := string(rune('k' + number))
		gateway.viewClient.Members[store] = membership.Member{
			Name:    store,
			Kind:    membership.KindStore,
			Address: store,
			Alive:   true,
		}
		gateway.viewClient.Placements[name] = membership.Placement{Partition: name, Epoch: 1, Leader: store}
	}
	gateway.spaces["boards"] = &spaceState{
		space: config.Space{Name: "boards", Retention: config.Durable},
		name:  "boards~1",
	}
	item := &publication{
		request:   Publish{Request: 9, Sender: "u", Client: "u", Space: "boards", Topic: "t", Seq: 1},
		key:       senderKey{space: "boards", sender: "u"},
		id:        77,
		partition: partitions[0],
		deadline:  now.Add(500 * time.Millisecond),
	}
	gateway.senders[item.key] = &sender{recent: map[uint64]acceptedEphemeral{}, queue: []*publication{item}}
	gateway.appends[item.id] = item
	return &requester{gateway: gateway, publication: item}
}

// sendsOf runs a step of the gateway and returns the messages that it sends.
func (r *requester) sendsOf(run func(effects *statemachine.Effects)) []statemachine.Send {
	var effects statemachine.Effects
	run(&effects)
	return effects.Sends
}

func (r *requester) sendAppend(now time.Time) partition.Append {
	return r.sendsOf(func(effects *statemachine.Effects) {
		r.gateway.sendAppend(now, r.gateway.senders[r.publication.key], r.publication, effects)
	})[0].Message.(partition.Append)
}

func (r *requester) sendFetch(now time.Time) partition.FetchTopics {
	topic := &topicState{name: "t", partition: r.publication.partition, durable: true}
	topic.subscriptions = []*topicSubscription{{topic: topic, catchingUp: true}}
	r.gateway.routed.topics[topic.name] = topic
	return r.sendsOf(func(effects *statemachine.Effects) {
		r.gateway.fetchTopic(
			now,
			topic,
			effects,
		)
	})[0].Message.(partition.FetchTopics)
}

func (r *requester) lookUpSender(now time.Time) []statemachine.Send {
	return r.sendsOf(func(effects *statemachine.Effects) {
		r.gateway.lookUpSender(now, r.gateway.spaces["boards"], r.publication, effects)
	})
}

// handleResponse passes a store's response to the gateway and returns the responses to clients.
func (r *requester) handleResponse(now time.Time, answer any) []statemachine.Response {
	var effects statemachine.Effects
	r.gateway.dispatch(now, statemachine.Meta{From: "k"}, answer, &effects)
	return effects.Responses
}

// responsesToStaleAppend passes the response to an append of the earlier incarnation to the current one, and
// returns the responses to clients.
func responsesToStaleAppend() []statemachine.Response {
	now := time.Unix(1000, 0)
	earlier := newRequester(earlierIncarnation, now, "boards~1/0").sendAppend(now)
	current := newRequester(currentIncarnation, now, "boards~1/0")
	current.sendAppend(now.Add(time.Second))
	return current.handleResponse(now.Add(1100*time.Millisecond), partition.AppendResponse{
		Partition: earlier.Partition,
		RequestID: earlier.RequestID,
		Outcome:   partition.OutcomeAccepted,
		Epoch:     1,
		Record:    partition.Record{Offset: 5},
	})
}

// staleResponseEndsFetch reports whether a response to a fetch of the earlier incarnation ends a fetch of the
// current one.
func staleResponseEndsFetch() bool {
	now := time.Unix(1000, 0)
	earlier := newRequester(earlierIncarnation, now, "boards~1/0").sendFetch(now)
	current := newRequester(currentIncarnation, now, "boards~1/0")
	fetch := current.sendFetch(now.Add(time.Second))
	current.handleResponse(now.Add(1100*time.Millisecond), partition.FetchTopicsResponse{
		RequestID: earlier.RequestID, Topics: []partition.TopicRecords{{Until: 5}},
		Partitions: []partition.PartitionState{{Partition: "boards~1/0", Epoch: 1, HighWatermark: 5}},
	})
	_, waits := current.gateway.routed.batches[fetch.RequestID]
	return !waits
}

func TestResponseToEarlierIncarnationIsIgnored(t *testing.T) {
	assert.Equal(t, len(responsesToStaleAppend()), 0)
	assert.Assert(t, !staleResponseEndsFetch())
}

// duplicateCompletesLookup reports whether a sender lookup of two stores completes although only one of them has
// responded, twice.
func duplicateCompletesLookup() bool {
	now := time.Unix(1000, 0)
	current := newRequester(currentIncarnation, now, partitionName("boards~1", 0), partitionName("boards~1", 1))
	current.gateway.spaces["boards"].space.Order = config.OrderSender
	for number := 2; number < current.gateway.spaces["boards"].space.Partitions(); number++ {
		current.gateway.viewClient.Placements[partitionName("boards~1", number)] = membership.Placement{Leader: "k", Epoch: 1}
	}
	sends := current.lookUpSender(now)
	for range len(sends) {
		current.handleResponse(now, partition.SenderStateResponse{
			RequestID: sends[0].Message.(partition.SenderStateRequest).RequestID,
			Ready:     true,
		})
	}
	return current.gateway.senders[current.publication.key].lookedUp
}

// recordsAfterDuplicates returns how many records a fetch has after each of its two parts of 5 records was
// received twice.
func recordsAfterDuplicates() int {
	now := time.Unix(1000, 0)
	current := newRequester(currentIncarnation, now, "boards~1/0")
	operation := &fetchOperation{
		session:    5,
		partitions: map[string]*partitionFetch{"boards~1/0": {}},
		records:    map[string][]partition.Record{},
		deadline:   now.Add(time.Second),
	}
	current.gateway.fetches[3] = operation
	page := func(from, until uint64) partition.FetchResponse {
		answer := partition.FetchResponse{
			Partition:     "boards~1/0",
			RequestID:     3,
			Epoch:         1,
			HighWatermark: 10,
			Until:         until,
			Ready:         true,
		}
		for offset := from; offset <= until; offset++ {
			answer.Records = append(answer.Records, partition.Record{Offset: offset, Epoch: 1, Sender: "u", Seq: offset})
		}
		return answer
	}
	for _, answer := range []partition.FetchResponse{page(1, 5), page(1, 5), page(6, 10), page(6, 10)} {
		current.handleResponse(now, answer)
	}
	return len(operation.records["boards~1/0"])
}

func TestFetchIgnoresDuplicateResponse(t *testing.T) {
	assert.Equal(t, recordsAfterDuplicates(), 10)
}

func TestSenderLookupCountsEachStoreOnce(t *testing.T) {
	assert.Assert(t, !duplicateCompletesLookup())
}
