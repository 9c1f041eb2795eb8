// Package balancing decides which gateways hand callers on, and to whom, so that the
// gateways of a zone hold them in the measure of their capacity. It acts whether or
// not the fleet saves: the platform gives new callers to whoever listens first, and
// nothing else would ever take them away again.
package balancing

import (
	"cmp"
	"math"
	"slices"
)

const (
	// A gateway begins to hand callers on above uneven times its share and at least
	// leastExcess callers more, and ends at even times its share.
	uneven      = 1.2
	even        = 1.05
	leastExcess = 6
	// fullZone is the part of a zone's capacity beyond which its callers are spread
	// over the other zones too.
	fullZone = 0.9
	// A gateway hands on what it has too much within spreadOver seconds, at a pace
	// within these bounds; recipients are few, so that each is told of soon.
	spreadOver = 2
	paceLeast  = 5
	paceMost   = 30
	recipients = 3
)

// Gateway is what a decision knows of one gateway: its callers, how many more it may
// hold, and whether it takes any now.
type Gateway struct {
	Name    string
	Zone    string
	Origins int
	Room    int
	Accepts bool
}

// Order asks a gateway to hand on what it holds beyond Keep, at most Pace callers a
// second, to the targets in turn.
type Order struct {
	Keep    int
	Pace    int
	Targets []string
}

// Balancer remembers which gateways are handing callers on.
type Balancer struct {
	shedding map[string]bool
}

// New makes a balancer.
func New() *Balancer { return &Balancer{shedding: map[string]bool{}} }

// member is a gateway with its share of its group's callers.
type member struct {
	Gateway
	share float64
	// lacks is how many callers it may still be given.
	lacks int
}

// Plan gives an order to each gateway that is to hand callers on. Only gateways with
// fresh reports may be named.
func (b *Balancer) Plan(gateways []Gateway) map[string]Order {
	orders := map[string]Order{}
	present := map[string]bool{}
	for _, group := range groups(gateways) {
		b.planGroup(group, orders)
	}
	for _, gateway := range gateways {
		present[gateway.Name] = true
	}
	for name := range b.shedding {
		if !present[name] {
			delete(b.shedding, name)
		}
	}
	return orders
}

// groups are the gateways among which callers are evened out: those of a zone, and all
// of them together where a zone is full.
func groups(gateways []Gateway) [][]member {
	zones := map[string][]Gateway{}
	for _, gateway := range gateways {
		zones[gateway.Zone] = append(zones[gateway.Zone], gateway)
	}
	var names []string
	for zone, members := range zones {
		if callers, capacity := sums(members); float64(callers) > fullZone*float64(capacity) {
			return [][]member{shared(gateways)}
		}
		names = append(names, zone)
	}
	slices.Sort(names)
	var found [][]member
	for _, zone := range names {
		found = append(found, shared(zones[zone]))
	}
	return found
}

// sums adds up callers, and the capacity of those that take any.
func sums(gateways []Gateway) (callers, capacity int) {
	for _, gateway := range gateways {
		callers += gateway.Origins
		if gateway.Accepts {
			capacity += gateway.Origins + max(0, gateway.Room)
		}
	}
	return callers, capacity
}

// shared gives each gateway of a group its share, in the measure of its capacity.
func shared(gateways []Gateway) []member {
	callers, capacity := sums(gateways)
	var group []member
	for _, gateway := range gateways {
		one := member{Gateway: gateway}
		if gateway.Accepts && capacity > 0 {
			one.share = float64(callers) * float64(gateway.Origins+max(0, gateway.Room)) / float64(capacity)
			one.lacks = max(0, min(int(one.share)-gateway.Origins, gateway.Room))
		}
		group = append(group, one)
	}
	return group
}

// planGroup gives the callers that some have too many to those that have too few. What
// a recipient lacks is given out once, so that it is not flooded from all sides.
func (b *Balancer) planGroup(group []member, orders map[string]Order) {
	slices.SortFunc(group, func(left, right member) int {
		return cmp.Or(cmp.Compare(excess(right), excess(left)), cmp.Compare(left.Name, right.Name))
	})
	for position := range group {
		donor := group[position]
		if !b.sheds(donor) {
			continue
		}
		if order, found := give(donor, group); found {
			orders[donor.Name] = order
		}
	}
}

// excess is how many callers a gateway holds beyond its share.
func excess(gateway member) float64 { return float64(gateway.Origins) - gateway.share }

// sheds tells whether a gateway hands callers on, which it does until it has come down
// to its share.
func (b *Balancer) sheds(donor member) bool {
	limit := math.Max(donor.share*uneven, donor.share+leastExcess)
	if b.shedding[donor.Name] {
		limit = donor.share * even
	}
	b.shedding[donor.Name] = donor.Accepts && float64(donor.Origins) > limit
	return b.shedding[donor.Name]
}

// give finds the gateways that lack most, and notes what they are given.
func give(donor member, group []member) (Order, bool) {
	left := donor.Origins - int(math.Ceil(donor.share))
	var targets []string
	given := 0
	for range recipients {
		best := -1
		for position := range group {
			if lacks := group[position].lacks; lacks > 0 && (best < 0 || lacks > group[best].lacks) {
				best = position
			}
		}
		if best < 0 || left <= 0 {
			break
		}
		part := min(left, group[best].lacks)
		group[best].lacks -= part
		left -= part
		given += part
		targets = append(targets, group[best].Name)
	}
	if given == 0 {
		return Order{}, false
	}
	return Order{Keep: donor.Origins - given, Pace: min(max(given/spreadOver, paceLeast), paceMost), Targets: targets}, true
}
