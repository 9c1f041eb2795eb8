// Admission of new callers on lines. The platform hands callers to whoever listens
// first, hundreds within moments; each has missed messages fetched and its interest told
// to the other gateways, and a link that is full serves nobody. So a gateway lets in only
// whom its link can serve soon: a steady number of sessions a second, and none while
// more is to be caught up with than the link takes in a short time. Whoever is refused
// is told so at once, and finds another gateway.

package gateway

import (
	"time"

	"dahlialock/internal/statemachine"
)

const (
	// sessionBytes is what a new session is reckoned to bring over the link, and
	// admitShare the part of the link that new sessions may take.
	sessionBytes = 2 << 10
	admitShare   = 0.5
	// admitBurst is for how long sessions may be saved up, and admitLeast how many are
	// let in at once in any case.
	admitBurst  = 300 * time.Millisecond
	minAdmitted = 16
	// backlogAhead is how much of the link's time the records may take that are known
	// to lack here before nobody else is let in.
	backlogAhead = time.Second
)

// admission counts the sessions that may still be let in.
type admission struct {
	left float64
	at   time.Time
}

// admits tells whether the link can serve one more session soon, and counts it.
func (g *Gateway) admits(now time.Time) bool {
	if g.settings.Link == 0 || statemachine.Mutated("all-admitted") {
		return true
	}
	rate := float64(g.settings.Link) * admitShare / sessionBytes
	burst := max(rate*admitBurst.Seconds(), minAdmitted)
	if g.admission.at.IsZero() {
		g.admission = admission{left: burst, at: now}
	}
	g.admission.left = min(burst, g.admission.left+rate*now.Sub(g.admission.at).Seconds())
	g.admission.at = now
	if g.admission.left < 1 || g.backlog(now) > int(float64(g.settings.Link)*backlogAhead.Seconds()) {
		return false
	}
	g.admission.left--
	return true
}

// backlog is how many bytes of records are known to lack here, of the topics that wait
// for a batch or are in one.
func (g *Gateway) backlog(now time.Time) int {
	sum := 0
	count := func(waits *topicState) {
		if _, lacking := waits.missingAfter(now); lacking {
			sum += waits.missingBytes
		}
	}
	for _, queued := range g.routed.queue {
		count(queued)
	}
	for _, sent := range g.routed.batches {
		for _, fetch := range sent.fetches {
			if fetch.topic.fetch == fetch {
				count(fetch.topic)
			}
		}
	}
	return sum
}
