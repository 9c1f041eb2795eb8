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
	turn := chunk{body: []byte("aaBBccDDee"), frames: 5, deadlines: []deadline{
		{start: 0, end: 2, notAfter: later}, {start: 2, end: 4, notAfter: past}, {start: 6, end: 8, notAfter: past}, {start: 8, end: 10, notAfter: later},
	}}
	left := links.withoutExpired(turn)
	assert.Equal(t, string(left.body), "aaccee")
	assert.Equal(t, left.frames, 3)
	assert.Equal(t, links.Counters.Expired.Load(), int64(2))
	assert.DeepEqual(t, []int{left.deadlines[0].start, left.deadlines[0].end, left.deadlines[1].start, left.deadlines[1].end}, []int{0, 2, 4, 6})
	assert.Equal(t, len(deadlinesWithin(left.deadlines, 2, 4)), 0)
	assert.Equal(t, deadlinesWithin(left.deadlines, 2, 6)[0].start, 2)
	whole := links.withoutExpired(chunk{body: []byte("xx"), frames: 1})
	assert.Equal(t, string(whole.body), "xx")
}
