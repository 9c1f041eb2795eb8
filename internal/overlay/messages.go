package overlay

import (
	"dahlialock/internal/transport"
	"strings"
)

// PeerKey names one peer for ever.
type PeerKey struct {
	_           struct{} `cbor:",toarray"`
	Daemon      string
	Incarnation uint64
	Number      uint64
}

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

// Peer is what others know of one.
type Peer struct {
	_          struct{} `cbor:",toarray"`
	Key        PeerKey
	At         Point
	Area       Area
	Subscribes bool
	Change     uint64
}

// Kinds of signals between peers.
const (
	SignalJoin uint8 = iota + 1
	SignalWelcome
	SignalGreet
	SignalGreeted
	SignalLeave
	SignalLeft
	SignalNobody
	SignalAnnounce
)

// Signal is one message from peer to peer.
type Signal struct {
	_        struct{} `cbor:",toarray"`
	Kind     uint8
	Space    string
	To       PeerKey
	From     Peer
	Peers    []Peer
	Boundary []Peer
	Hops     uint8
	Attempts uint8
}

// Signals is what one daemon's peers say to another daemon's in one step: one
// frame.
type Signals struct {
	_       struct{} `cbor:",toarray"`
	Signals []Signal
	Notices []Notices
}

func init() {
	transport.MustRegister(400, Signals{})
}
