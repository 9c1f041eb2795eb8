// Signals delayed in the network may arrive after their sender has restarted. Signals of
// an earlier incarnation must be ignored: no message may be sent to a peer that has
// ended.
package overlay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

// destinationsAfterLateJoin delivers the join request of an earlier incarnation of b to
// a after b has restarted without subscriptions. It returns the destinations of a's
// publications.
func destinationsAfterLateJoin(t *testing.T) []string {
	const space = "boards~1"
	network := newNetwork(t, 1)
	network.start("a", 1)
	network.start("b", 2)
	network.setViews()
	area := AreaOf("p0/b1")
	var effects statemachine.Effects
	network.overlays["b"].Subscribe(network.now, space, area, func(time.Time, *statemachine.Effects, bool) {}, &effects)
	var late []Signals
	for _, send := range effects.Sends {
		late = append(late, send.Message.(Signals))
	}
	network.start("b", 3)
	network.setViews()
	effects = statemachine.Effects{}
	network.overlays["a"].Publish(network.now, space, area, nil, &effects)
	network.send("a", &effects)
	network.run(2 * time.Second)
	for _, signals := range late {
		effects = statemachine.Effects{}
		network.overlays["a"].HandleSignals(network.now, signals, &effects)
		network.send("a", &effects)
	}
	return network.overlays["a"].Destinations(space, area)
}

func TestPeersOfAnEarlierIncarnationAreIgnored(t *testing.T) {
	assert.Equal(t, len(destinationsAfterLateJoin(t)), 0)
}
