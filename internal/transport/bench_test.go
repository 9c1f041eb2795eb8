package transport_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"runtime"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/gateway"
	"dahlialock/internal/partition"
	"dahlialock/internal/transport"
)

func freeAddress(tb testing.TB) string {
	tb.Helper()
	return freeAddressOn(tb, "127.0.0.1")
}

func freeAddressOn(tb testing.TB, host string) string {
	tb.Helper()
	listener, err := net.Listen("tcp", host+":0")
	assert.NilError(tb, err)
	defer func() { assert.NilError(tb, listener.Close()) }()
	return listener.Addr().String()
}

type endpoint struct {
	address string
	links   *transport.Transport
	inbox   chan transport.Inbound
	control chan transport.Inbound
}

func openEndpoint(tb testing.TB) *endpoint {
	tb.Helper()
	return openEndpointAt(tb, freeAddress(tb))
}

func openEndpointAt(tb testing.TB, address string) *endpoint {
	tb.Helper()
	made := &endpoint{
		address: address,
		inbox:   make(chan transport.Inbound, 4096),
		control: make(chan transport.Inbound, 4096),
	}
	links, err := transport.Open(made.address, made.inbox, made.control, func(remote string, err error) {
		tb.Errorf("malformed data from %s: %v", remote, err)
	})
	assert.NilError(tb, err)
	made.links = links
	tb.Cleanup(links.Close)
	return made
}

// sendBatch sends messages as one batch.
func (e *endpoint) sendBatch(tb testing.TB, to string, messages []any) {
	tb.Helper()
	for _, message := range messages {
		if err := e.links.Send(to, 7, message); err != nil {
			tb.Fatal(err)
		}
	}
	e.links.Flush()
}

func benchmarkMessages(count int) []any {
	const sharedPartition = "+~0/17"
	body := bytes.Repeat([]byte("reading of a sensor "), 12)[:230]
	var messages []any
	for number := range count {
		record := partition.Record{
			Offset:     uint64(number) + 70000,
			Epoch:      3,
			Topic:      "boards/ada/17",
			Sender:     "client-17",
			Seq:        99,
			Data:       body,
			AppendedAt: time.Unix(1700000000, 0),
		}
		messages = append(messages,
			partition.Append{
				Partition: sharedPartition,
				RequestID: 123456,
				Topic:     record.Topic,
				Sender:    record.Sender,
				Seq:       record.Seq,
				Data:      body,
			},
			gateway.RecordCopy{Partition: sharedPartition, Record: record},
			partition.AppendResponse{
				Partition: sharedPartition,
				RequestID: 123456,
				Outcome:   partition.OutcomeAccepted,
				Epoch:     3,
				Record:    record,
			},
			partition.ReplicateResponse{Partition: sharedPartition, Epoch: 3, LastOffset: 70000, LastEpoch: 3},
		)
	}
	return messages[:count]
}

const (
	mirrorFor   = "DAHLIALOCK_TEST_MIRROR"
	mirrorReady = "mirror listens"
)

// TestMirror is the peer process of the benchmark. It sends each batch back to its
// sender until its standard input is closed.
func TestMirror(t *testing.T) {
	address := os.Getenv(mirrorFor)
	if address == "" {
		t.Skip("for the benchmark only")
	}
	runtime.GOMAXPROCS(1)
	mirror := openEndpointAt(t, address)
	fmt.Println(mirrorReady)
	ended := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		close(ended)
	}()
	for {
		select {
		case <-ended:
			return
		case inbound := <-mirror.inbox:
			back := []any{inbound.Message}
			for len(mirror.inbox) > 0 {
				back = append(back, (<-mirror.inbox).Message)
			}
			mirror.sendBatch(t, inbound.Meta.From, back)
		}
	}
}

func startMirror(b *testing.B) string {
	b.Helper()
	address := freeAddress(b)
	child := exec.Command(os.Args[0], "-test.run=^TestMirror$", "-test.timeout=10m")
	child.Env = append(os.Environ(), mirrorFor+"="+address)
	input, err := child.StdinPipe()
	assert.NilError(b, err)
	output, err := child.StdoutPipe()
	assert.NilError(b, err)
	assert.NilError(b, child.Start())
	b.Cleanup(func() {
		_ = input.Close()
		_ = child.Wait()
	})
	for lines := bufio.NewScanner(output); lines.Scan(); {
		if lines.Text() == mirrorReady {
			go func() { _, _ = io.Copy(io.Discard, output) }()
			return address
		}
	}
	b.Fatal("the mirror process did not start")
	return ""
}

// BenchmarkTurns measures the cost of a message between two processes over the
// loopback interface: the processor time, allocations and voluntary context switches of
// one process for each message that it sends and receives back. It uses one processor,
// like the small hosts on which daemons run.
func BenchmarkTurns(b *testing.B) {
	for _, each := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("frames=%d", each), func(b *testing.B) {
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
			local, mirror := openEndpoint(b), startMirror(b)
			messages := benchmarkMessages(each)
			exchange := func() {
				local.sendBatch(b, mirror, messages)
				for range messages {
					<-local.inbox
				}
			}
			exchange()
			var before, after syscall.Rusage
			_ = syscall.Getrusage(syscall.RUSAGE_SELF, &before)
			out, sent := local.links.Counters.BytesOut.Load(), local.links.Counters.MessagesOut.Load()
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				exchange()
			}
			b.StopTimer()
			_ = syscall.Getrusage(syscall.RUSAGE_SELF, &after)
			// Each message is sent once and received once.
			count := float64(each * b.N)
			used := after.Utime.Nano() - before.Utime.Nano() + after.Stime.Nano() - before.Stime.Nano()
			b.ReportMetric(float64(used)/count, "cpu-ns/msg")
			b.ReportMetric(float64(after.Nvcsw-before.Nvcsw)/count, "waits/msg")
			out, sent = local.links.Counters.BytesOut.Load()-out, local.links.Counters.MessagesOut.Load()-sent
			b.ReportMetric(float64(out)/float64(sent), "bytes/msg")
		})
	}
}
