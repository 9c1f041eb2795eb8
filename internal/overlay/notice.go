package overlay

// Kinds of notices. They are part of the wire format.
const (
	// NoticeComplete has all subscriber counts of a peer.
	NoticeComplete uint8 = iota + 1
	// NoticeChanges has the counts that changed since the notice before, 0 for a topic
	// without subscribers.
	NoticeChanges
	// NoticeCheck has the sequence of the peer's newest notice and no counts.
	NoticeCheck
	// NoticeAsk requests a NoticeComplete.
	NoticeAsk
	// NoticeAbsent responds that the daemon has no peer in the cell.
	NoticeAbsent
	// NoticeDiffers has in Counts a short hash of each other member of the cell that
	// the peer knows. It goes to a member whose Digest differs.
	NoticeDiffers
	// NoticeMembers responds with the members whose hashes were not among those.
	NoticeMembers
	// NoticeMissing responds with the hashes of the members known here, as in
	// NoticeDiffers, if some of those received were unknown.
	NoticeMissing
)

// Notice is a message from one daemon's peer in a cell to another daemon's.
type Notice struct {
	_    struct{} `cbor:",toarray"`
	Kind uint8
	Cell uint8
	// Number and Change are those of the sending peer's key and Peer.
	Number uint64
	Change uint64
	// Sequence numbers the peer's NoticeChanges; other kinds have that of the last one.
	Sequence uint64
	// Digest is that of the members of the cell that the peer knows, itself among
	// them; 0 in NoticeChanges.
	Digest uint64
	// Topics are topics' numbers (config.TopicHash), Counts their subscribers on the
	// sending daemon; for Counts of other kinds see there.
	Topics  []uint64
	Counts  []uint32
	Members []PeerKey
}

// Notices is what the peers of one incarnation of a daemon send to those of another
// daemon in one step, for one plane.
type Notices struct {
	_           struct{} `cbor:",toarray"`
	Daemon      string
	Incarnation uint64
	Plane       string
	// Answer requests a NoticeCheck of each of the receiver's cells.
	Answer bool
	// Level is a digest of the sender's cells (see plane.level), 0 if there is none.
	// A receiver that computes another one requests the checks by Answer.
	Level   uint64
	Notices []Notice
}

// add adds a topic's count; a complete notice leaves out those of 0.
func (n *Notice) add(topic uint64, count uint32) {
	if count > 0 || n.Kind != NoticeComplete {
		n.Topics, n.Counts = append(n.Topics, topic), append(n.Counts, count)
	}
}

// fits reports whether a received notice has one count for each topic, where its
// kind has topics.
func (n *Notice) fits() bool {
	return n.Kind == NoticeDiffers || n.Kind == NoticeMissing || len(n.Topics) == len(n.Counts)
}
