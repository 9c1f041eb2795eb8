// The economy duty: from what the lanterns report it decides which of them rest
// and where their origins go. It keeps room to lose one lantern and one whole
// locality, lets a quiet spell pass before it empties anything, and wakes long
// before the awake ones are full. Old reports are never acted on.
package economy

import (
	"cmp"
	"slices"
	"time"

	"dahlialock/internal/beacon"
	"dahlialock/internal/chart"
	"dahlialock/internal/helm"
)

const (
	staleAfter = 3 * time.Second
	pace       = 40
	fullShare  = 0.75
	quietShare = 0.55
)

// Observation is all that a decision may rest on.
type Observation struct {
	Configuration chart.Configuration
	Members       map[string]beacon.Member
	Loads         map[string]beacon.Load
	Heard         map[string]time.Time
}

// Economist remembers how long it has been quiet and who rests.
type Economist struct {
	quietSince time.Time
	resting    map[string]bool
}

// New makes an economist that rests nobody yet.
func New() *Economist {
	return &Economist{resting: map[string]bool{}}
}

type candidate struct {
	member beacon.Member
	load   beacon.Load
}

// Decide gives each living lantern its orders.
func (economist *Economist) Decide(now time.Time, seen Observation) map[string]beacon.Orders {
	var lanterns []candidate
	fresh := true
	total := 0
	for name, member := range helm.Sorted(seen.Members) {
		if member.Kind != beacon.KindLantern || !member.Alive {
			delete(economist.resting, name)
			continue
		}
		limit := staleAfter
		if member.Resting {
			limit += beacon.PatientHold
			economist.resting[name] = true
		}
		if now.Sub(seen.Heard[name]) > limit {
			fresh = false
		}
		load := seen.Loads[name]
		total += load.Origins
		lanterns = append(lanterns, candidate{member: member, load: load})
	}
	drained := func(name string) bool { return slices.Contains(seen.Configuration.Drains, name) }
	if !seen.Configuration.Economy.Enabled {
		economist.resting = map[string]bool{}
		economist.quietSince = time.Time{}
	} else if fresh {
		economist.choose(now, seen.Configuration.Economy, lanterns, total, drained)
	}
	orders := map[string]beacon.Orders{}
	for _, lantern := range lanterns {
		name := lantern.member.Name
		order := beacon.Orders{Rest: economist.resting[name] || drained(name)}
		if order.Rest && lantern.load.Origins > 0 {
			order.Empty, order.Pace = true, pace
			order.Targets = economist.targets(lanterns, lantern, drained)
		}
		orders[name] = order
	}
	return orders
}

func (economist *Economist) targets(lanterns []candidate, leaving candidate, drained func(string) bool) []string {
	var fit []candidate
	for _, lantern := range lanterns {
		name := lantern.member.Name
		if name != leaving.member.Name && !economist.resting[name] && !drained(name) && lantern.load.Ready {
			fit = append(fit, lantern)
		}
	}
	slices.SortStableFunc(fit, func(left, right candidate) int {
		leftNear, rightNear := left.member.Locality == leaving.member.Locality, right.member.Locality == leaving.member.Locality
		if leftNear != rightNear {
			if leftNear {
				return -1
			}
			return 1
		}
		return cmp.Compare(right.load.Room, left.load.Room)
	})
	var names []string
	for _, lantern := range fit {
		names = append(names, lantern.member.Name)
	}
	return names
}

// needed is how many lanterns must stay awake: enough to hold everybody with a
// share of room left, and the spare ones that were asked for.
func needed(props chart.Economy, total int) int {
	each := float64(props.OriginsEach) * fullShare
	count := int((float64(total) + each - 1) / each)
	return max(count, 1) + props.SpareLanterns
}

func (economist *Economist) choose(now time.Time, props chart.Economy, lanterns []candidate, total int, drained func(string) bool) {
	awake, localities := 0, map[string]int{}
	for _, lantern := range lanterns {
		if !economist.resting[lantern.member.Name] && !drained(lantern.member.Name) {
			awake++
			localities[lantern.member.Locality]++
		}
	}
	want := max(needed(props, total), 2)
	if awake < want || len(localities) < 2 {
		economist.quietSince = time.Time{}
		economist.wake(lanterns, localities, max(want-awake, 1))
		return
	}
	if awake <= max(needed(props, int(float64(total)*fullShare/quietShare)), 2) {
		economist.quietSince = time.Time{}
		return
	}
	if economist.quietSince.IsZero() {
		economist.quietSince = now
	}
	if now.Sub(economist.quietSince) < props.QuietFor {
		return
	}
	economist.quietSince = now
	best, bestCost := "", 0.0
	for _, lantern := range lanterns {
		name, place := lantern.member.Name, lantern.member.Locality
		lastOfPlace := localities[place] == 1
		if economist.resting[name] || drained(name) || lastOfPlace && len(localities) <= 2 {
			continue
		}
		cost := float64(lantern.load.Origins) * props.ProcessorWeight
		if lastOfPlace {
			cost += props.TrafficWeight * float64(lantern.load.Origins+props.OriginsEach)
		}
		if best == "" || cost < bestCost {
			best, bestCost = name, cost
		}
	}
	if best != "" {
		economist.resting[best] = true
	}
}

func (economist *Economist) wake(lanterns []candidate, localities map[string]int, count int) {
	for range count {
		best, bestPlace := "", ""
		for _, lantern := range lanterns {
			name, place := lantern.member.Name, lantern.member.Locality
			if economist.resting[name] && (best == "" || localities[place] < localities[bestPlace]) {
				best, bestPlace = name, place
			}
		}
		if best == "" {
			return
		}
		delete(economist.resting, best)
		localities[bestPlace]++
	}
}
