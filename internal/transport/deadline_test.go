package transport

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The remaining frames keep their bytes, order and deadlines.
func TestTransportDropsExpiredFramesOfBatch(t *testing.T) {
	past, future := time.Now().Add(-time.Second), time.Now().Add(time.Hour)
	links := &Transport{clock: time.Now}
	batch := chunk{body: []byte("aaBBccDDee"), frames: 5, deadlines: []deadline{
		{start: 0, end: 2, notAfter: future},
		{start: 2, end: 4, notAfter: past},
		{start: 6, end: 8, notAfter: past},
		{start: 8, end: 10, notAfter: future},
	}}
	remaining := links.withoutExpired(batch)
	assert.Equal(t, string(remaining.body), "aaccee")
	assert.Equal(t, remaining.frames, 3)
	assert.Equal(t, links.Counters.Expired.Load(), int64(2))
	first, second := remaining.deadlines[0], remaining.deadlines[1]
	assert.DeepEqual(t, []int{first.start, first.end, second.start, second.end}, []int{0, 2, 4, 6})
	assert.Equal(t, len(deadlinesWithin(remaining.deadlines, 2, 4)), 0)
	assert.Equal(t, deadlinesWithin(remaining.deadlines, 2, 6)[0].start, 2)
	unbounded := links.withoutExpired(chunk{body: []byte("xx"), frames: 1})
	assert.Equal(t, string(unbounded.body), "xx")
}
