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
	for _, replicas := range []int{1, 2, 3} {
		for _, batchSize := range []int{1, 8} {
			b.Run(fmt.Sprintf("replicas-%d/batch-%d", replicas, batchSize), func(b *testing.B) {
				benchmarkAppend(b, replicas, batchSize)
			})
		}
	}
}

func benchmarkAppend(b *testing.B, replicas, batchSize int) {
	b.Helper()
	cluster := newCluster(b, replicas)
	cluster.accepted, cluster.linkBytes, cluster.diskBytes = 0, 0, 0
	cluster.busyTime = map[string]time.Duration{}
	b.ReportAllocs()
	b.ResetTimer()
	for seq := range b.N {
		cluster.publish(uint64(seq), batchSize)
	}
	b.StopTimer()
	assert.Equal(b, cluster.accepted, b.N*batchSize)
	count := float64(cluster.accepted)
	b.ReportMetric(float64(cluster.busyTime["store-0"].Microseconds())/count, "leader-µs/append")
	if replicas > 1 {
		b.ReportMetric(float64(cluster.busyTime["store-1"].Microseconds())/count, "follower-µs/append")
	}
	b.ReportMetric(float64(cluster.linkBytes)/count, "link-B/append")
	b.ReportMetric(float64(cluster.diskBytes)/count, "disk-B/append")
}
