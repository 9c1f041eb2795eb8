// The simulated network: messages that are delayed, lost or cut, in order on each
// link unless a link is dialled anew, and daemons that refuse to be dialled.

package simulator

import (
	"fmt"
	"strings"
	"time"

	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

func link(from, to *Node) string { return from.Name + ">" + to.Name }

// CutLink cuts the way from one daemon to another.
func (s *Simulation) CutLink(from, to *Node) { s.cuts[link(from, to)]++ }

// HealLink takes one cut away again.
func (s *Simulation) HealLink(from, to *Node) {
	name := link(from, to)
	if s.cuts[name]--; s.cuts[name] <= 0 {
		delete(s.cuts, name)
		from.HealthySince, to.HealthySince = s.Now, s.Now
	}
}

// Isolate cuts daemons off from all others, both ways.
func (s *Simulation) Isolate(inside func(node *Node) bool) {
	for _, node := range s.Nodes("") {
		for _, other := range s.Nodes("") {
			if inside(node) != inside(other) {
				s.CutLink(node, other)
			}
		}
	}
}

// Heal takes all cuts and losses away.
func (s *Simulation) Heal() {
	if len(s.cuts) > 0 || s.loss > 0 {
		s.trace("the network heals")
	}
	for name := range s.cuts {
		from, to, _ := strings.Cut(name, ">")
		s.nodes[from].HealthySince, s.nodes[to].HealthySince = s.Now, s.Now
	}
	s.cuts, s.loss, s.lag, s.relinks = map[string]int{}, 0, 0, 0
}

func (s *Simulation) delay(from, to int) time.Duration {
	length := 100*time.Microsecond + time.Duration(s.Random.IntN(100))*time.Microsecond
	if from != to {
		length += s.Shape.Delay + time.Duration(s.Random.Int64N(int64(s.Shape.Delay/4)+1))
	}
	if s.loss > 0 && s.Random.Float64() < s.loss {
		// A lost packet is sent again by the transport below.
		length += 200 * time.Millisecond
	}
	if s.lag > 0 {
		length += time.Duration(s.Random.Int64N(int64(s.lag)))
	}
	return length
}

func (s *Simulation) send(from *Node, send statemachine.Send, version uint64) {
	to, found := s.byPort[send.To]
	if !found {
		return
	}
	frame, err := transport.Encode(statemachine.Meta{From: from.Address, Version: version}, send.Message)
	must(err)
	s.Shape.Recorder.frame(from, to, frame)
	s.Sent[fmt.Sprintf("%T", send.Message)]++
	if s.cuts[link(from, to)] > 0 {
		return
	}
	if from.Zone != to.Zone {
		s.InterzoneBytes += int64(len(frame))
	}
	if release, holds := s.heldUntil(from, to); holds {
		s.land(from, to, frame, release)
		return
	}
	if s.limited() && from != to {
		s.dispatch(from, to, send.Message, frame)
		return
	}
	at := s.Now.Add(s.delay(from.Zone, to.Zone))
	if from == to {
		at = s.Now
	}
	key := link(from, to)
	times := 1
	if s.relinks > 0 && from != to && s.Random.IntN(20) == 0 {
		// A link that was dialled anew: what the old one still held comes
		// late, twice or never.
		times = s.Random.IntN(3)
		at = at.Add(time.Duration(s.Random.IntN(30)) * time.Millisecond)
	} else {
		if last := s.arrival[key]; last.After(at) {
			at = last
		}
		s.arrival[key] = at
	}
	for range times {
		s.arrive(from, to, frame, at)
	}
}

func (s *Simulation) arrive(from, to *Node, frame []byte, at time.Time) {
	key, incarnation := link(from, to), to.incarnation
	s.At(at, func() {
		if to.refuses && s.cuts[key] == 0 {
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
