package controlclient

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

var start = time.Unix(1000, 0)

func newClientWithRelays(acknowledge time.Duration) *ControlClient {
	return New(Settings{
		Incarnation:        1,
		AcknowledgeTimeout: acknowledge,
		Upstream:           func() string { return primary },
		NextController:     func() string { return other },
		Relays:             func() []string { return []string{"agent-1", "agent-2"} },
	})
}

// runUntil ticks a client until it responds to an operator or a time is reached. It returns the
// messages and responses of the client and the time of the last tick.
func runUntil(
	client *ControlClient,
	until time.Time,
) (sent []statemachine.Send, responses []statemachine.Response, at time.Time) {
	for !client.NextTick().IsZero() && !client.NextTick().After(until) {
		at = client.NextTick()
		var effects statemachine.Effects
		client.Tick(at, &effects)
		sent = append(sent, effects.Sends...)
		responses = append(responses, effects.Responses...)
		if len(responses) > 0 {
			return sent, responses, at
		}
	}
	return sent, responses, at
}

func TestControlClientHedgesAndRespondsBeforeDeadline(t *testing.T) {
	for _, acknowledge := range []time.Duration{DefaultAcknowledgeTimeout, 2 * DefaultAcknowledgeTimeout} {
		client := newClientWithRelays(acknowledge)
		forward(t, client, start, 7, "PUT")
		sent, responses, at := runUntil(client, start.Add(time.Minute))
		var names []string
		for _, send := range sent {
			names = append(names, send.To)
			assert.Equal(t, send.Message.(membership.ControlRequest).Relayed, strings.HasPrefix(send.To, "agent"))
		}
		slices.Sort(names)
		assert.DeepEqual(t, names, []string{"agent-1", "agent-2", other})
		assert.Equal(t, at.Sub(start), acknowledge*deadlinePercent/100)
		response := responses[0].Value.(membership.ControlResponse)
		assert.Equal(t, response.Status, 503)
		assert.Assert(t, response.RetryAfter > 0)
		assert.Assert(t, strings.Contains(string(response.Body), "unsettled"), "%s", response.Body)
	}
}

func TestControlClientWaitsLongerForLargeRequest(t *testing.T) {
	client := newClientWithRelays(0)
	var effects statemachine.Effects
	client.Forward(start, 7, "PUT", "/v1/configuration", make([]byte, 100_000), &effects)
	_, responses, at := runUntil(client, start.Add(time.Minute))
	assert.Equal(t, len(responses), 1)
	assert.Equal(t, at.Sub(start), 1900*time.Millisecond)
}

// A daemon that reaches no controller responds at once, and the request is sent to other daemons
// without waiting for the hedge interval.
func TestControlClientHedgesAtOnceWhenNoControllerIsReached(t *testing.T) {
	client := newClientWithRelays(0)
	request := forward(t, client, start, 7, "PUT")
	var effects statemachine.Effects
	client.HandleResponse(start, primary, membership.ControlResponse{
		Request: request.Request, Status: 503, Body: ErrorBody(codeNoPrimary, "", nil),
	}, &effects)
	assert.Equal(t, len(effects.Responses), 0)
	assert.Equal(t, len(effects.Sends), 2)
	relay := effects.Sends[1].To
	responses := respond(client, start, relay, membership.ControlResponse{Request: request.Request, Status: 200})
	assert.Equal(t, len(responses), 1)
	assert.Equal(t, responses[0].Value.(membership.ControlResponse).Status, 200)
}

// If a controller that can serve requests responds that the outcome is unknown, the response is
// final: the request is not sent to others.
func TestControlClientDoesNotHedgeUnsettledRequest(t *testing.T) {
	client := newClientWithRelays(0)
	request := forward(t, client, start, 7, "PUT")
	var effects statemachine.Effects
	client.HandleResponse(start, primary, membership.ControlResponse{
		Request: request.Request, Status: 503, Body: ErrorBody("unsettled", "", nil),
	}, &effects)
	assert.Equal(t, len(effects.Responses), 1)
	assert.Equal(t, len(effects.Sends), 0)
}

// A relayed request is sent to controllers only, and ends once they have rejected it.
func TestControlClientDoesNotRelayTwice(t *testing.T) {
	client := newClientWithRelays(0)
	var effects statemachine.Effects
	client.Relay(start, 7, membership.ControlRequest{Method: "GET", Relayed: true}, &effects)
	request := effects.Sends[0].Message.(membership.ControlRequest).Request
	sent, _, _ := runUntil(client, start.Add(DefaultAcknowledgeTimeout/hedgeDivisor))
	assert.Equal(t, len(sent), 1)
	assert.Equal(t, sent[0].To, other)
	rejection := membership.ControlResponse{Request: request, Status: 503, Body: ErrorBody(codeNoPrimary, "", nil)}
	assert.Equal(t, len(respond(client, start, primary, rejection)), 0)
	responses := respond(client, start, other, rejection)
	assert.Equal(t, len(responses), 1)
	assert.Assert(t, strings.Contains(string(responses[0].Value.(membership.ControlResponse).Body), codeNoPrimary))
}
