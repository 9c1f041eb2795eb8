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
	unopened state = iota
	opening
	open
	ended
)

// connection is one client's connection.
type connection struct {
	socket  *net.TCPConn
	raw     syscall.RawConn
	session uint64
	// inFlight counts the commands without a response yet. lastReadTick is the tick of
	// the last read. sessionOpen is set once the session is open, so that the reading
	// goroutine may answer pings. writeBlocked is set while a goroutine writes bytes that
	// the socket did not accept at once. closing is set when the server closes the
	// connection.
	inFlight     atomic.Int32
	lastReadTick atomic.Int64
	sessionOpen  atomic.Bool
	writeBlocked atomic.Bool
	closing      atomic.Bool

	// Owned by the reading goroutine. incomplete holds the bytes of a command that has not
	// arrived completely, skip is the number of bytes still to discard, and streamLost is
	// set if the stream can't be decoded any more.
	incomplete []byte
	skip       int
	streamLost bool

	// Owned by the event loop. output holds the bytes to write at the end of the turn,
	// unsentBytes is the number of bytes that sendRest still has to write.
	state            state
	client           string
	closeReason      string
	output           []byte
	unsentBytes      int
	dirty            bool
	closeAfterOutput bool
	// writeOutput is the callback that writes output to the socket; sent and fault are its results.
	writeOutput func(descriptor uintptr) bool
	sent        int
	fault       error
}

func newConnection(socket *net.TCPConn, raw syscall.RawConn) *connection {
	made := &connection{socket: socket, raw: raw, session: newSessionNumber()}
	made.writeOutput = func(descriptor uintptr) bool {
		made.sent, made.fault = write(descriptor, made.output)
		if made.fault == nil && made.sent < len(made.output) {
			// No other write may come between the two parts of this output.
			made.writeBlocked.Store(true)
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
	if c.closeReason == "" {
		c.closeReason = why
	}
	c.closing.Store(true)
	_ = c.socket.SetDeadline(time.Unix(1, 0))
}

// pendingRequest is a command that is queued for the event loop.
type pendingRequest struct {
	ref        CommandRef
	client     string
	cursor     string
	body       []byte
	code       string
	streamLost bool
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
		for alive && !from.closing.Load() {
			buffer := s.buffer()
			length, err := unix.Read(int(descriptor), buffer)
			if length > 0 && err == nil {
				alive = s.handleInput(from, buffer[:length])
			}
			s.recycle(buffer)
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
	s.settings.EventLoop.Execute(func(owner daemon.LoopContext) { s.connectionEnded(owner, from) })
}

func (s *Server) buffer() []byte {
	select {
	case spare := <-s.spare:
		return spare
	default:
		return make([]byte, readBufferSize)
	}
}

func (s *Server) recycle(buffer []byte) {
	select {
	case s.spare <- buffer:
	default:
	}
}

// handleInput processes the bytes of one read. It returns false if the connection has to be closed.
func (s *Server) handleInput(from *connection, bytes []byte) bool {
	s.Counters.Reads.Add(1)
	s.Counters.BytesIn.Add(int64(len(bytes)))
	from.lastReadTick.Store(s.ticks.Load())
	if from.streamLost {
		return true
	}
	if len(from.incomplete) > 0 {
		from.incomplete = append(from.incomplete, bytes...)
		bytes = from.incomplete
	}
	batch, pongs, rest := s.readCommands(from, bytes)
	if from.streamLost || len(rest) == 0 {
		from.incomplete = nil
	} else {
		from.incomplete = append(from.incomplete[:0], rest...)
	}
	if pongs > 0 {
		sent, whole := s.pong(from, pongs)
		if !whole {
			return false
		}
		if !sent {
			batch = append(batch, pendingRequest{ref: CommandRef{Kind: Ping}})
		}
	}
	return s.submit(from, batch)
}

// readCommands reads the complete commands at the start of bytes, and returns the bytes after them.
// Pings that can be answered at once are only counted.
func (s *Server) readCommands(from *connection, bytes []byte) (batch []pendingRequest, pongs int, rest []byte) {
	for !from.streamLost {
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
		if command.Kind == Ping && command.Code == "" && from.sessionOpen.Load() && !from.writeBlocked.Load() {
			pongs++
			continue
		}
		batch = append(batch, s.pendingFrom(command))
		// After a command with StreamLost set no more are read: the error response is sent and the
		// connection closed.
		from.streamLost = command.StreamLost
	}
	return batch, pongs, bytes
}

// submit passes requests of a connection to the event loop. It returns false if the connection has to
// be closed, as it has too many unanswered ones.
func (s *Server) submit(from *connection, batch []pendingRequest) bool {
	if len(batch) == 0 {
		return true
	}
	s.Counters.Commands.Add(int64(len(batch)))
	if from.inFlight.Add(int32(len(batch))) > maxPendingRequests {
		s.Counters.Slow.Add(1)
		return false
	}
	return s.settings.EventLoop.Execute(func(owner daemon.LoopContext) { s.handleBatch(owner, from, batch) })
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
		if !to.writeBlocked.Load() {
			taken, _ = write(descriptor, text)
		}
		return true
	})
	s.Counters.Writes.Add(1)
	return taken > 0, taken == 0 || taken == len(text)
}

// pendingFrom copies a command out of the read buffer, so that it stays valid after the next
// read, and checks the token of an Open.
func (s *Server) pendingFrom(command Command) pendingRequest {
	made := pendingRequest{
		code: command.Code, streamLost: command.StreamLost,
		ref: CommandRef{Kind: command.Kind, Word: string(command.Word), Topic: string(command.Topic), Seq: command.Seq},
	}
	if command.Code != "" {
		s.Counters.Unreadable.Add(1)
		return made
	}
	made.client, made.cursor = string(command.Client), string(command.Cursor)
	if command.Kind == Open && s.settings.Admit != nil && !s.settings.Admit(made.client, string(command.Token)) {
		made.code = CodeNotAuthentic
		return made
	}
	if len(command.Body) > 0 {
		made.body = append(make([]byte, 0, len(command.Body)), command.Body...)
	}
	return made
}
