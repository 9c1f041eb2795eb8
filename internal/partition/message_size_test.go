package partition

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

// TestMessagesAreSmall limits the size of the messages about one record of 200 bytes, since
// traffic between zones is the largest cost.
func TestMessagesAreSmall(t *testing.T) {
	record := Record{
		Offset:          1234,
		Epoch:           45,
		Topic:           "kafi810.2f",
		Sender:          "u1fx3a9c",
		Seq:             77,
		Data:            make([]byte, 200),
		AppendedAt:      testStart,
		PreviousInTopic: 1200,
	}
	acknowledged := responseRecord("+~0/17", record)
	ages := extractAges(testStart, []Record{record})
	record.AppendedAt = time.Time{}
	for _, each := range []struct {
		message  any
		maxBytes int
	}{
		{maxBytes: 250, message: Append{
			Partition: "+~0/17",
			RequestID: 123456,
			Topic:     record.Topic,
			Sender:    record.Sender,
			Seq:       77,
			Data:      record.Data,
		}},
		{maxBytes: 46, message: AppendResponse{
			Partition: "+~0/17",
			RequestID: 123456,
			Outcome:   OutcomeAccepted,
			Epoch:     45,
			Record:    acknowledged,
		}},
		{maxBytes: 263, message: Replicate{
			Partition:      "+~0/17",
			Epoch:          45,
			PreviousOffset: 1233,
			PreviousEpoch:  45,
			Records:        []Record{record},
			Ages:           ages,
		}},
		{maxBytes: 31, message: ReplicateResponse{
			Partition:        "+~0/17",
			Epoch:            45,
			LastOffset:       1234,
			LastEpoch:        45,
			ReplicaHash:      1 << 31,
			DiskMilliseconds: 12,
		}},
		{maxBytes: 40, message: HighWatermarks{HighWatermarks: []HighWatermark{{
			Partition: "+~0/17",
			Epoch:     45,
			Offset:    1234,
			From:      1200,
			Topics:    []TopicOffset{{TopicHash: 1 << 63, Offset: 1234}},
		}}}},
	} {
		frame, err := transport.Encode(statemachine.Meta{Version: 3}, each.message)
		assert.NilError(t, err)
		assert.Assert(t, len(frame) <= each.maxBytes, "%T has %d bytes", each.message, len(frame))
	}
}
