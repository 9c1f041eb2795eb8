package gateway

import (
	"cmp"
	"slices"
	"time"

	"dahlialock/internal/statemachine"
)

const (
	// recentRetention is how long recent ephemeral messages are retained, maxRecentEphemeral how many
	// of each space.
	recentRetention    = 3 * time.Second
	maxRecentEphemeral = 8192
	// repeatWindow is how long repeated messages are delivered to a subscription after it was resumed.
	repeatWindow = 5 * time.Second
)

// recentEphemeral is an ephemeral message that this gateway published or received within recentRetention.
type recentEphemeral struct {
	at time.Time
	// publishedLocally is set if a client of this gateway published the message.
	publishedLocally bool
	message          EphemeralCopy
}

// addRecent adds an ephemeral message to the recent messages of the space, and removes old ones.
func (ss *spaceState) addRecent(now time.Time, message EphemeralCopy, own bool) {
	ss.recent = append(ss.recent, recentEphemeral{at: now, publishedLocally: own, message: message})
	old := 0
	for old < len(ss.recent) && (now.Sub(ss.recent[old].at) > recentRetention || len(ss.recent)-old > maxRecentEphemeral) {
		old++
	}
	if old > 0 {
		ss.recent = slices.Delete(ss.recent, 0, old)
	}
}

// repeatRecent sends the recent messages of the clients of this gateway to newly discovered
// destinations.
func (g *Gateway) repeatRecent(now time.Time, effects *statemachine.Effects) {
	for _, discovered := range g.overlay.TakeDiscovered() {
		member, known := g.viewClient.Members[discovered.Daemon]
		space, _ := spaceOf(discovered.Space + "/")
		state, present := g.spaces[space]
		if !known || !present || state.name != discovered.Space || statemachine.Mutated("no-recent") {
			continue
		}
		for _, each := range state.recent {
			if each.publishedLocally && now.Sub(each.at) <= recentRetention &&
				areaOf(state.space, each.message.Topic) == discovered.Area {
				repeated := each.message
				repeated.Repeated = true
				g.Counts.Repeated++
				effects.Send(member.Address, repeated)
			}
		}
	}
}

// replayRecent adds the recent messages that match the interests of a resumed session to its buffered
// messages, and sorts the buffer by sender and sequence.
func (g *Gateway) replayRecent(now time.Time, session *session, interests []Interest) {
	var replayed []EphemeralCopy
	for _, interest := range interests {
		state, present := g.spaces[interest.Space]
		if !present || statemachine.Mutated("no-recent") {
			continue
		}
		for _, each := range state.recent {
			if now.Sub(each.at) <= recentRetention && interest.matches(each.message.Topic) {
				replayed = append(replayed, each.message)
			}
		}
	}
	session.ephemeralBuffer = append(replayed, session.ephemeralBuffer...)
	slices.SortStableFunc(session.ephemeralBuffer, func(left, right EphemeralCopy) int {
		return cmp.Or(cmp.Compare(left.Sender, right.Sender), cmp.Compare(left.Seq, right.Seq))
	})
}
