//go:build mutation

package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

// Without the limit of one batch in flight to each store, each new subscription sends a batch at once.
func TestBatchMutationFetchesWithoutCredit(t *testing.T) {
	defer statemachine.Mutate("fetches-without-credit")()
	assert.Equal(t, len(newTopicFixture(fixtureTopics).takeSentBatches()), fixtureTopics)
}

// If unconfirmed subscriptions were counted, subscriptions that are rejected later would be announced to the
// other gateways.
func TestSubscriberCountMutationCountsUnconfirmed(t *testing.T) {
	defer statemachine.Mutate("waiting-counts")()
	unconfirmed, _ := announcedSubscribers()
	assert.Equal(t, unconfirmed, 1)
}

func TestTopicSubscriptionMutationConfirmsLate(t *testing.T) {
	defer statemachine.Mutate("places-confirmed-late")()
	assert.Assert(t, !confirmedBeforeFetch(t, 5))
}

func TestTopicSubscriptionMutationLosesTurn(t *testing.T) {
	defer statemachine.Mutate("refused-loses-turn")()
	topics, _ := batchAfterRejection(t)
	assert.Equal(t, topics, 0)
}

func TestBatchMutationKeepsArrivalOrder(t *testing.T) {
	defer statemachine.Mutate("first-come-first")()
	assert.Equal(t, nextBatchOrder(t)[0], "topic-0")
}
