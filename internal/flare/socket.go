// The owner's descriptor of a connection. The owner writes without waiting; the
// dialling loop ends the connection, maybe in the same moment. Neither waits for
// the other: if a write is under way, the writer closes the descriptor after it.
package flare

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
	// packer is set where turns are packed. Whoever may write may pack.
	packer *packer
}

// wrap gives the bytes that go out for a turn, and the scratch for the next one.
func (socket *socket) wrap(scratch, body []byte) (wrapped, kept []byte) {
	if socket.packer == nil || len(body) > packMost {
		return body, scratch
	}
	wrapped = append(scratch[:0], 0, 0, 0, 0)
	wrapped = socket.packer.pack(wrapped, body)
	binary.BigEndian.PutUint32(wrapped, packedMark|uint32(len(wrapped)-headerSize))
	if cap(wrapped) > spareMost {
		return wrapped, nil
	}
	return wrapped, wrapped
}

// write tries once, and tells how many bytes were taken.
func (socket *socket) write(body []byte) (int, error) {
	if !socket.state.CompareAndSwap(socketIdle, socketBusy) {
		return 0, unix.EPIPE
	}
	sent, fault := unix.Write(socket.descriptor, body)
	for fault == unix.EINTR {
		sent, fault = unix.Write(socket.descriptor, body)
	}
	if !socket.state.CompareAndSwap(socketBusy, socketIdle) {
		socket.state.Store(socketEnded)
		_ = unix.Close(socket.descriptor)
	}
	return max(0, sent), fault
}

// end closes the descriptor, or leaves that to the write that is under way.
func (socket *socket) end() {
	for {
		if socket.state.CompareAndSwap(socketIdle, socketEnded) {
			_ = unix.Close(socket.descriptor)
			return
		}
		if socket.state.CompareAndSwap(socketBusy, socketEnding) {
			return
		}
	}
}
