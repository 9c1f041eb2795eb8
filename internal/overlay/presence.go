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
// or publish. The peer is kept for cellIdleTimeout after its last use, so that it
// doesn't have to rejoin when clients disconnect and reconnect. All peers of a cell
// subscribe to its area, so each of them discovers all others, the members of the cell.
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
	// gatherDelay is how long changes are gathered, so that one frame contains the
	// changes of several clients, or of several requests of a client, made at almost
	// the same time.
	gatherDelay = 2 * time.Millisecond
	// pausePerGateway times the number of gateways is the pause between two
	// announcements to all members. This bounds the frames per second for any number of
	// gateways.
	pausePerGateway = time.Millisecond
	// countsDelay is how long the announcement of a changed count may be delayed, unless
	// the count was 0 before.
	countsDelay   = 200 * time.Millisecond
	checkInterval = 2 * time.Second
	// In every sequencesEveryChecks-th check the sequences themselves are sent instead of
	// a digest. From them a receiver discovers neighbours in cells in which it has no
	// peer.
	sequencesEveryChecks = 5
	// checkDelay is the delay of a check after a change of the known peers.
	// repeatedCheckDelay is the minimum time between such a check and the previous
	// check; it doubles for consecutive checks.
	checkDelay         = 10 * time.Millisecond
	repeatedCheckDelay = 250 * time.Millisecond
	// requestRetry is the time after which a NoticeComplete is requested again. It
	// doubles with each further request until maxBackoffAttempts requests were sent, so
	// that the longest time is four times requestRetry.
	requestRetry       = 300 * time.Millisecond
	maxBackoffAttempts = 3
	// membersWait is the delay after a differing digest before members are compared, so
	// that joins in progress can finish.
	membersWait = 100 * time.Millisecond
	// membersStablePeriod is how long the members of a cell must have been stable
	// before they are compared. While many peers join, all digests differ, and the
	// checks that each daemon sends to all others are enough to make them equal.
	membersStablePeriod = 400 * time.Millisecond
	// awaitCellTimeout limits how long AwaitCell waits.
	awaitCellTimeout = time.Second
	// cellIdleTimeout is how long the peer of a cell is kept while this daemon has no
	// subscribers in it.
	cellIdleTimeout = 10 * time.Minute
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
	cell := o.cell(now, planeName, CellOf(number), effects)
	cell.lastUse = now
	earlier := cell.counts[number]
	if earlier == uint32(count) {
		return
	}
	if count == 0 {
		delete(cell.counts, number)
	} else {
		cell.counts[number] = uint32(count)
	}
	announced, changed := cell.changed[number]
	if !changed {
		announced = earlier
		cell.changed[number] = announced
	}
	due := now.Add(countsDelay)
	switch {
	case announced == uint32(count):
		delete(cell.changed, number)
		return
	case announced == 0:
		due = now.Add(gatherDelay)
		if due.Before(o.paceUntil) {
			due = o.paceUntil
		}
	}
	cell.due = statemachine.Earliest(cell.due, due)
	o.timers.ArmSooner("notices", cell.due)
}

// AwaitCell ensures that this daemon has a peer in a topic's cell. The completion is
// called with done set once the peer knows the members of the cell and their subscriber
// counts, which is immediately if it already does, or with done unset after
// awaitCellTimeout.
func (o *Overlay) AwaitCell(now time.Time, planeName, topic string, then Completion, effects *statemachine.Effects) {
	cell := o.cell(now, planeName, CellOf(config.TopicHash(topic)), effects)
	cell.lastUse = now
	if cell.joined() {
		then(now, effects, true)
		return
	}
	if len(cell.waiting) == 0 {
		cell.deadline = now.Add(awaitCellTimeout)
		o.timers.ArmSooner("reach", cell.deadline)
	}
	cell.waiting = append(cell.waiting, then)
}

// SubscribedDaemons returns the sorted names of the other daemons that have announced
// subscribers of a topic. It returns none if this daemon has no peer in the topic's
// cell (see AwaitCell).
func (o *Overlay) SubscribedDaemons(planeName, topic string) []string {
	number := config.TopicHash(topic)
	cell := o.cellAt(planeName, number)
	if cell == nil {
		return nil
	}
	var names []string
	for _, name := range cell.order {
		if cell.members[name].counts[number] > 0 {
			names = append(names, name)
		}
	}
	return names
}

// Subscribers returns the number of subscribers of a topic that all other daemons have
// announced.
func (o *Overlay) Subscribers(planeName, topic string) int {
	number := config.TopicHash(topic)
	cell := o.cellAt(planeName, number)
	if cell == nil {
		return 0
	}
	sum := 0
	for _, known := range cell.members {
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
	inPlane, found := o.planes[planeName]
	if !found {
		inPlane = &plane{name: planeName}
		o.planes[planeName] = inPlane
	}
	if result := inPlane.cells[number]; result != nil {
		return result
	}
	result := &cell{
		plane: inPlane, number: number, counts: map[uint64]uint32{}, changed: map[uint64]uint32{},
		members: map[string]*member{}, pendingComplete: map[string]bool{}, lastUse: now,
	}
	inPlane.cells[number] = result
	peer, _ := o.peer(now, planeName, cellArea(number))
	peer.self = cellPeer(peer.self.Key, number, peer.self.Change)
	peer.region = newRegion(peer.self.At)
	peer.cell, result.peer = result, peer
	peer.subscriptions++
	o.whenJoined(now, peer, true, nil, effects)
	o.scheduleCheck(now)
	return result
}

// completeWaiting calls the waiting completions of cells that are joined or whose wait
// has timed out.
func (o *Overlay) completeWaiting(now time.Time, effects *statemachine.Effects) {
	for _, plane := range statemachine.Sorted(o.planes) {
		for _, cell := range plane.cells {
			if cell == nil || len(cell.waiting) == 0 {
				continue
			}
			done := cell.joined()
			if !done && cell.deadline.After(now) {
				o.timers.ArmSooner("reach", cell.deadline)
				continue
			}
			cell.ready = true
			waiting := cell.waiting
			cell.waiting = nil
			for _, then := range waiting {
				then(now, effects, done)
			}
		}
	}
}

// addMember adds another daemon's peer to the members of a cell, unless a newer peer of
// that daemon is a member, and schedules a NoticeComplete to it.
func (o *Overlay) addMember(now time.Time, cell *cell, key PeerKey) {
	earlier, found := cell.members[key.Daemon]
	if found && (earlier.key == key || earlier.key.Incarnation > key.Incarnation || earlier.key.Incarnation == key.Incarnation && earlier.key.Number > key.Number) {
		return
	}
	if found {
		cell.digest ^= keyHash(earlier.key)
	} else {
		position, _ := slices.BinarySearch(cell.order, key.Daemon)
		cell.order = slices.Insert(cell.order, position, key.Daemon)
	}
	// The new member sends a NoticeComplete once it has added this peer to its own
	// members. It is requested only if it isn't received in time.
	cell.members[key.Daemon] = &member{key: key, requested: now}
	cell.digest ^= keyHash(key)
	cell.changedAt = now
	o.scheduleComplete(now, cell, key.Daemon)
}

// scheduleComplete schedules a NoticeComplete to a daemon after gatherDelay.
func (o *Overlay) scheduleComplete(now time.Time, cell *cell, daemon string) {
	cell.pendingComplete[daemon] = true
	o.timers.ArmSooner("owed", now.Add(gatherDelay))
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
	frame := o.frameTo(gateway.Address)
	for position := range frame.Notices {
		if frame.Notices[position].Plane == planeName {
			frame.Notices[position].Notices = append(frame.Notices[position].Notices, notice)
			return &frame.Notices[position]
		}
	}
	frame.Notices = append(frame.Notices, Notices{Daemon: o.daemon, Incarnation: o.incarnation, Plane: planeName, Notices: []Notice{notice}})
	return &frame.Notices[len(frame.Notices)-1]
}

// sendPendingComplete sends a NoticeComplete to all new members and to those that
// requested one.
func (o *Overlay) sendPendingComplete() {
	for _, plane := range statemachine.Sorted(o.planes) {
		for _, cell := range plane.cells {
			if cell == nil || len(cell.pendingComplete) == 0 {
				continue
			}
			complete := cell.completeNotice()
			for daemon := range statemachine.Sorted(cell.pendingComplete) {
				o.notify(daemon, plane.name, complete)
			}
			clear(cell.pendingComplete)
		}
	}
}

// sendChanges sends the changes of all cells if those of any cell are due. Changes that
// aren't due yet are included, since the frames are sent anyway.
func (o *Overlay) sendChanges(now time.Time) {
	var next time.Time
	any := false
	for _, plane := range o.planes {
		for _, cell := range plane.cells {
			if cell == nil || cell.due.IsZero() {
				continue
			}
			any = any || !cell.due.After(now)
			next = statemachine.Earliest(next, cell.due)
		}
	}
	if !any {
		if !next.IsZero() {
			o.timers.ArmSooner("notices", next)
		}
		return
	}
	o.pace(now)
	for _, plane := range statemachine.Sorted(o.planes) {
		for _, cell := range plane.cells {
			if cell == nil || cell.due.IsZero() {
				continue
			}
			cell.due = time.Time{}
			if len(cell.changed) == 0 {
				continue
			}
			// A pending NoticeComplete must be sent before the changes that follow it.
			o.sendPendingComplete()
			cell.sequence++
			notice := cell.notice(NoticeChanges)
			notice.Digest = 0
			for topic := range statemachine.Sorted(cell.changed) {
				notice.add(topic, cell.counts[topic])
			}
			clear(cell.changed)
			for _, daemon := range cell.order {
				o.notify(daemon, plane.name, notice)
			}
		}
	}
}

// pace sets when the next changes may be sent to all members. Under continuous changes
// the pause grows, so that fewer frames with more changes each are sent.
func (o *Overlay) pace(now time.Time) {
	if now.Sub(o.paceUntil) < gatherDelay {
		o.consecutivePaced++
	} else {
		o.consecutivePaced = 0
	}
	o.paceUntil = now.Add(min(backoff(pausePerGateway*time.Duration(len(o.gateways)), o.consecutivePaced), max(countsDelay, pausePerGateway*time.Duration(len(o.gateways)))))
}

// check sends to all daemons with which a cell is shared a digest or, in every
// sequencesEveryChecks-th check, the sequences of this daemon's newest notices. It also
// sends the sequences to some of the other daemons, in turn.
func (o *Overlay) check(now time.Time) {
	if o.consecutiveChecks++; now.Sub(o.lastCheck) >= checkInterval {
		o.consecutiveChecks = 0
	}
	o.lastCheck = now
	o.checkCount++
	if statemachine.Mutated("no-notice-checks") {
		return
	}
	any := false
	for _, plane := range statemachine.Sorted(o.planes) {
		sharing := map[string]bool{}
		for _, cell := range plane.cells {
			if cell == nil {
				continue
			}
			any = true
			for daemon := range cell.members {
				sharing[daemon] = true
			}
		}
		var unshared []string
		for daemon := range statemachine.Sorted(o.gateways) {
			if sharing[daemon] && o.checkCount%sequencesEveryChecks != 0 {
				o.sendCellsDigest(daemon, plane)
			} else if sharing[daemon] {
				o.checkWith(daemon, plane, false)
			} else {
				unshared = append(unshared, daemon)
			}
		}
		for range min(len(unshared), unknownDaemonsPerCheck) {
			o.checkWith(unshared[plane.turn%len(unshared)], plane, true)
			plane.turn++
		}
	}
	if any {
		o.timers.Arm("checks", now.Add(checkInterval))
	}
}

// sendCellsDigest sends a daemon the digest of this daemon's cells. The receiver
// requests the checks themselves if it computes a different digest.
func (o *Overlay) sendCellsDigest(daemon string, plane *plane) {
	gateway, alive := o.gateways[daemon]
	if !alive {
		return
	}
	frame := o.frameTo(gateway.Address)
	o.Counts.Levels++
	digest := plane.cellsDigest(func(cell *cell) (peerState, bool) {
		return peerState{number: cell.peer.self.Key.Number, sequence: cell.sequence}, true
	})
	frame.Notices = append(frame.Notices, Notices{Daemon: o.daemon, Incarnation: o.incarnation, Plane: plane.name, Level: digest})
}

// peerState is the part of a cells' digest that describes a daemon's peer in one cell: the
// number of its key and the sequence of its newest notice.
type peerState struct{ number, sequence uint64 }

// cellsDigest returns a digest of the members of each cell and of the state of a
// daemon's peer in that cell. Cells for which stateOf returns false are left out; the
// digest is 0 if no cell remains. A daemon that lacks a peer in one of the sender's cells computes a
// different digest and requests the checks, from which its peers discover neighbours in
// that cell.
func (p *plane) cellsDigest(stateOf func(cell *cell) (peerState, bool)) uint64 {
	sum := uint64(0)
	for _, cell := range p.cells {
		if cell == nil {
			continue
		}
		if part, known := stateOf(cell); known {
			sum = mix(sum ^ mix(uint64(cell.number)^mix(part.number^mix(part.sequence^cell.digestHere()))))
		}
	}
	return sum
}

// cellsDigestOf returns the cells' digest of an incarnation of another daemon, computed
// from the members known to this daemon.
func (p *plane) cellsDigestOf(daemon string, incarnation uint64) uint64 {
	return p.cellsDigest(func(cell *cell) (peerState, bool) {
		known, found := cell.members[daemon]
		if !found || !known.countsReceived || known.key.Incarnation != incarnation {
			return peerState{}, false
		}
		return peerState{number: known.key.Number, sequence: known.sequence}, true
	})
}

// handleCellsDigest requests a NoticeCheck for each of another daemon's cells, unless the
// received digest equals the one computed by cellsDigestOf. plane is nil if this daemon
// doesn't have the plane.
func (o *Overlay) handleCellsDigest(plane *plane, received Notices) {
	gateway := o.gateways[received.Daemon]
	if plane != nil && plane.cellsDigestOf(received.Daemon, received.Incarnation) == received.Level {
		return
	}
	frame := o.frameTo(gateway.Address)
	frame.Notices = append(frame.Notices, Notices{Daemon: o.daemon, Incarnation: o.incarnation, Plane: received.Plane, Answer: true})
}

// scheduleCheck schedules a check after a change of the known peers, so that peers that
// join at the same time discover each other.
func (o *Overlay) scheduleCheck(now time.Time) {
	at := o.lastCheck.Add(backoff(repeatedCheckDelay, o.consecutiveChecks))
	if soon := now.Add(checkDelay); at.Before(soon) {
		at = soon
	}
	o.timers.ArmSooner("checks", at)
}

// checkWith sends a daemon a NoticeCheck for each of this daemon's cells, and requests
// the same from it if requestChecks is set.
func (o *Overlay) checkWith(daemon string, plane *plane, requestChecks bool) {
	for _, cell := range plane.cells {
		if cell == nil {
			continue
		}
		if frame := o.notify(daemon, plane.name, cell.notice(NoticeCheck)); frame != nil {
			frame.Answer = frame.Answer || requestChecks
		}
	}
}

// handleNotices handles notices from another daemon's peers. Those of an earlier
// incarnation are ignored.
func (o *Overlay) handleNotices(now time.Time, received Notices) {
	gateway, alive := o.gateways[received.Daemon]
	if !alive || received.Incarnation < gateway.Joined || received.Daemon == o.daemon {
		return
	}
	plane, found := o.planes[received.Plane]
	if received.Level != 0 {
		o.handleCellsDigest(plane, received)
	}
	for _, notice := range received.Notices {
		if notice.Cell >= CellCount || !notice.fits() {
			continue
		}
		key := PeerKey{Daemon: received.Daemon, Incarnation: received.Incarnation, Number: notice.Number}
		if found && notice.Kind == NoticeCheck {
			o.introduceSender(now, plane, key, notice)
		}
		if !found || plane.cells[notice.Cell] == nil {
			if notice.Kind != NoticeAbsent && notice.Kind != NoticeCheck {
				o.notify(received.Daemon, received.Plane, Notice{Kind: NoticeAbsent, Cell: notice.Cell})
			}
			continue
		}
		o.handleNotice(now, plane.cells[notice.Cell], key, notice)
	}
	if found && received.Answer {
		o.checkWith(received.Daemon, plane, false)
	}
}

// introduceSender introduces the sender of a NoticeCheck to this daemon's peers in
// other cells whose regions it would cut.
func (o *Overlay) introduceSender(now time.Time, plane *plane, key PeerKey, notice Notice) {
	other := cellPeer(key, notice.Cell, notice.Change)
	for _, cell := range plane.cells {
		if cell == nil || cell.number == notice.Cell || cell.peer.joining != nil || !cell.peer.region.cuts(other.At) {
			continue
		}
		if _, known := cell.peer.known[key]; !known {
			o.learn(now, cell.peer, key, []Peer{other}, false)
		}
	}
}

// handleNotice handles a notice from a peer of one of the cells in which this daemon has
// a peer. The sender becomes a member of the cell if it was none.
func (o *Overlay) handleNotice(now time.Time, cell *cell, key PeerKey, notice Notice) {
	known, found := cell.members[key.Daemon]
	if notice.Kind == NoticeAbsent {
		if found {
			o.drop(now, cell.peer, known.key)
		}
		return
	}
	if !found || known.key != key {
		if found && known.key.Incarnation == key.Incarnation && known.key.Number > key.Number {
			return
		}
		o.learn(now, cell.peer, key, []Peer{cellPeer(key, cell.number, notice.Change)}, true)
		if known, found = cell.members[key.Daemon]; !found || known.key != key {
			return
		}
	}
	switch notice.Kind {
	case NoticeComplete:
		if known.countsReceived && notice.Sequence < known.sequence {
			return
		}
		known.countsReceived, known.sequence, known.requestAttempts, known.requestDelayed = true, notice.Sequence, 0, false
		known.counts = make(map[uint64]uint32, len(notice.Topics))
		known.apply(notice)
	case NoticeChanges:
		if statemachine.Mutated("gaps-unheeded") && known.countsReceived {
			known.sequence = max(known.sequence, notice.Sequence-1)
		}
		switch {
		case known.countsReceived && notice.Sequence <= known.sequence:
		case known.countsReceived && notice.Sequence == known.sequence+1:
			known.sequence = notice.Sequence
			known.apply(notice)
		default:
			o.requestComplete(now, cell, known)
		}
	case NoticeCheck:
		if !known.countsReceived || notice.Sequence > known.sequence {
			o.requestComplete(now, cell, known)
		}
	case NoticeRequest:
		o.scheduleComplete(now, cell, key.Daemon)
	case NoticeDiffers, NoticeMissing:
		o.sendMissingMembers(cell, key, notice)
		// sendMissingMembers has sent the missing members to the sender, so the two
		// digests count as equal.
		notice.Digest = cell.digestHere()
	case NoticeMembers:
		o.learnMembers(now, cell, key, notice.Members)
	}
	if notice.Digest == 0 {
		return
	}
	known.digestAt = now
	if known.digest = notice.Digest; known.digest != cell.digestHere() {
		o.timers.ArmSooner("members", now.Add(membersWait))
	}
}

// learnMembers learns the members of a cell named by a sender.
func (o *Overlay) learnMembers(now time.Time, cell *cell, sender PeerKey, members []PeerKey) {
	var others []Peer
	for _, each := range members {
		if known, met := cell.members[each.Daemon]; !met || known.key != each {
			others = append(others, cellPeer(each, cell.number, 0))
		}
	}
	o.learn(now, cell.peer, sender, others, false)
}

// sendMissingMembers responds to NoticeDiffers and NoticeMissing with the members whose
// hashes the sender did not include. If a NoticeDiffers contains unknown hashes, it
// also sends the hashes of the members that this daemon knows.
func (o *Overlay) sendMissingMembers(cell *cell, key PeerKey, notice Notice) {
	receivedHashes := make(map[uint32]bool, len(notice.Counts))
	for _, hash := range notice.Counts {
		receivedHashes[hash] = true
	}
	var missingMembers []PeerKey
	matched := 0
	for _, name := range cell.order {
		switch other := cell.members[name].key; {
		case other == key:
		case receivedHashes[shortHash(other)]:
			matched++
		default:
			missingMembers = append(missingMembers, other)
		}
	}
	if len(missingMembers) > 0 {
		response := cell.notice(NoticeMembers)
		response.Members = missingMembers
		o.notify(key.Daemon, cell.plane.name, response)
	}
	if matched < len(receivedHashes) && notice.Kind == NoticeDiffers {
		o.notify(key.Daemon, cell.plane.name, cell.memberHashes(NoticeMissing, key))
	}
}

// compareMembers sends, in each cell, a NoticeDiffers to one of the members whose
// digests differ from this daemon's digest.
func (o *Overlay) compareMembers(now time.Time) {
	for _, plane := range statemachine.Sorted(o.planes) {
		for _, cell := range plane.cells {
			if cell == nil {
				continue
			}
			if quiet := cell.changedAt.Add(membersStablePeriod); quiet.After(now) && !statemachine.Mutated("no-retry-pauses") {
				o.timers.ArmSooner("members", quiet)
				continue
			}
			digest := cell.digestHere()
			var differing []*member
			for _, name := range cell.order {
				known := cell.members[name]
				if known.digest == 0 || known.digest == digest {
					continue
				}
				if !known.digestAt.After(cell.changedAt) && !statemachine.Mutated("no-retry-pauses") {
					// The digest was received before the last change of this daemon's
					// members; the next check shows whether the two still differ.
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
			known := differing[cell.turn%uint64(len(differing))]
			cell.turn++
			known.compared, known.comparedAt = digest^known.digest, now
			o.notify(known.key.Daemon, plane.name, cell.memberHashes(NoticeDiffers, known.key))
		}
	}
}

// requestComplete requests a NoticeComplete from a member, immediately or once an
// earlier request has timed out.
func (o *Overlay) requestComplete(now time.Time, cell *cell, known *member) {
	if due := known.nextRequestAt(); due.After(now) {
		known.requestDelayed = true
		o.timers.ArmSooner("asks", due)
		return
	}
	known.requested, known.requestDelayed = now, false
	known.requestAttempts++
	o.notify(known.key.Daemon, cell.plane.name, cell.notice(NoticeRequest))
}

// retryRequests sends the requests that waited for an earlier request to time out.
func (o *Overlay) retryRequests(now time.Time) {
	for _, plane := range statemachine.Sorted(o.planes) {
		for _, cell := range plane.cells {
			if cell == nil {
				continue
			}
			for _, name := range cell.order {
				if known := cell.members[name]; known.requestDelayed {
					o.requestComplete(now, cell, known)
				}
			}
		}
	}
}

// releaseCells has this daemon's peers leave the cells that have no subscribers on this
// daemon and weren't used for cellIdleTimeout.
func (o *Overlay) releaseCells(now time.Time) {
	for _, plane := range statemachine.Sorted(o.planes) {
		for number, cell := range plane.cells {
			if cell == nil || len(cell.counts) > 0 || len(cell.changed) > 0 || len(cell.waiting) > 0 || now.Sub(cell.lastUse) < cellIdleTimeout {
				continue
			}
			plane.cells[number] = nil
			cell.peer.cell = nil
			o.leave(cell.peer)
		}
	}
}
