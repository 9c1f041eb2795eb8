// Package lineserver serves clients of a line protocol over TCP.
//
// Each connection has a goroutine that reads. It waits in the runtime's network
// poller and submits all commands of one read to the gateway's event loop as one
// task, so that commands stay in order and cost one wake-up. Responses and events
// are collected in a buffer for each connection, and at the end of each turn the
// event loop writes each buffer once, without blocking. If a client does not read
// fast enough, a goroutine of its own waits to write the rest. Pings are answered by
// the reading goroutine. The server closes a connection whose client does not read
// its output, or sends nothing for too long.
package lineserver

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"dahlialock/internal/daemon"
)

const (
	maxUnsentBytes     = 1 << 20
	maxPendingRequests = 1024
	maxTopicNames      = 4096
	readBufferSize     = 16 << 10
	maxSpareBuffers    = 64
	maxReusedBuffer    = 2 << 10
	retryAfter         = 250 * time.Millisecond
	acceptRetryDelay   = 50 * time.Millisecond
	writeTimeout       = 10 * time.Second
	lingerTimeout      = time.Second
	// silentTicks is the number of ticks in Settings.SilenceTimeout. A connection is closed
	// after more than silentTicks: the tick of its last read is only partly silent.
	silentTicks = 4
)

// Settings are the settings of a server.
type Settings struct {
	// Address is the TCP address on which the server listens.
	Address   string
	EventLoop *daemon.EventLoop
	Protocol  Protocol
	// Admit reports whether a token is valid for a client (origin); nil admits every client.
	Admit func(origin, token string) bool
	// SilenceTimeout is how long a connection may stay without input; 0 means without limit.
	SilenceTimeout time.Duration
	// MaxConnections is the maximum number of open connections; 0 means without limit.
	MaxConnections int
	// MaxUnsentBytes is the maximum number of bytes that may be queued for a connection
	// whose client does not read.
	MaxUnsentBytes int
}

// Counters are running totals that any goroutine may read.
type Counters struct {
	Connections, Refused, Reads, Commands, Writes, BytesOut, BytesIn, Slow, Silent, Unreadable atomic.Int64
}

// Server serves the connections of clients.
type Server struct {
	settings        Settings
	listener        net.Listener
	closing         chan struct{}
	closed          atomic.Bool
	openConnections atomic.Int64
	ticks           atomic.Int64
	spare           chan []byte
	Counters        Counters

	// Owned by the event loop: the connections that have sent a command, those with
	// output, the interned topic names, and the totals of sent responses and events.
	connections map[uint64]*connection
	dirty       []*connection
	topicNames  map[string]string
	sentTotals  map[outputKind]SentTotal
}

// outputKind is the type of sent output: an event, or a response and its outcome.
type outputKind struct{ what, outcome string }

// SentTotal is the number and the total size of the responses or events of one outputKind.
type SentTotal struct {
	Times int64 `json:"times"`
	Bytes int64 `json:"bytes"`
}

// CounterValues returns the counters by name; a nil server returns an empty map.
func (s *Server) CounterValues() map[string]int64 {
	if s == nil {
		return map[string]int64{}
	}
	counters := &s.Counters
	return map[string]int64{
		"held":        s.openConnections.Load(),
		"connections": counters.Connections.Load(),
		"refused":     counters.Refused.Load(),
		"reads":       counters.Reads.Load(),
		"commands":    counters.Commands.Load(),
		"writes":      counters.Writes.Load(),
		"bytes_out":   counters.BytesOut.Load(),
		"bytes_in":    counters.BytesIn.Load(),
		"slow":        counters.Slow.Load(),
		"silent":      counters.Silent.Load(),
		"unreadable":  counters.Unreadable.Load(),
	}
}

// SentTotals returns the totals of sent responses and events by kind. Only the event loop may call it.
func (s *Server) SentTotals() map[string]SentTotal {
	if s == nil {
		return nil
	}
	sent := make(map[string]SentTotal, len(s.sentTotals))
	for kind, total := range s.sentTotals {
		sent[strings.TrimSuffix(kind.what+"-"+kind.outcome, "-")] = total
	}
	return sent
}

// Start listens and serves until Close.
func Start(settings Settings) (*Server, error) {
	if settings.MaxUnsentBytes == 0 {
		settings.MaxUnsentBytes = maxUnsentBytes
	}
	server := &Server{
		settings: settings, closing: make(chan struct{}), spare: make(chan []byte, maxSpareBuffers),
		connections: map[uint64]*connection{}, topicNames: map[string]string{}, sentTotals: map[outputKind]SentTotal{},
	}
	// The server detects silent connections itself and needs no TCP keep-alive probes.
	listening := net.ListenConfig{KeepAlive: -1}
	listener, err := listening.Listen(context.Background(), "tcp", settings.Address)
	if err != nil {
		return nil, err
	}
	server.listener = listener
	settings.EventLoop.OnTurnEnd(server.flush)
	go server.accept()
	if settings.SilenceTimeout > 0 {
		go server.tickLoop()
	}
	return server, nil
}

func (s *Server) accept() {
	for {
		accepted, err := s.listener.Accept()
		if err != nil {
			select {
			case <-s.closing:
				return
			case <-time.After(acceptRetryDelay):
				continue
			}
		}
		socket := accepted.(*net.TCPConn)
		if limit := int64(s.settings.MaxConnections); limit > 0 && s.openConnections.Load() >= limit {
			s.Counters.Refused.Add(1)
			_ = socket.Close()
			continue
		}
		raw, err := socket.SyscallConn()
		if err != nil {
			_ = socket.Close()
			continue
		}
		s.openConnections.Add(1)
		s.Counters.Connections.Add(1)
		go s.read(newConnection(socket, raw))
	}
}

// tickLoop runs tick on the event loop, silentTicks times within Settings.SilenceTimeout.
func (s *Server) tickLoop() {
	ticker := time.NewTicker(s.settings.SilenceTimeout / silentTicks)
	defer ticker.Stop()
	for {
		select {
		case <-s.closing:
			return
		case <-ticker.C:
		}
		if s.openConnections.Load() > 0 && !s.settings.EventLoop.Execute(func(daemon.LoopContext) { s.tick() }) {
			return
		}
	}
}

// tick closes the connections that have been silent for too long. The server does
// this in place of the gateway, so that pings don't wake the gateway's event loop.
func (s *Server) tick() {
	now := s.ticks.Add(1)
	for _, each := range s.connections {
		if now-each.lastReadTick.Load() > silentTicks && each.closeReason == "" {
			s.Counters.Silent.Add(1)
			each.closeWith("silent")
		}
	}
}

// Close closes the listener and all connections.
func (s *Server) Close() {
	if !s.closed.CompareAndSwap(false, true) {
		return
	}
	close(s.closing)
	_ = s.listener.Close()
	done := make(chan struct{})
	s.settings.EventLoop.Execute(func(daemon.LoopContext) {
		for _, each := range s.connections {
			each.closeWith("stopping")
		}
		close(done)
	})
	<-done
}

// newSessionNumber returns a random session number other than 0.
func newSessionNumber() uint64 {
	var body [8]byte
	for {
		if _, err := rand.Read(body[:]); err != nil {
			panic(err)
		}
		if number := binary.LittleEndian.Uint64(body[:]); number != 0 {
			return number
		}
	}
}
