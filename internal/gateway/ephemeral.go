package gateway

import (
	"time"

	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
)

// publishEphemeral fans out an ephemeral message once the overlay is stable.
func (g *Gateway) publishEphemeral(
	now time.Time,
	state *spaceState,
	from *sender,
	item *publication,
	effects *statemachine.Effects,
) {
	request := item.request
	if memory, known := from.recent[request.Seq]; known {
		if memory.digest != partition.MessageDigest(request.Topic, request.Data) {
			answer := rejectedReply(409, CodeSequenceReused, "this seq was used for another message", 0)
			g.finishPublication(now, item, answer, effects)
			return
		}
		g.finishPublication(now, item, acceptedReply(map[string]any{"again": true}), effects)
		return
	}
	if request.Seq <= from.lastSeq && now.Sub(from.arrived) > ephemeralSeqRetention {
		answer := rejectedReply(409, CodeSequenceStale, "this seq is not above the sender's newest", 0)
		g.finishPublication(now, item, answer, effects)
		return
	}
	// A sender that published through another gateway before may retry a message that was already
	// fanned out there. It is fanned out again; a session that has received this or a later message
	// of the sender ignores it.
	area := areaOf(state.space, request.Topic)
	g.overlay.Publish(now, state.name, area, func(now time.Time, effects *statemachine.Effects, stable bool) {
		if item.answered {
			return
		}
		if !stable {
			g.finishPublication(
				now,
				item,
				rejectedReply(503, CodeOverlayUnstable, "the overlay is being mended", retryShortDelay),
				effects,
			)
			return
		}
		if request.Seq > from.lastSeq+1 {
			from.arrived = now
		}
		from.lastSeq = max(from.lastSeq, request.Seq)
		from.recent[request.Seq] = acceptedEphemeral{digest: partition.MessageDigest(request.Topic, request.Data), at: now}
		for seq, memory := range from.recent {
			if now.Sub(memory.at) > ephemeralSeqRetention {
				delete(from.recent, seq)
			}
		}
		message := EphemeralCopy{
			Space:  state.name,
			Topic:  request.Topic,
			Sender: request.Sender,
			Seq:    request.Seq,
			Data:   request.Data,
		}
		state.addRecent(now, message, true)
		g.deliverEphemeral(now, state, message, effects)
		g.sendToDestinations(now, item, g.overlay.Destinations(state.name, area), true, message, effects)
		g.finishPublication(now, item, acceptedReply(map[string]any{"again": false}), effects)
	}, effects)
}

// handleEphemeralCopy delivers an ephemeral message, and reports whether this gateway has subscriptions to
// its topic.
func (g *Gateway) handleEphemeralCopy(now time.Time, message EphemeralCopy, effects *statemachine.Effects) bool {
	space, _ := spaceOf(message.Space + "/")
	state, found := g.spaces[space]
	if !found || state.name != message.Space {
		return false
	}
	if !message.Repeated {
		state.addRecent(now, message, false)
	}
	return g.deliverEphemeral(now, state, message, effects)
}

// deliverEphemeral delivers an ephemeral message to the sessions with a matching subscription, and reports
// whether there are any.
func (g *Gateway) deliverEphemeral(
	now time.Time,
	state *spaceState,
	message EphemeralCopy,
	effects *statemachine.Effects,
) bool {
	subscribed := state.subscribedSessions(message.Topic)
	for id := range statemachine.Sorted(subscribed) {
		if session, open := g.sessions[id]; open {
			g.deliverOrBufferEphemeral(now, id, session, message, effects)
		}
	}
	return len(subscribed) > 0
}
