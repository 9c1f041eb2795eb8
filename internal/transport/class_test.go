package transport_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/gateway"
	"dahlialock/internal/partition"
	"dahlialock/internal/transport"
)

// The replication messages of a partition must stay in order, and so must those of the
// control state. Each of the two groups is therefore in a single class.
func TestClassOfRegisteredMessages(t *testing.T) {
	classes := map[transport.Class][]string{}
	for number, name := range transport.Numbers() {
		message, _ := transport.Prototype(number)
		class := transport.ClassOf(message)
		classes[class] = append(classes[class], name)
		switch {
		case strings.HasPrefix(name, "consensus."), strings.HasPrefix(name, "membership."):
			assert.Equal(t, class, transport.ClassControl, name)
		case strings.HasPrefix(name, "overlay."):
			assert.Equal(t, class, transport.ClassInterest, name)
		}
	}
	assert.DeepEqual(t, classes[transport.ClassTransient], []string{"gateway.EphemeralCopy"})
	assert.DeepEqual(t, classes[transport.ClassCatchUp], []string{"partition.FetchResponse"})
	for _, message := range []any{
		partition.Replicate{},
		partition.ReplicateResponse{},
		partition.InstallSnapshot{},
		partition.Append{},
		partition.AppendResponse{},
		partition.HighWatermarks{},
		partition.FetchTopicsResponse{},
	} {
		assert.Equal(t, transport.ClassOf(message), transport.ClassLive, "%T", message)
	}
	assert.Equal(t, transport.ClassOf(partition.Append{OffsetOnly: true}), transport.ClassTransient)
	assert.Equal(t, transport.ClassOf(gateway.RoutedCopy{}), transport.ClassLive)
	assert.Equal(t, transport.ClassOf(gateway.RoutedCopy{Ephemeral: true}), transport.ClassTransient)
}
