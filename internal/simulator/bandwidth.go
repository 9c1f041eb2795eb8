// Links with a limited bandwidth. Each machine has one link, which its daemons and their
// clients share. Segments of messages wait for the link in the order of their arrival. At
// most a window of bytes is in flight on a connection, so that a sender is blocked by a
// full link and by a peer that does not read. Further messages of a daemon wait in the
// PriorityQueue of internal/transport, throttled by its Pacer and FlowWindow. Unless
// Shape.Links is set, links have unlimited bandwidth and this file has no effect.

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
	// segmentSize is the number of bytes in a segment.
	segmentSize = 1448
	// windowSize is the maximum number of bytes in flight on a connection, unless
	// Shape.Window is set.
	windowSize = 64 << 10
	// acknowledgementSize is the size of a receiver's acknowledgement in bytes.
	acknowledgementSize = 48
	// commandOverheadSize is the assumed size in bytes of a command or an answer without its texts.
	commandOverheadSize = 24
)

// Bandwidth is the bandwidth of a machine's link in each direction, in bytes per second;
// zero means unlimited.
type Bandwidth struct {
	Up, Down int
}

// linkDirection is one direction of a machine's link.
type linkDirection struct {
	// rate is in bytes per second; zero means unlimited.
	rate int
	// free is when all bytes accepted so far are transmitted.
	free time.Time
}

// transmitAt queues size bytes for transmission and returns the time at which they are
// transmitted.
func (l *linkDirection) transmitAt(now time.Time, size int) time.Time {
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
	up, down linkDirection
}

// Traffic counts the messages of one kind that a daemon sent, received and dropped.
type Traffic struct {
	MessagesOut, BytesOut, MessagesIn, BytesIn, Dropped int64
	// TotalDelay is the sum of the times from the step that sent a message to its arrival, over
	// all received messages; MaxDelay is the longest of these times.
	TotalDelay, MaxDelay time.Duration
}

// KindTraffic is the traffic of one kind of message.
type KindTraffic struct {
	Kind string
	Traffic
}

// linkOf returns the link of a daemon's machine. An agent shares the machine of its
// gateway.
func (s *Simulation) linkOf(kind string, number int) *nic {
	kind = linkKind(kind)
	name := fmt.Sprintf("%s-%d", kind, number+1)
	if present, found := s.nics[name]; found {
		return present
	}
	bandwidth := s.Shape.Links[kind]
	made := &nic{up: linkDirection{rate: bandwidth.Up}, down: linkDirection{rate: bandwidth.Down}}
	s.nics[name] = made
	return made
}

// linkKind returns the key of a daemon's link in Shape.Links.
func linkKind(kind string) string {
	if kind == membership.KindAgent {
		return membership.KindGateway
	}
	return kind
}

// hasBandwidthLimits reports whether links have a limited bandwidth in this run.
func (s *Simulation) hasBandwidthLimits() bool { return len(s.Shape.Links) > 0 }

func (s *Simulation) window() int {
	if s.Shape.Window > 0 {
		return s.Shape.Window
	}
	return windowSize
}

// pipe is one direction of a connection.
type pipe struct {
	simulation *Simulation
	up, down   *linkDirection
	delay      func() time.Duration
	// enter runs a function in the receiver's process, after the end of a pause if the process
	// is frozen.
	enter       func(run func())
	queue       []*queuedMessage
	inFlight    int
	lastArrival time.Time
	closed      bool
}

// queuedMessage is a message in a pipe.
type queuedMessage struct {
	// left is the number of bytes that are not yet sent.
	size, left int
	// sent is called when all bytes are sent, arrived when all have arrived.
	sent    func()
	arrived func()
}

// send queues a message.
func (p *pipe) send(message *queuedMessage) {
	message.left = message.size
	p.queue = append(p.queue, message)
	p.transmit()
}

// transmit sends queued messages, segment by segment, until the window is full.
func (p *pipe) transmit() {
	for len(p.queue) > 0 && p.inFlight < p.simulation.window() && !p.closed {
		first := p.queue[0]
		size := min(first.left, segmentSize)
		first.left -= size
		p.sendSegment(first, size, first.left == 0)
		if first.left == 0 {
			p.queue = p.queue[1:]
			first.sent()
		}
	}
}

// sendSegment sends one segment of a message over the links of both machines.
func (p *pipe) sendSegment(message *queuedMessage, size int, last bool) {
	simulation := p.simulation
	p.inFlight += size
	at := p.up.transmitAt(simulation.Now, size).Add(p.delay())
	if at.Before(p.lastArrival) {
		at = p.lastArrival
	}
	p.lastArrival = at
	simulation.At(at, func() {
		simulation.At(p.down.transmitAt(simulation.Now, size), func() {
			if p.closed {
				return
			}
			p.enter(func() {
				simulation.After(p.delay(), func() {
					p.inFlight -= size
					p.transmit()
				})
				if last {
					message.arrived()
				}
			})
		})
	})
}

// close closes the pipe and drops the messages that are queued or in flight.
func (p *pipe) close() {
	p.closed = true
	p.queue = nil
}

// connection is a pipe between two daemons' processes, with its flow control.
type connection struct {
	*pipe
	// from and to are the incarnations of both processes.
	from, to uint64
	window   transport.FlowWindow
	// taken is the number of bytes that the receiver has taken, acknowledged the number in its
	// last acknowledgement.
	taken, acknowledged   int64
	lastAcknowledgementAt time.Time
}

// connect returns the connection from one daemon to another. It opens a new one if there
// is none between their current processes.
func (s *Simulation) connect(from, to *Node) *connection {
	key := linkName(from, to)
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
	s.lastArrival[key] = s.Now
	opened := &connection{pipe: made, from: from.incarnation, to: to.incarnation}
	s.connections[key] = opened
	return opened
}

// outgoingFrame is a message in its sender's queue.
type outgoingFrame struct {
	to          *Node
	incarnation uint64
	kind        string
	class       transport.Class
	frame       []byte
	at          time.Time
}

// dispatch queues a frame at its sender, for links with a limited bandwidth.
func (s *Simulation) dispatch(from, to *Node, message any, frame []byte) {
	if !to.Up {
		if to.refusesConnections {
			s.refuse(from, to)
		}
		return
	}
	queued := outgoingFrame{to: to, incarnation: to.incarnation, kind: strings.TrimPrefix(fmt.Sprintf("%T", message), "*"), class: transport.ClassOf(message), frame: frame, at: s.Now}
	for _, lost := range from.sendQueue.Push(to.Address, queued.class, len(frame), queued) {
		from.trafficCounters(lost.kind).Dropped++
	}
	from.sendQueued()
}

// sendQueued sends queued frames, by priority, until the pacer or the flow windows block.
func (n *Node) sendQueued() {
	simulation := n.simulation
	for {
		if wait := n.pacer.Delay(simulation.Now); wait > 0 {
			n.scheduleSend(wait)
			return
		}
		_, next, found := n.sendQueue.Pop(func(_ string, each outgoingFrame) bool {
			return each.undeliverable() || simulation.connect(n, each.to).window.Admits(each.class)
		})
		switch {
		case !found:
			return
		case next.undeliverable(), next.class.Expired(simulation.Now.Sub(next.at)):
			n.trafficCounters(next.kind).Dropped++
		default:
			n.pacer.Spend(simulation.Now, len(next.frame))
			n.transmit(next)
		}
	}
}

// undeliverable reports whether the process for which a frame was sent has ended.
func (of outgoingFrame) undeliverable() bool { return !of.to.Up || of.to.incarnation != of.incarnation }

// scheduleSend calls sendQueued after wait, unless a call is already scheduled.
func (n *Node) scheduleSend(wait time.Duration) {
	if n.sendScheduled {
		return
	}
	n.sendScheduled = true
	incarnation := n.incarnation
	n.simulation.After(wait, func() {
		if n.incarnation == incarnation {
			n.sendScheduled = false
			n.sendQueued()
		}
	})
}

// transmit sends a frame over its connection.
func (n *Node) transmit(next outgoingFrame) {
	simulation, to, kind, size := n.simulation, next.to, next.kind, len(next.frame)
	connection := simulation.connect(n, to)
	connection.window.Sent(simulation.Now, size)
	connection.send(&queuedMessage{
		size: size,
		sent: func() { n.countMessage(kind, size, 0) },
		arrived: func() {
			to.countMessage(kind, 0, size)
			to.trafficCounters(kind).arrived(simulation.Now.Sub(next.at))
			connection.taken += int64(size)
			simulation.acknowledge(n, to, connection)
			if simulation.cuts[linkName(n, to)] == 0 {
				to.receive(next.frame)
			}
		},
	})
}

// acknowledge sends the sender an acknowledgement of the bytes that the receiver has taken, if
// one is due.
func (s *Simulation) acknowledge(from, to *Node, connection *connection) {
	count := connection.taken
	if !to.pacer.RequiresAcknowledgements() {
		count = transport.AcknowledgeUnlimited
	}
	if !transport.AcknowledgementDue(connection.acknowledged, count) {
		return
	}
	connection.acknowledged = count
	at := to.nic.up.transmitAt(s.Now, acknowledgementSize).Add(s.delay(to.Zone, from.Zone))
	if at.Before(connection.lastAcknowledgementAt) {
		at = connection.lastAcknowledgementAt
	}
	connection.lastAcknowledgementAt = at
	s.At(at, func() {
		s.At(from.nic.down.transmitAt(s.Now, acknowledgementSize), func() {
			if connection.closed || !from.Up || from.incarnation != connection.from {
				return
			}
			connection.window.Acknowledge(s.Now, count)
			from.sendQueued()
		})
	})
}

// receive decodes a frame and passes the message to the daemon's state machine.
func (n *Node) receive(frame []byte) {
	meta, message, err := transport.Decode(frame[4:])
	must(err)
	n.step(func(now time.Time, effects *statemachine.Effects) {
		n.Machine.HandleMessage(now, meta, message, effects)
	})
}

// trafficCounters returns the counters of a kind of message.
func (n *Node) trafficCounters(kind string) *Traffic {
	present, found := n.trafficOf[kind]
	if !found {
		present = &Traffic{}
		n.trafficOf[kind] = present
	}
	return present
}

// countMessage counts a message that was sent or received, by its size in bytes.
func (n *Node) countMessage(kind string, sent, received int) {
	traffic := n.trafficCounters(kind)
	if sent > 0 {
		traffic.MessagesOut++
		traffic.BytesOut += int64(sent)
	}
	if received > 0 {
		traffic.MessagesIn++
		traffic.BytesIn += int64(received)
	}
}

// Traffic returns the sums of the traffic of all daemons of a kind (all daemons if kind is
// empty) over links with a limited bandwidth since the last ResetTraffic, by kind of
// message. The kinds with the most bytes come first.
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
	t.TotalDelay += other.TotalDelay
	t.MaxDelay = max(t.MaxDelay, other.MaxDelay)
}

func (t *Traffic) arrived(took time.Duration) {
	t.TotalDelay += took
	t.MaxDelay = max(t.MaxDelay, took)
}

// ResetTraffic resets the traffic counters of all daemons.
func (s *Simulation) ResetTraffic() {
	for _, node := range s.Nodes("") {
		clear(node.trafficOf)
	}
}

// Connections of clients. A client's own link has unlimited bandwidth, that of its
// gateway is limited.

// clientConnection is the connection of a client to its gateway.
type clientConnection struct {
	up, down *pipe
}

func (s *Simulation) openClientConnection(node *Node) *clientConnection {
	incarnation := node.incarnation
	delay := func() time.Duration { return lineDelay }
	return &clientConnection{
		up: &pipe{simulation: s, down: &node.nic.down, delay: delay, enter: func(run func()) {
			if node.Up && node.incarnation == incarnation {
				node.enter(run)
			}
		}},
		down: &pipe{simulation: s, up: &node.nic.up, delay: delay, enter: func(run func()) { run() }},
	}
}

func (cc *clientConnection) close() {
	if cc != nil {
		cc.up.close()
		cc.down.close()
	}
}

// Kinds of traffic with clients.
const (
	clientCommandTraffic = "line command"
	clientAnswerTraffic  = "line answer"
	clientEventTraffic   = "line event"
)

// toGateway sends a command of size bytes from the client to its gateway, and calls run when
// it arrives.
func (tc *TopicClient) toGateway(size int, run func()) {
	if tc.line == nil {
		tc.simulation.After(lineDelay, run)
		return
	}
	node, incarnation := tc.node, tc.incarnation
	if !node.Up || node.incarnation != incarnation {
		tc.simulation.After(lineDelay, run)
		return
	}
	tc.line.up.send(&queuedMessage{size: commandOverheadSize + size, sent: func() {}, arrived: func() {
		node.countMessage(clientCommandTraffic, 0, commandOverheadSize+size)
		run()
	}})
}

// toClient sends an answer or an event of size bytes from the gateway to the client, and
// calls run when it arrives.
func (cc *clientConnection) toClient(simulation *Simulation, node *Node, kind string, size int, run func()) {
	if cc == nil {
		simulation.After(lineDelay, run)
		return
	}
	node.pacer.Spend(simulation.Now, commandOverheadSize+size)
	cc.down.send(&queuedMessage{
		size: commandOverheadSize + size, sent: func() { node.countMessage(kind, commandOverheadSize+size, 0) }, arrived: run,
	})
}
