package partition

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// BenchmarkAppend measures the cost of an append for the leader and a follower, including the
// encoding of messages and disk entries.
func BenchmarkAppend(b *testing.B) {
	for _, copies := range []int{1, 2, 3} {
		for _, together := range []int{1, 8} {
			b.Run(fmt.Sprintf("copies-%d/together-%d", copies, together), func(b *testing.B) {
				benchmarkAppend(b, copies, together)
			})
		}
	}
}

func benchmarkAppend(b *testing.B, copies, together int) {
	b.Helper()
	run := newCluster(b, copies)
	run.accepted, run.linkBytes, run.diskBytes = 0, 0, 0
	run.spent = map[string]time.Duration{}
	b.ReportAllocs()
	b.ResetTimer()
	for seq := range b.N {
		run.publish(uint64(seq), together)
	}
	b.StopTimer()
	assert.Equal(b, run.accepted, b.N*together)
	count := float64(run.accepted)
	b.ReportMetric(float64(run.spent["store-0"].Microseconds())/count, "leader-µs/append")
	if copies > 1 {
		b.ReportMetric(float64(run.spent["store-1"].Microseconds())/count, "follower-µs/append")
	}
	b.ReportMetric(float64(run.linkBytes)/count, "link-B/append")
	b.ReportMetric(float64(run.diskBytes)/count, "disk-B/append")
}
