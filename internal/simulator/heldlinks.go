// Links that hold what they were given while daemons at their ends begin anew. A
// link that lost its connection keeps its queue, in order, for up to two seconds and
// hands it to whatever life of the peer is there once it stands again; what an ended
// process had written may arrive as late.

package simulator

import (
	"fmt"
	"time"

	"dahlialock/internal/membership"
)

// maxHeld is how long a link holds a message at most.
const maxHeld = 2 * time.Second

// heldLinks is what is known of links that hold messages.
type heldLinks struct {
	// until is when a daemon's links cease to begin to hold, and release when a link
	// of one life of its sender hands on what it holds.
	until   map[*Node]time.Time
	release map[string]time.Time
}

// holdLinks has half the links from and to a daemon hold what they are given from some
// moment of a span on.
func (s *Simulation) holdLinks(node *Node, length time.Duration) {
	if s.heldLinks.until == nil {
		s.heldLinks = heldLinks{until: map[*Node]time.Time{}, release: map[string]time.Time{}}
	}
	s.heldLinks.until[node] = s.Now.Add(length)
}

// heldUntil tells when a message that is sent now arrives, if its link holds it.
func (s *Simulation) heldUntil(from, to *Node) (time.Time, bool) {
	if s.heldLinks.until == nil || from == to {
		return time.Time{}, false
	}
	key := fmt.Sprint(link(from, to), " ", from.incarnation)
	if release := s.heldLinks.release[key]; release.After(s.Now) {
		return release, true
	}
	if !s.heldLinks.until[from].After(s.Now) && !s.heldLinks.until[to].After(s.Now) || s.Random.IntN(2) == 0 {
		return time.Time{}, false
	}
	release := s.Now.Add(time.Duration(s.Random.Int64N(int64(maxHeld))))
	s.heldLinks.release[key] = release
	return release, true
}

// land hands a held message to whatever life is there.
func (s *Simulation) land(from, to *Node, frame []byte, at time.Time) {
	s.At(at, func() {
		if to.Up && s.cuts[link(from, to)] == 0 {
			to.enter(func() { to.receive(frame) })
		}
	})
}

// restartWithHeldLinks ends a daemon whose links hold messages, and begins it anew
// while they do; some of its lives are short.
func (s *Simulation) restartWithHeldLinks(node *Node, incarnations int) {
	if node == nil {
		return
	}
	s.holdLinks(node, 400*time.Millisecond)
	s.After(s.between(50*time.Millisecond, 350*time.Millisecond), func() {
		if s.Random.IntN(2) == 0 {
			node.Crash()
		} else {
			node.Kill()
		}
		s.After(s.between(20*time.Millisecond, 300*time.Millisecond), node.Start)
	})
	if incarnations > 1 {
		s.After(s.between(700*time.Millisecond, 1500*time.Millisecond), func() { s.restartWithHeldLinks(node, incarnations-1) })
	}
}

// restartsWithHeldLinks strikes one daemon after another, sometimes two at once.
func restartsWithHeldLinks(simulation *Simulation, length time.Duration) {
	kinds := []string{membership.KindController, membership.KindStore, membership.KindStore, membership.KindGateway, membership.KindAgent}
	simulation.every(length, 1500*time.Millisecond, 3500*time.Millisecond, func() {
		for range 1 + simulation.Random.IntN(2) {
			simulation.restartWithHeldLinks(simulation.pickUp(kinds[simulation.Random.IntN(len(kinds))]), 1+simulation.Random.IntN(3))
		}
	})
}
