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
	// maxTurnSteps is how many inputs a turn handles after the one that woke the loop,
	// and how many control messages it handles before each of them.
	maxTurnSteps = 256
	// clockCheckEvery is the number of inputs after which a turn checks for due timers.
	clockCheckEvery = 16
	// noTimer is the duration of the loop's timer if the state machine has none.
	noTimer = time.Hour
	// shutdownTimeout bounds the time for the last writes to the disk.
	shutdownTimeout = time.Second
)

// Options configure an event loop.
type Options struct {
	// Address is where the transport listens.
	Address string
	Logger  *logevent.Logger
	// Log is the log on the daemon's disk, nil for a daemon without a disk.
	Log *wal.Log
	// CloseSlowSession is Service.CloseSlowSession; it may be nil if no session has a
	// queue.
	CloseSlowSession func(session uint64) any
	// Clock is a monotonic clock; nil means time.Now.
	Clock func() time.Time
}

// EventLoop drives one state machine, as the package comment describes. All methods
// may be called by any goroutine.
type EventLoop struct {
	machine statemachine.Machine
	// linkObserver is the state machine if it implements LinkObserver, otherwise nil.
	linkObserver     statemachine.LinkObserver
	transport        *transport.Transport
	logger           *logevent.Logger
	address          string
	closeSlowSession func(session uint64) any
	clock            func() time.Time

	// control receives the messages of the control state, inbox all others.
	inbox   chan transport.Inbound
	control chan transport.Inbound
	tasks   chan task
	// disk only runs if there is a log.
	disk *diskWriter
	// done is closed once the state machine has stopped.
	done  chan struct{}
	steps atomic.Int64
	// flushers are called at the end of each turn. After Start, the slice is only
	// accessed on the loop.
	flushers []func()
}

// NewEventLoop returns an event loop, and opens its transport. Start then runs a state
// machine on it.
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
		log:           options.Log,
		logger:        options.Logger,
		requests:      make(chan []statemachine.Write),
		synced:        make(chan []uint64, 1),
		onWriteFailed: func() { loop.Post(statemachine.DiskUnavailable{}) },
		stopped:       loop.done,
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

// Transport returns the daemon's transport.
func (l *EventLoop) Transport() *transport.Transport { return l.transport }

// Done returns a channel that is closed once the state machine has stopped.
func (l *EventLoop) Done() <-chan struct{} { return l.done }

// Steps returns the number of steps that the state machine has made.
func (l *EventLoop) Steps() int64 { return l.steps.Load() }

// Syncs returns the number of times that the log on disk was synced.
func (l *EventLoop) Syncs() int64 { return l.disk.syncs.Load() }

// SetDiskDelay sets an artificial delay of each write to the disk, for trials.
func (l *EventLoop) SetDiskDelay(delay time.Duration) { l.disk.delay.Store(int64(delay)) }

// Start starts a goroutine that runs a state machine until the state machine stops.
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
	// now is the time at which the clock was last read. It is read before each step.
	now time.Time
	// lastRequest is the number of the last request to the state machine. responses
	// has the response handler of each pending request.
	lastRequest uint64
	responses   map[uint64]func(value any)
	sinks       map[uint64]sink
	// selfMessages are messages that the state machine has sent to its own address.
	selfMessages []selfMessage
	// writes are not yet passed to the disk writer; writeInFlight is set while the disk
	// writer works on an earlier batch.
	writes        []statemachine.Write
	writeInFlight bool
	// timerDue is when the timer fires, zero if the state machine has no timer.
	timerDue time.Time
	timer    *time.Timer
	// stopping is set once the state machine has requested to stop, stopped once it has
	// stopped.
	stopping bool
	stopped  bool
}

type selfMessage struct {
	inbound  transport.Inbound
	notAfter time.Time
}

// run is the goroutine of the loop. A panic means a broken invariant. The process then
// exits because its state can't be trusted any more, and other daemons take over.
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

// arm sets the timer to the time at which the state machine's next timer is due.
func (l *EventLoop) arm(state *loopState, due time.Time) {
	if due.Equal(state.timerDue) {
		return
	}
	state.timerDue = due
	if due.IsZero() {
		state.timer.Reset(noTimer)
	} else {
		state.timer.Reset(max(0, due.Sub(l.clock())))
	}
}

// wait waits for one input, and runs a turn that starts with it.
func (l *EventLoop) wait(state *loopState) {
	// The disk writer is given one batch at a time. While it works on a batch, and while
	// there are no writes, disk is nil, so its case below never runs.
	var disk chan []statemachine.Write
	if len(state.writes) > 0 && !state.writeInFlight {
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
		state.writes, state.writeInFlight = nil, true
		return
	case tokens := <-l.disk.synced:
		state.now = l.clock()
		l.synced(state, tokens)
	case <-state.timer.C:
		state.now, state.timerDue = l.clock(), time.Time{}
		l.tick(state)
		return
	}
	l.endTurn(state)
}

// tick runs a turn that starts with the due timers of the state machine.
func (l *EventLoop) tick(state *loopState) {
	l.drainControl(state)
	l.step(state, func(now time.Time, effects *statemachine.Effects) { l.machine.Tick(now, effects) })
	l.endTurn(state)
}

// endTurn handles the inputs that are queued, passes writes to the disk writer if it is
// idle, and flushes.
func (l *EventLoop) endTurn(state *loopState) {
	l.drain(state)
	if len(state.writes) > 0 && !state.writeInFlight {
		select {
		case l.disk.requests <- state.writes:
			state.writes, state.writeInFlight = nil, true
		default:
		}
	}
	l.flush()
}

// flush calls the flushers, which send the output of a turn.
func (l *EventLoop) flush() {
	for _, flush := range l.flushers {
		flush()
	}
}

// drainControl handles the queued control messages, up to maxTurnSteps, before any
// other queued input.
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

// drain handles queued inputs, up to maxTurnSteps, until a timer is due.
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

// shutdown completes the last writes, sends the last messages, and closes the sessions
// after the state machine has requested to stop.
func (l *EventLoop) shutdown(state *loopState) {
	timeout := time.NewTimer(shutdownTimeout)
	if state.writeInFlight {
		select {
		case <-l.disk.synced:
			state.writeInFlight = false
		case <-timeout.C:
		}
	}
	if len(state.writes) > 0 && !state.writeInFlight {
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
	// Tasks with afterStop run until the process exits. Their requests still get a
	// response, and the state of the loop is still accessed by one goroutine only.
	for next := range l.tasks {
		if next.afterStop {
			next.work(LoopContext{loop: l, state: state})
			l.flush()
		}
	}
}
