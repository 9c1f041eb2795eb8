// The simulated network. Messages are delayed, or lost where a link is cut. The messages
// of a link arrive in order, except after a reconnect. A daemon may refuse connections.

package simulator

import (
	"fmt"
	"strings"
	"time"

	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

// linkName returns the key of the link from one daemon to another.
func linkName(from, to *Node) string { return from.Name + ">" + to.Name }

// CutLink cuts the link from one daemon to another, in this direction only. Cuts of the
// same link are counted.
func (s *Simulation) CutLink(from, to *Node) { s.cuts[linkName(from, to)]++ }

// HealLink reverts one CutLink.
func (s *Simulation) HealLink(from, to *Node) {
	name := linkName(from, to)
	if s.cuts[name]--; s.cuts[name] <= 0 {
		delete(s.cuts, name)
		from.HealthySince, to.HealthySince = s.Now, s.Now
	}
}

// Isolate cuts the links between the daemons inside and all others, in both directions.
func (s *Simulation) Isolate(inside func(node *Node) bool) {
	for _, node := range s.Nodes("") {
		for _, other := range s.Nodes("") {
			if inside(node) != inside(other) {
				s.CutLink(node, other)
			}
		}
	}
}

// Heal reverts all cuts, message loss, extra delays and reconnects.
func (s *Simulation) Heal() {
	if len(s.cuts) > 0 || s.loss > 0 {
		s.trace("the network heals")
	}
	for name := range s.cuts {
		from, to, _ := strings.Cut(name, ">")
		s.nodes[from].HealthySince, s.nodes[to].HealthySince = s.Now, s.Now
	}
	s.cuts, s.loss, s.extraDelay, s.reconnects = map[string]int{}, 0, 0, 0
}

// delay draws the one-way delay of a message between two zones.
func (s *Simulation) delay(from, to int) time.Duration {
	length := 100*time.Microsecond + time.Duration(s.Random.IntN(100))*time.Microsecond
	if from != to {
		length += s.Shape.Delay + time.Duration(s.Random.Int64N(int64(s.Shape.Delay/4)+1))
	}
	if s.loss > 0 && s.Random.Float64() < s.loss {
		// TCP retransmits a lost packet, so the loss only delays the message.
		length += 200 * time.Millisecond
	}
	if s.extraDelay > 0 {
		length += time.Duration(s.Random.Int64N(int64(s.extraDelay)))
	}
	return length
}

// send sends a message over the link to its receiver.
func (s *Simulation) send(from *Node, send statemachine.Send, version uint64) {
	to, found := s.byAddress[send.To]
	if !found {
		return
	}
	frame, err := transport.Encode(statemachine.Meta{From: from.Address, Version: version}, send.Message)
	must(err)
	s.Shape.Recorder.frame(from, to, frame)
	s.Sent[fmt.Sprintf("%T", send.Message)]++
	if s.cuts[linkName(from, to)] > 0 {
		return
	}
	if from.Zone != to.Zone {
		s.InterzoneBytes += int64(len(frame))
	}
	if release, holds := s.heldUntil(from, to); holds {
		s.deliverHeld(from, to, frame, release)
		return
	}
	if s.hasBandwidthLimits() && from != to {
		s.dispatch(from, to, send.Message, frame)
		return
	}
	at := s.Now.Add(s.delay(from.Zone, to.Zone))
	if from == to {
		at = s.Now
	}
	key := linkName(from, to)
	times := 1
	if s.reconnects > 0 && from != to && s.Random.IntN(20) == 0 {
		// The link has reconnected. A message that the old connection still held
		// arrives late, twice or not at all.
		times = s.Random.IntN(3)
		at = at.Add(time.Duration(s.Random.IntN(30)) * time.Millisecond)
	} else {
		if last := s.lastArrival[key]; last.After(at) {
			at = last
		}
		s.lastArrival[key] = at
	}
	for range times {
		s.arrive(from, to, frame, at)
	}
}

// arrive schedules the arrival of a frame at the receiver's process. The frame is lost if
// by then the link is cut, or the process is down or was restarted.
func (s *Simulation) arrive(from, to *Node, frame []byte, at time.Time) {
	key, incarnation := linkName(from, to), to.incarnation
	s.At(at, func() {
		if to.refusesConnections && s.cuts[key] == 0 {
			s.refuse(from, to)
		}
		if !to.Up || to.incarnation != incarnation || s.cuts[key] > 0 {
			return
		}
		to.enter(func() {
			to.receive(frame)
		})
	})
}
