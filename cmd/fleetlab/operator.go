// The simulated operator of a trial: it owns the configuration, puts new versions from time
// to time, sends conflicting requests concurrently, reads the configuration back, and
// reports all answers to the checker.
package main

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"dahlialock/internal/checker"
)

// changeRequest is a change that a fault requests for the next version of the configuration.
type changeRequest func(operator *operator)

type operator struct {
	run      *trialRun
	random   *rand.Rand
	version  int
	spaces   map[string]bool
	drains   []string
	requests chan changeRequest
	ended    chan struct{}
	working  atomic.Bool
}

func newOperator(run *trialRun) *operator {
	return &operator{
		run: run, random: rand.New(rand.NewPCG(run.trial.seed, 0x0b5)), spaces: map[string]bool{},
		requests: make(chan changeRequest, 64), ended: make(chan struct{}),
	}
}

func (o *operator) document(answerWithin string) []byte {
	spaces := []any{
		map[string]any{"name": "boards", "promise": "kept", "holding": "35s", "answer_within": "1s"},
		map[string]any{"name": "urgent", "promise": "kept", "order": "sender", "holding": "35s", "answer_within": "500ms"},
		map[string]any{"name": "decisions", "promise": "kept", "order": "channel"},
		map[string]any{"name": "cursors", "promise": "passing", "answer_within": answerWithin},
	}
	for name := range o.spaces {
		spaces = append(spaces, map[string]any{"name": name, "promise": "passing"})
	}
	value := map[string]any{"version": o.version, "spaces": spaces}
	if len(o.drains) > 0 {
		value["drains"] = o.drains
	}
	if o.run.trial.economy {
		value["economy"] = o.run.trial.weights()
	}
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return body
}

// weights returns the economy section of the configuration, with the weights of the deployment's costs.
func (t *trial) weights() map[string]any {
	economy := map[string]any{"enabled": true, "origins_each": 250, "spare_gateways": 1, "quiet_for": "8s", "processor_weight": 1, "traffic_weight": 1}
	switch t.deployment {
	case "fjordlys":
		economy["processor_weight"] = 10
	case "qureshi":
		economy["traffic_weight"] = 10
	}
	return economy
}

// control sends a request to the control address of a random daemon.
func (o *operator) control(random *rand.Rand, method, path, body string) (int, []byte) {
	names := o.run.fleet.Names()
	daemon := o.run.fleet.Daemons[names[random.IntN(len(names))]]
	request, err := http.NewRequest(method, "http://"+daemon.Control+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	client := http.Client{Timeout: 5 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, text
}

// put retries one version until it is accepted, is out of date, or the time limit has passed.
func (o *operator) put(random *rand.Rand, version int, body []byte, limit time.Duration) bool {
	until := time.Now().Add(limit)
	for time.Now().Before(until) {
		began := time.Now()
		var put *checker.Put
		o.run.log.record(func(checker *checker.Checker) { put = checker.Register.Put(uint64(version), string(body), began) })
		status, text := o.control(random, http.MethodPut, "/v1/configuration", string(body))
		answered := time.Now()
		o.run.log.record(func(*checker.Checker) { put.End(checker.OutcomeOf(status, text), answered) })
		switch status {
		case http.StatusOK:
			accepted := time.Now()
			o.run.log.record(func(checker *checker.Checker) {
				checker.ConfigurationAccepted(uint64(version), string(body), began, accepted)
			})
			return true
		case http.StatusConflict:
			return false
		case http.StatusBadRequest:
			o.run.log.record(func(checker_ *checker.Checker) {
				checker_.Violate(checker.InvalidAccepted, "a valid configuration was refused: %s", text)
			})
			return false
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

func (o *operator) putNext(limit time.Duration) bool {
	o.version++
	return o.put(o.random, o.version, o.document("1s"), limit)
}

// putConcurrently puts, at the same time, two different configurations with the same version
// and a third one with the next version.
func (o *operator) putConcurrently() {
	o.version++
	done := make(chan struct{})
	put := func(version int, body []byte, seed uint64) {
		go func() {
			o.put(rand.New(rand.NewPCG(seed, 7)), version, body, 8*time.Second)
			done <- struct{}{}
		}()
	}
	put(o.version, o.document("1s"), o.random.Uint64())
	put(o.version, o.document("2s"), o.random.Uint64())
	o.version++
	put(o.version, o.document("1s"), o.random.Uint64())
	for range 3 {
		<-done
	}
}

func (o *operator) readBack() {
	began := time.Now()
	status, text := o.control(o.random, http.MethodGet, "/v1/configuration", "")
	var got struct {
		Version       uint64          `json:"version"`
		Configuration json.RawMessage `json:"configuration"`
	}
	if status != http.StatusOK || json.Unmarshal(text, &got) != nil {
		return
	}
	at := time.Now()
	o.run.log.record(func(checker *checker.Checker) {
		checker.ReadBack(got.Version, string(got.Configuration), began, at)
		checker.Register.Read(got.Version, string(got.Configuration), began, at)
	})
}

// putMalformed puts malformed configurations, each of which must be rejected.
func (o *operator) putMalformed() {
	bodies := []string{`{"version":900000,"spaces":[{"name":"boards"}]}`, `{"version":900000,"spaces":[],"spaces":[]}`, `{"version":900000,"spaces":[]} x`}
	body := bodies[o.random.IntN(len(bodies))]
	if status, _ := o.control(o.random, http.MethodPut, "/v1/configuration", body); status == http.StatusOK {
		o.run.log.record(func(checker *checker.Checker) { checker.InvalidConfigurationAccepted(body) })
	}
}

func noChange(*operator) {}

// work starts a goroutine that applies the requested changes, puts new and malformed
// configurations at random intervals, and reads the configuration back, until stop is called.
func (o *operator) work() {
	o.working.Store(true)
	go func() {
		defer close(o.ended)
		for o.working.Load() {
			select {
			case change := <-o.requests:
				change(o)
			case <-time.After(time.Duration(1000+o.random.IntN(3000)) * time.Millisecond):
				switch o.random.IntN(4) {
				case 0:
					o.putMalformed()
				case 1:
					o.putNext(8 * time.Second)
				}
			}
			o.readBack()
		}
	}()
}

func (o *operator) stop() {
	o.working.Store(false)
	o.requests <- noChange
	<-o.ended
}

// addSpace adds a space and calls accepted once the configuration has been accepted.
func addSpace(name string, accepted func()) changeRequest {
	return func(operator *operator) {
		operator.spaces[name] = true
		operator.run.log.record(func(checker *checker.Checker) { checker.DefineSpace(name, false, false) })
		if operator.putNext(20 * time.Second) {
			accepted()
		}
	}
}

func removeSpace(name string) changeRequest {
	return func(operator *operator) {
		delete(operator.spaces, name)
		if operator.putNext(20 * time.Second) {
			at := time.Now()
			operator.run.log.record(func(checker *checker.Checker) { checker.SpaceRemoved(name, at) })
		}
	}
}

func drain(names ...string) changeRequest {
	return func(operator *operator) {
		operator.drains = names
		operator.putNext(20 * time.Second)
	}
}
