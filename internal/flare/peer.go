// The accepting side. Each accepted connection has a task that sleeps in the
// runtime's own poller, takes all that an arrival brought, and hands each message
// to the owner's queues. One task knows all accepted connections, so that each
// peer keeps only its newest.
package flare

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	readSize    = 64 << 10
	acceptPause = 50 * time.Millisecond
	spareReads  = 8
)

// peer is an accepted connection.
type peer struct {
	socket *net.TCPConn
	over   atomic.Bool

	// Of its reading task.
	from     string
	unpacker *unpacker
	reader   reader
	rest     []byte
}

// peers are the accepted connections, and which is each address's newest.
type peers struct {
	all     map[*peer]bool
	newest  map[string]*peer
	stopped bool
}

// spare holds buffers that nobody reads into at the moment.
var spare = make(chan []byte, spareReads)

func (flare *Flare) listen() error {
	listening := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlive, Interval: keepAlive / 5, Count: 5}}
	listener, fault := listening.Listen(context.Background(), "tcp", flare.address)
	if fault != nil {
		return fault
	}
	flare.listener = listener
	go flare.know()
	go flare.welcome()
	return nil
}

// know is the one task that knows the accepted connections.
func (flare *Flare) know() {
	known := &peers{all: map[*peer]bool{}, newest: map[string]*peer{}}
	for change := range flare.accepted {
		change(known)
		if known.stopped && len(known.all) == 0 {
			return
		}
	}
}

func (flare *Flare) welcome() {
	for {
		connection, fault := flare.listener.Accept()
		if fault != nil {
			if flare.closing.Load() {
				return
			}
			time.Sleep(acceptPause)
			continue
		}
		came := &peer{socket: connection.(*net.TCPConn)}
		flare.accepted <- func(peers *peers) {
			if peers.stopped {
				_ = came.socket.Close()
				return
			}
			peers.all[came] = true
			go flare.read(came)
		}
	}
}

// stopListening ends the listener and all that it accepted.
func (flare *Flare) stopListening() {
	_ = flare.listener.Close()
	done := make(chan struct{})
	flare.accepted <- func(peers *peers) {
		peers.stopped = true
		for each := range peers.all {
			each.end()
		}
		close(done)
	}
	await(done)
}

// end has the reading task end: closing waits for that task, which may wait for
// the owner.
func (peer *peer) end() {
	peer.over.Store(true)
	_ = peer.socket.SetDeadline(time.Unix(1, 0))
}

// read reads a connection until either side ends it.
func (flare *Flare) read(from *peer) {
	if raw, fault := from.socket.SyscallConn(); fault == nil {
		alive := true
		_ = raw.Read(func(descriptor uintptr) bool {
			for alive && !from.over.Load() {
				buffer := takeSpare()
				length, fault := unix.Read(int(descriptor), buffer)
				if length > 0 && fault == nil {
					alive = flare.arrived(from, buffer[:length])
				}
				giveSpare(buffer)
				switch {
				case fault == unix.EINTR:
				case fault == unix.EAGAIN:
					return false
				case fault != nil || length == 0:
					alive = false
				}
			}
			return true
		})
	}
	_ = from.socket.Close()
	flare.accepted <- func(peers *peers) {
		delete(peers.all, from)
		if peers.newest[from.from] == from {
			delete(peers.newest, from.from)
		}
	}
}

func takeSpare() []byte {
	select {
	case buffer := <-spare:
		return buffer
	default:
		return make([]byte, readSize)
	}
}

func giveSpare(buffer []byte) {
	select {
	case spare <- buffer:
	default:
	}
}

// arrived takes what came; false if it can't be read.
func (flare *Flare) arrived(from *peer, bytes []byte) bool {
	if len(from.rest) > 0 {
		from.rest = append(from.rest, bytes...)
		bytes = from.rest
	}
	for len(bytes) >= headerSize {
		length, complete, fault := from.length(bytes[:headerSize])
		if fault != nil {
			return flare.refuse(from, fault)
		}
		if !complete || len(bytes) < headerSize+length {
			break
		}
		body := bytes[headerSize : headerSize+length]
		flare.Counters.BytesIn.Add(int64(headerSize + length))
		if bytes[0]&(packedMark>>24) != 0 {
			fault = flare.readTurn(from, body)
		} else {
			fault = flare.readFrame(from, body)
		}
		if fault != nil {
			return flare.refuse(from, fault)
		}
		bytes = bytes[headerSize+length:]
	}
	switch {
	case len(bytes) > 0:
		from.rest = append(from.rest[:0], bytes...)
	case cap(from.rest) > readSize:
		from.rest = nil
	default:
		from.rest = from.rest[:0]
	}
	return true
}

func (flare *Flare) refuse(from *peer, fault error) bool {
	flare.Counters.Garbage.Add(1)
	flare.garbage(from.socket.RemoteAddr().String(), fault)
	return false
}

// named notes whose connection this is. One from each peer is enough, and the
// newest is the one that it writes on.
func (flare *Flare) named(from *peer, address string, first preamble) {
	from.from = address
	if first.Packed && from.unpacker == nil {
		from.unpacker = newUnpacker()
	}
	flare.accepted <- func(peers *peers) {
		if older, found := peers.newest[address]; found && older != from {
			older.end()
		}
		if peers.all[from] {
			peers.newest[address] = from
		}
	}
}
