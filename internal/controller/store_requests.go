package controller

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"dahlialock/internal/consensus"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// The operators' orders for a store, as the last part of the path.
const (
	verbRetire = "retire"
	verbReturn = "return"
)

// storeView is the response to a request about a store.
type storeView struct {
	Alive bool   `json:"alive"`
	Name  string `json:"name"`
	// Partitions lists the partitions of which the store has a replica.
	Partitions []string `json:"partitions"`
	Retired    bool     `json:"retired"`
	Retiring   bool     `json:"retiring"`
}

// handleStoreRequest executes a request under prefixStores; path is the rest of the request's
// path.
func (c *Controller) handleStoreRequest(
	now time.Time, request membership.ControlRequest, path string, responder responder, effects *statemachine.Effects,
) {
	name, verb, _ := strings.Cut(path, "/")
	switch {
	case request.Method == http.MethodGet && verb == "":
		read := func() response { return c.storeResponse(http.StatusOK, name) }
		c.respondConfirmed(now, responder, read, effects)
	case request.Method == http.MethodPost && (verb == verbRetire || verb == verbReturn):
		order := Retirement{Order: request.OriginalRequest, Store: name, Retiring: verb == verbRetire}
		c.orderRetirement(now, order, responder, effects)
	default:
		unknown := errorResponse(
			http.StatusNotFound, codeNoSuchPath, request.Method+" on a store knows retire and return")
		responder.respond(unknown, effects)
	}
}

// storeResponse returns the description of a store, or an error if no store has the name.
func (c *Controller) storeResponse(status int, name string) response {
	member, found := c.state.memberOrTombstone(name)
	if !found || member.Kind != membership.KindStore {
		return errorResponse(http.StatusNotFound, codeNoSuchStore, "no store is named "+name)
	}
	partitions := []string{}
	for _, placement := range statemachine.Sorted(c.state.Placements) {
		if placement.HasReplica(name) {
			partitions = append(partitions, placement.Partition)
		}
	}
	return jsonResponse(status, storeView{
		Alive:      member.Alive,
		Name:       name,
		Partitions: partitions,
		Retired:    member.Retired,
		Retiring:   member.Retiring,
	})
}

// orderRetirement handles an order to retire a store or to return it to use. Whether enough
// other stores would remain is decided when the order is applied.
func (c *Controller) orderRetirement(
	now time.Time, order Retirement, responder responder, effects *statemachine.Effects,
) {
	member, found := c.state.memberOrTombstone(order.Store)
	if !found || member.Kind != membership.KindStore {
		read := func() response { return c.unknownStoreResponse(order.Store) }
		c.respondConfirmed(now, responder, read, effects)
		return
	}
	if member.Retiring == order.Retiring || c.state.acceptedBefore(order.Order) {
		read := func() response { return c.storeResponse(http.StatusAccepted, order.Store) }
		c.respondConfirmed(now, responder, read, effects)
		return
	}
	tooFewStores := errorResponse(http.StatusConflict, codeTooFewStores,
		fmt.Sprintf("%d other stores must be alive to take the partitions", c.state.Tolerance+1))
	if statemachine.Mutated("check-then-act") && order.Retiring && !c.state.mayRetire(order.Store) {
		responder.respond(tooFewStores, effects)
		return
	}
	done := func(now time.Time, effects *statemachine.Effects, outcome consensus.Outcome) {
		switch {
		case outcome != consensus.Committed:
			responder.respond(unavailableResponse(codeIndeterminate, "send the same again"), effects)
		case c.state.result.outcome == TooFewStores:
			responder.respond(tooFewStores, effects)
		default:
			c.timers.ArmSooner(timerReconcile, now)
			responder.respond(c.storeResponse(http.StatusAccepted, order.Store), effects)
		}
	}
	c.node.Submit(now, encodeCommand(Command{Retirement: &order}), c.timeouts.command, done, effects)
}

// unknownStoreResponse returns the response to an order for a store that was not known when the
// order was received. If the store has joined in the meantime, the order may be retried.
func (c *Controller) unknownStoreResponse(name string) response {
	if described := c.storeResponse(http.StatusOK, name); described.status == http.StatusNotFound {
		return described
	}
	return unavailableResponse(codeRefused, "the store has just joined; send the same again")
}
