// One connection: what its reading task does, and how bytes get onto it.

package lineserver

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"dahlialock/internal/daemon"
)

// state is where a connection stands with the gateway.
type state uint8

const (
	fresh state = iota
	opening
	open
	ended
)

// connection is one caller's connection.
type connection struct {
	socket  *net.TCPConn
	raw     syscall.RawConn
	channel uint64
	// waiting counts commands that are on their way, heard is the tick at which
	// something came, greeted tells that signs of life may be answered, stuck that
	// a task is writing what the socket did not take at once, over that it was cut.
	waiting atomic.Int32
	heard   atomic.Int64
	greeted atomic.Bool
	stuck   atomic.Bool
	over    atomic.Bool

	// What the reading task owns.
	rest []byte
	skip int
	lost bool

	// What the owner owns.
	state  state
	client string
	why    string
	output []byte
	owed   int
	dirty  bool
	ending bool
	// put is handed to the socket for each write, and these are its results.
	put   func(descriptor uintptr) bool
	sent  int
	fault error
}

func newConnection(socket *net.TCPConn, raw syscall.RawConn) *connection {
	made := &connection{socket: socket, raw: raw, channel: mustNumber()}
	made.put = func(descriptor uintptr) bool {
		made.sent, made.fault = write(descriptor, made.output)
		if made.fault == nil && made.sent < len(made.output) {
			// Nothing else may come between the two parts of what is written.
			made.stuck.Store(true)
		}
		return true
	}
	return made
}

// write tries once, without waiting.
func write(descriptor uintptr, bytes []byte) (int, error) {
	for {
		sent, err := unix.Write(int(descriptor), bytes)
		switch err {
		case unix.EINTR:
		case unix.EAGAIN:
			return 0, nil
		default:
			return max(0, sent), err
		}
	}
}

// closeWith ends a connection at once. The reading task closes it: closing waits for
// that task, which may wait for the owner.
func (c *connection) closeWith(why string) {
	if c.why == "" {
		c.why = why
	}
	c.over.Store(true)
	_ = c.socket.SetDeadline(time.Unix(1, 0))
}

// pendingRequest is a command that is on its way to the owner.
type pendingRequest struct {
	about  About
	client string
	cursor string
	body   []byte
	fault  string
	lost   bool
}

// read reads a connection until either side ends it.
func (s *Server) read(from *connection) {
	if s.settings.Silent > 0 {
		// Until something came the owner does not know of it.
		_ = from.socket.SetReadDeadline(time.Now().Add(s.settings.Silent))
	}
	first, alive := true, true
	_ = from.raw.Read(func(descriptor uintptr) bool {
		for alive && !from.over.Load() {
			buffer := s.buffer()
			length, err := unix.Read(int(descriptor), buffer)
			if length > 0 && err == nil {
				alive = s.arrived(from, buffer[:length])
			}
			s.keep(buffer)
			switch {
			case err == unix.EINTR:
			case err == unix.EAGAIN:
				return false
			case err != nil || length == 0:
				alive = false
			case first && s.settings.Silent > 0:
				first = false
				_ = from.socket.SetReadDeadline(time.Time{})
			}
		}
		return true
	})
	_ = from.socket.Close()
	s.openConnections.Add(-1)
	s.settings.Host.Execute(func(owner daemon.LoopContext) { s.over(owner, from) })
}

func (s *Server) buffer() []byte {
	select {
	case spare := <-s.spare:
		return spare
	default:
		return make([]byte, readSize)
	}
}

func (s *Server) keep(buffer []byte) {
	select {
	case s.spare <- buffer:
	default:
	}
}

// arrived takes what came; false if the connection is of no more use.
func (s *Server) arrived(from *connection, bytes []byte) bool {
	s.Counters.Reads.Add(1)
	s.Counters.BytesIn.Add(int64(len(bytes)))
	from.heard.Store(s.ticks.Load())
	if from.lost {
		return true
	}
	if len(from.rest) > 0 {
		from.rest = append(from.rest, bytes...)
		bytes = from.rest
	}
	var batch []pendingRequest
	pongs := 0
	for !from.lost {
		if from.skip > 0 {
			skipped := min(from.skip, len(bytes))
			from.skip, bytes = from.skip-skipped, bytes[skipped:]
		}
		if len(bytes) == 0 {
			break
		}
		command, used := s.settings.Protocol.Read(bytes)
		if used == 0 {
			break
		}
		if used > len(bytes) {
			from.skip, used = used-len(bytes), len(bytes)
		}
		bytes = bytes[used:]
		if command.Kind == Ping && command.Fault == "" && from.greeted.Load() && !from.stuck.Load() {
			pongs++
			continue
		}
		batch = append(batch, s.ask(command))
		// If nothing more can be read, the refusal goes out, then the end.
		from.lost = command.Lost
	}
	switch {
	case from.lost || len(bytes) == 0:
		from.rest = nil
	default:
		from.rest = append(from.rest[:0], bytes...)
	}
	if pongs > 0 {
		sent, whole := s.pong(from, pongs)
		if !whole {
			return false
		}
		if !sent {
			batch = append(batch, pendingRequest{about: About{Kind: Ping}})
		}
	}
	if len(batch) == 0 {
		return true
	}
	s.Counters.Commands.Add(int64(len(batch)))
	if from.waiting.Add(int32(len(batch))) > maxPendingRequests {
		s.Counters.Slow.Add(1)
		return false
	}
	return s.settings.Host.Execute(func(owner daemon.LoopContext) { s.take(owner, from, batch) })
}

// pong answers signs of life at once. Where the socket takes nothing now the
// owner has to; where it takes a part the connection can't be read any more.
func (s *Server) pong(to *connection, count int) (sent, whole bool) {
	var text []byte
	for range count {
		text = s.settings.Protocol.AppendPong(text)
	}
	taken := 0
	_ = to.raw.Write(func(descriptor uintptr) bool {
		if !to.stuck.Load() {
			taken, _ = write(descriptor, text)
		}
		return true
	})
	s.Counters.Writes.Add(1)
	return taken > 0, taken == 0 || taken == len(text)
}

// ask makes a command last beyond the bytes that it was read from.
func (s *Server) ask(command Command) pendingRequest {
	made := pendingRequest{
		fault: command.Fault, lost: command.Lost,
		about: About{Kind: command.Kind, Word: string(command.Word), Topic: string(command.Topic), Seq: command.Seq},
	}
	if command.Fault != "" {
		s.Counters.Unreadable.Add(1)
		return made
	}
	made.client, made.cursor = string(command.Origin), string(command.Cursor)
	if command.Kind == Open && s.settings.Admit != nil && !s.settings.Admit(made.client, string(command.Token)) {
		made.fault = CodeStranger
		return made
	}
	if len(command.Body) > 0 {
		made.body = append(make([]byte, 0, len(command.Body)), command.Body...)
	}
	return made
}
