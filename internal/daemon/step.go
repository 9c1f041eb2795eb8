package daemon

import (
	"time"

	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

// step runs one step of the state machine and applies its effects. It then delivers the
// messages that the state machine has sent to its own address.
func (l *EventLoop) step(state *loopState, run func(now time.Time, effects *statemachine.Effects)) {
	l.steps.Add(1)
	// The clock is read before each step, and not only once per turn, because the
	// process may have been suspended since the last step.
	state.now = l.clock()
	var effects statemachine.Effects
	run(state.now, &effects)
	l.apply(state, &effects)
	for len(state.selfMessages) > 0 {
		next := state.selfMessages[0]
		state.selfMessages = state.selfMessages[1:]
		state.now = l.clock()
		if !statemachine.BeforeDeadline(next.notAfter, state.now) {
			continue
		}
		var more statemachine.Effects
		l.machine.HandleMessage(state.now, next.inbound.Meta, next.inbound.Message, &more)
		l.apply(state, &more)
	}
}

// receive passes a message to the state machine, or notifies it of a refused
// connection.
func (l *EventLoop) receive(state *loopState, inbound transport.Inbound) {
	if _, refused := inbound.Message.(transport.ConnectionRefused); refused {
		l.step(state, func(now time.Time, effects *statemachine.Effects) {
			l.linkObserver.ConnectionRefused(now, inbound.Meta.From, effects)
		})
		return
	}
	l.step(state, func(now time.Time, effects *statemachine.Effects) {
		l.machine.HandleMessage(now, inbound.Meta, inbound.Message, effects)
	})
}

// synced notifies the state machine of the writes that are on disk.
func (l *EventLoop) synced(state *loopState, tokens []uint64) {
	state.writeInFlight = false
	for _, token := range tokens {
		l.step(state, func(now time.Time, effects *statemachine.Effects) {
			l.machine.HandleCommand(now, statemachine.Synced{Token: token}, effects)
		})
	}
}

// submit passes a command with a new request number to the state machine. It calls
// respond with the response, or with nil if the state machine has stopped. respond may
// be nil.
func (l *EventLoop) submit(state *loopState, command func(request uint64) any, respond func(value any)) {
	if state.stopped {
		if respond != nil {
			respond(nil)
		}
		return
	}
	state.lastRequest++
	request := state.lastRequest
	if respond != nil {
		state.responses[request] = respond
	}
	l.step(state, func(now time.Time, effects *statemachine.Effects) {
		l.machine.HandleCommand(now, command(request), effects)
	})
}

// apply executes the effects of a step.
func (l *EventLoop) apply(state *loopState, effects *statemachine.Effects) {
	for _, event := range effects.LogEvents {
		l.logger.Write(event)
	}
	l.send(state, effects.Sends)
	state.writes = append(state.writes, effects.Writes...)
	for _, response := range effects.Responses {
		if respond, found := state.responses[response.Request]; found {
			delete(state.responses, response.Request)
			respond(l.valueOf(response))
		}
	}
	slow := state.deliver(effects.Deliveries)
	state.stopping = state.stopping || effects.Stop
	for _, session := range slow {
		l.step(state, func(now time.Time, effects *statemachine.Effects) {
			l.machine.HandleCommand(now, l.closeSlowSession(session), effects)
		})
	}
}

// send passes messages to the transport. Messages to the daemon's own address are queued
// in selfMessages instead.
func (l *EventLoop) send(state *loopState, sends []statemachine.Send) {
	version := l.machine.ConfigurationVersion()
	for _, send := range sends {
		if send.To == l.address {
			inbound := transport.Inbound{
				Meta:    statemachine.Meta{From: l.address, Version: version},
				Message: send.Message,
			}
			state.selfMessages = append(state.selfMessages, selfMessage{inbound: inbound, notAfter: send.NotAfter})
			continue
		}
		if err := l.transport.SendBefore(send.To, version, send.Message, send.NotAfter); err != nil {
			panic(err)
		}
	}
}

// valueOf returns the value of a response at the time when the response is sent: its
// LateValue if its deadline has passed by then.
func (l *EventLoop) valueOf(response statemachine.Response) any {
	if response.NotAfter.IsZero() {
		return response.Value
	}
	return response.ValueAt(l.clock())
}

// sink receives the events of one session. It is a queue, or a function that is called
// on the goroutine of the loop.
type sink struct {
	queue  chan statemachine.Delivery
	handle func(statemachine.Delivery)
}

// deliver passes events to the sinks of their sessions. It returns the sessions whose
// queues were full, after closing and removing their sinks.
func (s *loopState) deliver(deliveries []statemachine.Delivery) (slow []uint64) {
	for _, delivery := range deliveries {
		sink, found := s.sinks[delivery.Session]
		if !found {
			continue
		}
		accepted := sink.offer(delivery)
		if !accepted {
			slow = append(slow, delivery.Session)
		}
		if !accepted || delivery.Close {
			sink.close()
			delete(s.sinks, delivery.Session)
		}
	}
	return slow
}

// offer passes an event to the sink, and returns false if its queue is full.
func (s sink) offer(delivery statemachine.Delivery) bool {
	if s.handle != nil {
		s.handle(delivery)
		return true
	}
	select {
	case s.queue <- delivery:
		return true
	default:
		return false
	}
}

// close closes the queue, if there is one.
func (s sink) close() {
	if s.queue != nil {
		close(s.queue)
	}
}
