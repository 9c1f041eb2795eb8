// The part of the server that runs on the event loop: it submits commands to the
// gateway and collects the output of each connection until the end of the turn.

package lineserver

import (
	"strconv"
	"time"

	"dahlialock/internal/daemon"
	"dahlialock/internal/gateway"
	"dahlialock/internal/statemachine"
)

// flush writes the output of the turn, with one write for each connection.
func (s *Server) flush() {
	for position, each := range s.dirty {
		each.dirty = false
		s.send(each)
		s.dirty[position] = nil
	}
	s.dirty = s.dirty[:0]
}

func (s *Server) send(to *connection) {
	if to.writeBlocked.Load() {
		if to.unsentBytes+len(to.output) > s.settings.MaxUnsentBytes {
			s.Counters.Slow.Add(1)
			to.closeWith("slow")
		}
		return
	}
	if len(to.output) > 0 {
		to.sent, to.fault = 0, nil
		if err := to.raw.Write(to.writeOutput); err != nil || to.fault != nil {
			to.closeWith("closed")
			return
		}
		s.Counters.Writes.Add(1)
		s.Counters.BytesOut.Add(int64(to.sent))
		s.settings.EventLoop.Transport().SpendBandwidth(to.sent)
		if to.writeBlocked.Load() {
			rest := to.output[to.sent:]
			to.output, to.unsentBytes = nil, len(rest)
			go s.sendRest(to, rest)
			return
		}
		if cap(to.output) > maxReusedBuffer {
			to.output = nil
		} else {
			to.output = to.output[:0]
		}
	}
	if to.closeAfterOutput {
		to.closeWriteSide()
	}
}

// sendRest writes the rest of a partial write and blocks until the socket has accepted it.
func (s *Server) sendRest(to *connection, rest []byte) {
	_ = to.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
	sent, err := to.socket.Write(rest)
	_ = to.socket.SetWriteDeadline(time.Time{})
	s.Counters.BytesOut.Add(int64(sent))
	s.settings.EventLoop.Transport().SpendBandwidth(sent)
	s.settings.EventLoop.Execute(func(daemon.LoopContext) {
		if err != nil {
			if to.closeReason == "" {
				s.Counters.Slow.Add(1)
			}
			to.closeWith("slow")
			return
		}
		to.unsentBytes = 0
		to.writeBlocked.Store(false)
		s.markDirty(to)
	})
}

// closeWriteSide closes the writing side of the connection and gives the client up to
// lingerTimeout to read the last output.
func (to *connection) closeWriteSide() {
	if to.closeReason != "" {
		return
	}
	to.closeReason = "ended"
	_ = to.socket.CloseWrite()
	_ = to.socket.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// setOutput stores a connection's output, with one response or event appended, until the
// end of the turn and counts it under kind.
func (s *Server) setOutput(to *connection, kind outputKind, output []byte) {
	sent := s.sentTotals[kind]
	s.sentTotals[kind] = SentTotal{Times: sent.Times + 1, Bytes: sent.Bytes + int64(len(output)-len(to.output))}
	to.output = output
	if len(output) > 0 {
		s.markDirty(to)
	}
}

// markDirty queues a connection for flush at the end of the turn.
func (s *Server) markDirty(to *connection) {
	if !to.dirty {
		to.dirty = true
		s.dirty = append(s.dirty, to)
	}
}

func (s *Server) answer(to *connection, ref CommandRef, answer gateway.Reply) {
	to.inFlight.Add(-1)
	if to.state == ended {
		return
	}
	kind := outputKind{kindNames[ref.Kind], string(answer.Outcome)}
	s.setOutput(to, kind, s.settings.Protocol.AppendAnswer(to.output, ref, answer))
}

// rejection returns a rejection with a code and the time after which to retry.
func rejection(code string, retryAfter time.Duration) gateway.Reply {
	return gateway.Reply{Outcome: gateway.OutcomeRejected, Code: code, RetryAfter: retryAfter}
}

// notOpen returns the answer to a command on a connection without an open session. It promises nothing
// about the number of a publication, which may have been sent on another connection before.
func notOpen(kind Kind) gateway.Reply {
	answer := rejection(CodeNotOpen, retryAfter)
	if kind == Publish {
		answer.Outcome = gateway.OutcomeUnsettled
	}
	return answer
}

// handleBatch executes the commands of one read of a connection.
func (s *Server) handleBatch(owner daemon.LoopContext, from *connection, batch []pendingRequest) {
	if from.state == unopened {
		s.connections[from.session] = from
	}
	for position := range batch {
		command := &batch[position]
		command.ref.Topic = s.internTopic(command.ref.Topic)
		ref := command.ref
		switch {
		case command.code != "":
			s.answer(from, ref, rejection(command.code, 0))
			if command.streamLost {
				s.end(from)
			}
		case ref.Kind == Open && from.state == unopened:
			s.open(owner, from, command)
		case ref.Kind == Open:
			s.answer(from, ref, rejection(CodeAlreadyOpen, 0))
		case from.state != open:
			s.answer(from, ref, notOpen(ref.Kind))
		case ref.Kind == Ping:
			// The ping arrived before the session was open, or while output was unsent.
			from.inFlight.Add(-1)
			s.setOutput(from, outputKind{what: "pong"}, s.settings.Protocol.AppendPong(from.output))
		default:
			s.execute(owner, from, command)
		}
	}
}

func (s *Server) open(owner daemon.LoopContext, from *connection, command *pendingRequest) {
	ref := command.ref
	from.state, from.client = opening, command.client
	owner.AttachSession(from.session, func(deliver statemachine.Delivery) { s.deliver(from, deliver) })
	owner.Submit(func(request uint64) any {
		return gateway.OpenSession{
			Request:      request,
			Session:      from.session,
			Name:         strconv.FormatUint(from.session, 16),
			Client:       command.client,
			AdapterPings: true,
		}
	}, func(value any) {
		answer := answerOf(value)
		if from.state == opening {
			from.state = unopened
			if answer.Outcome == gateway.OutcomeAccepted {
				from.state = open
				from.sessionOpen.Store(true)
			}
		}
		if from.state != open {
			owner.DetachSession(from.session)
		}
		if from.state == ended && answer.Outcome == gateway.OutcomeAccepted {
			owner.Post(gateway.CloseSession{Session: from.session, Reason: from.closeReason})
		}
		s.answer(from, ref, answer)
	})
}

// answerOf returns the gateway's reply. If the gateway stopped before it replied, the
// outcome of the command is unknown (unsettled).
func answerOf(value any) gateway.Reply {
	if answer, matches := value.(gateway.Reply); matches {
		return answer
	}
	return gateway.Reply{Outcome: gateway.OutcomeUnsettled, Code: CodeStopping, RetryAfter: retryAfter}
}

func (s *Server) execute(owner daemon.LoopContext, from *connection, command *pendingRequest) {
	ref := command.ref
	owner.Submit(
		func(request uint64) any { return command.forGateway(request, from) },
		func(value any) { s.answer(from, ref, answerOf(value)) },
	)
}

// forGateway returns the gateway's command for a request on an open session.
func (p *pendingRequest) forGateway(request uint64, from *connection) any {
	switch p.ref.Kind {
	case Subscribe:
		return gateway.Subscribe{
			Request:   request,
			Session:   from.session,
			Client:    from.client,
			Interests: []gateway.Interest{{Path: p.ref.Topic}},
			Cursor:    p.cursor,
		}
	case Unsubscribe:
		return gateway.Unsubscribe{
			Request:   request,
			Session:   from.session,
			Client:    from.client,
			Interests: []gateway.Interest{{Path: p.ref.Topic}},
		}
	case Publish:
		return gateway.Publish{
			Request: request,
			Client:  from.client,
			Sender:  from.client,
			Topic:   p.ref.Topic,
			Seq:     p.ref.Seq,
			Data:    p.body,
		}
	default:
		return gateway.CountSubscribers{
			Request: request,
			Session: from.session,
			Client:  from.client,
			Topic:   p.ref.Topic,
		}
	}
}

// deliver encodes an event of the gateway for a connection.
func (s *Server) deliver(to *connection, deliver statemachine.Delivery) {
	if to.state == ended {
		return
	}
	if event, matches := deliver.Event.(gateway.Event); matches {
		s.setOutput(to, outputKind{what: event.Event}, s.settings.Protocol.AppendEvent(to.output, event))
	}
	if deliver.Close {
		s.end(to)
	}
}

// end closes a connection after its pending output has been written.
func (s *Server) end(to *connection) {
	to.closeAfterOutput, to.state = true, ended
	s.markDirty(to)
}

// connectionEnded closes the session of a connection that has ended.
func (s *Server) connectionEnded(owner daemon.LoopContext, gone *connection) {
	had := gone.state
	gone.state = ended
	delete(s.connections, gone.session)
	if had == unopened {
		return
	}
	switch {
	case gone.streamLost:
		gone.closeReason = "unreadable"
	case gone.closeReason == "":
		gone.closeReason = "closed"
	}
	owner.DetachSession(gone.session)
	owner.Post(gateway.CloseSession{Session: gone.session, Reason: gone.closeReason})
}

// internTopic interns a topic name, so that repeated names share one string. The table
// is emptied when it reaches maxTopicNames.
func (s *Server) internTopic(text string) string {
	if known, found := s.topicNames[text]; found {
		return known
	}
	if len(s.topicNames) >= maxTopicNames {
		clear(s.topicNames)
	}
	s.topicNames[text] = text
	return text
}
