// One connection: its reading goroutine and its writes.

package lineserver

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"dahlialock/internal/daemon"
)

// state is the state of a connection's session at the gateway.
type state uint8

const (
	fresh state = iota
	opening
	open
	ended
)

// connection is one client's connection.
type connection struct {
	socket  *net.TCPConn
	raw     syscall.RawConn
	channel uint64
	// waiting counts the commands in flight. heard is the tick of the last read.
	// greeted is set once the session is open, so that the reading goroutine may
	// answer pings. stuck is set while a goroutine writes bytes that the socket did
	// not accept at once. over is set when the server closes the connection.
	waiting atomic.Int32
	heard   atomic.Int64
	greeted atomic.Bool
	stuck   atomic.Bool
	over    atomic.Bool

	// Owned by the reading goroutine. rest is an incomplete command, skip the number
	// of bytes still to discard, lost that the stream can't be decoded any more.
	rest []byte
	skip int
	lost bool

	// Owned by the event loop. why is the reason of the close, output the unsent
	// bytes of this turn, owed the number of bytes that sendRest still has to write.
	state  state
	client string
	why    string
	output []byte
	owed   int
	dirty  bool
	ending bool
	// put is the callback that writes output to the socket; sent and fault are its results.
	put   func(descriptor uintptr) bool
	sent  int
	fault error
}

func newConnection(socket *net.TCPConn, raw syscall.RawConn) *connection {
	made := &connection{socket: socket, raw: raw, channel: mustNumber()}
	made.put = func(descriptor uintptr) bool {
		made.sent, made.fault = write(descriptor, made.output)
		if made.fault == nil && made.sent < len(made.output) {
			// No other write may come between the two parts of this output.
			made.stuck.Store(true)
		}
		return true
	}
	return made
}

// write makes one write without blocking; it returns 0 if the socket buffer is full.
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

// closeWith ends a connection at once. It only sets the deadline, and the reading
// goroutine closes the socket: Close waits for that goroutine, which may itself wait
// for the event loop.
func (c *connection) closeWith(why string) {
	if c.why == "" {
		c.why = why
	}
	c.over.Store(true)
	_ = c.socket.SetDeadline(time.Unix(1, 0))
}

// pendingRequest is a command that is queued for the event loop.
type pendingRequest struct {
	about  CommandRef
	client string
	cursor string
	body   []byte
	fault  string
	lost   bool
}

// read reads from a connection until either side ends it.
func (s *Server) read(from *connection) {
	if s.settings.SilenceTimeout > 0 {
		// The event loop learns of a connection with its first command, so tick can't
		// detect the silence of a new one.
		_ = from.socket.SetReadDeadline(time.Now().Add(s.settings.SilenceTimeout))
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
			case first && s.settings.SilenceTimeout > 0:
				first = false
				_ = from.socket.SetReadDeadline(time.Time{})
			}
		}
		return true
	})
	_ = from.socket.Close()
	s.openConnections.Add(-1)
	s.settings.EventLoop.Execute(func(owner daemon.LoopContext) { s.over(owner, from) })
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

// arrived processes the bytes of one read. It returns false if the connection has to be closed.
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
		if command.Kind == Ping && command.Code == "" && from.greeted.Load() && !from.stuck.Load() {
			pongs++
			continue
		}
		batch = append(batch, s.ask(command))
		// After a command with StreamLost set no more are read: the error response is sent and the
		// connection closed.
		from.lost = command.StreamLost
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
			batch = append(batch, pendingRequest{about: CommandRef{Kind: Ping}})
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
	return s.settings.EventLoop.Execute(func(owner daemon.LoopContext) { s.take(owner, from, batch) })
}

// pong answers pings at once. If the socket accepts no bytes (sent is false), the
// event loop has to answer; if it accepts only a part (whole is false), the stream is
// corrupt for the client and the connection has to be closed.
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

// ask copies a command out of the read buffer, so that it stays valid after the next
// read, and checks the token of an Open.
func (s *Server) ask(command Command) pendingRequest {
	made := pendingRequest{
		fault: command.Code, lost: command.StreamLost,
		about: CommandRef{Kind: command.Kind, Word: string(command.Word), Topic: string(command.Topic), Seq: command.Seq},
	}
	if command.Code != "" {
		s.Counters.Unreadable.Add(1)
		return made
	}
	made.client, made.cursor = string(command.Client), string(command.Cursor)
	if command.Kind == Open && s.settings.Admit != nil && !s.settings.Admit(made.client, string(command.Token)) {
		made.fault = CodeNotAuthentic
		return made
	}
	if len(command.Body) > 0 {
		made.body = append(make([]byte, 0, len(command.Body)), command.Body...)
	}
	return made
}
