// The hollow fleet must stay what the simulator runs, which are the daemons' own
// machines: a fleet that is metered says the same messages as one that is not.
package lightship

import (
	"maps"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/beacon"
	"dahlialock/internal/lamp"
	"dahlialock/internal/pilotage"
	"dahlialock/internal/strand"
	"dahlialock/internal/swell"
	"dahlialock/internal/tender"
)

const span = 6 * time.Second

func TestAHollowFleetSaysWhatTheSimulatorsRunSays(t *testing.T) {
	size := Shape(15)
	reading, fault := Measure(3, size, span, 20, 0)
	assert.NilError(t, fault)
	assert.Equal(t, reading.Daemons, 15)

	plain := swell.New(3, size)
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
	fleet := swell.New(5, Shape(15))
	assert.NilError(t, fleet.Found(1, time.Minute))
	for _, node := range fleet.Nodes("") {
		var same bool
		switch node.Kind {
		case beacon.KindLantern:
			_, same = node.Machine.(*lamp.Lantern)
		case beacon.KindTender:
			_, same = node.Machine.(*tender.Tender)
		case beacon.KindKeeper:
			_, same = node.Machine.(*strand.Keeper)
		case beacon.KindPilot:
			_, same = node.Machine.(*pilotage.Pilot)
		}
		assert.Assert(t, same, node.Name)
	}
}

func TestOneSeedGivesOneCount(t *testing.T) {
	first, fault := Measure(8, Shape(15), span, 20, 8)
	assert.NilError(t, fault)
	second, fault := Measure(8, Shape(15), span, 20, 8)
	assert.NilError(t, fault)
	for _, parts := range [][2]Span{{first.Quiet, second.Quiet}, {first.Change, second.Change}, {first.Loss, second.Loss}, {first.Overlay, second.Overlay}} {
		assert.DeepEqual(t, parts[0].Total(), parts[1].Total())
	}
	assert.Equal(t, first.InForce, second.InForce)
}

func TestShapesHaveTheirDaemons(t *testing.T) {
	for _, daemons := range []int{15, 65, 150, 500, 1000} {
		size := Shape(daemons)
		assert.Equal(t, 2*size.Lanterns+size.Keepers+size.Pilots, daemons)
		assert.Assert(t, size.Lanterns > 0)
	}
}

func TestALineIsFitted(t *testing.T) {
	line := Fit([]float64{1, 2, 3, 4}, []float64{3, 5, 7, 9})
	assert.Assert(t, math.Abs(line.Base-1) < 1e-9 && math.Abs(line.Slope-2) < 1e-9 && line.Error < 1e-9)
	line = Fit([]float64{0, 1, 2}, []float64{0, 2, 1})
	assert.Assert(t, math.Abs(line.Slope-0.5) < 1e-9 && math.Abs(line.Error-math.Sqrt(0.75)) < 1e-9, "%v", line)
}
