package gateway

import (
	"time"

	"dahlialock/internal/statemachine"
)

const (
	// sessionBytes is the estimated number of bytes that a new session transfers over the link.
	// admitShare is the share of the link's rate that new sessions may use.
	sessionBytes = 2 << 10
	admitShare   = 0.5
	// admitBurst is the time for which unused admissions accumulate. minAdmitted is the minimum burst:
	// this many sessions may be admitted at once at any link rate.
	admitBurst  = 300 * time.Millisecond
	minAdmitted = 16
	// backlogAhead is the transfer time of the missing records above which no further session is
	// admitted.
	backlogAhead = time.Second
)

// admission is a token bucket that limits new sessions: left is the number of sessions that may be
// admitted, as of the time at.
type admission struct {
	left float64
	at   time.Time
}

// admits reports whether one more session may be admitted, and takes a token for it. All sessions are
// admitted if the rate of the link is unknown.
func (g *Gateway) admits(now time.Time) bool {
	if g.settings.LinkBytesPerSecond == 0 || statemachine.Mutated("all-admitted") {
		return true
	}
	rate := float64(g.settings.LinkBytesPerSecond) * admitShare / sessionBytes
	burst := max(rate*admitBurst.Seconds(), minAdmitted)
	if g.admission.at.IsZero() {
		g.admission = admission{left: burst, at: now}
	}
	g.admission.left = min(burst, g.admission.left+rate*now.Sub(g.admission.at).Seconds())
	g.admission.at = now
	if g.admission.left < 1 || g.backlog(now) > int(float64(g.settings.LinkBytesPerSecond)*backlogAhead.Seconds()) {
		return false
	}
	g.admission.left--
	return true
}

// backlog returns how many bytes of records this gateway is known to miss, summed over the topics that
// wait for a batch or are in one.
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
