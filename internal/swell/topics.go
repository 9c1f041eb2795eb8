// Runs with routed topics: the operator's routes, a crowd of callers who hold
// topics, publish, come and go, the faults that strike such callers, and the
// faults of their users that close a run. At the end new callers take up places
// that others were given before.
package swell

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dahlialock/internal/beacon"
	"dahlialock/internal/helm"
	"dahlialock/internal/oracle"
	"dahlialock/internal/squall"
)

const (
	topicStorm = 14 * time.Second
	savedMost  = 300
	takeEach   = 12
)

// topicRoute leads a prefix to a space of its own.
type topicRoute struct {
	prefix string
	space  string
	kept   bool
}

// topicRoutes are always there. Longer prefixes lead elsewhere than the shorter
// ones that they begin with, and stand after them.
var topicRoutes = []topicRoute{
	{"board.", "boards-by-topic", true}, {"halt.", "halts", false}, {"halt.kept.", "halts-kept", true}, {"board.live.", "boards-live", false},
}

// fleeting are the prefixes that come and go.
var fleeting = []topicRoute{{"guest.", "guests", true}, {"flash.", "flashes", false}}

type routeDocument struct {
	Prefix string `json:"prefix"`
	Space  string `json:"space"`
}

// topicWorld is what a run with routed topics holds beside its callers.
type topicWorld struct {
	topics []string
	saved  []oracle.Saved
	given  int
	// early are the first places of the hot topic.
	early []oracle.Saved
	// away lists the fleeting prefixes that are not led anywhere now.
	away map[string]bool
	// crowdAt is when the usual callers came; steady, that they keep what they
	// hold and stay.
	crowdAt time.Time
	steady  bool
	hot     string
}

func boards(count int) []string {
	var topics []string
	for number := range count {
		topics = append(topics, fmt.Sprintf("board.%d", number))
	}
	return topics
}

func newTopicWorld(size Size) *topicWorld {
	topics := boards(size.Callers * 2 / 3)
	for number := range 3 {
		topics = append(topics, fmt.Sprintf("halt.%d", number))
	}
	topics = append(topics, "halt.kept.0", "halt.kept.1", "board.live.0", "board.live.1")
	return &topicWorld{topics: topics, away: map[string]bool{}}
}

// Some topics are sent to for a short while only, one after the other: there the
// last message has none after it that would show it missing.
const (
	onceCount = 6
	onceFor   = 2500 * time.Millisecond
)

func onceTopic(number int) string { return fmt.Sprintf("board.once.%d", number) }

// onceNow is the one of them that is sent to now, if there is one.
func (swell *Swell) onceNow() string {
	number := int(swell.Now.Sub(swell.world.crowdAt) / onceFor)
	if swell.world.crowdAt.IsZero() || number >= onceCount {
		return ""
	}
	return onceTopic(number)
}

// routes lists what leads somewhere at present.
func (world *topicWorld) routes() []topicRoute {
	routes := slices.Clone(topicRoutes)
	for _, each := range fleeting {
		if !world.away[each.prefix] {
			routes = append(routes, each)
		}
	}
	return routes
}

func prefixes(routes []topicRoute) []string {
	var found []string
	for _, each := range routes {
		found = append(found, each.prefix)
	}
	return found
}

// save notes some of the cursors that callers are given.
func (swell *Swell) save(each *taken) {
	world := swell.world
	if each.entry == nil || each.entry.Ended() || each.cursor == "" {
		return
	}
	world.given++
	saved := oracle.Saved{Topic: each.topic, Cursor: each.cursor, After: each.after, At: swell.Now}
	if each.topic == world.hot {
		// Only the first places are taken up, each on another lantern perhaps.
		if len(world.early) < 3 {
			world.early = append(world.early, saved)
		}
		return
	}
	if len(world.saved) < savedMost {
		world.saved = append(world.saved, saved)
	} else if place := swell.Random.IntN(world.given); place < savedMost {
		world.saved[place] = saved
	}
}

// prepareTopics starts a fleet whose configuration routes topics.
func prepareTopics(seed uint64, size Size, apart time.Duration, trace func(line string)) (*Swell, *Operator) {
	swell := New(seed, size)
	swell.world = newTopicWorld(size)
	for _, each := range append(slices.Clone(topicRoutes), fleeting...) {
		swell.Oracle.Route(each.prefix, each.kept, oracle.Holding)
	}
	operator := swell.begin(apart, trace)
	swell.probe()
	return swell, operator
}

// TopicCrowd adds the usual callers of routed topics, one that calls each of the
// first lanterns itself, and what they do all along.
func (swell *Swell) TopicCrowd(count int) {
	swell.world.crowdAt = swell.Now
	for number := range count {
		client := swell.AddTopicClient(fmt.Sprintf("caller-%d", number), number%swell.Size.Places)
		client.settleIn(number)
	}
	for number, node := range swell.Nodes(beacon.KindLantern)[:3] {
		client := swell.AddTopicClient(fmt.Sprintf("prober-%d", number), node.Place)
		client.fixed, client.unjudged = node, true
		client.probes()
	}
}

// settleIn gives a caller its topics and habits.
func (client *TopicClient) settleIn(number int) {
	swell := client.swell
	topics := swell.world.topics
	for range 3 + number%2 {
		topic := topics[swell.Random.IntN(len(topics))]
		client.topics[topic] = &taken{topic: topic}
	}
	if number%4 == 3 {
		client.pipeline = 8
	}
	once := onceTopic(number % onceCount)
	client.topics[once] = &taken{topic: once}
	client.publishes(180 * time.Millisecond)
	if hot := swell.world.hot; hot != "" {
		// Most lanterns have nobody who holds it.
		if number < 2 {
			client.topics[hot] = &taken{topic: hot}
		}
		if number == 3 {
			client.floods(hot)
		}
	}
	client.wanders()
}

// floods lets a caller send to one topic as fast as it is answered.
func (client *TopicClient) floods(topic string) {
	client.swell.After(30*time.Millisecond, func() {
		if client.Gone || client.stopped {
			return
		}
		client.publish(topic)
		client.floods(topic)
	})
}

// publishes lets a caller publish all along, now and then a burst.
func (client *TopicClient) publishes(every time.Duration) {
	swell := client.swell
	swell.After(every/2+swell.between(0, every), func() {
		if client.Gone || client.stopped {
			return
		}
		topics := swell.world.topics
		topic := topics[swell.Random.IntN(len(topics))]
		if once := swell.onceNow(); once != "" && swell.Random.IntN(10) == 0 {
			topic = once
		}
		burst := 1
		if client.pipeline > 1 && swell.Random.IntN(3) == 0 {
			burst = 1 + swell.Random.IntN(client.pipeline)
		}
		for range burst {
			client.publish(topic)
		}
		client.publishes(every)
	})
}

// wanders lets a caller take up and drop topics, ask for counts, and go away for
// a time.
func (client *TopicClient) wanders() {
	swell := client.swell
	swell.After(swell.between(500*time.Millisecond, 2500*time.Millisecond), func() {
		if client.Gone || client.stopped {
			return
		}
		client.wanders()
		topics := swell.world.topics
		topic := topics[swell.Random.IntN(len(topics))]
		kind := swell.Random.IntN(8)
		if swell.world.steady {
			kind = 7
		}
		switch kind {
		case 0, 1:
			var held []string
			for name, each := range helm.Sorted(client.topics) {
				if !each.leaving {
					held = append(held, name)
				}
			}
			if len(held) > 2 {
				client.drop(held[swell.Random.IntN(len(held))])
			}
			client.take(topic)
		case 2:
			if client.connected {
				client.Away(swell.Random.IntN(2) == 0, swell.between(300*time.Millisecond, 8*time.Second))
			}
		default:
			client.count(topic)
		}
	})
}

// probes lets a caller that calls one lantern itself ask for what was just added
// or removed, or never was.
func (client *TopicClient) probes() {
	swell := client.swell
	swell.After(swell.between(100*time.Millisecond, 500*time.Millisecond), func() {
		if client.Gone || client.stopped {
			return
		}
		client.probes()
		topics := []string{"guest.a", "guest.b", "flash.a", "nowhere.a"}
		topic := topics[swell.Random.IntN(len(topics))]
		switch swell.Random.IntN(4) {
		case 0:
			client.count(topic)
		case 1:
			if present, found := client.topics[topic]; found && swell.Random.IntN(3) == 0 || found && present.entry != nil && present.entry.Ended() {
				client.drop(topic)
			} else {
				client.take(topic)
			}
		default:
			client.publish(topic)
		}
	})
}

// RunTopics runs a plot with callers of routed topics.
func RunTopics(seed uint64, size Size, plot TopicPlot, trace func(line string)) *Swell {
	swell, operator := prepareTopics(seed, size, plot.Apart, trace)
	swell.world.steady, swell.world.hot = plot.Steady, plot.Hot
	swell.TopicCrowd(size.Callers)
	swell.Run(2 * time.Second)
	if plot.Changes {
		operator.work(swell.Now.Add(topicStorm + 20*time.Second))
	}
	swell.trouble = swell.Now.Add(-oracle.TroubleFor)
	swell.trace("storm: %s; last %s", squall.Format(plot.Storm), plot.Last)
	for _, fault := range plot.Storm {
		swell.After(fault.Start, func() { swell.bring(fault) })
	}
	swell.Run(topicStorm)
	if !swell.RunUntil(60*time.Second, func() bool { return swell.open == 0 }) {
		swell.Oracle.Violate(oracle.NotBack, "a fault has not come to its end after a minute")
	}
	if len(plot.Storm) > 0 {
		swell.Run(oracle.TroubleFor + 4*time.Second)
	}
	if plot.Last != "" {
		swell.closing(plot.Last)
		swell.Run(oracle.TroubleFor + 2*time.Second)
	}
	swell.closeTopics()
	return swell
}

// TopicPlot is what befalls a run with routed topics.
type TopicPlot struct {
	Storm   []squall.Fault
	Last    string
	Apart   time.Duration
	Changes bool
	// Hot is the topic to which some callers send all along, far more than one
	// fetch brings.
	Hot string
	// Steady callers neither take up nor drop anything nor go away, so that nothing
	// of theirs mends what a lantern was not told.
	Steady bool
}

// TopicLast lists the faults of the users that close a run: everything loses
// power right after a configuration and a message were acknowledged, all disks
// but one last; the same and one disk is empty; every process is killed.
var TopicLast = []string{"power-off", "power-off-and-wipe", "kill-all"}

// closing brings a closing fault about as soon as a configuration is taken.
func (swell *Swell) closing(name string) {
	swell.trace("closing fault: %s", name)
	swell.open++
	taken := false
	swell.operator.next(func() { taken = true })
	if !swell.RunUntil(10*time.Second, func() bool { return taken }) {
		swell.Oracle.Violate(oracle.NotBack, "no configuration was taken in 10 s of calm")
	}
	accepted := swell.Oracle.Accepted
	swell.RunUntil(time.Second, func() bool { return swell.Oracle.Accepted > accepted })
	var lost *Node
	switch name {
	case "power-off", "kill-all":
	case "power-off-and-wipe":
		kinds := []string{beacon.KindKeeper, beacon.KindPilot}
		lost = swell.pickUp(kinds[swell.Random.IntN(len(kinds))])
	default:
		swell.strikeLast(name)
	}
	if slices.Contains(TopicLast, name) {
		for _, node := range swell.Nodes("") {
			if !node.Up {
				continue
			}
			if name == "kill-all" {
				node.Crash()
			} else {
				node.Kill()
			}
			if node == lost {
				node.Wipe()
			}
			swell.After(swell.between(300*time.Millisecond, 1500*time.Millisecond), node.Start)
		}
	}
	swell.ServiceBack(name)
	swell.open--
	swell.trouble = swell.Now
}

// closeTopics ends publications, lets new callers take up places that others
// were given, and closes the book.
func (swell *Swell) closeTopics() {
	swell.Run(2 * time.Second)
	for _, client := range swell.topicClients {
		client.stopped = true
	}
	swell.Run(2 * time.Second)
	// Callers who are away come back to what is owed to them.
	for _, client := range swell.topicClients {
		client.stopped = true
		if client.fixed != nil {
			client.leave()
		} else if !client.connected && !client.Gone {
			client.later(0)
		}
	}
	swell.Run(2 * time.Second)
	swell.Oracle.AllBrought(swell.Now)
	swell.takeSaved()
	reads := swell.operator.reads
	for number := range 8 {
		swell.After(time.Duration(number)*500*time.Millisecond, swell.operator.read)
	}
	swell.Run(4 * time.Second)
	if swell.operator.reads == reads {
		swell.Oracle.Violate(oracle.StaleRead, "the configuration does not come back at the end")
	}
	for _, client := range swell.topicClients {
		if !client.Gone && !client.holds() {
			swell.Oracle.Violate(oracle.NotBack, "%s is still not served at the end", client.Name)
		}
	}
	swell.describe()
	swell.Oracle.Close(swell.Now)
}

// takeSaved lets new callers take up the places that were saved.
func (swell *Swell) takeSaved() {
	random := rand.New(rand.NewPCG(swell.Seed, 0x7a4e))
	saved := slices.Clone(swell.world.saved)
	random.Shuffle(len(saved), func(left, right int) { saved[left], saved[right] = saved[right], saved[left] })
	saved = append(slices.Clone(swell.world.early), saved...)
	var takers []*TopicClient
	for position := range saved {
		place := saved[position]
		if swell.world.away[swell.fleetingOf(place.Topic)] {
			continue
		}
		chosen := slices.IndexFunc(takers, func(taker *TopicClient) bool {
			_, found := taker.topics[place.Topic]
			return !found && len(taker.topics) < takeEach
		})
		if chosen < 0 {
			chosen = len(takers)
			takers = append(takers, swell.AddTopicClient(fmt.Sprintf("taker-%d", chosen), chosen%swell.Size.Places))
		}
		taker := takers[chosen]
		taker.stopped = true
		taker.topics[place.Topic] = &taken{
			topic: place.Topic, cursor: place.Cursor, after: place.After, entry: swell.Oracle.Subscribing(taker.Name, place.Topic, &place),
		}
	}
}

// fleetingOf is the fleeting prefix of a topic, if it has one.
func (swell *Swell) fleetingOf(topic string) string {
	for _, each := range fleeting {
		if len(topic) > len(each.prefix) && topic[:len(each.prefix)] == each.prefix {
			return each.prefix
		}
	}
	return ""
}

// change takes a fleeting route away, or brings it back.
func (swell *Swell) change(prefix string, away bool, done func()) {
	swell.world.away[prefix] = away
	swell.operator.next(done)
}

// topicBrought are the faults that strike callers, as callers of routed topics
// are struck by them.
var topicBrought = map[string]bringer{
	"resets": func(swell *Swell, fault squall.Fault, end func()) {
		for _, client := range swell.topicClients {
			if swell.Random.IntN(5) > 0 && client.connected {
				client.Away(true, swell.between(0, 400*time.Millisecond))
			}
		}
		over(fault, swell, end, func() {})
	},
	"vanish": func(swell *Swell, fault squall.Fault, end func()) {
		client := swell.topicClients[fault.Pick%uint64(len(swell.topicClients))]
		client.Away(fault.Pick%3 == 0, fault.Length*4)
		swell.After(fault.Length*4, end)
	},
	"wander": func(swell *Swell, fault squall.Fault, end func()) {
		for _, client := range swell.topicClients {
			if swell.Random.IntN(3) == 0 && client.connected {
				client.Place = swell.Random.IntN(swell.Size.Places)
				client.Away(true, swell.between(0, 50*time.Millisecond))
			}
		}
		over(fault, swell, end, func() {})
	},
	"crowd": func(swell *Swell, fault squall.Fault, end func()) {
		var crowd []*TopicClient
		for number := range swell.Size.Callers {
			client := swell.AddTopicClient(fmt.Sprintf("crowd-%d-%d", fault.Pick, len(swell.topicClients)), number%swell.Size.Places, "board.0", "board.1", "halt.0")
			client.publishes(time.Second)
			crowd = append(crowd, client)
		}
		over(fault, swell, end, func() {
			for _, client := range crowd {
				client.leave()
			}
		})
	},
	"rolling": func(swell *Swell, fault squall.Fault, end func()) {
		// The platform waits a moment between two machines, and for nothing else.
		kinds := []string{beacon.KindPilot, beacon.KindKeeper, beacon.KindTender, beacon.KindLantern}
		nodes := swell.Nodes(kinds[fault.Pick%4])
		gap := swell.between(time.Second, 1300*time.Millisecond)
		var next func()
		next = func() {
			if len(nodes) == 0 {
				end()
				return
			}
			node := nodes[0]
			nodes = nodes[1:]
			swell.again(node, 100*time.Millisecond, func() { swell.After(gap, next) })
		}
		next()
	},
	"space": func(swell *Swell, fault squall.Fault, end func()) {
		prefix := fleeting[fault.Pick%uint64(len(fleeting))].prefix
		if swell.world.away[prefix] {
			end()
			return
		}
		swell.change(prefix, true, func() {})
		swell.After(4*time.Second+fault.Length, func() {
			swell.change(prefix, false, func() {})
			swell.After(4*time.Second, end)
		})
	},
}

// drawTopicPlot draws the plot of a seed.
func drawTopicPlot(seed uint64, names []string, count int) TopicPlot {
	random := rand.New(rand.NewPCG(seed, 0x70b1))
	plot := TopicPlot{Storm: squall.Draw(random, names, topicStorm, count), Changes: true}
	last := append(slices.Clone(TopicLast), squall.Last...)
	if random.IntN(2) == 0 {
		plot.Last = last[random.IntN(len(last))]
	}
	if random.IntN(4) == 0 {
		plot.Apart = 3 * time.Hour
	}
	return plot
}

func pairTopicPlot(seed uint64) TopicPlot {
	pair := pairOf(rand.New(rand.NewPCG(seed, 0x9a14)))
	return drawTopicPlot(seed, pair[:], 4)
}

// topicScenarios lists the runs with routed topics.
func topicScenarios() []Scenario {
	found := []Scenario{
		{Name: "topics-calm", Topics: func(uint64) TopicPlot { return TopicPlot{} }},
		{Name: "topics-configurations", Topics: func(uint64) TopicPlot { return TopicPlot{Changes: true} }},
		{Name: "topics-pairs", Topics: pairTopicPlot},
		{Name: "topics-storm", Topics: func(seed uint64) TopicPlot { return drawTopicPlot(seed, squall.Names, 8) }},
	}
	found = append(found, Scenario{Name: "topics-steady", Topics: func(seed uint64) TopicPlot {
		plot := drawTopicPlot(seed, []string{"relink", "cut-one-way", "restart-lantern", "loss"}, 8)
		plot.Last, plot.Steady, plot.Changes = "", true, false
		return plot
	}})
	found = append(found, Scenario{Name: "topics-hot", Topics: func(seed uint64) TopicPlot {
		plot := drawTopicPlot(seed, []string{"resets", "kill-keeper", "freeze-keeper", "vanish", "restart-lantern", "slow-daemon"}, 6)
		plot.Last, plot.Hot = "", "board.hot"
		return plot
	}})
	for _, name := range squall.Names {
		found = append(found, Scenario{Name: "topics-" + name, Topics: func(seed uint64) TopicPlot { return drawTopicPlot(seed, []string{name}, 3) }})
	}
	for _, name := range append(slices.Clone(TopicLast), squall.Last...) {
		found = append(found, Scenario{Name: "topics-last-" + name, Topics: func(uint64) TopicPlot { return TopicPlot{Last: name} }})
	}
	return found
}
