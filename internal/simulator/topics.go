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
	topicScenarioLength = 14 * time.Second
	maxSaved            = 300
	maxCursorsPerClient = 12
)

// topicRoute routes a prefix of topics to its own space.
type topicRoute struct {
	prefix  string
	space   string
	durable bool
}

// topicRoutes are in every configuration. A prefix that extends a shorter one routes to
// another space, and is listed after the shorter one.
var topicRoutes = []topicRoute{
	{"board.", "boards-by-topic", true}, {"halt.", "halts", false}, {"halt.kept.", "halts-kept", true}, {"board.live.", "boards-live", false},
}

// temporaryRoutes lists the routes that the operator removes and restores during a run.
var temporaryRoutes = []topicRoute{{"guest.", "guests", true}, {"flash.", "flashes", false}}

type routeDocument struct {
	Prefix string `json:"prefix"`
	Space  string `json:"space"`
}

// topicState is the state of a run with routed topics, apart from its clients.
type topicState struct {
	topics       []string
	savedCursors []checker.SavedCursor
	cursorCount  int
	// hotCursors holds the first cursors of the hot topic.
	hotCursors []checker.SavedCursor
	// removedRoutes lists the prefixes of temporaryRoutes whose route is removed at present.
	removedRoutes map[string]bool
	// clientsAddedAt is when the usual clients were added. If steady is set, they keep their
	// subscriptions and connections.
	clientsAddedAt time.Time
	steady         bool
	hot            string
	// minBodySize is the minimum length of a publication's body, in bytes.
	minBodySize int
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

func newTopicWorld(size Shape) *topicState {
	topics := boards(size.Clients * 2 / 3)
	for number := range 3 {
		topics = append(topics, fmt.Sprintf("halt.%d", number))
	}
	topics = append(topics, "halt.kept.0", "halt.kept.1", "board.live.0", "board.live.1")
	return &topicState{topics: topics, removedRoutes: map[string]bool{}}
}

// Some topics receive publications for a short time only, one topic after the other. The
// last message of such a topic has no successor that would reveal its loss.
const (
	onceCount = 6
	onceFor   = 2500 * time.Millisecond
)

func onceTopic(number int) string { return fmt.Sprintf("board.once.%d", number) }

// currentOnceTopic returns the short-lived topic that receives publications at present, or "".
func (s *Simulation) currentOnceTopic() string {
	number := int(s.Now.Sub(s.world.clientsAddedAt) / onceFor)
	if s.world.clientsAddedAt.IsZero() || number >= onceCount {
		return ""
	}
	return onceTopic(number)
}

// routes lists the routes of the current configuration.
func (tw *topicState) routes() []topicRoute {
	routes := slices.Clone(topicRoutes)
	for _, each := range temporaryRoutes {
		if !tw.removedRoutes[each.prefix] {
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

// saveCursor keeps a random sample of the cursors that clients receive, for resumeSavedCursors.
func (s *Simulation) saveCursor(each *topicSubscription) {
	world := s.world
	if each.entry == nil || each.entry.Ended() || each.cursor == "" {
		return
	}
	world.cursorCount++
	saved := checker.SavedCursor{Topic: each.topic, Cursor: each.cursor, After: each.after, At: s.Now}
	if each.topic == world.hot {
		// Only the first three cursors of the hot topic are saved. Each of them is resumed by a
		// different client, possibly at a different gateway.
		if len(world.hotCursors) < 3 {
			world.hotCursors = append(world.hotCursors, saved)
		}
		return
	}
	if len(world.savedCursors) < maxSaved {
		world.savedCursors = append(world.savedCursors, saved)
	} else if index := s.Random.IntN(world.cursorCount); index < maxSaved {
		world.savedCursors[index] = saved
	}
}

// prepareTopics starts a fleet whose configuration has routes.
func prepareTopics(seed uint64, size Shape, clockSkew time.Duration, trace func(line string)) (*Simulation, *Operator) {
	simulation := New(seed, size)
	simulation.world = newTopicWorld(size)
	for _, each := range append(slices.Clone(topicRoutes), temporaryRoutes...) {
		simulation.Checker.DefineRoute(each.prefix, each.durable, checker.HoldingTime)
	}
	operator := simulation.startFleet(clockSkew, trace)
	simulation.probe()
	return simulation, operator
}

// AddTopicClients adds the usual clients of routed topics with their periodic actions, and for
// each of the first three gateways a client that always connects to it.
func (s *Simulation) AddTopicClients(count int) {
	s.world.clientsAddedAt = s.Now
	for number := range count {
		client := s.AddTopicClient(fmt.Sprintf("caller-%d", number), number%s.Shape.Zones)
		client.startActivity(number)
	}
	for number, node := range s.Nodes(membership.KindGateway)[:3] {
		client := s.AddTopicClient(fmt.Sprintf("prober-%d", number), node.Zone)
		client.fixedGateway, client.ignoreRejections = node, true
		client.useTemporaryRoutes()
	}
}

// startActivity gives a client its topics and starts its periodic actions.
func (tc *TopicClient) startActivity(number int) {
	simulation := tc.simulation
	topics := simulation.world.topics
	for range 3 + number%2 {
		topic := topics[simulation.Random.IntN(len(topics))]
		tc.topics[topic] = &topicSubscription{topic: topic}
	}
	if number%4 == 3 {
		tc.pipeline = 8
	}
	once := onceTopic(number % onceCount)
	tc.topics[once] = &topicSubscription{topic: once}
	tc.publishPeriodically(180 * time.Millisecond)
	if hot := simulation.world.hot; hot != "" {
		// Few clients subscribe, so that most gateways have no subscriber of the hot topic.
		if number < 2 {
			tc.topics[hot] = &topicSubscription{topic: hot}
		}
		if number == 3 {
			tc.publishContinuously(hot)
		}
	}
	tc.changePeriodically()
}

// publishContinuously makes the client publish on one topic every 30 ms, unless its pipeline is full.
func (tc *TopicClient) publishContinuously(topic string) {
	tc.simulation.After(30*time.Millisecond, func() {
		if tc.Closed || tc.stopped {
			return
		}
		tc.publish(topic)
		tc.publishContinuously(topic)
	})
}

// publishPeriodically makes the client publish on random topics, sometimes in bursts.
func (tc *TopicClient) publishPeriodically(every time.Duration) {
	simulation := tc.simulation
	simulation.After(every/2+simulation.between(0, every), func() {
		if tc.Closed || tc.stopped {
			return
		}
		topics := simulation.world.topics
		topic := topics[simulation.Random.IntN(len(topics))]
		if once := simulation.currentOnceTopic(); once != "" && simulation.Random.IntN(10) == 0 {
			topic = once
		}
		burst := 1
		if tc.pipeline > 1 && simulation.Random.IntN(3) == 0 {
			burst = 1 + simulation.Random.IntN(tc.pipeline)
		}
		for range burst {
			tc.publish(topic)
		}
		tc.publishPeriodically(every)
	})
}

// changePeriodically makes the client subscribe and unsubscribe, request subscriber counts, and
// disconnect for a while.
func (tc *TopicClient) changePeriodically() {
	simulation := tc.simulation
	simulation.After(simulation.between(500*time.Millisecond, 2500*time.Millisecond), func() {
		if tc.Closed || tc.stopped {
			return
		}
		tc.changePeriodically()
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
				if !each.unsubscribing {
					held = append(held, name)
				}
			}
			if len(held) > 2 {
				tc.dropTopic(held[simulation.Random.IntN(len(held))])
			}
			tc.addTopic(topic)
		case 2:
			if tc.connected {
				tc.DisconnectFor(simulation.Random.IntN(2) == 0, simulation.between(300*time.Millisecond, 8*time.Second))
			}
		default:
			tc.requestCount(topic)
		}
	})
}

// useTemporaryRoutes makes a client with a fixed gateway use topics whose route was just added or
// removed, or never existed.
func (tc *TopicClient) useTemporaryRoutes() {
	simulation := tc.simulation
	simulation.After(simulation.between(100*time.Millisecond, 500*time.Millisecond), func() {
		if tc.Closed || tc.stopped {
			return
		}
		tc.useTemporaryRoutes()
		topics := []string{"guest.a", "guest.b", "flash.a", "nowhere.a"}
		topic := topics[simulation.Random.IntN(len(topics))]
		switch simulation.Random.IntN(4) {
		case 0:
			tc.requestCount(topic)
		case 1:
			if present, found := tc.topics[topic]; found && simulation.Random.IntN(3) == 0 || found && present.entry != nil && present.entry.Ended() {
				tc.dropTopic(topic)
			} else {
				tc.addTopic(topic)
			}
		default:
			tc.publish(topic)
		}
	})
}

// RunTopics runs a schedule with clients of routed topics.
func RunTopics(seed uint64, size Shape, schedule TopicSchedule, trace func(line string)) *Simulation {
	simulation, operator := prepareTopics(seed, size, schedule.ClockSkew, trace)
	simulation.world.steady, simulation.world.hot = schedule.Steady, schedule.Hot
	simulation.AddTopicClients(size.Clients)
	simulation.Run(2 * time.Second)
	if schedule.Changes {
		operator.runUntil(simulation.Now.Add(topicScenarioLength + 20*time.Second))
	}
	simulation.lastFaultAt = simulation.Now.Add(-checker.FaultSettleTime)
	simulation.trace("storm: %s; last %s", faults.Format(schedule.Faults), schedule.Last)
	for _, fault := range schedule.Faults {
		simulation.After(fault.Start, func() { simulation.inject(fault) })
	}
	simulation.Run(topicScenarioLength)
	if !simulation.RunUntil(60*time.Second, func() bool { return simulation.activeFaults == 0 }) {
		simulation.Checker.Violate(checker.NotRecovered, "a fault has not ended after a minute")
	}
	if len(schedule.Faults) > 0 {
		simulation.Run(checker.FaultSettleTime + 4*time.Second)
	}
	if schedule.Last != "" {
		simulation.injectClosingFault(schedule.Last)
		simulation.Run(checker.FaultSettleTime + 2*time.Second)
	}
	simulation.finishTopics()
	return simulation
}

// TopicSchedule is the schedule of a run with routed topics. Last names the fault that ends the
// run, if any; Changes says that the operator changes the configuration during the run.
// ClockSkew is the maximum deviation of the machines' wall clocks.
type TopicSchedule struct {
	Faults    []faults.Fault
	Last      string
	ClockSkew time.Duration
	Changes   bool
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

// injectClosingFault injects the fault that ends a run, as soon as a configuration and a message after
// it were acknowledged.
func (s *Simulation) injectClosingFault(name string) {
	s.trace("closing fault: %s", name)
	s.activeFaults++
	taken := false
	s.operator.putNext(func() { taken = true })
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

// finishTopics ends publications, lets new clients resume from saved cursors, and runs the
// checks that need the end of a run.
func (s *Simulation) finishTopics() {
	s.Run(2 * time.Second)
	for _, client := range s.topicClients {
		client.stopped = true
	}
	s.Run(2 * time.Second)
	// Disconnected clients reconnect, so that they receive the messages that they have missed.
	for _, client := range s.topicClients {
		client.stopped = true
		if client.fixedGateway != nil {
			client.leave()
		} else if !client.connected && !client.Closed {
			client.schedule(0)
		}
	}
	s.Run(2 * time.Second)
	s.Checker.CheckAllDelivered(s.Now)
	s.resumeSavedCursors("taker")
	reads := s.operator.reads
	for number := range 8 {
		s.After(time.Duration(number)*500*time.Millisecond, s.operator.read)
	}
	s.Run(4 * time.Second)
	if s.operator.reads == reads {
		s.Checker.Violate(checker.StaleRead, "the configuration can't be read at the end of the run")
	}
	for _, client := range s.topicClients {
		if !client.Closed && !client.allConfirmed() {
			s.Checker.Violate(checker.NotRecovered, "%s is not served at the end of the run", client.Name)
		}
	}
	s.traceFinalState()
	s.Checker.Close(s.Now)
}

// resumeSavedCursors adds clients, with names that begin with prefix, which resume from the saved cursors.
func (s *Simulation) resumeSavedCursors(prefix string) {
	random := rand.New(rand.NewPCG(s.Seed, 0x7a4e))
	saved := slices.Clone(s.world.savedCursors)
	random.Shuffle(len(saved), func(left, right int) { saved[left], saved[right] = saved[right], saved[left] })
	saved = append(slices.Clone(s.world.hotCursors), saved...)
	var clients []*TopicClient
	for position := range saved {
		cursor := saved[position]
		if s.world.removedRoutes[s.temporaryPrefixOf(cursor.Topic)] {
			continue
		}
		chosen := slices.IndexFunc(clients, func(client *TopicClient) bool {
			_, found := client.topics[cursor.Topic]
			return !found && len(client.topics) < maxCursorsPerClient
		})
		if chosen < 0 {
			chosen = len(clients)
			clients = append(clients, s.AddTopicClient(fmt.Sprintf("%s-%d", prefix, chosen), chosen%s.Shape.Zones))
		}
		client := clients[chosen]
		client.stopped = true
		client.topics[cursor.Topic] = &topicSubscription{
			topic: cursor.Topic, cursor: cursor.Cursor, after: cursor.After, entry: s.Checker.Subscribing(client.Name, cursor.Topic, &cursor),
		}
	}
}

// temporaryPrefixOf returns the prefix in temporaryRoutes that matches a topic, or "".
func (s *Simulation) temporaryPrefixOf(topic string) string {
	for _, each := range temporaryRoutes {
		if len(topic) > len(each.prefix) && topic[:len(each.prefix)] == each.prefix {
			return each.prefix
		}
	}
	return ""
}

// changeRoute removes a route of temporaryRoutes from the configuration, or restores it.
func (s *Simulation) changeRoute(prefix string, absent bool, done func()) {
	s.world.removedRoutes[prefix] = absent
	s.operator.putNext(done)
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
			client.publishPeriodically(time.Second)
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
		prefix := temporaryRoutes[fault.Pick%uint64(len(temporaryRoutes))].prefix
		if simulation.world.removedRoutes[prefix] {
			end()
			return
		}
		simulation.changeRoute(prefix, true, func() {})
		simulation.After(4*time.Second+fault.Length, func() {
			simulation.changeRoute(prefix, false, func() {})
			simulation.After(4*time.Second, end)
		})
	},
}

// drawTopicSchedule draws the schedule of a seed.
func drawTopicSchedule(seed uint64, names []string, count int) TopicSchedule {
	random := rand.New(rand.NewPCG(seed, 0x70b1))
	schedule := TopicSchedule{Faults: faults.Draw(random, names, topicScenarioLength, count), Changes: true}
	last := append(slices.Clone(TopicClosingFaults), faults.Closing...)
	if random.IntN(2) == 0 {
		schedule.Last = last[random.IntN(len(last))]
	}
	if random.IntN(4) == 0 {
		schedule.ClockSkew = 3 * time.Hour
	}
	return schedule
}

func pairTopicSchedule(seed uint64) TopicSchedule {
	pair := drawPair(rand.New(rand.NewPCG(seed, 0x9a14)))
	return drawTopicSchedule(seed, pair[:], 4)
}

// topicScenarios lists the runs with routed topics.
func topicScenarios() []Scenario {
	found := []Scenario{
		{Name: "topics-calm", Topics: func(uint64) TopicSchedule { return TopicSchedule{} }},
		{Name: "topics-configurations", Topics: func(uint64) TopicSchedule { return TopicSchedule{Changes: true} }},
		{Name: "topics-pairs", Topics: pairTopicSchedule},
		{Name: "topics-storm", Topics: func(seed uint64) TopicSchedule { return drawTopicSchedule(seed, faults.Names, 8) }},
	}
	found = append(found, Scenario{Name: "topics-steady", Topics: func(seed uint64) TopicSchedule {
		schedule := drawTopicSchedule(seed, []string{"relink", "cut-one-way", "restart-gateway", "loss"}, 8)
		schedule.Last, schedule.Steady, schedule.Changes = "", true, false
		return schedule
	}})
	found = append(found, Scenario{Name: "topics-hot", Topics: func(seed uint64) TopicSchedule {
		schedule := drawTopicSchedule(seed, []string{"resets", "kill-store", "freeze-store", "vanish", "restart-gateway", "slow-daemon"}, 6)
		schedule.Last, schedule.Hot = "", "board.hot"
		return schedule
	}})
	found = append(found, Scenario{Name: "topics-held-links", Topics: func(uint64) TopicSchedule {
		return TopicSchedule{Faults: []faults.Fault{{Name: "held-links", Start: 2 * time.Second, Length: 10 * time.Second}}}
	}})
	for _, name := range faults.Names {
		found = append(found, Scenario{Name: "topics-" + name, Topics: func(seed uint64) TopicSchedule { return drawTopicSchedule(seed, []string{name}, 3) }})
	}
	for _, name := range append(slices.Clone(TopicClosingFaults), faults.Closing...) {
		found = append(found, Scenario{Name: "topics-last-" + name, Topics: func(uint64) TopicSchedule { return TopicSchedule{Last: name} }})
	}
	return found
}
