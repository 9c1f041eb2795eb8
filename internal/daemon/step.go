package daemon

import (
	"time"

	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

// step makes one step of the machine and applies its effects.
func (l *EventLoop) step(state *loopState, run func(now time.Time, effects *statemachine.Effects)) {
	l.steps.Add(1)
	// The process may have been suspended since the last step, also within a turn.
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

// receive gives the machine a message, or tells it of a refused connection.
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

// synced tells the machine which writes are on disk.
func (l *EventLoop) synced(state *loopState, tokens []uint64) {
	state.writing = false
	for _, token := range tokens {
		l.step(state, func(now time.Time, effects *statemachine.Effects) {
			l.machine.HandleCommand(now, statemachine.Synced{Token: token}, effects)
		})
	}
}

// submit gives the machine a command with a new request number. The response
// goes to respond, unless that is nil; it is nil if the machine has stopped.
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

// apply carries out the effects of a step.
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

// send gives messages to the transport; those to the daemon's own address are
// kept for the machine itself.
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

// valueOf returns the value of a response by the clock as it is when the response
// leaves.
func (l *EventLoop) valueOf(response statemachine.Response) any {
	if response.NotAfter.IsZero() {
		return response.Value
	}
	return response.ValueAt(l.clock())
}

// sink takes the events of one session: a queue, or a function that runs on the
// goroutine of the loop.
type sink struct {
	queue  chan statemachine.Delivery
	handle func(statemachine.Delivery)
}

// deliver gives events to the sinks of their sessions, and returns the sessions
// whose queues were full; their sinks are gone.
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

// offer gives an event to the sink, and returns false if its queue is full.
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

// close ends the queue, if there is one.
func (s sink) close() {
	if s.queue != nil {
		close(s.queue)
	}
}
