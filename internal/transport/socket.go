// The owner's descriptor of a connection. The owner writes without waiting; the
// dialling loop ends the connection, maybe in the same moment. Neither waits for
// the other: if a write is under way, the writer closes the descriptor after it.

package transport

import (
	"encoding/binary"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

const (
	socketIdle int32 = iota
	socketBusy
	socketEnding
	socketEnded
)

type socket struct {
	descriptor int
	state      atomic.Int32
	// compressor is set where turns are packed. Whoever may write may pack.
	compressor *compressor
	// window bounds what the peer has not confirmed.
	window FlowWindow
}

// frameBatch gives the bytes that go out for a turn, and the scratch for the next one.
func (s *socket) frameBatch(scratch, body []byte) (wrapped, kept []byte) {
	if s.compressor == nil || len(body) > maxCompressible {
		return body, scratch
	}
	wrapped = append(scratch[:0], 0, 0, 0, 0)
	wrapped = s.compressor.compress(wrapped, body)
	binary.BigEndian.PutUint32(wrapped, compressedFlag|uint32(len(wrapped)-frameHeaderBytes))
	if cap(wrapped) > maxSpareBytes {
		return wrapped, nil
	}
	return wrapped, wrapped
}

// write tries once, and tells how many bytes were taken.
func (s *socket) write(body []byte) (int, error) {
	if !s.state.CompareAndSwap(socketIdle, socketBusy) {
		return 0, unix.EPIPE
	}
	sent, err := unix.Write(s.descriptor, body)
	for err == unix.EINTR {
		sent, err = unix.Write(s.descriptor, body)
	}
	if !s.state.CompareAndSwap(socketBusy, socketIdle) {
		s.state.Store(socketEnded)
		_ = unix.Close(s.descriptor)
	}
	return max(0, sent), err
}

// end closes the descriptor, or leaves that to the write that is under way.
func (s *socket) end() {
	for {
		if s.state.CompareAndSwap(socketIdle, socketEnded) {
			_ = unix.Close(s.descriptor)
			return
		}
		if s.state.CompareAndSwap(socketBusy, socketEnding) {
			return
		}
	}
}
