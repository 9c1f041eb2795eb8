// Package lineserver serves clients that speak lines over TCP.
//
// The server proper. Each connection has a task that reads: it sleeps in the
// runtime's own poller, and hands all that one arrival brought to the owner as
// one piece of work, so that commands stay in order and cost one wake-up. Answers
// and events gather on the owner's turn in a buffer for each connection, and the
// owner itself writes each once at the end of the turn, without waiting. Only
// where a caller does not read fast enough does a task wait to write the rest.
// Signs of life are answered by the reading task. A connection that does not read
// what it is sent, or says nothing for too long, is cut.
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
	maxNames           = 4096
	readSize           = 16 << 10
	spareBuffers       = 64
	keepSize           = 2 << 10
	comeBack           = 250 * time.Millisecond
	acceptPause        = 50 * time.Millisecond
	writeLimit         = 10 * time.Second
	lingerLimit        = time.Second
	// A span of silence is looked at in four ticks, and one more as a tick is when
	// something was heard.
	silentTicks = 4
)

// Settings are what a server needs.
type Settings struct {
	// Address is where callers connect to.
	Address  string
	Host     *daemon.EventLoop
	Protocol Protocol
	// Admit tells whether a token is the origin's; nil admits everyone.
	Admit func(origin, token string) bool
	// Silent is how long a connection may say nothing; zero means for ever.
	Silent time.Duration
	// MaxConnections is how many connections may be open; zero sets no bound.
	MaxConnections int
	// MaxUnsentBytes is how much may wait for a connection that does not read.
	MaxUnsentBytes int
}

// Counters are running sums, read by anyone.
type Counters struct {
	Connections, Refused, Reads, Commands, Writes, BytesOut, BytesIn, Slow, Silent, Unreadable atomic.Int64
}

// Server serves the connections of callers.
type Server struct {
	settings        Settings
	listener        net.Listener
	closing         chan struct{}
	closed          atomic.Bool
	openConnections atomic.Int64
	ticks           atomic.Int64
	spare           chan []byte
	Counters        Counters

	// What the owner owns: connections that said something, those with output,
	// and one text for each name that comes again and again.
	connections map[uint64]*connection
	dirty       []*connection
	names       map[string]string
	said        map[saidKind]Said
}

// saidKind is what callers are told: an event, or an answer and its outcome.
type saidKind struct{ what, outcome string }

// Said is how often callers were told something, and its bytes.
type Said struct {
	Times int64 `json:"times"`
	Bytes int64 `json:"bytes"`
}

// Sums gives the counters by name; it may be asked before there is a server.
func (s *Server) Sums() map[string]int64 {
	if s == nil {
		return map[string]int64{}
	}
	counters := &s.Counters
	return map[string]int64{
		"held": s.openConnections.Load(), "connections": counters.Connections.Load(), "refused": counters.Refused.Load(), "reads": counters.Reads.Load(),
		"commands": counters.Commands.Load(), "writes": counters.Writes.Load(), "bytes_out": counters.BytesOut.Load(), "bytes_in": counters.BytesIn.Load(),
		"slow": counters.Slow.Load(), "silent": counters.Silent.Load(), "unreadable": counters.Unreadable.Load(),
	}
}

// Sent gives what callers were told, by kind; for the owner alone.
func (s *Server) Sent() map[string]Said {
	if s == nil {
		return nil
	}
	sent := make(map[string]Said, len(s.said))
	for kind, said := range s.said {
		sent[strings.TrimSuffix(kind.what+"-"+kind.outcome, "-")] = said
	}
	return sent
}

// Start listens and serves until Close.
func Start(settings Settings) (*Server, error) {
	if settings.MaxUnsentBytes == 0 {
		settings.MaxUnsentBytes = maxUnsentBytes
	}
	server := &Server{
		settings: settings, closing: make(chan struct{}), spare: make(chan []byte, spareBuffers),
		connections: map[uint64]*connection{}, names: map[string]string{}, said: map[saidKind]Said{},
	}
	// The server watches silence itself and needs no probes.
	listening := net.ListenConfig{KeepAlive: -1}
	listener, err := listening.Listen(context.Background(), "tcp", settings.Address)
	if err != nil {
		return nil, err
	}
	server.listener = listener
	settings.Host.OnTurnEnd(server.flush)
	go server.accept()
	if settings.Silent > 0 {
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
			case <-time.After(acceptPause):
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

// tickLoop counts the time in which connections are silent.
func (s *Server) tickLoop() {
	ticker := time.NewTicker(s.settings.Silent / silentTicks)
	defer ticker.Stop()
	for {
		select {
		case <-s.closing:
			return
		case <-ticker.C:
		}
		if s.openConnections.Load() > 0 && !s.settings.Host.Execute(func(daemon.LoopContext) { s.tick() }) {
			return
		}
	}
}

// tick cuts who is silent. The gateway leaves that to the server, so that signs of
// life don't wake it.
func (s *Server) tick() {
	now := s.ticks.Add(1)
	for _, each := range s.connections {
		if now-each.heard.Load() > silentTicks && each.why == "" {
			s.Counters.Silent.Add(1)
			each.closeWith("silent")
		}
	}
}

// Close ends listening and all connections.
func (s *Server) Close() {
	if !s.closed.CompareAndSwap(false, true) {
		return
	}
	close(s.closing)
	_ = s.listener.Close()
	done := make(chan struct{})
	s.settings.Host.Execute(func(daemon.LoopContext) {
		for _, each := range s.connections {
			each.closeWith("stopping")
		}
		close(done)
	})
	<-done
}

func mustNumber() uint64 {
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
