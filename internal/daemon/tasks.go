package daemon

import (
	"time"

	"dahlialock/internal/statemachine"
)

// task is work that other goroutines give to the loop. Work without afterStop is
// discarded once the machine has stopped.
type task struct {
	work func(context LoopContext)
	// afterStop is set for work that is also done once the machine has stopped.
	afterStop bool
}

// LoopContext is the loop as seen by work that runs on its goroutine. It may only
// be used before that work returns, or within what the loop calls back.
type LoopContext struct {
	loop  *EventLoop
	state *loopState
}

// Submit gives the machine a command at once. The response goes to respond, on
// the goroutine of the loop; it is nil if the machine stops first.
func (c LoopContext) Submit(command func(request uint64) any, respond func(value any)) {
	c.loop.submit(c.state, command, respond)
}

// Post gives the machine a command at once, whose response nobody waits for.
func (c LoopContext) Post(command any) {
	c.loop.submit(c.state, func(uint64) any { return command }, nil)
}

// AttachSession has a function called with the events of a session, on the
// goroutine of the loop, until DetachSession.
func (c LoopContext) AttachSession(session uint64, handle func(statemachine.Delivery)) {
	c.state.sinks[session] = sink{handle: handle}
}

// DetachSession ends what AttachSession began.
func (c LoopContext) DetachSession(session uint64) { delete(c.state.sinks, session) }

// Execute runs work on the goroutine of the loop, in the order of the calls. The
// work must not block. It also runs if the machine has stopped, for which Execute
// returns false; its commands get nil responses then. Execute waits while the queue
// of tasks is full, so that work on the loop's own goroutine must use its
// LoopContext instead.
func (l *EventLoop) Execute(work func(context LoopContext)) bool {
	l.tasks <- task{work: work, afterStop: true}
	select {
	case <-l.done:
		return false
	default:
		return true
	}
}

// Submit gives the machine a command. The response goes to respond, which runs on
// the goroutine of the loop and must not block; it is nil if the machine stops
// first.
func (l *EventLoop) Submit(command func(request uint64) any, respond func(value any)) {
	l.Execute(func(context LoopContext) { context.Submit(command, respond) })
}

// Call gives the machine a command and waits for the response; false if the
// machine stops first.
func (l *EventLoop) Call(command func(request uint64) any) (any, bool) {
	response := make(chan any, 1)
	enqueued := l.enqueue(func(context LoopContext) {
		context.Submit(command, func(value any) { response <- value })
	})
	if !enqueued {
		return nil, false
	}
	select {
	case value := <-response:
		return value, value != nil
	case <-l.done:
		return nil, false
	}
}

// Post gives the machine a command whose response nobody waits for.
func (l *EventLoop) Post(command any) {
	l.enqueue(func(context LoopContext) { context.Post(command) })
}

// Inspect calls a function on the goroutine of the loop and waits for its value;
// false if the machine stops first.
func (l *EventLoop) Inspect(inspect func(now time.Time) any) (any, bool) {
	result := make(chan any, 1)
	enqueued := l.enqueue(func(context LoopContext) { result <- inspect(context.state.now) })
	if !enqueued {
		return nil, false
	}
	select {
	case value := <-result:
		return value, true
	case <-l.done:
		return nil, false
	}
}

// AttachSession has the events of a session put into a queue. If it is full, or
// after the session's last event, it is closed; DetachSession leaves it open.
func (l *EventLoop) AttachSession(session uint64, queue chan statemachine.Delivery) {
	l.enqueue(func(context LoopContext) { context.state.sinks[session] = sink{queue: queue} })
}

// AttachSessionFunc has a function called with the events of a session, on the
// goroutine of the loop. It must not block.
func (l *EventLoop) AttachSessionFunc(session uint64, handle func(statemachine.Delivery)) {
	l.Execute(func(context LoopContext) { context.AttachSession(session, handle) })
}

// DetachSession ends what AttachSession or AttachSessionFunc began.
func (l *EventLoop) DetachSession(session uint64) {
	l.enqueue(func(context LoopContext) { context.DetachSession(session) })
}

// OnTurnEnd has a function called at the end of each turn.
func (l *EventLoop) OnTurnEnd(flush func()) {
	l.enqueue(func(LoopContext) { l.flushers = append(l.flushers, flush) })
}

// enqueue runs work on the goroutine of the loop unless the machine stops first,
// for which it may return false.
func (l *EventLoop) enqueue(work func(context LoopContext)) bool {
	select {
	case l.tasks <- task{work: work}:
		return true
	case <-l.done:
		return false
	}
}
