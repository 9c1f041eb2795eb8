package gateway

import (
	"time"

	"dahlialock/internal/statemachine"
)

const (
	// estimatedSessionBytes is the estimated number of bytes that a new session transfers over the link.
	// admissionShare is the share of the link's rate that new sessions may use.
	estimatedSessionBytes = 2 << 10
	admissionShare        = 0.5
	// admissionBurst is the time for which unused admissions accumulate. minAdmissionBurst is the
	// minimum burst: this many sessions may be admitted at once at any link rate.
	admissionBurst    = 300 * time.Millisecond
	minAdmissionBurst = 16
	// maxBacklogTime is the transfer time of the missing records above which no further session is
	// admitted.
	maxBacklogTime = time.Second
)

// admission is a token bucket that limits new sessions. tokens is the number of sessions that may be
// admitted, as of updatedAt.
type admission struct {
	tokens    float64
	updatedAt time.Time
}

// tryAdmit reports whether one more session may be admitted, and takes a token for it. All sessions are
// admitted if the rate of the link is unknown.
func (g *Gateway) tryAdmit(now time.Time) bool {
	if g.settings.LinkBytesPerSecond == 0 || statemachine.Mutated("all-admitted") {
		return true
	}
	rate := float64(g.settings.LinkBytesPerSecond) * admissionShare / estimatedSessionBytes
	burst := max(rate*admissionBurst.Seconds(), minAdmissionBurst)
	if g.admission.updatedAt.IsZero() {
		g.admission = admission{tokens: burst, updatedAt: now}
	}
	g.admission.tokens = min(burst, g.admission.tokens+rate*now.Sub(g.admission.updatedAt).Seconds())
	g.admission.updatedAt = now
	if g.admission.tokens < 1 || g.backlog(now) > int(float64(g.settings.LinkBytesPerSecond)*maxBacklogTime.Seconds()) {
		return false
	}
	g.admission.tokens--
	return true
}

// backlog returns how many bytes of records this gateway is known to miss, summed over the topics that
// wait for a batch or are in one.
func (g *Gateway) backlog(now time.Time) int {
	sum := 0
	addMissing := func(topic *topicState) {
		if _, missing := topic.missingAfter(now); missing {
			sum += topic.missingBytes
		}
	}
	for _, queued := range g.routed.queue {
		addMissing(queued)
	}
	for _, sent := range g.routed.batches {
		for _, fetch := range sent.fetches {
			if fetch.topic.fetch == fetch {
				addMissing(fetch.topic)
			}
		}
	}
	return sum
}
