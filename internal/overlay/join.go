package overlay

import (
	"dahlialock/internal/statemachine"
	"maps"
	"slices"
	"time"
)

// join sends a peer's join, for the first time or again: through the nearest joined
// peer of the space here, or else to other daemons. If the latter is in progress for
// another peer here, this one waits for that.
func (o *Overlay) join(now time.Time, peer *hosted) {
	o.Counts.Joins++
	if peer.joining == nil {
		peer.joining = &outstanding{}
	}
	peer.joining.attempts++
	peer.joining.sent = now
	peer.joining.until = now.Add(backoff(joinTimeout, peer.joining.attempts))
	o.timers.ArmSooner("limits", peer.joining.until)
	clear(peer.joinTargets)
	peer.queued = false
	request := Signal{Kind: SignalJoin, Space: peer.space.name, From: peer.self, Attempts: uint8(min(peer.joining.attempts, 255))}
	if start := o.nearestHosted(peer.space, peer.self.At, peer); start != nil {
		o.forward(now, start, request)
		return
	}
	for _, other := range peer.space.peers {
		if other != peer && other.joining != nil && !other.queued {
			// Another peer here is still looking for the other daemons' ones.
			peer.queued = true
			return
		}
	}
	peer.joinedThroughAll = false
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
	o.joinThroughAll(now, peer)
}

// backoff returns the timeout of an attempt, which doubles up to maxDoublings times.
func backoff(first time.Duration, attempts int) time.Duration {
	if statemachine.Mutated("no-retry-pauses") {
		return first
	}
	return first << min(max(0, attempts-1), maxDoublings)
}

// joinThroughAll sends a join to all daemons. Only if none of them hosts a peer of the
// space is the joining one the first.
func (o *Overlay) joinThroughAll(now time.Time, peer *hosted) {
	peer.joinedThroughAll = true
	request := Signal{Kind: SignalJoin, Space: peer.space.name, From: peer.self, Attempts: uint8(min(peer.joining.attempts, 255))}
	for name := range statemachine.Sorted(o.gateways) {
		peer.joinTargets[name] = true
		o.signal(name, request)
	}
	if len(peer.joinTargets) == 0 {
		o.joined(now, peer)
	}
}

// joined ends a peer's joining, and continues with the requests and the peers that
// waited for it.
func (o *Overlay) joined(now time.Time, peer *hosted) {
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

// nearestHosted returns the joined peer here that is nearest to a point, other than
// without; nil if there is none.
func (o *Overlay) nearestHosted(here *space, at Point, without *hosted) *hosted {
	var best *hosted
	bestDistance := 0.0
	for _, peer := range here.peers {
		if peer == without || peer.joining != nil {
			continue
		}
		distanceAway := distance(peer.self.At, at)
		if best == nil || distanceAway < bestDistance || distanceAway == bestDistance && peer.self.Key.compare(best.self.Key) < 0 {
			best, bestDistance = peer, distanceAway
		}
	}
	return best
}

// anyJoining returns the first peer by key that is still joining, nil if none is.
func (s *space) anyJoining() *hosted {
	for _, peer := range s.sorted() {
		if peer.joining != nil {
			return peer
		}
	}
	return nil
}

// forward passes a join on from a peer here to the nearest one that it knows, until
// one here is the nearest and accepts it or the next is on another daemon.
func (o *Overlay) forward(now time.Time, at *hosted, request Signal) {
	target := request.From.At
	for {
		best, bestDistance := at.self, distance(at.self.At, target)
		for key, known := range at.known {
			if key == request.From.Key {
				continue
			}
			distanceAway := distance(known.At, target)
			if distanceAway < bestDistance || distanceAway == bestDistance && key.compare(best.Key) < 0 {
				best, bestDistance = known, distanceAway
			}
		}
		if best.Key == at.self.Key {
			o.accept(now, at, request)
			return
		}
		if next, here := at.space.byKey[best.Key]; here {
			if next.holdsOff(request) {
				next.requests = append(next.requests, request)
				return
			}
			at = next
			continue
		}
		if o.ended(best.Key) {
			o.drop(now, at, best.Key)
			continue
		}
		if request.Hops >= maxHops {
			o.accept(now, at, request)
			return
		}
		request.Hops++
		request.To = best.Key
		o.Counts.Hops++
		o.signal(best.Key.Daemon, request)
		return
	}
}

// accept responds to a join as the acceptor. One of the same cell is sent all
// members of the cell.
func (o *Overlay) accept(now time.Time, acceptor *hosted, request Signal) {
	answer := o.introduce(now, acceptor, request.From)
	if acceptor.sharesArea(request.From) {
		for key, known := range sortedPeers(acceptor.subscribers) {
			if key != request.From.Key && acceptor.sharesArea(known) && !slices.ContainsFunc(answer.Peers, func(named Peer) bool { return named.Key == key }) {
				answer.Peers = append(answer.Peers, known)
			}
		}
	}
	answer.Kind = SignalWelcome
	answer.Hops = request.Hops
	o.sendTo(now, request.From.Key, answer)
}

// handleJoin handles a join from another daemon; here is nil if the space has no
// peers on this one.
func (o *Overlay) handleJoin(now time.Time, here *space, request Signal) {
	if here == nil || len(here.peers) == 0 {
		o.signal(request.From.Key.Daemon, Signal{
			Kind: SignalNobody, Space: request.Space, To: request.From.Key, From: Peer{Key: PeerKey{Daemon: o.daemon}},
		})
		return
	}
	if request.To.Daemon != "" {
		if _, present := here.byKey[request.To]; !present {
			o.signal(request.From.Key.Daemon, Signal{Kind: SignalLeft, Space: request.Space, To: request.From.Key, From: Peer{Key: request.To}})
		}
	}
	if named, present := here.byKey[request.To]; present && named.holdsOff(request) {
		// Others know that peer already, but it does not know its surroundings yet; the
		// request waits for that.
		named.requests = append(named.requests, request)
		return
	}
	if start := o.nearestHosted(here, request.From.At, nil); start != nil {
		o.forward(now, start, request)
		return
	}
	o.accept(now, here.anyJoining(), request)
}

// holdsOff reports whether a join must wait at a peer that is still joining. From the
// third attempt on it doesn't, since joins may wait for each other in a cycle.
func (h *hosted) holdsOff(request Signal) bool {
	return h.joining != nil && len(h.known) == 0 && request.Attempts <= 2
}

// handleNobody records that a daemon hosts no peer of the space, or was lost. Once
// that holds for all daemons the join was sent to, it goes to all; if it has, the peer
// is the first.
func (o *Overlay) handleNobody(now time.Time, peer *hosted, daemon string) {
	if peer.joining == nil || peer.queued || len(peer.joinTargets) == 0 {
		return
	}
	delete(peer.joinTargets, daemon)
	for name := range peer.joinTargets {
		if _, alive := o.gateways[name]; alive {
			return
		}
	}
	if !peer.joinedThroughAll {
		o.joinThroughAll(now, peer)
		return
	}
	o.joined(now, peer)
}

// whenJoined has done called once a peer has joined, and has a new one begin to join.
// done may be nil.
func (o *Overlay) whenJoined(now time.Time, peer *hosted, made bool, done Completion, effects *statemachine.Effects) {
	if done != nil {
		peer.waiting = append(peer.waiting, done)
	}
	if made {
		o.join(now, peer)
	}
	o.checkJoined(now, peer, effects)
	o.flush(effects)
}

// checkJoined calls those who wait for a peer if it has joined and no greeting is
// pending.
func (o *Overlay) checkJoined(now time.Time, peer *hosted, effects *statemachine.Effects) {
	if peer.joining != nil || len(peer.pending) > 0 {
		return
	}
	waiting := peer.waiting
	peer.waiting = nil
	for _, done := range waiting {
		done(now, effects, true)
	}
}
