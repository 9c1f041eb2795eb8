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

// publishingFixture is a gateway with a space of routed topics and a confirmed configuration, to which a
// client publishes the message 7.
type publishingFixture struct {
	now     time.Time
	gateway *Gateway
	request Publish
}

func newPublishingFixture() *publishingFixture {
	fixture := &publishingFixture{
		now: time.Unix(1000, 0),
		gateway: New(Settings{
			Self:  membership.Member{Name: "gateway-1", Kind: membership.KindGateway, Address: "a:1"},
			Agent: "a:2",
		}),
		request: Publish{Request: 9, Client: "u", Sender: "u", Topic: "b.1", Seq: 7, Data: []byte("text")},
	}
	gateway := fixture.gateway
	gateway.viewClient.Index, gateway.viewClient.ConfirmedAt = 1, fixture.now
	gateway.detector.ReceiveFromPeer(fixture.now)
	gateway.config.Routes = []config.Route{{Prefix: "b.", Space: "boards"}}
	gateway.spaces["boards"] = &spaceState{
		space: config.Space{
			Name: "boards", Retention: config.Durable, Order: config.OrderTopic,
			Publishers: []string{"*"}, DataBytes: 100, ResponseTimeout: 1500 * time.Millisecond,
		},
		name: "boards~0",
	}
	gateway.viewClient.Members["store-1"] = membership.Member{
		Name: "store-1", Kind: membership.KindStore, Address: "k:1", Alive: true,
	}
	return fixture
}

// place has the view name the leader of the topic's partition.
func (f *publishingFixture) place() {
	name := config.SharedPartition(f.request.Topic)
	f.gateway.viewClient.Placements[name] = membership.Placement{
		Partition: name, Epoch: 1, Leader: "store-1", Complete: true,
	}
}

// publish publishes the message, and answers its append with a rejection if rejection is not empty. It
// returns the client's answer, which comes at the deadline at the latest.
func (f *publishingFixture) publish(t *testing.T, rejection string) Reply {
	t.Helper()
	var effects statemachine.Effects
	f.gateway.publish(f.now, f.request, &effects)
	if rejection != "" {
		f.gateway.handleAppendResponse(f.now, partition.AppendResponse{
			Partition: config.SharedPartition(f.request.Topic),
			RequestID: f.gateway.lastRequest,
			Outcome:   partition.OutcomeRejected,
			Code:      rejection,
		}, &effects)
	}
	f.now = f.now.Add(requestTimeout)
	f.gateway.retryRoutedPublications(f.now, &effects)
	assert.Equal(t, len(effects.Responses), 1)
	return effects.Responses[0].Value.(Reply)
}

// A client sends a message that was rejected, and may be retried, under a new sequence number. The old
// number may be in the log of a leader that this gateway can't reach, or that can't decide yet: it must not be
// rejected, or the message arrives twice.
func TestNumberThatNoLeaderDecidedIsNotRejected(t *testing.T) {
	for code, prepare := range map[string]func(fixture *publishingFixture){
		"no-answer": func(*publishingFixture) {},
		"unconfirmed": func(fixture *publishingFixture) {
			fixture.gateway.viewClient.ConfirmedAt = fixture.now.Add(-time.Minute)
		},
		"stopping": func(fixture *publishingFixture) { fixture.gateway.stopping = true },
		"too-many": func(fixture *publishingFixture) {
			fixture.gateway.spaces["boards"].space.PublicationsPerSecond = 1
			earlier := fixture.request
			earlier.Seq--
			fixture.gateway.publish(fixture.now, earlier, &statemachine.Effects{})
			clear(fixture.gateway.routed.appends)
		},
	} {
		fixture := newPublishingFixture()
		prepare(fixture)
		reply := fixture.publish(t, "")
		assert.Equal(t, reply.Code, code)
		assert.Equal(t, reply.Outcome, OutcomeUnsettled, code)
	}
	for _, code := range []string{
		partition.CodeNotLeader, partition.CodeSequencePassed, partition.CodeDiskUnavailable,
		partition.CodeFollowerIncomplete, partition.CodeFollowerSilent,
	} {
		fixture := newPublishingFixture()
		fixture.place()
		assert.Equal(t, fixture.publish(t, code).Outcome, OutcomeUnsettled, code)
	}
}

// A number that the leader's log excludes is rejected: one below an accepted number is never appended.
func TestNumberThatLeaderDecidedIsRejected(t *testing.T) {
	fixture := newPublishingFixture()
	fixture.place()
	reply := fixture.publish(t, partition.CodeSequenceStale)
	assert.Equal(t, reply.Outcome, OutcomeRejected)
	assert.Equal(t, reply.Code, partition.CodeSequenceStale)
}

// A publication that no retry can get accepted is rejected: nothing is promised about its number.
func TestPublicationThatCannotSucceedIsRejected(t *testing.T) {
	fixture := newPublishingFixture()
	fixture.request.Data = make([]byte, 101)
	assert.Equal(t, fixture.publish(t, "").Outcome, OutcomeRejected)
}
