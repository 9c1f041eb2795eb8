package consensus

// Controller identifies one controller of the fleet.
type Controller struct {
	Name    string `cbor:"Name"`
	Address string `cbor:"Address"`
	Zone    string `cbor:"Zone"`
	// DiskID names the disk that the controller began with, so that one whose disk was
	// lost is recognized as another: it has forgotten what it promised.
	DiskID string `cbor:"Disk"`
}

// SameAs reports whether both are the same controller at the same address, whatever disk
// it has.
func (c Controller) SameAs(other Controller) bool {
	return c.Name == other.Name && c.Address == other.Address
}

// Record is the configuration of an epoch. Each epoch has one record, which is decided
// by majorities of the voters of the epoch before and of its own, or for the first epoch by
// all founders (see election.go).
type Record struct {
	Epoch uint64 `cbor:"Epoch"`
	// Primary is the name of the voter that may serve while it holds the lease.
	Primary string `cbor:"Primary"`
	// Backups are the names of the voters that replicate the state, in order of takeover.
	Backups []string `cbor:"Backups"`
	// Voters grant leases and decide the next epoch, sorted by name.
	Voters []Controller `cbor:"Voters"`
}

// VoterNamed returns the voter of a name; false if there is none.
func (r Record) VoterNamed(name string) (Controller, bool) {
	for _, voter := range r.Voters {
		if voter.Name == name {
			return voter, true
		}
	}
	return Controller{}, false
}

// Voter returns the entry of a controller among the voters, whose disk may be another;
// false if it is no voter.
func (r Record) Voter(controller Controller) (Controller, bool) {
	for _, voter := range r.Voters {
		if voter.SameAs(controller) {
			return voter, true
		}
	}
	return Controller{}, false
}

// Majority is how many voters make a quorum.
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

// Before orders ballots by their count, and then by the names of the proposers.
func (b Ballot) Before(other Ballot) bool {
	if b.Count != other.Count {
		return b.Count < other.Count
	}
	return b.Name < other.Name
}

// HardState is what a controller must not forget: the newest decided epoch and, as an
// acceptor, what it promised and accepted for the next one.
type HardState struct {
	// DiskID names the disk; it is drawn when the disk is first used.
	DiskID string `cbor:"Disk"`
	// Founders are the addresses of the founding controllers, of which this is one, from
	// its first start until the first epoch is decided.
	Founders []string `cbor:"Founders"`
	// Record is that of the newest decided epoch this controller takes part in.
	Record Record `cbor:"Record"`
	// Promised is the highest ballot that was promised for the epoch after Record.
	Promised Ballot `cbor:"Promised"`
	// AcceptedBallot and Accepted are the record that was last accepted for the epoch after
	// Record, if any.
	AcceptedBallot Ballot `cbor:"AcceptedBallot"`
	Accepted       Record `cbor:"Accepted"`
	// CompleteEpoch is the epoch as of which the state here holds all that was committed
	// before it, or 0. A primary or backup replicates only if it is the epoch of Record.
	CompleteEpoch uint64 `cbor:"Complete"`
	// Recovered is set if the disk was lost in this epoch, and what it held was recovered
	// from other voters. The leases that were granted before are unknown.
	Recovered bool `cbor:"Recalled"`
}

// stagedSnapshot is the state that a spare got from the proposer of the next epoch. It is
// installed if that epoch is decided and names this controller as a backup.
type stagedSnapshot struct {
	From        string `cbor:"From"`
	TargetEpoch uint64 `cbor:"For"`
	Index       uint64 `cbor:"Index"`
	State       []byte `cbor:"State"`
}

// diskEntry is one entry of the log on disk: one of a hard state, a staged snapshot, a
// complete state at an index, or the command of an index.
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
