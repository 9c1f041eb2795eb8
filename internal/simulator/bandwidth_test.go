// Tests of links with a limited bandwidth: their throughput, the blocking of senders, and
// that runs over them are reproducible.

package simulator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// testPipe returns a pipe over two links without delay. Its receiver reads only while *reads
// is true.
func testPipe(simulation *Simulation, rate int, reads *bool) *pipe {
	var held []func()
	return &pipe{
		simulation: simulation, up: &linkDirection{rate: rate}, down: &linkDirection{rate: rate}, delay: func() time.Duration { return 0 },
		enter: func(run func()) {
			held = append(held, run)
			if *reads {
				for _, each := range held {
					each()
				}
				held = nil
			}
		},
	}
}

func TestLinkLimitsBytesPerSecond(t *testing.T) {
	simulation := New(1, Small)
	reads, began := true, simulation.Now
	var landed time.Duration
	pipe := testPipe(simulation, 100_000, &reads)
	for range 10 {
		pipe.send(&queuedMessage{size: 20_000, sent: func() {}, arrived: func() { landed = simulation.Now.Sub(began) }})
	}
	simulation.Run(10 * time.Second)
	// The bytes pass two links in series; the second one finishes a segment after the first.
	assert.Assert(t, landed >= 2*time.Second && landed < 2050*time.Millisecond, "%v", landed)
}

func TestAPeerThatDoesNotReadBlocksItsSender(t *testing.T) {
	simulation := New(1, Small)
	reads, landed, sent := false, 0, 0
	pipe := testPipe(simulation, 0, &reads)
	for range 20 {
		pipe.send(&queuedMessage{size: 10_000, sent: func() { sent++ }, arrived: func() { landed++ }})
	}
	simulation.Run(time.Second)
	assert.Equal(t, sent, windowSize/10_000)
	assert.Equal(t, landed, 0)
	reads = true
	pipe.send(&queuedMessage{size: 10_000, sent: func() { sent++ }, arrived: func() { landed++ }})
	for pipe.enter(func() {}); landed < 21; {
		assert.Assert(t, simulation.RunUntil(time.Second, func() bool { return landed == 21 }), "%d of 21", landed)
	}
}

func TestARunOverLinksWithABandwidthIsReproducible(t *testing.T) {
	size := Small
	size.Links = map[string]Bandwidth{"gateway": {Up: 200_000, Down: 200_000}}
	scenario, found := Find("topics-pairs")
	assert.Assert(t, found)
	first, second := Run(scenario, 3, size, nil), Run(scenario, 3, size, nil)
	assert.Equal(t, first.Events, second.Events)
	assert.Equal(t, first.Checker.Summary(), second.Checker.Summary())
	assert.DeepEqual(t, first.Traffic(""), second.Traffic(""))
	assert.Assert(t, len(first.Traffic("")) > 10)
	assert.Equal(t, len(Run(scenario, 3, Small, nil).Traffic("")), 0)
}
