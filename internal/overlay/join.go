package overlay

import (
	"dahlialock/internal/statemachine"
	"maps"
	"slices"
	"time"
)

// join sends or retries a peer's join request: through the nearest joined peer of this
// daemon in the space or, if there is none, to other daemons. If another peer of this
// daemon is already joining through other daemons, this peer waits for it.
func (o *Overlay) join(now time.Time, peer *hostedPeer) {
	o.Counts.Joins++
	if peer.joining == nil {
		peer.joining = &pendingRequest{}
	}
	peer.joining.attempts++
	peer.joining.sent = now
	peer.joining.deadline = now.Add(backoff(joinTimeout, peer.joining.attempts))
	o.timers.ArmSooner("limits", peer.joining.deadline)
	clear(peer.joinTargets)
	peer.queued = false
	request := Signal{Kind: SignalJoin, Space: peer.space.name, From: peer.self, Attempts: uint8(min(peer.joining.attempts, 255))}
	if start := o.nearestHosted(peer.space, peer.self.At, peer); start != nil {
		o.forward(now, start, request)
		return
	}
	for _, other := range peer.space.peers {
		if other != peer && other.joining != nil && !other.queued {
			// Another peer of this daemon is already joining through other daemons.
			peer.queued = true
			return
		}
	}
	peer.joinSentToAll = false
	if peer.joining.attempts == 1 && len(o.gateways) > firstJoinTargets {
		names := slices.Collect(maps.Keys(o.gateways))
		slices.Sort(names)
		for step := range firstJoinTargets {
			name := names[(uint64(step)+keyHash(peer.self.Key))%uint64(len(names))]
			peer.joinTargets[name] = true
			o.signal(name, request)
		}
		return
	}
	o.joinThroughAllDaemons(now, peer)
}

// backoff returns the timeout of an attempt. It doubles with each attempt, up to
// maxDoublings times.
func backoff(first time.Duration, attempts int) time.Duration {
	if statemachine.Mutated("no-retry-pauses") {
		return first
	}
	return first << min(max(0, attempts-1), maxDoublings)
}

// joinThroughAllDaemons sends a join request to all daemons. A peer may join as the
// first of its space only if no daemon hosts a peer of the space.
func (o *Overlay) joinThroughAllDaemons(now time.Time, peer *hostedPeer) {
	peer.joinSentToAll = true
	request := Signal{Kind: SignalJoin, Space: peer.space.name, From: peer.self, Attempts: uint8(min(peer.joining.attempts, 255))}
	for name := range statemachine.Sorted(o.gateways) {
		peer.joinTargets[name] = true
		o.signal(name, request)
	}
	if len(peer.joinTargets) == 0 {
		o.joined(now, peer)
	}
}

// joined marks a peer as joined. It then handles the join requests and starts the joins
// that waited for the peer.
func (o *Overlay) joined(now time.Time, peer *hostedPeer) {
	peer.joining = nil
	o.timers.ArmSooner("settle", now)
	requests := peer.requests
	peer.requests = nil
	for _, request := range requests {
		o.forward(now, peer, request)
	}
	for _, other := range peer.space.sorted() {
		if other.queued {
			other.queued = false
			o.join(now, other)
		}
	}
}

// nearestHosted returns the joined peer of this daemon that is nearest to a point,
// excluding except, or nil if there is none.
func (o *Overlay) nearestHosted(space *space, at Point, except *hostedPeer) *hostedPeer {
	var best *hostedPeer
	bestDistance := 0.0
	for _, peer := range space.peers {
		if peer == except || peer.joining != nil {
			continue
		}
		candidateDistance := distance(peer.self.At, at)
		if best == nil || candidateDistance < bestDistance || candidateDistance == bestDistance && peer.self.Key.compare(best.self.Key) < 0 {
			best, bestDistance = peer, candidateDistance
		}
	}
	return best
}

// anyJoining returns the joining peer with the lowest key, or nil if there is none.
func (s *space) anyJoining() *hostedPeer {
	for _, peer := range s.sorted() {
		if peer.joining != nil {
			return peer
		}
	}
	return nil
}

// forward forwards a join request from a peer of this daemon to the known peer that is
// nearest to the joining peer's point. It repeats this until a peer of this daemon is
// itself the nearest and accepts the request, or the next peer is on another daemon.
func (o *Overlay) forward(now time.Time, current *hostedPeer, request Signal) {
	target := request.From.At
	for {
		best, bestDistance := current.self, distance(current.self.At, target)
		for key, known := range current.known {
			if key == request.From.Key {
				continue
			}
			candidateDistance := distance(known.At, target)
			if candidateDistance < bestDistance || candidateDistance == bestDistance && key.compare(best.Key) < 0 {
				best, bestDistance = known, candidateDistance
			}
		}
		if best.Key == current.self.Key {
			o.accept(now, current, request)
			return
		}
		if next, local := current.space.byKey[best.Key]; local {
			if next.defersJoin(request) {
				next.requests = append(next.requests, request)
				return
			}
			current = next
			continue
		}
		if o.ended(best.Key) {
			o.drop(now, current, best.Key)
			continue
		}
		if request.Hops >= maxHops {
			o.accept(now, current, request)
			return
		}
		request.Hops++
		request.To = best.Key
		o.Counts.Hops++
		o.signal(best.Key.Daemon, request)
		return
	}
}

// accept responds to a join request as the acceptor. If the joining peer is in the same
// cell, the response names all members of the cell.
func (o *Overlay) accept(now time.Time, acceptor *hostedPeer, request Signal) {
	response := o.introduce(now, acceptor, request.From)
	if acceptor.sharesCell(request.From) {
		for key, known := range sortedPeers(acceptor.subscribers) {
			if key != request.From.Key && acceptor.sharesCell(known) && !slices.ContainsFunc(response.Peers, func(named Peer) bool { return named.Key == key }) {
				response.Peers = append(response.Peers, known)
			}
		}
	}
	response.Kind = SignalWelcome
	response.Hops = request.Hops
	o.sendTo(now, request.From.Key, response)
}

// handleJoin handles a join request from another daemon. space is nil if this daemon
// doesn't have the space.
func (o *Overlay) handleJoin(now time.Time, space *space, request Signal) {
	if space == nil || len(space.peers) == 0 {
		o.signal(request.From.Key.Daemon, Signal{
			Kind: SignalNoPeer, Space: request.Space, To: request.From.Key, From: Peer{Key: PeerKey{Daemon: o.daemon}},
		})
		return
	}
	if request.To.Daemon != "" {
		if _, present := space.byKey[request.To]; !present {
			o.signal(request.From.Key.Daemon, Signal{Kind: SignalLeft, Space: request.Space, To: request.From.Key, From: Peer{Key: request.To}})
		}
	}
	if named, present := space.byKey[request.To]; present && named.defersJoin(request) {
		// Other peers already know the addressed peer, but it doesn't know its neighbours
		// yet. The request waits until it has joined.
		named.requests = append(named.requests, request)
		return
	}
	if start := o.nearestHosted(space, request.From.At, nil); start != nil {
		o.forward(now, start, request)
		return
	}
	o.accept(now, space.anyJoining(), request)
}

// defersJoin reports whether a join request must wait at a peer that is still joining.
// From its third attempt on a request doesn't wait, since joining peers may wait for
// each other in a cycle.
func (h *hostedPeer) defersJoin(request Signal) bool {
	return h.joining != nil && len(h.known) == 0 && request.Attempts <= 2
}

// handleNoPeer records that a daemon hosts no peer of the space, or was lost. Once this
// applies to all daemons to which the join request was sent, the request is sent to all
// daemons; if it already was, the peer joins as the first of the space.
func (o *Overlay) handleNoPeer(now time.Time, peer *hostedPeer, daemon string) {
	if peer.joining == nil || peer.queued || len(peer.joinTargets) == 0 {
		return
	}
	delete(peer.joinTargets, daemon)
	for name := range peer.joinTargets {
		if _, alive := o.gateways[name]; alive {
			return
		}
	}
	if !peer.joinSentToAll {
		o.joinThroughAllDaemons(now, peer)
		return
	}
	o.joined(now, peer)
}

// whenJoined registers done to be called once a peer has joined, and starts the join of
// a newly created peer. done may be nil.
func (o *Overlay) whenJoined(now time.Time, peer *hostedPeer, created bool, done Completion, effects *statemachine.Effects) {
	if done != nil {
		peer.waiting = append(peer.waiting, done)
	}
	if created {
		o.join(now, peer)
	}
	o.checkJoined(now, peer, effects)
	o.flush(effects)
}

// checkJoined calls the waiting completions of a peer if it has joined and no greeting
// is pending.
func (o *Overlay) checkJoined(now time.Time, peer *hostedPeer, effects *statemachine.Effects) {
	if peer.joining != nil || len(peer.pending) > 0 {
		return
	}
	waiting := peer.waiting
	peer.waiting = nil
	for _, done := range waiting {
		done(now, effects, true)
	}
}
