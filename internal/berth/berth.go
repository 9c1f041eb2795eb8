// A Berth is where a machine lies in a real process: one owner runs the machine
// and everything that touches it comes through queues. Around it stand the
// adapters: the links between daemons, the disk, the log, the clock, and HTTP.
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
)

type request struct {
	command func(visit uint64) any
	inspect func(now time.Time) any
	returns chan any
	attach  uint64
	sink    chan helm.Deliver
	detach  uint64
}

// Berth runs one machine.
type Berth struct {
	machine  helm.Machine
	flare    *flare.Flare
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
	return opened, nil
}

// Flare gives the links, for counters and trials.
func (berth *Berth) Flare() *flare.Flare { return berth.flare }

// Ended is closed once the machine has stopped.
func (berth *Berth) Ended() <-chan struct{} { return berth.ended }

// Run runs the machine until it stops.
func (berth *Berth) Run(machine helm.Machine) {
	berth.machine = machine
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
			berth.mustWrite(berth.book.Append(entries))
			entries = nil
		}
		for _, write := range writes {
			if write.Frame != nil {
				flush()
				berth.mustWrite(berth.book.Checkpoint(write.Frame))
			}
			entries = append(entries, write.Entries...)
			tokens = append(tokens, write.Token)
		}
		flush()
		berth.Syncs.Store(berth.book.Syncs)
		berth.synced <- tokens
	}
}

func (berth *Berth) mustWrite(fault error) {
	if fault == nil {
		return
	}
	berth.foghorn.Report(foghorn.DiskRefused, "error", fault.Error())
	os.Exit(3)
}

type running struct {
	visit   uint64
	returns map[uint64]chan any
	sinks   map[uint64]chan helm.Deliver
	writes  []helm.Write
	local   []flare.Inbound
	writing bool
	stop    bool
}

func (berth *Berth) own() {
	defer func() {
		if broken := recover(); broken != nil {
			berth.foghorn.Report(foghorn.InvariantBroken, "error", fmt.Sprint(broken), "stack", string(debug.Stack()))
			os.Exit(2)
		}
	}()
	state := &running{returns: map[uint64]chan any{}, sinks: map[uint64]chan helm.Deliver{}}
	timer := time.NewTimer(0)
	berth.step(state, func(now time.Time, effects *helm.Effects) { berth.machine.Start(now, effects) })
	for !state.stop {
		var disk chan []helm.Write
		if len(state.writes) > 0 && !state.writing {
			disk = berth.disk
		}
		if due := berth.machine.NextDue(); due.IsZero() {
			timer.Reset(time.Hour)
		} else {
			timer.Reset(max(0, time.Until(due)))
		}
		berth.first(state)
		select {
		case inbound := <-berth.urgent:
			berth.message(state, inbound)
		case inbound := <-berth.inbox:
			berth.message(state, inbound)
			berth.more(state)
		case asked := <-berth.requests:
			berth.request(state, asked)
		case disk <- state.writes:
			state.writes, state.writing = nil, true
		case tokens := <-berth.synced:
			state.writing = false
			for _, token := range tokens {
				berth.step(state, func(now time.Time, effects *helm.Effects) {
					berth.machine.Command(now, helm.Synced{Token: token}, effects)
				})
			}
		case <-timer.C:
			berth.step(state, func(now time.Time, effects *helm.Effects) { berth.machine.Due(now, effects) })
		}
	}
	berth.end(state)
}

// end lets the last writes and sends out before the process goes.
func (berth *Berth) end(state *running) {
	if state.writing {
		<-berth.synced
	}
	if len(state.writes) > 0 {
		berth.disk <- state.writes
		<-berth.synced
	}
	for _, sink := range state.sinks {
		close(sink)
	}
	for _, returns := range state.returns {
		close(returns)
	}
	close(berth.ended)
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

// more takes what else has arrived, as long as nothing more urgent waits and no
// timer is due.
func (berth *Berth) more(state *running) {
	for count := range batchMost {
		if len(berth.urgent) > 0 {
			return
		}
		if count%lookEvery == lookEvery-1 {
			if due := berth.machine.NextDue(); !due.IsZero() && !time.Now().Before(due) {
				return
			}
		}
		select {
		case inbound := <-berth.inbox:
			berth.message(state, inbound)
		default:
			return
		}
	}
}

func (berth *Berth) message(state *running, inbound flare.Inbound) {
	berth.step(state, func(now time.Time, effects *helm.Effects) {
		berth.machine.Message(now, inbound.Meta, inbound.Message, effects)
	})
}

func (berth *Berth) request(state *running, asked request) {
	switch {
	case asked.inspect != nil:
		asked.returns <- asked.inspect(time.Now())
	case asked.attach != 0:
		state.sinks[asked.attach] = asked.sink
	case asked.detach != 0:
		delete(state.sinks, asked.detach)
	}
	if asked.command == nil {
		return
	}
	state.visit++
	visit := state.visit
	if asked.returns != nil {
		state.returns[visit] = asked.returns
	}
	berth.step(state, func(now time.Time, effects *helm.Effects) {
		berth.machine.Command(now, asked.command(visit), effects)
	})
}

// step runs the machine once and carries out what it asks.
func (berth *Berth) step(state *running, run func(now time.Time, effects *helm.Effects)) {
	berth.Steps.Add(1)
	var effects helm.Effects
	run(time.Now(), &effects)
	berth.carryOut(state, &effects)
	for len(state.local) > 0 {
		inbound := state.local[0]
		state.local = state.local[1:]
		var more helm.Effects
		berth.machine.Message(time.Now(), inbound.Meta, inbound.Message, &more)
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
			waiting <- returned.Value
		}
	}
	var slow []uint64
	for _, deliver := range effects.Delivers {
		sink, found := state.sinks[deliver.Channel]
		if !found {
			continue
		}
		select {
		case sink <- deliver:
		default:
			close(sink)
			delete(state.sinks, deliver.Channel)
			slow = append(slow, deliver.Channel)
			continue
		}
		if deliver.Close {
			close(sink)
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
	case value, open := <-returns:
		return value, open
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
