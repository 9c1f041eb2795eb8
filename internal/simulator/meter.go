// Metering: what a run's daemons work and say, told to whoever measures. A clock is
// read only then, and has no part in the run itself.

package simulator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// Meter is told of the time that a daemon's machine and codec took, and of
// each message with the bytes of its frame.
type Meter interface {
	// Clock is read before and after, to tell how long it took.
	Clock() time.Duration
	Worked(node *Node, took time.Duration)
	Said(from, to *Node, message any, size int)
}

func (n *Node) metered(run func()) {
	meter := n.simulation.Meter
	if meter == nil {
		run()
		return
	}
	began := meter.Clock()
	run()
	meter.Worked(n, meter.Clock()-began)
}

// Release lets the machines of some daemons go, so that their memory can be told
// from the others'. The run can't go on after it.
func (s *Simulation) Release(chosen func(node *Node) bool) int {
	count := 0
	for _, node := range s.Nodes("") {
		if node.Machine != nil && chosen(node) {
			node.Machine, node.book, node.writes = nil, nil, nil
			node.Up = false
			count++
		}
	}
	s.queue = nil
	return count
}

// Found starts a fleet without callers, puts its first configuration, and waits
// until every daemon has it and every gateway serves. It is what Prepare does for
// the scenarios, without the watch over what callers see.
func (s *Simulation) Found(spaces int, limit time.Duration) error {
	s.StartAll()
	if taken := s.Put(1, spaces, limit); !taken {
		return fmt.Errorf("no configuration was taken in %v", limit)
	}
	gateways, all := s.Nodes(membership.KindGateway), s.Nodes("")
	level := func() bool {
		for _, node := range gateways {
			if !node.Ready() {
				return false
			}
		}
		for _, node := range all {
			follower := node.Machine.ViewClient()
			if follower.Version != 1 || len(follower.Members) != len(all) {
				return false
			}
		}
		return true
	}
	if !s.RunUntil(limit, level) {
		return fmt.Errorf("not every daemon is level after %v", limit)
	}
	return nil
}

// Put puts a configuration with routed topics and as many spaces at the first
// controller until it is taken, and lets time pass meanwhile.
func (s *Simulation) Put(version uint64, spaces int, limit time.Duration) bool {
	made := document{Version: version}
	for number := range spaces {
		name := fmt.Sprintf("space-%d", number)
		made.Spaces = append(made.Spaces, spaceDocument{Name: name, Promise: "kept", Order: "topic"})
		made.Routes = append(made.Routes, routeDocument{Prefix: fmt.Sprintf("%d/", number), Space: name})
	}
	body, err := json.Marshal(made)
	must(err)
	taken, controller := false, s.Nodes(membership.KindController)[0]
	var try func()
	try = func() {
		s.Control(controller, http.MethodPut, "/v1/configuration", body, func(returned membership.ControlResponse, alive bool) {
			if taken = alive && returned.Status == http.StatusOK; !taken {
				s.After(500*time.Millisecond, try)
			}
		})
	}
	s.After(time.Millisecond, try)
	return s.RunUntil(limit, func() bool { return taken })
}

// Tell brings a command into a daemon to which there is no answer.
func (s *Simulation) Tell(node *Node, command any) {
	node.enter(func() {
		node.step(func(now time.Time, effects *statemachine.Effects) { node.Machine.HandleCommand(now, command, effects) })
	})
}
