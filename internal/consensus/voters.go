// The voters: who founds it, how a controller learns of it, and how it changes. The
// founders are the seeds, told so at the first start of the whole fleet; the
// first epoch needs every one of them, so that a founder whose disk is lost
// can't help to found a second fleet. A controller outside the voters stands by: it
// knows the record, grants nothing, and tells that it lives. A controller in the
// voters whose disk is not the one that the record names learns the record and
// the open ballots from enough of the others first. The primary brings standby
// controllers in, one at a time, also in place of one that is lost, by an epoch that
// majorities of both the old and the new voters take.

package consensus

import (
	"cmp"
	"slices"
	"time"

	"dahlialock/internal/logevent"
	"dahlialock/internal/statemachine"
)

// Spans of the voters.
const (
	standbyEvery = time.Second
	// metFor is for how long a controller that was met is remembered.
	metFor       = time.Minute
	memberEvery  = 5 * time.Second
	standbyFresh = 2500 * time.Millisecond
	// replaceAfter lets the copies be replaced first; with a takeover before it, a lost
	// member is out before a machine that is new counts again.
	replaceAfter = lostAfter + renewEvery
	succeedAfter = time.Second
	changeAfter  = 500 * time.Millisecond
	spreadAfter  = 3 * time.Second
	leastVoters  = 3
)

// meeting is what a controller last said of itself.
type meeting struct {
	hello Hello
	heard time.Time
}

func (w *Node) self() Controller {
	self := w.settings.Self
	self.DiskID = w.durable.DiskID
	return self
}

// member tells whether this controller is in the newest voters that it knows, with
// the disk that the voters names.
func (w *Node) member() bool {
	entry, listed := w.durable.Record.Voter(w.settings.Self)
	return !w.blank && listed && entry.DiskID == w.durable.DiskID
}

// mayEnter tells whether this controller may take its part in a decided epoch at
// once: whatever it has granted is on this disk.
func (w *Node) mayEnter(record Record, entry Controller) bool {
	if statemachine.Mutated("trust-lost-disk") {
		return true
	}
	if !w.blank {
		return entry.DiskID == w.durable.DiskID
	}
	return w.durable.DiskID != "" && entry.DiskID == w.durable.DiskID || record.Epoch == 1 && w.durable.Accepted.Epoch == 1
}

// forget makes a controller that stood by learn from the others, since the voters
// that it is now in names a disk that it lost.
func (w *Node) forget(now time.Time) {
	w.durable = HardState{DiskID: w.durable.DiskID}
	w.blank, w.trying = true, nil
	w.recalls = map[string]HardState{}
	w.timers.ArmSooner("hello", now)
}

// Learners lists the controllers outside the voters that were heard lately.
func (w *Node) Learners(now time.Time) []Controller {
	var standbys []Controller
	for _, met := range statemachine.Sorted(w.met) {
		if _, listed := w.durable.Record.Voter(met.hello.Self); !listed && now.Sub(met.heard) < standbyFresh && !w.saidToGo(now, met.hello.Self.Address) {
			standbys = append(standbys, met.hello.Self)
		}
	}
	return standbys
}

// Finding each other.

func (w *Node) greeting() Hello {
	return Hello{
		Self: w.self(), ClusterSize: w.settings.ClusterSize, Known: w.KnownControllers(), Blank: w.blank,
		Founding: len(w.durable.Founders) > 0, Record: w.durable.Record,
	}
}

func (w *Node) hello(now time.Time, effects *statemachine.Effects) {
	targets := map[string]bool{}
	pause := helloEvery
	switch {
	case w.blank:
		for _, seed := range append(slices.Clone(w.settings.Seeds), w.durable.Founders...) {
			targets[seed] = true
		}
		for _, controller := range append(w.KnownControllers(), w.told.Voters...) {
			targets[controller.Address] = true
		}
		for address := range statemachine.Sorted(w.heardOf) {
			targets[address] = true
		}
	case w.member():
		pause = memberEvery
		for _, controller := range w.durable.Record.Voters {
			targets[controller.Address] = true
		}
		targets[w.nextInTurn(w.settings.Seeds)] = true
	default:
		// Its record may be so old that nobody in it is left.
		pause = standbyEvery
		if primary, found := w.Primary(); found {
			targets[primary.Address] = true
		}
		addresses := slices.Clone(w.settings.Seeds)
		for _, controller := range w.durable.Record.Voters {
			addresses = append(addresses, controller.Address)
		}
		targets[w.nextInTurn(addresses)] = true
	}
	w.timers.Arm("hello", now.Add(pause))
	delete(targets, w.settings.Self.Address)
	if w.leaving && !w.member() {
		return
	}
	greeting := w.greeting()
	for address := range statemachine.Sorted(targets) {
		effects.Send(address, greeting)
	}
	if !w.blank {
		return
	}
	w.recall(effects)
	w.found(now, effects)
}

func (w *Node) nextInTurn(addresses []string) string {
	if len(addresses) == 0 {
		return ""
	}
	w.turn++
	return addresses[w.turn%len(addresses)]
}

// forgetMet drops the controllers that were not heard for long, once the founding is
// over: each that was ever replaced would stay otherwise.
func (w *Node) forgetMet(now time.Time) {
	if w.blank {
		return
	}
	for address, met := range w.met {
		if now.Sub(met.heard) > metFor {
			delete(w.met, address)
		}
	}
	w.heardOf = map[string]bool{}
}

func (w *Node) onHello(now time.Time, from string, hello Hello, effects *statemachine.Effects) {
	if hello.Self.SameAs(w.settings.Self) {
		return
	}
	w.met[hello.Self.Address] = meeting{hello: hello, heard: now}
	w.forgetMet(now)
	if w.blank {
		for _, controller := range hello.Known {
			if _, met := w.met[controller.Address]; !met && !w.heardOf[controller.Address] && !controller.SameAs(w.settings.Self) {
				// Greeted at once, and from then on with the others in their time.
				w.heardOf[controller.Address] = true
				effects.Send(controller.Address, w.greeting())
			}
		}
		w.learn(now, hello.Record, effects)
		return
	}
	if hello.Blank || hello.Record.Epoch < w.durable.Record.Epoch {
		effects.Send(from, w.greeting())
		return
	}
	w.learn(now, hello.Record, effects)
}

// Founding.

// isFounder tells whether this controller may ask for the first epoch.
func (w *Node) isFounder() bool {
	return w.settings.ClusterSize > 0 || len(w.durable.Founders) > 0
}

// enlist notes on the disk that this controller is one of the founders, so that it
// goes on founding when it is started again with other settings.
func (w *Node) enlist(effects *statemachine.Effects) {
	if !w.blank || !w.settings.Founding || w.settings.ClusterSize > 0 || len(w.durable.Founders) > 0 ||
		!slices.Contains(w.settings.Seeds, w.settings.Self.Address) {
		return
	}
	w.durable.Founders = slices.Compact(slices.Sorted(slices.Values(w.settings.Seeds)))
	w.saveDurable(effects, nil)
}

// founders gives the first voters once all of it was met and is blank.
func (w *Node) founders() ([]Controller, bool) {
	voters := []Controller{w.self()}
	for address, met := range statemachine.Sorted(w.met) {
		switch {
		case !met.hello.Blank:
			return nil, false
		case w.settings.ClusterSize > 0:
			if met.hello.ClusterSize != w.settings.ClusterSize {
				return nil, false
			}
			voters = append(voters, met.hello.Self)
		case slices.Contains(w.durable.Founders, address):
			voters = append(voters, met.hello.Self)
		}
	}
	wanted := len(w.durable.Founders)
	if w.settings.ClusterSize > 0 {
		wanted = w.settings.ClusterSize
	}
	return voters, len(voters) == wanted
}

func (w *Node) found(now time.Time, effects *statemachine.Effects) {
	if w.trying != nil || !w.isFounder() {
		return
	}
	voters, whole := w.founders()
	if !whole {
		return
	}
	slices.SortFunc(voters, func(left, right Controller) int { return cmp.Compare(left.Name, right.Name) })
	// The first by name asks, of those that know themselves as founders.
	for _, controller := range voters {
		if controller.SameAs(w.settings.Self) {
			break
		}
		if met := w.met[controller.Address]; met.hello.Founding || w.settings.ClusterSize > 0 {
			return
		}
	}
	w.begin(now, Record{Epoch: 1, Primary: w.settings.Self.Name, Backups: w.chooseBackups(voters), Voters: voters}, effects)
}

// Recalling.

func (w *Node) recall(effects *statemachine.Effects) {
	if _, listed := w.told.Voter(w.settings.Self); !listed {
		return
	}
	w.recalling = w.requests.Next()
	for _, controller := range w.told.Voters {
		if !controller.SameAs(w.settings.Self) {
			effects.Send(controller.Address, RecoveryRequest{Request: w.recalling})
		}
	}
}

// onRecallResponse gathers what the others remember. Whatever this controller granted
// before its disk was lost, a majority with it granted; those that answer must
// hold one other of any such majority.
func (w *Node) onRecallResponse(now time.Time, from string, recalled RecoveryResponse, effects *statemachine.Effects) {
	if !w.blank || recalled.Request != w.recalling || recalled.HardState.Record.Epoch == 0 {
		return
	}
	w.recalls[from] = recalled.HardState
	w.learn(now, recalled.HardState.Record, effects)
	entry, listed := w.told.Voter(w.settings.Self)
	if !w.blank || !listed {
		return
	}
	newest := HardState{DiskID: entry.DiskID, Record: w.told, Recovered: true}
	answered := 0
	for _, controller := range newest.Record.Voters {
		held, found := w.recalls[controller.Address]
		if !found || controller.SameAs(w.settings.Self) {
			continue
		}
		answered++
		if held.Record.Epoch != newest.Record.Epoch {
			continue
		}
		if newest.Promised.Before(held.Promised) {
			newest.Promised = held.Promised
		}
		if newest.AcceptedBallot.Before(held.AcceptedBallot) {
			newest.AcceptedBallot, newest.Accepted = held.AcceptedBallot, held.Accepted
		}
	}
	if answered <= len(newest.Record.Voters)-newest.Record.Majority() {
		return
	}
	w.durable = newest
	w.blank = false
	w.trying = nil
	// Whom it granted lease to before, nobody can tell.
	w.grantedUntil, w.grantedTo = now.Add(LeaseDuration), ""
	w.forgetful = now.Add(LeaseDuration)
	w.primaryHeard, w.decidedAt = now, now
	w.watchCopies(now)
	effects.Emit(logevent.EpochRecovered, "epoch", newest.Record.Epoch)
	w.saveDurable(effects, nil)
}

// Changing.

// acceptedAway tells whether this controller has taken a next epoch that another
// primary or another voters begins. The present primary gets no more lease from
// it, so that no two voters can give lease at a time.
func (w *Node) acceptedAway() bool {
	record, accepted := w.durable.Record, w.durable.Accepted
	return accepted.Epoch == record.Epoch+1 && (accepted.Primary != record.Primary || !slices.Equal(accepted.Voters, record.Voters))
}

// mayGrant tells whether the recorded primary may have this controller's grant.
func (w *Node) mayGrant(now time.Time) bool {
	if !w.member() || w.promisedAway() || w.acceptedAway() {
		return false
	}
	return !now.Before(w.grantedUntil) || w.grantedTo == w.durable.Record.Primary || statemachine.Mutated("grant-at-once")
}

// wantedVoters is how many controllers the voters should have.
func (w *Node) wantedVoters() int {
	if w.settings.ClusterSize > 0 {
		return w.settings.ClusterSize
	}
	return max(leastVoters, 2*w.settings.Tolerance+1)
}

// silence is how long a member of the voters has granted the primary nothing.
func (w *Node) silence(now time.Time, name string) time.Duration {
	heard := w.lastGrant[name]
	if heard.Before(w.actingSince) {
		heard = w.actingSince
	}
	return now.Sub(heard)
}

// watchVoters brings one standby controller in where the voters is too small, or in
// place of a member that is lost.
func (w *Node) watchVoters(now time.Time, effects *statemachine.Effects) {
	if !w.IsPrimary() || w.trying != nil || w.takingOver || w.gathered || statemachine.Mutated("fixed-voters") {
		return
	}
	for _, spare := range w.spares {
		if !spare.ready {
			return
		}
	}
	if w.durable.Accepted.Epoch == w.durable.Record.Epoch+1 {
		// What was begun is brought to its end before anything else.
		next := w.durable.Record
		next.Epoch++
		w.begin(now, next, effects)
		return
	}
	if !w.HoldsLease(now) || now.Sub(w.decidedAt) < changeAfter {
		return
	}
	leaver, leaves := w.leaver(now)
	if !leaves && len(w.durable.Record.Voters) >= w.wantedVoters() {
		if leaver, leaves = w.crowded(now); !leaves {
			return
		}
	}
	var stay []Controller
	for _, controller := range w.durable.Record.Voters {
		if !leaves || !controller.SameAs(leaver) {
			stay = append(stay, controller)
		}
	}
	next := w.durable.Record
	joiner, found := w.joiner(now, stay)
	switch {
	case found:
		stay = append(stay, joiner)
	case !leaves || !mayShrink(next):
		return
	}
	next.Epoch++
	next.Voters = stay
	next.Backups = slices.DeleteFunc(slices.Clone(next.Backups), func(name string) bool { return leaves && name == leaver.Name })
	slices.SortFunc(next.Voters, func(left, right Controller) int { return cmp.Compare(left.Name, right.Name) })
	w.begin(now, next, effects)
}

// leaver is a member that goes, or is lost: silent for a while, or sooner where a
// controller of its name stands by at another address.
func (w *Node) leaver(now time.Time) (Controller, bool) {
	record := w.durable.Record
	for _, controller := range record.Voters {
		if controller.SameAs(w.settings.Self) || slices.Contains(record.Backups, controller.Name) && !w.mayDrop(now, controller) {
			continue
		}
		if w.departing(now, controller) {
			return controller, true
		}
		silence := w.silence(now, controller.Name)
		succeeded := slices.ContainsFunc(w.Learners(now), func(standby Controller) bool { return standby.Name == controller.Name })
		if silence > replaceAfter || succeeded && silence > succeedAfter {
			return controller, true
		}
	}
	return Controller{}, false
}

// crowded is a member that makes room for a controller of another zone: its own
// has two members more.
func (w *Node) crowded(now time.Time) (Controller, bool) {
	record := w.durable.Record
	if w.settings.ClusterSize > 0 || !w.Serving(now) || now.Sub(w.decidedAt) < spreadAfter {
		return Controller{}, false
	}
	counts := map[string]int{}
	for _, controller := range record.Voters {
		counts[controller.Zone]++
	}
	for _, standby := range w.Learners(now) {
		for _, controller := range record.Voters {
			if controller.Name != record.Primary && !slices.Contains(record.Backups, controller.Name) && counts[controller.Zone] > counts[standby.Zone]+1 {
				return controller, true
			}
		}
	}
	return Controller{}, false
}

// joiner is the standby controller to come in: one that knows the present epoch, in
// the zone that has the fewest of those that stay.
func (w *Node) joiner(now time.Time, stay []Controller) (Controller, bool) {
	var best Controller
	found, fewest := false, 0
	for _, standby := range w.Learners(now) {
		met := w.met[standby.Address]
		if met.hello.Blank || met.hello.Record.Epoch != w.durable.Record.Epoch ||
			slices.ContainsFunc(stay, func(controller Controller) bool {
				return controller.Name == standby.Name || controller.Address == standby.Address
			}) {
			continue
		}
		count := 0
		for _, controller := range stay {
			if controller.Zone == standby.Zone {
				count++
			}
		}
		if !found || count < fewest {
			best, found, fewest = standby, true, count
		}
	}
	return best, found
}

// noteVoters logs who came into the voters and who left it.
func (w *Node) noteVoters(earlier, record Record, effects *statemachine.Effects) {
	var entered, left []string
	for _, controller := range record.Voters {
		if _, listed := earlier.Voter(controller); !listed {
			entered = append(entered, controller.Name)
			delete(w.departs, controller.Address)
			delete(w.lastGrant, controller.Name)
		}
	}
	for _, controller := range earlier.Voters {
		if _, listed := record.Voter(controller); !listed {
			left = append(left, controller.Name)
		}
	}
	effects.Emit(logevent.VotersChanged, "epoch", record.Epoch, "entered", entered, "left", left, "controllers", len(record.Voters))
}
