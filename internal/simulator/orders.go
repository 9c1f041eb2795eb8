// Concurrent orders: two or eight operators put configurations with the same version
// numbers at once, retry at other daemons after lost responses, repeat orders long after
// they were accepted, and retire two stores at a time, all while the primary fails over
// again and again.

package simulator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"dahlialock/internal/checker"
	"dahlialock/internal/membership"
)

// Timeouts and limits of operators that retry orders.
const (
	orderTimeout      = time.Second
	orderPause        = 100 * time.Millisecond
	maxOrderAttempts  = 40
	lostResponseRatio = 3 // one response out of this many is lost
	repeatWithin      = 12 * time.Second
)

// operatorGroup runs several operators at once and counts the outcomes of their orders.
type operatorGroup struct {
	simulation *Simulation
	operator   *Operator
	highest    uint64
	accepted   int
	refused    int
	// onAccepted, if not nil, is run once, right after the next order was acknowledged.
	onAccepted func()
}

func newOperatorGroup(simulation *Simulation) *operatorGroup {
	return &operatorGroup{simulation: simulation, operator: simulation.operator, highest: simulation.operator.version}
}

// document is the configuration that one operator puts as a version.
func (d *operatorGroup) document(version uint64, who int) []byte {
	body, err := json.Marshal(map[string]any{
		"version": version,
		"spaces": []any{
			spaceDocument{Name: "boards", Promise: "kept"}, spaceDocument{Name: "decisions", Promise: "kept", Order: "channel"},
			map[string]string{"name": "cursors", "promise": "passing", "answer_within": fmt.Sprintf("%dms", 2000+who)},
		},
	})
	must(err)
	return body
}

// attemptElsewhere runs attempt at a random daemon, and mostly avoids the one tried before.
func (d *operatorGroup) attemptElsewhere(before string, attempt func(node *Node)) {
	node := d.operator.anyNode()
	if node == nil || node.Name == before && d.simulation.Random.IntN(4) > 0 {
		d.simulation.After(orderPause, func() { d.attemptElsewhere("", attempt) })
		return
	}
	attempt(node)
}

// put retries an order until its outcome is known. After a lost response, a timeout or a
// temporary rejection it retries at another daemon.
func (d *operatorGroup) put(version uint64, body []byte, attempts int, before string) {
	simulation := d.simulation
	if attempts == 0 {
		return
	}
	d.attemptElsewhere(before, func(node *Node) {
		answered := false
		again := func() {
			if answered {
				return
			}
			answered = true
			simulation.After(orderPause*time.Duration(1+simulation.Random.IntN(maxOrderAttempts-attempts+3)), func() { d.put(version, body, attempts-1, node.Name) })
		}
		simulation.After(orderTimeout, again)
		d.order(node, version, body, func(answer checker.OrderOutcome) {
			switch {
			case answer == checker.Unclear:
				again()
			case answered:
			case answer == checker.Acknowledged:
				answered = true
				d.accepted++
				if inject := d.onAccepted; inject != nil {
					d.onAccepted = nil
					simulation.After(simulation.between(0, 4*time.Millisecond), inject)
				}
				if simulation.Random.IntN(2) == 0 {
					simulation.After(simulation.between(0, repeatWithin), func() { d.put(version, body, 3, "") })
				}
			default:
				answered = true
				d.refused++
			}
		})
	})
}

// order sends an order whose response may be lost.
func (d *operatorGroup) order(node *Node, version uint64, body []byte, done func(answer checker.OrderOutcome)) {
	simulation := d.simulation
	put := simulation.Checker.Register.Put(version, string(body), simulation.Now)
	simulation.Control(node, http.MethodPut, "/v1/configuration", body, func(response membership.ControlResponse, alive bool) {
		answer := checker.Unclear
		if alive && simulation.Random.IntN(lostResponseRatio) > 0 {
			answer = checker.OutcomeOf(response.Status, response.Body)
		}
		if answer == checker.Unclear && alive && response.Status == http.StatusBadRequest {
			simulation.Checker.Violate(checker.InvalidAccepted, "a valid configuration was rejected: %s", response.Body)
		}
		simulation.trace("order %d at %s: %d, seen by the operator as %d", version, node.Name, response.Status, answer)
		put.End(answer, simulation.Now)
		done(answer)
	})
}

// race makes several operators put different configurations at once, spread over the given
// number of new versions.
func (d *operatorGroup) race(operators, numbers int) {
	first := d.highest + 1
	d.highest += uint64(numbers)
	for who := range operators {
		version := first + uint64(who%numbers)
		d.simulation.After(d.simulation.between(0, 30*time.Millisecond), func() {
			d.put(version, d.document(version, who), maxOrderAttempts, "")
		})
	}
}

// retireTwo makes two operators retire two stores at once, where only one may be retired.
// It then repeats the accepted order and returns the store.
func (d *operatorGroup) retireTwo(done func()) {
	stores := d.simulation.Nodes(membership.KindStore)
	first := d.simulation.Random.IntN(len(stores))
	pair := []*Node{stores[first], stores[(first+1)%len(stores)]}
	var absent []*Node
	left := len(pair)
	for _, store := range pair {
		d.retire(store, "retire", maxOrderAttempts, func(status int) {
			if status == http.StatusAccepted {
				absent = append(absent, store)
			}
			if left--; left > 0 {
				return
			}
			if len(absent) == len(pair) {
				d.simulation.Checker.Violate(checker.TooFewStores, "the orders to retire %s and %s were both accepted", pair[0].Name, pair[1].Name)
			}
			d.repeatAndReturn(absent, done)
		})
	}
}

// repeatAndReturn repeats accepted orders to retire after a while, which must be accepted again, and
// then returns the stores.
func (d *operatorGroup) repeatAndReturn(absent []*Node, done func()) {
	if len(absent) == 0 {
		done()
		return
	}
	store, rest := absent[0], absent[1:]
	d.simulation.After(d.simulation.between(0, 4*time.Second), func() {
		d.retire(store, "retire", maxOrderAttempts, func(status int) {
			if status != http.StatusAccepted {
				d.simulation.Checker.Violate(checker.RetryRejected, "the order to retire %s was accepted and then rejected with %d", store.Name, status)
			}
			d.retire(store, "return", maxOrderAttempts, func(int) { d.repeatAndReturn(rest, done) })
		})
	})
}

// retire retries an order to retire or return a store until its outcome is known.
func (d *operatorGroup) retire(store *Node, verb string, attempts int, done func(status int)) {
	simulation := d.simulation
	if attempts == 0 {
		done(0)
		return
	}
	d.attemptElsewhere("", func(node *Node) {
		answered := false
		end := func(status int) {
			if answered {
				return
			}
			answered = true
			if slices.Contains([]int{http.StatusAccepted, http.StatusConflict, http.StatusNotFound}, status) {
				done(status)
				return
			}
			simulation.After(simulation.between(orderPause, 5*orderPause), func() { d.retire(store, verb, attempts-1, done) })
		}
		simulation.After(orderTimeout, func() { end(0) })
		simulation.Control(node, http.MethodPost, "/v1/stores/"+store.Name+"/"+verb, nil, func(response membership.ControlResponse, alive bool) {
			simulation.trace("%s %s at %s: %d", verb, store.Name, node.Name, response.Status)
			if !alive || simulation.Random.IntN(lostResponseRatio) == 0 {
				response.Status = 0
			}
			end(response.Status)
		})
	})
}

// provokeFailovers makes the primary fail in one way after another: killed, frozen, isolated,
// killed right after it acknowledged an order, the same with its disk lost, and killed
// together with all other controllers.
func (d *operatorGroup) provokeFailovers(length time.Duration) {
	simulation := d.simulation
	turn := simulation.Random.IntN(6)
	simulation.every(length, 6*time.Second, 9*time.Second, func() {
		turn++
		wait := simulation.between(500*time.Millisecond, 5*time.Second)
		switch turn % 6 {
		case 0:
			simulation.killFor(simulation.controllerIn("primary"), wait, false)
		case 1:
			simulation.freezeFor(simulation.controllerIn("primary"), wait)
		case 2:
			simulation.isolateFor(simulation.controllerIn("primary"), wait)
		case 3:
			d.onAccepted = func() { simulation.killFor(simulation.controllerIn("primary"), wait, false) }
		case 4:
			d.onAccepted = func() { simulation.killFor(simulation.controllerIn("primary"), wait, true) }
		case 5:
			d.onAccepted = func() {
				for _, node := range simulation.Nodes(membership.KindController) {
					simulation.killFor(node, wait/4, false)
				}
			}
		}
	})
}

// isolateFor isolates a daemon from all others for a while.
func (s *Simulation) isolateFor(node *Node, length time.Duration) {
	if node == nil {
		return
	}
	s.trace("%s is isolated", node.Name)
	s.Isolate(func(other *Node) bool { return other == node })
	s.After(length, s.Heal)
}

func ordersOfPairs(simulation *Simulation, length time.Duration) {
	desk := newOperatorGroup(simulation)
	simulation.every(length, 200*time.Millisecond, 700*time.Millisecond, func() { desk.race(2, 1) })
	simulation.every(length, 100*time.Millisecond, 300*time.Millisecond, simulation.operator.read)
	simulation.After(length+12*time.Second, simulation.operator.read)
	desk.provokeFailovers(length)
}

func ordersOfEight(simulation *Simulation, length time.Duration) {
	desk := newOperatorGroup(simulation)
	simulation.every(length, 600*time.Millisecond, 1500*time.Millisecond, func() { desk.race(8, 1+simulation.Random.IntN(4)) })
	simulation.every(length, 100*time.Millisecond, 300*time.Millisecond, simulation.operator.read)
	simulation.After(length+12*time.Second, simulation.operator.read)
	desk.provokeFailovers(length)
}

func ordersToRetire(simulation *Simulation, length time.Duration) {
	desk := newOperatorGroup(simulation)
	until := simulation.Now.Add(length)
	var next func()
	next = func() {
		if simulation.Now.Before(until) {
			desk.retireTwo(func() { simulation.After(simulation.between(200*time.Millisecond, 2*time.Second), next) })
		}
	}
	next()
	simulation.every(length, time.Second, 2*time.Second, func() { desk.race(2, 1) })
	desk.provokeFailovers(length)
}
