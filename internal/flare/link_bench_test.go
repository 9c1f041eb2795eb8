// What a message costs on its way from one daemon to another: two ends on the
// loopback address, frames that go out in turns, and the processor time,
// allocations, waits and writes that each message takes. One processor is used,
// as on the small machines that daemons run on.
package flare_test

import (
	"bytes"
	"fmt"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/flare"
	"dahlialock/internal/lamp"
	"dahlialock/internal/strand"
)

func freeAddress(tb testing.TB) string {
	tb.Helper()
	listener, fault := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tb, fault)
	defer func() { assert.NilError(tb, listener.Close()) }()
	return listener.Addr().String()
}

type end struct {
	address string
	links   *flare.Flare
	inbox   chan flare.Inbound
	urgent  chan flare.Inbound
}

func openEnd(tb testing.TB) *end {
	tb.Helper()
	made := &end{address: freeAddress(tb), inbox: make(chan flare.Inbound, 4096), urgent: make(chan flare.Inbound, 4096)}
	links, fault := flare.Open(made.address, made.inbox, made.urgent, func(remote string, fault error) {
		tb.Errorf("garbage from %s: %v", remote, fault)
	})
	assert.NilError(tb, fault)
	made.links = links
	tb.Cleanup(links.Close)
	return made
}

// turn sends a few messages as one turn of an owner.
func (end *end) turn(tb testing.TB, to *end, messages []any) {
	for _, message := range messages {
		assert.NilError(tb, end.links.Send(to.address, 7, message))
	}
	if turns, matches := any(end.links).(interface{ Flush() }); matches {
		turns.Flush()
	}
}

func manyMessages(count int) []any {
	body := bytes.Repeat([]byte("reading of a sensor "), 12)[:230]
	var messages []any
	for number := range count {
		record := strand.Record{Offset: uint64(number) + 70000, Epoch: 3, Topic: "boards/ada/17", Sender: "client-17", Seq: 99, Data: body, At: time.Unix(1700000000, 0)}
		messages = append(messages,
			strand.Append{Strand: "+~0/17", Visit: 123456, Topic: "boards/ada/17", Sender: "client-17", Seq: 99, Data: body},
			lamp.Carry{Strand: "+~0/17", Record: record},
			strand.AppendReturn{Strand: "+~0/17", Visit: 123456, Outcome: strand.Accepted, Epoch: 3, Record: record},
			strand.CopyReturn{Strand: "+~0/17", Epoch: 3, Have: 70000, HaveEpoch: 3},
		)
	}
	return messages[:count]
}

func BenchmarkTurns(b *testing.B) {
	for _, each := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("frames=%d", each), func(b *testing.B) {
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
			left, right := openEnd(b), openEnd(b)
			messages := manyMessages(each)
			swap := func() {
				left.turn(b, right, messages)
				for range messages {
					<-right.inbox
				}
				right.turn(b, left, messages)
				for range messages {
					<-left.inbox
				}
			}
			swap()
			var before, after syscall.Rusage
			_ = syscall.Getrusage(syscall.RUSAGE_SELF, &before)
			out, sent := left.links.Counters.BytesOut.Load(), left.links.Counters.MessagesOut.Load()
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				swap()
			}
			b.StopTimer()
			_ = syscall.Getrusage(syscall.RUSAGE_SELF, &after)
			count := float64(2 * each * b.N)
			used := after.Utime.Nano() - before.Utime.Nano() + after.Stime.Nano() - before.Stime.Nano()
			b.ReportMetric(float64(used)/count, "cpu-ns/msg")
			b.ReportMetric(float64(after.Nvcsw-before.Nvcsw)/count, "waits/msg")
			b.ReportMetric(float64(left.links.Counters.BytesOut.Load()-out)/float64(left.links.Counters.MessagesOut.Load()-sent), "bytes/msg")
		})
	}
}
