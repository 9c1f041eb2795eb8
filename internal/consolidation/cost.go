package consolidation

import (
	"math"
	"time"
)

// Costs that are assumed rather than measured.
const (
	// idleProcessor is the processor time that an awake gateway without traffic uses in a
	// second, and copyProcessor that of one received record copy.
	idleProcessor = 15 * time.Millisecond
	copyProcessor = 120 * time.Microsecond
	// messageBytes is the size of one message on the wire.
	messageBytes = 280
	// sessionMessageSeconds is the time between two messages of a session besides the
	// deliveries to it.
	sessionMessageSeconds = 5
)

// cheapestRest finds the awake gateway whose rest saves most, among those whose loss
// leaves enough for a number of sessions. It reports false if no rest saves anything.
func (f *fleet) cheapestRest(awake []gatewayState, sessions int) (name string, found bool) {
	lowest := 0.0
	for _, candidate := range awake {
		remaining := f.awake(candidate.member.Name)
		if !f.survivesZoneLoss(remaining, sessions) {
			continue
		}
		if cost := f.costOfRest(candidate, remaining); cost < lowest {
			name, lowest, found = candidate.member.Name, cost, true
		}
	}
	return name, found
}

// costOfRest is the change of the weighted sum of all costs if a gateway rested and its
// sessions moved to the nearest of the remaining ones; it is negative if that saves.
// Processor time counts in milliseconds a second and traffic in kilobytes a second.
func (f *fleet) costOfRest(resting gatewayState, remaining []gatewayState) float64 {
	processor := idleProcessor.Seconds() + resting.rate.copies*copyProcessor.Seconds()
	// Record copies come from all zones alike. Those from other zones need not be sent
	// any more.
	zones := len(countByZone(remaining))
	savedBytes := resting.rate.copies * messageBytes * float64(zones-1) / float64(max(zones, 1))
	bytes := -savedBytes
	if f.nearestDistance(resting, remaining) >= 1 {
		// Each delivery to a session that moves crosses zones from then on.
		deliveredBytes := resting.rate.delivered * messageBytes
		sessionBytes := float64(resting.load.Sessions) * messageBytes / sessionMessageSeconds
		bytes = deliveredBytes + sessionBytes - savedBytes
	}
	return -f.settings.ProcessorWeight*processor*1000 + f.settings.TrafficWeight*bytes/1000
}

// nearestDistance is the distance to the nearest of some gateways in multiples of
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
