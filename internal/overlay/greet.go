package overlay

import "time"

// introduce records newcomer, a joining or greeting peer, as known to a peer of this
// daemon. It returns the response with the peers that newcomer must know; the caller
// sets the kind of the signal.
func (o *Overlay) introduce(now time.Time, peer *hostedPeer, newcomer Peer) Signal {
	response := Signal{Space: peer.space.name, From: peer.self}
	if newcomer.Key == peer.self.Key {
		return response
	}
	_, wasKnown := peer.known[newcomer.Key]
	if !wasKnown {
		peer.introducedAt[newcomer.Key] = now
	}
	o.recordPeer(now, peer, newcomer)
	include := map[PeerKey]Peer{}
	candidates := func(keys []PeerKey) {
		for _, key := range keys {
			if known, found := peer.known[key]; found && key != newcomer.Key {
				include[key] = known
			}
		}
	}
	if peer.region.owns(newcomer.Key) && !wasKnown {
		candidates(peer.region.commonNeighbours(newcomer.Key))
	} else {
		candidates(peer.region.owners())
	}
	if peer.cell != nil {
		// The peers of a cell discover each other through notices.
		for _, known := range sortedPeers(include) {
			response.Peers = append(response.Peers, known)
		}
		return response
	}
	for key, known := range peer.subscribers {
		if key == newcomer.Key {
			continue
		}
		relevant := known.Area.Contains(newcomer.At) || wasKnown && peer.region.intersects(known.Area)
		if relevant {
			include[key] = known
		}
	}
	if newcomer.Subscribes {
		for key, known := range peer.known {
			if key != newcomer.Key && newcomer.Area.Contains(known.At) {
				include[key] = known
			}
		}
	}
	o.moveUnannounced(peer, newcomer.Key, include)
	for _, known := range sortedPeers(include) {
		response.Peers = append(response.Peers, known)
	}
	if newcomer.Subscribes {
		for _, key := range peer.region.boundary(newcomer.Area) {
			if known, found := peer.known[key]; found && key != newcomer.Key {
				response.Boundary = append(response.Boundary, known)
			}
		}
	}
	return response
}

// recordPeer records another peer as known, unless a newer version of it is known, and
// clips the region. The subscribers whose areas intersect the part of the region that the
// other peer takes over are added to unannounced, to be named in the next signal to it.
func (o *Overlay) recordPeer(now time.Time, peer *hostedPeer, other Peer) {
	earlier, found := peer.known[other.Key]
	if found && earlier.Change > other.Change {
		return
	}
	peer.known[other.Key] = other
	if other.Subscribes {
		peer.subscribers[other.Key] = other
	} else {
		delete(peer.subscribers, other.Key)
	}
	if peer.cell != nil {
		if !found {
			if peer.sharesCell(other) {
				o.addMember(now, peer.cell, other.Key)
			}
			if _, cut := peer.region.clip(other.At, other.Key); cut {
				o.announceSubscriber(now, peer, other)
			}
			o.scheduleCheck(now)
		}
		return
	}
	if other.Subscribes && !earlier.Subscribes {
		o.announceSubscriber(now, peer, other)
		if peer.publishes && other.Key.Daemon != o.daemon && other.Area.Covers(peer.self.Area) {
			o.discoveries = append(o.discoveries, Discovery{Space: peer.space.name, Area: peer.self.Area, Daemon: other.Key.Daemon})
		}
	}
	if found {
		return
	}
	taken, _ := peer.region.clip(other.At, other.Key)
	if len(taken) == 0 {
		return
	}
	unannounced := map[PeerKey]bool{}
	for key, known := range peer.subscribers {
		if key != other.Key && polygonIntersects(peer.self.At, taken, known.Area) {
			unannounced[key] = true
		}
	}
	if peer.self.Subscribes && polygonIntersects(peer.self.At, taken, peer.self.Area) {
		unannounced[peer.self.Key] = true
	}
	if len(unannounced) > 0 {
		peer.unannounced[other.Key] = unannounced
	}
}

// moveUnannounced moves the subscribers in unannounced for another peer into include.
func (o *Overlay) moveUnannounced(peer *hostedPeer, key PeerKey, include map[PeerKey]Peer) {
	for subscriber := range peer.unannounced[key] {
		if known, found := peer.known[subscriber]; found {
			include[subscriber] = known
		} else if subscriber == peer.self.Key {
			include[subscriber] = peer.self
		}
	}
	delete(peer.unannounced, key)
}

// takeUnannounced removes the subscribers in unannounced for another peer and returns
// them.
func (o *Overlay) takeUnannounced(peer *hostedPeer, key PeerKey) []Peer {
	include := map[PeerKey]Peer{}
	o.moveUnannounced(peer, key, include)
	var unannounced []Peer
	for _, known := range sortedPeers(include) {
		unannounced = append(unannounced, known)
	}
	return unannounced
}

// announceSubscriber names a newly known subscriber to the neighbours that took over
// part of this peer's region within rejoinWindow. The subscriber may have greeted this
// peer because its area intersects a part of the region that now belongs to such a
// neighbour.
func (o *Overlay) announceSubscriber(now time.Time, peer *hostedPeer, subscriber Peer) {
	for _, key := range peer.region.owners() {
		if key == subscriber.Key || now.Sub(peer.introducedAt[key]) > rejoinWindow {
			continue
		}
		if peer.cell != nil && peer.known[key].Area == subscriber.Area {
			// They discover each other through the notices of their cell.
			continue
		}
		if key.Daemon != o.daemon {
			o.signal(key.Daemon, Signal{Kind: SignalAnnounce, Space: peer.space.name, To: key, From: peer.self, Peers: []Peer{subscriber}})
		} else if neighbour, local := peer.space.byKey[key]; local {
			o.learn(now, neighbour, peer.self.Key, []Peer{subscriber}, false)
		}
	}
}

// learn records those of the peers named by a sender that are relevant to a peer of
// this daemon, or all of them if always is set. It greets those that were not greeted
// since the peer's last change. If one of them has left, it reports that to the sender.
func (o *Overlay) learn(now time.Time, peer *hostedPeer, sender PeerKey, others []Peer, always bool) {
	var sameCell []Peer
	for _, other := range others {
		if other.Key == peer.self.Key {
			continue
		}
		if other.Key.Daemon == o.daemon {
			current, local := peer.space.byKey[other.Key]
			if !local {
				o.correct(peer, sender, other.Key)
				continue
			}
			other = current.self
		} else if _, left := peer.space.tombstones[other.Key]; left {
			o.correct(peer, sender, other.Key)
			continue
		} else if o.ended(other.Key) {
			continue
		}
		earlier, known := peer.known[other.Key]
		if known && earlier.Change >= other.Change {
			if peer.greeted[other.Key] < peer.self.Change && (always || o.isRelevant(peer, other)) {
				o.greet(now, peer, other)
			}
			continue
		}
		if !always && !known && !o.isRelevant(peer, other) {
			continue
		}
		o.recordPeer(now, peer, other)
		if peer.sharesCell(other) {
			sameCell = append(sameCell, other)
			continue
		}
		if peer.greeted[other.Key] < peer.self.Change {
			o.greet(now, peer, other)
		}
	}
	// Peers of the same cell are greeted only if they are enclosing neighbours after
	// all of them have been recorded. The sender isn't greeted: it greets by itself if
	// it has to.
	for _, neighbour := range sameCell {
		if neighbour.Key != sender && peer.region.owns(neighbour.Key) && peer.greeted[neighbour.Key] < peer.self.Change {
			o.greet(now, peer, neighbour)
		}
	}
}

// sharesCell reports whether another peer belongs to the same cell and another daemon.
func (h *hostedPeer) sharesCell(other Peer) bool {
	return h.cell != nil && other.Area == h.self.Area && other.Key.Daemon != h.self.Key.Daemon
}

// hasOuterEdge reports whether the region extends beyond the peer's area.
func (h *hostedPeer) hasOuterEdge() bool {
	area, middle := h.self.Area, h.self.At
	for _, at := range h.region.corners {
		if !area.Contains(Point{X: middle.X + at.x, Y: middle.Y + at.y}) {
			return true
		}
	}
	return false
}

// correct reports to a sender that a peer it named has left. Otherwise peers would keep
// naming the departed peer to each other.
func (o *Overlay) correct(peer *hostedPeer, sender, departed PeerKey) {
	if sender.Daemon == o.daemon {
		if neighbour, local := peer.space.byKey[sender]; local && neighbour != peer {
			o.drop(time.Time{}, neighbour, departed)
		}
		return
	}
	if sender != departed {
		o.signal(sender.Daemon, Signal{Kind: SignalLeft, Space: peer.space.name, To: sender, From: Peer{Key: departed}})
	}
}

// isRelevant reports whether a peer of this daemon must know another peer: a neighbour, a
// peer inside its area if it subscribes, or a subscriber whose area intersects its region.
func (o *Overlay) isRelevant(peer *hostedPeer, other Peer) bool {
	if peer.region.owns(other.Key) || peer.region.cuts(other.At) {
		return true
	}
	if peer.self.Subscribes && peer.self.Area.Contains(other.At) {
		return true
	}
	return other.Subscribes && (other.Area.Contains(peer.self.At) || peer.region.intersects(other.Area))
}

// greet sends a greeting from a peer of this daemon to another peer, which must respond.
func (o *Overlay) greet(now time.Time, peer *hostedPeer, other Peer) {
	o.greetAs(now, peer, other, now.Before(peer.healingUntil))
}

// greetAs sends a greeting as greet does; heals sets whether it is marked as healing.
func (o *Overlay) greetAs(now time.Time, peer *hostedPeer, other Peer, heals bool) {
	peer.greeted[other.Key] = peer.self.Change
	if peer.sharesCell(other) && !peer.hasOuterEdge() {
		// Peers discover neighbours in the same cell through notices. Greetings are
		// needed only by a peer with neighbours in other cells.
		delete(peer.pending, other.Key)
		return
	}
	o.Counts.Greets++
	greeting := Signal{Kind: SignalGreet, Space: peer.space.name, To: other.Key, From: peer.self}
	if other.Key.Daemon == o.daemon {
		if neighbour, local := peer.space.byKey[other.Key]; local {
			o.learn(now, neighbour, peer.self.Key, o.takeUnannounced(peer, other.Key), false)
			response := o.introduce(now, neighbour, peer.self)
			o.learn(now, peer, neighbour.self.Key, response.Peers, false)
			o.learn(now, peer, neighbour.self.Key, response.Boundary, true)
		}
		return
	}
	greeting.Peers = o.takeUnannounced(peer, other.Key)
	if heals {
		greeting.Hops = healing
	}
	waiting, found := peer.pending[other.Key]
	if !found {
		waiting = &pendingRequest{}
		peer.pending[other.Key] = waiting
	}
	waiting.attempts++
	waiting.sent, waiting.deadline = now, now.Add(backoff(greetTimeout, waiting.attempts))
	o.timers.ArmSooner("limits", waiting.deadline)
	o.signal(other.Key.Daemon, greeting)
}

// regreet greets all known peers after a peer has changed. If the peer has become a
// subscriber, the responses also name the peers inside its area.
func (o *Overlay) regreet(now time.Time, peer *hostedPeer) {
	for _, known := range sortedPeers(peer.known) {
		if peer.greeted[known.Key] < peer.self.Change {
			o.greet(now, peer, known)
		}
	}
}
