// The stand-in operators of a trial: one owner of the configuration, who puts
// the next version now and then, races itself, reads back, and tells the oracle
// what it was told.
package main

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"dahlialock/internal/oracle"
)

// wish is what a fault asks the operators to change before the next version.
type wish func(operator *operator)

type operator struct {
	run     *trialRun
	random  *rand.Rand
	version int
	spaces  map[string]bool
	drains  []string
	wishes  chan wish
	ended   chan struct{}
	working atomic.Bool
}

func newOperator(run *trialRun) *operator {
	return &operator{
		run: run, random: rand.New(rand.NewPCG(run.trial.seed, 0x0b5)), spaces: map[string]bool{},
		wishes: make(chan wish, 64), ended: make(chan struct{}),
	}
}

func (operator *operator) document(answerWithin string) []byte {
	spaces := []any{
		map[string]any{"name": "boards", "promise": "kept", "holding": "35s", "answer_within": "1s"},
		map[string]any{"name": "urgent", "promise": "kept", "order": "sender", "holding": "35s", "answer_within": "500ms"},
		map[string]any{"name": "decisions", "promise": "kept", "order": "channel"},
		map[string]any{"name": "cursors", "promise": "passing", "answer_within": answerWithin},
	}
	for name := range operator.spaces {
		spaces = append(spaces, map[string]any{"name": name, "promise": "passing"})
	}
	value := map[string]any{"version": operator.version, "spaces": spaces}
	if len(operator.drains) > 0 {
		value["drains"] = operator.drains
	}
	if operator.run.trial.economy {
		value["economy"] = operator.run.trial.weights()
	}
	body, fault := json.Marshal(value)
	if fault != nil {
		panic(fault)
	}
	return body
}

// weights are the economy of a deployment: what it says costs it most.
func (trial *trial) weights() map[string]any {
	economy := map[string]any{"enabled": true, "origins_each": 250, "spare_lanterns": 1, "quiet_for": "8s", "processor_weight": 1, "traffic_weight": 1}
	switch trial.deployment {
	case "fjordlys":
		economy["processor_weight"] = 10
	case "qureshi":
		economy["traffic_weight"] = 10
	}
	return economy
}

// control asks a random daemon's ctl.
func (operator *operator) control(random *rand.Rand, method, path, body string) (int, []byte) {
	names := operator.run.fleet.Names()
	daemon := operator.run.fleet.Daemons[names[random.IntN(len(names))]]
	request, fault := http.NewRequest(method, "http://"+daemon.Control+path, strings.NewReader(body))
	if fault != nil {
		panic(fault)
	}
	client := http.Client{Timeout: 5 * time.Second}
	response, fault := client.Do(request)
	if fault != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, text
}

// put puts one version until it is taken or found out of date.
func (operator *operator) put(random *rand.Rand, version int, body []byte, limit time.Duration) bool {
	until := time.Now().Add(limit)
	for time.Now().Before(until) {
		began := time.Now()
		status, text := operator.control(random, http.MethodPut, "/v1/configuration", string(body))
		switch status {
		case http.StatusOK:
			taken := time.Now()
			operator.run.book.note(func(oracle *oracle.Oracle) { oracle.PutTaken(uint64(version), string(body), began, taken) })
			return true
		case http.StatusConflict:
			return false
		case http.StatusBadRequest:
			operator.run.book.note(func(oracle_ *oracle.Oracle) {
				oracle_.Violate(oracle.BrokenTaken, "a valid configuration was refused: %s", text)
			})
			return false
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

func (operator *operator) next(limit time.Duration) bool {
	operator.version++
	return operator.put(operator.random, operator.version, operator.document("1s"), limit)
}

// race puts two of one version with different content, and the next one, all at
// the same time.
func (operator *operator) race() {
	operator.version++
	done := make(chan struct{})
	put := func(version int, body []byte, seed uint64) {
		go func() {
			operator.put(rand.New(rand.NewPCG(seed, 7)), version, body, 8*time.Second)
			done <- struct{}{}
		}()
	}
	put(operator.version, operator.document("1s"), operator.random.Uint64())
	put(operator.version, operator.document("2s"), operator.random.Uint64())
	operator.version++
	put(operator.version, operator.document("1s"), operator.random.Uint64())
	for range 3 {
		<-done
	}
}

func (operator *operator) readBack() {
	began := time.Now()
	status, text := operator.control(operator.random, http.MethodGet, "/v1/configuration", "")
	var got struct {
		Version       uint64          `json:"version"`
		Configuration json.RawMessage `json:"configuration"`
	}
	if status != http.StatusOK || json.Unmarshal(text, &got) != nil {
		return
	}
	at := time.Now()
	operator.run.book.note(func(oracle *oracle.Oracle) { oracle.ReadBack(got.Version, string(got.Configuration), began, at) })
}

// broken puts what must be refused.
func (operator *operator) broken() {
	bodies := []string{`{"version":900000,"spaces":[{"name":"boards"}]}`, `{"version":900000,"spaces":[],"spaces":[]}`, `{"version":900000,"spaces":[]} x`}
	body := bodies[operator.random.IntN(len(bodies))]
	if status, _ := operator.control(operator.random, http.MethodPut, "/v1/configuration", body); status == http.StatusOK {
		operator.run.book.note(func(oracle *oracle.Oracle) { oracle.BrokenWasTaken(body) })
	}
}

func nothing(*operator) {}

// work goes on until stop.
func (operator *operator) work() {
	operator.working.Store(true)
	go func() {
		defer close(operator.ended)
		for operator.working.Load() {
			select {
			case wished := <-operator.wishes:
				wished(operator)
			case <-time.After(time.Duration(1000+operator.random.IntN(3000)) * time.Millisecond):
				switch operator.random.IntN(4) {
				case 0:
					operator.broken()
				case 1:
					operator.next(8 * time.Second)
				}
			}
			operator.readBack()
		}
	}()
}

func (operator *operator) stop() {
	operator.working.Store(false)
	operator.wishes <- nothing
	<-operator.ended
}

// addSpace adds a space and tells once it was taken.
func addSpace(name string, taken func()) wish {
	return func(operator *operator) {
		operator.spaces[name] = true
		operator.run.book.note(func(oracle *oracle.Oracle) { oracle.Space(name, false, false) })
		if operator.next(20 * time.Second) {
			taken()
		}
	}
}

func removeSpace(name string) wish {
	return func(operator *operator) {
		delete(operator.spaces, name)
		if operator.next(20 * time.Second) {
			at := time.Now()
			operator.run.book.note(func(oracle *oracle.Oracle) { oracle.Removed(name, at) })
		}
	}
}

func drain(names ...string) wish {
	return func(operator *operator) {
		operator.drains = names
		operator.next(20 * time.Second)
	}
}
