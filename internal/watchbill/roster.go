// The roster: who founds it, how a pilot learns of it, and how it changes. The
// founders are the seeds, told so at the first start of the whole fleet; the
// first epoch needs every one of them, so that a founder whose disk is lost
// can't help to found a second fleet. A pilot outside the roster stands by: it
// knows the record, grants nothing, and tells that it lives. A pilot in the
// roster whose disk is not the one that the record names learns the record and
// the open ballots from enough of the others first. The primary brings standby
// pilots in, one at a time, also in place of one that is lost, by an epoch that
// majorities of both the old and the new roster take.
package watchbill

import (
	"cmp"
	"slices"
	"time"

	"dahlialock/internal/foghorn"
	"dahlialock/internal/helm"
)

// Spans of the roster.
const (
	standbyEvery = time.Second
	memberEvery  = 5 * time.Second
	standbyFresh = 2500 * time.Millisecond
	replaceAfter = 3 * time.Second
	succeedAfter = time.Second
	changeAfter  = 500 * time.Millisecond
	spreadAfter  = 3 * time.Second
	leastRoster  = 3
)

// meeting is what a pilot last said of itself.
type meeting struct {
	hello Hello
	heard time.Time
}

func (watch *Watch) self() Pilot {
	self := watch.props.Self
	self.Disk = watch.durable.Disk
	return self
}

// member tells whether this pilot is in the newest roster that it knows, with
// the disk that the roster names.
func (watch *Watch) member() bool {
	entry, listed := watch.durable.Record.Entry(watch.props.Self)
	return !watch.blank && listed && entry.Disk == watch.durable.Disk
}

// mayEnter tells whether this pilot may take its part in a decided epoch at
// once: whatever it has granted is on this disk.
func (watch *Watch) mayEnter(record Record, entry Pilot) bool {
	if helm.Mutated("trust-lost-disk") {
		return true
	}
	if !watch.blank {
		return entry.Disk == watch.durable.Disk
	}
	return watch.durable.Disk != "" && entry.Disk == watch.durable.Disk || record.Epoch == 1 && watch.durable.Accepted.Epoch == 1
}

// forget makes a pilot that stood by learn from the others, since the roster
// that it is now in names a disk that it lost.
func (watch *Watch) forget(now time.Time) {
	watch.durable = Durable{Disk: watch.durable.Disk}
	watch.blank, watch.trying = true, nil
	watch.recalls = map[string]Durable{}
	watch.timers.ArmSooner("hello", now)
}

// Standbys lists the pilots outside the roster that were heard lately.
func (watch *Watch) Standbys(now time.Time) []Pilot {
	var standbys []Pilot
	for _, met := range helm.Sorted(watch.met) {
		if _, listed := watch.durable.Record.Entry(met.hello.Self); !listed && now.Sub(met.heard) < standbyFresh {
			standbys = append(standbys, met.hello.Self)
		}
	}
	return standbys
}

// Finding each other.

func (watch *Watch) greeting() Hello {
	return Hello{
		Self: watch.self(), Count: watch.props.Count, Known: watch.Known(), Blank: watch.blank,
		Founding: len(watch.durable.Founders) > 0, Record: watch.durable.Record,
	}
}

func (watch *Watch) hello(now time.Time, effects *helm.Effects) {
	targets := map[string]bool{}
	pause := helloEvery
	switch {
	case watch.blank:
		for _, seed := range append(slices.Clone(watch.props.Seeds), watch.durable.Founders...) {
			targets[seed] = true
		}
		for _, pilot := range append(watch.Known(), watch.told.Roster...) {
			targets[pilot.Address] = true
		}
		for address := range helm.Sorted(watch.heardOf) {
			targets[address] = true
		}
	case watch.member():
		pause = memberEvery
		for _, pilot := range watch.durable.Record.Roster {
			targets[pilot.Address] = true
		}
		targets[watch.nextInTurn(watch.props.Seeds)] = true
	default:
		// Its record may be so old that nobody in it is left.
		pause = standbyEvery
		if primary, found := watch.Primary(); found {
			targets[primary.Address] = true
		}
		addresses := slices.Clone(watch.props.Seeds)
		for _, pilot := range watch.durable.Record.Roster {
			addresses = append(addresses, pilot.Address)
		}
		targets[watch.nextInTurn(addresses)] = true
	}
	watch.timers.Arm("hello", now.Add(pause))
	delete(targets, watch.props.Self.Address)
	greeting := watch.greeting()
	for address := range helm.Sorted(targets) {
		effects.Send(address, greeting)
	}
	if !watch.blank {
		return
	}
	watch.recall(effects)
	watch.found(now, effects)
}

func (watch *Watch) nextInTurn(addresses []string) string {
	if len(addresses) == 0 {
		return ""
	}
	watch.turn++
	return addresses[watch.turn%len(addresses)]
}

func (watch *Watch) onHello(now time.Time, from string, hello Hello, effects *helm.Effects) {
	if hello.Self.At(watch.props.Self) {
		return
	}
	watch.met[hello.Self.Address] = meeting{hello: hello, heard: now}
	if watch.blank {
		for _, pilot := range hello.Known {
			if _, met := watch.met[pilot.Address]; !met && !watch.heardOf[pilot.Address] && !pilot.At(watch.props.Self) {
				// Greeted at once, and from then on with the others in their time.
				watch.heardOf[pilot.Address] = true
				effects.Send(pilot.Address, watch.greeting())
			}
		}
		watch.learn(now, hello.Record, effects)
		return
	}
	if hello.Blank || hello.Record.Epoch < watch.durable.Record.Epoch {
		effects.Send(from, watch.greeting())
		return
	}
	watch.learn(now, hello.Record, effects)
}

// Founding.

// isFounder tells whether this pilot may ask for the first epoch.
func (watch *Watch) isFounder() bool {
	return watch.props.Count > 0 || len(watch.durable.Founders) > 0
}

// enlist notes on the disk that this pilot is one of the founders, so that it
// goes on founding when it is started again with other settings.
func (watch *Watch) enlist(effects *helm.Effects) {
	if !watch.blank || !watch.props.Founding || watch.props.Count > 0 || len(watch.durable.Founders) > 0 ||
		!slices.Contains(watch.props.Seeds, watch.props.Self.Address) {
		return
	}
	watch.durable.Founders = slices.Compact(slices.Sorted(slices.Values(watch.props.Seeds)))
	watch.saveDurable(effects, nil)
}

// founders gives the first roster once all of it was met and is blank.
func (watch *Watch) founders() ([]Pilot, bool) {
	roster := []Pilot{watch.self()}
	for address, met := range helm.Sorted(watch.met) {
		switch {
		case !met.hello.Blank:
			return nil, false
		case watch.props.Count > 0:
			if met.hello.Count != watch.props.Count {
				return nil, false
			}
			roster = append(roster, met.hello.Self)
		case slices.Contains(watch.durable.Founders, address):
			roster = append(roster, met.hello.Self)
		}
	}
	wanted := len(watch.durable.Founders)
	if watch.props.Count > 0 {
		wanted = watch.props.Count
	}
	return roster, len(roster) == wanted
}

func (watch *Watch) found(now time.Time, effects *helm.Effects) {
	if watch.trying != nil || !watch.isFounder() {
		return
	}
	roster, whole := watch.founders()
	if !whole {
		return
	}
	slices.SortFunc(roster, func(left, right Pilot) int { return cmp.Compare(left.Name, right.Name) })
	// The first by name asks, of those that know themselves as founders.
	for _, pilot := range roster {
		if pilot.At(watch.props.Self) {
			break
		}
		if met := watch.met[pilot.Address]; met.hello.Founding || watch.props.Count > 0 {
			return
		}
	}
	watch.begin(now, Record{Epoch: 1, Primary: watch.props.Self.Name, Backups: watch.chooseBackups(roster), Roster: roster}, effects)
}

// Recalling.

func (watch *Watch) recall(effects *helm.Effects) {
	if _, listed := watch.told.Entry(watch.props.Self); !listed {
		return
	}
	watch.recallNonce++
	for _, pilot := range watch.told.Roster {
		if !pilot.At(watch.props.Self) {
			effects.Send(pilot.Address, RecallAsk{Nonce: watch.recallNonce})
		}
	}
}

// onRecallReturn gathers what the others remember. Whatever this pilot granted
// before its disk was lost, a majority with it granted; those that answer must
// hold one other of any such majority.
func (watch *Watch) onRecallReturn(now time.Time, from string, recalled RecallReturn, effects *helm.Effects) {
	if !watch.blank || recalled.Nonce != watch.recallNonce || recalled.Durable.Record.Epoch == 0 {
		return
	}
	watch.recalls[from] = recalled.Durable
	watch.learn(now, recalled.Durable.Record, effects)
	entry, listed := watch.told.Entry(watch.props.Self)
	if !watch.blank || !listed {
		return
	}
	newest := Durable{Disk: entry.Disk, Record: watch.told, Recalled: true}
	answered := 0
	for _, pilot := range newest.Record.Roster {
		held, found := watch.recalls[pilot.Address]
		if !found || pilot.At(watch.props.Self) {
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
	if answered <= len(newest.Record.Roster)-newest.Record.Majority() {
		return
	}
	watch.durable = newest
	watch.blank = false
	watch.trying = nil
	// Whom it granted tenure to before, nobody can tell.
	watch.grantedUntil, watch.grantedTo = now.Add(TenureLength), ""
	watch.forgetful = now.Add(TenureLength)
	watch.primaryHeard, watch.decidedAt = now, now
	watch.watchCopies(now)
	effects.Note(foghorn.Recalled, "epoch", newest.Record.Epoch)
	watch.saveDurable(effects, nil)
}

// Changing.

// acceptedAway tells whether this pilot has taken a next epoch that another
// primary or another roster begins. The present primary gets no more tenure from
// it, so that no two rosters can give tenure at a time.
func (watch *Watch) acceptedAway() bool {
	record, accepted := watch.durable.Record, watch.durable.Accepted
	return accepted.Epoch == record.Epoch+1 && (accepted.Primary != record.Primary || !slices.Equal(accepted.Roster, record.Roster))
}

// mayGrant tells whether the recorded primary may have this pilot's grant.
func (watch *Watch) mayGrant(now time.Time) bool {
	if !watch.member() || watch.promisedAway() || watch.acceptedAway() {
		return false
	}
	return !now.Before(watch.grantedUntil) || watch.grantedTo == watch.durable.Record.Primary
}

// wantedRoster is how many pilots the roster should have.
func (watch *Watch) wantedRoster() int {
	if watch.props.Count > 0 {
		return watch.props.Count
	}
	return max(leastRoster, 2*watch.props.Tolerance+1)
}

// silence is how long a member of the roster has granted the primary nothing.
func (watch *Watch) silence(now time.Time, name string) time.Duration {
	heard := watch.lastGrant[name]
	if heard.Before(watch.actingSince) {
		heard = watch.actingSince
	}
	return now.Sub(heard)
}

// watchRoster brings one standby pilot in where the roster is too small, or in
// place of a member that is lost.
func (watch *Watch) watchRoster(now time.Time, effects *helm.Effects) {
	if !watch.IsPrimary() || watch.trying != nil || watch.takingOver || watch.gathered || helm.Mutated("fixed-roster") {
		return
	}
	for _, spare := range watch.spares {
		if !spare.ready {
			return
		}
	}
	if watch.durable.Accepted.Epoch == watch.durable.Record.Epoch+1 {
		// What was begun is brought to its end before anything else.
		next := watch.durable.Record
		next.Epoch++
		watch.begin(now, next, effects)
		return
	}
	if !watch.HoldsTenure(now) || now.Sub(watch.decidedAt) < changeAfter {
		return
	}
	leaver, leaves := watch.leaver(now)
	if !leaves && len(watch.durable.Record.Roster) >= watch.wantedRoster() {
		if leaver, leaves = watch.crowded(now); !leaves {
			return
		}
	}
	var stay []Pilot
	for _, pilot := range watch.durable.Record.Roster {
		if !leaves || !pilot.At(leaver) {
			stay = append(stay, pilot)
		}
	}
	joiner, found := watch.joiner(now, stay)
	if !found {
		return
	}
	next := watch.durable.Record
	next.Epoch++
	next.Roster = append(stay, joiner)
	slices.SortFunc(next.Roster, func(left, right Pilot) int { return cmp.Compare(left.Name, right.Name) })
	watch.begin(now, next, effects)
}

// leaver is a member that is lost: silent for a while, or sooner where a pilot
// of its name stands by at another address.
func (watch *Watch) leaver(now time.Time) (Pilot, bool) {
	record := watch.durable.Record
	for _, pilot := range record.Roster {
		if pilot.At(watch.props.Self) || slices.Contains(record.Backups, pilot.Name) {
			continue
		}
		silence := watch.silence(now, pilot.Name)
		succeeded := slices.ContainsFunc(watch.Standbys(now), func(standby Pilot) bool { return standby.Name == pilot.Name })
		if silence > replaceAfter || succeeded && silence > succeedAfter {
			return pilot, true
		}
	}
	return Pilot{}, false
}

// crowded is a member that makes room for a pilot of another locality: its own
// has two members more.
func (watch *Watch) crowded(now time.Time) (Pilot, bool) {
	record := watch.durable.Record
	if watch.props.Count > 0 || !watch.Serving(now) || now.Sub(watch.decidedAt) < spreadAfter {
		return Pilot{}, false
	}
	counts := map[string]int{}
	for _, pilot := range record.Roster {
		counts[pilot.Locality]++
	}
	for _, standby := range watch.Standbys(now) {
		for _, pilot := range record.Roster {
			if pilot.Name != record.Primary && !slices.Contains(record.Backups, pilot.Name) && counts[pilot.Locality] > counts[standby.Locality]+1 {
				return pilot, true
			}
		}
	}
	return Pilot{}, false
}

// joiner is the standby pilot to come in: one that knows the present epoch, in
// the locality that has the fewest of those that stay.
func (watch *Watch) joiner(now time.Time, stay []Pilot) (Pilot, bool) {
	var best Pilot
	found, fewest := false, 0
	for _, standby := range watch.Standbys(now) {
		met := watch.met[standby.Address]
		if met.hello.Blank || met.hello.Record.Epoch != watch.durable.Record.Epoch ||
			slices.ContainsFunc(stay, func(pilot Pilot) bool { return pilot.Name == standby.Name || pilot.Address == standby.Address }) {
			continue
		}
		count := 0
		for _, pilot := range stay {
			if pilot.Locality == standby.Locality {
				count++
			}
		}
		if !found || count < fewest {
			best, found, fewest = standby, true, count
		}
	}
	return best, found
}

// noteRoster logs who came into the roster and who left it.
func (watch *Watch) noteRoster(earlier, record Record, effects *helm.Effects) {
	var entered, left []string
	for _, pilot := range record.Roster {
		if _, listed := earlier.Entry(pilot); !listed {
			entered = append(entered, pilot.Name)
			delete(watch.lastGrant, pilot.Name)
		}
	}
	for _, pilot := range earlier.Roster {
		if _, listed := record.Entry(pilot); !listed {
			left = append(left, pilot.Name)
		}
	}
	effects.Note(foghorn.RosterChanged, "epoch", record.Epoch, "entered", entered, "left", left, "pilots", len(record.Roster))
}
