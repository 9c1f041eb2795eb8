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
	inboxSize = 4096
	tasksSize = 4096
	// maxTurnSteps is how many messages or tasks a turn takes after the one that
	// woke the loop, and how many control messages go before each of them.
	maxTurnSteps = 256
	// clockCheckEvery is after how many of these the loop checks for due timers.
	clockCheckEvery = 16
	// noTimer is how long the loop waits where the machine has no timer.
	noTimer = time.Hour
	// shutdownTimeout bounds the last writes to the disk.
	shutdownTimeout = time.Second
)

// Options are what an event loop needs besides the machine.
type Options struct {
	// Address is where the transport listens.
	Address string
	Logger  *logevent.Logger
	// Log is on the daemon's disk, nil for a daemon without one.
	Log *wal.Log
	// CloseSlowSession is that of Service; it may be nil if there are no sessions
	// with queues.
	CloseSlowSession func(session uint64) any
	// Clock is a monotonic clock, time.Now if it is nil.
	Clock func() time.Time
}

// EventLoop drives one state machine: see the package. All methods may be called
// by any goroutine.
type EventLoop struct {
	machine statemachine.Machine
	// linkObserver is the machine, if it implements that.
	linkObserver     statemachine.LinkObserver
	transport        *transport.Transport
	logger           *logevent.Logger
	address          string
	closeSlowSession func(session uint64) any
	clock            func() time.Time

	// inbox and control receive messages, control those of the control state.
	inbox   chan transport.Inbound
	control chan transport.Inbound
	tasks   chan task
	// disk only runs for a daemon with a log.
	disk *diskWriter
	// done is closed once the machine has stopped.
	done  chan struct{}
	steps atomic.Int64
	// flushers run at the end of each turn. They belong to the loop once it has
	// started.
	flushers []func()
}

// NewEventLoop opens the transport of a daemon. Start then runs the machine.
func NewEventLoop(options Options) (*EventLoop, error) {
	loop := &EventLoop{
		logger:           options.Logger,
		address:          options.Address,
		closeSlowSession: options.CloseSlowSession,
		clock:            options.Clock,
		inbox:            make(chan transport.Inbound, inboxSize),
		control:          make(chan transport.Inbound, inboxSize),
		tasks:            make(chan task, tasksSize),
		done:             make(chan struct{}),
	}
	if loop.clock == nil {
		loop.clock = time.Now
	}
	loop.disk = &diskWriter{
		log:         options.Log,
		logger:      options.Logger,
		requests:    make(chan []statemachine.Write),
		synced:      make(chan []uint64, 1),
		unavailable: func() { loop.Post(statemachine.DiskUnavailable{}) },
		stopped:     loop.done,
	}
	links, err := transport.Open(options.Address, loop.inbox, loop.control, loop.reportMalformed)
	if err != nil {
		return nil, err
	}
	links.SetClock(loop.clock)
	loop.transport = links
	loop.flushers = append(loop.flushers, links.Flush)
	return loop, nil
}

func (l *EventLoop) reportMalformed(remote string, err error) {
	l.logger.Report(logevent.MalformedFrame, "remote", remote, "error", err.Error())
}

// Transport returns the daemon's links.
func (l *EventLoop) Transport() *transport.Transport { return l.transport }

// Done returns a channel that is closed once the machine has stopped.
func (l *EventLoop) Done() <-chan struct{} { return l.done }

// Steps returns how many steps the machine has made.
func (l *EventLoop) Steps() int64 { return l.steps.Load() }

// Syncs returns how many times the log on disk was synced.
func (l *EventLoop) Syncs() int64 { return l.disk.syncs.Load() }

// SetDiskDelay adds a delay to each write to the disk, for trials.
func (l *EventLoop) SetDiskDelay(delay time.Duration) { l.disk.delay.Store(int64(delay)) }

// Start runs the machine until it stops. It doesn't wait.
func (l *EventLoop) Start(machine statemachine.Machine) {
	l.machine = machine
	if observer, implements := machine.(statemachine.LinkObserver); implements {
		l.linkObserver = observer
		l.transport.ObserveLinks()
	}
	if l.disk.log != nil {
		go l.disk.run()
	}
	go l.run()
}

// loopState is the state of the goroutine of the loop.
type loopState struct {
	// now is the clock as last read, before each step.
	now time.Time
	// lastRequest numbers requests to the machine, responses has who waits for
	// each of them.
	lastRequest uint64
	responses   map[uint64]func(value any)
	sinks       map[uint64]sink
	// selfMessages are the messages of the machine to its own address.
	selfMessages []selfMessage
	// writes are those not yet given to the disk; writing is set while it has
	// others.
	writes  []statemachine.Write
	writing bool
	// armed is when the timer fires, zero if the machine has no timer.
	armed time.Time
	timer *time.Timer
	// stopping is set once the machine wants to stop, stopped once it has.
	stopping bool
	stopped  bool
}

type selfMessage struct {
	inbound  transport.Inbound
	notAfter time.Time
}

// run is the goroutine of the loop. A panic is a broken invariant: nothing that
// follows could be trusted, and others take over.
func (l *EventLoop) run() {
	defer func() {
		if broken := recover(); broken != nil {
			l.logger.Report(logevent.InvariantBroken, "error", fmt.Sprint(broken), "stack", string(debug.Stack()))
			os.Exit(int(ExitInvariant))
		}
	}()
	state := &loopState{
		now:       l.clock(),
		responses: map[uint64]func(value any){},
		sinks:     map[uint64]sink{},
		timer:     time.NewTimer(noTimer),
	}
	l.step(state, func(now time.Time, effects *statemachine.Effects) { l.machine.Start(now, effects) })
	l.flush()
	for !state.stopping {
		due := l.machine.NextTick()
		if !due.IsZero() && !state.now.Before(due) {
			l.tick(state)
			continue
		}
		l.arm(state, due)
		l.wait(state)
	}
	l.shutdown(state)
}

// arm sets the timer to when the machine is due.
func (l *EventLoop) arm(state *loopState, due time.Time) {
	if due.Equal(state.armed) {
		return
	}
	state.armed = due
	if due.IsZero() {
		state.timer.Reset(noTimer)
	} else {
		state.timer.Reset(max(0, due.Sub(l.clock())))
	}
}

// wait waits for something to do, and makes a turn of it.
func (l *EventLoop) wait(state *loopState) {
	// The disk is only offered writes while it has none.
	var disk chan []statemachine.Write
	if len(state.writes) > 0 && !state.writing {
		disk = l.disk.requests
	}
	select {
	case inbound := <-l.control:
		state.now = l.clock()
		l.receive(state, inbound)
	case inbound := <-l.inbox:
		state.now = l.clock()
		l.drainControl(state)
		l.receive(state, inbound)
	case next := <-l.tasks:
		state.now = l.clock()
		l.drainControl(state)
		next.work(LoopContext{loop: l, state: state})
	case disk <- state.writes:
		state.writes, state.writing = nil, true
		return
	case tokens := <-l.disk.synced:
		state.now = l.clock()
		l.synced(state, tokens)
	case <-state.timer.C:
		state.now, state.armed = l.clock(), time.Time{}
		l.tick(state)
		return
	}
	l.endTurn(state)
}

// tick runs the machine's due timers as a turn of its own.
func (l *EventLoop) tick(state *loopState) {
	l.drainControl(state)
	l.step(state, func(now time.Time, effects *statemachine.Effects) { l.machine.Tick(now, effects) })
	l.endTurn(state)
}

// endTurn takes what else has come, lets the disk begin, and flushes.
func (l *EventLoop) endTurn(state *loopState) {
	l.drain(state)
	if len(state.writes) > 0 && !state.writing {
		select {
		case l.disk.requests <- state.writes:
			state.writes, state.writing = nil, true
		default:
		}
	}
	l.flush()
}

// flush sends what was gathered in a turn.
func (l *EventLoop) flush() {
	for _, flush := range l.flushers {
		flush()
	}
}

// drainControl takes the control messages that have come, however much else
// waits.
func (l *EventLoop) drainControl(state *loopState) {
	for range maxTurnSteps {
		select {
		case inbound := <-l.control:
			l.receive(state, inbound)
		default:
			return
		}
	}
}

// drain takes what else has come, as long as no timer is due.
func (l *EventLoop) drain(state *loopState) {
	for count := range maxTurnSteps {
		if state.stopping {
			return
		}
		if count%clockCheckEvery == clockCheckEvery-1 {
			state.now = l.clock()
			if due := l.machine.NextTick(); !due.IsZero() && !state.now.Before(due) {
				return
			}
		}
		l.drainControl(state)
		select {
		case inbound := <-l.inbox:
			l.receive(state, inbound)
		case next := <-l.tasks:
			next.work(LoopContext{loop: l, state: state})
		case tokens := <-l.disk.synced:
			l.synced(state, tokens)
		default:
			return
		}
	}
}

// shutdown lets the last writes and messages out before the process ends.
func (l *EventLoop) shutdown(state *loopState) {
	timeout := time.NewTimer(shutdownTimeout)
	if state.writing {
		select {
		case <-l.disk.synced:
			state.writing = false
		case <-timeout.C:
		}
	}
	if len(state.writes) > 0 && !state.writing {
		l.disk.requests <- state.writes
		select {
		case <-l.disk.synced:
		case <-timeout.C:
		}
	}
	for _, sink := range state.sinks {
		sink.close()
	}
	for _, respond := range state.responses {
		respond(nil)
	}
	state.stopped = true
	l.flush()
	close(l.done)
	// Work that needs no machine is done as long as the process lives, so that
	// nobody is left without a response, and nothing is touched by two goroutines.
	for next := range l.tasks {
		if next.afterStop {
			next.work(LoopContext{loop: l, state: state})
			l.flush()
		}
	}
}
