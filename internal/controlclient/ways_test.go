// Where an answer is long in coming, or comes from one that reaches nobody, a request
// goes on by other ways, and ends in time.
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

func withRelays(acknowledge time.Duration) *ControlClient {
	return New(Settings{
		Incarnation: 1, Acknowledge: acknowledge, Upstream: func() string { return primary }, Next: func() string { return other },
		Relays: func() []string { return []string{"agent-1", "agent-2"} },
	})
}

// due lets a client run on until a moment; it gives whom it asked, what, and what
// callers were told, each with its moment.
func due(client *ControlClient, until time.Time) (asked []statemachine.Send, told []statemachine.Response, at time.Time) {
	for !client.NextTick().IsZero() && !client.NextTick().After(until) {
		at = client.NextTick()
		var effects statemachine.Effects
		client.Tick(at, &effects)
		asked, told = append(asked, effects.Sends...), append(told, effects.Responses...)
		if len(told) > 0 {
			return asked, told, at
		}
	}
	return asked, told, at
}

func TestSilenceIsGoneAroundAndTheOperatorToldInTime(t *testing.T) {
	for _, acknowledge := range []time.Duration{DefaultAcknowledge, 2 * DefaultAcknowledge} {
		client := withRelays(acknowledge)
		carry(t, client, start, 7, "PUT")
		asked, told, at := due(client, start.Add(time.Minute))
		var names []string
		for _, send := range asked {
			names = append(names, send.To)
			assert.Equal(t, send.Message.(membership.ControlRequest).Relayed, strings.HasPrefix(send.To, "agent"))
		}
		slices.Sort(names)
		assert.DeepEqual(t, names, []string{"agent-1", "agent-2", other})
		assert.Equal(t, at.Sub(start), acknowledge*limitShares/100)
		answer := told[0].Value.(membership.ControlResponse)
		assert.Equal(t, answer.Status, 503)
		assert.Assert(t, answer.RetryAfter > 0)
		assert.Assert(t, strings.Contains(string(answer.Body), "unsettled"), "%s", answer.Body)
	}
}

func TestALargeOrderIsWaitedForLonger(t *testing.T) {
	client := withRelays(0)
	var effects statemachine.Effects
	client.Forward(start, 7, "PUT", "/v1/configuration", make([]byte, 100_000), &effects)
	_, told, at := due(client, start.Add(time.Minute))
	assert.Equal(t, len(told), 1)
	assert.Equal(t, at.Sub(start), 1900*time.Millisecond)
}

// Whoever reaches nobody says so at once, and others are asked at once.
func TestARefusalByOneThatReachesNobodyIsGoneAround(t *testing.T) {
	client := withRelays(0)
	request := carry(t, client, start, 7, "PUT")
	var effects statemachine.Effects
	client.HandleResponse(start, primary, membership.ControlResponse{Request: request.Request, Status: 503, Body: ErrorBody(codeNoPrimary, "", nil)}, &effects)
	assert.Equal(t, len(effects.Responses), 0)
	assert.Equal(t, len(effects.Sends), 2)
	relay := effects.Sends[1].To
	returned := take(client, start, relay, membership.ControlResponse{Request: request.Request, Status: 200})
	assert.Equal(t, len(returned), 1)
	assert.Equal(t, returned[0].Value.(membership.ControlResponse).Status, 200)
}

// One that may act and can't tell has the last word: the order is not sent to others.
func TestAnUnsettledOrderIsNotSentOn(t *testing.T) {
	client := withRelays(0)
	request := carry(t, client, start, 7, "PUT")
	var effects statemachine.Effects
	client.HandleResponse(start, primary, membership.ControlResponse{Request: request.Request, Status: 503, Body: ErrorBody("unsettled", "", nil)}, &effects)
	assert.Equal(t, len(effects.Responses), 1)
	assert.Equal(t, len(effects.Sends), 0)
}

// What was relayed goes to controllers only, and ends once they have refused.
func TestWhatWasRelayedIsNotRelayedAgain(t *testing.T) {
	client := withRelays(0)
	var effects statemachine.Effects
	client.Relay(start, 7, membership.ControlRequest{Method: "GET", Relayed: true}, &effects)
	request := effects.Sends[0].Message.(membership.ControlRequest).Request
	asked, _, _ := due(client, start.Add(DefaultAcknowledge/widenShare))
	assert.Equal(t, len(asked), 1)
	assert.Equal(t, asked[0].To, other)
	refusal := membership.ControlResponse{Request: request, Status: 503, Body: ErrorBody(codeNoPrimary, "", nil)}
	assert.Equal(t, len(take(client, start, primary, refusal)), 0)
	returned := take(client, start, other, refusal)
	assert.Equal(t, len(returned), 1)
	assert.Assert(t, strings.Contains(string(returned[0].Value.(membership.ControlResponse).Body), codeNoPrimary))
}
