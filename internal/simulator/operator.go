// The simulated operator. It puts configurations at random daemons, also several at once
// and repeatedly, reads them back, and reports the responses to the checker.

package simulator

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"dahlialock/internal/checker"
	"dahlialock/internal/config"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

type spaceDocument struct {
	Name    string `json:"name"`
	Promise string `json:"promise"`
	Order   string `json:"order,omitempty"`
}

type document struct {
	Version uint64          `json:"version"`
	Spaces  []spaceDocument `json:"spaces"`
	Economy any             `json:"economy,omitempty"`
	Drains  []string        `json:"drains,omitempty"`
	Routes  []routeDocument `json:"routes,omitempty"`
}

// Operator puts and reads configurations at random daemons.
type Operator struct {
	simulation *Simulation
	version    uint64
	extra      bool
	extras     map[string]bool
	economy    any
	drains     []string
	sent       map[uint64][]byte
	reads      int
}

func (o *Operator) document() []byte {
	spaces := []spaceDocument{
		{Name: "boards", Promise: "kept"}, {Name: "decisions", Promise: "kept", Order: "channel"}, {Name: "cursors", Promise: "passing"},
	}
	if o.extra {
		spaces = append(spaces, spaceDocument{Name: "brief", Promise: "passing"})
	}
	for name := range statemachine.Sorted(o.extras) {
		spaces = append(spaces, spaceDocument{Name: name, Promise: "passing"})
	}
	made := document{Version: o.version, Spaces: spaces, Economy: o.economy, Drains: o.drains}
	if world := o.simulation.world; world != nil {
		for _, each := range world.routes() {
			promise := config.Ephemeral
			if each.durable {
				promise = config.Durable
			}
			made.Spaces = append(made.Spaces, spaceDocument{Name: each.space, Promise: string(promise), Order: string(config.OrderTopic)})
			made.Routes = append(made.Routes, routeDocument{Prefix: each.prefix, Space: each.space})
		}
		o.simulation.Checker.RoutesSent(o.version, prefixes(world.routes()), o.simulation.Now)
	}
	body, err := json.Marshal(made)
	must(err)
	return body
}

func (o *Operator) anyNode() *Node {
	var up []*Node
	for _, node := range o.simulation.Nodes("") {
		if node.Up && !node.Frozen {
			up = append(up, node)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[o.simulation.Random.IntN(len(up))]
}

// put retries a configuration until it is accepted, or rejected as outdated or invalid.
func (o *Operator) put(version uint64, body []byte, done func()) {
	simulation := o.simulation
	node := o.anyNode()
	if node == nil {
		simulation.After(500*time.Millisecond, func() { o.put(version, body, done) })
		return
	}
	began := simulation.Now
	o.order(node, version, body, func(_ checker.OrderOutcome, response membership.ControlResponse, alive bool) {
		switch {
		case alive && response.Status == http.StatusOK:
			simulation.trace("configuration %d accepted at %s", version, node.Name)
			simulation.Checker.ConfigurationAccepted(version, string(body), began, simulation.Now)
			simulation.Checker.RoutesAccepted(version, simulation.Now)
			if done != nil {
				done()
			}
		case alive && response.Status == http.StatusConflict:
		case alive && response.Status == http.StatusBadRequest:
			simulation.Checker.Violate(checker.InvalidAccepted, "a valid configuration was rejected: %s", response.Body)
		default:
			simulation.After(500*time.Millisecond, func() { o.put(version, body, done) })
		}
	})
}

// order puts a configuration once at one daemon and reports the response to the checker.
func (o *Operator) order(node *Node, version uint64, body []byte, done func(answer checker.OrderOutcome, response membership.ControlResponse, alive bool)) {
	simulation := o.simulation
	put := simulation.Checker.Register.Put(version, string(body), simulation.Now)
	simulation.Control(node, http.MethodPut, "/v1/configuration", body, func(response membership.ControlResponse, alive bool) {
		answer := checker.Unclear
		if alive {
			answer = checker.OutcomeOf(response.Status, response.Body)
		}
		put.End(answer, simulation.Now)
		done(answer, response, alive)
	})
}

// read reads the configuration back.
func (o *Operator) read() {
	simulation := o.simulation
	node := o.anyNode()
	if node == nil {
		return
	}
	began := simulation.Now
	simulation.Control(node, http.MethodGet, "/v1/configuration", nil, func(response membership.ControlResponse, alive bool) {
		if !alive || response.Status != http.StatusOK {
			return
		}
		var got struct {
			Version       uint64          `json:"version"`
			Configuration json.RawMessage `json:"configuration"`
		}
		must(json.Unmarshal(response.Body, &got))
		o.reads++
		simulation.Checker.ReadBack(got.Version, string(got.Configuration), began, simulation.Now)
		simulation.Checker.Register.Read(got.Version, string(got.Configuration), began, simulation.Now)
	})
}

// putInvalid puts an invalid configuration, which must be rejected.
func (o *Operator) putInvalid() {
	simulation := o.simulation
	node := o.anyNode()
	if node == nil {
		return
	}
	bodies := []string{
		`{"version":900,"spaces":[{"name":"boards"}]}`, `{"version":900,"spaces":[],"spaces":[]}`, `{"version":-1,"spaces":[]}`,
		`{"version":900,"spaces":[{"name":"a","promise":"kept","holding":"0s"}]} x`, `{"version":900,"spaces":[],"other":1}`,
	}
	body := bodies[simulation.Random.IntN(len(bodies))]
	simulation.Control(node, http.MethodPut, "/v1/configuration", []byte(body), func(response membership.ControlResponse, alive bool) {
		if alive && response.Status == http.StatusOK {
			simulation.Checker.InvalidConfigurationAccepted(body)
		}
	})
}

func (o *Operator) putNext(done func()) {
	o.version++
	body := o.document()
	o.sent[o.version] = body
	o.put(o.version, body, done)
}

// race puts two configurations with the same version and different content at once.
func (o *Operator) race() {
	o.version++
	body := o.document()
	other := bytes.Replace(body, []byte(`"promise":"passing"`), []byte(`"promise":"passing","answer_within":"2s"`), 1)
	o.sent[o.version] = body
	o.put(o.version, body, nil)
	o.put(o.version, other, nil)
}

// runUntil puts, repeats and reads configurations, and puts invalid ones, at random intervals
// until a point in time.
func (o *Operator) runUntil(until time.Time) {
	simulation := o.simulation
	if simulation.Now.After(until) {
		return
	}
	simulation.After(time.Duration(300+simulation.Random.IntN(1500))*time.Millisecond, func() { o.runUntil(until) })
	switch simulation.Random.IntN(6) {
	case 0:
		o.putNext(nil)
	case 1:
		o.putNext(nil)
		o.putNext(nil)
	case 2:
		o.putInvalid()
	case 3:
		if o.version > 2 {
			o.put(o.version-1, o.sent[o.version-1], nil)
		}
	default:
		o.read()
	}
}

func newOperator(simulation *Simulation) *Operator {
	return &Operator{simulation: simulation, extras: map[string]bool{}, sent: map[uint64][]byte{}}
}
