package transport

import (
	"encoding/binary"
	"errors"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// States of a socket. It is socketBusy during a write; if it is closed meanwhile,
// it becomes socketClosing, and the writer closes the descriptor after the write.
const (
	socketIdle int32 = iota
	socketBusy
	socketClosing
	socketClosed
)

// socket is the owner's descriptor of a connection, a duplicate of gnet's. The
// owner writes to it without waiting, while the dialer may close it at the same
// time; neither waits for the other.
type socket struct {
	descriptor int
	state      atomic.Int32
	// compressor is nil where batches aren't compressed. It and the window are
	// for whoever may write on the connection at the time: the owner while the
	// link is direct, else the dialer.
	compressor *compressor
	window     FlowWindow
}

// frameBatch returns the bytes that go out for a batch of frames: its compressed
// form, or the frames as they are. It may use the buffer, and returns the one for
// the next batch.
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

// write writes once, without waiting, and returns how many bytes were taken.
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
