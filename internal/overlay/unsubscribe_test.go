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
	network := newNetwork(t, 1)
	network.start("a", 1)
	network.start("b", 2)
	network.setViews()
	var effects statemachine.Effects
	network.overlays["b"].SetSubscribers(network.now, plane, topic, 1, &effects)
	network.send("b", &effects)
	effects = statemachine.Effects{}
	network.overlays["a"].AwaitCell(network.now, plane, topic, func(time.Time, *statemachine.Effects, bool) {}, &effects)
	network.send("a", &effects)
	network.run(2 * time.Second)
	assert.DeepEqual(t, network.overlays["a"].SubscribedDaemons(plane, topic), []string{"b"})

	area := AreaOf("p0/b1")
	effects = statemachine.Effects{}
	network.overlays["a"].Subscribe(network.now, space, area, func(time.Time, *statemachine.Effects, bool) {}, &effects)
	network.overlays["a"].Unsubscribe(network.now, space, area, &effects)
	network.send("a", &effects)
	network.run(2 * time.Second)
	assert.DeepEqual(t, network.overlays["a"].SubscribedDaemons(plane, topic), []string{"b"})
}
