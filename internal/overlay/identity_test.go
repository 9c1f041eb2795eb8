// What the links held of an earlier life of a daemon tells nothing of the life that is
// there now: no message goes to a peer that has ended.
package overlay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

// lateJoin has the join of an earlier life of b come to a after b began anew without
// subscriptions, and tells whether a sends its messages to b.
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
