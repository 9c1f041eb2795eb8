// Scenarios: what befalls a simulated fleet. Each is a name with a function that
// schedules its faults from the seed; all share the same callers, operators and
// checks. At the end every fault is taken away, callers are given time to come
// back, and the oracle closes its book.
package swell

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"dahlialock/internal/beacon"
	"dahlialock/internal/chart"
	"dahlialock/internal/helm"
	"dahlialock/internal/lamp"
	"dahlialock/internal/oracle"
	"dahlialock/internal/pilotage"
	"dahlialock/internal/squall"
	"dahlialock/internal/strand"
)

// Scenario is one kind of run.
type Scenario struct {
	Name   string
	Length time.Duration
	Faults func(swell *Swell, length time.Duration)
	Plot   func(seed uint64) Plot
	// Topics is set for runs with callers of routed topics.
	Topics func(seed uint64) TopicPlot
}

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
	swell   *Swell
	version uint64
	extra   bool
	extras  map[string]bool
	economy any
	drains  []string
	sent    map[uint64][]byte
	reads   int
}

func (operator *Operator) document() []byte {
	spaces := []spaceDocument{
		{Name: "boards", Promise: "kept"}, {Name: "decisions", Promise: "kept", Order: "channel"}, {Name: "cursors", Promise: "passing"},
	}
	if operator.extra {
		spaces = append(spaces, spaceDocument{Name: "brief", Promise: "passing"})
	}
	for name := range helm.Sorted(operator.extras) {
		spaces = append(spaces, spaceDocument{Name: name, Promise: "passing"})
	}
	made := document{Version: operator.version, Spaces: spaces, Economy: operator.economy, Drains: operator.drains}
	if world := operator.swell.world; world != nil {
		for _, each := range world.routes() {
			promise := chart.Passing
			if each.kept {
				promise = chart.Kept
			}
			made.Spaces = append(made.Spaces, spaceDocument{Name: each.space, Promise: string(promise), Order: string(chart.OrderTopic)})
			made.Routes = append(made.Routes, routeDocument{Prefix: each.prefix, Space: each.space})
		}
		operator.swell.Oracle.RoutesSent(operator.version, prefixes(world.routes()), operator.swell.Now)
	}
	body, fault := json.Marshal(made)
	must(fault)
	return body
}

func (operator *Operator) anyNode() *Node {
	var up []*Node
	for _, node := range operator.swell.Nodes("") {
		if node.Up && !node.Frozen {
			up = append(up, node)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[operator.swell.Random.IntN(len(up))]
}

// put puts a configuration until it is taken or found out of date.
func (operator *Operator) put(version uint64, body []byte, done func()) {
	swell := operator.swell
	node := operator.anyNode()
	if node == nil {
		swell.After(500*time.Millisecond, func() { operator.put(version, body, done) })
		return
	}
	began := swell.Now
	swell.Control(node, http.MethodPut, "/v1/configuration", body, func(returned beacon.ControlReturn, alive bool) {
		switch {
		case alive && returned.Status == http.StatusOK:
			swell.trace("configuration %d taken through %s", version, node.Name)
			swell.Oracle.PutTaken(version, string(body), began, swell.Now)
			swell.Oracle.RoutesTaken(version, swell.Now)
			if done != nil {
				done()
			}
		case alive && returned.Status == http.StatusConflict:
		case alive && returned.Status == http.StatusBadRequest:
			swell.Oracle.Violate(oracle.BrokenTaken, "a valid configuration was refused: %s", returned.Body)
		default:
			swell.After(500*time.Millisecond, func() { operator.put(version, body, done) })
		}
	})
}

// read reads the configuration back.
func (operator *Operator) read() {
	swell := operator.swell
	node := operator.anyNode()
	if node == nil {
		return
	}
	began := swell.Now
	swell.Control(node, http.MethodGet, "/v1/configuration", nil, func(returned beacon.ControlReturn, alive bool) {
		if !alive || returned.Status != http.StatusOK {
			return
		}
		var got struct {
			Version       uint64          `json:"version"`
			Configuration json.RawMessage `json:"configuration"`
		}
		must(json.Unmarshal(returned.Body, &got))
		operator.reads++
		swell.Oracle.ReadBack(got.Version, string(got.Configuration), began, swell.Now)
	})
}

// broken puts a configuration that must be refused.
func (operator *Operator) broken() {
	swell := operator.swell
	node := operator.anyNode()
	if node == nil {
		return
	}
	bodies := []string{
		`{"version":900,"spaces":[{"name":"boards"}]}`, `{"version":900,"spaces":[],"spaces":[]}`, `{"version":-1,"spaces":[]}`,
		`{"version":900,"spaces":[{"name":"a","promise":"kept","holding":"0s"}]} x`, `{"version":900,"spaces":[],"other":1}`,
	}
	body := bodies[swell.Random.IntN(len(bodies))]
	swell.Control(node, http.MethodPut, "/v1/configuration", []byte(body), func(returned beacon.ControlReturn, alive bool) {
		if alive && returned.Status == http.StatusOK {
			swell.Oracle.BrokenWasTaken(body)
		}
	})
}

func (operator *Operator) next(done func()) {
	operator.version++
	body := operator.document()
	operator.sent[operator.version] = body
	operator.put(operator.version, body, done)
}

// race puts two configurations of one version and different content at once.
func (operator *Operator) race() {
	operator.version++
	body := operator.document()
	other := bytes.Replace(body, []byte(`"promise":"passing"`), []byte(`"promise":"passing","answer_within":"2s"`), 1)
	operator.sent[operator.version] = body
	operator.put(operator.version, body, nil)
	operator.put(operator.version, other, nil)
}

// work puts, races, repeats and reads configurations all along.
func (operator *Operator) work(until time.Time) {
	swell := operator.swell
	if swell.Now.After(until) {
		return
	}
	swell.After(time.Duration(300+swell.Random.IntN(1500))*time.Millisecond, func() { operator.work(until) })
	switch swell.Random.IntN(6) {
	case 0:
		operator.next(nil)
	case 1:
		operator.next(nil)
		operator.next(nil)
	case 2:
		operator.broken()
	case 3:
		if operator.version > 2 {
			operator.put(operator.version-1, operator.sent[operator.version-1], nil)
		}
	default:
		operator.read()
	}
}

func newOperator(swell *Swell) *Operator {
	return &Operator{swell: swell, extras: map[string]bool{}, sent: map[uint64][]byte{}}
}

const sampleEvery = 100 * time.Millisecond

// sample looks at what is in force on every daemon.
func (swell *Swell) sample() {
	swell.After(sampleEvery, swell.sample)
	for _, client := range swell.clients {
		client.watch()
	}
	switch primary := swell.Primary(); {
	case primary == nil:
		swell.primarySince = time.Time{}
	case swell.primarySince.IsZero():
		swell.primarySince = swell.Now
	}
	for _, node := range swell.Nodes(beacon.KindLantern) {
		if !node.Up || node.Frozen || node.Stopping {
			continue
		}
		healthy := node.HealthySince
		beside := swell.besideOf(node)
		if !beside.Up || beside.Frozen {
			continue
		}
		if beside.HealthySince.After(healthy) {
			healthy = beside.HealthySince
		}
		if swell.cutFromMost(node) || swell.cutFromMost(beside) {
			continue
		}
		if orders := node.Lantern().Follower().Orders; !node.Ready() && !orders.Rest && !slices.Contains(node.Lantern().Configuration().Drains, node.Name) {
			swell.unready[node.Name] += sampleEvery
			swell.Oracle.NotReady(node.Name, swell.calmSince(), swell.Now)
		}
		if swell.primarySince.After(healthy) && !node.Ready() {
			healthy = swell.primarySince
		}
		if node.Ready() || swell.Now.Sub(healthy) > oracle.ForceWithin && !swell.primarySince.IsZero() {
			swell.Oracle.InForce(node.Name, node.Lantern().Configuration().Version, node.Ready(), healthy, swell.Now)
		}
	}
}

func (swell *Swell) cutFromMost(node *Node) bool {
	cut, all := 0, 0
	for _, other := range swell.Nodes(beacon.KindPilot) {
		all++
		if swell.cuts[link(node, other)]+swell.cuts[link(other, node)] > 0 {
			cut++
		}
	}
	return cut*2 >= all
}

// Prepare starts a fleet with a configuration and callers, and waits until it
// serves.
func Prepare(seed uint64, size Size, trace func(line string)) (*Swell, *Operator) {
	return prepare(seed, size, 0, trace)
}

func prepare(seed uint64, size Size, apart time.Duration, trace func(line string)) (*Swell, *Operator) {
	swell := New(seed, size)
	return swell, swell.begin(apart, trace)
}

// begin starts the daemons and puts the first configuration.
func (swell *Swell) begin(apart time.Duration, trace func(line string)) *Operator {
	swell.Trace = trace
	swell.apart = apart
	swell.StartAll()
	operator := newOperator(swell)
	swell.operator = operator
	swell.Oracle.Space("boards", true, false)
	swell.Oracle.Space("decisions", true, true)
	swell.Oracle.Space("cursors", false, false)
	taken := false
	swell.After(time.Second, func() { operator.next(func() { taken = true }) })
	if !swell.RunUntil(20*time.Second, func() bool { return taken }) {
		swell.Oracle.Violate(oracle.NotBack, "no configuration was taken in 20 s")
	}
	swell.RunUntil(10*time.Second, func() bool {
		for _, node := range swell.Nodes(beacon.KindLantern) {
			if !node.Ready() || node.Lantern().Configuration().Version == 0 {
				return false
			}
		}
		return true
	})
	swell.trouble = swell.Now
	swell.sample()
	return operator
}

// Crowd adds the usual callers.
func (swell *Swell) Crowd(count int) {
	topics := []string{}
	for project := range 3 {
		for board := range 4 {
			topics = append(topics, fmt.Sprintf("p%d/b%d", project, board))
		}
	}
	for number := range count {
		place := number % swell.Size.Places
		random := swell.Random
		interests := []lamp.Interest{
			{Space: "boards", Path: topics[random.IntN(len(topics))]}, {Space: "boards", Path: fmt.Sprintf("p%d", random.IntN(3)), Wide: true},
			{Space: "cursors", Path: topics[random.IntN(len(topics))]}, {Space: "decisions", Path: "", Wide: true},
		}
		switch number % 4 {
		case 1:
			interests = append(interests, lamp.Interest{Space: "boards", Wide: true})
		case 2:
			interests = interests[:2]
		}
		client := swell.AddClient(fmt.Sprintf("origin-%d", number), place, interests...)
		if number%2 == 0 {
			client.Resends = true
			client.Publishes(1+number%3,
				Plan{Space: "boards", Topics: topics, Every: 250 * time.Millisecond},
				Plan{Space: "decisions", Topics: topics[:3], Every: 700 * time.Millisecond},
				Plan{Space: "cursors", Topics: topics, Every: 400 * time.Millisecond})
		}
	}
}

// Run runs a scenario under one seed.
func Run(scenario Scenario, seed uint64, size Size, trace func(line string)) *Swell {
	if scenario.Topics != nil {
		return RunTopics(seed, size, scenario.Topics(seed), trace)
	}
	if scenario.Plot != nil {
		return RunPlot(seed, size, scenario.Plot(seed), trace)
	}
	swell, operator := Prepare(seed, size, trace)
	swell.Crowd(size.Callers)
	swell.Run(3 * time.Second)
	operator.work(swell.Now.Add(scenario.Length))
	swell.trouble = swell.Now.Add(-oracle.TroubleFor)
	if scenario.Faults != nil {
		swell.open++
		scenario.Faults(swell, scenario.Length)
	}
	swell.Run(scenario.Length)
	if scenario.Faults != nil {
		swell.ends(scenario.Name)
	}
	swell.Settle(20 * time.Second)
	return swell
}

// Settle takes all faults away, lets callers come back and go on for a while,
// and closes the book.
func (swell *Swell) Settle(wait time.Duration) {
	swell.Heal()
	for _, node := range swell.Nodes("") {
		if node.Frozen {
			node.Thaw()
			swell.trouble = swell.Now
		}
		if !node.Up {
			node.Start()
			swell.trouble = swell.Now
		}
	}
	swell.Run(wait * 7 / 10)
	swell.close(wait * 3 / 10)
}

// close ends new publications, and the run.
func (swell *Swell) close(wait time.Duration) {
	for _, client := range swell.clients {
		client.Quiet()
	}
	swell.Run(wait)
	for _, client := range swell.clients {
		if !client.subscribed && !client.Gone {
			swell.Oracle.Violate(oracle.NotBack, "%s is still not served %s after the last fault", client.Name, wait)
		}
	}
	swell.describe()
	swell.Oracle.Close(swell.Now)
}

// describe traces what is still under way at the end.
func (swell *Swell) describe() {
	if swell.Trace == nil {
		return
	}
	for _, node := range swell.Nodes(beacon.KindLantern) {
		for name, status := range helm.Sorted(node.Lantern().Trackers(node.local())) {
			swell.trace("%s ready %v %s: %+v", node.Name, node.Ready(), name, status)
		}
	}
	for _, node := range swell.Nodes(beacon.KindKeeper) {
		for name, status := range helm.Sorted(node.Machine.(*strand.Keeper).Strands()) {
			swell.trace("%s %s: %+v", node.Name, name, status)
		}
	}
	for _, client := range swell.topicClients {
		for topic, each := range helm.Sorted(client.topics) {
			swell.trace("%s connected %v holds %s from %q: %v", client.Name, client.connected, topic, each.cursor, each.held)
		}
	}
	for _, client := range swell.clients {
		swell.trace("%s at %s connected %v subscribed %v outbox %d", client.Name, client.node.Name, client.connected, client.subscribed, len(client.outbox))
	}
}

// ServiceBack measures how long after a moment every caller can publish and is
// subscribed again, and when each part of the recovery was seen.
func (swell *Swell) ServiceBack(what string) {
	from := swell.Now
	comeback := &Comeback{What: what}
	swell.back, swell.backFrom = comeback, from
	var check func()
	check = func() {
		after := swell.Now.Sub(from)
		primary, strands, callers := swell.serving()
		for _, part := range []struct {
			there bool
			since *time.Duration
		}{{primary, &comeback.TakenOver}, {strands, &comeback.Refilled}, {callers, &comeback.CallersBack}} {
			if !part.there {
				*part.since = 0
			} else if *part.since == 0 {
				*part.since = after
			}
		}
		// Word of the loss may come after a moment in which all still seems
		// well, so service counts as back once it has held for four seconds.
		if back := max(comeback.TakenOver, comeback.Refilled, comeback.CallersBack); primary && strands && callers && after-back > 4*time.Second || after > 2*oracle.BackWithin {
			if !primary || !strands || !callers {
				back = after
			}
			swell.Oracle.Served(what, back)
			swell.trace("service is back %s after %s: %+v", back, what, *comeback)
			swell.Comeback = append(swell.Comeback, *comeback)
			swell.back = nil
			return
		}
		swell.After(50*time.Millisecond, check)
	}
	swell.After(50*time.Millisecond, check)
}

// Faults.

func (swell *Swell) pickUp(kind string) *Node {
	var up []*Node
	for _, node := range swell.Nodes(kind) {
		if node.Up && !node.Frozen {
			up = append(up, node)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[swell.Random.IntN(len(up))]
}

func (swell *Swell) between(least, most time.Duration) time.Duration {
	return least + time.Duration(swell.Random.Int64N(int64(most-least)+1))
}

// killFor kills a daemon and starts it again after a while.
func (swell *Swell) killFor(node *Node, length time.Duration, wipe bool) {
	if node == nil || !node.Up {
		return
	}
	node.Kill()
	if wipe {
		node.Wipe()
	}
	swell.After(length, node.Start)
}

func (swell *Swell) freezeFor(node *Node, length time.Duration) {
	if node == nil {
		return
	}
	node.Freeze()
	swell.After(length, node.Thaw)
}

func (swell *Swell) restartFor(node *Node, length time.Duration) {
	if node == nil || !node.Up {
		return
	}
	node.Terminate()
	swell.After(6*time.Second+length, node.Start)
}

// every repeats a fault over a run.
func (swell *Swell) every(length, least, most time.Duration, fault func()) {
	until := swell.Now.Add(length - 2*time.Second)
	var again func()
	again = func() {
		if swell.Now.After(until) {
			return
		}
		fault()
		swell.After(swell.between(least, most), again)
	}
	swell.After(swell.between(0, least), again)
}

func (swell *Swell) pilotIn(role string) *Node {
	primary := swell.Primary()
	if primary == nil {
		return nil
	}
	record := primary.Machine.(*pilotage.Pilot).Watch().Record()
	if role == "backup" {
		if len(record.Backups) == 0 {
			return nil
		}
		return swell.nodes[record.Backups[0]]
	}
	return swell.nodes[record.Primary]
}

func kill(kind string) func(swell *Swell, length time.Duration) {
	return func(swell *Swell, length time.Duration) {
		swell.every(length, 6*time.Second, 10*time.Second, func() {
			swell.killFor(swell.pickUp(kind), swell.between(200*time.Millisecond, 5*time.Second), false)
		})
	}
}

func freeze(kind string) func(swell *Swell, length time.Duration) {
	return func(swell *Swell, length time.Duration) {
		swell.every(length, 6*time.Second, 9*time.Second, func() {
			swell.freezeFor(swell.pickUp(kind), swell.between(300*time.Millisecond, 6*time.Second))
		})
	}
}

func killPrimary(swell *Swell, length time.Duration) {
	swell.every(length, 9*time.Second, 13*time.Second, func() {
		swell.killFor(swell.pilotIn("primary"), swell.between(time.Second, 8*time.Second), false)
	})
}

// single lists faults that may be combined in pairs.
var single = map[string]func(swell *Swell, length time.Duration){
	"calm":           func(*Swell, time.Duration) {},
	"kill-lantern":   kill(beacon.KindLantern),
	"kill-tender":    kill(beacon.KindTender),
	"kill-keeper":    kill(beacon.KindKeeper),
	"kill-pilot":     kill(beacon.KindPilot),
	"freeze-lantern": freeze(beacon.KindLantern),
	"freeze-keeper":  freeze(beacon.KindKeeper),
	"freeze-pilot":   freeze(beacon.KindPilot),
	"kill-primary":   killPrimary,
	"kill-backup": func(swell *Swell, length time.Duration) {
		swell.every(length, 9*time.Second, 13*time.Second, func() {
			swell.killFor(swell.pilotIn("backup"), swell.between(time.Second, 8*time.Second), false)
		})
	},
	"freeze-primary": func(swell *Swell, length time.Duration) {
		swell.every(length, 9*time.Second, 13*time.Second, func() {
			swell.freezeFor(swell.pilotIn("primary"), swell.between(time.Second, 8*time.Second))
		})
	},
	"wipe-pilot": func(swell *Swell, length time.Duration) {
		swell.every(length, 14*time.Second, 18*time.Second, func() {
			swell.killFor(swell.pickUp(beacon.KindPilot), swell.between(time.Second, 5*time.Second), true)
		})
	},
	"wipe-keeper": func(swell *Swell, length time.Duration) {
		swell.every(length, 14*time.Second, 18*time.Second, func() {
			swell.killFor(swell.pickUp(beacon.KindKeeper), swell.between(time.Second, 5*time.Second), true)
		})
	},
	"restart-lanterns": func(swell *Swell, length time.Duration) {
		swell.every(length, 8*time.Second, 10*time.Second, func() {
			swell.restartFor(swell.pickUp(beacon.KindLantern), swell.between(0, time.Second))
		})
	},
	"restart-keepers": func(swell *Swell, length time.Duration) {
		swell.every(length, 11*time.Second, 13*time.Second, func() {
			swell.restartFor(swell.pickUp(beacon.KindKeeper), swell.between(0, time.Second))
		})
	},
	"resets": func(swell *Swell, length time.Duration) {
		swell.every(length, 2*time.Second, 6*time.Second, func() {
			for _, client := range swell.clients {
				if swell.Random.IntN(10) > 0 {
					client.Reset(swell.between(0, 400*time.Millisecond))
				}
			}
		})
	},
	"vanish": func(swell *Swell, length time.Duration) {
		swell.every(length, 2*time.Second, 5*time.Second, func() {
			client := swell.clients[swell.Random.IntN(len(swell.clients))]
			client.Reset(swell.between(time.Second, 20*time.Second))
		})
	},
	"wander": func(swell *Swell, length time.Duration) {
		swell.every(length, 500*time.Millisecond, 2*time.Second, func() {
			client := swell.clients[swell.Random.IntN(len(swell.clients))]
			client.Place = swell.Random.IntN(swell.Size.Places)
			client.Reset(swell.between(0, 50*time.Millisecond))
		})
	},
	"loss": func(swell *Swell, length time.Duration) {
		swell.every(length, 5*time.Second, 9*time.Second, func() {
			swell.loss = 0.05 + swell.Random.Float64()*0.15
			swell.After(swell.between(time.Second, 4*time.Second), swell.Heal)
		})
	},
	"cut-links": func(swell *Swell, length time.Duration) {
		swell.every(length, 5*time.Second, 9*time.Second, func() {
			nodes := swell.Nodes("")
			for range 8 {
				from, to := nodes[swell.Random.IntN(len(nodes))], nodes[swell.Random.IntN(len(nodes))]
				if from != to && !beside(from, to) {
					swell.Cut(from, to)
				}
			}
			swell.After(swell.between(500*time.Millisecond, 5*time.Second), swell.Heal)
		})
	},
	"cut-daemon": func(swell *Swell, length time.Duration) {
		swell.every(length, 9*time.Second, 12*time.Second, func() {
			chosen := swell.pickUp("")
			swell.trace("%s is cut off", chosen.Name)
			swell.CutAway(func(node *Node) bool { return node == chosen || beside(node, chosen) })
			swell.After(swell.between(500*time.Millisecond, 7*time.Second), swell.Heal)
		})
	},
	"cut-place": func(swell *Swell, length time.Duration) {
		swell.every(length, 14*time.Second, 18*time.Second, func() {
			place := swell.Random.IntN(swell.Size.Places)
			swell.trace("place %d is cut off", place)
			swell.CutAway(func(node *Node) bool { return node.Place == place })
			swell.After(swell.between(500*time.Millisecond, 8*time.Second), swell.Heal)
		})
	},
	"lose-place": func(swell *Swell, length time.Duration) {
		swell.After(3*time.Second, func() {
			place := swell.Random.IntN(swell.Size.Places)
			for _, node := range swell.Nodes("") {
				if node.Place == place {
					node.Kill()
					swell.After(swell.between(14*time.Second, 16*time.Second), node.Start)
				}
			}
			swell.ServiceBack("a locality lost")
		})
	},
	"lose-primary": func(swell *Swell, length time.Duration) {
		swell.After(3*time.Second, func() {
			if node := swell.pilotIn("primary"); node != nil {
				swell.killFor(node, 20*time.Second, false)
				swell.ServiceBack("the primary lost")
			}
		})
	},
	"lose-two": func(swell *Swell, length time.Duration) {
		swell.After(3*time.Second, func() {
			kinds := [][2]string{{beacon.KindLantern, beacon.KindKeeper}, {beacon.KindPilot, beacon.KindKeeper}, {beacon.KindLantern, beacon.KindPilot}}
			pair := kinds[swell.Random.IntN(len(kinds))]
			for _, kind := range pair {
				swell.killFor(swell.pickUp(kind), 20*time.Second, false)
			}
			swell.ServiceBack("two daemons of different kinds lost")
		})
	},
	"cut-primary": func(swell *Swell, length time.Duration) {
		swell.every(length, 12*time.Second, 15*time.Second, func() {
			chosen := swell.pilotIn("primary")
			if chosen == nil {
				return
			}
			swell.trace("%s is cut off from the other pilots", chosen.Name)
			for _, other := range swell.Nodes(beacon.KindPilot) {
				if other != chosen {
					swell.Cut(chosen, other)
					swell.Cut(other, chosen)
				}
			}
			swell.After(swell.between(6*time.Second, 9*time.Second), swell.Heal)
		})
	},
	"lose-disk-in-turn": func(swell *Swell, length time.Duration) {
		// One keeper is away for a moment, and the disk of another is lost just
		// as the first comes back: what was accepted meanwhile must be elsewhere.
		swell.every(length, 16*time.Second, 18*time.Second, func() {
			keepers := swell.Nodes(beacon.KindKeeper)
			away := swell.Random.IntN(len(keepers))
			wait := swell.between(400*time.Millisecond, 1500*time.Millisecond)
			swell.killFor(keepers[away], wait, false)
			lost := keepers[(away+1+swell.Random.IntN(len(keepers)-1))%len(keepers)]
			swell.After(wait, func() { swell.killFor(lost, 3*time.Second, true) })
		})
	},
	"rest-and-crowd": func(swell *Swell, length time.Duration) {
		// A quiet fleet empties lanterns and lets them rest; then a crowd comes
		// within a second, half of it in one place.
		swell.thrift()
		swell.After(length*6/10, func() {
			swell.trace("a crowd comes; %d lanterns rest", swell.resting())
			for number := range 24 {
				place := number % swell.Size.Places
				if number%2 == 0 {
					place = 0
				}
				swell.AddClient(fmt.Sprintf("crowd-%d", number), place, lamp.Interest{Space: "boards", Path: "p1", Wide: true})
			}
			swell.ServiceBack("a crowd on a rested fleet")
		})
	},
	"rest-and-fail": func(swell *Swell, length time.Duration) {
		// The same quiet fleet, while the duty's holder and others are lost.
		swell.thrift()
		swell.every(length, 7*time.Second, 10*time.Second, func() {
			kinds := []string{beacon.KindLantern, beacon.KindPilot, beacon.KindKeeper, beacon.KindTender}
			if swell.Random.IntN(2) == 0 {
				swell.killFor(swell.pilotIn("primary"), swell.between(time.Second, 6*time.Second), false)
				return
			}
			swell.killFor(swell.pickUp(kinds[swell.Random.IntN(len(kinds))]), swell.between(200*time.Millisecond, 5*time.Second), false)
		})
	},
	"busy-operators": func(swell *Swell, length time.Duration) {
		// Configurations are put and read back all the time while primaries
		// are lost.
		swell.every(length, 250*time.Millisecond, 400*time.Millisecond, func() { swell.operator.next(nil) })
		swell.every(length, 80*time.Millisecond, 150*time.Millisecond, swell.operator.read)
		killPrimary(swell, length)
	},
	"drain": func(swell *Swell, length time.Duration) {
		// An operator empties a lantern; ten seconds later nobody is on it.
		swell.After(2*time.Second, func() {
			node := swell.pickUp(beacon.KindLantern)
			swell.operator.drains = []string{node.Name}
			swell.operator.next(func() {
				swell.After(10*time.Second, func() {
					if node.Up && node.Lantern().Load().Origins > 0 && len(swell.operator.drains) > 0 {
						swell.Oracle.Violate("drain", "%s still holds %d origins", node.Name, node.Lantern().Load().Origins)
					}
				})
			})
		})
	},
	"moves": func(swell *Swell, length time.Duration) {
		// Lanterns are drained in turn and origins move and reconnect all the
		// time, but no daemon and no link is lost: then not even a passing
		// message may be missed.
		swell.Oracle.PassingOwed = true
		lanterns := swell.Nodes(beacon.KindLantern)
		turn := 0
		swell.every(length, 3*time.Second, 4*time.Second, func() {
			swell.operator.drains = []string{lanterns[turn%len(lanterns)].Name}
			turn++
			swell.operator.next(nil)
		})
		swell.every(length, 400*time.Millisecond, 900*time.Millisecond, func() {
			client := swell.clients[swell.Random.IntN(len(swell.clients))]
			client.Place = swell.Random.IntN(swell.Size.Places)
			client.Reset(swell.between(0, 50*time.Millisecond))
		})
	},
	"retire": func(swell *Swell, length time.Duration) {
		swell.After(2*time.Second, func() {
			node := swell.pickUp(beacon.KindKeeper)
			swell.retire(node, func() {
				swell.trace("%s was retired and is wiped", node.Name)
				swell.killFor(node, 5*time.Second, true)
			}, func() {})
		})
	},
	"remove-space": func(swell *Swell, length time.Duration) {
		swell.briefSpace(length)
	},
}

// thrift turns the economy on, with short spells.
func (swell *Swell) thrift() {
	swell.operator.economy = map[string]any{"enabled": true, "origins_each": 8, "spare_lanterns": 1, "quiet_for": "2s"}
	swell.operator.next(nil)
}

// resting counts the lanterns that rest.
func (swell *Swell) resting() int {
	count := 0
	for _, node := range swell.Nodes(beacon.KindLantern) {
		if node.Up && node.Lantern().Resting() {
			count++
		}
	}
	return count
}

func beside(left, right *Node) bool {
	pair := []string{left.Kind, right.Kind}
	slices.Sort(pair)
	return pair[0] == beacon.KindLantern && pair[1] == beacon.KindTender && left.Name[len(left.Kind):] == right.Name[len(right.Kind):]
}

// retire retires a keeper; never is called if it is refused for want of others.
func (swell *Swell) retire(node *Node, done, never func()) {
	var poll func()
	ask := func(method, path string) {
		at := swell.pickUp("")
		if at == nil {
			swell.After(500*time.Millisecond, func() { swell.retire(node, done, never) })
			return
		}
		swell.Control(at, method, path, nil, func(returned beacon.ControlReturn, alive bool) {
			var value struct {
				Retired bool `json:"retired"`
			}
			if alive && returned.Status < 300 {
				must(json.Unmarshal(returned.Body, &value))
			}
			switch {
			case value.Retired:
				done()
			case alive && returned.Status == http.StatusConflict:
				never()
			case alive && returned.Status < 300:
				swell.After(200*time.Millisecond, poll)
			default:
				swell.After(500*time.Millisecond, func() { swell.retire(node, done, never) })
			}
		})
	}
	poll = func() { ask(http.MethodGet, "/v1/keepers/"+node.Name) }
	ask(http.MethodPost, "/v1/keepers/"+node.Name+"/retire")
}

// briefSpace adds a space, lets it be used, and removes it, while a lantern is
// cut off in one of several ways.
func (swell *Swell) briefSpace(length time.Duration) {
	operator := newOperator(swell)
	operator.version, operator.extra = 1000, true
	swell.Oracle.Space("brief", false, false)
	operator.next(func() {
		var users []*Client
		for number := range 4 {
			client := swell.AddClient(fmt.Sprintf("brief-%d", number), number%swell.Size.Places, lamp.Interest{Space: "brief", Wide: true})
			client.Publishes(1, Plan{Space: "brief", Topics: []string{"a/b", "c"}, Every: 150 * time.Millisecond})
			users = append(users, client)
		}
		swell.After(4*time.Second, func() {
			chosen := swell.pickUp(beacon.KindLantern)
			switch swell.Random.IntN(4) {
			case 0:
				swell.trace("%s is cut off", chosen.Name)
				swell.CutAway(func(node *Node) bool { return node == chosen || beside(node, chosen) })
			case 1:
				for _, pilot := range swell.Nodes(beacon.KindPilot) {
					for _, node := range swell.Nodes("") {
						if node == chosen || beside(node, chosen) {
							swell.Cut(node, pilot)
							swell.Cut(pilot, node)
						}
					}
				}
			case 2:
				swell.trace("place %d is cut off", chosen.Place)
				swell.CutAway(func(node *Node) bool { return node.Place == chosen.Place })
			}
			operator.extra = false
			operator.next(func() {
				swell.Oracle.Removed("brief", swell.Now)
				swell.After(6*time.Second, func() {
					for _, client := range users {
						client.Gone = true
						swell.Oracle.Dropped(client.Name)
					}
					swell.Heal()
				})
			})
		})
	})
}

// Scenarios lists all, single and in pairs with one last fault.
func Scenarios() []Scenario {
	var found []Scenario
	var names []string
	for name := range single {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		found = append(found, Scenario{Name: name, Length: 25 * time.Second, Faults: single[name]})
	}
	for _, name := range squall.Names {
		found = append(found, Scenario{Name: "storm-" + name, Plot: func(seed uint64) Plot { return drawPlot(seed, []string{name}, 3) }})
	}
	for _, name := range squall.Last {
		found = append(found, Scenario{Name: "last-" + name, Plot: func(uint64) Plot { return Plot{Last: name} }})
	}
	found = append(found,
		Scenario{Name: "pairs", Plot: pairPlot},
		Scenario{Name: "storm", Plot: func(seed uint64) Plot { return drawPlot(seed, squall.Names, 9) }})
	return append(found, topicScenarios()...)
}

// Find finds a scenario by its name.
func Find(name string) (Scenario, bool) {
	for _, scenario := range Scenarios() {
		if scenario.Name == name {
			return scenario, true
		}
	}
	return Scenario{}, false
}
