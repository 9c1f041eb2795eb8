package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/config"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// resentMessages returns how many messages a gateway with an unanswered fetch sends after an unrelated view
// update, and after an update with another epoch of the partition. After a power loss of the complete
// fleet, view updates arrive continuously.
func resentMessages() (unrelatedUpdate, otherEpoch int) {
	now := time.Unix(1000, 0)
	gateway := New(Settings{
		Self:  membership.Member{Name: "gateway-1", Kind: membership.KindGateway, Address: "a:1"},
		Agent: "a:2",
	})
	name := config.SharedPartition("topic")
	gateway.viewClient.Members["store-1"] = membership.Member{
		Name:    "store-1",
		Kind:    membership.KindStore,
		Address: "k:1",
		Alive:   true,
	}
	gateway.viewClient.Placements[name] = membership.Placement{
		Partition: name,
		Epoch:     1,
		Leader:    "store-1",
		Complete:  true,
	}
	gateway.spaces["boards"] = &spaceState{
		space: config.Space{Name: "boards", Retention: config.Durable, Order: config.OrderTopic},
		name:  "boards~0",
	}
	var effects statemachine.Effects
	subscription := &topicSubscription{session: 1, catchingUp: true, deadline: now.Add(time.Second)}
	topic := gateway.addTopicSubscription(now, "topic", "boards", subscription, &effects)
	gateway.fetchTopic(now, topic, &effects)
	again := func() int {
		now = now.Add(30 * time.Millisecond)
		var effects statemachine.Effects
		gateway.handlePlacementsChanged(now, &effects)
		return len(effects.Sends)
	}
	gateway.viewClient.Members["gateway-2"] = membership.Member{
		Name:    "gateway-2",
		Kind:    membership.KindGateway,
		Address: "b:1",
		Alive:   true,
	}
	unrelatedUpdate = again()
	gateway.viewClient.Placements[name] = membership.Placement{
		Partition: name,
		Epoch:     2,
		Leader:    "store-1",
		Complete:  true,
	}
	otherEpoch = again()
	return unrelatedUpdate, otherEpoch
}

func TestRouteUnrelatedViewUpdateResendsNothing(t *testing.T) {
	unrelatedUpdate, otherEpoch := resentMessages()
	assert.Equal(t, unrelatedUpdate, 0)
	assert.Equal(t, otherEpoch, 1)
}

func TestBatchRetriesBackOff(t *testing.T) {
	sent := &batch{}
	var waits []time.Duration
	for sent.attempts = 1; sent.attempts < 7; sent.attempts++ {
		waits = append(waits, sent.due().Sub(sent.sentAt))
	}
	assert.DeepEqual(t, waits, []time.Duration{
		batchTimeout, 2 * batchTimeout, 4 * batchTimeout, 8 * batchTimeout, 8 * batchTimeout, 8 * batchTimeout,
	})
}
