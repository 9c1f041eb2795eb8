package controller

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/config"
	"dahlialock/internal/membership"
	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

// Addresses of the modelled daemons other than stores.
const (
	controllerAddress = "controller"
	gatewayAddress    = "gateway"
)

const (
	testConfig    = `{"version": 1, "spaces": [{"name": "boards", "promise": "kept", "order": "channel"}]}`
	testPartition = "boards~1/0"
)

// event is an event at a point of simulated time.
type event struct {
	at    time.Duration
	order int
	run   func()
}

// eventQueue is a heap of events, ordered by time and then by the order in which they were added.
type eventQueue []event

func (e eventQueue) Len() int             { return len(e) }
func (e eventQueue) Swap(left, right int) { e[left], e[right] = e[right], e[left] }
func (e *eventQueue) Push(item any)       { *e = append(*e, item.(event)) }
func (e eventQueue) Less(left, right int) bool {
	if e[left].at != e[right].at {
		return e[left].at < e[right].at
	}
	return e[left].order < e[right].order
}

func (e *eventQueue) Pop() any {
	last := len(*e) - 1
	item := (*e)[last]
	*e = (*e)[:last]
	return item
}

// storeCluster is a model of a cluster: real stores under the real control state and
// placement rules, with links that lose, duplicate and reorder messages, and faults of stores
// and their disks. The primary controller and a gateway are modelled.
type storeCluster struct {
	t        *testing.T
	random   *rand.Rand
	now      time.Duration
	queue    eventQueue
	order    int
	state    *State
	stores   []*storeNode
	senders  [testSenders]*sequentialSender
	requests uint64
	// accepted holds the offset of each accepted message, offsets the message at each
	// offset, and rejected the messages that were rejected on every attempt.
	accepted  map[string]uint64
	offsets   map[uint64]string
	rejected  map[string]bool
	fetched   *partition.FetchResponse
	slowDisks map[string]slowDisk
	lossRate  float64
	lastWipe  time.Duration
	// quiet is set once no more faults are injected and no more messages are published.
	quiet bool
	// singleReplica is set if partitions have only one replica, so that no disk may be wiped.
	singleReplica bool
	// gatewayHandler, if set, handles the messages to the gateway in place of
	// handleAsGateway.
	gatewayHandler func(from string, message any)
	// lastArrival, if set, holds when the gateway's last message to each store arrives. The
	// gateway's links then deliver messages in order and only once.
	lastArrival map[string]time.Duration
	// linkFault, if set, decides whether a message is lost and by how long it is delayed. A
	// delayed message is delivered to the incarnation that runs when it arrives.
	linkFault func(from, to string, message any) (delay time.Duration, lost bool)
}

func newStoreCluster(t *testing.T, random *rand.Rand) *storeCluster {
	t.Helper()
	return &storeCluster{
		t:         t,
		random:    random,
		state:     newState(),
		accepted:  map[string]uint64{},
		offsets:   map[uint64]string{},
		rejected:  map[string]bool{},
		slowDisks: map[string]slowDisk{},
		lastWipe:  -time.Minute,
	}
}

// addStore adds a store that does not run yet.
func (c *storeCluster) addStore(number int) *storeNode {
	added := &storeNode{cluster: c, name: fmt.Sprintf("store-%d", number)}
	c.stores = append(c.stores, added)
	return added
}

func (c *storeCluster) after(wait time.Duration, run func()) {
	c.order++
	heap.Push(&c.queue, event{at: c.now + wait, order: c.order, run: run})
}

func (c *storeCluster) run(length time.Duration) {
	until := c.now + length
	for len(c.queue) > 0 && c.queue[0].at <= until {
		next := heap.Pop(&c.queue).(event)
		c.now = next.at
		next.run()
	}
	c.now = until
}

// send sends a message over a link that may lose, duplicate and reorder messages.
func (c *storeCluster) send(from string, send statemachine.Send) {
	if c.random.Float64() < c.lossRate {
		return
	}
	packed, err := transport.Encode(statemachine.Meta{From: from, Version: 1}, send.Message)
	assert.NilError(c.t, err)
	if c.linkFault != nil {
		delay, lost := c.linkFault(from, send.To, send.Message)
		if lost {
			return
		}
		if delay > 0 {
			c.after(delay, func() { c.deliver(from, send.To, packed) })
			return
		}
	}
	inOrder := c.lastArrival != nil && from == gatewayAddress
	copies := 1 + c.random.IntN(15)/14
	if inOrder {
		copies = 1
	}
	for range copies {
		delay := time.Duration(200+c.random.IntN(2000)) * time.Microsecond
		if inOrder {
			delay = max(delay, c.lastArrival[send.To]-c.now)
			c.lastArrival[send.To] = c.now + delay
		}
		c.after(delay, func() { c.deliver(from, send.To, packed) })
	}
}

// deliver delivers a message to the current incarnation of its receiver.
func (c *storeCluster) deliver(from, to string, packed []byte) {
	meta, message, err := transport.Decode(packed[4:])
	assert.NilError(c.t, err)
	for _, store := range c.stores {
		if store.name == to {
			store.stepIncarnation(store.incarnation, func(now time.Time, effects *statemachine.Effects) {
				store.machine.HandleMessage(now, meta, message, effects)
			})
		}
	}
	switch {
	case to == controllerAddress:
		c.handleAsController(from, message)
	case to == gatewayAddress && c.gatewayHandler != nil:
		c.gatewayHandler(from, message)
	case to == gatewayAddress:
		c.handleAsGateway(message)
	}
}

// handleAsController handles a message to the modelled primary.
func (c *storeCluster) handleAsController(from string, message any) {
	switch body := message.(type) {
	case membership.ViewRequest:
		known, found := c.state.Members[from]
		rejoins := known.Incarnation == body.Self.Incarnation && !known.Alive
		if !found || known.Incarnation < body.Self.Incarnation || rejoins {
			c.apply(Command{Joins: []Join{{Self: body.Self}}})
		}
		update := updateFor(c.state, from, body)
		c.after(50*time.Millisecond, func() {
			c.send(controllerAddress, statemachine.Send{To: from, Message: update})
		})
	case membership.PartitionReplicated:
		c.apply(Command{Replicated: []membership.PartitionReplicated{body}})
	case membership.SlowDiskReport:
		c.slowDisks[body.Name] = slowDisk{
			at:          time.Unix(0, 0).Add(c.now),
			incarnation: body.Incarnation,
			delay:       body.Delay,
		}
	}
}

// updateFor returns the primary's response to a poll.
func updateFor(state *State, recipient string, request membership.ViewRequest) membership.ViewUpdate {
	update := membership.ViewUpdate{
		Recipient: recipient,
		Nonce:     request.Nonce,
		Epoch:     1,
		Primary:   controllerAddress,
		Index:     state.Index,
		Version:   state.Version,
		Document:  state.Document,
	}
	if request.Index != state.Index {
		state.fillView(&update, request.Index)
	}
	return update
}

func (c *storeCluster) apply(command Command) { c.state.Apply(time.Time{}, encodeCommand(command)) }

// reconcile marks stores that are down or suspended as failed, completes retirements, and plans
// degradations and placements.
func (c *storeCluster) reconcile() {
	c.after(150*time.Millisecond, c.reconcile)
	for _, store := range c.stores {
		member, found := c.state.Members[store.name]
		if found && member.Alive && (!store.up || store.suspended) && c.random.IntN(6) == 0 {
			c.apply(Command{Leaves: []MemberIncarnation{{Name: store.name, Incarnation: member.Incarnation}}})
		}
		c.apply(Command{RetiredStores: []string{store.name}})
	}
	if changes := c.state.planDegradations(time.Unix(0, 0).Add(c.now), c.slowDisks); len(changes) > 0 {
		c.apply(Command{Degradations: changes})
	}
	if changes := c.state.planPlacements(c.configuration()); len(changes) > 0 {
		c.apply(Command{Placements: changes})
	}
}

func (c *storeCluster) configuration() config.Configuration {
	configuration, faults := config.Read(c.state.Document)
	assert.Equal(c.t, len(faults), 0)
	return configuration
}

// allReplicated reports whether all stores are running and all placements are complete.
func (c *storeCluster) allReplicated() bool {
	for _, store := range c.stores {
		if !store.up || store.suspended {
			return false
		}
	}
	for _, placement := range c.state.Placements {
		if !placement.Complete {
			return false
		}
	}
	return len(c.state.Placements) > 0
}

// injectFault injects a random fault for a while, and schedules the next one.
func (c *storeCluster) injectFault() {
	c.after(time.Duration(800+c.random.IntN(2500))*time.Millisecond, c.injectFault)
	if c.quiet {
		return
	}
	target := c.stores[c.random.IntN(len(c.stores))]
	duration := time.Duration(100+c.random.IntN(3000)) * time.Millisecond
	switch c.random.IntN(6) {
	case 0, 1:
		target.kill()
		c.after(duration, target.start)
	case 2:
		target.suspended = target.up
		c.after(duration, target.resume)
	case 3:
		c.lossRate = 0.25
		c.after(duration, func() { c.lossRate = 0 })
	case 4:
		if !c.singleReplica && c.allReplicated() && c.now-c.lastWipe > 4*time.Second {
			c.lastWipe = c.now
			target.kill()
			target.wipe()
			c.after(duration, target.start)
		}
	case 5:
		c.retireForAWhile(target)
	}
}

// retireForAWhile retires a store, unless another is being retired, and returns it to use
// after four seconds.
func (c *storeCluster) retireForAWhile(target *storeNode) {
	for _, member := range c.state.Members {
		if member.Retiring {
			return
		}
	}
	if c.state.Members[target.name].Alive {
		c.apply(Command{Retirement: &Retirement{Store: target.name, Retiring: true}})
		c.after(4*time.Second, func() { c.apply(Command{Retirement: &Retirement{Store: target.name}}) })
	}
}

// storeNode is a real store on a modelled disk.
type storeNode struct {
	cluster     *storeCluster
	name        string
	machine     *partition.Store
	up          bool
	suspended   bool
	incarnation int
	// lastWriteEnd is when the last write completes; writes complete in order.
	lastWriteEnd int
	snapshot     []byte
	entries      [][]byte
	// deferred holds the steps that are deferred until a suspended store is resumed.
	deferred    []func()
	timer       int
	clockOffset time.Duration
	// writeDelay is the additional duration of each write. No write completes before
	// diskHungUntil. diskFull is set while the disk rejects all writes.
	writeDelay    time.Duration
	diskHungUntil time.Duration
	diskFull      bool
}

func (s *storeNode) local() time.Time {
	return time.Unix(1_700_000_000, 0).Add(s.clockOffset + s.cluster.now)
}

func (s *storeNode) member() membership.Member {
	return membership.Member{
		Name:        s.name,
		Kind:        membership.KindStore,
		Address:     s.name,
		Zone:        s.name,
		Incarnation: uint64(s.incarnation),
		Alive:       true,
	}
}

func (s *storeNode) start() {
	if s.up {
		return
	}
	s.incarnation++
	s.up, s.suspended, s.deferred = true, false, nil
	s.clockOffset = time.Duration(s.cluster.random.Int64N(int64(4*time.Hour))) - 2*time.Hour
	machine, err := partition.New(partition.Settings{
		Self:        s.member(),
		Seeds:       []string{controllerAddress},
		NewDisk:     fmt.Sprintf("%s-%d", s.name, s.incarnation),
		Incarnation: statemachine.Incarnation(s.cluster.random.Uint64()),
	}, s.snapshot, s.entries)
	assert.NilError(s.cluster.t, err)
	s.machine = machine
	s.step(func(now time.Time, effects *statemachine.Effects) { machine.Start(now, effects) })
}

func (s *storeNode) kill() {
	s.up = false
	s.incarnation++
}

// wipe erases the disk of a store that is not running.
func (s *storeNode) wipe() { s.snapshot, s.entries = nil, nil }

func (s *storeNode) resume() {
	if s.up && s.suspended {
		s.suspended = false
		deferred := s.deferred
		s.deferred = nil
		for _, run := range deferred {
			run()
		}
	}
}

// reportFullDisk notifies the store periodically that its disk is unavailable, as long as the disk
// is full.
func (s *storeNode) reportFullDisk() {
	if s.diskFull && s.up {
		s.stepIncarnation(s.incarnation, func(now time.Time, effects *statemachine.Effects) {
			s.machine.HandleCommand(now, statemachine.DiskUnavailable{}, effects)
		})
	}
	if s.diskFull {
		s.cluster.after(200*time.Millisecond, s.reportFullDisk)
	}
}

// stepIncarnation runs a step if the incarnation is still running. If the store is suspended, the
// step is deferred until it is resumed.
func (s *storeNode) stepIncarnation(incarnation int, run func(now time.Time, effects *statemachine.Effects)) {
	switch {
	case !s.up || s.incarnation != incarnation:
	case s.suspended:
		s.deferred = append(s.deferred, func() { s.stepIncarnation(incarnation, run) })
	default:
		s.step(run)
	}
}

// step runs a step, performs its effects and schedules the next tick.
func (s *storeNode) step(run func(now time.Time, effects *statemachine.Effects)) {
	incarnation := s.incarnation
	var effects statemachine.Effects
	run(s.local(), &effects)
	for _, send := range effects.Sends {
		s.cluster.send(s.name, send)
	}
	for _, write := range effects.Writes {
		s.write(write)
	}
	s.timer++
	timer := s.timer
	if due := s.machine.NextTick(); !due.IsZero() {
		s.cluster.after(max(0, due.Sub(s.local()))+time.Microsecond, func() {
			if s.timer == timer {
				s.stepIncarnation(incarnation, func(now time.Time, effects *statemachine.Effects) {
					s.machine.Tick(now, effects)
				})
			}
		})
	}
}

// write schedules the completion of a write, after all earlier writes.
func (s *storeNode) write(write statemachine.Write) {
	cluster, incarnation := s.cluster, s.incarnation
	duration := time.Duration(1+cluster.random.IntN(4))*time.Millisecond + s.writeDelay
	duration = max(duration, s.diskHungUntil-cluster.now)
	s.lastWriteEnd = max(s.lastWriteEnd, int(cluster.now+duration))
	cluster.after(time.Duration(s.lastWriteEnd)-cluster.now, func() {
		if !s.up || s.incarnation != incarnation {
			return
		}
		if snapshot, complete := write.SnapshotBytes(); complete {
			s.snapshot, s.entries = snapshot, nil
		}
		s.entries = append(s.entries, write.Entries...)
		s.stepIncarnation(incarnation, func(now time.Time, effects *statemachine.Effects) {
			s.machine.HandleCommand(now, statemachine.Synced{Token: write.Token}, effects)
		})
	})
}
