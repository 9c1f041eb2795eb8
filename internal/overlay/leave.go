package overlay

import (
	"dahlialock/internal/statemachine"
	"time"
)

// drop removes a departed peer from the known peers of a peer of this daemon, and
// rebuilds the region if the departed peer was an enclosing neighbour.
func (o *Overlay) drop(now time.Time, peer *hostedPeer, key PeerKey) {
	if _, found := peer.known[key]; !found {
		delete(peer.pending, key)
		return
	}
	peer.forget(key)
	delete(peer.pending, key)
	if peer.region.owns(key) {
		o.rebuild(now, peer)
	}
}

// forget removes all state about another peer, except in the region and the pending
// greetings.
func (h *hostedPeer) forget(key PeerKey) {
	if h.cell != nil {
		h.cell.removeMember(key)
	}
	delete(h.known, key)
	delete(h.subscribers, key)
	delete(h.greeted, key)
	delete(h.introducedAt, key)
	delete(h.unannounced, key)
}

// leave removes a peer of this daemon and sends a SignalLeave to all peers that it knows.
func (o *Overlay) leave(peer *hostedPeer) {
	o.Counts.Leaves++
	peer.space.unindexPeer(peer)
	var remaining []Peer
	for _, key := range peer.region.owners() {
		remaining = append(remaining, peer.known[key])
	}
	for _, known := range sortedPeers(peer.known) {
		if peer.cell == nil && known.Subscribes && !peer.region.owns(known.Key) && peer.region.intersects(known.Area) {
			remaining = append(remaining, known)
		}
	}
	for key := range sortedPeers(peer.known) {
		// Only the regions of the enclosing neighbours grow, so only they need the
		// other neighbours and the subscribers of the region.
		leaveSignal := Signal{Kind: SignalLeave, Space: peer.space.name, To: key, From: peer.self}
		if peer.region.owns(key) {
			leaveSignal.Peers = remaining
		}
		if key.Daemon != o.daemon {
			o.signal(key.Daemon, leaveSignal)
		} else if neighbour, local := peer.space.byKey[key]; local {
			o.handleLeave(time.Time{}, neighbour, leaveSignal)
		}
	}
}

// handleLeave removes a leaving peer, and learns the peers that it names.
func (o *Overlay) handleLeave(now time.Time, peer *hostedPeer, leaveSignal Signal) {
	o.drop(now, peer, leaveSignal.From.Key)
	o.learn(now, peer, leaveSignal.From.Key, leaveSignal.Peers, false)
}

// dropDaemon removes all peers of a daemon except those of the given incarnation, which
// is 0 if the daemon is no longer in the view.
func (o *Overlay) dropDaemon(now time.Time, daemon string, incarnation uint64, effects *statemachine.Effects) {
	for _, space := range statemachine.Sorted(o.spaces) {
		for _, peer := range space.sorted() {
			rebuild := false
			for key := range sortedPeers(peer.known) {
				if key.Daemon != daemon || key.Incarnation == incarnation {
					continue
				}
				rebuild = rebuild || peer.region.owns(key)
				peer.forget(key)
			}
			for key := range peer.pending {
				if key.Daemon == daemon && key.Incarnation != incarnation {
					delete(peer.pending, key)
				}
			}
			switch {
			case peer.joining == nil || peer.queued:
			case peer.joinTargets[daemon]:
				o.handleNoPeer(now, peer, daemon)
			case len(peer.joinTargets) == 0 && (now.Sub(peer.joining.sent) > minJoinRetryAge || statemachine.Mutated("no-retry-pauses")):
				// The join request may have been lost with that daemon. If many daemons
				// are lost at the same time, one new attempt is enough.
				o.join(now, peer)
			}
			if rebuild {
				o.rebuild(now, peer)
				for _, key := range peer.region.owners() {
					if known, found := peer.known[key]; found {
						o.greet(now, peer, known)
					}
				}
			}
			o.checkJoined(now, peer, effects)
		}
	}
}

// probeAll sends a probe for each peer of this daemon to one other daemon. After a
// network partition, this discovers the neighbours on the other side.
func (o *Overlay) probeAll(_ time.Time, daemon string) {
	for _, space := range statemachine.Sorted(o.spaces) {
		if _, cells := o.planes[space.name]; cells {
			// Checks between the members of cells discover the same neighbours.
			continue
		}
		for _, peer := range space.sorted() {
			o.probe(peer, daemon)
		}
	}
}

// probe sends a join request for a peer that has already joined. The response names the
// neighbours that the other daemon's peers know for its region. A lost response isn't
// detected.
func (o *Overlay) probe(peer *hostedPeer, daemon string) {
	o.Counts.Probes++
	o.signal(daemon, Signal{Kind: SignalJoin, Space: peer.space.name, From: peer.self})
}

// ended reports whether a peer belongs to a daemon that isn't in the view, or to an
// earlier incarnation of a daemon that is. A peer with a higher incarnation than the
// view's hasn't ended, since incarnations increase and the view may be out of date.
func (o *Overlay) ended(key PeerKey) bool {
	gateway, alive := o.gateways[key.Daemon]
	return !alive || key.Incarnation > 0 && key.Incarnation < gateway.Joined && !statemachine.Mutated("any-life-of-a-peer")
}

// SetIncarnation sets this daemon's incarnation: the index of the control state at
// which it joined or, after the others had declared it lost, rejoined. Every peer
// rejoins under a new key. It does nothing if the incarnation is unchanged.
func (o *Overlay) SetIncarnation(now time.Time, incarnation uint64, effects *statemachine.Effects) {
	if o.incarnation == incarnation {
		return
	}
	o.incarnation = incarnation
	for _, space := range statemachine.Sorted(o.spaces) {
		for _, peer := range space.sorted() {
			delete(space.byKey, peer.self.Key)
			o.number++
			o.change++
			peer.self.Key.Incarnation, peer.self.Key.Number = incarnation, o.number
			peer.self.Change = o.change
			if peer.cell != nil {
				peer.self = cellPeer(peer.self.Key, peer.cell.number, o.change)
				peer.cell.reset()
			}
			peer.subscribers = map[PeerKey]Peer{}
			peer.known, peer.greeted, peer.pending = map[PeerKey]Peer{}, map[PeerKey]uint64{}, map[PeerKey]*pendingRequest{}
			peer.introducedAt, peer.unannounced = map[PeerKey]time.Time{}, map[PeerKey]map[PeerKey]bool{}
			peer.region = newRegion(peer.self.At)
			peer.joining, peer.queued = nil, false
			space.byKey[peer.self.Key] = peer
		}
		peers := space.sorted()
		for _, peer := range peers {
			peer.joining, peer.queued = &pendingRequest{}, true
		}
		if len(peers) > 0 {
			o.join(now, peers[0])
		}
	}
	o.flush(effects)
}

// LeaveAll has every peer leave; it is called before the daemon shuts down.
func (o *Overlay) LeaveAll(effects *statemachine.Effects) {
	for _, space := range statemachine.Sorted(o.spaces) {
		for _, peer := range space.sorted() {
			o.leave(peer)
		}
	}
	o.flush(effects)
}
