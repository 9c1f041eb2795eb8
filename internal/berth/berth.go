// A Berth is where a machine lies in a real process: one owner runs the machine
// and everything that touches it comes through queues. Around it stand the
// adapters: the links between daemons, the disk, the log, the clock, and the
// callers. The owner works in turns: it waits, takes all that came meanwhile,
// and then flushes once what goes out, since each wake-up and each write costs.
package berth

import (
	"fmt"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"dahlialock/internal/flare"
	"dahlialock/internal/foghorn"
	"dahlialock/internal/helm"
	"dahlialock/internal/logbook"
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

type request struct {
	command func(visit uint64) any
	inspect func(now time.Time) any
	returns chan any
	within  func(owner Owner)
	attach  uint64
	sink    chan helm.Deliver
	detach  uint64
	flush   func()
}

// sink takes the events of one channel: a queue, or a function that runs on the
// owner's task.
type sink struct {
	queue chan helm.Deliver
	take  func(helm.Deliver)
}

// flusher is what gathers output during a turn and sends it at its end.
type flusher interface{ Flush() }

// Berth runs one machine.
type Berth struct {
	machine  helm.Machine
	watcher  helm.LinkWatcher
	flare    *flare.Flare
	flush    []func()
	foghorn  *foghorn.Foghorn
	book     *logbook.Logbook
	address  string
	inbox    chan flare.Inbound
	urgent   chan flare.Inbound
	requests chan request
	disk     chan []helm.Write
	synced   chan []uint64
	slow     func(channel uint64) any
	ended    chan struct{}
	slowDisk atomic.Int64
	Steps    atomic.Int64
	Syncs    atomic.Int64
}

// Props are what a berth needs besides the machine.
type Props struct {
	Address string
	Foghorn *foghorn.Foghorn
	Book    *logbook.Logbook
	Slow    func(channel uint64) any
}

// Open starts the links of a berth; Run then runs the machine.
func Open(props Props) (*Berth, error) {
	opened := &Berth{
		foghorn: props.Foghorn, book: props.Book, address: props.Address, slow: props.Slow,
		inbox: make(chan flare.Inbound, inboxSize), urgent: make(chan flare.Inbound, inboxSize), requests: make(chan request, requestSize),
		disk: make(chan []helm.Write), synced: make(chan []uint64, 1), ended: make(chan struct{}),
	}
	links, fault := flare.Open(props.Address, opened.inbox, opened.urgent, func(remote string, fault error) {
		props.Foghorn.Report(foghorn.LinkGarbage, "remote", remote, "error", fault.Error())
	})
	if fault != nil {
		return nil, fault
	}
	opened.flare = links
	if gathers, does := any(links).(flusher); does {
		opened.flush = append(opened.flush, gathers.Flush)
	}
	return opened, nil
}

// Flare gives the links, for counters and trials.
func (berth *Berth) Flare() *flare.Flare { return berth.flare }

// Ended is closed once the machine has stopped.
func (berth *Berth) Ended() <-chan struct{} { return berth.ended }

// Run runs the machine until it stops.
func (berth *Berth) Run(machine helm.Machine) {
	berth.machine = machine
	if watcher, watches := machine.(helm.LinkWatcher); watches {
		berth.watcher = watcher
		berth.flare.Watch()
	}
	if berth.book != nil {
		go berth.writeDisk()
	}
	go berth.own()
}

// writeDisk is the one task that touches the disk. Entries that came together
// are synced together.
func (berth *Berth) writeDisk() {
	for writes := range berth.disk {
		if slow := time.Duration(berth.slowDisk.Load()); slow > 0 {
			time.Sleep(slow)
		}
		var tokens []uint64
		var entries [][]byte
		flush := func() {
			if len(entries) == 0 {
				return
			}
			batch := entries
			berth.write(func() error { return berth.book.Append(batch) })
			entries = nil
		}
		for _, write := range writes {
			if frame, whole := write.Whole(); whole {
				flush()
				berth.write(func() error { return berth.book.Checkpoint(frame) })
			}
			entries = append(entries, write.Entries...)
			tokens = append(tokens, write.Token)
		}
		flush()
		berth.Syncs.Store(berth.book.Syncs)
		berth.synced <- tokens
	}
}

// write tries until the disk takes it: nothing counts as lasting meanwhile, and
// the machine is told each time, so that others can do its part.
func (berth *Berth) write(try func() error) {
	for tries := 0; ; tries++ {
		fault := try()
		if fault == nil {
			return
		}
		if tries%refusedReports == 0 {
			berth.foghorn.Report(foghorn.DiskRefused, "error", fault.Error(), "tries", tries+1)
		}
		berth.Post(helm.DiskRefused{})
		select {
		case <-berth.ended:
			return
		case <-time.After(refusedPause):
		}
	}
}

type running struct {
	visit   uint64
	returns map[uint64]func(value any)
	sinks   map[uint64]sink
	writes  []helm.Write
	local   []flare.Inbound
	now     time.Time
	writing bool
	stop    bool
	ended   bool
}

func (berth *Berth) own() {
	defer func() {
		if broken := recover(); broken != nil {
			berth.foghorn.Report(foghorn.InvariantBroken, "error", fmt.Sprint(broken), "stack", string(debug.Stack()))
			os.Exit(2)
		}
	}()
	state := &running{returns: map[uint64]func(value any){}, sinks: map[uint64]sink{}, now: time.Now()}
	timer := time.NewTimer(time.Hour)
	var armed time.Time
	berth.step(state, func(now time.Time, effects *helm.Effects) { berth.machine.Start(now, effects) })
	berth.flushAll()
	for !state.stop {
		var disk chan []helm.Write
		if len(state.writes) > 0 && !state.writing {
			disk = berth.disk
		}
		due := berth.machine.NextDue()
		if !due.IsZero() && !state.now.Before(due) {
			berth.due(state)
			continue
		}
		if !due.Equal(armed) {
			armed = due
			if due.IsZero() {
				timer.Reset(time.Hour)
			} else {
				timer.Reset(max(0, time.Until(due)))
			}
		}
		select {
		case inbound := <-berth.urgent:
			state.now = time.Now()
			berth.message(state, inbound)
		case inbound := <-berth.inbox:
			state.now = time.Now()
			berth.first(state)
			berth.message(state, inbound)
		case asked := <-berth.requests:
			state.now = time.Now()
			berth.first(state)
			berth.request(state, asked)
		case disk <- state.writes:
			state.writes, state.writing = nil, true
			continue
		case tokens := <-berth.synced:
			state.now = time.Now()
			berth.lasts(state, tokens)
		case <-timer.C:
			state.now, armed = time.Now(), time.Time{}
			berth.due(state)
			continue
		}
		berth.finishTurn(state)
	}
	berth.end(state)
}

// due runs what is due, as a turn of its own.
func (berth *Berth) due(state *running) {
	berth.first(state)
	berth.step(state, func(now time.Time, effects *helm.Effects) { berth.machine.Due(now, effects) })
	berth.finishTurn(state)
}

// finishTurn takes what else has come, lets the disk begin, and flushes.
func (berth *Berth) finishTurn(state *running) {
	berth.more(state)
	if len(state.writes) > 0 && !state.writing {
		select {
		case berth.disk <- state.writes:
			state.writes, state.writing = nil, true
		default:
		}
	}
	berth.flushAll()
}

// flushAll ends a turn: what was gathered goes out.
func (berth *Berth) flushAll() {
	for _, flush := range berth.flush {
		flush()
	}
}

func (berth *Berth) lasts(state *running, tokens []uint64) {
	state.writing = false
	for _, token := range tokens {
		berth.step(state, func(now time.Time, effects *helm.Effects) {
			berth.machine.Command(now, helm.Synced{Token: token}, effects)
		})
	}
}

// end lets the last writes and sends out before the process goes.
func (berth *Berth) end(state *running) {
	patience := time.NewTimer(endMost)
	if state.writing {
		select {
		case <-berth.synced:
			state.writing = false
		case <-patience.C:
		}
	}
	if len(state.writes) > 0 && !state.writing {
		berth.disk <- state.writes
		select {
		case <-berth.synced:
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
	berth.flushAll()
	close(berth.ended)
	// Work is done by the owner as long as the process lives, so that none is left
	// without an answer and nothing is touched by two tasks.
	for asked := range berth.requests {
		if asked.within != nil {
			asked.within(Owner{berth: berth, state: state})
			berth.flushAll()
		}
	}
}

// first takes what the control state says before anything else, however much
// traffic waits: a daemon that is busy must not look lost.
func (berth *Berth) first(state *running) {
	for range batchMost {
		select {
		case inbound := <-berth.urgent:
			berth.message(state, inbound)
		default:
			return
		}
	}
}

// more takes what else has come, in fair turns, as long as no timer is due;
// what is urgent goes first.
func (berth *Berth) more(state *running) {
	for count := range batchMost {
		if state.stop {
			return
		}
		if count%lookEvery == lookEvery-1 {
			state.now = time.Now()
			if due := berth.machine.NextDue(); !due.IsZero() && !state.now.Before(due) {
				return
			}
		}
		berth.first(state)
		select {
		case inbound := <-berth.inbox:
			berth.message(state, inbound)
		case asked := <-berth.requests:
			berth.request(state, asked)
		case tokens := <-berth.synced:
			berth.lasts(state, tokens)
		default:
			return
		}
	}
}

func (berth *Berth) message(state *running, inbound flare.Inbound) {
	if _, refused := inbound.Message.(flare.Refused); refused {
		berth.step(state, func(now time.Time, effects *helm.Effects) { berth.watcher.Refused(now, inbound.Meta.From, effects) })
		return
	}
	berth.step(state, func(now time.Time, effects *helm.Effects) {
		berth.machine.Message(now, inbound.Meta, inbound.Message, effects)
	})
}

func (berth *Berth) request(state *running, asked request) {
	switch {
	case asked.inspect != nil:
		asked.returns <- asked.inspect(state.now)
	case asked.within != nil:
		asked.within(Owner{berth: berth, state: state})
	case asked.attach != 0:
		state.sinks[asked.attach] = sink{queue: asked.sink}
	case asked.detach != 0:
		delete(state.sinks, asked.detach)
	case asked.flush != nil:
		berth.flush = append(berth.flush, asked.flush)
	}
	if asked.command == nil {
		return
	}
	var then func(value any)
	if returns := asked.returns; returns != nil {
		then = func(value any) { returns <- value }
	}
	berth.command(state, asked.command, then)
}

func (berth *Berth) command(state *running, command func(visit uint64) any, then func(value any)) {
	if state.ended {
		if then != nil {
			then(nil)
		}
		return
	}
	state.visit++
	visit := state.visit
	if then != nil {
		state.returns[visit] = then
	}
	berth.step(state, func(now time.Time, effects *helm.Effects) {
		berth.machine.Command(now, command(visit), effects)
	})
}

// step runs the machine once and carries out what it asks.
func (berth *Berth) step(state *running, run func(now time.Time, effects *helm.Effects)) {
	berth.Steps.Add(1)
	var effects helm.Effects
	run(state.now, &effects)
	berth.carryOut(state, &effects)
	for len(state.local) > 0 {
		inbound := state.local[0]
		state.local = state.local[1:]
		var more helm.Effects
		berth.machine.Message(state.now, inbound.Meta, inbound.Message, &more)
		berth.carryOut(state, &more)
	}
}

func (berth *Berth) carryOut(state *running, effects *helm.Effects) {
	version := berth.machine.Version()
	for _, note := range effects.Notes {
		berth.foghorn.Sound(note)
	}
	for _, send := range effects.Sends {
		if send.To == berth.address {
			state.local = append(state.local, flare.Inbound{Meta: helm.Meta{From: berth.address, Version: version}, Message: send.Message})
			continue
		}
		if fault := berth.flare.Send(send.To, version, send.Message); fault != nil {
			panic(fault)
		}
	}
	state.writes = append(state.writes, effects.Writes...)
	for _, returned := range effects.Returns {
		if waiting, found := state.returns[returned.Visit]; found {
			delete(state.returns, returned.Visit)
			waiting(returned.Value)
		}
	}
	var slow []uint64
	for _, deliver := range effects.Delivers {
		sink, found := state.sinks[deliver.Channel]
		if !found {
			continue
		}
		if !sink.give(deliver) {
			sink.end()
			delete(state.sinks, deliver.Channel)
			slow = append(slow, deliver.Channel)
			continue
		}
		if deliver.Close {
			sink.end()
			delete(state.sinks, deliver.Channel)
		}
	}
	state.stop = state.stop || effects.Stop
	for _, channel := range slow {
		berth.step(state, func(now time.Time, effects *helm.Effects) {
			berth.machine.Command(now, berth.slow(channel), effects)
		})
	}
}

// give hands an event over; false if the sink is full.
func (sink sink) give(deliver helm.Deliver) bool {
	if sink.take != nil {
		sink.take(deliver)
		return true
	}
	select {
	case sink.queue <- deliver:
		return true
	default:
		return false
	}
}

// end tells the sink's other side that nothing more comes.
func (sink sink) end() {
	if sink.queue != nil {
		close(sink.queue)
	}
}

// Owner is the owner's task as seen by work that runs on it. It may only be used
// before that work returns, or in what the owner calls back.
type Owner struct {
	berth *Berth
	state *running
}

// Ask brings a command in at once; then runs on the owner's task with the
// answer, which is nil if the machine ended first.
func (owner Owner) Ask(command func(visit uint64) any, then func(value any)) {
	owner.berth.command(owner.state, command, then)
}

// Post brings a command in at once whose answer nobody waits for.
func (owner Owner) Post(command any) {
	owner.berth.command(owner.state, func(uint64) any { return command }, nil)
}

// Attach gives a channel a function that takes its events, on the owner's task;
// Detach takes it away.
func (owner Owner) Attach(channel uint64, take func(helm.Deliver)) {
	owner.state.sinks[channel] = sink{take: take}
}

// Detach takes a channel's sink away.
func (owner Owner) Detach(channel uint64) { delete(owner.state.sinks, channel) }

// Within runs work on the owner's task, in the order in which it was brought in;
// false if the machine has ended, which leaves the work nobody to ask. The work
// must not block.
func (berth *Berth) Within(work func(owner Owner)) bool {
	berth.requests <- request{within: work}
	select {
	case <-berth.ended:
		return false
	default:
		return true
	}
}

// Ask brings a command in for a caller without a task of its own; then runs on
// the owner's task, must not block, and gets nil if the machine ended first.
func (berth *Berth) Ask(command func(visit uint64) any, then func(value any)) {
	berth.Within(func(owner Owner) { owner.Ask(command, then) })
}

// AttachFunc gives a channel a function that takes its events on the owner's
// task and must not block.
func (berth *Berth) AttachFunc(channel uint64, take func(helm.Deliver)) {
	berth.Within(func(owner Owner) { owner.Attach(channel, take) })
}

// EachTurn has the owner call flush at the end of each turn.
func (berth *Berth) EachTurn(flush func()) {
	select {
	case berth.requests <- request{flush: flush}:
	case <-berth.ended:
	}
}

// Do brings a command in and waits for its answer; false if the machine ended
// first.
func (berth *Berth) Do(command func(visit uint64) any) (any, bool) {
	returns := make(chan any, 1)
	select {
	case berth.requests <- request{command: command, returns: returns}:
	case <-berth.ended:
		return nil, false
	}
	select {
	case value := <-returns:
		return value, value != nil
	case <-berth.ended:
		return nil, false
	}
}

// Post brings a command in and does not wait.
func (berth *Berth) Post(command any) {
	select {
	case berth.requests <- request{command: func(uint64) any { return command }}:
	case <-berth.ended:
	}
}

// Inspect runs a question on the owner's own thread.
func (berth *Berth) Inspect(inspect func(now time.Time) any) (any, bool) {
	returns := make(chan any, 1)
	select {
	case berth.requests <- request{inspect: inspect, returns: returns}:
	case <-berth.ended:
		return nil, false
	}
	select {
	case value := <-returns:
		return value, true
	case <-berth.ended:
		return nil, false
	}
}

// Attach gives a channel its sink, Detach takes it away.
func (berth *Berth) Attach(channel uint64, sink chan helm.Deliver) {
	select {
	case berth.requests <- request{attach: channel, sink: sink}:
	case <-berth.ended:
	}
}

// Detach takes a channel's sink away.
func (berth *Berth) Detach(channel uint64) {
	select {
	case berth.requests <- request{detach: channel}:
	case <-berth.ended:
	}
}
