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

// A duplicate of a response must not count as the response to another send. The append was sent twice
// and one send is rejected twice: the other send is still unanswered at the deadline, so the outcome
// must be unsettled, not rejected.
func TestPublicationDuplicateResponseAnswersOneSend(t *testing.T) {
	now := time.Unix(1000, 0)
	gateway := New(Settings{
		Self:  membership.Member{Name: "gateway-1", Kind: membership.KindGateway, Address: "a:1"},
		Agent: "a:2",
	})
	gateway.viewClient.Members["store-1"] = membership.Member{
		Name:    "store-1",
		Kind:    membership.KindStore,
		Address: "k:1",
		Alive:   true,
	}
	gateway.viewClient.Placements["boards~1/0"] = membership.Placement{
		Partition: "boards~1/0",
		Epoch:     1,
		Leader:    "store-1",
	}
	gateway.spaces["boards"] = &spaceState{
		space: config.Space{Name: "boards", Retention: config.Durable},
		name:  "boards~1",
	}
	key := senderKey{space: "boards", sender: "u"}
	from := &sender{recent: map[uint64]acceptedEphemeral{}}
	item := &publication{
		request:   Publish{Request: 9, Sender: "u", Client: "u", Space: "boards", Topic: "t", Seq: 1},
		key:       key,
		id:        77,
		partition: "boards~1/0",
		deadline:  now.Add(500 * time.Millisecond),
	}
	from.queue = []*publication{item}
	gateway.senders[key], gateway.appends[item.id] = from, item
	var effects statemachine.Effects
	gateway.sendAppend(now, from, item, &effects)
	now = now.Add(appendRetry)
	gateway.sendAppend(now, from, item, &effects)
	first := effects.Sends[0].Message.(partition.Append).RequestID
	for range 2 {
		gateway.handleAppendResponse(now, partition.AppendResponse{
			Partition: item.partition,
			RequestID: first,
			Outcome:   partition.OutcomeRejected,
			Code:      "not-first",
		}, &effects)
	}
	effects = statemachine.Effects{}
	gateway.checkDeadlines(item.deadline, &effects)
	assert.Equal(t, len(effects.Responses), 1)
	assert.Equal(t, effects.Responses[0].Value.(Reply).Outcome, OutcomeUnsettled)
	assert.Equal(t, len(gateway.sends), 0)
}
