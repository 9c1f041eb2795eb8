package transport

import (
	"encoding/binary"
	"errors"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// States of a socket. It is socketBusy during a write. If it is closed during the
// write, it becomes socketClosing, and the writer closes the descriptor afterwards.
const (
	socketIdle int32 = iota
	socketBusy
	socketClosing
	socketClosed
)

// socket is the owner's descriptor of a connection, a duplicate of gnet's
// descriptor. The owner writes to it without blocking. The dialer may close it
// concurrently; neither waits for the other.
type socket struct {
	descriptor int
	state      atomic.Int32
	// compressor is nil if batches aren't compressed. The compressor and the window
	// are used by the goroutine that may currently write to the connection: the
	// owner while link.direct permits it, otherwise the dialer.
	compressor *compressor
	window     FlowWindow
}

// frameBatch returns the wire form of a batch of frames: compressed, or the frames
// unchanged. It may write into the buffer, and returns the buffer to pass for the
// next batch.
func (s *socket) frameBatch(buffer, body []byte) (framed, nextBuffer []byte) {
	if s.compressor == nil || len(body) > maxCompressible {
		return body, buffer
	}
	framed = append(buffer[:0], 0, 0, 0, 0)
	framed = s.compressor.compress(framed, body)
	binary.BigEndian.PutUint32(framed, compressedFlag|uint32(len(framed)-frameHeaderBytes))
	if cap(framed) > maxSpareBytes {
		return framed, nil
	}
	return framed, framed
}

// write makes one non-blocking write, and returns how many bytes were written.
func (s *socket) write(body []byte) (int, error) {
	if !s.state.CompareAndSwap(socketIdle, socketBusy) {
		return 0, unix.EPIPE
	}
	sent, err := unix.Write(s.descriptor, body)
	for errors.Is(err, unix.EINTR) {
		sent, err = unix.Write(s.descriptor, body)
	}
	if !s.state.CompareAndSwap(socketBusy, socketIdle) {
		s.state.Store(socketClosed)
		_ = unix.Close(s.descriptor)
	}
	return max(0, sent), err
}

// close closes the descriptor, or leaves that to the write in progress.
func (s *socket) close() {
	for {
		if s.state.CompareAndSwap(socketIdle, socketClosed) {
			_ = unix.Close(s.descriptor)
			return
		}
		if s.state.CompareAndSwap(socketBusy, socketClosing) {
			return
		}
	}
}
