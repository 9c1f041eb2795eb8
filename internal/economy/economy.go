// The economy duty: from what the lanterns report it decides which of them rest,
// where their origins go, and how the awake ones share what is left. A decision
// compares one sum before and after: processor time, of a lantern that is awake
// and of the copies that it takes, and bytes between localities, each with the
// weight that the operators gave it. Loads are rates of what was observed, and
// closeness is the observed way between daemons, with the configured links as
// the start. There is always room to lose one lantern and one locality, a quiet
// spell passes before anything is emptied, and waking comes long before the
// awake ones are full. Old reports are never acted on.
package economy

import (
	"cmp"
	"math"
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
	// Shares of the mean at which a lantern begins to hand origins on, and down
	// to which it does.
	unevenShare = 1.35
	evenShare   = 1.1
	unevenLeast = 8
	// A lantern's owner is one thread; beyond this share of it more are woken.
	busyShare = 0.6
	// What nobody has observed yet: the processor time of a lantern that is
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
	Configuration chart.Configuration
	Members       map[string]beacon.Member
	Loads         map[string]beacon.Load
	Heard         map[string]time.Time
}

type rate struct {
	at        time.Time
	load      beacon.Load
	known     bool
	delivered float64
	copies    float64
	busy      float64
}

// Economist remembers how long it has been quiet, who rests, and the rates.
type Economist struct {
	quietSince time.Time
	resting    map[string]bool
	shedding   map[string]bool
	rates      map[string]*rate
}

// New makes an economist that rests nobody yet.
func New() *Economist {
	return &Economist{resting: map[string]bool{}, shedding: map[string]bool{}, rates: map[string]*rate{}}
}

type candidate struct {
	member beacon.Member
	load   beacon.Load
	rate   rate
}

type fleet struct {
	props    chart.Economy
	links    map[[2]string]time.Duration
	lanterns []candidate
	total    int
	busy     float64
	asleep   func(name string) bool
}

// Decide gives each living lantern its orders.
func (economist *Economist) Decide(now time.Time, seen Observation) map[string]beacon.Orders {
	drained := func(name string) bool { return slices.Contains(seen.Configuration.Drains, name) }
	here := &fleet{
		props: seen.Configuration.Economy, links: links(seen.Configuration),
		asleep: func(name string) bool { return economist.resting[name] || drained(name) },
	}
	fresh := true
	for name, member := range helm.Sorted(seen.Members) {
		if member.Kind != beacon.KindLantern || !member.Alive {
			delete(economist.resting, name)
			delete(economist.shedding, name)
			delete(economist.rates, name)
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
		lantern := candidate{member: member, load: load, rate: economist.observe(name, seen.Heard[name], load)}
		here.total += load.Origins
		here.busy += lantern.rate.busy
		here.lanterns = append(here.lanterns, lantern)
	}
	if !here.props.Enabled {
		economist.resting, economist.shedding = map[string]bool{}, map[string]bool{}
		economist.quietSince = time.Time{}
	} else if fresh {
		economist.choose(now, here)
	}
	orders := map[string]beacon.Orders{}
	for _, lantern := range here.lanterns {
		name := lantern.member.Name
		order := beacon.Orders{Rest: here.asleep(name)}
		switch {
		case order.Rest && lantern.load.Origins > 0:
			order.Empty, order.Pace, order.Targets = true, pace, here.targets(lantern)
		case !order.Rest && here.props.Enabled && fresh:
			order.Keep, order.Targets = economist.even(here, lantern)
			if order.Keep > 0 {
				order.Pace = pace
			}
		}
		orders[name] = order
	}
	return orders
}

// observe turns a lantern's running sums into rates.
func (economist *Economist) observe(name string, heard time.Time, load beacon.Load) rate {
	present, found := economist.rates[name]
	if !found || load.Delivered < present.load.Delivered || load.Processor < present.load.Processor {
		present = &rate{at: heard, load: load}
		economist.rates[name] = present
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

func links(configuration chart.Configuration) map[[2]string]time.Duration {
	table := map[[2]string]time.Duration{}
	for _, link := range configuration.Links {
		table[[2]string{link.From, link.To}], table[[2]string{link.To, link.From}] = link.Delay, link.Delay
	}
	return table
}

// way is how far one lantern is from another: as observed by either, else as the
// operators' links have it, else near in one locality and far between two.
func (here *fleet) way(from, to candidate) time.Duration {
	if observed, found := from.load.Delays[to.member.Name]; found {
		return observed
	}
	if observed, found := to.load.Delays[from.member.Name]; found {
		return observed
	}
	if from.member.Locality == to.member.Locality {
		return 0
	}
	if configured, found := here.links[[2]string{from.member.Locality, to.member.Locality}]; found {
		return configured
	}
	return 2 * farFrom
}

// targets lists the lanterns to which a lantern's origins may go, the best
// first: near ones before far ones, and of those the one with most room.
func (here *fleet) targets(leaving candidate) []string {
	var fit []candidate
	for _, lantern := range here.lanterns {
		if name := lantern.member.Name; name != leaving.member.Name && !here.asleep(name) && lantern.load.Ready {
			fit = append(fit, lantern)
		}
	}
	near := func(lantern candidate) int {
		if lantern.member.Locality == leaving.member.Locality {
			return 0
		}
		return 1 + int(here.way(leaving, lantern)/farFrom)
	}
	slices.SortStableFunc(fit, func(left, right candidate) int {
		if order := cmp.Compare(near(left), near(right)); order != 0 {
			return order
		}
		return cmp.Compare(right.load.Room, left.load.Room)
	})
	var names []string
	for _, lantern := range fit {
		names = append(names, lantern.member.Name)
	}
	return names
}

func (here *fleet) awake(without string) []candidate {
	var found []candidate
	for _, lantern := range here.lanterns {
		if name := lantern.member.Name; name != without && !here.asleep(name) {
			found = append(found, lantern)
		}
	}
	return found
}

// needed is how many lanterns must stay awake for a number of origins: enough to
// hold everybody with a share of room left, and to work for them, and the spare
// ones that were asked for.
func (here *fleet) needed(total int, busy float64) int {
	count := int(math.Ceil(float64(total) / (float64(here.props.OriginsEach) * fullShare)))
	working := int(math.Ceil(busy / busyShare))
	return max(count, working, 1) + here.props.SpareLanterns
}

// roomy tells whether some awake lanterns could lose any one locality and still
// hold everybody.
func (here *fleet) roomy(awake []candidate, total int) bool {
	places := map[string]int{}
	for _, lantern := range awake {
		places[lantern.member.Locality]++
	}
	if len(places) < 2 {
		return false
	}
	for _, count := range places {
		if (len(awake)-count)*here.props.OriginsEach < total {
			return false
		}
	}
	return true
}

func (economist *Economist) choose(now time.Time, here *fleet) {
	awake := here.awake("")
	want := max(here.needed(here.total, here.busy), 2)
	if len(awake) < want || !here.roomy(awake, here.total) {
		economist.quietSince = time.Time{}
		economist.wake(here, max(want-len(awake), 1))
		return
	}
	// Nobody is put to rest who would have to be woken for a little more.
	swollen := int(float64(here.total) * fullShare / quietShare)
	if len(awake) <= max(here.needed(swollen, here.busy*fullShare/quietShare), 2) {
		economist.quietSince = time.Time{}
		return
	}
	if economist.quietSince.IsZero() {
		economist.quietSince = now
	}
	if now.Sub(economist.quietSince) < here.props.QuietFor {
		return
	}
	economist.quietSince = now
	best, bestCost := "", 0.0
	for _, lantern := range awake {
		rest := here.awake(lantern.member.Name)
		if !here.roomy(rest, swollen) {
			continue
		}
		if cost := here.change(lantern, rest); cost < bestCost {
			best, bestCost = lantern.member.Name, cost
		}
	}
	if best != "" {
		economist.resting[best] = true
		delete(economist.shedding, best)
	}
}

// change is by how much the sum of all costs would grow if a lantern rested and
// its origins went to the nearest of the rest; below zero it saves. Processor
// time counts in milliseconds and bytes in kilobytes, each for a second.
func (here *fleet) change(leaving candidate, rest []candidate) float64 {
	work := idleProcessor.Seconds() + leaving.rate.copies*eachProcessor.Seconds()
	far := math.Inf(1)
	for _, lantern := range rest {
		if lantern.member.Locality == leaving.member.Locality {
			far = 0
		}
		far = min(far, float64(here.way(leaving, lantern))/float64(farFrom))
	}
	places := map[string]bool{}
	for _, lantern := range rest {
		places[lantern.member.Locality] = true
	}
	// Copies that come here come from all localities alike; those from others
	// need not be sent any more where a lantern of this locality remains.
	crossing := leaving.rate.copies * eachBytes * float64(len(places)-1) / float64(max(len(places), 1))
	bytes := -crossing
	if far >= 1 {
		// Every delivery to the origins that leave now crosses.
		bytes = leaving.rate.delivered*eachBytes + float64(leaving.load.Origins)*eachBytes/5 - crossing
	}
	return -here.props.ProcessorWeight*work*1000 + here.props.TrafficWeight*bytes/1000
}

// even tells how many origins a lantern ought to keep, where it holds far more
// than the mean of the awake ones near it, and who is to have the others.
func (economist *Economist) even(here *fleet, lantern candidate) (int, []string) {
	name := lantern.member.Name
	var near []candidate
	sum := 0
	for _, other := range here.awake("") {
		if other.member.Locality == lantern.member.Locality || lantern.load.Origins > here.props.OriginsEach {
			near = append(near, other)
			sum += other.load.Origins
		}
	}
	mean := float64(sum) / float64(max(len(near), 1))
	keep := int(math.Ceil(mean * evenShare))
	limit := mean * unevenShare
	if economist.shedding[name] {
		limit = mean * evenShare
	}
	economist.shedding[name] = len(near) > 1 && float64(lantern.load.Origins) > limit && lantern.load.Origins > keep+unevenLeast
	if !economist.shedding[name] {
		return 0, nil
	}
	var targets []string
	slices.SortStableFunc(near, func(left, right candidate) int { return cmp.Compare(left.load.Origins, right.load.Origins) })
	for _, other := range near {
		if other.member.Name != name && float64(other.load.Origins) < mean && other.load.Ready {
			targets = append(targets, other.member.Name)
		}
	}
	if len(targets) == 0 {
		return 0, nil
	}
	return max(keep, 1), targets
}

// wake wakes lanterns, first where fewest of a locality are awake.
func (economist *Economist) wake(here *fleet, count int) {
	places := map[string]int{}
	for _, lantern := range here.awake("") {
		places[lantern.member.Locality]++
	}
	for range count {
		best, bestPlace := "", ""
		for _, lantern := range here.lanterns {
			name, place := lantern.member.Name, lantern.member.Locality
			if economist.resting[name] && (best == "" || places[place] < places[bestPlace]) {
				best, bestPlace = name, place
			}
		}
		if best == "" {
			return
		}
		delete(economist.resting, best)
		places[bestPlace]++
	}
}
