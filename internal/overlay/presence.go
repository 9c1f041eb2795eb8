// The cells of routed topics, and what their peers tell each other. The unit
// square of a plane is cut into four by four cells; a topic's number picks one,
// and the square in the middle of it is the topic's area. This daemon has one
// peer in each cell that its callers subscribe or publish in, and it stays for
// a good while after its last use, so that callers who are cut off and come
// back join nothing anew. All peers of a cell subscribe to the whole of it, so
// by the overlay's mutual discovery each knows all the others.
//
// Peers of one cell tell each other in notices how many subscribers each topic
// has on their daemon. A peer's changes are numbered; they are gathered for a
// moment and go to all others of the cell, in one frame for each daemon that
// holds what there is to tell it in all cells. A topic's first subscriber goes
// out within the gathering time, another count within countsWait. Whoever is
// newly known is told the whole. Who finds that a notice is missing asks for
// the whole, and every checkEvery each daemon tells the others the numbers of
// its newest notices and of its peers, which shows what was lost, whoever lost
// it: a notice, or the word of a peer.
//
// The overlay sends by timers of its own: the owner runs Due at NextDue, as for
// joins, and has nothing to call at the end of its turn.

package overlay

import (
	"slices"
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/statemachine"
)

// Spans and bounds of the cells.
const (
	cellSide = 4
	// CellCount is how many cells a plane has.
	CellCount = cellSide * cellSide
	// gatherFor lets one frame carry what several callers, or several lines of
	// one caller, bring about almost at once.
	gatherFor = 2 * time.Millisecond
	// paceEach spaces the frames to all others so that their number in a second
	// is bounded, however many gateways there are.
	paceEach      = time.Millisecond
	countsDelay   = 200 * time.Millisecond
	checkInterval = 2 * time.Second
	// numbersEveryChecks is in how many checks one tells the numbers also to those that
	// may know them, which shows them neighbours in cells that they have no part in.
	numbersEveryChecks = 5
	checkAfter         = 10 * time.Millisecond
	checkAgain         = 250 * time.Millisecond
	requestRetry       = 300 * time.Millisecond
	// maxRequestDoublings bounds how long a question waits for another.
	maxRequestDoublings = 3
	// membersWait lets joins settle before peers compare whom they know.
	membersWait = 100 * time.Millisecond
	// membersQuiet is for how long whom a cell knows must have stayed the same
	// before it is compared: while many join, all differ from all, and the checks
	// that each sends to all others make them level by themselves.
	membersQuiet = 400 * time.Millisecond
	reachTimeout = time.Second
	keepFor      = 10 * time.Minute
	// unknownDaemonsPerCheck is how many daemons of which no peer is known are told in
	// one comparison, in turn.
	unknownDaemonsPerCheck = 16
)

// SetSubscribers says that this daemon now has so many subscribers of a topic; none ends
// it.
func (o *Overlay) SetSubscribers(now time.Time, planeName, topic string, count int, effects *statemachine.Effects) {
	number := config.TopicHash(topic)
	if count == 0 && o.cellAt(planeName, number) == nil {
		return
	}
	here := o.cell(now, planeName, CellOf(number), effects)
	here.lastUse = now
	earlier := here.counts[number]
	if earlier == uint32(count) {
		return
	}
	if count == 0 {
		delete(here.counts, number)
	} else {
		here.counts[number] = uint32(count)
	}
	told, changed := here.changed[number]
	if !changed {
		told = earlier
		here.changed[number] = told
	}
	due := now.Add(countsDelay)
	switch {
	case told == uint32(count):
		delete(here.changed, number)
		return
	case told == 0:
		due = now.Add(gatherFor)
		if due.Before(o.paceUntil) {
			due = o.paceUntil
		}
	}
	here.due = statemachine.Earliest(here.due, due)
	o.timers.ArmSooner("notices", here.due)
}

// AwaitCell makes sure that a topic's cell has a peer here that knows the others of
// the cell and their subscribers, and then calls; at once, if it does.
func (o *Overlay) AwaitCell(now time.Time, planeName, topic string, then Completion, effects *statemachine.Effects) {
	here := o.cell(now, planeName, CellOf(config.TopicHash(topic)), effects)
	here.lastUse = now
	if here.joined() {
		then(now, effects, true)
		return
	}
	if len(here.waiting) == 0 {
		here.until = now.Add(reachTimeout)
		o.timers.ArmSooner("reach", here.until)
	}
	here.waiting = append(here.waiting, then)
}

// SubscribedDaemons lists the other daemons that have subscribers of a topic, in order.
func (o *Overlay) SubscribedDaemons(planeName, topic string) []string {
	number := config.TopicHash(topic)
	here := o.cellAt(planeName, number)
	if here == nil {
		return nil
	}
	var names []string
	for _, name := range here.order {
		if here.members[name].counts[number] > 0 {
			names = append(names, name)
		}
	}
	return names
}

// Subscribers counts the subscribers of a topic on all other daemons.
func (o *Overlay) Subscribers(planeName, topic string) int {
	number := config.TopicHash(topic)
	here := o.cellAt(planeName, number)
	if here == nil {
		return 0
	}
	sum := 0
	for _, known := range here.members {
		sum += int(known.counts[number])
	}
	return sum
}

func (o *Overlay) cellAt(planeName string, topic uint64) *cell {
	plane, found := o.planes[planeName]
	if !found {
		return nil
	}
	return plane.cells[CellOf(topic)]
}

// cell gives a cell of a plane, and its peer here, which begins to join if it
// is new.
func (o *Overlay) cell(now time.Time, planeName string, number uint8, effects *statemachine.Effects) *cell {
	where, found := o.planes[planeName]
	if !found {
		where = &plane{name: planeName}
		o.planes[planeName] = where
	}
	if here := where.cells[number]; here != nil {
		return here
	}
	here := &cell{
		plane: where, number: number, counts: map[uint64]uint32{}, changed: map[uint64]uint32{},
		members: map[string]*member{}, owed: map[string]bool{}, lastUse: now,
	}
	where.cells[number] = here
	peer, _ := o.peer(now, planeName, cellArea(number))
	peer.self = cellPeer(peer.self.Key, number, peer.self.Change)
	peer.region = newRegion(peer.self.At)
	peer.cell, here.peer = here, peer
	peer.holders++
	o.whenJoined(now, peer, true, nil, effects)
	o.scheduleCheck(now)
	return here
}

// completeWaiting calls those who waited for a cell.
func (o *Overlay) completeWaiting(now time.Time, effects *statemachine.Effects) {
	for _, where := range statemachine.Sorted(o.planes) {
		for _, here := range where.cells {
			if here == nil || len(here.waiting) == 0 {
				continue
			}
			done := here.joined()
			if !done && here.until.After(now) {
				o.timers.ArmSooner("reach", here.until)
				continue
			}
			here.reached = true
			waiting := here.waiting
			here.waiting = nil
			for _, then := range waiting {
				then(now, effects, done)
			}
		}
	}
}

// meet notes another daemon's peer in the cell, which gets the whole.
func (o *Overlay) meet(now time.Time, here *cell, key PeerKey) {
	earlier, found := here.members[key.Daemon]
	if found && (earlier.key == key || earlier.key.Incarnation > key.Incarnation || earlier.key.Incarnation == key.Incarnation && earlier.key.Number > key.Number) {
		return
	}
	if found {
		here.digest ^= keyHash(earlier.key)
	} else {
		position, _ := slices.BinarySearch(here.order, key.Daemon)
		here.order = slices.Insert(here.order, position, key.Daemon)
	}
	// It tells the whole by itself once it has met this peer, so that it is asked
	// only if that does not come.
	here.members[key.Daemon] = &member{key: key, requested: now}
	here.digest ^= keyHash(key)
	here.changedAt = now
	o.owe(now, here, key.Daemon)
}

// owe lets the whole go to a daemon once what else there is for it has been
// gathered.
func (o *Overlay) owe(now time.Time, here *cell, daemon string) {
	here.owed[daemon] = true
	o.timers.ArmSooner("owed", now.Add(gatherFor))
}

// notify puts a notice into the frame to a daemon.
func (o *Overlay) notify(daemon, planeName string, notice Notice) *Notices {
	gateway, alive := o.gateways[daemon]
	if !alive {
		return nil
	}
	o.Counts.Notices[notice.Kind]++
	o.Counts.Announced[notice.Kind] += uint64(max(len(notice.Topics), len(notice.Counts)) + len(notice.Members))
	frame := o.signalsTo(gateway.Address)
	for position := range frame.Notices {
		if frame.Notices[position].Plane == planeName {
			frame.Notices[position].Notices = append(frame.Notices[position].Notices, notice)
			return &frame.Notices[position]
		}
	}
	frame.Notices = append(frame.Notices, Notices{Daemon: o.daemon, Incarnation: o.incarnation, Plane: planeName, Notices: []Notice{notice}})
	return &frame.Notices[len(frame.Notices)-1]
}

// sendOwed tells the whole to all who are newly known or asked for it.
func (o *Overlay) sendOwed() {
	for _, where := range statemachine.Sorted(o.planes) {
		for _, here := range where.cells {
			if here == nil || len(here.owed) == 0 {
				continue
			}
			complete := here.completeNotice()
			for daemon := range statemachine.Sorted(here.owed) {
				o.notify(daemon, where.name, complete)
			}
			clear(here.owed)
		}
	}
}

// sendChanges sends the changes of the cells that are due. With one that is due
// go those of the others, since the frames go out anyhow.
func (o *Overlay) sendChanges(now time.Time) {
	var next time.Time
	any := false
	for _, where := range o.planes {
		for _, here := range where.cells {
			if here == nil || here.due.IsZero() {
				continue
			}
			any = any || !here.due.After(now)
			next = statemachine.Earliest(next, here.due)
		}
	}
	if !any {
		if !next.IsZero() {
			o.timers.ArmSooner("notices", next)
		}
		return
	}
	o.pace(now)
	for _, where := range statemachine.Sorted(o.planes) {
		for _, here := range where.cells {
			if here == nil || here.due.IsZero() {
				continue
			}
			here.due = time.Time{}
			if len(here.changed) == 0 {
				continue
			}
			// The whole that is owed goes first, so that the changes follow it.
			o.sendOwed()
			here.sequence++
			notice := here.notice(NoticeChanges)
			notice.Digest = 0
			for topic := range statemachine.Sorted(here.changed) {
				notice.add(topic, here.counts[topic])
			}
			clear(here.changed)
			for _, daemon := range here.order {
				o.notify(daemon, where.name, notice)
			}
		}
	}
}

// pace sets when the next changes may go out to all. While there is always
// something to tell it is told less and less often, which makes fewer and fuller
// frames of it.
func (o *Overlay) pace(now time.Time) {
	if now.Sub(o.paceUntil) < gatherFor {
		o.paced++
	} else {
		o.paced = 0
	}
	o.paceUntil = now.Add(min(backoff(paceEach*time.Duration(len(o.gateways)), o.paced), max(countsDelay, paceEach*time.Duration(len(o.gateways)))))
}

// check tells others the numbers of the newest notices here: all those that
// share a cell, and some of the rest in turn.
func (o *Overlay) check(now time.Time) {
	if o.checks++; now.Sub(o.checked) >= checkInterval {
		o.checks = 0
	}
	o.checked = now
	o.checkTurn++
	if statemachine.Mutated("no-notice-checks") {
		return
	}
	any := false
	for _, where := range statemachine.Sorted(o.planes) {
		sharing := map[string]bool{}
		for _, here := range where.cells {
			if here == nil {
				continue
			}
			any = true
			for daemon := range here.members {
				sharing[daemon] = true
			}
		}
		var strangers []string
		for daemon := range statemachine.Sorted(o.gateways) {
			if sharing[daemon] && o.checkTurn%numbersEveryChecks != 0 {
				o.levelWith(daemon, where)
			} else if sharing[daemon] {
				o.checkWith(daemon, where, false)
			} else {
				strangers = append(strangers, daemon)
			}
		}
		for range min(len(strangers), unknownDaemonsPerCheck) {
			o.checkWith(strangers[where.turn%len(strangers)], where, true)
			where.turn++
		}
	}
	if any {
		o.timers.Arm("checks", now.Add(checkInterval))
	}
}

// levelWith tells one daemon a sum of the numbers of the newest notices here: it
// asks for the numbers themselves unless it knows them all.
func (o *Overlay) levelWith(daemon string, where *plane) {
	gateway, alive := o.gateways[daemon]
	if !alive {
		return
	}
	frame := o.signalsTo(gateway.Address)
	o.Counts.Levels++
	level := where.level(func(here *cell) (levelPart, bool) {
		return levelPart{number: here.peer.self.Key.Number, sequence: here.sequence}, true
	})
	frame.Notices = append(frame.Notices, Notices{Daemon: o.daemon, Incarnation: o.incarnation, Plane: where.name, Level: level})
}

// levelPart is what a daemon's level says of one cell.
type levelPart struct{ number, sequence uint64 }

// level sums up cells: who is in each, and a daemon's number and newest notice
// there. It is 0 if nothing is told of any. Who has no part in one of a daemon's
// cells never finds its level right, and is told the numbers: from them its peers
// learn of neighbours in that cell.
func (p *plane) level(told func(here *cell) (levelPart, bool)) uint64 {
	sum := uint64(0)
	for _, here := range p.cells {
		if here == nil {
			continue
		}
		if part, known := told(here); known {
			sum = mix(sum ^ mix(uint64(here.number)^mix(part.number^mix(part.sequence^here.digestHere()))))
		}
	}
	return sum
}

// levelOf is the level of another daemon's life as far as it is known here.
func (p *plane) levelOf(daemon string, incarnation uint64) uint64 {
	return p.level(func(here *cell) (levelPart, bool) {
		known, found := here.members[daemon]
		if !found || !known.heard || known.key.Incarnation != incarnation {
			return levelPart{}, false
		}
		return levelPart{number: known.key.Number, sequence: known.sequence}, true
	})
}

// handleLevel asks for the numbers of the newest notices unless all are known.
func (o *Overlay) handleLevel(where *plane, told Notices) {
	gateway := o.gateways[told.Daemon]
	if where != nil && where.levelOf(told.Daemon, told.Incarnation) == told.Level {
		return
	}
	frame := o.signalsTo(gateway.Address)
	frame.Notices = append(frame.Notices, Notices{Daemon: o.daemon, Incarnation: o.incarnation, Plane: told.Plane, Answer: true})
}

// scheduleCheck lets a comparison follow a change in whom this daemon knows, so
// that joins at the same time find each other.
func (o *Overlay) scheduleCheck(now time.Time) {
	at := o.checked.Add(backoff(checkAgain, o.checks))
	if soon := now.Add(checkAfter); at.Before(soon) {
		at = soon
	}
	o.timers.ArmSooner("checks", at)
}

// checkWith tells one daemon the numbers of the newest notices of all cells
// here, and asks for its own if need be.
func (o *Overlay) checkWith(daemon string, where *plane, answer bool) {
	for _, here := range where.cells {
		if here == nil {
			continue
		}
		if frame := o.notify(daemon, where.name, here.notice(NoticeCheck)); frame != nil {
			frame.Answer = frame.Answer || answer
		}
	}
}

// handleNotices handles what another daemon's peers tell.
func (o *Overlay) handleNotices(now time.Time, told Notices) {
	gateway, alive := o.gateways[told.Daemon]
	if !alive || told.Incarnation < gateway.Joined || told.Daemon == o.daemon {
		return
	}
	where, found := o.planes[told.Plane]
	if told.Level != 0 {
		o.handleLevel(where, told)
	}
	for _, notice := range told.Notices {
		if notice.Cell >= CellCount || !notice.fits() {
			continue
		}
		key := PeerKey{Daemon: told.Daemon, Incarnation: told.Incarnation, Number: notice.Number}
		if found && notice.Kind == NoticeCheck {
			o.border(now, where, key, notice)
		}
		if !found || where.cells[notice.Cell] == nil {
			if notice.Kind != NoticeAbsent && notice.Kind != NoticeCheck {
				o.notify(told.Daemon, told.Plane, Notice{Kind: NoticeAbsent, Cell: notice.Cell})
			}
			continue
		}
		o.handleNotice(now, where.cells[notice.Cell], key, notice)
	}
	if found && told.Answer {
		o.checkWith(told.Daemon, where, false)
	}
}

// border lets the peers here whose regions a peer of another cell would cut
// learn of it.
func (o *Overlay) border(now time.Time, where *plane, key PeerKey, notice Notice) {
	other := cellPeer(key, notice.Cell, notice.Change)
	for _, here := range where.cells {
		if here == nil || here.number == notice.Cell || here.peer.joining != nil || !here.peer.region.cuts(other.At) {
			continue
		}
		if _, known := here.peer.known[key]; !known {
			o.learn(now, here.peer, key, []Peer{other}, false)
		}
	}
}

func (o *Overlay) handleNotice(now time.Time, here *cell, key PeerKey, notice Notice) {
	known, found := here.members[key.Daemon]
	if notice.Kind == NoticeAbsent {
		if found {
			o.drop(now, here.peer, known.key)
		}
		return
	}
	if !found || known.key != key {
		if found && known.key.Incarnation == key.Incarnation && known.key.Number > key.Number {
			return
		}
		o.learn(now, here.peer, key, []Peer{cellPeer(key, here.number, notice.Change)}, true)
		if known, found = here.members[key.Daemon]; !found || known.key != key {
			return
		}
	}
	switch notice.Kind {
	case NoticeComplete:
		if known.heard && notice.Sequence < known.sequence {
			return
		}
		known.heard, known.sequence, known.asks, known.wanted = true, notice.Sequence, 0, false
		known.counts = make(map[uint64]uint32, len(notice.Topics))
		known.apply(notice)
	case NoticeChanges:
		if statemachine.Mutated("gaps-unheeded") && known.heard {
			known.sequence = max(known.sequence, notice.Sequence-1)
		}
		switch {
		case known.heard && notice.Sequence <= known.sequence:
		case known.heard && notice.Sequence == known.sequence+1:
			known.sequence = notice.Sequence
			known.apply(notice)
		default:
			o.requestComplete(now, here, known)
		}
	case NoticeCheck:
		if !known.heard || notice.Sequence > known.sequence {
			o.requestComplete(now, here, known)
		}
	case NoticeAsk:
		o.owe(now, here, key.Daemon)
	case NoticeDiffers, NoticeMissing:
		o.level(here, key, notice)
		// It knows now, or soon, what is known here.
		notice.Digest = here.digestHere()
	case NoticeMembers:
		o.merge(now, here, key, notice.Members)
	}
	if notice.Digest == 0 {
		return
	}
	known.digestAt = now
	if known.digest = notice.Digest; known.digest != here.digestHere() {
		o.timers.ArmSooner("members", now.Add(membersWait))
	}
}

// merge learns the peers of a cell that another one names.
func (o *Overlay) merge(now time.Time, here *cell, sender PeerKey, members []PeerKey) {
	var others []Peer
	for _, each := range members {
		if known, met := here.members[each.Daemon]; !met || known.key != each {
			others = append(others, cellPeer(each, here.number, 0))
		}
	}
	o.learn(now, here.peer, sender, others, false)
}

// level names to a peer those of the cell that it did not sum up, and asks it for
// those whom nobody here knows.
func (o *Overlay) level(here *cell, key PeerKey, notice Notice) {
	summed := make(map[uint32]bool, len(notice.Counts))
	for _, hash := range notice.Counts {
		summed[hash] = true
	}
	var lacked []PeerKey
	matched := 0
	for _, name := range here.order {
		switch other := here.members[name].key; {
		case other == key:
		case summed[shortHash(other)]:
			matched++
		default:
			lacked = append(lacked, other)
		}
	}
	if len(lacked) > 0 {
		answer := here.notice(NoticeMembers)
		answer.Members = lacked
		o.notify(key.Daemon, here.plane.name, answer)
	}
	if matched < len(summed) && notice.Kind == NoticeDiffers {
		o.notify(key.Daemon, here.plane.name, here.sums(NoticeMissing, key))
	}
}

// compareMembers tells, in each cell, one of those that seem to know others
// there than are known here whom this peer knows.
func (o *Overlay) compareMembers(now time.Time) {
	for _, where := range statemachine.Sorted(o.planes) {
		for _, here := range where.cells {
			if here == nil {
				continue
			}
			if quiet := here.changedAt.Add(membersQuiet); quiet.After(now) && !statemachine.Mutated("no-retry-pauses") {
				o.timers.ArmSooner("members", quiet)
				continue
			}
			digest := here.digestHere()
			var differing []*member
			for _, name := range here.order {
				known := here.members[name]
				if known.digest == 0 || known.digest == digest {
					continue
				}
				if !known.digestAt.After(here.changedAt) && !statemachine.Mutated("no-retry-pauses") {
					// It was told before the last change here; the next check tells
					// whether they still differ.
					continue
				}
				if known.compared == digest^known.digest && now.Sub(known.comparedAt) < checkInterval {
					continue
				}
				differing = append(differing, known)
			}
			if len(differing) == 0 {
				continue
			}
			known := differing[here.turn%uint64(len(differing))]
			here.turn++
			known.compared, known.comparedAt = digest^known.digest, now
			o.notify(known.key.Daemon, where.name, here.sums(NoticeDiffers, known.key))
		}
	}
}

// requestComplete asks a peer for the whole, at once or when the answer to an earlier question
// is overdue.
func (o *Overlay) requestComplete(now time.Time, here *cell, known *member) {
	if due := known.nextRequestAt(); due.After(now) {
		known.wanted = true
		o.timers.ArmSooner("asks", due)
		return
	}
	known.requested, known.wanted = now, false
	known.asks++
	o.notify(known.key.Daemon, here.plane.name, here.notice(NoticeAsk))
}

// retryRequests asks those again whose answers are overdue.
func (o *Overlay) retryRequests(now time.Time) {
	for _, where := range statemachine.Sorted(o.planes) {
		for _, here := range where.cells {
			if here == nil {
				continue
			}
			for _, name := range here.order {
				if known := here.members[name]; known.wanted {
					o.requestComplete(now, here, known)
				}
			}
		}
	}
}

// releaseCells lets the peers of cells go that nobody used for long.
func (o *Overlay) releaseCells(now time.Time) {
	for _, where := range statemachine.Sorted(o.planes) {
		for number, here := range where.cells {
			if here == nil || len(here.counts) > 0 || len(here.changed) > 0 || len(here.waiting) > 0 || now.Sub(here.lastUse) < keepFor {
				continue
			}
			where.cells[number] = nil
			here.peer.cell = nil
			o.leave(here.peer)
		}
	}
}
