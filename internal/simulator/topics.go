// Runs with routed topics: the routes of the configuration, the clients that subscribe,
// publish, connect and disconnect, the faults that affect these clients, and the faults
// that end a run. At the end of a run new clients resume from cursors that other clients
// received earlier.

package simulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dahlialock/internal/checker"
	"dahlialock/internal/faults"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// Limits of runs with routed topics.
const (
	topicScenario = 14 * time.Second
	maxSaved      = 300
	takeEach      = 12
)

// topicRoute routes a prefix of topics to its own space.
type topicRoute struct {
	prefix string
	space  string
	kept   bool
}

// topicRoutes are in every configuration. A prefix that extends a shorter one routes to
// another space, and is listed after the shorter one.
var topicRoutes = []topicRoute{
	{"board.", "boards-by-topic", true}, {"halt.", "halts", false}, {"halt.kept.", "halts-kept", true}, {"board.live.", "boards-live", false},
}

// fleeting lists the routes that the operator removes and restores during a run.
var fleeting = []topicRoute{{"guest.", "guests", true}, {"flash.", "flashes", false}}

type routeDocument struct {
	Prefix string `json:"prefix"`
	Space  string `json:"space"`
}

// topicWorld is the state of a run with routed topics, apart from its clients.
type topicWorld struct {
	topics []string
	saved  []checker.SavedCursor
	given  int
	// early holds the first cursors of the hot topic.
	early []checker.SavedCursor
	// away lists the prefixes of fleeting whose route is removed at present.
	away map[string]bool
	// crowdAt is when the usual clients were added. If steady is set, they keep their
	// subscriptions and connections.
	crowdAt time.Time
	steady  bool
	hot     string
	// body is the minimum length of a publication's body, in bytes.
	body int
	// demands are the requests of the clients of the grown shape.
	demands []demand
}

func boards(count int) []string {
	var topics []string
	for number := range count {
		topics = append(topics, fmt.Sprintf("board.%d", number))
	}
	return topics
}

func newTopicWorld(size Shape) *topicWorld {
	topics := boards(size.Clients * 2 / 3)
	for number := range 3 {
		topics = append(topics, fmt.Sprintf("halt.%d", number))
	}
	topics = append(topics, "halt.kept.0", "halt.kept.1", "board.live.0", "board.live.1")
	return &topicWorld{topics: topics, away: map[string]bool{}}
}

// Some topics receive publications for a short time only, one topic after the other. The
// last message of such a topic has no successor that would reveal its loss.
const (
	onceCount = 6
	onceFor   = 2500 * time.Millisecond
)

func onceTopic(number int) string { return fmt.Sprintf("board.once.%d", number) }

// onceNow returns the short-lived topic that receives publications at present, or "".
func (s *Simulation) onceNow() string {
	number := int(s.Now.Sub(s.world.crowdAt) / onceFor)
	if s.world.crowdAt.IsZero() || number >= onceCount {
		return ""
	}
	return onceTopic(number)
}

// routes lists the routes of the current configuration.
func (tw *topicWorld) routes() []topicRoute {
	routes := slices.Clone(topicRoutes)
	for _, each := range fleeting {
		if !tw.away[each.prefix] {
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

// save keeps a random sample of the cursors that clients receive, for takeSaved.
func (s *Simulation) save(each *heldSubscription) {
	world := s.world
	if each.entry == nil || each.entry.Ended() || each.cursor == "" {
		return
	}
	world.given++
	saved := checker.SavedCursor{Topic: each.topic, Cursor: each.cursor, After: each.after, At: s.Now}
	if each.topic == world.hot {
		// Only the first cursors are resumed, possibly each at another gateway.
		if len(world.early) < 3 {
			world.early = append(world.early, saved)
		}
		return
	}
	if len(world.saved) < maxSaved {
		world.saved = append(world.saved, saved)
	} else if index := s.Random.IntN(world.given); index < maxSaved {
		world.saved[index] = saved
	}
}

// prepareTopics starts a fleet whose configuration has routes.
func prepareTopics(seed uint64, size Shape, apart time.Duration, trace func(line string)) (*Simulation, *Operator) {
	simulation := New(seed, size)
	simulation.world = newTopicWorld(size)
	for _, each := range append(slices.Clone(topicRoutes), fleeting...) {
		simulation.Checker.DefineRoute(each.prefix, each.kept, checker.HoldingTime)
	}
	operator := simulation.startFleet(apart, trace)
	simulation.probe()
	return simulation, operator
}

// AddTopicClients adds the usual clients of routed topics with their periodic actions, and for
// each of the first three gateways a client that always connects to it.
func (s *Simulation) AddTopicClients(count int) {
	s.world.crowdAt = s.Now
	for number := range count {
		client := s.AddTopicClient(fmt.Sprintf("caller-%d", number), number%s.Shape.Zones)
		client.finishJoining(number)
	}
	for number, node := range s.Nodes(membership.KindGateway)[:3] {
		client := s.AddTopicClient(fmt.Sprintf("prober-%d", number), node.Zone)
		client.fixed, client.unjudged = node, true
		client.probes()
	}
}

// finishJoining gives a client its topics and starts its periodic actions.
func (tc *TopicClient) finishJoining(number int) {
	simulation := tc.simulation
	topics := simulation.world.topics
	for range 3 + number%2 {
		topic := topics[simulation.Random.IntN(len(topics))]
		tc.topics[topic] = &heldSubscription{topic: topic}
	}
	if number%4 == 3 {
		tc.pipeline = 8
	}
	once := onceTopic(number % onceCount)
	tc.topics[once] = &heldSubscription{topic: once}
	tc.publishes(180 * time.Millisecond)
	if hot := simulation.world.hot; hot != "" {
		// Few clients subscribe, so that most gateways have no subscriber of the hot topic.
		if number < 2 {
			tc.topics[hot] = &heldSubscription{topic: hot}
		}
		if number == 3 {
			tc.floods(hot)
		}
	}
	tc.wanders()
}

// floods makes the client publish on one topic every 30 ms, as far as its pipeline allows.
func (tc *TopicClient) floods(topic string) {
	tc.simulation.After(30*time.Millisecond, func() {
		if tc.Closed || tc.stopped {
			return
		}
		tc.publish(topic)
		tc.floods(topic)
	})
}

// publishes makes the client publish on random topics, sometimes in bursts.
func (tc *TopicClient) publishes(every time.Duration) {
	simulation := tc.simulation
	simulation.After(every/2+simulation.between(0, every), func() {
		if tc.Closed || tc.stopped {
			return
		}
		topics := simulation.world.topics
		topic := topics[simulation.Random.IntN(len(topics))]
		if once := simulation.onceNow(); once != "" && simulation.Random.IntN(10) == 0 {
			topic = once
		}
		burst := 1
		if tc.pipeline > 1 && simulation.Random.IntN(3) == 0 {
			burst = 1 + simulation.Random.IntN(tc.pipeline)
		}
		for range burst {
			tc.publish(topic)
		}
		tc.publishes(every)
	})
}

// wanders makes the client subscribe and unsubscribe, request subscriber counts, and
// disconnect for a while.
func (tc *TopicClient) wanders() {
	simulation := tc.simulation
	simulation.After(simulation.between(500*time.Millisecond, 2500*time.Millisecond), func() {
		if tc.Closed || tc.stopped {
			return
		}
		tc.wanders()
		topics := simulation.world.topics
		topic := topics[simulation.Random.IntN(len(topics))]
		kind := simulation.Random.IntN(8)
		if simulation.world.steady {
			kind = 7
		}
		switch kind {
		case 0, 1:
			var held []string
			for name, each := range statemachine.Sorted(tc.topics) {
				if !each.leaving {
					held = append(held, name)
				}
			}
			if len(held) > 2 {
				tc.drop(held[simulation.Random.IntN(len(held))])
			}
			tc.take(topic)
		case 2:
			if tc.connected {
				tc.DisconnectFor(simulation.Random.IntN(2) == 0, simulation.between(300*time.Millisecond, 8*time.Second))
			}
		default:
			tc.count(topic)
		}
	})
}

// probes makes a client with a fixed gateway use topics whose route was just added or
// removed, or never existed.
func (tc *TopicClient) probes() {
	simulation := tc.simulation
	simulation.After(simulation.between(100*time.Millisecond, 500*time.Millisecond), func() {
		if tc.Closed || tc.stopped {
			return
		}
		tc.probes()
		topics := []string{"guest.a", "guest.b", "flash.a", "nowhere.a"}
		topic := topics[simulation.Random.IntN(len(topics))]
		switch simulation.Random.IntN(4) {
		case 0:
			tc.count(topic)
		case 1:
			if present, found := tc.topics[topic]; found && simulation.Random.IntN(3) == 0 || found && present.entry != nil && present.entry.Ended() {
				tc.drop(topic)
			} else {
				tc.take(topic)
			}
		default:
			tc.publish(topic)
		}
	})
}

// RunTopics runs a schedule with clients of routed topics.
func RunTopics(seed uint64, size Shape, schedule TopicSchedule, trace func(line string)) *Simulation {
	simulation, operator := prepareTopics(seed, size, schedule.Apart, trace)
	simulation.world.steady, simulation.world.hot = schedule.Steady, schedule.Hot
	simulation.AddTopicClients(size.Clients)
	simulation.Run(2 * time.Second)
	if schedule.Changes {
		operator.work(simulation.Now.Add(topicScenario + 20*time.Second))
	}
	simulation.lastFaultAt = simulation.Now.Add(-checker.FaultSettleTime)
	simulation.trace("storm: %s; last %s", faults.Format(schedule.Faults), schedule.Last)
	for _, fault := range schedule.Faults {
		simulation.After(fault.Start, func() { simulation.inject(fault) })
	}
	simulation.Run(topicScenario)
	if !simulation.RunUntil(60*time.Second, func() bool { return simulation.activeFaults == 0 }) {
		simulation.Checker.Violate(checker.NotRecovered, "a fault has not ended after a minute")
	}
	if len(schedule.Faults) > 0 {
		simulation.Run(checker.FaultSettleTime + 4*time.Second)
	}
	if schedule.Last != "" {
		simulation.closing(schedule.Last)
		simulation.Run(checker.FaultSettleTime + 2*time.Second)
	}
	simulation.closeTopics()
	return simulation
}

// TopicSchedule is the schedule of a run with routed topics. Last names the fault that ends the
// run, if any; Changes says that the operator changes the configuration during the run.
type TopicSchedule struct {
	Faults  []faults.Fault
	Last    string
	Apart   time.Duration
	Changes bool
	// Hot is a topic on which some clients publish continuously, far more than one fetch
	// returns.
	Hot string
	// Steady clients neither subscribe, unsubscribe nor disconnect, so that no request of
	// theirs repairs a gateway that missed an update.
	Steady bool
}

// TopicClosingFaults lists the users' faults that end a run, each right after a configuration and a
// message were acknowledged: all machines lose power and all disks survive; all machines
// lose power and one disk is empty; every process is killed.
var TopicClosingFaults = []string{"power-off", "power-off-and-wipe", "kill-all"}

// closing injects the fault that ends a run, as soon as a configuration and a message after
// it were acknowledged.
func (s *Simulation) closing(name string) {
	s.trace("closing fault: %s", name)
	s.activeFaults++
	taken := false
	s.operator.next(func() { taken = true })
	if !s.RunUntil(10*time.Second, func() bool { return taken }) {
		s.Checker.Violate(checker.NotRecovered, "no configuration was accepted within 10 s without faults")
	}
	accepted := s.Checker.Accepted
	s.RunUntil(time.Second, func() bool { return s.Checker.Accepted > accepted })
	var lost *Node
	switch name {
	case "power-off", "kill-all":
	case "power-off-and-wipe":
		kinds := []string{membership.KindStore, membership.KindController}
		lost = s.randomRunningNode(kinds[s.Random.IntN(len(kinds))])
	default:
		s.injectLast(name)
	}
	if slices.Contains(TopicClosingFaults, name) {
		for _, node := range s.Nodes("") {
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
			s.After(s.between(300*time.Millisecond, 1500*time.Millisecond), node.Start)
		}
	}
	s.MeasureRecovery(name)
	s.activeFaults--
	s.lastFaultAt = s.Now
}

// closeTopics ends publications, lets new clients resume from saved cursors, and runs the
// checks that need the end of a run.
func (s *Simulation) closeTopics() {
	s.Run(2 * time.Second)
	for _, client := range s.topicClients {
		client.stopped = true
	}
	s.Run(2 * time.Second)
	// Disconnected clients reconnect, to receive the messages that they are still to get.
	for _, client := range s.topicClients {
		client.stopped = true
		if client.fixed != nil {
			client.leave()
		} else if !client.connected && !client.Closed {
			client.schedule(0)
		}
	}
	s.Run(2 * time.Second)
	s.Checker.CheckAllDelivered(s.Now)
	s.takeSaved("taker")
	reads := s.operator.reads
	for number := range 8 {
		s.After(time.Duration(number)*500*time.Millisecond, s.operator.read)
	}
	s.Run(4 * time.Second)
	if s.operator.reads == reads {
		s.Checker.Violate(checker.StaleRead, "the configuration can't be read at the end of the run")
	}
	for _, client := range s.topicClients {
		if !client.Closed && !client.holds() {
			s.Checker.Violate(checker.NotRecovered, "%s is not served at the end of the run", client.Name)
		}
	}
	s.traceFinalState()
	s.Checker.Close(s.Now)
}

// takeSaved adds clients, with names that begin with prefix, which resume from the saved cursors.
func (s *Simulation) takeSaved(prefix string) {
	random := rand.New(rand.NewPCG(s.Seed, 0x7a4e))
	saved := slices.Clone(s.world.saved)
	random.Shuffle(len(saved), func(left, right int) { saved[left], saved[right] = saved[right], saved[left] })
	saved = append(slices.Clone(s.world.early), saved...)
	var takers []*TopicClient
	for position := range saved {
		cursor := saved[position]
		if s.world.away[s.fleetingOf(cursor.Topic)] {
			continue
		}
		chosen := slices.IndexFunc(takers, func(taker *TopicClient) bool {
			_, found := taker.topics[cursor.Topic]
			return !found && len(taker.topics) < takeEach
		})
		if chosen < 0 {
			chosen = len(takers)
			takers = append(takers, s.AddTopicClient(fmt.Sprintf("%s-%d", prefix, chosen), chosen%s.Shape.Zones))
		}
		taker := takers[chosen]
		taker.stopped = true
		taker.topics[cursor.Topic] = &heldSubscription{
			topic: cursor.Topic, cursor: cursor.Cursor, after: cursor.After, entry: s.Checker.Subscribing(taker.Name, cursor.Topic, &cursor),
		}
	}
}

// fleetingOf returns the prefix in fleeting that matches a topic, or "".
func (s *Simulation) fleetingOf(topic string) string {
	for _, each := range fleeting {
		if len(topic) > len(each.prefix) && topic[:len(each.prefix)] == each.prefix {
			return each.prefix
		}
	}
	return ""
}

// change removes a route of fleeting from the configuration, or restores it.
func (s *Simulation) change(prefix string, absent bool, done func()) {
	s.world.away[prefix] = absent
	s.operator.next(done)
}

// topicInjectors inject the faults that affect clients, in runs with clients of routed topics.
var topicInjectors = map[string]injector{
	"resets": func(simulation *Simulation, fault faults.Fault, end func()) {
		for _, client := range simulation.topicClients {
			if simulation.Random.IntN(5) > 0 && client.connected {
				client.DisconnectFor(true, simulation.between(0, 400*time.Millisecond))
			}
		}
		undoAfter(fault, simulation, end, func() {})
	},
	"vanish": func(simulation *Simulation, fault faults.Fault, end func()) {
		client := simulation.topicClients[fault.Pick%uint64(len(simulation.topicClients))]
		client.DisconnectFor(fault.Pick%3 == 0, fault.Length*4)
		simulation.After(fault.Length*4, end)
	},
	"wander": func(simulation *Simulation, fault faults.Fault, end func()) {
		for _, client := range simulation.topicClients {
			if simulation.Random.IntN(3) == 0 && client.connected {
				client.Zone = simulation.Random.IntN(simulation.Shape.Zones)
				client.DisconnectFor(true, simulation.between(0, 50*time.Millisecond))
			}
		}
		undoAfter(fault, simulation, end, func() {})
	},
	"crowd": func(simulation *Simulation, fault faults.Fault, end func()) {
		var crowd []*TopicClient
		for number := range simulation.Shape.Clients {
			client := simulation.AddTopicClient(fmt.Sprintf("crowd-%d-%d", fault.Pick, len(simulation.topicClients)), number%simulation.Shape.Zones, "board.0", "board.1", "halt.0")
			client.publishes(time.Second)
			crowd = append(crowd, client)
		}
		undoAfter(fault, simulation, end, func() {
			for _, client := range crowd {
				client.leave()
			}
		})
	},
	"rolling": func(simulation *Simulation, fault faults.Fault, end func()) {
		// The platform waits a short time between two machines and checks nothing before the next one.
		kinds := []string{membership.KindController, membership.KindStore, membership.KindAgent, membership.KindGateway}
		nodes := simulation.Nodes(kinds[fault.Pick%4])
		gap := simulation.between(time.Second, 1300*time.Millisecond)
		var next func()
		next = func() {
			if len(nodes) == 0 {
				end()
				return
			}
			node := nodes[0]
			nodes = nodes[1:]
			simulation.restart(node, 100*time.Millisecond, func() { simulation.After(gap, next) })
		}
		next()
	},
	"space": func(simulation *Simulation, fault faults.Fault, end func()) {
		prefix := fleeting[fault.Pick%uint64(len(fleeting))].prefix
		if simulation.world.away[prefix] {
			end()
			return
		}
		simulation.change(prefix, true, func() {})
		simulation.After(4*time.Second+fault.Length, func() {
			simulation.change(prefix, false, func() {})
			simulation.After(4*time.Second, end)
		})
	},
}

// drawTopicPlot draws the schedule of a seed.
func drawTopicPlot(seed uint64, names []string, count int) TopicSchedule {
	random := rand.New(rand.NewPCG(seed, 0x70b1))
	schedule := TopicSchedule{Faults: faults.Draw(random, names, topicScenario, count), Changes: true}
	last := append(slices.Clone(TopicClosingFaults), faults.Closing...)
	if random.IntN(2) == 0 {
		schedule.Last = last[random.IntN(len(last))]
	}
	if random.IntN(4) == 0 {
		schedule.Apart = 3 * time.Hour
	}
	return schedule
}

func pairTopicPlot(seed uint64) TopicSchedule {
	pair := drawPair(rand.New(rand.NewPCG(seed, 0x9a14)))
	return drawTopicPlot(seed, pair[:], 4)
}

// topicScenarios lists the runs with routed topics.
func topicScenarios() []Scenario {
	found := []Scenario{
		{Name: "topics-calm", Topics: func(uint64) TopicSchedule { return TopicSchedule{} }},
		{Name: "topics-configurations", Topics: func(uint64) TopicSchedule { return TopicSchedule{Changes: true} }},
		{Name: "topics-pairs", Topics: pairTopicPlot},
		{Name: "topics-storm", Topics: func(seed uint64) TopicSchedule { return drawTopicPlot(seed, faults.Names, 8) }},
	}
	found = append(found, Scenario{Name: "topics-steady", Topics: func(seed uint64) TopicSchedule {
		schedule := drawTopicPlot(seed, []string{"relink", "cut-one-way", "restart-gateway", "loss"}, 8)
		schedule.Last, schedule.Steady, schedule.Changes = "", true, false
		return schedule
	}})
	found = append(found, Scenario{Name: "topics-hot", Topics: func(seed uint64) TopicSchedule {
		schedule := drawTopicPlot(seed, []string{"resets", "kill-store", "freeze-store", "vanish", "restart-gateway", "slow-daemon"}, 6)
		schedule.Last, schedule.Hot = "", "board.hot"
		return schedule
	}})
	found = append(found, Scenario{Name: "topics-held-links", Topics: func(uint64) TopicSchedule {
		return TopicSchedule{Faults: []faults.Fault{{Name: "held-links", Start: 2 * time.Second, Length: 10 * time.Second}}}
	}})
	for _, name := range faults.Names {
		found = append(found, Scenario{Name: "topics-" + name, Topics: func(seed uint64) TopicSchedule { return drawTopicPlot(seed, []string{name}, 3) }})
	}
	for _, name := range append(slices.Clone(TopicClosingFaults), faults.Closing...) {
		found = append(found, Scenario{Name: "topics-last-" + name, Topics: func(uint64) TopicSchedule { return TopicSchedule{Last: name} }})
	}
	return found
}
