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
	if to.stuck.Load() {
		if to.owed+len(to.output) > s.settings.MaxUnsentBytes {
			s.Counters.Slow.Add(1)
			to.closeWith("slow")
		}
		return
	}
	if len(to.output) > 0 {
		to.sent, to.fault = 0, nil
		if err := to.raw.Write(to.put); err != nil || to.fault != nil {
			to.closeWith("closed")
			return
		}
		s.Counters.Writes.Add(1)
		s.Counters.BytesOut.Add(int64(to.sent))
		s.settings.EventLoop.Transport().SpendBandwidth(to.sent)
		if to.stuck.Load() {
			rest := to.output[to.sent:]
			to.output, to.owed = nil, len(rest)
			go s.sendRest(to, rest)
			return
		}
		if cap(to.output) > keepSize {
			to.output = nil
		} else {
			to.output = to.output[:0]
		}
	}
	if to.ending {
		to.finish()
	}
}

// sendRest writes the rest of a partial write and blocks until the socket has accepted it.
func (s *Server) sendRest(to *connection, rest []byte) {
	_ = to.socket.SetWriteDeadline(time.Now().Add(writeLimit))
	sent, err := to.socket.Write(rest)
	_ = to.socket.SetWriteDeadline(time.Time{})
	s.Counters.BytesOut.Add(int64(sent))
	s.settings.EventLoop.Transport().SpendBandwidth(sent)
	s.settings.EventLoop.Execute(func(daemon.LoopContext) {
		if err != nil {
			if to.why == "" {
				s.Counters.Slow.Add(1)
			}
			to.closeWith("slow")
			return
		}
		to.owed = 0
		to.stuck.Store(false)
		s.markDirty(to)
	})
}

// finish closes the writing side of the connection and gives the client up to
// lingerLimit to read the last output.
func (to *connection) finish() {
	if to.why != "" {
		return
	}
	to.why = "ended"
	_ = to.socket.CloseWrite()
	_ = to.socket.SetReadDeadline(time.Now().Add(lingerLimit))
}

// gather stores a connection's output, with one response or event appended, until the
// end of the turn and counts it under kind.
func (s *Server) gather(to *connection, kind saidKind, output []byte) {
	sent := s.said[kind]
	s.said[kind] = SentTotal{Times: sent.Times + 1, Bytes: sent.Bytes + int64(len(output)-len(to.output))}
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

func (s *Server) answer(to *connection, about CommandRef, answer gateway.Reply) {
	to.waiting.Add(-1)
	if to.state == ended {
		return
	}
	s.gather(to, saidKind{kindNames[about.Kind], string(answer.Outcome)}, s.settings.Protocol.AppendAnswer(to.output, about, answer))
}

// refused returns a rejection with a code; back is the time after which to retry.
func refused(code string, back time.Duration) gateway.Reply {
	return gateway.Reply{Outcome: gateway.OutcomeRejected, Code: code, RetryAfter: back}
}

// take executes the commands of one read of a connection.
func (s *Server) take(owner daemon.LoopContext, from *connection, batch []pendingRequest) {
	if from.state == fresh {
		s.connections[from.channel] = from
	}
	for position := range batch {
		command := &batch[position]
		command.about.Topic = s.name(command.about.Topic)
		about := command.about
		switch {
		case command.fault != "":
			s.answer(from, about, refused(command.fault, 0))
			if command.lost {
				s.end(from)
			}
		case about.Kind == Open && from.state == fresh:
			s.open(owner, from, command)
		case about.Kind == Open:
			s.answer(from, about, refused(CodeAlreadyOpen, 0))
		case from.state != open:
			s.answer(from, about, refused(CodeNotOpen, comeBack))
		case about.Kind == Ping:
			// The ping arrived before the session was open, or while output was unsent.
			from.waiting.Add(-1)
			s.gather(from, saidKind{what: "pong"}, s.settings.Protocol.AppendPong(from.output))
		default:
			s.execute(owner, from, command)
		}
	}
}

func (s *Server) open(owner daemon.LoopContext, from *connection, command *pendingRequest) {
	about := command.about
	from.state, from.client = opening, command.client
	owner.AttachSession(from.channel, func(deliver statemachine.Delivery) { s.deliver(from, deliver) })
	owner.Submit(func(request uint64) any {
		return gateway.OpenSession{Request: request, Session: from.channel, Name: strconv.FormatUint(from.channel, 16), Client: command.client, AdapterPings: true}
	}, func(value any) {
		answer := answerOf(value)
		if from.state == opening {
			from.state = fresh
			if answer.Outcome == gateway.OutcomeAccepted {
				from.state = open
				from.greeted.Store(true)
			}
		}
		if from.state != open {
			owner.DetachSession(from.channel)
		}
		if from.state == ended && answer.Outcome == gateway.OutcomeAccepted {
			owner.Post(gateway.CloseSession{Session: from.channel, Reason: from.why})
		}
		s.answer(from, about, answer)
	})
}

// answerOf returns the gateway's reply. If the gateway stopped before it replied, the
// outcome of the command is unknown (unsettled).
func answerOf(value any) gateway.Reply {
	if answer, matches := value.(gateway.Reply); matches {
		return answer
	}
	return gateway.Reply{Outcome: gateway.OutcomeUnsettled, Code: CodeStopping, RetryAfter: comeBack}
}

func (s *Server) execute(owner daemon.LoopContext, from *connection, command *pendingRequest) {
	about := command.about
	owner.Submit(func(request uint64) any {
		switch about.Kind {
		case Subscribe:
			return gateway.Subscribe{
				Request: request, Session: from.channel, Client: from.client, Interests: []gateway.Interest{{Path: about.Topic}}, Cursor: command.cursor,
			}
		case Unsubscribe:
			return gateway.Unsubscribe{Request: request, Session: from.channel, Client: from.client, Interests: []gateway.Interest{{Path: about.Topic}}}
		case Publish:
			return gateway.Publish{Request: request, Client: from.client, Sender: from.client, Topic: about.Topic, Seq: about.Seq, Data: command.body}
		default:
			return gateway.CountSubscribers{Request: request, Session: from.channel, Client: from.client, Topic: about.Topic}
		}
	}, func(value any) { s.answer(from, about, answerOf(value)) })
}

// deliver encodes an event of the gateway for a connection.
func (s *Server) deliver(to *connection, deliver statemachine.Delivery) {
	if to.state == ended {
		return
	}
	if event, matches := deliver.Event.(gateway.Event); matches {
		s.gather(to, saidKind{what: event.Event}, s.settings.Protocol.AppendEvent(to.output, event))
	}
	if deliver.Close {
		s.end(to)
	}
}

// end closes a connection after its pending output has been written.
func (s *Server) end(to *connection) {
	to.ending, to.state = true, ended
	s.markDirty(to)
}

// over closes the session of a connection that has ended.
func (s *Server) over(owner daemon.LoopContext, gone *connection) {
	had := gone.state
	gone.state = ended
	delete(s.connections, gone.channel)
	if had == fresh {
		return
	}
	switch {
	case gone.lost:
		gone.why = "unreadable"
	case gone.why == "":
		gone.why = "closed"
	}
	owner.DetachSession(gone.channel)
	owner.Post(gateway.CloseSession{Session: gone.channel, Reason: gone.why})
}

// name interns a topic name, so that repeated names share one string. The table is
// emptied when it reaches maxNames.
func (s *Server) name(text string) string {
	if known, found := s.names[text]; found {
		return known
	}
	if len(s.names) >= maxNames {
		clear(s.names)
	}
	s.names[text] = text
	return text
}
