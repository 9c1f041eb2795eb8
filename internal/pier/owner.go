// The owner's side of the pier: commands go to the lantern, and what comes back
// gathers for each connection until the end of the turn.
package pier

import (
	"strconv"
	"time"

	"dahlialock/internal/berth"
	"dahlialock/internal/helm"
	"dahlialock/internal/lamp"
)

// flush writes what the turn made, each connection's once.
func (pier *Pier) flush() {
	for position, each := range pier.dirty {
		each.dirty = false
		pier.send(each)
		pier.dirty[position] = nil
	}
	pier.dirty = pier.dirty[:0]
}

func (pier *Pier) send(to *connection) {
	if to.stuck.Load() {
		if to.owed+len(to.output) > pier.props.UnsentMost {
			pier.Counters.Slow.Add(1)
			to.cut("slow")
		}
		return
	}
	if len(to.output) > 0 {
		to.sent, to.fault = 0, nil
		if fault := to.raw.Write(to.put); fault != nil || to.fault != nil {
			to.cut("closed")
			return
		}
		pier.Counters.Writes.Add(1)
		pier.Counters.BytesOut.Add(int64(to.sent))
		if to.stuck.Load() {
			rest := to.output[to.sent:]
			to.output, to.owed = nil, len(rest)
			go pier.sendRest(to, rest)
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

// sendRest waits until the socket has taken the rest of a write.
func (pier *Pier) sendRest(to *connection, rest []byte) {
	_ = to.socket.SetWriteDeadline(time.Now().Add(writeLimit))
	sent, fault := to.socket.Write(rest)
	_ = to.socket.SetWriteDeadline(time.Time{})
	pier.Counters.BytesOut.Add(int64(sent))
	pier.props.Berth.Within(func(berth.Owner) {
		if fault != nil {
			if to.why == "" {
				pier.Counters.Slow.Add(1)
			}
			to.cut("slow")
			return
		}
		to.owed = 0
		to.stuck.Store(false)
		pier.mark(to)
	})
}

// finish says that nothing more comes, and gives the caller a moment to read
// what did.
func (to *connection) finish() {
	if to.why != "" {
		return
	}
	to.why = "ended"
	_ = to.socket.CloseWrite()
	_ = to.socket.SetReadDeadline(time.Now().Add(lingerLimit))
}

// gather keeps what was appended until the end of the turn.
func (pier *Pier) gather(to *connection, output []byte) {
	to.output = output
	if len(output) > 0 {
		pier.mark(to)
	}
}

// mark has a connection looked at when the turn ends.
func (pier *Pier) mark(to *connection) {
	if !to.dirty {
		to.dirty = true
		pier.dirty = append(pier.dirty, to)
	}
}

func (pier *Pier) answer(to *connection, about About, answer lamp.Answer) {
	to.waiting.Add(-1)
	if to.state == ended {
		return
	}
	pier.gather(to, pier.props.Protocol.AppendAnswer(to.output, about, answer))
}

func refused(code string, back time.Duration) lamp.Answer {
	return lamp.Answer{Outcome: lamp.OutcomeRefused, Code: code, RetryAfter: back}
}

// take does what one read of a connection brought.
func (pier *Pier) take(owner berth.Owner, from *connection, batch []asked) {
	if from.state == fresh {
		pier.connections[from.channel] = from
	}
	for position := range batch {
		command := &batch[position]
		command.about.Topic = pier.name(command.about.Topic)
		about := command.about
		switch {
		case command.fault != "":
			pier.answer(from, about, refused(command.fault, 0))
			if command.lost {
				pier.end(from)
			}
		case about.Kind == Open && from.state == fresh:
			pier.open(owner, from, command)
		case about.Kind == Open:
			pier.answer(from, about, refused(CodeTwice, 0))
		case from.state != open:
			pier.answer(from, about, refused(CodeNotOpen, comeBack))
		case about.Kind == Ping:
			// It came before the channel was open, or while bytes wait.
			from.waiting.Add(-1)
			pier.gather(from, pier.props.Protocol.AppendPong(from.output))
		default:
			pier.carry(owner, from, command)
		}
	}
}

func (pier *Pier) open(owner berth.Owner, from *connection, command *asked) {
	about := command.about
	from.state, from.origin = opening, command.origin
	owner.Attach(from.channel, func(deliver helm.Deliver) { pier.deliver(from, deliver) })
	owner.Ask(func(visit uint64) any {
		return lamp.OpenChannel{Visit: visit, Channel: from.channel, Name: strconv.FormatUint(from.channel, 16), Origin: command.origin, Lines: true}
	}, func(value any) {
		answer := answerOf(value)
		if from.state == opening {
			from.state = fresh
			if answer.Outcome == lamp.OutcomeAccepted {
				from.state = open
				from.greeted.Store(true)
			}
		}
		if from.state != open {
			owner.Detach(from.channel)
		}
		if from.state == ended && answer.Outcome == lamp.OutcomeAccepted {
			owner.Post(lamp.CloseChannel{Channel: from.channel, Why: from.why})
		}
		pier.answer(from, about, answer)
	})
}

// answerOf is the lantern's answer; where it ended, nobody can tell what became
// of what it was asked.
func answerOf(value any) lamp.Answer {
	if answer, matches := value.(lamp.Answer); matches {
		return answer
	}
	return lamp.Answer{Outcome: lamp.OutcomeUnsettled, Code: CodeStopping, RetryAfter: comeBack}
}

func (pier *Pier) carry(owner berth.Owner, from *connection, command *asked) {
	about := command.about
	owner.Ask(func(visit uint64) any {
		switch about.Kind {
		case Subscribe:
			return lamp.Subscribe{
				Visit: visit, Channel: from.channel, Origin: from.origin, Interests: []lamp.Interest{{Path: about.Topic}}, Cursor: command.cursor,
			}
		case Unsubscribe:
			return lamp.Unsubscribe{Visit: visit, Channel: from.channel, Origin: from.origin, Interests: []lamp.Interest{{Path: about.Topic}}}
		case Publish:
			return lamp.Publish{Visit: visit, Origin: from.origin, Sender: from.origin, Topic: about.Topic, Seq: about.Seq, Data: command.body}
		default:
			return lamp.Count{Visit: visit, Channel: from.channel, Origin: from.origin, Topic: about.Topic}
		}
	}, func(value any) { pier.answer(from, about, answerOf(value)) })
}

// deliver takes an event of the lantern.
func (pier *Pier) deliver(to *connection, deliver helm.Deliver) {
	if to.state == ended {
		return
	}
	if event, matches := deliver.Event.(lamp.Event); matches {
		pier.gather(to, pier.props.Protocol.AppendEvent(to.output, event))
	}
	if deliver.Close {
		pier.end(to)
	}
}

// end closes a connection after what was written.
func (pier *Pier) end(to *connection) {
	to.ending, to.state = true, ended
	pier.mark(to)
}

// over ends the channel of a connection that is gone.
func (pier *Pier) over(owner berth.Owner, gone *connection) {
	had := gone.state
	gone.state = ended
	delete(pier.connections, gone.channel)
	if had == fresh {
		return
	}
	switch {
	case gone.lost:
		gone.why = "unreadable"
	case gone.why == "":
		gone.why = "closed"
	}
	owner.Detach(gone.channel)
	owner.Post(lamp.CloseChannel{Channel: gone.channel, Why: gone.why})
}

// name keeps one text for each name that comes again and again.
func (pier *Pier) name(text string) string {
	if known, found := pier.names[text]; found {
		return known
	}
	if len(pier.names) >= namesMost {
		clear(pier.names)
	}
	pier.names[text] = text
	return text
}
