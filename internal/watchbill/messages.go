// The words that pilots exchange about epochs, tenure and the control state,
// and what each of them keeps on disk.
package watchbill

import (
	"time"

	"dahlialock/internal/flare"
)

// Pilot is one coordinator: its name, where it is, and the name of the disk
// that it began with, so that one whose disk was lost is known to be another.
type Pilot struct {
	Name     string
	Address  string
	Locality string
	Disk     string
}

// At tells whether both are the same pilot at the same address, whatever disk
// it has.
func (pilot Pilot) At(other Pilot) bool {
	return pilot.Name == other.Name && pilot.Address == other.Address
}

// Record is an epoch: who is primary, who are its backups, and who may grant.
type Record struct {
	Epoch   uint64
	Primary string
	Backups []string
	Roster  []Pilot
}

// Find gives the roster's entry of a name.
func (record Record) Find(name string) (Pilot, bool) {
	for _, pilot := range record.Roster {
		if pilot.Name == name {
			return pilot, true
		}
	}
	return Pilot{}, false
}

// Entry gives the roster's entry of a pilot at its address.
func (record Record) Entry(self Pilot) (Pilot, bool) {
	for _, pilot := range record.Roster {
		if pilot.At(self) {
			return pilot, true
		}
	}
	return Pilot{}, false
}

// Majority is how many of the roster must grant.
func (record Record) Majority() int {
	return len(record.Roster)/2 + 1
}

// Ballot orders the attempts to decide one epoch.
type Ballot struct {
	Count uint64
	Name  string
}

// Before orders ballots.
func (ballot Ballot) Before(other Ballot) bool {
	if ballot.Count != other.Count {
		return ballot.Count < other.Count
	}
	return ballot.Name < other.Name
}

// Durable is what a pilot must not forget: the newest decided epoch and its
// part in deciding the next one; the name of its disk; and, from its first start
// until the first epoch, the addresses of the founders that it is one of.
type Durable struct {
	Disk           string
	Founders       []string
	Record         Record
	Promised       Ballot
	AcceptedBallot Ballot
	Accepted       Record
	Complete       uint64
	Recalled       bool
}

// Hello lets pilots find each other through the seeds.
type Hello struct {
	Self     Pilot
	Count    int
	Known    []Pilot
	Blank    bool
	Founding bool
	Record   Record
}

// RecallAsk comes from a pilot whose disk is blank.
type RecallAsk struct {
	Nonce uint64
}

// RecallReturn tells it what one other pilot remembers.
type RecallReturn struct {
	Nonce   uint64
	Durable Durable
}

// Prepare asks for the right to decide an epoch.
type Prepare struct {
	Epoch  uint64
	Ballot Ballot
}

// Promise answers Prepare.
type Promise struct {
	Epoch          uint64
	Ballot         Ballot
	Given          bool
	Wait           time.Duration
	Promised       Ballot
	AcceptedBallot Ballot
	Accepted       Record
}

// Accept asks to take a record for an epoch.
type Accept struct {
	Epoch  uint64
	Ballot Ballot
	Record Record
}

// Accepted answers Accept.
type Accepted struct {
	Epoch  uint64
	Ballot Ballot
	Taken  bool
}

// Decided spreads a decided record.
type Decided struct {
	Record Record
}

// Renew asks for more tenure; soon after an epoch was decided it tells the record
// too, in case the word of it was lost.
type Renew struct {
	Epoch  uint64
	Nonce  uint64
	Record Record
}

// Grant gives tenure and tells how far the granter's state reaches; without a
// Nonce it only tells.
type Grant struct {
	Epoch    uint64
	Nonce    uint64
	Index    uint64
	Complete uint64
}

// Yield gives the rest of the tenure back: the primary is stopping, or its disk
// hangs.
type Yield struct {
	Epoch uint64
}

// Append carries one command from the primary to each backup.
type Append struct {
	Epoch   uint64
	Index   uint64
	Command []byte
}

// AppendReturn says that the backup has synced it.
type AppendReturn struct {
	Epoch uint64
	Index uint64
}

// Frame carries the whole state, either to level a backup at the present epoch
// or to ready a spare for the next.
type Frame struct {
	Epoch uint64
	For   uint64
	Index uint64
	State []byte
}

// FrameReturn says that the frame is synced.
type FrameReturn struct {
	Epoch uint64
	For   uint64
	Index uint64
}

// Confirm asks the roster whether the epoch still stands.
type Confirm struct {
	Epoch uint64
	Nonce uint64
}

// ConfirmReturn answers for the present epoch only.
type ConfirmReturn struct {
	Epoch uint64
	Nonce uint64
}

// DutyAsk asks a majority for the tenure of a single duty.
type DutyAsk struct {
	Duty  string
	Nonce uint64
	Leave bool
}

// DutyReturn grants it or names who holds it.
type DutyReturn struct {
	Duty   string
	Nonce  uint64
	Given  bool
	Holder string
}

type spareFrame struct {
	From  string
	For   uint64
	Index uint64
	State []byte
}

type diskEntry struct {
	Durable *Durable
	Index   uint64
	Command []byte
	State   []byte
	Spare   *spareFrame
}

type diskFrame struct {
	Durable Durable
	Index   uint64
	State   []byte
	Spares  []spareFrame
}

func init() {
	flare.MustRegister(100, Hello{})
	flare.MustRegister(101, RecallAsk{})
	flare.MustRegister(102, RecallReturn{})
	flare.MustRegister(103, Prepare{})
	flare.MustRegister(104, Promise{})
	flare.MustRegister(105, Accept{})
	flare.MustRegister(106, Accepted{})
	flare.MustRegister(107, Decided{})
	flare.MustRegister(108, Renew{})
	flare.MustRegister(109, Grant{})
	flare.MustRegister(110, Append{})
	flare.MustRegister(111, AppendReturn{})
	flare.MustRegister(112, Frame{})
	flare.MustRegister(113, FrameReturn{})
	flare.MustRegister(114, Confirm{})
	flare.MustRegister(115, ConfirmReturn{})
	flare.MustRegister(116, DutyAsk{})
	flare.MustRegister(117, DutyReturn{})
	flare.MustRegister(118, Yield{})
}
