//go:build mutation

// Without a credit all that callers take up at once is asked for at once, and with
// those counted who wait for their places others are told of each that is refused.
package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

func TestAllIsFetchedAtOnceWithoutCredit(t *testing.T) {
	defer statemachine.Mutate("fetches-without-credit")()
	assert.Equal(t, len(newCrowded(crowdedTopics).asked()), crowdedTopics)
}

func TestOthersAreToldOfWhoWaitsIfItCounts(t *testing.T) {
	defer statemachine.Mutate("waiting-counts")()
	waiting, _ := toldWhileWaiting()
	assert.Equal(t, waiting, 1)
}

func TestAPlaceWaitsForWhatItLacksIfItIsConfirmedLate(t *testing.T) {
	defer statemachine.Mutate("places-confirmed-late")()
	assert.Assert(t, !confirmed(t, 5))
}

func TestAKeptTurnIsNeeded(t *testing.T) {
	defer statemachine.Mutate("refused-loses-turn")()
	topics, _ := refusedTurn(t)
	assert.Equal(t, topics, 0)
}

func TestTheOrderOfABatchIsNeeded(t *testing.T) {
	defer statemachine.Mutate("first-come-first")()
	assert.Equal(t, orderOfRest(t)[0], "topic-0")
}
