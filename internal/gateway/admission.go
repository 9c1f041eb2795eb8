package gateway

import (
	"time"

	"dahlialock/internal/statemachine"
)

const (
	// sessionBytes is how many bytes a new session is estimated to bring over the link, and
	// admitShare the share of the link that new sessions may take.
	sessionBytes = 2 << 10
	admitShare   = 0.5
	// admitBurst is for how long unused admissions add up, and minAdmitted how many
	// sessions are admitted at once in any case.
	admitBurst  = 300 * time.Millisecond
	minAdmitted = 16
	// backlogAhead is how long the link may take for the missing records before no further session is
	// admitted.
	backlogAhead = time.Second
)

// admission is a token bucket of the sessions that may still be admitted: how many, as of a moment.
type admission struct {
	left float64
	at   time.Time
}

// admits returns whether the link can serve one more session soon, and subtracts that from what may
// still be admitted. It always can if the rate of the link is unknown.
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

// backlog returns how many bytes of records are known to be missing here, of the topics that wait
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
