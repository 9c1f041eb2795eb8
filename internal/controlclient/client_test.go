package controlclient

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

const (
	primary = "controller-1"
	other   = "controller-2"
)

func newClient(incarnation statemachine.Incarnation) *ControlClient {
	return New(Settings{
		Incarnation:    incarnation,
		Upstream:       func() string { return primary },
		NextController: func() string { return other },
	})
}

// forward forwards a request without a body and returns the message to the primary.
func forward(
	t *testing.T,
	client *ControlClient,
	now time.Time,
	local uint64,
	method string,
) membership.ControlRequest {
	t.Helper()
	var effects statemachine.Effects
	client.Forward(now, local, method, "/v1/configuration", nil, &effects)
	assert.Equal(t, len(effects.Sends), 1)
	assert.Equal(t, effects.Sends[0].To, primary)
	return effects.Sends[0].Message.(membership.ControlRequest)
}

// respond passes a response to the client and returns the client's responses to operators.
func respond(
	client *ControlClient,
	now time.Time,
	from string,
	response membership.ControlResponse,
) []statemachine.Response {
	var effects statemachine.Effects
	client.HandleResponse(now, from, response, &effects)
	return effects.Responses
}

// responsesToEarlierIncarnation returns the responses to the operator of a second incarnation
// when a response to the request of the first with the same number arrives.
func responsesToEarlierIncarnation(t *testing.T) []statemachine.Response {
	t.Helper()
	now := time.Unix(1000, 0)
	earlier := forward(t, newClient(1), now, 7, "GET")
	restarted := newClient(2)
	forward(t, restarted, now.Add(time.Second), 7, "GET")
	return respond(restarted, now.Add(1100*time.Millisecond), primary, membership.ControlResponse{
		Request: earlier.Request, Status: 200, Body: []byte("another's"),
	})
}

func TestControlClientIgnoresResponseToEarlierIncarnation(t *testing.T) {
	assert.Equal(t, len(responsesToEarlierIncarnation(t)), 0)
}

func TestControlClientRespondsOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	client := newClient(1)
	first := forward(t, client, now, 7, "GET")
	second := forward(t, client, now, 8, "GET")
	unsolicited := membership.ControlResponse{Request: second.Request, Status: 200}
	assert.Equal(t, len(respond(client, now, other, unsolicited)), 0)
	responses := respond(client, now, primary, membership.ControlResponse{
		Request: second.Request, Status: 200, Body: []byte("second"),
	})
	assert.Equal(t, len(responses), 1)
	assert.Equal(t, responses[0].Request, uint64(8))
	repeated := membership.ControlResponse{Request: second.Request, Status: 200}
	assert.Equal(t, len(respond(client, now, primary, repeated)), 0)
	responses = respond(client, now, primary, membership.ControlResponse{
		Request: first.Request, Status: 200, Body: []byte("first"),
	})
	assert.Equal(t, responses[0].Request, uint64(7))
	// A response without a request identity belongs to no request.
	assert.Equal(t, len(respond(client, now, primary, membership.ControlResponse{Status: 200})), 0)
}

// If the hedged request and then the slow primary respond, the operator gets one response.
func TestControlClientRespondsOnceWhenHedged(t *testing.T) {
	now := time.Unix(1000, 0)
	client := newClient(1)
	sent := forward(t, client, now, 7, "PUT")
	now = now.Add(DefaultAcknowledgeTimeout / hedgeDivisor)
	var effects statemachine.Effects
	client.Tick(now, &effects)
	assert.Equal(t, effects.Sends[0].To, other)
	hedged := effects.Sends[0].Message.(membership.ControlRequest)
	assert.Equal(t, hedged.Request, sent.Request)
	responses := respond(client, now, other, membership.ControlResponse{Request: hedged.Request, Status: 200})
	assert.Equal(t, len(responses), 1)
	late := membership.ControlResponse{Request: sent.Request, Status: 409}
	assert.Equal(t, len(respond(client, now, primary, late)), 0)
}

// A relayed request keeps its Order and gets a new request identity on each hop.
func TestControlClientRelayKeepsOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	first := forward(t, newClient(1), now, 7, "POST")
	assert.Equal(t, first.OriginalRequest, first.Request)
	var effects statemachine.Effects
	newClient(2).Relay(now, 9, first, &effects)
	second := effects.Sends[0].Message.(membership.ControlRequest)
	assert.Equal(t, second.OriginalRequest, first.OriginalRequest)
	assert.Assert(t, second.Request != first.Request)
}
