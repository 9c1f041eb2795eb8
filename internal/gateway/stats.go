package gateway

import (
	"time"

	"dahlialock/internal/membership"
)

// Counts are cumulative counters for measurements and tests. The JSON keys are part of the ctl
// interface.
type Counts struct {
	// CopiesIn counts the copies received from other gateways. CopiesStray counts those among them
	// whose topics have no subscription on this gateway. Repeated counts the recent messages that were
	// repeated to newly discovered gateways.
	Requests          uint64 `json:"Requests"`
	Accepted          uint64 `json:"Accepted"`
	RejectedRequests  uint64 `json:"RefusedRequests"`
	UnsettledRequests uint64 `json:"UnsettledRequests"`
	CopiesOut         uint64 `json:"CopiesOut"`
	CopiesIn          uint64 `json:"CopiesIn"`
	CopiesStray       uint64 `json:"CopiesStray"`
	Delivered         uint64 `json:"Delivered"`
	Gaps              uint64 `json:"Holes"`
	Fetches           uint64 `json:"Fetches"`
	Verifies          uint64 `json:"Verifies"`
	Moves             uint64 `json:"Moves"`
	Refreshes         uint64 `json:"Looks"`
	Repeated          uint64 `json:"Offered"`
	// Fetched counts the records of routed topics in responses to batches. Late counts the records in
	// responses that arrived after their batch or fetch operation had ended; Fetched does not include
	// them.
	Fetched uint64 `json:"Fetched"`
	Late    uint64 `json:"Late"`
}

// load returns the load for the reports to the controllers.
func (g *Gateway) load() membership.Load {
	var processor time.Duration
	if g.settings.ProcessorTime != nil {
		processor = g.settings.ProcessorTime()
	}
	return membership.Load{
		ForwardedMessages: g.Counts.CopiesIn,
		ProcessorTime:     processor,
		RoundTripTimes:    g.overlay.RoundTrips(),
		Sessions:          g.remainingSessions(),
		FreeCapacity:      g.settings.MaxClients - len(g.sessions),
		Requests:          g.Counts.Requests,
		Delivered:         g.Counts.Delivered,
		Ready:             g.wasReady,
		Resting:           g.Resting(),
	}
}

// Load returns the load that the gateway reports to the controllers.
func (g *Gateway) Load() membership.Load { return g.load() }

// TrackerStatus is the state of one tracker. Its fields correspond to the fields of tracker: Head is
// the high watermark, Wanted is verifyNeeded, and VerifiedAgo is the time since verifiedAt. Pending and
// Interests are counts. The JSON keys are part of the ctl interface.
type TrackerStatus struct {
	Verified    uint64        `json:"verified"`
	Head        uint64        `json:"head"`
	Pending     int           `json:"held"`
	Started     bool          `json:"began"`
	Verifying   bool          `json:"verifying"`
	Wanted      bool          `json:"wanted"`
	VerifiedAgo time.Duration `json:"fresh"`
	Interests   int           `json:"interests"`
}

// Trackers returns the state of all trackers by partition, for ctl and the simulator.
func (g *Gateway) Trackers(now time.Time) map[string]TrackerStatus {
	statuses := map[string]TrackerStatus{}
	for name, tracker := range g.trackers {
		statuses[name] = TrackerStatus{
			Verified:    tracker.verified,
			Head:        tracker.highWatermark,
			Pending:     len(tracker.pending),
			Started:     tracker.started,
			Verifying:   tracker.verifying,
			Wanted:      tracker.verifyNeeded,
			VerifiedAgo: now.Sub(tracker.verifiedAt),
			Interests:   len(tracker.interests),
		}
	}
	return statuses
}
