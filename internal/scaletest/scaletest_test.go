// The hollow fleet must stay what the simulator runs, which are the daemons' own
// machines: a fleet that is metered says the same messages as one that is not.
package scaletest

import (
	"maps"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/agent"
	"dahlialock/internal/controller"
	"dahlialock/internal/gateway"
	"dahlialock/internal/membership"
	"dahlialock/internal/partition"
	"dahlialock/internal/simulator"
)

const span = 6 * time.Second

func TestAHollowFleetSaysWhatTheSimulatorsRunSays(t *testing.T) {
	size := Shape(15)
	reading, err := Measure(3, size, span, 20, 0)
	assert.NilError(t, err)
	assert.Equal(t, reading.Daemons, 15)

	plain := simulator.New(3, size)
	assert.NilError(t, plain.Found(1, 2*time.Minute))
	plain.Run(8 * time.Second)
	before := maps.Clone(plain.Sent)
	plain.Run(span)
	for kind, count := range plain.Sent {
		assert.Equal(t, reading.Quiet.Total()[kind], int64(count-before[kind]), kind)
	}
	for kind, count := range reading.Quiet.Kinds() {
		assert.Equal(t, int64(plain.Sent[kind]-before[kind]), count, kind)
	}
}

func TestHollowDaemonsAreTheDaemonsMachines(t *testing.T) {
	fleet := simulator.New(5, Shape(15))
	assert.NilError(t, fleet.Found(1, time.Minute))
	for _, node := range fleet.Nodes("") {
		var same bool
		switch node.Kind {
		case membership.KindGateway:
			_, same = node.Machine.(*gateway.Gateway)
		case membership.KindAgent:
			_, same = node.Machine.(*agent.Agent)
		case membership.KindStore:
			_, same = node.Machine.(*partition.Store)
		case membership.KindController:
			_, same = node.Machine.(*controller.Controller)
		}
		assert.Assert(t, same, node.Name)
	}
}

func TestOneSeedGivesOneCount(t *testing.T) {
	first, err := Measure(8, Shape(15), span, 20, 8)
	assert.NilError(t, err)
	second, err := Measure(8, Shape(15), span, 20, 8)
	assert.NilError(t, err)
	for _, parts := range [][2]Span{{first.Quiet, second.Quiet}, {first.Change, second.Change}, {first.Loss, second.Loss}, {first.Overlay, second.Overlay}} {
		assert.DeepEqual(t, parts[0].Total(), parts[1].Total())
	}
	assert.Equal(t, first.InForce, second.InForce)
}

func TestShapesHaveTheirDaemons(t *testing.T) {
	for _, daemons := range []int{15, 65, 150, 500, 1000} {
		size := Shape(daemons)
		assert.Equal(t, 2*size.Gateways+size.Stores+size.Controllers, daemons)
		assert.Assert(t, size.Gateways > 0)
	}
}

func TestALineIsFitted(t *testing.T) {
	line := Fit([]float64{1, 2, 3, 4}, []float64{3, 5, 7, 9})
	assert.Assert(t, math.Abs(line.Base-1) < 1e-9 && math.Abs(line.Slope-2) < 1e-9 && line.Error < 1e-9)
	line = Fit([]float64{0, 1, 2}, []float64{0, 2, 1})
	assert.Assert(t, math.Abs(line.Slope-0.5) < 1e-9 && math.Abs(line.Error-math.Sqrt(0.75)) < 1e-9, "%v", line)
}
