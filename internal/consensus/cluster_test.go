package consensus

// A simulated cluster for tests with random faults: clocks that differ in time and rate,
// links that delay, lose and duplicate messages, and controllers that are frozen, killed,
// partitioned and wiped one at a time. It checks two invariants: no two controllers hold the
// lease or the role at the same time, and the state of a serving controller contains all
// committed commands in order.

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/logevent"
	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
	"dahlialock/internal/wal"
)

// commandOf returns the command with a number. The command is long enough that snapshots are
// written from time to time.
func commandOf(number uint64) []byte {
	return append(binary.BigEndian.AppendUint64(nil, number), make([]byte, 3000)...)
}

// appliedNumbers is a StateMachine that records the numbers of all applied commands, in order.
type appliedNumbers struct{ numbers []uint64 }

func (w *appliedNumbers) Apply(_ time.Time, command []byte) {
	w.numbers = append(w.numbers, binary.BigEndian.Uint64(command))
}
func (w *appliedNumbers) Snapshot() []byte { return transport.MustMarshal(w.numbers) }
func (w *appliedNumbers) Restore(state []byte) error {
	w.numbers = nil
	return transport.Unmarshal(state, &w.numbers)
}

type scheduledEvent struct {
	at    time.Duration
	order int
	run   func()
}
type eventQueue []scheduledEvent

func (eq eventQueue) Len() int { return len(eq) }

func (eq eventQueue) Less(left, right int) bool {
	return eq[left].at < eq[right].at || eq[left].at == eq[right].at && eq[left].order < eq[right].order
}

func (eq eventQueue) Swap(left, right int) { eq[left], eq[right] = eq[right], eq[left] }

func (eq *eventQueue) Push(item any) { *eq = append(*eq, item.(scheduledEvent)) }

func (eq *eventQueue) Pop() any {
	last := (*eq)[len(*eq)-1]
	*eq = (*eq)[:len(*eq)-1]
	return last
}

// testController is a simulated controller with its disk.
type testController struct {
	cluster     *testCluster
	self        Controller
	node        *Node
	state       *appliedNumbers
	roleLease   *RoleLease
	incarnation int
	up          bool
	frozen      bool
	deferred    []func()
	disk        *wal.MemoryFolder
	log         *wal.Log
	// pendingWrites are the writes that are not synced yet, in order, and writesDoneAt is when
	// the last of them will be synced.
	pendingWrites []statemachine.Write
	writesDoneAt  time.Duration
	// snapshots counts the snapshots that were written.
	snapshots      int
	offset         time.Duration
	rate           float64
	timer          int
	partitioned    bool
	inboundBlocked bool
	removed        bool
	diskHangsUntil time.Duration
	// bootstrap is the value of Settings.Bootstrap at the next start.
	bootstrap bool
}

// trial is the part of testing.TB that a run needs. The mutation tests substitute an
// implementation that is expected to fail.
type trial interface {
	assert.TestingT
	Helper()
	Logf(format string, values ...any)
	Fatalf(format string, values ...any)
}

type testCluster struct {
	t                 trial
	random            *rand.Rand
	now               time.Duration
	queue             eventQueue
	order             int
	controllers       []*testController
	committed         []uint64
	next              uint64
	loss              float64
	leaseObservations int
	lastWipe          time.Duration
	faultsOver        bool
	seeds             []string
	count             int
	tolerance         int
	diskCount         int
	snapshots         int
	incarnations      statemachine.Incarnation
	bootstrapped      map[string]bool
	// delayMessage, if set, returns how long a message is delayed, or that it is lost. A delayed
	// message is delivered to the incarnation of the receiver that runs by then.
	delayMessage func(from, to *testController, message any) (delay time.Duration, lost bool)
}

var startTime = time.Unix(1_700_000_000, 0)

func (tc *testCluster) after(wait time.Duration, run func()) {
	tc.order++
	heap.Push(&tc.queue, scheduledEvent{at: tc.now + wait, order: tc.order, run: run})
}

func (tc *testCluster) run(length time.Duration) {
	until := tc.now + length
	for len(tc.queue) > 0 && tc.queue[0].at <= until {
		next := heap.Pop(&tc.queue).(scheduledEvent)
		tc.now = next.at
		next.run()
		tc.checkInvariants()
	}
	tc.now = until
}

func (c *testController) local() time.Time {
	return startTime.Add(c.offset + time.Duration(float64(c.cluster.now)*c.rate))
}

func (c *testController) start() {
	if c.up || c.removed {
		return
	}
	c.incarnation++
	c.up, c.frozen, c.deferred = true, false, nil
	c.offset = time.Duration(c.cluster.random.Int64N(int64(4*time.Hour))) - 2*time.Hour
	c.state = &appliedNumbers{}
	settings := Settings{
		Self:        c.self,
		ClusterSize: c.cluster.count,
		Seeds:       c.cluster.seeds,
		Bootstrap:   c.bootstrap,
		Tolerance:   c.cluster.tolerance,
	}
	if settings.ClusterSize == 0 {
		c.cluster.diskCount++
		settings.NewDiskID = fmt.Sprint("disk-", c.cluster.diskCount)
	}
	log, recovered, err := wal.Open(c.disk)
	assert.NilError(c.cluster.t, err)
	c.log = log
	c.cluster.incarnations++
	settings.Incarnation = c.cluster.incarnations
	node, err := New(settings, c.state, recovered.Snapshot, recovered.Entries)
	assert.NilError(c.cluster.t, err)
	c.node = node
	c.roleLease = node.NewRoleLease("role")
	c.step(func(now time.Time, effects *statemachine.Effects) { node.Start(now, effects) })
}

// kill simulates a loss of power. The disk stops during the pending writes, between any two of
// its operations.
func (c *testController) kill() {
	if c.up {
		c.disk.FailAfter(c.cluster.random.IntN(12))
		for _, write := range c.pendingWrites {
			if c.perform(write) != nil {
				break
			}
		}
		c.disk.LosePower(c.cluster.random.IntN)
	}
	c.up, c.incarnation, c.node, c.pendingWrites, c.writesDoneAt = false, c.incarnation+1, nil, nil, 0
}

func (c *testController) perform(write statemachine.Write) error {
	if write.Snapshot != nil {
		c.cluster.snapshots++
		c.snapshots++
		if err := c.log.Checkpoint(write.Snapshot); err != nil {
			return err
		}
	}
	if len(write.Entries) > 0 {
		return c.log.Append(write.Entries)
	}
	return nil
}

func (c *testController) unfreeze() {
	if !c.up || !c.frozen {
		return
	}
	c.frozen = false
	deferred := c.deferred
	c.deferred = nil
	c.step(func(now time.Time, effects *statemachine.Effects) { c.node.Tick(now, effects) })
	for _, run := range deferred {
		run()
	}
}

// runIn calls run if the given incarnation of the controller is still up. If the controller is
// frozen, the call is deferred until it is unfrozen.
func (c *testController) runIn(incarnation int, run func()) {
	switch {
	case !c.up || c.incarnation != incarnation:
	case c.frozen:
		c.deferred = append(c.deferred, func() { c.runIn(incarnation, run) })
	default:
		run()
	}
}

func (c *testController) step(run func(now time.Time, effects *statemachine.Effects)) {
	cluster, incarnation := c.cluster, c.incarnation
	var effects statemachine.Effects
	run(c.local(), &effects)
	for _, event := range effects.LogEvents {
		cluster.checkLogEvent(c, event)
	}
	for _, send := range effects.Sends {
		cluster.send(c, send)
	}
	for _, write := range effects.Writes {
		// The disk executes one write after the other.
		c.pendingWrites = append(c.pendingWrites, write)
		wait := max(0, c.diskHangsUntil-cluster.now) + time.Duration(1+cluster.random.IntN(8))*time.Millisecond
		c.writesDoneAt = max(c.writesDoneAt, cluster.now+wait)
		cluster.after(c.writesDoneAt-cluster.now, func() {
			if !c.up || c.incarnation != incarnation {
				return
			}
			c.pendingWrites = c.pendingWrites[1:]
			assert.NilError(cluster.t, c.perform(write))
			c.runIn(incarnation, func() {
				c.step(func(now time.Time, effects *statemachine.Effects) { c.node.Synced(now, write.Token, effects) })
			})
		})
	}
	c.timer++
	timer := c.timer
	if due := c.node.NextTick(); !due.IsZero() {
		wait := max(0, time.Duration(float64(due.Sub(c.local()))/c.rate))
		cluster.after(wait+time.Microsecond, func() {
			if c.timer == timer {
				c.runIn(incarnation, func() {
					c.step(func(now time.Time, effects *statemachine.Effects) { c.node.Tick(now, effects) })
				})
			}
		})
	}
}

func (tc *testCluster) send(from *testController, send statemachine.Send) {
	for _, to := range tc.controllers {
		if to.self.Address != send.To || from.partitioned != to.partitioned || to.inboundBlocked ||
			tc.random.Float64() < tc.loss {
			continue
		}
		packed, err := transport.Encode(statemachine.Meta{From: from.self.Address}, send.Message)
		assert.NilError(tc.t, err)
		if tc.delayMessage != nil {
			delay, lost := tc.delayMessage(from, to, send.Message)
			if lost {
				continue
			}
			if delay > 0 {
				tc.after(delay, func() { to.receive(packed) })
				continue
			}
		}
		for range 1 + tc.random.IntN(20)/19 {
			incarnation := to.incarnation
			tc.after(time.Duration(100+tc.random.IntN(3000))*time.Microsecond, func() {
				if to.incarnation == incarnation {
					to.receive(packed)
				}
			})
		}
	}
}

// receive delivers a message to the current incarnation.
func (c *testController) receive(packed []byte) {
	c.runIn(c.incarnation, func() {
		meta, message, err := transport.Decode(packed[4:])
		assert.NilError(c.cluster.t, err)
		c.step(func(now time.Time, effects *statemachine.Effects) { c.node.HandleMessage(now, meta, message, effects) })
	})
}

// checkLogEvent checks that only one cluster is bootstrapped.
func (tc *testCluster) checkLogEvent(controller *testController, event statemachine.LogEvent) {
	if event.Number != logevent.FirstEpochDecided {
		return
	}
	tc.bootstrapped[fmt.Sprint(controller.node.Record())] = true
	if len(tc.bootstrapped) > 1 {
		tc.t.Fatalf("%s at %s bootstrapped a second cluster: %v", controller.self.Name, tc.now, tc.bootstrapped)
	}
}

// checkInvariants runs after each event.
func (tc *testCluster) checkInvariants() {
	primaries, holders := []string{}, []string{}
	for _, controller := range tc.controllers {
		if !controller.up || controller.frozen {
			continue
		}
		if controller.node.HoldsLease(controller.local()) {
			primaries = append(primaries, controller.self.Name)
		}
		if controller.roleLease.Valid(controller.local()) {
			holders = append(holders, controller.self.Name)
		}
		if controller.node.Serving(controller.local()) {
			applied := controller.state.numbers
			if len(applied) < len(tc.committed) || !slices.Equal(applied[:len(tc.committed)], tc.committed) {
				tc.t.Fatalf(
					"%s at %s serves with state %v, but %v were committed",
					controller.self.Name, tc.now, applied, tc.committed,
				)
			}
		}
	}
	if len(primaries) > 1 || len(holders) > 1 {
		tc.t.Fatalf("at %s the lease is held by %v and the role by %v", tc.now, primaries, holders)
	}
	tc.leaseObservations += len(primaries)
}

// generateLoad submits commands to random controllers, and lets them request the role, at random
// intervals.
func (tc *testCluster) generateLoad() {
	tc.after(time.Duration(20+tc.random.IntN(80))*time.Millisecond, tc.generateLoad)
	controller := tc.controllers[tc.random.IntN(len(tc.controllers))]
	if !controller.up || controller.frozen {
		return
	}
	controller.step(func(now time.Time, effects *statemachine.Effects) {
		controller.node.RequestRoleLease(now, controller.roleLease, effects)
	})
	if !controller.node.Serving(controller.local()) || controller.node.PendingProposals() > 0 {
		return
	}
	tc.submitTo(controller, func(number uint64) {
		// Indeterminate commands that were applied before this one are committed with it.
		applied := controller.state.numbers
		tc.committed = append([]uint64(nil), applied[:slices.Index(applied, number)+1]...)
	})
}

// injectFaults injects a fault into one controller, or into the links, at random intervals.
func (tc *testCluster) injectFaults() {
	if tc.faultsOver {
		return
	}
	tc.after(time.Duration(2000+tc.random.IntN(5000))*time.Millisecond, tc.injectFaults)
	controller := tc.controllers[tc.random.IntN(len(tc.controllers))]
	if controller.removed {
		return
	}
	length := time.Duration(200+tc.random.IntN(7000)) * time.Millisecond
	switch tc.random.IntN(6) {
	case 0, 1:
		controller.kill()
		tc.after(length, controller.start)
	case 2:
		controller.frozen = controller.up
		tc.after(length, controller.unfreeze)
	case 3:
		controller.partitioned = true
		tc.after(length, func() { controller.partitioned = false })
	case 4:
		tc.loss = 0.3
		tc.after(length/2, func() { tc.loss = 0 })
	case 5:
		if tc.mayLoseDisk() {
			tc.lastWipe = tc.now
			controller.wipe()
			tc.after(length, controller.start)
		}
	}
}

// mayLoseDisk reports whether another disk may be lost: the previously lost one was replaced, and
// no controller has another fault.
func (tc *testCluster) mayLoseDisk() bool {
	for _, controller := range tc.controllers {
		if !controller.removed && (!controller.up || controller.frozen || controller.partitioned) {
			return false
		}
	}
	return tc.now-tc.lastWipe > 20*time.Second && tc.anyServing()
}

func (tc *testCluster) anyServing() bool {
	for _, controller := range tc.controllers {
		if controller.up && !controller.frozen && controller.node.Serving(controller.local()) {
			return true
		}
	}
	return false
}

// newCluster returns a cluster whose first controllers are the seeds. All controllers have
// Bootstrap set at their first start.
func newCluster(t trial, seed uint64, controllers, seeds, tolerance int) *testCluster {
	cluster := &testCluster{
		t:            t,
		random:       rand.New(rand.NewPCG(seed, 0xf1ee7)),
		tolerance:    tolerance,
		bootstrapped: map[string]bool{},
	}
	for number := range controllers {
		name := fmt.Sprintf("controller-%d", number)
		controller := cluster.add(name, name, fmt.Sprint(number%3))
		controller.bootstrap = true
		if number < seeds {
			cluster.seeds = append(cluster.seeds, controller.self.Address)
		}
	}
	return cluster
}

func (tc *testCluster) add(name, address, zone string) *testController {
	added := &testController{
		disk:    wal.NewMemoryFolder(),
		cluster: tc,
		self:    Controller{Name: name, Address: address, Zone: zone},
		rate:    1 + (tc.random.Float64()-0.5)*0.08,
	}
	tc.controllers = append(tc.controllers, added)
	return added
}

func (tc *testCluster) startAll() {
	for _, controller := range tc.controllers {
		tc.after(time.Duration(tc.random.IntN(500))*time.Millisecond, controller.start)
	}
}

// until runs the cluster until a condition holds, and returns how long that took. The test fails
// if it takes longer than the timeout.
func (tc *testCluster) until(timeout time.Duration, what string, holds func() bool) time.Duration {
	tc.t.Helper()
	started := tc.now
	for !holds() {
		if tc.now-started > timeout {
			tc.t.Fatalf("condition not reached within %s: %s", timeout, what)
		}
		tc.run(20 * time.Millisecond)
	}
	return tc.now - started
}

// serving returns the reachable controller that currently serves, or nil.
func (tc *testCluster) serving() *testController {
	for _, controller := range tc.controllers {
		if controller.up && !controller.frozen && !controller.partitioned && controller.node.Serving(controller.local()) {
			return controller
		}
	}
	return nil
}

func (tc *testCluster) named(name string) *testController {
	for _, controller := range tc.controllers {
		if controller.self.Name == name && !controller.removed {
			return controller
		}
	}
	return nil
}

// wipe stops a controller and empties its disk.
func (c *testController) wipe() {
	c.kill()
	c.disk.Wipe()
}

// hasVoters reports whether there is the given number of voters, and all of them are up and take
// part in the newest epoch.
func (tc *testCluster) hasVoters(size int) bool {
	primary := tc.serving()
	if primary == nil {
		return false
	}
	voters := primary.node.Record().Voters
	if len(voters) != size {
		return false
	}
	for _, each := range voters {
		if !slices.ContainsFunc(tc.controllers, func(controller *testController) bool {
			return controller.self.SameAs(each) && controller.up && controller.node.isVoter() &&
				controller.node.Record().Epoch == primary.node.Record().Epoch
		}) {
			return false
		}
	}
	return true
}

func voterNames(record Record) []string {
	var names []string
	for _, controller := range record.Voters {
		names = append(names, controller.Name)
	}
	return names
}

// submit submits a command to the controller that holds the lease, retries until a command is
// committed, and returns how long that took.
func (tc *testCluster) submit(timeout time.Duration) time.Duration {
	tc.t.Helper()
	started, committed := tc.now, false
	var attempt func()
	attempt = func() {
		if committed {
			return
		}
		tc.after(100*time.Millisecond, attempt)
		for _, controller := range tc.controllers {
			reachable := controller.up && !controller.frozen && !controller.partitioned
			if !reachable || !controller.node.HoldsLease(controller.local()) || controller.node.PendingProposals() > 0 {
				continue
			}
			tc.submitTo(controller, func(uint64) {
				committed = true
				tc.committed = append([]uint64(nil), controller.state.numbers...)
			})
			return
		}
	}
	attempt()
	tc.until(timeout, "a command is committed", func() bool { return committed })
	return tc.now - started
}

// submitTo submits the command with the next number to a controller, and calls committed once
// the command is committed.
func (tc *testCluster) submitTo(controller *testController, committed func(number uint64)) {
	tc.next++
	number := tc.next
	done := func(_ time.Time, _ *statemachine.Effects, outcome Outcome) {
		if outcome == Committed {
			committed(number)
		}
	}
	controller.step(func(now time.Time, effects *statemachine.Effects) {
		controller.node.Submit(now, commandOf(number), 2*time.Second, done, effects)
	})
}

// stableCluster returns a cluster in which all voters take part and which has committed some
// commands.
func stableCluster(t trial, seed uint64, tolerance int) *testCluster {
	cluster := newCluster(t, seed, max(5, 2*tolerance+3), 3, tolerance)
	cluster.startAll()
	cluster.until(12*time.Second, "all voters take part", func() bool {
		return cluster.hasVoters(max(3, 2*tolerance+1)) && cluster.serving() != nil
	})
	cluster.run(4 * time.Second)
	for range 5 {
		cluster.submit(4 * time.Second)
	}
	return cluster
}

// hangDisks lets a random disk stall for up to five seconds, at random intervals.
func (tc *testCluster) hangDisks() {
	if tc.faultsOver {
		return
	}
	tc.after(time.Duration(3+tc.random.IntN(8))*time.Second, tc.hangDisks)
	controller := tc.controllers[tc.random.IntN(len(tc.controllers))]
	controller.diskHangsUntil = tc.now + time.Duration(tc.random.IntN(5000))*time.Millisecond
}

// replaceMachines replaces a random machine with an empty one at another address, at random
// intervals.
func (tc *testCluster) replaceMachines() {
	if tc.faultsOver {
		return
	}
	tc.after(time.Duration(8+tc.random.IntN(20))*time.Second, tc.replaceMachines)
	if !tc.mayLoseDisk() {
		return
	}
	tc.lastWipe = tc.now
	lost := tc.controllers[tc.random.IntN(len(tc.controllers))]
	if lost.removed {
		return
	}
	lost.wipe()
	lost.removed = true
	name := lost.self.Name
	if tc.random.IntN(2) == 0 {
		name = fmt.Sprint("controller-", len(tc.controllers))
	}
	replacement := tc.add(name, fmt.Sprint("address-", len(tc.controllers)), lost.self.Zone)
	tc.after(time.Duration(tc.random.IntN(6000))*time.Millisecond, replacement.start)
}

// restartControllers kills random controllers, and starts each again after at most 1.5 seconds.
func (tc *testCluster) restartControllers() {
	if tc.faultsOver {
		return
	}
	tc.after(time.Duration(300+tc.random.IntN(2500))*time.Millisecond, tc.restartControllers)
	restarted := tc.controllers[tc.random.IntN(len(tc.controllers))]
	restarted.kill()
	tc.after(time.Duration(tc.random.IntN(1500))*time.Millisecond, restarted.start)
}
