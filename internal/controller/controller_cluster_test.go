package controller

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
	"dahlialock/internal/wal"
)

const (
	linkDelay = time.Millisecond
	diskDelay = 2 * time.Millisecond
)

// testingT is the common interface of tests, benchmarks and the trials of mutation tests.
type testingT interface {
	assert.TestingT
	Helper()
	Fatalf(format string, values ...any)
}

// scheduledEvent is an event at a point of simulated time.
type scheduledEvent struct {
	at    time.Time
	order int
	run   func()
}

// schedule is a heap of events, ordered by time and then by the order in which they were added.
type schedule []scheduledEvent

func (s schedule) Len() int             { return len(s) }
func (s schedule) Swap(left, right int) { s[left], s[right] = s[right], s[left] }
func (s *schedule) Push(item any)       { *s = append(*s, item.(scheduledEvent)) }
func (s schedule) Less(left, right int) bool {
	if !s[left].at.Equal(s[right].at) {
		return s[left].at.Before(s[right].at)
	}
	return s[left].order < s[right].order
}

func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// controllerCluster is a cluster of controllers with real write-ahead logs on in-memory disks,
// simulated links and simulated time.
type controllerCluster struct {
	t         testingT
	now       time.Time
	order     int
	queue     schedule
	nodes     map[string]*controllerNode
	request   uint64
	responses map[uint64]membership.ControlResponse
	// sent counts the bytes of messages by receiver and type.
	sent map[string]int
	// random, if set, decides which unsynced writes survive a power loss. check, if set, is called
	// after each event.
	random *rand.Rand
	check  func()
}

func newControllerCluster(t testingT, controllers int) *controllerCluster {
	t.Helper()
	cluster := &controllerCluster{
		t:         t,
		now:       time.Unix(1_700_000_000, 0),
		nodes:     map[string]*controllerNode{},
		responses: map[uint64]membership.ControlResponse{},
		sent:      map[string]int{},
	}
	for number := range controllers {
		name := fmt.Sprint("controller-", number)
		cluster.nodes[name] = &controllerNode{cluster: cluster, name: name, disk: wal.NewMemoryFolder()}
	}
	for _, node := range statemachine.Sorted(cluster.nodes) {
		node.start(true)
	}
	cluster.waitUntil(10*time.Second, "a primary serves", func() bool { return cluster.primary() != nil })
	return cluster
}

func (c *controllerCluster) after(wait time.Duration, run func()) {
	c.order++
	heap.Push(&c.queue, scheduledEvent{at: c.now.Add(wait), order: c.order, run: run})
}

func (c *controllerCluster) run(length time.Duration) {
	until := c.now.Add(length)
	for len(c.queue) > 0 && !c.queue[0].at.After(until) {
		next := heap.Pop(&c.queue).(scheduledEvent)
		c.now = next.at
		next.run()
		if c.check != nil {
			c.check()
		}
	}
	c.now = until
}

// waitUntil runs the cluster until a condition holds, and fails after a time limit.
func (c *controllerCluster) waitUntil(limit time.Duration, what string, condition func() bool) {
	c.t.Helper()
	for began := c.now; !condition(); c.run(time.Millisecond) {
		if c.now.Sub(began) > limit {
			c.t.Fatalf("not reached within %s: %s", limit, what)
		}
	}
}

// primary returns the controller that can commit commands, or nil.
func (c *controllerCluster) primary() *controllerNode {
	for _, node := range statemachine.Sorted(c.nodes) {
		if node.up && node.machine.node.Serving(c.now) {
			return node
		}
	}
	return nil
}

func (c *controllerCluster) deliver(from string, send statemachine.Send) {
	to, found := c.nodes[send.To]
	if !found || !to.up {
		return
	}
	packed, err := transport.Encode(statemachine.Meta{From: from}, send.Message)
	assert.NilError(c.t, err)
	c.sent[fmt.Sprintf("%s %T", send.To, send.Message)] += len(packed)
	incarnation := to.incarnation
	c.after(linkDelay, func() {
		meta, message, err := transport.Decode(packed[4:])
		assert.NilError(c.t, err)
		to.stepIncarnation(incarnation, func(now time.Time, effects *statemachine.Effects) {
			to.machine.HandleMessage(now, meta, message, effects)
		})
	})
}

// putConfiguration puts a configuration, with retries until it is acknowledged.
func (c *controllerCluster) putConfiguration(document []byte) {
	c.t.Helper()
	for range 50 {
		if primary := c.primary(); primary != nil && c.tryPutConfiguration(primary, document) {
			return
		}
		c.run(20 * time.Millisecond)
	}
	c.t.Fatalf("a configuration was not acknowledged")
}

// tryPutConfiguration puts a configuration once, and reports whether it was acknowledged
// within three seconds.
func (c *controllerCluster) tryPutConfiguration(primary *controllerNode, document []byte) bool {
	c.request++
	request := Request{Local: c.request, Method: http.MethodPut, Path: "/v1/configuration", Body: document}
	primary.step(func(now time.Time, effects *statemachine.Effects) {
		primary.machine.HandleCommand(now, request, effects)
	})
	for began := c.now; c.responses[request.Local].Status == 0 && c.now.Sub(began) < 3*time.Second; {
		c.run(time.Millisecond)
	}
	response := c.responses[request.Local]
	delete(c.responses, request.Local)
	return response.Status == http.StatusOK
}

// putConfigurations puts count configurations one after the other, with versions starting at
// from.
func (c *controllerCluster) putConfigurations(from, count, routes int) {
	c.t.Helper()
	for number := range count {
		c.putConfiguration(sizedDocument(uint64(from+number), routes))
	}
}

// controllerNode is one controller with its disk.
type controllerNode struct {
	cluster     *controllerCluster
	name        string
	disk        *wal.MemoryFolder
	log         *wal.Log
	machine     *Controller
	incarnation int
	up          bool
	// queue holds the writes that wait for the disk. writing holds the writes that the disk is
	// performing while writePending is set.
	queue        []statemachine.Write
	writing      []statemachine.Write
	writePending bool
	// snapshots counts the snapshots that were written.
	snapshots int
	timer     int
	// replayed is the result of reading the disk at the last start.
	replayed wal.Recovered
}

func (n *controllerNode) settings(bootstrap bool) Settings {
	tolerance := 1
	return Settings{
		Self: membership.Member{
			Name:        n.name,
			Kind:        membership.KindController,
			Address:     n.name,
			Zone:        n.name,
			Incarnation: uint64(n.incarnation),
			Alive:       true,
		},
		Seeds:       []string{"controller-0", "controller-1", "controller-2"},
		Bootstrap:   bootstrap,
		NewDisk:     fmt.Sprint(n.name, ".", n.incarnation),
		HighestWins: true,
		Tolerance:   &tolerance,
	}
}

func (n *controllerNode) start(bootstrap bool) {
	var err error
	n.incarnation++
	n.up, n.queue, n.writing, n.writePending = true, nil, nil, false
	n.log, n.replayed, err = wal.Open(n.disk)
	assert.NilError(n.cluster.t, err)
	n.machine, err = New(n.settings(bootstrap), n.replayed.Snapshot, n.replayed.Entries)
	assert.NilError(n.cluster.t, err)
	n.step(func(now time.Time, effects *statemachine.Effects) { n.machine.Start(now, effects) })
}

// recoverDisk reads the disk as the next start would.
func (n *controllerNode) recoverDisk() wal.Recovered {
	_, recovered, err := wal.Open(n.disk)
	assert.NilError(n.cluster.t, err)
	return recovered
}

// kill simulates a power loss. The disk stops between any two operations of the pending writes.
// Unsynced data is lost or, if the cluster has a random source, may be partly written.
func (n *controllerNode) kill() {
	if !n.up {
		return
	}
	if random := n.cluster.random; random != nil {
		n.disk.FailAfter(random.IntN(12))
		for _, write := range append(n.writing, n.queue...) {
			if n.perform(write) != nil {
				break
			}
		}
		n.disk.LosePower(random.IntN)
	} else {
		n.disk.LosePower(nil)
	}
	n.up = false
	n.incarnation++
}

// perform writes a snapshot and entries to the disk.
func (n *controllerNode) perform(write statemachine.Write) error {
	if snapshot, complete := write.SnapshotBytes(); complete {
		n.snapshots++
		if err := n.log.Checkpoint(snapshot); err != nil {
			return err
		}
	}
	if len(write.Entries) == 0 {
		return nil
	}
	return n.log.Append(write.Entries)
}

// stepIncarnation runs a step if the incarnation is still running.
func (n *controllerNode) stepIncarnation(incarnation int, run func(now time.Time, effects *statemachine.Effects)) {
	if n.up && n.incarnation == incarnation {
		n.step(run)
	}
}

// step runs a step, performs its effects and schedules the next tick.
func (n *controllerNode) step(run func(now time.Time, effects *statemachine.Effects)) {
	var effects statemachine.Effects
	run(n.cluster.now, &effects)
	for _, send := range effects.Sends {
		n.cluster.deliver(n.name, send)
	}
	for _, response := range effects.Responses {
		n.cluster.responses[response.Request] = response.Value.(membership.ControlResponse)
	}
	n.queue = append(n.queue, effects.Writes...)
	n.write()
	n.timer++
	if due := n.machine.NextTick(); !due.IsZero() {
		incarnation, timer := n.incarnation, n.timer
		n.cluster.after(max(0, due.Sub(n.cluster.now)), func() {
			if n.timer == timer {
				n.stepIncarnation(incarnation, func(now time.Time, effects *statemachine.Effects) {
					n.machine.Tick(now, effects)
				})
			}
		})
	}
}

// write performs all queued writes as one batch, as the real host does.
func (n *controllerNode) write() {
	if n.writePending || len(n.queue) == 0 {
		return
	}
	batch, incarnation := n.queue, n.incarnation
	n.queue, n.writing, n.writePending = nil, n.queue, true
	n.cluster.after(diskDelay, func() {
		if !n.up || n.incarnation != incarnation {
			return
		}
		for _, write := range batch {
			assert.NilError(n.cluster.t, n.perform(write))
		}
		n.writePending, n.writing = false, nil
		for _, write := range batch {
			n.stepIncarnation(incarnation, func(now time.Time, effects *statemachine.Effects) {
				n.machine.HandleCommand(now, statemachine.Synced{Token: write.Token}, effects)
			})
		}
		n.write()
	})
}
