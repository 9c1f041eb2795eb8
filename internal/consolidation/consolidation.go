// Package consolidation decides which gateways rest while there is little traffic.
//
// The economy duty: from what the gateways report it decides which of them rest and
// where their origins go; package balancing spreads what is left. A decision
// compares one sum before and after: processor time, of a gateway that is awake
// and of the copies that it takes, and bytes between zones, each with the
// weight that the operators gave it. Loads are rates of what was observed, and
// closeness is the observed way between daemons, with the configured links as
// the start. There is always room to lose one gateway and one zone, a quiet
// spell passes before anything is emptied, and waking comes long before the
// awake ones are full. Old reports are never acted on.
package consolidation

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

const (
	staleAfter = 3 * time.Second
	pace       = 40
	fullShare  = 0.75
	quietShare = 0.55
	// A gateway's owner is one thread; beyond this share of it more are woken.
	busyShare = 0.6
	// What nobody has observed yet: the processor time of a gateway that is
	// awake and idle, and of one copy or delivery, and a message's bytes.
	idleProcessor = 15 * time.Millisecond
	eachProcessor = 120 * time.Microsecond
	eachBytes     = 280
	settleRate    = 0.3
	rateEvery     = time.Second
	farFrom       = 300 * time.Microsecond
)

// Observation is all that a decision may rest on.
type Observation struct {
	Configuration config.Configuration
	Members       map[string]membership.Member
	Loads         map[string]membership.Load
	Heard         map[string]time.Time
}

type rate struct {
	at        time.Time
	load      membership.Load
	known     bool
	delivered float64
	copies    float64
	busy      float64
}

// Economist remembers how long it has been quiet, who rests, and the rates.
type Economist struct {
	quietSince time.Time
	resting    map[string]bool
	rates      map[string]*rate
}

// New makes an economist that rests nobody yet.
func New() *Economist {
	return &Economist{resting: map[string]bool{}, rates: map[string]*rate{}}
}

type candidate struct {
	member membership.Member
	load   membership.Load
	rate   rate
}

type fleet struct {
	settings config.Consolidation
	links    map[[2]string]time.Duration
	gateways []candidate
	total    int
	busy     float64
	asleep   func(name string) bool
}

// Decide gives each living gateway its orders.
func (e *Economist) Decide(now time.Time, seen Observation) map[string]membership.Directives {
	drained := func(name string) bool { return slices.Contains(seen.Configuration.Draining, name) }
	here := &fleet{
		settings: seen.Configuration.Consolidation, links: links(seen.Configuration),
		asleep: func(name string) bool { return e.resting[name] || drained(name) },
	}
	fresh := true
	for name, member := range statemachine.Sorted(seen.Members) {
		if member.Kind != membership.KindGateway || !member.Alive {
			delete(e.resting, name)
			delete(e.rates, name)
			continue
		}
		limit := staleAfter
		if member.Resting {
			limit += membership.LowPriorityLongPollTimeout
			e.resting[name] = true
		}
		if now.Sub(seen.Heard[name]) > limit {
			fresh = false
		}
		load := seen.Loads[name]
		gateway := candidate{member: member, load: load, rate: e.observe(name, seen.Heard[name], load)}
		here.total += load.Sessions
		here.busy += gateway.rate.busy
		here.gateways = append(here.gateways, gateway)
	}
	if !here.settings.Enabled {
		e.resting = map[string]bool{}
		e.quietSince = time.Time{}
	} else if fresh {
		e.choose(now, here)
	}
	orders := map[string]membership.Directives{}
	for _, gateway := range here.gateways {
		name := gateway.member.Name
		order := membership.Directives{Rest: here.asleep(name)}
		if order.Rest && gateway.load.Sessions > 0 {
			order.Drain, order.MovesPerSecond, order.Targets = true, pace, here.targets(gateway)
		}
		orders[name] = order
	}
	return orders
}

// observe turns a gateway's running sums into rates.
func (e *Economist) observe(name string, heard time.Time, load membership.Load) rate {
	present, found := e.rates[name]
	if !found || load.Delivered < present.load.Delivered || load.Processor < present.load.Processor {
		present = &rate{at: heard, load: load}
		e.rates[name] = present
		return *present
	}
	past := heard.Sub(present.at)
	if past < rateEvery {
		return *present
	}
	seconds := past.Seconds()
	newest := rate{
		at: heard, load: load, known: true,
		delivered: float64(load.Delivered-present.load.Delivered) / seconds,
		copies:    float64(load.Copies-present.load.Copies) / seconds,
		busy:      (load.Processor - present.load.Processor).Seconds() / seconds,
	}
	if present.known {
		smooth := func(older, newer float64) float64 { return older + settleRate*(newer-older) }
		newest.delivered, newest.copies = smooth(present.delivered, newest.delivered), smooth(present.copies, newest.copies)
		newest.busy = smooth(present.busy, newest.busy)
	}
	*present = newest
	return newest
}

func links(configuration config.Configuration) map[[2]string]time.Duration {
	table := map[[2]string]time.Duration{}
	for _, link := range configuration.Links {
		table[[2]string{link.From, link.To}], table[[2]string{link.To, link.From}] = link.Delay, link.Delay
	}
	return table
}

// way is how far one gateway is from another: as observed by either, else as the
// operators' links have it, else near in one zone and far between two.
func (f *fleet) way(from, to candidate) time.Duration {
	if observed, found := from.load.Delays[to.member.Name]; found {
		return observed
	}
	if observed, found := to.load.Delays[from.member.Name]; found {
		return observed
	}
	if from.member.Zone == to.member.Zone {
		return 0
	}
	if configured, found := f.links[[2]string{from.member.Zone, to.member.Zone}]; found {
		return configured
	}
	return 2 * farFrom
}

// targets lists the gateways to which a gateway's origins may go, the best
// first: near ones before far ones, and of those the one with most room.
func (f *fleet) targets(leaving candidate) []string {
	var fit []candidate
	for _, gateway := range f.gateways {
		if name := gateway.member.Name; name != leaving.member.Name && !f.asleep(name) && gateway.load.Ready {
			fit = append(fit, gateway)
		}
	}
	near := func(gateway candidate) int {
		if gateway.member.Zone == leaving.member.Zone {
			return 0
		}
		return 1 + int(f.way(leaving, gateway)/farFrom)
	}
	slices.SortStableFunc(fit, func(left, right candidate) int {
		if order := cmp.Compare(near(left), near(right)); order != 0 {
			return order
		}
		return cmp.Compare(right.load.FreeCapacity, left.load.FreeCapacity)
	})
	var names []string
	for _, gateway := range fit {
		names = append(names, gateway.member.Name)
	}
	return names
}

func (f *fleet) awake(without string) []candidate {
	var found []candidate
	for _, gateway := range f.gateways {
		if name := gateway.member.Name; name != without && !f.asleep(name) {
			found = append(found, gateway)
		}
	}
	return found
}

// needed is how many gateways must stay awake for a number of origins: enough to
// hold everybody with a share of room left, and to work for them, and the spare
// ones that were asked for.
func (f *fleet) needed(total int, busy float64) int {
	count := int(math.Ceil(float64(total) / (float64(f.settings.SessionsPerGateway) * fullShare)))
	working := int(math.Ceil(busy / busyShare))
	return max(count, working, 1) + f.settings.SpareGateways
}

// roomy tells whether some awake gateways could lose any one zone and still
// hold everybody.
func (f *fleet) roomy(awake []candidate, total int) bool {
	places := map[string]int{}
	for _, gateway := range awake {
		places[gateway.member.Zone]++
	}
	if len(places) < 2 {
		return false
	}
	for _, count := range places {
		if (len(awake)-count)*f.settings.SessionsPerGateway < total {
			return false
		}
	}
	return true
}

func (e *Economist) choose(now time.Time, here *fleet) {
	awake := here.awake("")
	want := max(here.needed(here.total, here.busy), 2)
	if len(awake) < want || !here.roomy(awake, here.total) {
		e.quietSince = time.Time{}
		e.wake(here, max(want-len(awake), 1))
		return
	}
	// Nobody is put to rest who would have to be woken for a little more.
	swollen := int(float64(here.total) * fullShare / quietShare)
	if len(awake) <= max(here.needed(swollen, here.busy*fullShare/quietShare), 2) {
		e.quietSince = time.Time{}
		return
	}
	if e.quietSince.IsZero() {
		e.quietSince = now
	}
	if now.Sub(e.quietSince) < here.settings.StabilizationWindow {
		return
	}
	e.quietSince = now
	best, bestCost := "", 0.0
	for _, gateway := range awake {
		rest := here.awake(gateway.member.Name)
		if !here.roomy(rest, swollen) {
			continue
		}
		if cost := here.change(gateway, rest); cost < bestCost {
			best, bestCost = gateway.member.Name, cost
		}
	}
	if best != "" {
		e.resting[best] = true
	}
}

// change is by how much the sum of all costs would grow if a gateway rested and
// its origins went to the nearest of the rest; below zero it saves. Processor
// time counts in milliseconds and bytes in kilobytes, each for a second.
func (f *fleet) change(leaving candidate, rest []candidate) float64 {
	work := idleProcessor.Seconds() + leaving.rate.copies*eachProcessor.Seconds()
	far := math.Inf(1)
	for _, gateway := range rest {
		if gateway.member.Zone == leaving.member.Zone {
			far = 0
		}
		far = min(far, float64(f.way(leaving, gateway))/float64(farFrom))
	}
	places := map[string]bool{}
	for _, gateway := range rest {
		places[gateway.member.Zone] = true
	}
	// Copies that come here come from all zones alike; those from others
	// need not be sent any more where a gateway of this zone remains.
	crossing := leaving.rate.copies * eachBytes * float64(len(places)-1) / float64(max(len(places), 1))
	bytes := -crossing
	if far >= 1 {
		// Every delivery to the origins that leave now crosses.
		bytes = leaving.rate.delivered*eachBytes + float64(leaving.load.Sessions)*eachBytes/5 - crossing
	}
	return -f.settings.ProcessorWeight*work*1000 + f.settings.TrafficWeight*bytes/1000
}

// wake wakes gateways, first where fewest of a zone are awake.
func (e *Economist) wake(here *fleet, count int) {
	places := map[string]int{}
	for _, gateway := range here.awake("") {
		places[gateway.member.Zone]++
	}
	for range count {
		best, bestPlace := "", ""
		for _, gateway := range here.gateways {
			name, place := gateway.member.Name, gateway.member.Zone
			if e.resting[name] && (best == "" || places[place] < places[bestPlace]) {
				best, bestPlace = name, place
			}
		}
		if best == "" {
			return
		}
		delete(e.resting, best)
		places[bestPlace]++
	}
}
