package controller

import (
	"encoding/json"
	"net/http"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

const operatorAddress = "operator"

// singleController is a controller without backups, whose disk can be paused by the test.
// Messages to itself are delivered at once.
type singleController struct {
	t          assert.TestingT
	controller *Controller
	now        time.Time
	// syncPaused is set while writes are kept in unsynced instead of being completed.
	syncPaused bool
	unsynced   []statemachine.Write
	// responses holds the responses to the operator, keyed by the number of the request.
	responses map[uint64]membership.ControlResponse
	requests  uint64
}

func newSingleController(t assert.TestingT, highestWins bool) *singleController {
	tolerance := 0
	single := &singleController{
		t:         t,
		now:       time.Unix(1_700_000_000, 0),
		responses: map[uint64]membership.ControlResponse{},
	}
	controller, err := New(Settings{
		Self: membership.Member{
			Name:        controllerAddress,
			Kind:        membership.KindController,
			Address:     controllerAddress,
			Zone:        "zone",
			Incarnation: 1,
		},
		Seeds:       []string{controllerAddress},
		Bootstrap:   true,
		NewDisk:     "disk",
		HighestWins: highestWins,
		Tolerance:   &tolerance,
	}, nil, nil)
	assert.NilError(t, err)
	single.controller = controller
	single.step(func(effects *statemachine.Effects) { controller.Start(single.now, effects) })
	for range 500 {
		single.advance(10 * time.Millisecond)
	}
	assert.Assert(t, controller.node.Serving(single.now), "the controller does not serve after five seconds")
	return single
}

// step runs a step of the controller and performs its effects.
func (c *singleController) step(run func(effects *statemachine.Effects)) {
	var effects statemachine.Effects
	run(&effects)
	c.unsynced = append(c.unsynced, effects.Writes...)
	for _, send := range effects.Sends {
		if response, found := send.Message.(membership.ControlResponse); found && send.To == operatorAddress {
			c.responses[response.Request.Number] = response
		}
		if send.To == controllerAddress {
			c.deliver(controllerAddress, send.Message)
		}
	}
	if !c.syncPaused {
		c.sync()
	}
}

func (c *singleController) deliver(from string, message any) {
	c.step(func(effects *statemachine.Effects) {
		c.controller.HandleMessage(c.now, statemachine.Meta{From: from}, message, effects)
	})
}

// sync completes all writes, including those that result from it.
func (c *singleController) sync() {
	for len(c.unsynced) > 0 {
		write := c.unsynced[0]
		c.unsynced = c.unsynced[1:]
		c.step(func(effects *statemachine.Effects) {
			c.controller.HandleCommand(c.now, statemachine.Synced{Token: write.Token}, effects)
		})
	}
}

func (c *singleController) advance(length time.Duration) {
	until := c.now.Add(length)
	for due := c.controller.NextTick(); !due.IsZero() && !due.After(until); due = c.controller.NextTick() {
		if due.After(c.now) {
			c.now = due
		}
		c.now = c.now.Add(time.Microsecond)
		c.step(func(effects *statemachine.Effects) { c.controller.Tick(c.now, effects) })
	}
	c.now = until
}

// withSyncPaused calls a function while no write completes, and completes all writes afterwards.
func (c *singleController) withSyncPaused(do func()) {
	c.syncPaused = true
	do()
	c.syncPaused = false
	c.sync()
	c.advance(300 * time.Millisecond)
}

// order sends an operator's order and returns its number.
func (c *singleController) order(method, path, body string) uint64 {
	c.requests++
	request := c.requests
	c.deliver(operatorAddress, membership.ControlRequest{
		Request: statemachine.RequestID{Incarnation: 1, Number: request},
		Method:  method,
		Path:    path,
		Body:    []byte(body),
	})
	return request
}

// putConfiguration sends a configuration and returns the number of the order.
func (c *singleController) putConfiguration(document string) uint64 {
	return c.order(http.MethodPut, "/v1/configuration", document)
}

// retire sends an order to retire a store and returns its number.
func (c *singleController) retire(store string) uint64 {
	return c.order(http.MethodPost, "/v1/stores/"+store+"/retire", "")
}

// status returns the status of the response to an order, or 0 if there is none.
func (c *singleController) status(request uint64) int { return c.responses[request].Status }

// finalStatus waits for the response to an order and returns its status.
func (c *singleController) finalStatus(request uint64) int {
	c.advance(300 * time.Millisecond)
	return c.status(request)
}

// code returns the error code of the response to an order.
func (c *singleController) code(request uint64) errorCode {
	var refused struct {
		Code errorCode `json:"code"`
	}
	assert.NilError(c.t, json.Unmarshal(c.responses[request].Body, &refused))
	return refused.Code
}

func memberNamed(kind, name string, incarnation uint64, disk string) membership.Member {
	return membership.Member{
		Name:        name,
		Kind:        kind,
		Address:     name,
		Zone:        "zone-" + name,
		Incarnation: incarnation,
		Disk:        disk,
		Alive:       true,
	}
}

// poll sends a poll of a member that acknowledges its responses.
func (c *singleController) poll(self membership.Member) {
	c.deliver(self.Address, membership.ViewRequest{Self: self, Nonce: 1, LastAnswered: 1})
}

func (c *singleController) join(kind string, names ...string) {
	for _, name := range names {
		c.poll(memberNamed(kind, name, 1, "disk-"+name))
	}
	c.advance(500 * time.Millisecond)
	for _, name := range names {
		assert.Assert(c.t, c.member(name).Alive, "%s has not joined", name)
	}
}

func (c *singleController) member(name string) membership.Member {
	return c.controller.state.Members[name]
}
