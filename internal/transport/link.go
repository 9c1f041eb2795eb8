package transport

import (
	"bytes"
	"context"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// maxSpareBytes bounds the buffers that are kept for the next batch.
const maxSpareBytes = 16 << 10

// link is the outbound path to one peer, with or without a connection. Its state is divided between the owner and the
// dialer; direct is where they hand the link to each other.
type link struct {
	address string
	// crossZone is set where the peer is in another zone.
	crossZone bool

	// Of the owner: the frames of the present batch by class, whether the link is
	// in the list of dirty ones, and how often it handed bytes to the dialer.
	pending    [classCount]pendingFrames
	dirty      bool
	handedOver uint64

	// direct is set by the dialer while nothing is queued for the peer. The owner
	// may write to its socket as long as the owner has handed nothing over since.
	direct atomic.Pointer[directPath]
	// batches counts the owner's batches, by which the dialer finds idle links.
	batches atomic.Uint64

	// The rest is of the dialer's loop.

	// takenOver counts what arrived of handedOver.
	takenOver uint64
	// unwritten is what is left of the owner's last write, and goes before all
	// else that is queued.
	unwritten chunk
	// connection and socket are nil while there is no connection.
	connection gnet.Conn
	socket     *socket
	openedAt   time.Time
	// closedIdle is set where this side closed the connection as idle.
	closedIdle bool

	// dialing is set while a dial is in progress, which cancelDial ends.
	dialing    bool
	cancelDial context.CancelFunc
	// attempts counts the dials since the peer was last known to be there.
	attempts int
	// peerSeen is set where the peer showed during the dial that it is there, by a
	// connection of its own.
	peerSeen bool
	// backoff is the pause after the last failure; no dial begins before retryAt.
	backoff time.Duration
	retryAt time.Time
	// serveAt is when the earliest timer for the link fires, zero for none.
	serveAt time.Time
	// sweptBatches is the value of batches at the last sweep for idle links.
	sweptBatches uint64
}

// directPath is a connection that the owner may write to, as long as its count
// of handovers is the same.
type directPath struct {
	socket     *socket
	handedOver uint64
}

// pendingFrames are the frames of one class in the owner's present batch.
type pendingFrames struct {
	bytes.Buffer
	frames    int
	deadlines []deadline
}

// chunk returns the frames as a chunk that shares their buffer.
func (pf *pendingFrames) chunk(class Class) chunk {
	return chunk{
		body:      pf.Bytes(),
		class:     class,
		frames:    pf.frames,
		deadlines: pf.deadlines,
	}
}

// reset makes the frames empty for the next batch.
func (pf *pendingFrames) reset() {
	pf.frames, pf.deadlines = 0, nil
	if pf.Cap() > maxSpareBytes {
		pf.Buffer = bytes.Buffer{}
	} else {
		pf.Reset()
	}
}

// chunk is what the owner hands to the dialer: complete frames of one class, or,
// if continues is set, the rest of a write that only that socket's connection may
// take.
type chunk struct {
	body      []byte
	class     Class
	frames    int
	deadlines []deadline
	queuedAt  time.Time
	// dueAt is when an impaired chunk may be sent, zero for at once.
	dueAt     time.Time
	continues *socket
}

// lowestClass returns the lowest class in the batch, by which a FlowWindow
// admits it.
func (l *link) lowestClass() Class {
	lowest := ClassControl
	for class := range l.pending {
		if l.pending[class].frames > 0 {
			lowest = Class(class)
		}
	}
	return lowest
}

// reset makes the link ready for the next batch.
func (l *link) reset() {
	l.dirty = false
	for class := range l.pending {
		l.pending[class].reset()
	}
}
