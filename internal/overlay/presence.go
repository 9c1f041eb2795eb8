package overlay

import (
	"slices"
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/statemachine"
)

// This file implements the cells of routed topics and the announcements between their
// peers. The unit square of a plane is divided into four by four cells. The hash of a
// topic selects its cell, and a square in the middle of the cell is the area of all of
// the cell's peers. A daemon has one peer in each cell in which its sessions subscribe
// or publish. The peer is kept for keepFor after its last use, so that it doesn't have
// to rejoin when clients disconnect and reconnect. All peers of a cell subscribe to its
// area, so each of them discovers all others, the members of the cell.
//
// The peers of a cell announce in notices how many subscribers each topic has on their
// daemons. Changes are gathered for a short time and sent to all members as a numbered
// NoticeChanges; the changes of all cells are sent to a daemon in one frame. The first
// subscriber of a topic is announced after the gathering time or at the end of the
// current pause (see pace), other changes of a count within countsDelay. A new member
// is sent a NoticeComplete. A peer that detects a gap in the sequence of notices
// requests a NoticeComplete. Every checkInterval each daemon sends the others the
// sequences of its newest notices and the digests of its cells' members, or a digest of
// both. This detects lost notices and members that a peer doesn't know.
//
// Frames are sent by the calls that cause them or by the timers of Tick.

// Timeouts, intervals and limits of the cells.
const (
	// cellSide is the number of cells along an axis.
	cellSide = 4
	// CellCount is the number of cells in a plane.
	CellCount = cellSide * cellSide
	// gatherFor is how long changes are gathered, so that one frame contains the
	// changes of several clients, or of several requests of a client, made at almost
	// the same time.
	gatherFor = 2 * time.Millisecond
	// paceEach times the number of gateways is the pause between two announcements to
	// all members. This bounds the frames per second for any number of gateways.
	paceEach = time.Millisecond
	// countsDelay is how long the announcement of a changed count may be delayed, unless
	// the count was 0 before.
	countsDelay   = 200 * time.Millisecond
	checkInterval = 2 * time.Second
	// In every numbersEveryChecks-th check the sequences themselves are sent instead of
	// a digest. From them a receiver discovers neighbours in cells in which it has no
	// peer.
	numbersEveryChecks = 5
	// checkAfter is the delay of a check after a change of the known peers. checkAgain
	// is the minimum time between such a check and the previous check; it doubles for
	// consecutive checks.
	checkAfter = 10 * time.Millisecond
	checkAgain = 250 * time.Millisecond
	// requestRetry is the time after which a NoticeComplete is requested again; it
	// doubles up to maxRequestDoublings times.
	requestRetry        = 300 * time.Millisecond
	maxRequestDoublings = 3
	// membersWait is the delay after a differing digest before members are compared, so
	// that joins in progress can finish.
	membersWait = 100 * time.Millisecond
	// membersQuiet is how long the members of a cell must have been stable before they
	// are compared. While many peers join, all digests differ, and the checks that
	// each daemon sends to all others are enough to make them equal.
	membersQuiet = 400 * time.Millisecond
	// reachTimeout limits how long AwaitCell waits.
	reachTimeout = time.Second
	// keepFor is how long the peer of a cell is kept while this daemon has no subscribers
	// in it.
	keepFor = 10 * time.Minute
	// unknownDaemonsPerCheck is the number of daemons without a shared cell to which a
	// check is sent; they are selected in turn.
	unknownDaemonsPerCheck = 16
)

// SetSubscribers sets the number of subscribers that a topic has on this daemon; 0
// removes the topic. A timer announces the change later.
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

// AwaitCell ensures that this daemon has a peer in a topic's cell. It calls then with
// done set once the peer knows the members of the cell and their subscriber counts,
// which is immediately if it already does, or with done unset after reachTimeout.
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

// SubscribedDaemons returns the sorted names of the other daemons that have announced
// subscribers of a topic. It returns none if this daemon has no peer in the topic's
// cell (see AwaitCell).
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

// Subscribers returns the number of subscribers of a topic that all other daemons have
// announced.
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

// cellAt returns the cell of a topic, or nil if this daemon has no peer in it.
func (o *Overlay) cellAt(planeName string, topic uint64) *cell {
	plane, found := o.planes[planeName]
	if !found {
		return nil
	}
	return plane.cells[CellOf(topic)]
}

// cell returns a cell of a plane. If it doesn't exist yet, it is created and this
// daemon's peer starts to join.
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

// completeWaiting calls the waiting completions of cells that are joined or whose wait
// has timed out.
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

// meet adds another daemon's peer to the members of a cell, unless a newer peer of that
// daemon is a member, and schedules a NoticeComplete to it.
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
	// The new member sends a NoticeComplete once it has added this peer to its own
	// members. It is requested only if it isn't received in time.
	here.members[key.Daemon] = &member{key: key, requested: now}
	here.digest ^= keyHash(key)
	here.changedAt = now
	o.owe(now, here, key.Daemon)
}

// owe schedules a NoticeComplete to a daemon after gatherFor.
func (o *Overlay) owe(now time.Time, here *cell, daemon string) {
	here.owed[daemon] = true
	o.timers.ArmSooner("owed", now.Add(gatherFor))
}

// notify adds a notice to the frame for a daemon, and returns the Notices that contains
// it, or nil if the daemon isn't in the view.
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

// sendOwed sends a NoticeComplete to all new members and to those that requested one.
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

// sendChanges sends the changes of all cells if those of any cell are due. Changes that
// aren't due yet are included, since the frames are sent anyway.
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
			// A pending NoticeComplete must be sent before the changes that follow it.
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

// pace sets when the next changes may be sent to all members. Under continuous changes
// the pause grows, so that fewer frames with more changes each are sent.
func (o *Overlay) pace(now time.Time) {
	if now.Sub(o.paceUntil) < gatherFor {
		o.paced++
	} else {
		o.paced = 0
	}
	o.paceUntil = now.Add(min(backoff(paceEach*time.Duration(len(o.gateways)), o.paced), max(countsDelay, paceEach*time.Duration(len(o.gateways)))))
}

// check sends to all daemons with which a cell is shared a digest or, in every
// numbersEveryChecks-th check, the sequences of this daemon's newest notices. It also
// sends the sequences to some of the other daemons, in turn.
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

// levelWith sends a daemon the digest of this daemon's cells. The receiver requests the
// checks themselves if it computes a different digest.
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

// levelPart is the part of a level that describes a daemon's peer in one cell: the
// number of its key and the sequence of its newest notice.
type levelPart struct{ number, sequence uint64 }

// level returns a digest of the cells for which told returns the state of a daemon's
// peer: of the members of each cell and that state. It is 0 if there is no such cell. A
// daemon that lacks a peer in one of the sender's cells computes a different level and
// requests the checks, from which its peers discover neighbours in that cell.
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

// levelOf returns the level of an incarnation of another daemon, computed from the
// members known to this daemon.
func (p *plane) levelOf(daemon string, incarnation uint64) uint64 {
	return p.level(func(here *cell) (levelPart, bool) {
		known, found := here.members[daemon]
		if !found || !known.heard || known.key.Incarnation != incarnation {
			return levelPart{}, false
		}
		return levelPart{number: known.key.Number, sequence: known.sequence}, true
	})
}

// handleLevel requests a NoticeCheck for each of another daemon's cells, unless the
// received level equals the one computed by levelOf. where is nil if this daemon
// doesn't have the plane.
func (o *Overlay) handleLevel(where *plane, told Notices) {
	gateway := o.gateways[told.Daemon]
	if where != nil && where.levelOf(told.Daemon, told.Incarnation) == told.Level {
		return
	}
	frame := o.signalsTo(gateway.Address)
	frame.Notices = append(frame.Notices, Notices{Daemon: o.daemon, Incarnation: o.incarnation, Plane: told.Plane, Answer: true})
}

// scheduleCheck schedules a check after a change of the known peers, so that peers that
// join at the same time discover each other.
func (o *Overlay) scheduleCheck(now time.Time) {
	at := o.checked.Add(backoff(checkAgain, o.checks))
	if soon := now.Add(checkAfter); at.Before(soon) {
		at = soon
	}
	o.timers.ArmSooner("checks", at)
}

// checkWith sends a daemon a NoticeCheck for each of this daemon's cells, and requests
// the same from it if answer is set.
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

// handleNotices handles notices from another daemon's peers. Those of an earlier
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

// border introduces the sender of a NoticeCheck to this daemon's peers in other cells
// whose regions it would cut.
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

// handleNotice handles a notice from a peer of one of the cells in which this daemon has
// a peer. The sender becomes a member of the cell if it was none.
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
		// level has sent the missing members to the sender, so the two digests count as
		// equal.
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

// merge learns the members of a cell named by a sender.
func (o *Overlay) merge(now time.Time, here *cell, sender PeerKey, members []PeerKey) {
	var others []Peer
	for _, each := range members {
		if known, met := here.members[each.Daemon]; !met || known.key != each {
			others = append(others, cellPeer(each, here.number, 0))
		}
	}
	o.learn(now, here.peer, sender, others, false)
}

// level responds to NoticeDiffers and NoticeMissing with the members whose hashes the
// sender did not include. If a NoticeDiffers contains unknown hashes, it also sends the
// hashes of the members that this daemon knows.
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
// digests differ from this daemon's digest.
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
					// The digest was received before the last change of this daemon's members;
					// the next check shows whether the two still differ.
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

// requestComplete requests a NoticeComplete from a member, immediately or once an
// earlier request has timed out.
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

// retryRequests sends the requests that waited for an earlier request to time out.
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

// releaseCells has this daemon's peers leave the cells that have no subscribers on this
// daemon and weren't used for keepFor.
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
