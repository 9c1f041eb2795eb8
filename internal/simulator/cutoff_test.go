// Network partitions that isolate one controller, the smaller half of the controllers, or a
// gateway with an agent, for twenty seconds: from controllers and stores only, or from all
// other machines; in both directions, or in one. An operator keeps sending requests to an
// isolated machine, also concurrently with another operator, and also while the links heal.
package simulator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/checker"
	"dahlialock/internal/membership"
)

const (
	isolationLength = 20 * time.Second
	// requestInterval is the interval of the operator's requests to the isolated machine.
	requestInterval = 900 * time.Millisecond
	// operatorTimeout is how long the users' operator waits for a response.
	operatorTimeout = time.Second
	// reconnectWithin is the time within which a machine is connected again after the heal.
	reconnectWithin = 4 * time.Second
	// failoverWithin is the time within which another controller serves after the links fail.
	failoverWithin = 6 * time.Second
)

// isolation is one kind of network partition around some machines.
type isolation struct {
	position string
	// reach says from which machines it is isolated: "core" means controllers and stores,
	// "all" means all other machines.
	reach string
	// direction says which messages are lost: "out" those that it sends, "in" those that are
	// sent to it, "both" all.
	direction string
}

func (s isolation) String() string { return s.position + " from " + s.reach + ", " + s.direction }

func isolations() []isolation {
	var all []isolation
	for _, position := range []string{"leader", "backup", "witness", "standby", "seed", "minority"} {
		for _, direction := range []string{"both", "out", "in"} {
			all = append(all, isolation{position: position, reach: "core", direction: direction})
		}
		all = append(all, isolation{position: position, reach: "all", direction: "both"})
	}
	for _, direction := range []string{"both", "out", "in"} {
		all = append(all, isolation{position: "edge", reach: "core", direction: direction})
	}
	return append(all, isolation{position: "edge", reach: "all", direction: "both"})
}

// inside returns the isolated machines. The operator sends its requests to the first.
func (s isolation) inside(simulation *Simulation) []*Node {
	record := simulation.Primary().consensusNode().Record()
	leader := simulation.Node(record.Primary)
	backup := simulation.Node(record.Backups[0])
	var witness, standby *Node
	for _, node := range simulation.Nodes(membership.KindController) {
		_, votes := record.VoterNamed(node.Name)
		switch {
		case !votes:
			standby = node
		case node != leader && node != backup:
			witness = node
		}
	}
	switch s.position {
	case "leader":
		return []*Node{leader}
	case "backup":
		return []*Node{backup}
	case "witness":
		return []*Node{witness}
	case "standby":
		return []*Node{standby}
	case "seed":
		return []*Node{simulation.byAddress[simulation.seeds[0]]}
	case "minority":
		return []*Node{leader, standby}
	}
	return []*Node{simulation.Node("gateway-1"), simulation.Node("agent-1")}
}

// isolate isolates the machines and returns a function that heals the links.
func (s isolation) isolate(simulation *Simulation, inside []*Node) (mend func()) {
	type pair struct{ from, to *Node }
	var pairs []pair
	for _, node := range inside {
		for _, other := range simulation.Nodes("") {
			core := other.Kind == membership.KindController || other.Kind == membership.KindStore
			if slices.Contains(inside, other) || s.reach == "core" && !core {
				continue
			}
			if s.direction != "in" {
				pairs = append(pairs, pair{node, other})
			}
			if s.direction != "out" {
				pairs = append(pairs, pair{other, node})
			}
		}
	}
	for _, each := range pairs {
		simulation.CutLink(each.from, each.to)
	}
	return func() {
		for _, each := range pairs {
			simulation.HealLink(each.from, each.to)
		}
	}
}

// operatorRequest is one request of the operator to the isolated machine, with its response.
type operatorRequest struct {
	at, took time.Duration
	method   string
	races    bool
	status   int
	retry    time.Duration
	body     string
}

func (a operatorRequest) String() string {
	return fmt.Sprintf("%s at %s: status %d after %s: %s", a.method, a.at, a.status, a.took, a.body)
}

// steadyOperator sends requests to one machine, one after another.
type steadyOperator struct {
	simulation *Simulation
	operator   *Operator
	node       *Node
	began      time.Time
	until      time.Time
	count      int
	answers    []operatorRequest
}

// record records the response to a request.
func (q *steadyOperator) record(method string, began time.Time, races bool, response membership.ControlResponse) operatorRequest {
	answer := operatorRequest{
		at: began.Sub(q.began), took: q.simulation.Now.Sub(began), method: method, races: races,
		status: response.Status, retry: response.RetryAfter, body: string(response.Body),
	}
	q.answers = append(q.answers, answer)
	return answer
}

func (q *steadyOperator) sendNext() {
	simulation := q.simulation
	if simulation.Now.After(q.until) {
		return
	}
	began := simulation.Now
	next := func() { simulation.After(max(0, requestInterval-simulation.Now.Sub(began)), q.sendNext) }
	q.count++
	if q.count%2 == 0 {
		q.read(next)
		return
	}
	q.operator.version++
	version, body := q.operator.version, q.operator.document()
	races := q.count%6 == 5
	if races {
		other := bytes.Replace(body, []byte(`"promise":"passing"`), []byte(`"promise":"passing","answer_within":"2s"`), 1)
		q.operator.put(version, other, nil)
	}
	q.operator.order(q.node, version, body, func(_ checker.OrderOutcome, response membership.ControlResponse, _ bool) {
		switch answer := q.record(http.MethodPut, began, races, response); {
		case answer.status == http.StatusOK:
			simulation.Checker.ConfigurationAccepted(version, string(body), began, simulation.Now)
			next()
		case races:
			next()
		default:
			// The users' operator, too, retries the same order at other machines.
			q.operator.put(version, body, next)
		}
	})
}

func (q *steadyOperator) read(next func()) {
	simulation, began := q.simulation, q.simulation.Now
	simulation.Control(q.node, http.MethodGet, "/v1/configuration", nil, func(response membership.ControlResponse, _ bool) {
		if q.record(http.MethodGet, began, false, response).status == http.StatusOK {
			var got struct {
				Version       uint64          `json:"version"`
				Configuration json.RawMessage `json:"configuration"`
			}
			must(json.Unmarshal(response.Body, &got))
			simulation.Checker.ReadBack(got.Version, string(got.Configuration), began, simulation.Now)
			simulation.Checker.Register.Read(got.Version, string(got.Configuration), began, simulation.Now)
		}
		next()
	})
}

// runIsolation runs a fleet with one kind of isolation and returns the operator's requests and responses.
func runIsolation(t trial, each isolation, seed uint64) []operatorRequest {
	t.Helper()
	simulation, operator := Prepare(8000+seed, seeded(5, 1), nil)
	simulation.AddDefaultClients(4)
	simulation.Run(2 * time.Second)
	simulation.lastFaultAt = simulation.Now.Add(isolationLength + reconnectWithin)
	old := simulation.recordSendsWithoutLease()
	inside := each.inside(simulation)
	asking := &steadyOperator{simulation: simulation, operator: operator, node: inside[0], began: simulation.Now}
	asking.until = simulation.Now.Add(isolationLength + reconnectWithin + 8*time.Second)
	mend := each.isolate(simulation, inside)
	simulation.every(isolationLength, 200*time.Millisecond, 400*time.Millisecond, operator.read)
	simulation.After(300*time.Millisecond, asking.sendNext)
	simulation.Run(failoverWithin)
	each.checkGateways(t, simulation, inside, true)
	simulation.Run(isolationLength - failoverWithin)
	each.checkGateways(t, simulation, inside, true)
	mend()
	simulation.Run(reconnectWithin)
	each.checkGateways(t, simulation, inside, false)
	simulation.Run(8 * time.Second)
	simulation.HealAndClose(10 * time.Second)
	assert.Check(t, len(*old) == 0, "%s, seed %d: %v", each, seed, *old)
	for _, line := range simulation.Checker.Violations() {
		assert.Check(t, false, "%s, seed %d: %s", each, seed, line)
	}
	return asking.answers
}

// checkGateways checks readiness: an isolated gateway is not ready and its configuration is
// not confirmed, so that it pauses delivery. All other gateways are ready.
func (s isolation) checkGateways(t trial, simulation *Simulation, inside []*Node, cut bool) {
	t.Helper()
	for _, node := range simulation.Nodes(membership.KindGateway) {
		lost := cut && slices.Contains(inside, node)
		assert.Check(t, node.Ready() == !lost, "%s: %s: ready is %v at %s", s, node.Name, node.Ready(), simulation.Now.Sub(simulation.started))
		assert.Check(t, !lost || !node.Gateway().Confirmed(node.localTime()), "%s: %s considers its configuration confirmed", s, node.Name)
	}
}

// checkResponses checks the responses to the operator: rejections only as unavailable, in
// time and with a retry delay, or as a conflict of concurrent orders; success after the
// heal; and forwarded responses while only the core is unreachable.
func checkResponses(t trial, each isolation, seed uint64, answers []operatorRequest) {
	t.Helper()
	confirmed := 0
	for _, answer := range answers {
		refuses := answer.status != http.StatusOK && answer.status != http.StatusServiceUnavailable
		assert.Check(t, !refuses || answer.races && answer.status == http.StatusConflict, "%s, seed %d: %s", each, seed, answer)
		assert.Check(t, answer.status != http.StatusServiceUnavailable || answer.retry > 0 && answer.took <= operatorTimeout, "%s, seed %d: %s", each, seed, answer)
		inTouch := answer.at > isolationLength+reconnectWithin
		assert.Check(t, !inTouch || answer.status == http.StatusOK || answer.races, "%s, seed %d, after reconnecting: %s", each, seed, answer)
		if answer.at > failoverWithin && answer.at < isolationLength-operatorTimeout && answer.status == http.StatusOK {
			confirmed++
		}
	}
	if each.reach == "core" {
		assert.Check(t, confirmed >= 4, "%s, seed %d: only %d requests were forwarded: %v", each, seed, confirmed, answers)
	}
}

func TestAMachineThatIsCutOff(t *testing.T) {
	for _, each := range isolations() {
		t.Run(each.String(), func(t *testing.T) {
			t.Parallel()
			checkResponses(t, each, 0, runIsolation(t, each, 0))
		})
	}
}
