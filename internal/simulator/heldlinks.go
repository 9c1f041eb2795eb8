// Links that hold messages across restarts of their daemons. A link that lost its
// connection keeps its queue, in order, for up to two seconds. After the reconnect it
// delivers the queue to the peer's process, even if that has been restarted since.
// Messages that a process sent before it ended may arrive equally late.

package simulator

import (
	"fmt"
	"time"

	"dahlialock/internal/membership"
)

// maxHeld is the maximum time for which a link holds a message.
const maxHeld = 2 * time.Second

// heldLinks is the state of links that hold messages.
type heldLinks struct {
	// until is the time, by daemon, up to which its links may start to hold messages.
	// release is the time, by link and incarnation of its sender, at which the link
	// delivers the messages that it holds.
	until   map[*Node]time.Time
	release map[string]time.Time
}

// holdLinks makes the links from and to a daemon hold messages: within length, each
// message on a link that does not hold messages yet has a chance of one half to make it
// start.
func (s *Simulation) holdLinks(node *Node, length time.Duration) {
	if s.heldLinks.until == nil {
		s.heldLinks = heldLinks{until: map[*Node]time.Time{}, release: map[string]time.Time{}}
	}
	s.heldLinks.until[node] = s.Now.Add(length)
}

// heldUntil returns the arrival time of a message that is sent now if its link holds
// messages, and false if it does not.
func (s *Simulation) heldUntil(from, to *Node) (time.Time, bool) {
	if s.heldLinks.until == nil || from == to {
		return time.Time{}, false
	}
	key := fmt.Sprint(linkName(from, to), " ", from.incarnation)
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

// deliverHeld delivers a held message to the process of the receiver that runs at that time,
// whatever its incarnation.
func (s *Simulation) deliverHeld(from, to *Node, frame []byte, at time.Time) {
	s.At(at, func() {
		if to.Up && s.cuts[linkName(from, to)] == 0 {
			to.enter(func() { to.receive(frame) })
		}
	})
}

// restartWithHeldLinks crashes or kills a daemon whose links hold messages, and starts it
// again while they still do. It repeats this for a number of incarnations, which follow
// each other within a short time.
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

// restartsWithHeldLinks applies restartWithHeldLinks to one daemon after another, sometimes
// to two at once.
func restartsWithHeldLinks(simulation *Simulation, length time.Duration) {
	kinds := []string{membership.KindController, membership.KindStore, membership.KindStore, membership.KindGateway, membership.KindAgent}
	simulation.every(length, 1500*time.Millisecond, 3500*time.Millisecond, func() {
		for range 1 + simulation.Random.IntN(2) {
			simulation.restartWithHeldLinks(simulation.randomRunningNode(kinds[simulation.Random.IntN(len(kinds))]), 1+simulation.Random.IntN(3))
		}
	})
}
