package balancing

import "slices"

// member is a gateway of a group with its share of the group's sessions.
type member struct {
	Gateway
	// fairShare is the number of the group's sessions that the gateway should have, in
	// proportion to its capacity. It is zero for a gateway that accepts no sessions.
	fairShare float64
	// deficit is how many more sessions the gateway may be assigned in this plan.
	deficit int
}

// excess is how many sessions a gateway has above its fair share.
func (m member) excess() float64 { return float64(m.Sessions) - m.fairShare }

// groupsOf splits gateways into the groups that are balanced separately: one group per
// zone in the order of zone names, or a single group if any zone is full.
func groupsOf(gateways []Gateway) [][]member {
	zones := map[string][]Gateway{}
	for _, gateway := range gateways {
		zones[gateway.Zone] = append(zones[gateway.Zone], gateway)
	}
	var names []string
	for zone, members := range zones {
		if sessions, capacity := totals(members); float64(sessions) > fullZoneRatio*float64(capacity) {
			return [][]member{membersOf(gateways)}
		}
		names = append(names, zone)
	}
	slices.Sort(names)
	var groups [][]member
	for _, zone := range names {
		groups = append(groups, membersOf(zones[zone]))
	}
	return groups
}

// totals adds up the sessions of all gateways and the capacity of the accepting ones.
func totals(gateways []Gateway) (sessions, capacity int) {
	for _, gateway := range gateways {
		sessions += gateway.Sessions
		if gateway.Accepting {
			capacity += gateway.capacity()
		}
	}
	return sessions, capacity
}

// membersOf computes the fair share and the deficit of each gateway of a group.
func membersOf(gateways []Gateway) []member {
	sessions, capacity := totals(gateways)
	var group []member
	for _, gateway := range gateways {
		added := member{Gateway: gateway}
		if gateway.Accepting && capacity > 0 {
			added.fairShare = float64(sessions) * float64(gateway.capacity()) / float64(capacity)
			added.deficit = max(0, min(int(added.fairShare)-gateway.Sessions, gateway.FreeCapacity))
		}
		group = append(group, added)
	}
	return group
}

// largestDeficit returns the member with the largest deficit, the first one if several
// are equal, or nil if no member has a deficit.
func largestDeficit(group []member) *member {
	var largest *member
	for position := range group {
		candidate := &group[position]
		if candidate.deficit > 0 && (largest == nil || candidate.deficit > largest.deficit) {
			largest = candidate
		}
	}
	return largest
}
