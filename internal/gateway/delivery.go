package gateway

import (
	"encoding/json"
	"time"

	"dahlialock/internal/decisionlog"
	"dahlialock/internal/statemachine"
)

// deliverBuffered delivers the messages that were buffered while a subscription of the session was
// catching up. It does nothing while one still is.
func (g *Gateway) deliverBuffered(now time.Time, id uint64, session *session, effects *statemachine.Effects) {
	if session.isCatchingUp() {
		return
	}
	// The records that are still in the buffer keep the floor of the cursor below them.
	for len(session.buffer) > 0 {
		recordCopy := session.buffer[0]
		session.buffer = session.buffer[1:]
		g.deliverOrBuffer(now, id, session, recordCopy, effects)
	}
	ephemeral := session.ephemeralBuffer
	session.ephemeralBuffer = nil
	for _, message := range ephemeral {
		g.deliverOrBufferEphemeral(now, id, session, message, effects)
	}
}

// deliverOrBuffer delivers a record to a session if one of its subscriptions matches and the client has
// not received the record. While the session is catching up the record is buffered instead.
func (g *Gateway) deliverOrBuffer(
	now time.Time,
	id uint64,
	session *session,
	recordCopy RecordCopy,
	effects *statemachine.Effects,
) {
	space, _ := spaceOf(recordCopy.Partition)
	matches, waiting := false, false
	for interest, subscription := range session.subscriptions {
		if interest.Space != space || !interest.matches(recordCopy.Record.Topic) {
			continue
		}
		if subscription.catchingUp {
			waiting = true
			continue
		}
		matches = matches || recordCopy.Record.Offset > subscription.since[recordCopy.Partition]
	}
	matches = matches || statemachine.Mutated("no-exact-match")
	if session.isCatchingUp() && (matches || waiting) {
		// While any subscription is catching up the records of all subscriptions of the
		// session are buffered, since the messages of a sender must be delivered in order
		// across them.
		session.buffer = append(session.buffer, recordCopy)
		return
	}
	if matches {
		g.deliverRecord(now, id, session, recordCopy, effects)
	}
}

// deliverRecord delivers a record to a session unless the client has received it.
func (g *Gateway) deliverRecord(
	now time.Time,
	id uint64,
	session *session,
	recordCopy RecordCopy,
	effects *statemachine.Effects,
) {
	if !session.movedAt.IsZero() || !session.recordDelivery(now, recordCopy.Partition, recordCopy.Record.Offset) {
		return
	}
	space, _ := spaceOf(recordCopy.Partition)
	g.Counts.Delivered++
	g.ring.Record(now, "", decisionlog.MessageName(
		space,
		recordCopy.Record.Sender,
		recordCopy.Record.Seq,
	), session.client, "delivered",
		"partition", recordCopy.Partition,
		"offset", recordCopy.Record.Offset,
	)
	g.emit(id, Event{
		Event:  "message",
		Space:  space,
		Topic:  recordCopy.Record.Topic,
		Sender: recordCopy.Record.Sender,
		Seq:    recordCopy.Record.Seq,
		Data:   json.RawMessage(recordCopy.Record.Data),
		Cursor: g.cursor(now, session),
	}, effects)
}

// markSeen records the sequence of a message in an ephemeral space, and reports whether it is above all
// sequences of the sender recorded before.
func (c *session) markSeen(now time.Time, space, sender string, seq uint64) bool {
	senders := c.sequences[space]
	if senders == nil {
		senders = map[string]senderSequence{}
		c.sequences[space] = senders
	}
	if senders[sender].seq >= seq {
		return false
	}
	senders[sender] = senderSequence{seq: seq, at: now}
	return true
}

// deliverOrBufferEphemeral delivers an ephemeral message to a session if one of its subscriptions matches
// and the client has not received the message. While the session is catching up the message is buffered
// instead.
func (g *Gateway) deliverOrBufferEphemeral(
	now time.Time,
	id uint64,
	session *session,
	message EphemeralCopy,
	effects *statemachine.Effects,
) {
	if !session.movedAt.IsZero() {
		return
	}
	space, _ := spaceOf(message.Space + "/")
	matches := false
	for interest, subscription := range session.subscriptions {
		if interest.Space == space && interest.matches(message.Topic) {
			if subscription.catchingUp || session.isCatchingUp() {
				session.ephemeralBuffer = append(session.ephemeralBuffer, message)
				return
			}
			// Repeated messages are delivered to clients that were disconnected, but
			// not to new subscriptions.
			matches = matches || !message.Repeated || now.Sub(subscription.resumedAt) <= repeatWindow
		}
	}
	if !matches || !session.markSeen(now, message.Space, message.Sender, message.Seq) {
		return
	}
	g.Counts.Delivered++
	g.ring.Record(now, "", decisionlog.MessageName(space, message.Sender, message.Seq), session.client, "delivered")
	g.emit(id, Event{
		Event:  "message",
		Space:  space,
		Topic:  message.Topic,
		Sender: message.Sender,
		Seq:    message.Seq,
		Data:   json.RawMessage(message.Data),
		Cursor: g.cursor(now, session),
	}, effects)
}

// markDelivered records offsets that were delivered to the client by another gateway.
func (c *session) markDelivered(now time.Time, name string, offsets []uint64) {
	for _, offset := range offsets {
		c.recordDelivery(now, name, offset)
	}
}

// recordDelivery records that an offset is delivered to the client, and reports whether it was not
// delivered before. Offsets are also added to deliveredAbove, which contains those above the cursor's
// floor, since every cursor lists them.
func (c *session) recordDelivery(now time.Time, name string, offset uint64) bool {
	if c.delivered[name] == nil {
		c.delivered[name], c.deliveredAbove[name] = map[uint64]time.Time{}, map[uint64]bool{}
	}
	if _, delivered := c.delivered[name][offset]; delivered {
		return false
	}
	c.delivered[name][offset] = now
	c.deliveredAbove[name][offset] = true
	return true
}

// setNotBefore records that an interest began at an offset above the floor of the cursor.
func (c *session) setNotBefore(interest Interest, name string, since uint64) {
	subscription := c.subscriptions[interest]
	if subscription.notBefore == nil {
		subscription.notBefore = map[string]uint64{}
	}
	subscription.notBefore[name] = since
}

// matchesMissedRecord reports whether a missed record matches an interest that the client was already
// subscribed to when the record was appended.
func (c *session) matchesMissedRecord(interests []Interest, recordCopy RecordCopy) bool {
	space, _ := spaceOf(recordCopy.Partition)
	for _, interest := range interests {
		subscription, found := c.subscriptions[interest]
		if !found || interest.Space != space || !interest.matches(recordCopy.Record.Topic) {
			continue
		}
		if recordCopy.Record.Offset > subscription.notBefore[recordCopy.Partition] {
			return true
		}
	}
	return false
}
