package partition

import (
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/config"
	"dahlialock/internal/statemachine"
)

// appendCode returns the code with which a leader answers an append at once.
func appendCode(t *testing.T, cluster *cluster, request Append) string {
	t.Helper()
	var effects statemachine.Effects
	cluster.stores["store-0"].handleAppend(cluster.now, "gateway", request, &effects)
	assert.Equal(t, len(effects.Sends), 1)
	return effects.Sends[0].Message.(AppendResponse).Code
}

// A leader says for certain that a sequence number never will be appended only once a later one of the
// sender is accepted: until then another leader may accept an earlier attempt.
func TestNumberIsStaleOnceLaterOneIsAccepted(t *testing.T) {
	cluster := newCluster(t, 2)
	request := Append{Partition: config.SharedPartition("t"), RequestID: 1, Topic: "t", Sender: "s", Seq: 2}
	cluster.step("store-0", func(effects *statemachine.Effects) {
		cluster.stores["store-0"].handleAppend(cluster.now, "gateway", request, effects)
	})
	earlier := request
	earlier.RequestID, earlier.Seq = 2, 1
	assert.Equal(t, appendCode(t, cluster, earlier), CodeSequencePassed)
	cluster.stores["store-0"].endStep(cluster.now, &statemachine.Effects{})
	cluster.publish(5, 1)
	partition := cluster.stores["store-0"].replicas[request.Partition]
	partition.highWatermark, _ = partition.log.end()
	assert.Equal(t, appendCode(t, cluster, earlier), CodeSequenceStale)
	// In a new epoch the leader doesn't know yet which records are accepted.
	partition.servingEpoch = 0
	assert.Equal(t, appendCode(t, cluster, earlier), CodeSequencePassed)
	// Nor does it if the later message has left the sender's window.
	partition.log.sender("t", "s").Window = nil
	assert.Equal(t, appendCode(t, cluster, earlier), CodeSequencePassed)
}
