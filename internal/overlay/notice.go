package overlay

// Kinds of notices.
const (
	// NoticeComplete tells all counts of a peer.
	NoticeComplete uint8 = iota + 1
	// NoticeChanges tells those that changed since the notice before.
	NoticeChanges
	// NoticeCheck tells the number of the newest notice.
	NoticeCheck
	// NoticeAsk asks for the whole.
	NoticeAsk
	// NoticeAbsent tells that there is no peer in the cell.
	NoticeAbsent
	// NoticeDiffers sums up each of the others of the cell that a peer knows, in
	// Counts, to one that seems to know others.
	NoticeDiffers
	// NoticeMembers names those that were not summed up there.
	NoticeMembers
	// NoticeMissing is the answer of who found sums there that it does not know: its
	// own.
	NoticeMissing
)

// Notice is what one daemon's peer in a cell tells another's.
type Notice struct {
	_    struct{} `cbor:",toarray"`
	Kind uint8
	Cell uint8
	// Number and Change are those of the sending peer.
	Number uint64
	Change uint64
	// Sequence numbers the peer's notices; changes follow the one before.
	Sequence uint64
	// Digest sums up whom the peer knows in its cell, itself among them; changes
	// carry none.
	Digest  uint64
	Topics  []uint64
	Counts  []uint32
	Members []PeerKey
}

// Notices is what the peers of one daemon, in one of its lives, tell those of
// another.
type Notices struct {
	_           struct{} `cbor:",toarray"`
	Daemon      string
	Incarnation uint64
	Plane       string
	Answer      bool
	// Level sums up the cells there, for whoever can tell from it that it knows
	// them; who does not asks for the numbers.
	Level   uint64
	Notices []Notice
}

func (n *Notice) add(topic uint64, count uint32) {
	if count > 0 || n.Kind != NoticeComplete {
		n.Topics, n.Counts = append(n.Topics, topic), append(n.Counts, count)
	}
}

// fits tells whether a notice has as many counts as it should.
func (n *Notice) fits() bool {
	return n.Kind == NoticeDiffers || n.Kind == NoticeMissing || len(n.Topics) == len(n.Counts)
}
