// Links with a bandwidth: each machine has one, and its daemons and their callers
// share it. Bytes wait for it in the order in which they come, in segments; a
// connection has no more than a window of them under way, so that a sender is
// held up by a link that is full and by a peer that does not read. What a daemon
// holds beyond that waits in internal/transport's own Order, held back by its Pace
// and Window. Links have no bandwidth, and none of this acts, unless the Size names
// one.

package simulator

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

const (
	// segmentSize is how many bytes go over a link at once.
	segmentSize = 1448
	// windowSize is how many bytes are under way on one connection, unless the
	// Size says otherwise.
	windowSize = 64 << 10
	// confirmationSize is what a receiver's confirmation takes.
	confirmationSize = 48
	// lineHead stands for what a command or an answer has beside its texts.
	lineHead = 24
)

// Bandwidth is what the link of a machine takes each way, in bytes a second; zero is
// without a limit.
type Bandwidth struct {
	Up, Down int
}

// lane is one direction of a machine's link.
type lane struct {
	rate int
	free time.Time
}

// transmitAt gives the moment at which bytes that come now are through.
func (l *lane) transmitAt(now time.Time, size int) time.Time {
	if l == nil || l.rate == 0 {
		return now
	}
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(size) * time.Second / time.Duration(l.rate))
	return l.free
}

// nic is the link of a machine.
type nic struct {
	up, down lane
}

// Traffic is what a daemon sent and received of one type of message.
type Traffic struct {
	MessagesOut, BytesOut, MessagesIn, BytesIn, Dropped int64
	// Took is how long those that came in were on their way from the step that sent
	// them, in all; Slowest is the longest of these.
	Took, Slowest time.Duration
}

// KindTraffic is the traffic of one type.
type KindTraffic struct {
	Kind string
	Traffic
}

// linkOf gives a daemon its machine's link; an agent stands beside its gateway.
func (s *Simulation) linkOf(kind string, number int) *nic {
	kind = linkKind(kind)
	name := fmt.Sprintf("%s-%d", kind, number+1)
	if present, found := s.nics[name]; found {
		return present
	}
	bandwidth := s.Shape.Links[kind]
	made := &nic{up: lane{rate: bandwidth.Up}, down: lane{rate: bandwidth.Down}}
	s.nics[name] = made
	return made
}

// linkKind is the kind of daemon by which a Size names the link of a machine.
func linkKind(kind string) string {
	if kind == membership.KindAgent {
		return membership.KindGateway
	}
	return kind
}

// limited tells whether links have a bandwidth in this run.
func (s *Simulation) limited() bool { return len(s.Shape.Links) > 0 }

func (s *Simulation) window() int {
	if s.Shape.Window > 0 {
		return s.Shape.Window
	}
	return windowSize
}

// pipe is one direction of a connection.
type pipe struct {
	simulation *Simulation
	up, down   *lane
	delay      func() time.Duration
	// enter runs something at the end that reads, once it does.
	enter    func(run func())
	queue    []*parcel
	inFlight int
	last     time.Time
	over     bool
}

// parcel is a message on its way.
type parcel struct {
	size, left int
	sent       func()
	arrived    func()
}

// put queues a message.
func (p *pipe) put(added *parcel) {
	added.left = added.size
	p.queue = append(p.queue, added)
	p.transmit()
}

// transmit sends what the window has room for.
func (p *pipe) transmit() {
	for len(p.queue) > 0 && p.inFlight < p.simulation.window() && !p.over {
		first := p.queue[0]
		size := min(first.left, segmentSize)
		first.left -= size
		p.segment(first, size, first.left == 0)
		if first.left == 0 {
			p.queue = p.queue[1:]
			first.sent()
		}
	}
}

// segment takes a few bytes over both machines' links.
func (p *pipe) segment(of *parcel, size int, last bool) {
	simulation := p.simulation
	p.inFlight += size
	at := p.up.transmitAt(simulation.Now, size).Add(p.delay())
	if at.Before(p.last) {
		at = p.last
	}
	p.last = at
	simulation.At(at, func() {
		simulation.At(p.down.transmitAt(simulation.Now, size), func() {
			if p.over {
				return
			}
			p.enter(func() {
				simulation.After(p.delay(), func() {
					p.inFlight -= size
					p.transmit()
				})
				if last {
					of.arrived()
				}
			})
		})
	})
}

// close loses what is under way.
func (p *pipe) close() {
	p.over = true
	p.queue = nil
}

// connection is a pipe between two lives of daemons, with what its ends count.
type connection struct {
	*pipe
	from, to       uint64
	window         transport.FlowWindow
	took, told     int64
	confirmationAt time.Time
}

// connect gives the connection from one daemon to another.
func (s *Simulation) connect(from, to *Node) *connection {
	key := link(from, to)
	present, found := s.connections[key]
	if found && present.from == from.incarnation && present.to == to.incarnation {
		return present
	}
	if found {
		present.close()
	}
	incarnation := to.incarnation
	made := &pipe{
		simulation: s, up: &from.nic.up, down: &to.nic.down,
		delay: func() time.Duration { return s.delay(from.Zone, to.Zone) },
		enter: func(run func()) {
			if to.Up && to.incarnation == incarnation {
				to.enter(run)
			}
		},
	}
	if from.nic == to.nic {
		made.up, made.down = nil, nil
	}
	s.arrival[key] = s.Now
	opened := &connection{pipe: made, from: from.incarnation, to: to.incarnation}
	s.connections[key] = opened
	return opened
}

// outgoingFrame is a message that waits at its sender.
type outgoingFrame struct {
	to          *Node
	incarnation uint64
	kind        string
	class       transport.Class
	frame       []byte
	at          time.Time
}

// dispatch sends a frame over links with a bandwidth.
func (s *Simulation) dispatch(from, to *Node, message any, frame []byte) {
	if !to.Up {
		if to.refuses {
			s.refuse(from, to)
		}
		return
	}
	waits := outgoingFrame{to: to, incarnation: to.incarnation, kind: strings.TrimPrefix(fmt.Sprintf("%T", message), "*"), class: transport.ClassOf(message), frame: frame, at: s.Now}
	for _, lost := range from.order.Push(to.Address, waits.class, len(frame), waits) {
		from.traffic(lost.kind).Dropped++
	}
	from.sendQueued()
}

// sendQueued gives the link what it takes, in the order of the transport.
func (n *Node) sendQueued() {
	simulation := n.simulation
	for {
		if wait := n.pace.Delay(simulation.Now); wait > 0 {
			n.scheduleSend(wait)
			return
		}
		_, next, found := n.order.Pop(func(_ string, each outgoingFrame) bool {
			return each.undeliverable() || simulation.connect(n, each.to).window.Admits(each.class)
		})
		switch {
		case !found:
			return
		case next.undeliverable(), next.class.Expired(simulation.Now.Sub(next.at)):
			n.traffic(next.kind).Dropped++
		default:
			n.pace.Spend(simulation.Now, len(next.frame))
			n.transmit(next)
		}
	}
}

// undeliverable tells whether the life that a frame was for has ended.
func (of outgoingFrame) undeliverable() bool { return !of.to.Up || of.to.incarnation != of.incarnation }

func (n *Node) scheduleSend(wait time.Duration) {
	if n.sending {
		return
	}
	n.sending = true
	incarnation := n.incarnation
	n.simulation.After(wait, func() {
		if n.incarnation == incarnation {
			n.sending = false
			n.sendQueued()
		}
	})
}

// transmit puts a frame on its connection.
func (n *Node) transmit(next outgoingFrame) {
	simulation, to, kind, size := n.simulation, next.to, next.kind, len(next.frame)
	connection := simulation.connect(n, to)
	connection.window.Sent(simulation.Now, size)
	connection.put(&parcel{
		size: size,
		sent: func() { n.counts(kind, size, 0) },
		arrived: func() {
			to.counts(kind, 0, size)
			to.traffic(kind).arrived(simulation.Now.Sub(next.at))
			connection.took += int64(size)
			simulation.confirm(n, to, connection)
			if simulation.cuts[link(n, to)] == 0 {
				to.receive(next.frame)
			}
		},
	})
}

// confirm tells a sender how many bytes were taken.
func (s *Simulation) confirm(from, to *Node, taken *connection) {
	count := taken.took
	if !to.pace.RequiresAcknowledgements() {
		count = transport.AcknowledgeUnlimited
	}
	if !transport.AcknowledgementDue(taken.told, count) {
		return
	}
	taken.told = count
	at := to.nic.up.transmitAt(s.Now, confirmationSize).Add(s.delay(to.Zone, from.Zone))
	if at.Before(taken.confirmationAt) {
		at = taken.confirmationAt
	}
	taken.confirmationAt = at
	s.At(at, func() {
		s.At(from.nic.down.transmitAt(s.Now, confirmationSize), func() {
			if taken.over || !from.Up || from.incarnation != taken.from {
				return
			}
			taken.window.Acknowledge(s.Now, count)
			from.sendQueued()
		})
	})
}

// receive reads a frame that came in.
func (n *Node) receive(frame []byte) {
	meta, message, err := transport.Decode(frame[4:])
	must(err)
	n.step(func(now time.Time, effects *statemachine.Effects) {
		n.Machine.HandleMessage(now, meta, message, effects)
	})
}

func (n *Node) traffic(kind string) *Traffic {
	present, found := n.trafficOf[kind]
	if !found {
		present = &Traffic{}
		n.trafficOf[kind] = present
	}
	return present
}

func (n *Node) counts(kind string, sent, received int) {
	traffic := n.traffic(kind)
	if sent > 0 {
		traffic.MessagesOut++
		traffic.BytesOut += int64(sent)
	}
	if received > 0 {
		traffic.MessagesIn++
		traffic.BytesIn += int64(received)
	}
}

// Traffic sums what the daemons of a kind, or all, sent and received over links with
// a bandwidth since the last ForgetTraffic, by type of message, with the most
// bytes first.
func (s *Simulation) Traffic(kind string) []KindTraffic {
	sums := map[string]*Traffic{}
	for _, node := range s.Nodes(kind) {
		for name, each := range statemachine.Sorted(node.trafficOf) {
			if sums[name] == nil {
				sums[name] = &Traffic{}
			}
			sums[name].add(*each)
		}
	}
	var found []KindTraffic
	for name, each := range statemachine.Sorted(sums) {
		found = append(found, KindTraffic{Kind: name, Traffic: *each})
	}
	slices.SortStableFunc(found, func(left, right KindTraffic) int {
		return cmp.Compare(right.BytesOut+right.BytesIn, left.BytesOut+left.BytesIn)
	})
	return found
}

func (t *Traffic) add(other Traffic) {
	t.MessagesOut += other.MessagesOut
	t.BytesOut += other.BytesOut
	t.MessagesIn += other.MessagesIn
	t.BytesIn += other.BytesIn
	t.Dropped += other.Dropped
	t.Took += other.Took
	t.Slowest = max(t.Slowest, other.Slowest)
}

func (t *Traffic) arrived(took time.Duration) {
	t.Took += took
	t.Slowest = max(t.Slowest, took)
}

// ForgetTraffic begins to count anew.
func (s *Simulation) ForgetTraffic() {
	for _, node := range s.Nodes("") {
		clear(node.trafficOf)
	}
}

// Lines of callers. A caller's own link has no limit, its gateway's has.

// line is the connection of a caller.
type line struct {
	up, down *pipe
}

func (s *Simulation) openLine(node *Node) *line {
	incarnation := node.incarnation
	delay := func() time.Duration { return lineDelay }
	return &line{
		up: &pipe{simulation: s, down: &node.nic.down, delay: delay, enter: func(run func()) {
			if node.Up && node.incarnation == incarnation {
				node.enter(run)
			}
		}},
		down: &pipe{simulation: s, up: &node.nic.up, delay: delay, enter: func(run func()) { run() }},
	}
}

func (l *line) close() {
	if l != nil {
		l.up.close()
		l.down.close()
	}
}

// Kinds of traffic with callers.
const (
	lineCommand = "line command"
	lineAnswer  = "line answer"
	lineEvent   = "line event"
)

// toNode brings a command from a caller to its gateway.
func (tc *TopicClient) toNode(size int, run func()) {
	if tc.line == nil {
		tc.simulation.After(lineDelay, run)
		return
	}
	node, incarnation := tc.node, tc.incarnation
	if !node.Up || node.incarnation != incarnation {
		tc.simulation.After(lineDelay, run)
		return
	}
	tc.line.up.put(&parcel{size: lineHead + size, sent: func() {}, arrived: func() {
		node.counts(lineCommand, 0, lineHead+size)
		run()
	}})
}

// toCaller brings an answer or an event from the gateway to its caller.
func (l *line) toCaller(simulation *Simulation, node *Node, kind string, size int, run func()) {
	if l == nil {
		simulation.After(lineDelay, run)
		return
	}
	node.pace.Spend(simulation.Now, lineHead+size)
	l.down.put(&parcel{
		size: lineHead + size, sent: func() { node.counts(kind, lineHead+size, 0) }, arrived: run,
	})
}
