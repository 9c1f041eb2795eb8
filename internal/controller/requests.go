package controller

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"dahlialock/internal/consensus"
	"dahlialock/internal/controlclient"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// Paths of operators' requests.
const (
	pathConfiguration = "/v1/configuration"
	pathCluster       = "/v1/cluster"
	pathPlacement     = "/v1/placement"
	pathEpochs        = "/v1/epochs"
	prefixStores      = "/v1/stores/"
)

// errorCode is the code of an error response. Operators' programs evaluate it.
type errorCode string

const (
	// codeNoPrimary: no primary is available at the moment.
	codeNoPrimary errorCode = "no-primary"
	// codeNoSuchPath: the path or the method is unknown.
	codeNoSuchPath errorCode = "no-such-path"
	// codeNoSuchStore: no store has this name.
	codeNoSuchStore errorCode = "no-such-store"
	// codeNoConfiguration: no configuration has been accepted yet.
	codeNoConfiguration errorCode = "no-configuration"
	// codeInvalidConfiguration: the configuration is invalid; the response lists its faults.
	codeInvalidConfiguration errorCode = "faulty-configuration"
	// codeSameVersion: the version was accepted before with other content.
	codeSameVersion errorCode = "same-version"
	// codeOlderVersion: a newer version was accepted before.
	codeOlderVersion errorCode = "older-version"
	// codeTooFewStores: too few other stores would remain.
	codeTooFewStores errorCode = "too-few-stores"
	// codeRefused: the order has no effect. It may be retried.
	codeRefused errorCode = "refused"
	// codeIndeterminate: the outcome is unknown; the order may or may not take effect. The same
	// order may be retried.
	codeIndeterminate errorCode = "unsettled"
	// codeUnconfirmed: no majority of the voters confirmed that this controller is still the
	// primary.
	codeUnconfirmed errorCode = "unconfirmed"
)

// retryAfter is the retry delay in responses of status 503.
const retryAfter = time.Second

// response is the response to an operator's request.
type response struct {
	status int
	body   []byte
}

// okResponse returns a response of status 200 with a JSON value.
func okResponse(value any) response { return jsonResponse(http.StatusOK, value) }

func jsonResponse(status int, value any) response {
	body, err := json.Marshal(value)
	if err != nil {
		// All values are structs of this package, which can be encoded.
		panic(err)
	}
	return response{status: status, body: body}
}

func errorResponse(status int, code errorCode, text string) response {
	return response{status: status, body: controlclient.ErrorBody(string(code), text, nil)}
}

func unavailableResponse(code errorCode, text string) response {
	return errorResponse(http.StatusServiceUnavailable, code, text)
}

// responder sends the response to one request.
type responder struct {
	node    *consensus.Node
	to      string
	request statemachine.RequestID
}

// respond sends the response. It must be sent before the lease ends, except a response of
// status 503, which says nothing about the control state.
func (r responder) respond(response response, effects *statemachine.Effects) {
	message := membership.ControlResponse{Request: r.request, Status: response.status, Body: response.body}
	if response.status == http.StatusServiceUnavailable {
		message.RetryAfter = retryAfter
		effects.Send(r.to, message)
		return
	}
	effects.SendBefore(r.to, message, r.node.LeaseEnd())
}

// respondConfirmed reads a response from the control state and sends it, after a majority
// of the voters has confirmed that this controller is still the primary (a read barrier).
func (c *Controller) respondConfirmed(
	now time.Time, responder responder, read func() response, effects *statemachine.Effects,
) {
	done := func(_ time.Time, effects *statemachine.Effects, outcome consensus.Outcome) {
		if outcome != consensus.Committed {
			responder.respond(unavailableResponse(
				codeUnconfirmed, "no majority confirmed this answer"), effects)
			return
		}
		responder.respond(read(), effects)
	}
	c.node.Confirm(now, done, effects)
}

// handleControlRequest executes an operator's request. A controller without a lease redirects
// or rejects the request at once: it never responds from a state that may be stale.
func (c *Controller) handleControlRequest(
	now time.Time, from string, request membership.ControlRequest, effects *statemachine.Effects,
) {
	responder := responder{node: c.node, to: from, request: request.Request}
	if !c.node.HoldsLease(now) {
		c.rejectWithoutLease(responder, effects)
		return
	}
	c.beginTerm(now)
	path, _, _ := strings.Cut(request.Path, "?")
	if name, found := strings.CutPrefix(path, prefixStores); found {
		c.handleStoreRequest(now, request, name, responder, effects)
		return
	}
	if request.Method == http.MethodPut && path == pathConfiguration {
		c.putConfiguration(now, from, request.Body, responder, effects)
		return
	}
	if read := c.reader(now, path); read != nil && request.Method == http.MethodGet {
		c.respondConfirmed(now, responder, read, effects)
		return
	}
	unknown := errorResponse(http.StatusNotFound, codeNoSuchPath, request.Method+" "+path+" is not known")
	responder.respond(unknown, effects)
}

// rejectWithoutLease redirects a request to the primary, or requests a retry if no other
// controller is known to be primary.
func (c *Controller) rejectWithoutLease(responder responder, effects *statemachine.Effects) {
	primary, found := c.node.Primary()
	if !found || primary.Name == c.settings.Self.Name {
		responder.respond(unavailableResponse(codeNoPrimary, "no controller can serve at this moment"), effects)
		return
	}
	effects.Send(responder.to, membership.ControlResponse{
		Request:    responder.request,
		Status:     http.StatusServiceUnavailable,
		Redirect:   primary.Address,
		RetryAfter: retryAfter,
		Body:       controlclient.ErrorBody(string(codeNoPrimary), "the primary does not answer", nil),
	})
}

// reader returns the function that reads the response for a path from the control state, or
// nil if the path is unknown.
func (c *Controller) reader(now time.Time, path string) func() response {
	switch path {
	case pathConfiguration:
		return c.readConfiguration
	case pathCluster:
		return c.readCluster
	case pathPlacement:
		return c.readPlacement
	case pathEpochs:
		return func() response { return c.readEpochs(now) }
	}
	return nil
}

// configurationInForce is the response to a request for the configuration in force.
type configurationInForce struct {
	Configuration json.RawMessage `json:"configuration"`
	Version       uint64          `json:"version"`
}

func (c *Controller) readConfiguration() response {
	if c.state.Version == 0 {
		return errorResponse(http.StatusNotFound, codeNoConfiguration, "no configuration has been accepted yet")
	}
	return okResponse(configurationInForce{
		Configuration: c.state.Document,
		Version:       c.state.Version,
	})
}

// clusterView is the response to a request for the members of the cluster.
type clusterView struct {
	Index   uint64                     `json:"index"`
	Loads   map[string]membership.Load `json:"loads"`
	Members []membership.Member        `json:"members"`
}

func (c *Controller) readCluster() response {
	members := []membership.Member{}
	for _, member := range statemachine.Sorted(c.state.Members) {
		members = append(members, member)
	}
	return okResponse(clusterView{
		Index:   c.state.Index,
		Loads:   c.loads,
		Members: members,
	})
}

// placementView is the response to a request for the placements of partitions.
type placementView struct {
	Index      uint64                 `json:"index"`
	Partitions []membership.Placement `json:"partitions"`
}

func (c *Controller) readPlacement() response {
	placements := []membership.Placement{}
	for _, placement := range statemachine.Sorted(c.state.Placements) {
		placements = append(placements, placement)
	}
	return okResponse(placementView{
		Index:      c.state.Index,
		Partitions: placements,
	})
}

// epochView is the response to a request for the controllers' current epoch.
type epochView struct {
	Backups  []string `json:"backups"`
	Epoch    uint64   `json:"epoch"`
	Index    uint64   `json:"index"`
	Primary  string   `json:"primary"`
	Standbys []string `json:"standbys"`
	Voters   []string `json:"voters"`
}

func (c *Controller) readEpochs(now time.Time) response {
	record := c.node.Record()
	return okResponse(epochView{
		Backups:  record.Backups,
		Epoch:    record.Epoch,
		Index:    c.state.Index,
		Primary:  record.Primary,
		Standbys: controllerNames(c.node.Learners(now)),
		Voters:   controllerNames(record.Voters),
	})
}

// controllerNames returns the names of controllers. The result is never nil, so that it is
// encoded as [] in JSON.
func controllerNames(controllers []consensus.Controller) []string {
	names := []string{}
	for _, controller := range controllers {
		names = append(names, controller.Name)
	}
	return names
}

// handleControlResponse passes a response on to the operator that sent the request to this
// daemon. If this controller is the primary that responded, its lease limits the response as it
// limits a response to another daemon.
func (c *Controller) handleControlResponse(
	now time.Time, from string, message membership.ControlResponse, effects *statemachine.Effects,
) {
	earlier := len(effects.Responses)
	c.controlClient.HandleResponse(now, from, message, effects)
	if from != c.settings.Self.Address || message.Status == http.StatusServiceUnavailable {
		return
	}
	for position := earlier; position < len(effects.Responses); position++ {
		effects.Responses[position].NotAfter = c.node.LeaseEnd()
		effects.Responses[position].LateValue = membership.ControlResponse{
			Status:     http.StatusServiceUnavailable,
			RetryAfter: retryAfter,
			Body: controlclient.ErrorBody(
				string(codeIndeterminate), "this controller may not answer any more; send the same again", nil),
		}
	}
}
