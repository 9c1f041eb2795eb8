// The grown shape: many gateways on links with little bandwidth, with clients whose
// messages take the same share of a link as on the users' grown deployment. It measures the
// traffic of the gateways' links, by kind of message, after all machines lost power.

package simulator

import (
	"fmt"
	"strings"
	"time"

	"dahlialock/internal/checker"
	"dahlialock/internal/membership"
)

// Grown is a scaled-down model of the users' grown deployment: the number of clients per
// gateway and the bandwidth of its link are reduced by the same factor.
var Grown = Shape{
	Gateways: 12, Stores: 5, Controllers: 5, Zones: 3, Clients: 480, Delay: 500 * time.Microsecond, Tolerance: 2, Seeded: true,
	Links: map[string]Bandwidth{
		membership.KindGateway:    {Up: grownLinkRate, Down: grownLinkRate},
		membership.KindStore:      {Up: 75_000_000, Down: 75_000_000},
		membership.KindController: {Up: 125_000_000, Down: 125_000_000},
	},
}

const (
	// clientsPerLink is the number of clients on a link of 2.6 Mbit/s on the grown
	// deployment. grownLinkRate is the bandwidth of a simulated gateway's link in bytes per
	// second, for forty clients.
	clientsPerLink = 107
	grownLinkRate  = 2_600_000 / 8 * 40 / clientsPerLink
	// grownBodySize is the size in bytes of a publication's body.
	grownBodySize = 700
	// grownPublishInterval is the mean interval at which a client publishes, and
	// grownTopicInterval the mean interval at which it replaces one of its topics.
	grownPublishInterval = 7300 * time.Millisecond
	grownTopicInterval   = 20 * time.Second
	// Durations of the parts of a run: before the power loss, without power, and after it.
	grownBefore = 8 * time.Second
	grownDown   = 940 * time.Millisecond
	grownAfter  = 12 * time.Second
	// grownGatewayStartTime is the time within which gateways start again. grownNewClientsAt
	// is the time after the return of power at which new clients subscribe with the saved
	// cursors of others.
	grownGatewayStartTime = 800 * time.Millisecond
	grownNewClientsAt     = 600 * time.Millisecond
	// grownReconnectTime is the time after the return of power within which most clients reconnect.
	grownReconnectTime = 3 * time.Second
)

// Service counts the requests that clients made in one second of a run, and how many of
// them were served in time.
type Service struct {
	Requested, Served int
}

// GrownResult is the result of a run of the grown shape.
type GrownResult struct {
	Simulation *Simulation
	// Before and After have an element for each second from the start of the traffic, and
	// from the return of power.
	Before, After []Service
	// Calm is the traffic of the gateways in the last CalmSpan before the power loss,
	// Recovery that in the first RecoverySpan after the return of power.
	Calm, Recovery         []KindTraffic
	CalmSpan, RecoverySpan time.Duration
	// LoadImbalance is, for each second after the return of power, the ratio of the largest
	// number of clients on a gateway to the mean.
	LoadImbalance []float64
	// Rejected counts the requests that were rejected after the return of power,
	// RejectedLater those of them from the fourth second on.
	Rejected, RejectedLater int
}

// RunGrown runs the grown shape. In the middle of the run all machines lose power, and then
// start again.
func RunGrown(seed uint64, size Shape, trace func(line string)) *GrownResult {
	simulation, _ := prepareTopics(seed, size, 0, trace)
	simulation.world.minBodySize, simulation.world.steady = grownBodySize, true
	simulation.world.topics = boards(size.Clients * 5 / 3)
	for number := range size.Clients {
		client := simulation.AddTopicClient(fmt.Sprintf("caller-%d", number), number%size.Zones)
		client.ignoreRejections = true
		client.subscribeRandomTopics(3)
	}
	simulation.Run(4 * time.Second)
	for _, client := range simulation.topicClients {
		client.generateLoad()
	}
	start := simulation.Now
	simulation.Run(grownBefore / 2)
	simulation.ResetTraffic()
	simulation.Run(grownBefore / 2)
	result := &GrownResult{Simulation: simulation, Calm: simulation.Traffic(membership.KindGateway), CalmSpan: grownBefore / 2, RecoverySpan: grownAfter / 2}
	simulation.losePower()
	simulation.Run(grownDown)
	simulation.ResetTraffic()
	restart := simulation.Now
	rejectedBefore := simulation.rejectedRequests()
	for _, node := range simulation.Nodes("") {
		simulation.After(simulation.between(0, startSpread(node)), node.Start)
	}
	simulation.After(grownNewClientsAt, func() { simulation.resumeSavedCursors("early") })
	rejectedEarly := 0
	for second := range int(grownAfter / time.Second) {
		simulation.Run(time.Second)
		if time.Duration(second+1)*time.Second == grownReconnectTime {
			rejectedEarly = simulation.rejectedRequests()
		}
		result.LoadImbalance = append(result.LoadImbalance, simulation.loadImbalance())
		if time.Duration(second+1)*time.Second == grownAfter/2 {
			result.Recovery = simulation.Traffic(membership.KindGateway)
		}
	}
	result.Rejected, result.RejectedLater = simulation.rejectedRequests()-rejectedBefore, simulation.rejectedRequests()-rejectedEarly
	simulation.activeFaults--
	simulation.lastFaultAt = simulation.Now
	simulation.finishTopics()
	result.Before = simulation.world.service(start, grownBefore)
	result.After = simulation.world.service(restart, grownAfter)
	return result
}

// startSpread is the time within which the machines of a kind start again. Gateways start
// one after another, and the first ones that listen receive the clients of all.
func startSpread(node *Node) time.Duration {
	if node.Kind == membership.KindGateway {
		return grownGatewayStartTime
	}
	return 300 * time.Millisecond
}

// loadImbalance returns the ratio of the largest number of clients on a gateway to the mean.
func (s *Simulation) loadImbalance() float64 {
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

// rejectedRequests counts the requests that the gateways have rejected since their last start.
func (s *Simulation) rejectedRequests() int {
	count := 0
	for _, node := range s.Nodes(membership.KindGateway) {
		if node.Up {
			count += int(node.Gateway().Counts.RejectedRequests)
		}
	}
	return count
}

// losePower kills all daemons at the same time.
func (s *Simulation) losePower() {
	s.trace("all power is lost")
	s.activeFaults++
	for _, node := range s.Nodes("") {
		node.Kill()
	}
	for _, each := range s.nics {
		each.up.free, each.down.free = s.Now, s.Now
	}
}

// subscribeRandomTopics lets a client subscribe to up to count random topics.
func (tc *TopicClient) subscribeRandomTopics(count int) {
	topics := tc.simulation.world.topics
	for range count {
		topic := topics[tc.simulation.Random.IntN(len(topics))]
		tc.topics[topic] = &topicSubscription{topic: topic}
	}
}

// generateLoad lets a client publish, and replace topics, at times that do not depend on the
// responses, so that slow responses do not reduce the load.
func (tc *TopicClient) generateLoad() {
	simulation := tc.simulation
	simulation.After(simulation.between(0, grownPublishInterval), tc.generatePublications)
	simulation.After(simulation.between(0, grownTopicInterval), tc.generateTopicChanges)
}

// generatePublications publishes on a random topic, and repeats itself.
func (tc *TopicClient) generatePublications() {
	simulation, world := tc.simulation, tc.simulation.world
	if tc.stopped {
		return
	}
	simulation.After(grownPublishInterval/2+simulation.between(0, grownPublishInterval), tc.generatePublications)
	topic := world.topics[simulation.Random.IntN(len(world.topics))]
	world.demands = append(world.demands, demand{at: simulation.Now, served: tc.publishOn(topic)})
}

// publishOn publishes on a topic, and returns a function that reports whether the publication
// was accepted in time.
func (tc *TopicClient) publishOn(topic string) func() bool {
	tc.pipeline = 8
	if len(tc.outbox[topic]) >= tc.pipeline {
		return func() bool { return false }
	}
	item := &pendingPost{topic: topic, requestedAt: tc.simulation.Now, acceptedAt: &time.Time{}}
	wanted, acceptedAt := item.requestedAt, item.acceptedAt
	tc.outbox[topic] = append(tc.outbox[topic], item)
	tc.sendPending(topic)
	return func() bool { return !acceptedAt.IsZero() && acceptedAt.Sub(wanted) <= topicDeadline }
}

// generateTopicChanges replaces one of the client's topics by a random one, and repeats itself.
func (tc *TopicClient) generateTopicChanges() {
	simulation, world := tc.simulation, tc.simulation.world
	if tc.stopped {
		return
	}
	simulation.After(grownTopicInterval/2+simulation.between(0, grownTopicInterval), tc.generateTopicChanges)
	tc.dropTopic(firstTopic(tc.topics))
	topic := world.topics[simulation.Random.IntN(len(world.topics))]
	tc.addTopic(topic)
	present, wanted := tc.topics[topic], simulation.Now
	world.demands = append(world.demands, demand{at: wanted, served: func() bool {
		return present != nil && !present.confirmedAt.IsZero() && present.confirmedAt.Sub(wanted) <= topicDeadline
	}})
}

// firstTopic returns the first of a client's topics in alphabetical order.
func firstTopic(topics map[string]*topicSubscription) string {
	first := ""
	for name := range topics {
		if first == "" || name < first {
			first = name
		}
	}
	return first
}

// demand is a publication or subscription that a client requested.
type demand struct {
	at     time.Time
	served func() bool
}

// service counts, for each second of span after from, the demands and those that were
// served.
func (tw *topicState) service(from time.Time, span time.Duration) []Service {
	found := make([]Service, span/time.Second)
	for _, each := range tw.demands {
		second := int(each.at.Sub(from) / time.Second)
		if each.at.Before(from) || second >= len(found) {
			continue
		}
		found[second].Requested++
		if each.served() {
			found[second].Served++
		}
	}
	return found
}

// FormatShares formats the share of the demands that was served in each second.
func FormatShares(seconds []Service) string {
	var texts []string
	for _, each := range seconds {
		texts = append(texts, fmt.Sprintf("%.2f", float64(each.Served)/float64(max(1, each.Requested))))
	}
	return strings.Join(texts, " ")
}

// Lost lists the checker's findings of publications that were acknowledged and then lost.
func (r *GrownResult) Lost() []string {
	var lost []string
	for _, line := range r.Simulation.Checker.Violations() {
		if strings.HasPrefix(line, checker.Lost+": ") {
			lost = append(lost, line)
		}
	}
	return lost
}

// TrafficTable formats traffic by kind of message as a table, per gateway and second.
func TrafficTable(kinds []KindTraffic, gateways int, span time.Duration) string {
	var text strings.Builder
	gatewaySeconds := float64(gateways) * span.Seconds()
	fmt.Fprintf(&text, "%-32s %9s %9s %9s %9s %8s %9s %9s\n", "kind", "out B/s", "out 1/s", "in B/s", "in 1/s", "dropped", "mean", "slowest")
	for _, kind := range kinds {
		fmt.Fprintf(&text, "%-32s %9.0f %9.1f %9.0f %9.1f %8d %9s %9s\n", kind.Kind, float64(kind.BytesOut)/gatewaySeconds, float64(kind.MessagesOut)/gatewaySeconds,
			float64(kind.BytesIn)/gatewaySeconds, float64(kind.MessagesIn)/gatewaySeconds, kind.Dropped,
			(kind.TotalDelay / time.Duration(max(1, kind.MessagesIn))).Round(100*time.Microsecond), kind.MaxDelay.Round(100*time.Microsecond))
	}
	return text.String()
}
