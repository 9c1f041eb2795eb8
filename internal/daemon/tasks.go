package daemon

import (
	"time"

	"dahlialock/internal/statemachine"
)

// task is a function that another goroutine passes to the loop to be run on the loop's
// goroutine.
type task struct {
	work func(context LoopContext)
	// afterStop is set for a task that also runs after the state machine has stopped.
	// Other tasks are then discarded.
	afterStop bool
}

// LoopContext gives access to the loop for functions that run on its goroutine. It may
// only be used until the function returns, and in callbacks from the loop.
type LoopContext struct {
	loop  *EventLoop
	state *loopState
}

// Submit passes a command to the state machine at once. It calls respond with the
// response on the goroutine of the loop, or with nil if the state machine stops first.
func (c LoopContext) Submit(command func(request uint64) any, respond func(value any)) {
	c.loop.submit(c.state, command, respond)
}

// Post passes a command to the state machine at once, and ignores the response.
func (c LoopContext) Post(command any) {
	c.loop.submit(c.state, func(uint64) any { return command }, nil)
}

// AttachSession registers a function that is called with each event of a session, on the
// goroutine of the loop, until DetachSession or the last event of the session.
func (c LoopContext) AttachSession(session uint64, handle func(statemachine.Delivery)) {
	c.state.sinks[session] = sink{handle: handle}
}

// DetachSession undoes AttachSession.
func (c LoopContext) DetachSession(session uint64) { delete(c.state.sinks, session) }

// Execute schedules a function on the goroutine of the loop, in the order of the calls.
// The function must not block. It also runs if the state machine has stopped; Execute
// then returns false, and the function's commands get nil responses. Execute blocks
// while the task queue is full, so functions that already run on the goroutine of the
// loop must use their LoopContext instead.
func (l *EventLoop) Execute(work func(context LoopContext)) bool {
	l.tasks <- task{work: work, afterStop: true}
	select {
	case <-l.done:
		return false
	default:
		return true
	}
}

// Submit passes a command to the state machine. It calls respond with the response, or
// with nil if the state machine stops first. respond is called on the goroutine of the
// loop and must not block.
func (l *EventLoop) Submit(command func(request uint64) any, respond func(value any)) {
	l.Execute(func(context LoopContext) { context.Submit(command, respond) })
}

// Call passes a command to the state machine and waits for the response. It returns
// false if the state machine stops first.
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

// Post passes a command to the state machine, and ignores the response.
func (l *EventLoop) Post(command any) {
	l.enqueue(func(context LoopContext) { context.Post(command) })
}

// Inspect calls a function on the goroutine of the loop and waits for its result. It
// returns false if the state machine stops first.
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

// AttachSession registers a queue for the events of a session. The queue is closed if it
// is full, and after the last event of the session. DetachSession doesn't close it.
func (l *EventLoop) AttachSession(session uint64, queue chan statemachine.Delivery) {
	l.enqueue(func(context LoopContext) { context.state.sinks[session] = sink{queue: queue} })
}

// AttachSessionFunc registers a function that is called with each event of a session, on
// the goroutine of the loop. It must not block.
func (l *EventLoop) AttachSessionFunc(session uint64, handle func(statemachine.Delivery)) {
	l.Execute(func(context LoopContext) { context.AttachSession(session, handle) })
}

// DetachSession undoes AttachSession or AttachSessionFunc.
func (l *EventLoop) DetachSession(session uint64) {
	l.enqueue(func(context LoopContext) { context.DetachSession(session) })
}

// OnTurnEnd registers a function that is called at the end of each turn.
func (l *EventLoop) OnTurnEnd(flush func()) {
	l.enqueue(func(LoopContext) { l.flushers = append(l.flushers, flush) })
}

// enqueue schedules a function on the goroutine of the loop. The function doesn't run if
// the state machine stops first; enqueue may return false in that case.
func (l *EventLoop) enqueue(work func(context LoopContext)) bool {
	select {
	case l.tasks <- task{work: work}:
		return true
	case <-l.done:
		return false
	}
}
