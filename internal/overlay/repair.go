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
	for _, here := range statemachine.Sorted(o.spaces) {
		for _, peer := range here.sorted() {
			if peer.joining != nil && !peer.joining.until.After(now) {
				// A peer can't operate without having joined. If the request was lost
				// with a daemon, dropDaemon retries sooner.
				o.join(now, peer)
			}
			for key := range sortedPending(peer.pending) {
				waiting := peer.pending[key]
				if waiting.until.After(now) {
					continue
				}
				known, found := peer.known[key]
				if !found || waiting.attempts >= maxGreetAttempts {
					// The peer stays known; compare greets it again later.
					delete(peer.pending, key)
					peer.greeted[key] = 0
					continue
				}
				o.greet(now, peer, known)
			}
			for _, waiting := range peer.pending {
				next = statemachine.Earliest(next, waiting.until)
			}
			if peer.joining != nil {
				next = statemachine.Earliest(next, peer.joining.until)
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
func sortedPending(pending map[PeerKey]*outstanding) func(yield func(PeerKey) bool) {
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

// compare has a few peers, in turn, greet their enclosing neighbours again and probe
// another daemon. On both sides this repairs missing knowledge that is due to a lost
// signal, a network partition or a wrongly computed edge. It runs every compareInterval
// while this daemon has peers.
func (o *Overlay) compare(now time.Time, _ *statemachine.Effects) {
	any := false
	var names []string
	for name := range statemachine.Sorted(o.gateways) {
		names = append(names, name)
	}
	for _, here := range statemachine.Sorted(o.spaces) {
		peers := here.sorted()
		if len(peers) == 0 {
			continue
		}
		any = true
		count := max(1, len(peers)/64)
		for range count {
			peer := peers[here.turn%len(peers)]
			here.turn++
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
				o.probe(peer, names[here.turn/len(peers)%len(names)])
			}
		}
	}
	if any {
		o.timers.Arm("compare", now.Add(compareInterval))
	}
}

// sweep ends publishing at peers without a Publish call for quietFor, has those of them
// leave that don't subscribe, and removes expired tombstones.
func (o *Overlay) sweep(now time.Time) {
	any := false
	for _, here := range statemachine.Sorted(o.spaces) {
		for key, at := range here.gone {
			if now.Sub(at) > tombstoneLifetime {
				delete(here.gone, key)
			}
		}
		for _, peer := range here.sorted() {
			any = true
			if !peer.publishes || now.Sub(peer.lastUse) < quietFor {
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
