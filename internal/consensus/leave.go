// Leaving in good order. A controller that is asked to stop can't know whether it
// comes back, so it goes as if it did not: it gives the lease back once its backups
// are level, the primary makes its copy elsewhere, and the voters take another in
// its place. It goes once a majority of the voters without it have that on their
// disks, so that the loss of any others as are tolerated, and of all power, leaves
// enough who know. Where nobody can take its place it goes at once.

package consensus

import (
	"slices"
	"time"

	"dahlialock/internal/statemachine"
)

// Spans of leaving.
const (
	leaveEvery   = 100 * time.Millisecond
	departsFresh = time.Second
	departsKept  = 10 * time.Second
	// hearsStandbys is how long a primary acts before it has heard all that stand by.
	hearsStandbys = standbyEvery + 200*time.Millisecond
	// takeBackAfter is when a primary that leaves takes the lease back: nobody took
	// over, so it may hold the only copy.
	takeBackAfter = lostAfter
)

// Leave begins to take this controller out of the voters and the copies; it goes on
// with its part until Left.
func (w *Node) Leave(now time.Time, effects *statemachine.Effects) {
	if w.leaving {
		return
	}
	w.leaving = true
	w.leaveOn(now, effects)
}

// Left tells whether nothing that this controller holds is needed any more, or
// nobody can take it over.
func (w *Node) Left() bool {
	return w.left || statemachine.Mutated("leave-when-out") && w.leaving && !w.blank && !w.member()
}

// leaveOn asks, again and again, to be let go.
func (w *Node) leaveOn(now time.Time, effects *statemachine.Effects) {
	if statemachine.Mutated("leave-at-once") {
		w.ReleaseLease(now, effects)
		w.left = true
	}
	others := w.others()
	if w.blank || len(others) == 0 && len(w.Learners(now)) == 0 {
		w.left = true
	}
	if w.left {
		return
	}
	w.timers.Arm("leave", now.Add(leaveEvery))
	w.handOver(now, effects)
	leave := Leave{Epoch: w.durable.Record.Epoch, Request: w.requests.Next()}
	for _, controller := range others {
		effects.Send(controller.Address, leave)
	}
}

// others are the voters besides this controller.
func (w *Node) others() []Controller {
	return slices.DeleteFunc(slices.Clone(w.durable.Record.Voters), func(controller Controller) bool {
		return controller.SameAs(w.settings.Self)
	})
}

// handOver gives the lease back once a backup that stays can go on at once.
func (w *Node) handOver(now time.Time, effects *statemachine.Effects) {
	if !w.Serving(now) || w.trying != nil {
		return
	}
	record := w.durable.Record
	if slices.ContainsFunc(record.Backups, func(name string) bool {
		backup, _ := record.VoterNamed(name)
		return !w.saidToGo(now, backup.Address)
	}) {
		w.ReleaseLease(now, effects)
	}
}

// onLeave is told that a controller wants to go. Who is outside the voters may, as
// far as this controller is concerned, once the voters without it last on this disk.
func (w *Node) onLeave(now time.Time, from string, leave Leave, effects *statemachine.Effects) {
	record := w.durable.Record
	switch {
	case w.blank:
		return
	case leave.Epoch < record.Epoch:
		effects.Send(from, Decided{Record: record})
	case leave.Epoch > record.Epoch:
		w.askRecord(from, effects)
		return
	}
	w.noteDeparture(now, from)
	name := w.nameOf(from, record.Voters)
	if name == "" {
		if w.member() && w.diskEpoch == record.Epoch {
			effects.Send(from, LeaveResponse{Epoch: record.Epoch, Request: leave.Request})
		}
		return
	}
	if !w.HoldsLease(now) {
		return
	}
	w.follow(now, effects)
	w.watchVoters(now, effects)
	if w.irreplaceable(now, name) {
		effects.Send(from, LeaveResponse{Epoch: record.Epoch, Request: leave.Request, Irreplaceable: true})
	}
}

// noteDeparture remembers who goes, for as long as it is a voter or may come back.
func (w *Node) noteDeparture(now time.Time, from string) {
	w.departs[from] = now
	for address, said := range statemachine.Sorted(w.departs) {
		if now.Sub(said) > departsKept && w.nameOf(address, w.durable.Record.Voters) == "" {
			delete(w.departs, address)
		}
	}
}

func (w *Node) onLeaveResponse(from string, returned LeaveResponse) {
	record := w.durable.Record
	if _, own := w.requests.NumberOf(returned.Request); !own || !w.leaving || returned.Epoch < record.Epoch || w.nameOf(from, record.Voters) == "" {
		return
	}
	if returned.Irreplaceable {
		w.left = w.left || w.nameOf(from, record.Voters) == record.Primary
		return
	}
	if _, listed := record.Voter(w.settings.Self); listed {
		return
	}
	w.releases[from] = true
	w.left = w.left || enough(record.Epoch+1, record.Voters, w.releases)
}

// saidToGo tells whether a controller has just said that it goes.
func (w *Node) saidToGo(now time.Time, address string) bool {
	said, found := w.departs[address]
	return found && now.Sub(said) < departsFresh
}

// departing tells whether a voter has said that it goes, and has not come back since.
func (w *Node) departing(now time.Time, voter Controller) bool {
	said, found := w.departs[voter.Address]
	return found && (now.Sub(said) < departsFresh || w.lastGrant[voter.Name].Before(said.Add(departsFresh)))
}

// departingBackup is a backup that goes, where another can have its copy.
func (w *Node) departingBackup(now time.Time) (string, bool) {
	record := w.durable.Record
	if !w.level() {
		return "", false
	}
	for _, name := range record.Backups {
		if backup, _ := record.VoterNamed(name); !w.departing(now, backup) {
			continue
		}
		others := slices.DeleteFunc(slices.Clone(record.Backups), func(other string) bool { return other == name })
		if _, found := w.chooseSpare(now, others, record.Backups); found {
			return name, true
		}
	}
	return "", false
}

// mayDrop tells whether a backup that goes need not be replaced: nobody else can have
// its copy, and there are as many as are needed without it.
func (w *Node) mayDrop(now time.Time, backup Controller) bool {
	if !w.departing(now, backup) || len(w.durable.Record.Backups) <= w.neededBackups() {
		return false
	}
	_, found := w.departingBackup(now)
	return !found
}

// irreplaceable tells whether nobody is there to take the place of a voter.
func (w *Node) irreplaceable(now time.Time, name string) bool {
	record := w.durable.Record
	if w.trying != nil || w.replacing || w.gathered || !w.level() || len(w.Learners(now)) > 0 || mayShrink(record) {
		return false
	}
	if now.Sub(w.actingSince) < hearsStandbys && !statemachine.Mutated("irreplaceable-unheard") {
		return false
	}
	copies, found := w.departingBackup(now)
	return !found || copies != name
}

// mayShrink tells whether the voters are as safe without one: an even number needs
// as many votes as the odd number above it.
func mayShrink(record Record) bool {
	return len(record.Voters)%2 == 0
}
