// The end of a subscription to a space without a route must not affect routed topics,
// which have a separate plane.
package overlay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

func TestOverlayUnsubscribeLeavesRoutedTopics(t *testing.T) {
	const plane, topic, space = "+", "board.1", "boards~1"
	network := newNet(t, 1)
	network.come("a", 1)
	network.come("b", 2)
	network.view()
	var effects statemachine.Effects
	network.parts["b"].SetSubscribers(network.now, plane, topic, 1, &effects)
	network.carry("b", &effects)
	effects = statemachine.Effects{}
	network.parts["a"].AwaitCell(network.now, plane, topic, func(time.Time, *statemachine.Effects, bool) {}, &effects)
	network.carry("a", &effects)
	network.run(2 * time.Second)
	assert.DeepEqual(t, network.parts["a"].SubscribedDaemons(plane, topic), []string{"b"})

	area := AreaOf("p0/b1")
	effects = statemachine.Effects{}
	network.parts["a"].Subscribe(network.now, space, area, func(time.Time, *statemachine.Effects, bool) {}, &effects)
	network.parts["a"].Unsubscribe(network.now, space, area, &effects)
	network.carry("a", &effects)
	network.run(2 * time.Second)
	assert.DeepEqual(t, network.parts["a"].SubscribedDaemons(plane, topic), []string{"b"})
}
