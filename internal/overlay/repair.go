package overlay

import (
	"dahlialock/internal/statemachine"
	"slices"
	"time"
)

// checkDeadlines retries joins and greetings that have timed out. A greeting is
// abandoned after maxGreetAttempts; a join is retried indefinitely.
func (o *Overlay) checkDeadlines(now time.Time, effects *statemachine.Effects) {
	var next time.Time
	for _, space := range statemachine.Sorted(o.spaces) {
		for _, peer := range space.sorted() {
			if peer.joining != nil && !peer.joining.deadline.After(now) {
				// A peer can't operate without having joined. If the request was lost
				// with a daemon, dropDaemon retries sooner.
				o.join(now, peer)
			}
			for key := range sortedPending(peer.pending) {
				waiting := peer.pending[key]
				if waiting.deadline.After(now) {
					continue
				}
				known, found := peer.known[key]
				if !found || waiting.attempts >= maxGreetAttempts {
					// The peer stays known; reconcile greets it again later.
					delete(peer.pending, key)
					peer.greeted[key] = 0
					continue
				}
				o.greet(now, peer, known)
			}
			for _, waiting := range peer.pending {
				next = statemachine.Earliest(next, waiting.deadline)
			}
			if peer.joining != nil {
				next = statemachine.Earliest(next, peer.joining.deadline)
			}
			o.checkJoined(now, peer, effects)
		}
	}
	if !next.IsZero() {
		o.timers.ArmSooner("limits", next)
	}
}

// sortedPending iterates over the keys of pending greetings in order. Entries may be
// removed during the iteration.
func sortedPending(pending map[PeerKey]*pendingRequest) func(yield func(PeerKey) bool) {
	return func(yield func(PeerKey) bool) {
		keys := make([]PeerKey, 0, len(pending))
		for key := range pending {
			keys = append(keys, key)
		}
		slices.SortFunc(keys, PeerKey.compare)
		for _, key := range keys {
			if _, found := pending[key]; found && !yield(key) {
				return
			}
		}
	}
}

// reconcile has a few peers, in turn, greet their enclosing neighbours again and probe
// another daemon. On both sides this repairs missing knowledge that is due to a lost
// signal, a network partition or a wrongly computed edge. It runs every reconcileInterval
// while this daemon has peers.
func (o *Overlay) reconcile(now time.Time, _ *statemachine.Effects) {
	any := false
	var names []string
	for name := range statemachine.Sorted(o.gateways) {
		names = append(names, name)
	}
	for _, space := range statemachine.Sorted(o.spaces) {
		peers := space.sorted()
		if len(peers) == 0 {
			continue
		}
		any = true
		count := max(1, len(peers)/64)
		for range count {
			peer := peers[space.turn%len(peers)]
			space.turn++
			if peer.joining != nil {
				continue
			}
			for _, key := range peer.region.owners() {
				if known, found := peer.known[key]; found && key.Daemon != o.daemon {
					o.greet(now, peer, known)
				}
			}
			for _, known := range sortedPeers(peer.known) {
				if peer.greeted[known.Key] < peer.self.Change {
					o.greet(now, peer, known)
				}
			}
			if len(names) > 0 {
				o.probe(peer, names[space.turn/len(peers)%len(names)])
			}
		}
	}
	if any {
		o.timers.Arm("compare", now.Add(reconcileInterval))
	}
}

// sweep ends publishing at peers that had no Publish call for publisherIdleTimeout; of
// these, the peers that don't subscribe leave. It also removes expired tombstones.
func (o *Overlay) sweep(now time.Time) {
	any := false
	for _, space := range statemachine.Sorted(o.spaces) {
		for key, at := range space.tombstones {
			if now.Sub(at) > tombstoneLifetime {
				delete(space.tombstones, key)
			}
		}
		for _, peer := range space.sorted() {
			any = true
			if !peer.publishes || now.Sub(peer.lastUse) < publisherIdleTimeout {
				continue
			}
			peer.publishes = false
			if !peer.self.Subscribes {
				o.leave(peer)
			}
		}
	}
	if any {
		o.timers.Arm("sweep", now.Add(sweepInterval))
	}
}
