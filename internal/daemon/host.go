// A Host is where a machine lies in a real process: one owner runs the machine
// and everything that touches it comes through queues. Around it stand the
// adapters: the links between daemons, the disk, the log, the clock, and the
// callers. The owner works in turns: it waits, takes all that came meanwhile,
// and then flushes once what goes out, since each wake-up and each write costs.

package daemon

import (
	"fmt"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"dahlialock/internal/logevent"
	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
	"dahlialock/internal/wal"
)

const (
	inboxSize   = 4096
	requestSize = 4096
	batchMost   = 256
	lookEvery   = 16
	// A disk that refuses is tried again after a pause, and told of now and then.
	refusedPause   = 200 * time.Millisecond
	refusedReports = 50
	endMost        = time.Second
)

type task struct {
	command func(request uint64) any
	inspect func(now time.Time) any
	returns chan any
	within  func(owner LoopContext)
	attach  uint64
	sink    chan statemachine.Delivery
	detach  uint64
	flush   func()
}

// sink takes the events of one channel: a queue, or a function that runs on the
// owner's task.
type sink struct {
	queue chan statemachine.Delivery
	take  func(statemachine.Delivery)
}

// flusher is what gathers output during a turn and sends it at its end.
type flusher interface{ Flush() }

// EventLoop runs one machine.
type EventLoop struct {
	machine   statemachine.Machine
	watcher   statemachine.LinkObserver
	transport *transport.Transport
	flush     []func()
	logger    *logevent.Logger
	book      *wal.Log
	address   string
	inbox     chan transport.Inbound
	urgent    chan transport.Inbound
	tasks     chan task
	disk      chan []statemachine.Write
	synced    chan []uint64
	slow      func(channel uint64) any
	clock     func() time.Time
	ended     chan struct{}
	slowDisk  atomic.Int64
	Steps     atomic.Int64
	Syncs     atomic.Int64
}

// Options are what a host needs besides the machine.
type Options struct {
	Address          string
	Logger           *logevent.Logger
	Log              *wal.Log
	CloseSlowSession func(channel uint64) any
	// Clock is the steady clock; the process's own if it is left out.
	Clock func() time.Time
}

// NewEventLoop starts the links of a host; Run then runs the machine.
func NewEventLoop(settings Options) (*EventLoop, error) {
	opened := &EventLoop{
		logger: settings.Logger, book: settings.Log, address: settings.Address, slow: settings.CloseSlowSession, clock: settings.Clock,
		inbox: make(chan transport.Inbound, inboxSize), urgent: make(chan transport.Inbound, inboxSize), tasks: make(chan task, requestSize),
		disk: make(chan []statemachine.Write), synced: make(chan []uint64, 1), ended: make(chan struct{}),
	}
	if opened.clock == nil {
		opened.clock = time.Now
	}
	links, err := transport.Open(settings.Address, opened.inbox, opened.urgent, func(remote string, err error) {
		settings.Logger.Report(logevent.MalformedFrame, "remote", remote, "error", err.Error())
	})
	if err != nil {
		return nil, err
	}
	opened.transport = links
	links.SetClock(opened.clock)
	if gathers, does := any(links).(flusher); does {
		opened.flush = append(opened.flush, gathers.Flush)
	}
	return opened, nil
}

// Transport gives the links, for counters and trials.
func (h *EventLoop) Transport() *transport.Transport { return h.transport }

// Done is closed once the machine has stopped.
func (h *EventLoop) Done() <-chan struct{} { return h.ended }

// Start runs the machine until it stops.
func (h *EventLoop) Start(machine statemachine.Machine) {
	h.machine = machine
	if watcher, watches := machine.(statemachine.LinkObserver); watches {
		h.watcher = watcher
		h.transport.ObserveLinks()
	}
	if h.book != nil {
		go h.writeDisk()
	}
	go h.own()
}

// writeDisk is the one task that touches the disk. Entries that came together
// are synced together.
func (h *EventLoop) writeDisk() {
	for writes := range h.disk {
		if slow := time.Duration(h.slowDisk.Load()); slow > 0 {
			time.Sleep(slow)
		}
		var tokens []uint64
		var entries [][]byte
		flush := func() {
			if len(entries) == 0 {
				return
			}
			batch := entries
			h.write(func() error { return h.book.Append(batch) })
			entries = nil
		}
		for _, write := range writes {
			if frame, whole := write.SnapshotBytes(); whole {
				flush()
				h.write(func() error { return h.book.Checkpoint(frame) })
			}
			entries = append(entries, write.Entries...)
			tokens = append(tokens, write.Token)
		}
		flush()
		h.Syncs.Store(h.book.Syncs)
		h.synced <- tokens
	}
}

// write tries until the disk takes it: nothing counts as lasting meanwhile, and
// the machine is told each time, so that others can do its part.
func (h *EventLoop) write(try func() error) {
	for tries := 0; ; tries++ {
		err := try()
		if err == nil {
			return
		}
		if tries%refusedReports == 0 {
			h.logger.Report(logevent.DiskWriteFailed, "error", err.Error(), "tries", tries+1)
		}
		h.Post(statemachine.DiskUnavailable{})
		select {
		case <-h.ended:
			return
		case <-time.After(refusedPause):
		}
	}
}

// local is a message of the machine to itself.
type local struct {
	inbound  transport.Inbound
	notAfter time.Time
}

type running struct {
	request uint64
	returns map[uint64]func(value any)
	sinks   map[uint64]sink
	writes  []statemachine.Write
	local   []local
	now     time.Time
	writing bool
	stop    bool
	ended   bool
}

func (h *EventLoop) own() {
	defer func() {
		if broken := recover(); broken != nil {
			h.logger.Report(logevent.InvariantBroken, "error", fmt.Sprint(broken), "stack", string(debug.Stack()))
			os.Exit(2)
		}
	}()
	state := &running{returns: map[uint64]func(value any){}, sinks: map[uint64]sink{}, now: h.clock()}
	timer := time.NewTimer(time.Hour)
	var armed time.Time
	h.step(state, func(now time.Time, effects *statemachine.Effects) { h.machine.Start(now, effects) })
	h.flushAll()
	for !state.stop {
		var disk chan []statemachine.Write
		if len(state.writes) > 0 && !state.writing {
			disk = h.disk
		}
		due := h.machine.NextTick()
		if !due.IsZero() && !state.now.Before(due) {
			h.due(state)
			continue
		}
		if !due.Equal(armed) {
			armed = due
			if due.IsZero() {
				timer.Reset(time.Hour)
			} else {
				timer.Reset(max(0, due.Sub(h.clock())))
			}
		}
		select {
		case inbound := <-h.urgent:
			state.now = h.clock()
			h.message(state, inbound)
		case inbound := <-h.inbox:
			state.now = h.clock()
			h.first(state)
			h.message(state, inbound)
		case asked := <-h.tasks:
			state.now = h.clock()
			h.first(state)
			h.run(state, asked)
		case disk <- state.writes:
			state.writes, state.writing = nil, true
			continue
		case tokens := <-h.synced:
			state.now = h.clock()
			h.lasts(state, tokens)
		case <-timer.C:
			state.now, armed = h.clock(), time.Time{}
			h.due(state)
			continue
		}
		h.finishTurn(state)
	}
	h.end(state)
}

// due runs what is due, as a turn of its own.
func (h *EventLoop) due(state *running) {
	h.first(state)
	h.step(state, func(now time.Time, effects *statemachine.Effects) { h.machine.Tick(now, effects) })
	h.finishTurn(state)
}

// finishTurn takes what else has come, lets the disk begin, and flushes.
func (h *EventLoop) finishTurn(state *running) {
	h.more(state)
	if len(state.writes) > 0 && !state.writing {
		select {
		case h.disk <- state.writes:
			state.writes, state.writing = nil, true
		default:
		}
	}
	h.flushAll()
}

// flushAll ends a turn: what was gathered goes out.
func (h *EventLoop) flushAll() {
	for _, flush := range h.flush {
		flush()
	}
}

func (h *EventLoop) lasts(state *running, tokens []uint64) {
	state.writing = false
	for _, token := range tokens {
		h.step(state, func(now time.Time, effects *statemachine.Effects) {
			h.machine.HandleCommand(now, statemachine.Synced{Token: token}, effects)
		})
	}
}

// end lets the last writes and sends out before the process goes.
func (h *EventLoop) end(state *running) {
	patience := time.NewTimer(endMost)
	if state.writing {
		select {
		case <-h.synced:
			state.writing = false
		case <-patience.C:
		}
	}
	if len(state.writes) > 0 && !state.writing {
		h.disk <- state.writes
		select {
		case <-h.synced:
		case <-patience.C:
		}
	}
	for _, sink := range state.sinks {
		sink.end()
	}
	for _, returns := range state.returns {
		returns(nil)
	}
	state.ended = true
	h.flushAll()
	close(h.ended)
	// Work is done by the owner as long as the process lives, so that none is left
	// without an answer and nothing is touched by two tasks.
	for asked := range h.tasks {
		if asked.within != nil {
			asked.within(LoopContext{host: h, state: state})
			h.flushAll()
		}
	}
}

// first takes what the control state says before anything else, however much
// traffic waits: a daemon that is busy must not look lost.
func (h *EventLoop) first(state *running) {
	for range batchMost {
		select {
		case inbound := <-h.urgent:
			h.message(state, inbound)
		default:
			return
		}
	}
}

// more takes what else has come, in fair turns, as long as no timer is due;
// what is urgent goes first.
func (h *EventLoop) more(state *running) {
	for count := range batchMost {
		if state.stop {
			return
		}
		if count%lookEvery == lookEvery-1 {
			state.now = h.clock()
			if due := h.machine.NextTick(); !due.IsZero() && !state.now.Before(due) {
				return
			}
		}
		h.first(state)
		select {
		case inbound := <-h.inbox:
			h.message(state, inbound)
		case asked := <-h.tasks:
			h.run(state, asked)
		case tokens := <-h.synced:
			h.lasts(state, tokens)
		default:
			return
		}
	}
}

func (h *EventLoop) message(state *running, inbound transport.Inbound) {
	if _, refused := inbound.Message.(transport.ConnectionRefused); refused {
		h.step(state, func(now time.Time, effects *statemachine.Effects) {
			h.watcher.ConnectionRefused(now, inbound.Meta.From, effects)
		})
		return
	}
	h.step(state, func(now time.Time, effects *statemachine.Effects) {
		h.machine.HandleMessage(now, inbound.Meta, inbound.Message, effects)
	})
}

func (h *EventLoop) run(state *running, asked task) {
	switch {
	case asked.inspect != nil:
		asked.returns <- asked.inspect(state.now)
	case asked.within != nil:
		asked.within(LoopContext{host: h, state: state})
	case asked.attach != 0:
		state.sinks[asked.attach] = sink{queue: asked.sink}
	case asked.detach != 0:
		delete(state.sinks, asked.detach)
	case asked.flush != nil:
		h.flush = append(h.flush, asked.flush)
	}
	if asked.command == nil {
		return
	}
	var then func(value any)
	if returns := asked.returns; returns != nil {
		then = func(value any) { returns <- value }
	}
	h.command(state, asked.command, then)
}

func (h *EventLoop) command(state *running, command func(request uint64) any, then func(value any)) {
	if state.ended {
		if then != nil {
			then(nil)
		}
		return
	}
	state.request++
	request := state.request
	if then != nil {
		state.returns[request] = then
	}
	h.step(state, func(now time.Time, effects *statemachine.Effects) {
		h.machine.HandleCommand(now, command(request), effects)
	})
}

// step runs the machine once and carries out what it asks.
func (h *EventLoop) step(state *running, run func(now time.Time, effects *statemachine.Effects)) {
	h.Steps.Add(1)
	// The process may have stood still since the step before, also in the midst
	// of a turn.
	state.now = h.clock()
	var effects statemachine.Effects
	run(state.now, &effects)
	h.carryOut(state, &effects)
	for len(state.local) > 0 {
		next := state.local[0]
		state.local = state.local[1:]
		state.now = h.clock()
		if !statemachine.BeforeDeadline(next.notAfter, state.now) {
			continue
		}
		var more statemachine.Effects
		h.machine.HandleMessage(state.now, next.inbound.Meta, next.inbound.Message, &more)
		h.carryOut(state, &more)
	}
}

func (h *EventLoop) carryOut(state *running, effects *statemachine.Effects) {
	version := h.machine.ConfigurationVersion()
	for _, note := range effects.LogEvents {
		h.logger.Write(note)
	}
	for _, send := range effects.Sends {
		if send.To == h.address {
			inbound := transport.Inbound{Meta: statemachine.Meta{From: h.address, Version: version}, Message: send.Message}
			state.local = append(state.local, local{inbound: inbound, notAfter: send.NotAfter})
			continue
		}
		if err := h.transport.SendBefore(send.To, version, send.Message, send.NotAfter); err != nil {
			panic(err)
		}
	}
	state.writes = append(state.writes, effects.Writes...)
	for _, returned := range effects.Responses {
		if waiting, found := state.returns[returned.Request]; found {
			delete(state.returns, returned.Request)
			waiting(h.given(returned))
		}
	}
	var slow []uint64
	for _, deliver := range effects.Deliveries {
		sink, found := state.sinks[deliver.Session]
		if !found {
			continue
		}
		if !sink.give(deliver) {
			sink.end()
			delete(state.sinks, deliver.Session)
			slow = append(slow, deliver.Session)
			continue
		}
		if deliver.Close {
			sink.end()
			delete(state.sinks, deliver.Session)
		}
	}
	state.stop = state.stop || effects.Stop
	for _, channel := range slow {
		h.step(state, func(now time.Time, effects *statemachine.Effects) {
			h.machine.HandleCommand(now, h.slow(channel), effects)
		})
	}
}

// given is what an asker is told, by the clock as it is when the answer leaves.
func (h *EventLoop) given(returned statemachine.Response) any {
	if returned.NotAfter.IsZero() {
		return returned.Value
	}
	return returned.ValueAt(h.clock())
}

// give hands an event over; false if the sink is full.
func (s sink) give(deliver statemachine.Delivery) bool {
	if s.take != nil {
		s.take(deliver)
		return true
	}
	select {
	case s.queue <- deliver:
		return true
	default:
		return false
	}
}

// end tells the sink's other side that nothing more comes.
func (s sink) end() {
	if s.queue != nil {
		close(s.queue)
	}
}

// LoopContext is the owner's task as seen by work that runs on it. It may only be used
// before that work returns, or in what the owner calls back.
type LoopContext struct {
	host  *EventLoop
	state *running
}

// Submit brings a command in at once; then runs on the owner's task with the
// answer, which is nil if the machine ended first.
func (o LoopContext) Submit(command func(request uint64) any, then func(value any)) {
	o.host.command(o.state, command, then)
}

// Post brings a command in at once whose answer nobody waits for.
func (o LoopContext) Post(command any) {
	o.host.command(o.state, func(uint64) any { return command }, nil)
}

// AttachSession gives a channel a function that takes its events, on the owner's task;
// Detach takes it away.
func (o LoopContext) AttachSession(channel uint64, take func(statemachine.Delivery)) {
	o.state.sinks[channel] = sink{take: take}
}

// DetachSession takes a channel's sink away.
func (o LoopContext) DetachSession(channel uint64) { delete(o.state.sinks, channel) }

// Execute runs work on the owner's task, in the order in which it was brought in;
// false if the machine has ended, which leaves the work nobody to ask. The work
// must not block.
func (h *EventLoop) Execute(work func(owner LoopContext)) bool {
	h.tasks <- task{within: work}
	select {
	case <-h.ended:
		return false
	default:
		return true
	}
}

// Submit brings a command in for a caller without a task of its own; then runs on
// the owner's task, must not block, and gets nil if the machine ended first.
func (h *EventLoop) Submit(command func(request uint64) any, then func(value any)) {
	h.Execute(func(owner LoopContext) { owner.Submit(command, then) })
}

// AttachSessionFunc gives a channel a function that takes its events on the owner's
// task and must not block.
func (h *EventLoop) AttachSessionFunc(channel uint64, take func(statemachine.Delivery)) {
	h.Execute(func(owner LoopContext) { owner.AttachSession(channel, take) })
}

// OnTurnEnd has the owner call flush at the end of each turn.
func (h *EventLoop) OnTurnEnd(flush func()) {
	select {
	case h.tasks <- task{flush: flush}:
	case <-h.ended:
	}
}

// Call brings a command in and waits for its answer; false if the machine ended
// first.
func (h *EventLoop) Call(command func(request uint64) any) (any, bool) {
	returns := make(chan any, 1)
	select {
	case h.tasks <- task{command: command, returns: returns}:
	case <-h.ended:
		return nil, false
	}
	select {
	case value := <-returns:
		return value, value != nil
	case <-h.ended:
		return nil, false
	}
}

// Post brings a command in and does not wait.
func (h *EventLoop) Post(command any) {
	select {
	case h.tasks <- task{command: func(uint64) any { return command }}:
	case <-h.ended:
	}
}

// Inspect runs a question on the owner's own thread.
func (h *EventLoop) Inspect(inspect func(now time.Time) any) (any, bool) {
	returns := make(chan any, 1)
	select {
	case h.tasks <- task{inspect: inspect, returns: returns}:
	case <-h.ended:
		return nil, false
	}
	select {
	case value := <-returns:
		return value, true
	case <-h.ended:
		return nil, false
	}
}

// AttachSession gives a channel its sink, Detach takes it away.
func (h *EventLoop) AttachSession(channel uint64, sink chan statemachine.Delivery) {
	select {
	case h.tasks <- task{attach: channel, sink: sink}:
	case <-h.ended:
	}
}

// DetachSession takes a channel's sink away.
func (h *EventLoop) DetachSession(channel uint64) {
	select {
	case h.tasks <- task{detach: channel}:
	case <-h.ended:
	}
}
