package consolidation

import (
	"math"
	"time"
)

// Estimates of costs that the daemons do not measure at run time.
const (
	// idleProcessor is the processor time per second that an awake gateway uses without
	// traffic, and copyProcessor the processor time per received record copy.
	idleProcessor = 15 * time.Millisecond
	copyProcessor = 120 * time.Microsecond
	// messageBytes is the size of one message on the wire.
	messageBytes = 280
	// sessionMessageSeconds is the time between two messages of a session, not counting
	// the deliveries to it.
	sessionMessageSeconds = 5
)

// bestRestCandidate returns the awake gateway that saves the most by resting. It considers
// only gateways without which the remaining ones can still serve the given number of
// sessions after the loss of a zone. It reports false if no such gateway saves anything.
func (f *fleet) bestRestCandidate(awake []gatewayState, sessions int) (name string, found bool) {
	lowest := 0.0
	for _, candidate := range awake {
		remaining := f.awake(candidate.member.Name)
		if !f.survivesZoneLoss(remaining, sessions) {
			continue
		}
		if cost := f.costOfResting(candidate, remaining); cost < lowest {
			name, lowest, found = candidate.member.Name, cost, true
		}
	}
	return name, found
}

// costOfResting is the change of the weighted sum of all costs if a gateway rested and its
// sessions moved to the nearest of the remaining gateways; it is negative if costs fall.
// Processor time is weighted in milliseconds per second, traffic in kilobytes per second.
func (f *fleet) costOfResting(resting gatewayState, remaining []gatewayState) float64 {
	processor := idleProcessor.Seconds() + resting.rate.copies*copyProcessor.Seconds()
	// Record copies come from all zones in equal parts. Copies from other zones are no
	// longer sent to a resting gateway.
	zones := len(countByZone(remaining))
	savedBytes := resting.rate.copies * messageBytes * float64(zones-1) / float64(max(zones, 1))
	bytes := -savedBytes
	if f.nearestDistance(resting, remaining) >= 1 {
		// All messages of the moved sessions, deliveries included, then cross zones.
		deliveredBytes := resting.rate.delivered * messageBytes
		sessionBytes := float64(resting.load.Sessions) * messageBytes / sessionMessageSeconds
		bytes = deliveredBytes + sessionBytes - savedBytes
	}
	return -f.settings.ProcessorWeight*processor*1000 + f.settings.TrafficWeight*bytes/1000
}

// nearestDistance is the delay to the nearest of the other gateways in multiples of
// distantDelay, and 0 if one of them is in the same zone.
func (f *fleet) nearestDistance(from gatewayState, others []gatewayState) float64 {
	nearest := math.Inf(1)
	for _, other := range others {
		if other.member.Zone == from.member.Zone {
			return 0
		}
		nearest = min(nearest, float64(f.delay(from, other))/float64(distantDelay))
	}
	return nearest
}
