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

// lateJoin delivers the join request of an earlier incarnation of b to a after b has
// restarted without subscriptions. It returns the destinations of a's publications.
func lateJoin(t *testing.T) []string {
	const space = "boards~1"
	net := newNet(t, 1)
	net.come("a", 1)
	net.come("b", 2)
	net.view()
	area := AreaOf("p0/b1")
	var effects statemachine.Effects
	net.parts["b"].Subscribe(net.now, space, area, func(time.Time, *statemachine.Effects, bool) {}, &effects)
	var late []Signals
	for _, send := range effects.Sends {
		late = append(late, send.Message.(Signals))
	}
	net.come("b", 3)
	net.view()
	effects = statemachine.Effects{}
	net.parts["a"].Publish(net.now, space, area, nil, &effects)
	net.carry("a", &effects)
	net.run(2 * time.Second)
	for _, signals := range late {
		effects = statemachine.Effects{}
		net.parts["a"].HandleSignals(net.now, signals, &effects)
		net.carry("a", &effects)
	}
	return net.parts["a"].Destinations(space, area)
}

func TestAnEarlierLifesPeersAreNotTakenIn(t *testing.T) {
	assert.Equal(t, len(lateJoin(t)), 0)
}
