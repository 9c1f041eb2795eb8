package transport

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Frames whose moment has passed are taken out of a turn, the others stay as they
// were and in their order, and what is still bound keeps its bound.
func TestFramesThatAreLateAreTakenOutOfATurn(t *testing.T) {
	past, later := time.Now().Add(-time.Second), time.Now().Add(time.Hour)
	links := &Transport{clock: time.Now}
	turn := chunk{body: []byte("aaBBccDDee"), frames: 5, bounds: []bound{
		{start: 0, end: 2, notAfter: later}, {start: 2, end: 4, notAfter: past}, {start: 6, end: 8, notAfter: past}, {start: 8, end: 10, notAfter: later},
	}}
	left := links.departing(turn)
	assert.Equal(t, string(left.body), "aaccee")
	assert.Equal(t, left.frames, 3)
	assert.Equal(t, links.Counters.Expired.Load(), int64(2))
	assert.DeepEqual(t, []int{left.bounds[0].start, left.bounds[0].end, left.bounds[1].start, left.bounds[1].end}, []int{0, 2, 4, 6})
	assert.Equal(t, len(boundsWithin(left.bounds, 2, 4)), 0)
	assert.Equal(t, boundsWithin(left.bounds, 2, 6)[0].start, 2)
	whole := links.departing(chunk{body: []byte("xx"), frames: 1})
	assert.Equal(t, string(whole.body), "xx")
}
