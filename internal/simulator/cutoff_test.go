// One machine of the control side, or the smaller half of a split, is cut off for
// twenty seconds: from the other machines of control and state only, or from
// everybody; both ways, or one way. Operators go on asking it all along, also with
// races and with a change on its way as it comes back.
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
	cutLength = 20 * time.Second
	// askEvery is how often the operator asks the machine that is cut off.
	askEvery = 900 * time.Millisecond
	// silenceBorne is how long the users' operator waits for an answer.
	silenceBorne = time.Second
	// contactWithin is the bound by which a machine is back in touch.
	contactWithin = 4 * time.Second
	// takenOverWithin is by when another controller serves after a cut.
	takenOverWithin = 6 * time.Second
)

// severance is one way of being cut off.
type severance struct {
	position string
	// reach is whom the machine has lost: "core" are controllers and stores, "all"
	// everybody.
	reach string
	// direction is "both", "out" (nothing it says arrives) or "in" (it hears nothing).
	direction string
}

func (s severance) String() string { return s.position + " from " + s.reach + ", " + s.direction }

func severances() []severance {
	var all []severance
	for _, position := range []string{"leader", "backup", "witness", "standby", "seed", "minority"} {
		for _, direction := range []string{"both", "out", "in"} {
			all = append(all, severance{position: position, reach: "core", direction: direction})
		}
		all = append(all, severance{position: position, reach: "all", direction: "both"})
	}
	for _, direction := range []string{"both", "out", "in"} {
		all = append(all, severance{position: "edge", reach: "core", direction: direction})
	}
	return append(all, severance{position: "edge", reach: "all", direction: "both"})
}

// inside names the machines that are cut off; the first is asked by operators.
func (s severance) inside(simulation *Simulation) []*Node {
	record := simulation.Primary().watch().Record()
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
		return []*Node{simulation.byPort[simulation.seeds[0]]}
	case "minority":
		return []*Node{leader, standby}
	}
	return []*Node{simulation.Node("gateway-1"), simulation.Node("agent-1")}
}

// cut cuts the machines off, and gives what mends it.
func (s severance) cut(simulation *Simulation, inside []*Node) (mend func()) {
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

// asked is one order or question at the machine that is cut off, and its answer.
type asked struct {
	at, took time.Duration
	method   string
	races    bool
	status   int
	retry    time.Duration
	body     string
}

func (a asked) String() string {
	return fmt.Sprintf("%s at %s answered %d after %s: %s", a.method, a.at, a.status, a.took, a.body)
}

// questioner asks one machine all along, one order after another.
type questioner struct {
	simulation *Simulation
	operator   *Operator
	node       *Node
	began      time.Time
	until      time.Time
	count      int
	answers    []asked
}

// heard keeps what the operator was told.
func (q *questioner) heard(method string, began time.Time, races bool, response membership.ControlResponse) asked {
	answer := asked{
		at: began.Sub(q.began), took: q.simulation.Now.Sub(began), method: method, races: races,
		status: response.Status, retry: response.RetryAfter, body: string(response.Body),
	}
	q.answers = append(q.answers, answer)
	return answer
}

func (q *questioner) ask() {
	simulation := q.simulation
	if simulation.Now.After(q.until) {
		return
	}
	began := simulation.Now
	next := func() { simulation.After(max(0, askEvery-simulation.Now.Sub(began)), q.ask) }
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
	q.operator.order(q.node, version, body, func(_ checker.OrderAnswer, response membership.ControlResponse, _ bool) {
		switch answer := q.heard(http.MethodPut, began, races, response); {
		case answer.status == http.StatusOK:
			simulation.Checker.ConfigurationAccepted(version, string(body), began, simulation.Now)
			next()
		case races:
			next()
		default:
			// As the users' operator, it goes on to others with the same order.
			q.operator.put(version, body, next)
		}
	})
}

func (q *questioner) read(next func()) {
	simulation, began := q.simulation, q.simulation.Now
	simulation.Control(q.node, http.MethodGet, "/v1/configuration", nil, func(response membership.ControlResponse, _ bool) {
		if q.heard(http.MethodGet, began, false, response).status == http.StatusOK {
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

// cutOff plays one severance and gives what the operator saw.
func cutOff(t trial, each severance, seed uint64) []asked {
	t.Helper()
	simulation, operator := Prepare(8000+seed, seeded(5, 1), nil)
	simulation.Crowd(4)
	simulation.Run(2 * time.Second)
	simulation.lastFaultAt = simulation.Now.Add(cutLength + contactWithin)
	old := simulation.watchDepartures()
	inside := each.inside(simulation)
	asking := &questioner{simulation: simulation, operator: operator, node: inside[0], began: simulation.Now}
	asking.until = simulation.Now.Add(cutLength + contactWithin + 8*time.Second)
	mend := each.cut(simulation, inside)
	simulation.every(cutLength, 200*time.Millisecond, 400*time.Millisecond, operator.read)
	simulation.After(300*time.Millisecond, asking.ask)
	simulation.Run(takenOverWithin)
	each.judgeGateways(t, simulation, inside, true)
	simulation.Run(cutLength - takenOverWithin)
	each.judgeGateways(t, simulation, inside, true)
	mend()
	simulation.Run(contactWithin)
	each.judgeGateways(t, simulation, inside, false)
	simulation.Run(8 * time.Second)
	simulation.WaitUntilStable(10 * time.Second)
	assert.Check(t, len(*old) == 0, "%s, seed %d: %v", each, seed, *old)
	for _, line := range simulation.Checker.Violations() {
		assert.Check(t, false, "%s, seed %d: %s", each, seed, line)
	}
	return asking.answers
}

// judgeGateways looks at readiness: a gateway out of touch is not ready and holds
// delivery, all others are ready, and all are once they are in touch again.
func (s severance) judgeGateways(t trial, simulation *Simulation, inside []*Node, cut bool) {
	t.Helper()
	for _, node := range simulation.Nodes(membership.KindGateway) {
		lost := cut && slices.Contains(inside, node)
		assert.Check(t, node.Ready() == !lost, "%s: %s ready %v at %s", s, node.Name, node.Ready(), simulation.Now.Sub(simulation.started))
		assert.Check(t, !lost || !node.Gateway().Confirmed(node.local()), "%s: %s trusts its configuration", s, node.Name)
	}
}

// judgeAnswers holds what the operator was told against the rules.
func judgeAnswers(t trial, each severance, seed uint64, answers []asked) {
	t.Helper()
	confirmed := 0
	for _, answer := range answers {
		refuses := answer.status != http.StatusOK && answer.status != http.StatusServiceUnavailable
		assert.Check(t, !refuses || answer.races && answer.status == http.StatusConflict, "%s, seed %d: %s", each, seed, answer)
		assert.Check(t, answer.status != http.StatusServiceUnavailable || answer.retry > 0 && answer.took <= silenceBorne, "%s, seed %d: %s", each, seed, answer)
		inTouch := answer.at > cutLength+contactWithin
		assert.Check(t, !inTouch || answer.status == http.StatusOK || answer.races, "%s, seed %d, in touch again: %s", each, seed, answer)
		if answer.at > takenOverWithin && answer.at < cutLength-silenceBorne && answer.status == http.StatusOK {
			confirmed++
		}
	}
	if each.reach == "core" {
		assert.Check(t, confirmed >= 4, "%s, seed %d: only %d answers were passed on: %v", each, seed, confirmed, answers)
	}
}

func TestAMachineThatIsCutOff(t *testing.T) {
	for _, each := range severances() {
		t.Run(each.String(), func(t *testing.T) {
			t.Parallel()
			judgeAnswers(t, each, 0, cutOff(t, each, 0))
		})
	}
}
