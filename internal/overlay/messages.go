package overlay

import (
	"dahlialock/internal/transport"
	"strings"
)

// PeerKey identifies a peer and is never reused. It consists of the daemon's name, the
// daemon's incarnation in the membership (see Gateway.Joined), and a number that
// increases with each key of the daemon.
type PeerKey struct {
	_           struct{} `cbor:",toarray"`
	Daemon      string
	Incarnation uint64
	Number      uint64
}

// compare orders keys by daemon, incarnation and number.
func (pk PeerKey) compare(other PeerKey) int {
	if order := strings.Compare(pk.Daemon, other.Daemon); order != 0 {
		return order
	}
	if pk.Incarnation != other.Incarnation {
		if pk.Incarnation < other.Incarnation {
			return -1
		}
		return 1
	}
	if pk.Number < other.Number {
		return -1
	}
	if pk.Number > other.Number {
		return 1
	}
	return 0
}

// Peer describes a peer to other peers: its reference point, its area, and whether it
// subscribes. Of two versions, the one with the higher Change is newer.
type Peer struct {
	_          struct{} `cbor:",toarray"`
	Key        PeerKey
	At         Point
	Area       Area
	Subscribes bool
	Change     uint64
}

// Kinds of signals between peers. They are part of the wire format.
const (
	// SignalJoin is a join request. It is forwarded to the acceptor: the peer whose
	// region covers the reference point of From.
	SignalJoin uint8 = iota + 1
	// SignalWelcome is the acceptor's response to a join request.
	SignalWelcome
	// SignalGreet introduces a peer to another peer, or announces a new version of it.
	SignalGreet
	// SignalGreeted is the response to a greeting.
	SignalGreeted
	// SignalLeave announces that the sending peer leaves.
	SignalLeave
	// SignalLeft reports that a peer doesn't exist. From contains only the key of that
	// peer.
	SignalLeft
	// SignalNoPeer is the response to a join request by a daemon without peers in the
	// space.
	SignalNoPeer
	// SignalAnnounce names a subscriber to a neighbour that may not know it.
	SignalAnnounce
)

// Signal is a message from one peer to another.
type Signal struct {
	_     struct{} `cbor:",toarray"`
	Kind  uint8
	Space string
	// To is empty in a join request that is addressed to a daemon instead of a peer.
	To   PeerKey
	From Peer
	// Peers are peers that may be relevant to the receiver. Boundary are the peers
	// beyond the edges that the receiver's area intersects; the receiver greets them
	// unconditionally.
	Peers    []Peer
	Boundary []Peer
	// Hops counts how often a join request was forwarded. In a greeting it is healing
	// if the sender's region has grown because a neighbour was lost, otherwise 0.
	Hops uint8
	// Attempts counts how often the join request was sent; it is 0 in a probe.
	Attempts uint8
}

// Signals is a frame with all signals and notices that one daemon's peers send to
// another daemon's peers in one step.
type Signals struct {
	_       struct{} `cbor:",toarray"`
	Signals []Signal
	Notices []Notices
}

func init() {
	transport.MustRegister(400, Signals{})
}
