package consensus

// Controller identifies one controller of the cluster.
type Controller struct {
	Name    string `cbor:"Name"`
	Address string `cbor:"Address"`
	Zone    string `cbor:"Zone"`
	// DiskID identifies the controller's disk. A changed DiskID shows that the disk was lost, and
	// with it what the controller promised.
	DiskID string `cbor:"Disk"`
}

// SameAs reports whether both have the same name and address. The disks may differ.
func (c Controller) SameAs(other Controller) bool {
	return c.Name == other.Name && c.Address == other.Address
}

// Record is the configuration of an epoch. Each epoch has exactly one record. It is decided by
// majorities of both the voters of the previous epoch and its own voters, or for the first
// epoch by all founders (see election.go).
type Record struct {
	Epoch uint64 `cbor:"Epoch"`
	// Primary is the name of the voter that serves while it holds the lease.
	Primary string `cbor:"Primary"`
	// Backups are the names of the voters that replicate the state, in order of takeover.
	Backups []string `cbor:"Backups"`
	// Voters grant leases and decide the next epoch, sorted by name.
	Voters []Controller `cbor:"Voters"`
}

// VoterNamed returns the voter with a name, or false if there is none.
func (r Record) VoterNamed(name string) (Controller, bool) {
	for _, voter := range r.Voters {
		if voter.Name == name {
			return voter, true
		}
	}
	return Controller{}, false
}

// Voter returns the entry of a controller in the list of voters, or false if it is not a voter.
// The disk of the entry may differ from the controller's.
func (r Record) Voter(controller Controller) (Controller, bool) {
	for _, voter := range r.Voters {
		if voter.SameAs(controller) {
			return voter, true
		}
	}
	return Controller{}, false
}

// Majority returns the number of voters that form a quorum.
func (r Record) Majority() int {
	return len(r.Voters)/2 + 1
}

// nameAt returns the name of the voter at an address, or "" if there is none.
func (r Record) nameAt(address string) string {
	for _, voter := range r.Voters {
		if voter.Address == address {
			return voter.Name
		}
	}
	return ""
}

// Ballot is a proposal number, as in Paxos: it orders the attempts to decide one epoch.
type Ballot struct {
	Count uint64 `cbor:"Count"`
	Name  string `cbor:"Name"`
}

// Before reports whether the ballot is lower than another one. Ballots are ordered by count,
// and then by the name of the proposer.
func (b Ballot) Before(other Ballot) bool {
	if b.Count != other.Count {
		return b.Count < other.Count
	}
	return b.Name < other.Name
}

// HardState is the state that a controller must persist before it sends messages that depend on
// it: the newest decided epoch and, as an acceptor, what it promised and accepted for the next
// epoch.
type HardState struct {
	// DiskID identifies the disk. It is assigned when the disk is first used.
	DiskID string `cbor:"Disk"`
	// Founders are the addresses of the founders if this controller is one of them. They are
	// kept from its first start until the first epoch is decided.
	Founders []string `cbor:"Founders"`
	// Record is the record of the newest decided epoch that this controller takes part in.
	Record Record `cbor:"Record"`
	// Promised is the highest ballot that was promised for the epoch after Record.
	Promised Ballot `cbor:"Promised"`
	// Accepted is the record that was last accepted for the epoch after Record, if any, and
	// AcceptedBallot its ballot.
	AcceptedBallot Ballot `cbor:"AcceptedBallot"`
	Accepted       Record `cbor:"Accepted"`
	// CompleteEpoch is the epoch as of which this controller's state contains everything that
	// was committed before that epoch, or 0. A primary or backup replicates only while
	// CompleteEpoch equals the epoch of Record.
	CompleteEpoch uint64 `cbor:"Complete"`
	// Recovered is set if the disk was lost in this epoch and the hard state was recovered from
	// other voters. The leases that were granted before the loss are unknown.
	Recovered bool `cbor:"Recalled"`
}

// stagedSnapshot is the state that a spare received from the proposer of the next epoch. It is
// installed if that epoch is decided and its record lists this controller as a backup.
type stagedSnapshot struct {
	From        string `cbor:"From"`
	TargetEpoch uint64 `cbor:"For"`
	Index       uint64 `cbor:"Index"`
	State       []byte `cbor:"State"`
}

// diskEntry is one entry of the log on disk: a hard state, a staged snapshot, a complete state
// at an index, or the command at an index.
type diskEntry struct {
	HardState *HardState      `cbor:"Durable"`
	Index     uint64          `cbor:"Index"`
	Command   []byte          `cbor:"Command"`
	State     []byte          `cbor:"State"`
	Staged    *stagedSnapshot `cbor:"Spare"`
}

// diskSnapshot is the snapshot on disk, which replaces all entries before it.
type diskSnapshot struct {
	HardState HardState        `cbor:"Durable"`
	Index     uint64           `cbor:"Index"`
	State     []byte           `cbor:"State"`
	Staged    []stagedSnapshot `cbor:"Spares"`
	// Pending is the command that was appended and not yet committed when the snapshot was
	// taken, if any.
	Pending *diskEntry `cbor:"Pending"`
}
