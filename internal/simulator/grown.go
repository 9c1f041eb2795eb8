// The grown shape: many gateways on thin links, with callers whose messages take
// the share of a link that they take on the users' grown deployment. What its
// machines need after all of them lost power is seen here, by kind of message.

package simulator

import (
	"fmt"
	"strings"
	"time"

	"dahlialock/internal/checker"
	"dahlialock/internal/membership"
)

// Grown is a part of the users' grown deployment: the callers of a gateway and the
// bandwidth of its link are scaled alike.
var Grown = Shape{
	Gateways: 12, Stores: 5, Controllers: 5, Zones: 3, Clients: 480, Delay: 500 * time.Microsecond, Tolerance: 2, Seeded: true,
	Links: map[string]Bandwidth{
		membership.KindGateway:    {Up: grownLink, Down: grownLink},
		membership.KindStore:      {Up: 75_000_000, Down: 75_000_000},
		membership.KindController: {Up: 125_000_000, Down: 125_000_000},
	},
}

const (
	// callersOfLink is how many callers a link of 2.6 Mbit/s has on the grown
	// deployment, and grownLink the bytes a second of ours, for forty.
	callersOfLink = 107
	grownLink     = 2_600_000 / 8 * 40 / callersOfLink
	grownBody     = 700
	// grownEach is how often a caller sends, and grownChurn how often it takes up
	// another topic.
	grownEach  = 7300 * time.Millisecond
	grownChurn = 20 * time.Second
	// Spans of a run: before the loss, without power, and after it.
	grownBefore = 8 * time.Second
	grownDown   = 940 * time.Millisecond
	grownAfter  = 12 * time.Second
	// grownListens is the span in which gateways begin to listen again, grownTakers
	// when, after the return of power, new callers take up others' saved places.
	grownListens = 800 * time.Millisecond
	grownTakers  = 600 * time.Millisecond
	// grownCrowd is for how long after the return most callers come back.
	grownCrowd = 3 * time.Second
)

// Service is what callers wanted and got in one second of a run.
type Service struct {
	Wanted, Served int
}

// GrownResult is what came of a run of the grown shape.
type GrownResult struct {
	Simulation *Simulation
	// Before and After count by second, from the beginning of the traffic and from
	// the return of power.
	Before, After []Service
	// Calm and Recovery are the bytes by kind over gateways' links in the last
	// seconds before the loss and in the first after it.
	Calm, Recovery         []KindTraffic
	CalmSpan, RecoverySpan time.Duration
	// Fullest is, for each second after the return of power, the callers of the
	// fullest gateway over the mean; Refused counts what was refused, and RefusedLater
	// what was from the fourth second on.
	Fullest                []float64
	Refused, RejectedLater int
}

// RunGrown runs the grown shape: all power is lost in its midst, and comes back.
func RunGrown(seed uint64, size Shape, trace func(line string)) *GrownResult {
	simulation, _ := prepareTopics(seed, size, 0, trace)
	simulation.world.body, simulation.world.steady = grownBody, true
	simulation.world.topics = boards(size.Clients * 5 / 3)
	for number := range size.Clients {
		client := simulation.AddTopicClient(fmt.Sprintf("caller-%d", number), number%size.Zones)
		client.unjudged = true
		client.holdsTopics(3)
	}
	simulation.Run(4 * time.Second)
	for _, client := range simulation.topicClients {
		client.demands()
	}
	began := simulation.Now
	simulation.Run(grownBefore / 2)
	simulation.ForgetTraffic()
	simulation.Run(grownBefore / 2)
	result := &GrownResult{Simulation: simulation, Calm: simulation.Traffic(membership.KindGateway), CalmSpan: grownBefore / 2, RecoverySpan: grownAfter / 2}
	simulation.losePower()
	simulation.Run(grownDown)
	simulation.ForgetTraffic()
	back := simulation.Now
	refused := simulation.refusals()
	for _, node := range simulation.Nodes("") {
		simulation.After(simulation.between(0, startSpread(node)), node.Start)
	}
	simulation.After(grownTakers, func() { simulation.takeSaved("early") })
	soon := 0
	for second := range int(grownAfter / time.Second) {
		simulation.Run(time.Second)
		if time.Duration(second+1)*time.Second == grownCrowd {
			soon = simulation.refusals()
		}
		result.Fullest = append(result.Fullest, simulation.fullest())
		if time.Duration(second+1)*time.Second == grownAfter/2 {
			result.Recovery = simulation.Traffic(membership.KindGateway)
		}
	}
	result.Refused, result.RejectedLater = simulation.refusals()-refused, simulation.refusals()-soon
	simulation.open--
	simulation.lastFaultAt = simulation.Now
	simulation.closeTopics()
	result.Before = simulation.world.service(began, grownBefore)
	result.After = simulation.world.service(back, grownAfter)
	return result
}

// startSpread is the span in which the machines of a kind begin again. Gateways begin
// to listen one after another, and whoever listens is given the callers of all.
func startSpread(node *Node) time.Duration {
	if node.Kind == membership.KindGateway {
		return grownListens
	}
	return 300 * time.Millisecond
}

// fullest is how many callers the fullest gateway has over the mean.
func (s *Simulation) fullest() float64 {
	maximum, sum := 0, 0
	gateways := s.Nodes(membership.KindGateway)
	for _, node := range gateways {
		if node.Up {
			held := node.Gateway().Load().Sessions
			maximum, sum = max(maximum, held), sum+held
		}
	}
	return float64(maximum) * float64(len(gateways)) / float64(max(1, sum))
}

// refusals counts the requests that gateways refused so far, in their present lives.
func (s *Simulation) refusals() int {
	count := 0
	for _, node := range s.Nodes(membership.KindGateway) {
		if node.Up {
			count += int(node.Gateway().Counts.RejectedRequests)
		}
	}
	return count
}

// losePower ends every process at once.
func (s *Simulation) losePower() {
	s.trace("all power is lost")
	s.open++
	for _, node := range s.Nodes("") {
		node.Kill()
	}
	for _, each := range s.nics {
		each.up.free, each.down.free = s.Now, s.Now
	}
}

// holdsTopics has a caller hold a few topics.
func (tc *TopicClient) holdsTopics(count int) {
	topics := tc.simulation.world.topics
	for range count {
		topic := topics[tc.simulation.Random.IntN(len(topics))]
		tc.topics[topic] = &heldSubscription{topic: topic}
	}
}

// demands lets a caller send, and take up other topics, at moments that do not
// depend on how it is served.
func (tc *TopicClient) demands() {
	simulation := tc.simulation
	simulation.After(simulation.between(0, grownEach), tc.demandsSending)
	simulation.After(simulation.between(0, grownChurn), tc.demandsTopics)
}

func (tc *TopicClient) demandsSending() {
	simulation, world := tc.simulation, tc.simulation.world
	if tc.stopped {
		return
	}
	simulation.After(grownEach/2+simulation.between(0, grownEach), tc.demandsSending)
	topic := world.topics[simulation.Random.IntN(len(world.topics))]
	world.demands = append(world.demands, demand{at: simulation.Now, served: tc.wants(topic)})
}

// wants sends on a topic, and gives what tells whether it was taken in time.
func (tc *TopicClient) wants(topic string) func() bool {
	tc.pipeline = 8
	if len(tc.outbox[topic]) >= tc.pipeline {
		return func() bool { return false }
	}
	item := &posting{topic: topic, wanted: tc.simulation.Now, acceptedAt: &time.Time{}}
	wanted, acceptedAt := item.wanted, item.acceptedAt
	tc.outbox[topic] = append(tc.outbox[topic], item)
	tc.pump(topic)
	return func() bool { return !acceptedAt.IsZero() && acceptedAt.Sub(wanted) <= topicDeadline }
}

func (tc *TopicClient) demandsTopics() {
	simulation, world := tc.simulation, tc.simulation.world
	if tc.stopped {
		return
	}
	simulation.After(grownChurn/2+simulation.between(0, grownChurn), tc.demandsTopics)
	tc.drop(firstTopic(tc.topics))
	topic := world.topics[simulation.Random.IntN(len(world.topics))]
	tc.take(topic)
	present, wanted := tc.topics[topic], simulation.Now
	world.demands = append(world.demands, demand{at: wanted, served: func() bool {
		return present != nil && !present.heldAt.IsZero() && present.heldAt.Sub(wanted) <= topicDeadline
	}})
}

// firstTopic is the first of a caller's topics by name.
func firstTopic(topics map[string]*heldSubscription) string {
	first := ""
	for name := range topics {
		if first == "" || name < first {
			first = name
		}
	}
	return first
}

// demand is something that a caller wanted.
type demand struct {
	at     time.Time
	served func() bool
}

// service counts by second what was wanted from a moment on, and got.
func (tw *topicWorld) service(from time.Time, span time.Duration) []Service {
	found := make([]Service, span/time.Second)
	for _, each := range tw.demands {
		second := int(each.at.Sub(from) / time.Second)
		if each.at.Before(from) || second >= len(found) {
			continue
		}
		found[second].Wanted++
		if each.served() {
			found[second].Served++
		}
	}
	return found
}

// Shares tells the part that was served of each second.
func Shares(seconds []Service) string {
	var texts []string
	for _, each := range seconds {
		texts = append(texts, fmt.Sprintf("%.2f", float64(each.Served)/float64(max(1, each.Wanted))))
	}
	return strings.Join(texts, " ")
}

// Lost lists what was acknowledged and is missing.
func (r *GrownResult) Lost() []string {
	var lost []string
	for _, line := range r.Simulation.Checker.Violations() {
		if strings.HasPrefix(line, checker.Lost+": ") {
			lost = append(lost, line)
		}
	}
	return lost
}

// TrafficTable tells bytes by kind, for each gateway and second.
func TrafficTable(kinds []KindTraffic, gateways int, span time.Duration) string {
	var text strings.Builder
	each := float64(gateways) * span.Seconds()
	fmt.Fprintf(&text, "%-32s %9s %9s %9s %9s %8s %9s %9s\n", "kind", "out B/s", "out 1/s", "in B/s", "in 1/s", "dropped", "mean", "slowest")
	for _, kind := range kinds {
		fmt.Fprintf(&text, "%-32s %9.0f %9.1f %9.0f %9.1f %8d %9s %9s\n", kind.Kind, float64(kind.BytesOut)/each, float64(kind.MessagesOut)/each,
			float64(kind.BytesIn)/each, float64(kind.MessagesIn)/each, kind.Dropped,
			(kind.Took / time.Duration(max(1, kind.MessagesIn))).Round(100*time.Microsecond), kind.Slowest.Round(100*time.Microsecond))
	}
	return text.String()
}
