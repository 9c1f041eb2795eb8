package overlay

// Kinds of notices. They are part of the wire format.
const (
	// NoticeComplete contains all subscriber counts of a peer.
	NoticeComplete uint8 = iota + 1
	// NoticeChanges contains the counts that changed since the previous NoticeChanges;
	// 0 for a topic that has no subscribers any more.
	NoticeChanges
	// NoticeCheck contains the sequence of the peer's newest notice, without counts.
	NoticeCheck
	// NoticeRequest requests a NoticeComplete.
	NoticeRequest
	// NoticeAbsent is the response of a daemon that has no peer in the cell.
	NoticeAbsent
	// NoticeDiffers is sent to a member whose Digest differs. Its Counts are the short
	// hashes of all other members of the cell that the sending peer knows.
	NoticeDiffers
	// NoticeMembers is the response to NoticeDiffers or NoticeMissing with the members
	// whose hashes were not in it.
	NoticeMembers
	// NoticeMissing is the response to a NoticeDiffers that contains unknown hashes. It
	// contains the hashes of the members that its sender knows, as in NoticeDiffers.
	NoticeMissing
)

// Notice is a message between two daemons' peers in a cell.
type Notice struct {
	_    struct{} `cbor:",toarray"`
	Kind uint8
	Cell uint8
	// Number is that of the sending peer's key, Change that of its Peer.
	Number uint64
	Change uint64
	// Sequence numbers the peer's NoticeChanges. Other kinds contain the sequence of
	// the last NoticeChanges.
	Sequence uint64
	// Digest is the digest of the members of the cell that the peer knows, including
	// itself; 0 in NoticeChanges.
	Digest uint64
	// Topics are the hashes of topics (config.TopicHash), and Counts their subscriber
	// counts on the sending daemon. In NoticeDiffers and NoticeMissing, Counts are
	// hashes of members.
	Topics  []uint64
	Counts  []uint32
	Members []PeerKey
}

// Notices contains all notices for one plane that the peers of one incarnation of a
// daemon send to the peers of another daemon in one step.
type Notices struct {
	_           struct{} `cbor:",toarray"`
	Daemon      string
	Incarnation uint64
	Plane       string
	// Answer requests a NoticeCheck for each of the receiver's cells.
	Answer bool
	// Level is a digest of the sender's cells (see plane.cellsDigest), 0 for none. A
	// receiver that computes a different digest requests the checks with Answer.
	Level   uint64
	Notices []Notice
}

// add adds the count of a topic. A NoticeComplete omits counts of 0.
func (n *Notice) add(topic uint64, count uint32) {
	if count > 0 || n.Kind != NoticeComplete {
		n.Topics, n.Counts = append(n.Topics, topic), append(n.Counts, count)
	}
}

// fits reports whether a received notice is well formed: it must contain one count
// for each topic, unless its kind uses Counts for hashes.
func (n *Notice) fits() bool {
	return n.Kind == NoticeDiffers || n.Kind == NoticeMissing || len(n.Topics) == len(n.Counts)
}
