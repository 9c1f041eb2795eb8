package transport

import (
	"bytes"
	"context"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// maxSpareBytes bounds the capacity of buffers that are reused for the next batch.
const maxSpareBytes = 16 << 10

// link is the outbound path to one peer, with or without a connection. Some of its
// fields belong to the owner and some to the dialer; the right to write to the
// connection passes between them by the field direct.
type link struct {
	address string
	// crossZone is set if the peer is in another zone.
	crossZone bool

	// The next three fields belong to the owner: the frames of the current batch by
	// class, whether the link is in the list of dirty links, and how often the owner
	// has handed chunks to the dialer.
	pending    [classCount]pendingFrames
	dirty      bool
	handedOver uint64

	// direct is set by the dialer while nothing is queued for the peer. The owner
	// may write to its socket as long as it hasn't handed over any chunks since.
	direct atomic.Pointer[directPath]
	// batches counts the owner's batches; the dialer uses it to find idle links.
	batches atomic.Uint64

	// The remaining fields belong to the dialer's loop.

	// takenOver counts how many of the handovers in handedOver the dialer has
	// received.
	takenOver uint64
	// unwritten is the rest of a partial write of the owner. It is sent before all
	// queued chunks.
	unwritten chunk
	// connection and socket are nil while there is no connection.
	connection gnet.Conn
	socket     *socket
	openedAt   time.Time
	// closedIdle is set if this daemon closed the connection because it was idle.
	closedIdle bool

	// dialing is set while a dial is in progress; cancelDial cancels it.
	dialing    bool
	cancelDial context.CancelFunc
	// attempts counts the dials since the peer was last known to be reachable.
	attempts int
	// peerSeen is set if the peer has connected to this daemon while a dial to it
	// was in progress.
	peerSeen bool
	// backoff is the pause after the last failure; no dial starts before retryAt.
	backoff time.Duration
	retryAt time.Time
	// serveAt is when the earliest serveAfter timer of the link fires, zero for none.
	serveAt time.Time
	// sweptBatches is the value of batches at the last sweep for idle links.
	sweptBatches uint64
}

// directPath is a connection that the owner may write to as long as handedOver
// equals the link's own count of handovers.
type directPath struct {
	socket     *socket
	handedOver uint64
}

// pendingFrames are the frames of one class in the owner's current batch.
type pendingFrames struct {
	bytes.Buffer
	frames    int
	deadlines []deadline
}

// chunk returns the frames as a chunk that shares the buffer with pf.
func (pf *pendingFrames) chunk(class Class) chunk {
	return chunk{
		body:      pf.Bytes(),
		class:     class,
		frames:    pf.frames,
		deadlines: pf.deadlines,
	}
}

// reset discards the frames, and keeps the buffer for the next batch unless it is
// too large.
func (pf *pendingFrames) reset() {
	pf.frames, pf.deadlines = 0, nil
	if pf.Cap() > maxSpareBytes {
		pf.Buffer = bytes.Buffer{}
	} else {
		pf.Reset()
	}
}

// chunk is a unit of data that the owner hands to the dialer: complete frames of
// one class, or, if continues is set, the rest of a partial write, which may only be
// written to the connection of that socket.
type chunk struct {
	body      []byte
	class     Class
	frames    int
	deadlines []deadline
	queuedAt  time.Time
	// dueAt is when a chunk delayed by an Impairment may be sent, zero for at once.
	dueAt     time.Time
	continues *socket
}

// lowestClass returns the lowest-priority class in the batch. A FlowWindow admits
// the batch by this class.
func (l *link) lowestClass() Class {
	lowest := ClassControl
	for class := range l.pending {
		if l.pending[class].frames > 0 {
			lowest = Class(class)
		}
	}
	return lowest
}

// reset clears the batch of the link.
func (l *link) reset() {
	l.dirty = false
	for class := range l.pending {
		l.pending[class].reset()
	}
}
