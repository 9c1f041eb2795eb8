// These tests check placement and replication against a model: stores under the real placement
// rules, with links that lose, duplicate and reorder messages, kills that lose unsynced writes,
// suspended processes, retirements and one lost disk at a time. The offset of an accepted message
// must never change. In the end the leader must have all accepted messages, each sender's in
// order, and no message that was rejected on every attempt.
package controller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
)

const testSenders = 5

// Codes of permanent rejections.
const (
	codeOldSeq    = "old-seq"
	codeSeqReused = "seq-reused"
)

// sequentialSender publishes one message after the other, and retries each until its outcome is
// known.
type sequentialSender struct {
	seq uint64
	// request is the latest request for the current message, or 0 if the message is finished.
	// answered is the latest request to which a response was received.
	request    uint64
	answered   uint64
	attempts   int
	rejections int
	// waiting is set while an attempt waits for its response.
	waiting bool
}

// sendNext makes a sender publish its next message, or retry the current one.
func (c *storeCluster) sendNext(number int) {
	c.after(time.Duration(10+c.random.IntN(40))*time.Millisecond, func() { c.sendNext(number) })
	sender := c.senders[number]
	placement, placed := c.state.Placements[testPartition]
	if !placed || c.quiet || sender.waiting {
		return
	}
	if sender.request == 0 {
		sender.seq++
		sender.attempts, sender.rejections = 0, 0
	}
	sender.attempts++
	c.requests++
	sender.request, sender.waiting = c.requests, true
	request := c.requests
	name := fmt.Sprintf("sender-%d", number)
	c.send(gatewayAddress, statemachine.Send{To: placement.Leader, Message: partition.Append{
		Partition: testPartition,
		RequestID: request,
		Topic:     "a",
		Sender:    name,
		Seq:       sender.seq,
		Data:      fmt.Appendf(nil, "%s %d", name, sender.seq),
	}})
	c.after(700*time.Millisecond, func() {
		if sender.request == request {
			sender.waiting = false
		}
	})
}

// handleAsGateway handles the stores' responses to the gateway.
func (c *storeCluster) handleAsGateway(message any) {
	switch body := message.(type) {
	case partition.AppendResponse:
		for number, sender := range c.senders {
			if sender.request == body.RequestID && sender.answered != body.RequestID {
				c.handleAppendResponse(sender, fmt.Sprintf("sender-%d/%d", number, sender.seq), body)
			}
		}
	case partition.FetchResponse:
		if body.Ready {
			c.fetched = &body
		}
	}
}

func (c *storeCluster) handleAppendResponse(
	sender *sequentialSender, message string, response partition.AppendResponse,
) {
	sender.answered = response.RequestID
	switch response.Outcome {
	case partition.OutcomeAccepted:
		offset := response.Record.Offset
		if earlier, found := c.accepted[message]; found && earlier != offset {
			c.t.Fatalf("%s was accepted at %d and again at %d", message, earlier, offset)
		}
		if other, found := c.offsets[offset]; found && other != message {
			c.t.Fatalf("offset %d was assigned to %s and to %s", offset, other, message)
		}
		c.accepted[message], c.offsets[offset] = offset, message
		sender.request = 0
	case partition.OutcomeRejected:
		sender.rejections++
		if response.Code == codeOldSeq || response.Code == codeSeqReused {
			c.t.Fatalf("%s was rejected with %s before any response was received", message, response.Code)
		}
		if sender.rejections == sender.attempts && sender.attempts > 8 {
			// The sender gives up. All attempts were rejected, so the message must not be stored.
			c.rejected[message] = true
			sender.request = 0
		}
	case partition.OutcomeUnresolved:
		// The sender retries.
	}
	sender.waiting = false
}

// fetchAll reads all records of a partition from its leader.
func (c *storeCluster) fetchAll(partitionName string) []partition.Record {
	c.t.Helper()
	var records []partition.Record
	for after := uint64(0); ; {
		c.fetched = nil
		c.send(gatewayAddress, statemachine.Send{
			To: c.state.Placements[partitionName].Leader,
			Message: partition.Fetch{
				Partition: partitionName,
				RequestID: 1,
				After:     after,
				Prefixes:  []string{""},
			},
		})
		c.run(200 * time.Millisecond)
		assert.Assert(c.t, c.fetched != nil, "the leader does not respond")
		records = append(records, c.fetched.Records...)
		if after = c.fetched.Until; after >= c.fetched.HighWatermark {
			return records
		}
	}
}

// assertRecordsMatch checks the records of the partition against the responses to the senders.
func (c *storeCluster) assertRecordsMatch(records []partition.Record) {
	c.t.Helper()
	stored, lastSeq := map[string]uint64{}, map[string]uint64{}
	for position, record := range records {
		name := fmt.Sprintf("%s/%d", record.Sender, record.Seq)
		assert.Assert(c.t, stored[name] == 0, "%s is stored twice", name)
		assert.Assert(c.t, !c.rejected[name], "%s was rejected on every attempt and is stored", name)
		assert.Assert(c.t, record.Seq > lastSeq[record.Sender], "%s after seq %d", name, lastSeq[record.Sender])
		contiguous := position == 0 || record.Offset == records[position-1].Offset+1
		assert.Assert(c.t, contiguous, "there is a gap before offset %d", record.Offset)
		stored[name], lastSeq[record.Sender] = record.Offset, record.Seq
	}
	for name, offset := range c.accepted {
		assert.Assert(c.t, stored[name] == offset, "%s was accepted at %d and is at %d", name, offset, stored[name])
	}
}

func TestPartitionAgainstModel(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			cluster := newStoreCluster(t, rand.New(rand.NewPCG(seed, 0x57a)))
			cluster.apply(Command{Configuration: configured(1, testConfig)})
			for number := range 4 {
				store := cluster.addStore(number)
				cluster.after(time.Duration(cluster.random.IntN(200))*time.Millisecond, store.start)
			}
			cluster.after(time.Second, cluster.reconcile)
			for number := range testSenders {
				cluster.senders[number] = &sequentialSender{}
				cluster.after(2*time.Second, func() { cluster.sendNext(number) })
			}
			cluster.after(4*time.Second, cluster.injectFault)
			cluster.run(45 * time.Second)
			cluster.quiet, cluster.lossRate = true, 0
			for _, store := range cluster.stores {
				store.resume()
				store.start()
			}
			cluster.run(8 * time.Second)
			placement := cluster.state.Placements[testPartition]
			assert.Assert(t, cluster.allReplicated(), "not replicated after eight quiet seconds: %+v", placement)
			assert.Assert(t, len(cluster.accepted) > 300, "only %d were accepted", len(cluster.accepted))
			cluster.assertRecordsMatch(cluster.fetchAll(testPartition))
		})
	}
}
