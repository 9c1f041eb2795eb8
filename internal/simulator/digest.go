// Digests of runs. A digest is a hash over all outputs of the daemons of a run: frames,
// writes to disks, responses and events. A code change that is not meant to change the
// behaviour must not change the digest of any run.

package simulator

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"dahlialock/internal/statemachine"
)

// digestSize is the number of bytes of the hash that a digest consists of.
const digestSize = 16

// flushAt is the number of buffered bytes at which a recorder hashes its buffer.
const flushAt = 64 << 10

// Kinds of records.
const (
	recordFrame    = 'F'
	recordWrite    = 'W'
	recordResponse = 'R'
	recordDelivery = 'D'
	recordLogEvent = 'N'
)

// Recorder hashes the outputs of the daemons of one run, in order, each with its virtual
// time. It draws no random numbers and does not influence the run. A nil Recorder records
// nothing.
type Recorder struct {
	hash    hash.Hash
	pending []byte
}

// NewRecorder returns a recorder for one run, to be set as Shape.Recorder.
func NewRecorder() *Recorder { return &Recorder{hash: sha256.New()} }

// Digest returns the digest of everything recorded so far, in hexadecimal.
func (r *Recorder) Digest() string {
	r.flush()
	return hex.EncodeToString(r.hash.Sum(nil)[:digestSize])
}

// frame records a frame as it leaves a daemon. A frame contains the number of the message's
// kind, its sender's address and version, and the body, but no names of Go types.
func (r *Recorder) frame(from, to *Node, frame []byte) {
	if r == nil {
		return
	}
	r.begin(recordFrame, from)
	r.bytes([]byte(to.Address))
	r.bytes(frame)
	r.end()
}

// write records a write before it is applied to a disk. hasSnapshot says whether the write
// has a checkpoint.
func (r *Recorder) write(node *Node, snapshot []byte, hasSnapshot bool, entries [][]byte) {
	if r == nil {
		return
	}
	r.begin(recordWrite, node)
	r.flag(hasSnapshot)
	r.bytes(snapshot)
	r.number(uint64(len(entries)))
	for _, entry := range entries {
		r.bytes(entry)
	}
	r.end()
}

// answers records the responses and deliveries of a step to clients and operators, and the
// numbers of the events that it logs. The texts and fields of log events are not recorded,
// so that they may change.
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
		r.pending = appendValue(r.pending, response.ValueAt(node.localTime()))
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
