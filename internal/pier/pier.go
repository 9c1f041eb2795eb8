// The pier proper. Each connection has a task that reads: it sleeps in the
// runtime's own poller, and hands all that one arrival brought to the owner as
// one piece of work, so that commands stay in order and cost one wake-up. Answers
// and events gather on the owner's turn in a buffer for each connection, and the
// owner itself writes each once at the end of the turn, without waiting. Only
// where a caller does not read fast enough does a task wait to write the rest.
// Signs of life are answered by the reading task. A connection that does not read
// what it is sent, or says nothing for too long, is cut.
package pier

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"sync/atomic"
	"time"

	"dahlialock/internal/berth"
)

const (
	unsentMost   = 1 << 20
	waitingMost  = 1024
	namesMost    = 4096
	readSize     = 16 << 10
	spareBuffers = 64
	keepSize     = 2 << 10
	comeBack     = 250 * time.Millisecond
	acceptPause  = 50 * time.Millisecond
	writeLimit   = 10 * time.Second
	lingerLimit  = time.Second
	// A span of silence is looked at in four ticks, and one more as a tick is when
	// something was heard.
	silentTicks = 4
)

// Props are what a pier needs.
type Props struct {
	// Address is where callers connect to.
	Address  string
	Berth    *berth.Berth
	Protocol Protocol
	// Admit tells whether a token is the origin's; nil admits everyone.
	Admit func(origin, token string) bool
	// Silent is how long a connection may say nothing; zero means for ever.
	Silent time.Duration
	// ConnectionsMost is how many connections may be open; zero sets no bound.
	ConnectionsMost int
	// UnsentMost is how much may wait for a connection that does not read.
	UnsentMost int
}

// Counters are running sums, read by anyone.
type Counters struct {
	Connections, Refused, Reads, Commands, Writes, BytesOut, Slow, Silent, Unreadable atomic.Int64
}

// Pier serves the connections of callers.
type Pier struct {
	props    Props
	listener net.Listener
	closing  chan struct{}
	closed   atomic.Bool
	held     atomic.Int64
	ticks    atomic.Int64
	spare    chan []byte
	Counters Counters

	// What the owner owns: connections that said something, those with output,
	// and one text for each name that comes again and again.
	connections map[uint64]*connection
	dirty       []*connection
	names       map[string]string
}

// Sums gives the counters by name; it may be asked before there is a pier.
func (pier *Pier) Sums() map[string]int64 {
	if pier == nil {
		return map[string]int64{}
	}
	counters := &pier.Counters
	return map[string]int64{
		"held": pier.held.Load(), "connections": counters.Connections.Load(), "refused": counters.Refused.Load(), "reads": counters.Reads.Load(),
		"commands": counters.Commands.Load(), "writes": counters.Writes.Load(), "bytes_out": counters.BytesOut.Load(),
		"slow": counters.Slow.Load(), "silent": counters.Silent.Load(), "unreadable": counters.Unreadable.Load(),
	}
}

// Start listens and serves until Close.
func Start(props Props) (*Pier, error) {
	if props.UnsentMost == 0 {
		props.UnsentMost = unsentMost
	}
	pier := &Pier{
		props: props, closing: make(chan struct{}), spare: make(chan []byte, spareBuffers),
		connections: map[uint64]*connection{}, names: map[string]string{},
	}
	// The pier watches silence itself and needs no probes.
	listening := net.ListenConfig{KeepAlive: -1}
	listener, fault := listening.Listen(context.Background(), "tcp", props.Address)
	if fault != nil {
		return nil, fault
	}
	pier.listener = listener
	props.Berth.EachTurn(pier.flush)
	go pier.accept()
	if props.Silent > 0 {
		go pier.tickAway()
	}
	return pier, nil
}

func (pier *Pier) accept() {
	for {
		accepted, fault := pier.listener.Accept()
		if fault != nil {
			select {
			case <-pier.closing:
				return
			case <-time.After(acceptPause):
				continue
			}
		}
		socket := accepted.(*net.TCPConn)
		if most := int64(pier.props.ConnectionsMost); most > 0 && pier.held.Load() >= most {
			pier.Counters.Refused.Add(1)
			_ = socket.Close()
			continue
		}
		raw, fault := socket.SyscallConn()
		if fault != nil {
			_ = socket.Close()
			continue
		}
		pier.held.Add(1)
		pier.Counters.Connections.Add(1)
		go pier.read(newConnection(socket, raw))
	}
}

// tickAway counts the time in which connections are silent.
func (pier *Pier) tickAway() {
	ticker := time.NewTicker(pier.props.Silent / silentTicks)
	defer ticker.Stop()
	for {
		select {
		case <-pier.closing:
			return
		case <-ticker.C:
		}
		if pier.held.Load() > 0 && !pier.props.Berth.Within(func(berth.Owner) { pier.tick() }) {
			return
		}
	}
}

// tick cuts who is silent. The lantern leaves that to the pier, so that signs of
// life don't wake it.
func (pier *Pier) tick() {
	now := pier.ticks.Add(1)
	for _, each := range pier.connections {
		if now-each.heard.Load() > silentTicks && each.why == "" {
			pier.Counters.Silent.Add(1)
			each.cut("silent")
		}
	}
}

// Close ends listening and all connections.
func (pier *Pier) Close() {
	if !pier.closed.CompareAndSwap(false, true) {
		return
	}
	close(pier.closing)
	_ = pier.listener.Close()
	done := make(chan struct{})
	pier.props.Berth.Within(func(berth.Owner) {
		for _, each := range pier.connections {
			each.cut("stopping")
		}
		close(done)
	})
	<-done
}

func mustNumber() uint64 {
	var body [8]byte
	for {
		if _, fault := rand.Read(body[:]); fault != nil {
			panic(fault)
		}
		if number := binary.LittleEndian.Uint64(body[:]); number != 0 {
			return number
		}
	}
}
