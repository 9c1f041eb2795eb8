package overlay

import (
	"slices"
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/statemachine"
)

// This file has the cells of routed topics, and what their peers announce to each
// other. The unit square of a plane is cut into four by four cells; a topic's number
// picks one, and a square in the middle of it is the area of all the cell's peers.
// This daemon has one peer in each cell in which its sessions subscribe or publish. It
// stays for keepFor after its last use, so that clients that are disconnected and come
// back don't have it join anew. All peers of a cell subscribe to its area, so that by
// the overlay's mutual discovery each knows all the others, its members.
//
// The peers of a cell announce to each other in notices how many subscribers each
// topic has on their daemon. Changes are gathered for a moment and go to all members as
// a numbered NoticeChanges, with those of all cells in one frame for each daemon. A
// topic's first subscriber is announced within the gathering time or the pace, another
// change of a count within countsDelay. A new member is sent a NoticeComplete. A peer
// that finds that it lacks a notice requests a NoticeComplete. Every checkInterval each
// daemon sends the others the sequences of its newest notices and the digests of its
// cells' members, which shows what was lost: a notice, or the knowledge of a peer.
//
// All of this is sent within calls or by the timers of Tick.

// Times and bounds of the cells.
const (
	// cellSide is how many cells there are along an axis.
	cellSide = 4
	// CellCount is how many cells a plane has.
	CellCount = cellSide * cellSide
	// gatherFor is how long changes are gathered, so that one frame has what several
	// clients, or several requests of one, change almost at once.
	gatherFor = 2 * time.Millisecond
	// paceEach is the pause for each gateway between two announcements to all, so that
	// the frames in a second are bounded, however many gateways there are.
	paceEach = time.Millisecond
	// countsDelay is how long a changed count may wait, unless it was 0 before.
	countsDelay   = 200 * time.Millisecond
	checkInterval = 2 * time.Second
	// numbersEveryChecks is every how many checks the sequences themselves are sent in
	// place of a digest. They show neighbours in cells that a receiver has no peer in.
	numbersEveryChecks = 5
	// checkAfter is how soon a check follows a change of the peers known here, and
	// checkAgain how soon it follows another check for that reason, doubled in a row.
	checkAfter = 10 * time.Millisecond
	checkAgain = 250 * time.Millisecond
	// requestRetry is after what time a NoticeComplete is requested again; it doubles
	// up to maxRequestDoublings times.
	requestRetry        = 300 * time.Millisecond
	maxRequestDoublings = 3
	// membersWait lets joins become stable before peers compare whom they know.
	membersWait = 100 * time.Millisecond
	// membersQuiet is for how long the members of a cell must have stayed the same
	// before they are compared: while many join, all differ from all, and the checks
	// that each sends to all others make them equal by themselves.
	membersQuiet = 400 * time.Millisecond
	// reachTimeout is how long AwaitCell waits at most.
	reachTimeout = time.Second
	// keepFor is how long a cell without subscribers here keeps its peer.
	keepFor = 10 * time.Minute
	// unknownDaemonsPerCheck is to how many daemons with which no cell is shared a
	// check goes, in turn.
	unknownDaemonsPerCheck = 16
)

// SetSubscribers sets how many subscribers of a topic this daemon has; 0 removes it. The
// change is announced later, by a timer.
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

// AwaitCell ensures that a topic's cell has a peer here. It calls then once that knows
// the members of the cell and their subscribers, or without done after reachTimeout; if
// it knows them already, at once.
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

// SubscribedDaemons returns the names of the other daemons that have subscribers of a
// topic, in order, as announced; none if there is no peer in its cell (see AwaitCell).
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

// Subscribers returns how many subscribers of a topic all other daemons have announced.
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

// cellAt returns the cell of a topic, nil if there is no peer in it here.
func (o *Overlay) cellAt(planeName string, topic uint64) *cell {
	plane, found := o.planes[planeName]
	if !found {
		return nil
	}
	return plane.cells[CellOf(topic)]
}

// cell returns a cell of a plane; if it is new, its peer here begins to join.
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

// completeWaiting calls those who wait for cells that are joined, or whose wait has
// timed out.
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

// meet adds another daemon's peer to the members, unless a newer one of the daemon is
// among them; it is to get a NoticeComplete.
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
	// It sends a NoticeComplete by itself once it has met this peer, which is requested
	// only if it does not come.
	here.members[key.Daemon] = &member{key: key, requested: now}
	here.digest ^= keyHash(key)
	here.changedAt = now
	o.owe(now, here, key.Daemon)
}

// owe has a NoticeComplete sent to a daemon after gatherFor.
func (o *Overlay) owe(now time.Time, here *cell, daemon string) {
	here.owed[daemon] = true
	o.timers.ArmSooner("owed", now.Add(gatherFor))
}

// notify adds a notice to the frame to a daemon, and returns the part of the frame in
// which it is, nil if the view doesn't have the daemon.
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

// sendOwed sends a NoticeComplete to all new members and those that requested it.
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

// sendChanges sends the changes of the cells if any is due, those that aren't due yet
// too, since the frames are sent in any case.
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
			// What is owed goes first, so that the changes follow it.
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

// pace sets when the next changes may go to all. While there always are some, the pause
// grows, which makes fewer and fuller frames of them.
func (o *Overlay) pace(now time.Time) {
	if now.Sub(o.paceUntil) < gatherFor {
		o.paced++
	} else {
		o.paced = 0
	}
	o.paceUntil = now.Add(min(backoff(paceEach*time.Duration(len(o.gateways)), o.paced), max(countsDelay, paceEach*time.Duration(len(o.gateways)))))
}

// check sends a digest or, in every numbersEveryChecks-th check, the sequences of the
// newest notices here to all daemons with which a cell is shared, and the sequences to
// some of the others in turn.
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

// levelWith sends one daemon the digest of the cells here; it requests the checks
// themselves unless it computes the same.
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

// levelPart is what goes into a level of a daemon's peer in one cell: the number of its
// key, and the sequence of its newest notice.
type levelPart struct{ number, sequence uint64 }

// level returns a digest of cells: of the members of each, and of a daemon's peer
// there, as told returns it. It is 0 if told knows none. A daemon without a peer in one
// of another's cells never computes the same level, and requests the checks: from them
// its peers learn of neighbours in that cell.
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

// levelOf returns the level of an incarnation of another daemon as far as its cells are
// known here.
func (p *plane) levelOf(daemon string, incarnation uint64) uint64 {
	return p.level(func(here *cell) (levelPart, bool) {
		known, found := here.members[daemon]
		if !found || !known.heard || known.key.Incarnation != incarnation {
			return levelPart{}, false
		}
		return levelPart{number: known.key.Number, sequence: known.sequence}, true
	})
}

// handleLevel requests a NoticeCheck of each of a daemon's cells unless its level is the
// one known here. where is nil if this daemon doesn't have the plane.
func (o *Overlay) handleLevel(where *plane, told Notices) {
	gateway := o.gateways[told.Daemon]
	if where != nil && where.levelOf(told.Daemon, told.Incarnation) == told.Level {
		return
	}
	frame := o.signalsTo(gateway.Address)
	frame.Notices = append(frame.Notices, Notices{Daemon: o.daemon, Incarnation: o.incarnation, Plane: told.Plane, Answer: true})
}

// scheduleCheck has a check follow a change of the peers known here, so that peers that
// join at the same time find each other.
func (o *Overlay) scheduleCheck(now time.Time) {
	at := o.checked.Add(backoff(checkAgain, o.checks))
	if soon := now.Add(checkAfter); at.Before(soon) {
		at = soon
	}
	o.timers.ArmSooner("checks", at)
}

// checkWith sends one daemon a NoticeCheck of each cell here, and requests its own if
// answer is set.
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

// handleNotices handles the notices of another daemon's peers; those of an earlier
// incarnation are ignored.
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

// border has the peers here whose regions a peer of another cell would cut learn of it.
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

// handleNotice handles a notice of a peer in a cell here, which becomes a member by it.
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
		// level has sent it what it lacks, so that the two count as equal.
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

// merge learns the members of a cell that a sender names.
func (o *Overlay) merge(now time.Time, here *cell, sender PeerKey, members []PeerKey) {
	var others []Peer
	for _, each := range members {
		if known, met := here.members[each.Daemon]; !met || known.key != each {
			others = append(others, cellPeer(each, here.number, 0))
		}
	}
	o.learn(now, here.peer, sender, others, false)
}

// level responds to NoticeDiffers and NoticeMissing: it names the members whose hashes
// the sender did not send, and sends those known here if some of its were unknown.
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

// compareMembers sends, in each cell, a NoticeDiffers to one of the members whose
// digests differ from the one here.
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
					// It is from before the last change here; the next check shows whether
					// they still differ.
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

// requestComplete requests a NoticeComplete of a member, at once or when the response to
// an earlier request is overdue.
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

// retryRequests sends the requests that waited for an earlier one to be overdue.
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

// releaseCells has the peers of cells leave that nobody used for keepFor and that have
// no subscribers here.
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
