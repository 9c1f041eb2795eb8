// Digests of runs. A digest stands for all that the daemons of a run put into the
// world: frames, writes to disks, answers and events. A change of the code that is
// meant to leave the behaviour alone has to leave the digest of every run alone.

package simulator

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"dahlialock/internal/statemachine"
)

// digestSize is how many bytes of the hash a digest shows.
const digestSize = 16

// flushAt is how much a recorder gathers before it hashes it.
const flushAt = 64 << 10

// Kinds of what is recorded.
const (
	recordFrame    = 'F'
	recordWrite    = 'W'
	recordResponse = 'R'
	recordDelivery = 'D'
	recordLogEvent = 'N'
)

// Recorder hashes what the daemons of one run put into the world, in order, each with
// its virtual moment. It draws nothing and changes nothing. A nil Recorder records
// nothing.
type Recorder struct {
	hash    hash.Hash
	pending []byte
}

// NewRecorder makes a recorder for one run, to be given as Size.Recorder.
func NewRecorder() *Recorder { return &Recorder{hash: sha256.New()} }

// Digest gives the digest of all that was recorded so far, in hexadecimal digits.
func (r *Recorder) Digest() string {
	r.flush()
	return hex.EncodeToString(r.hash.Sum(nil)[:digestSize])
}

// frame records a frame as it leaves a daemon. It holds the number of the message's
// kind, its sender's address and version, and the body; no name of a Go type.
func (r *Recorder) frame(from, to *Node, frame []byte) {
	if r == nil {
		return
	}
	r.begin(recordFrame, from)
	r.bytes([]byte(to.Address))
	r.bytes(frame)
	r.end()
}

// write records what is about to be written to a disk.
func (r *Recorder) write(node *Node, checkpoint []byte, whole bool, entries [][]byte) {
	if r == nil {
		return
	}
	r.begin(recordWrite, node)
	r.flag(whole)
	r.bytes(checkpoint)
	r.number(uint64(len(entries)))
	for _, entry := range entries {
		r.bytes(entry)
	}
	r.end()
}

// answers records what a step gives to callers and operators, and the numbers of what
// it logs; the texts and fields of log events are free.
func (r *Recorder) answers(node *Node, effects *statemachine.Effects) {
	if r == nil {
		return
	}
	for _, event := range effects.LogEvents {
		r.begin(recordLogEvent, node)
		r.number(uint64(event.Number))
		r.end()
	}
	for _, response := range effects.Responses {
		r.begin(recordResponse, node)
		r.number(response.Request)
		r.pending = appendValue(r.pending, response.ValueAt(node.local()))
		r.end()
	}
	for _, deliver := range effects.Deliveries {
		r.begin(recordDelivery, node)
		r.number(deliver.Session)
		r.flag(deliver.Close)
		r.pending = appendValue(r.pending, deliver.Event)
		r.end()
	}
}

func (r *Recorder) begin(kind byte, node *Node) {
	r.pending = append(r.pending, kind)
	r.number(uint64(node.simulation.Now.UnixNano()))
	r.bytes([]byte(node.Address))
}

func (r *Recorder) end() {
	if len(r.pending) >= flushAt {
		r.flush()
	}
}

func (r *Recorder) flush() {
	r.hash.Write(r.pending)
	r.pending = r.pending[:0]
}

func (r *Recorder) number(value uint64) {
	r.pending = binary.BigEndian.AppendUint64(r.pending, value)
}

func (r *Recorder) bytes(value []byte) {
	r.number(uint64(len(value)))
	r.pending = append(r.pending, value...)
}

func (r *Recorder) flag(set bool) { r.pending = appendFlag(r.pending, set) }
