package overlay

import (
	"dahlialock/internal/transport"
	"strings"
)

// PeerKey identifies one peer and is never used again: the daemon's name, its
// incarnation as the membership has it (see Gateway.Joined), and a number that
// rises within the daemon.
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

// Peer is what other peers know of one: its reference point, its area, and whether
// it subscribes. Of two versions the one with the higher Change is the newer.
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
	// SignalJoin asks for the acceptor: the peer whose region covers the point of
	// From. It is forwarded until it is there.
	SignalJoin uint8 = iota + 1
	// SignalWelcome is the acceptor's response to a join.
	SignalWelcome
	// SignalGreet introduces a peer to another one, also after a change.
	SignalGreet
	// SignalGreeted is the response to a greeting.
	SignalGreeted
	// SignalLeave announces that the sending peer leaves.
	SignalLeave
	// SignalLeft reports that a peer, of which From has the key only, doesn't exist.
	SignalLeft
	// SignalNobody responds to a join that the daemon hosts no peer in the space.
	SignalNobody
	// SignalAnnounce names a subscriber to a neighbour that may have missed it.
	SignalAnnounce
)

// Signal is one message from peer to peer.
type Signal struct {
	_     struct{} `cbor:",toarray"`
	Kind  uint8
	Space string
	// To is empty in a join that is sent to a daemon instead of a peer.
	To   PeerKey
	From Peer
	// Peers are peers that the receiver may want to know. Boundary are those beyond
	// the edges that the receiver's area meets, which it greets in any case.
	Peers    []Peer
	Boundary []Peer
	// Hops counts how often a join was forwarded. In a greeting it is healing where
	// the sender's region has grown by a loss, otherwise 0.
	Hops uint8
	// Attempts is how often the join was sent, 0 in a probe.
	Attempts uint8
}

// Signals is all that one daemon's peers send to another daemon's in one step, as
// one frame.
type Signals struct {
	_       struct{} `cbor:",toarray"`
	Signals []Signal
	Notices []Notices
}

func init() {
	transport.MustRegister(400, Signals{})
}
