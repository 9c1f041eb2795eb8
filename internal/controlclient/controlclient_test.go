// An operator's request gets the answer to itself: not one to an earlier life's
// request of the same number, not one from another controller, and one only.
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

func life(named statemachine.Incarnation) *ControlClient {
	return New(Settings{Incarnation: named, Upstream: func() string { return primary }, Next: func() string { return other }})
}

// carry begins to carry a question and gives the request that goes out.
func carry(t *testing.T, client *ControlClient, now time.Time, local uint64, method string) membership.ControlRequest {
	t.Helper()
	var effects statemachine.Effects
	client.Forward(now, local, method, "/v1/configuration", nil, &effects)
	assert.Equal(t, len(effects.Sends), 1)
	assert.Equal(t, effects.Sends[0].To, primary)
	return effects.Sends[0].Message.(membership.ControlRequest)
}

// take gives what the client returns to callers upon an answer.
func take(client *ControlClient, now time.Time, from string, answer membership.ControlResponse) []statemachine.Response {
	var effects statemachine.Effects
	client.HandleResponse(now, from, answer, &effects)
	return effects.Responses
}

// lateAnswer is what a caller of a second life is told after an answer to a caller of
// the first.
func lateAnswer(t *testing.T) []statemachine.Response {
	now := time.Unix(1000, 0)
	earlier := carry(t, life(1), now, 7, "GET")
	present := life(2)
	carry(t, present, now.Add(time.Second), 7, "GET")
	return take(present, now.Add(1100*time.Millisecond), primary, membership.ControlResponse{Request: earlier.Request, Status: 200, Body: []byte("another's")})
}

func TestAnAnswerToAnEarlierLifeReachesNobody(t *testing.T) {
	assert.Equal(t, len(lateAnswer(t)), 0)
}

func TestAnAnswerReachesItsCallerOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	client := life(1)
	first, second := carry(t, client, now, 7, "GET"), carry(t, client, now, 8, "GET")
	assert.Equal(t, len(take(client, now, other, membership.ControlResponse{Request: second.Request, Status: 200})), 0)
	returned := take(client, now, primary, membership.ControlResponse{Request: second.Request, Status: 200, Body: []byte("second")})
	assert.Equal(t, len(returned), 1)
	assert.Equal(t, returned[0].Request, uint64(8))
	assert.Equal(t, len(take(client, now, primary, membership.ControlResponse{Request: second.Request, Status: 200})), 0)
	returned = take(client, now, primary, membership.ControlResponse{Request: first.Request, Status: 200, Body: []byte("first")})
	assert.Equal(t, returned[0].Request, uint64(7))
	// What names no request at all is for nobody.
	assert.Equal(t, len(take(client, now, primary, membership.ControlResponse{Status: 200})), 0)
}

// An answer that comes late, from the controller that was silent before another was
// asked, and the answers after it: the caller is told once.
func TestSilenceThenBothAnswer(t *testing.T) {
	now := time.Unix(1000, 0)
	client := life(1)
	asked := carry(t, client, now, 7, "PUT")
	now = now.Add(DefaultAcknowledge / widenShare)
	var effects statemachine.Effects
	client.Tick(now, &effects)
	assert.Equal(t, effects.Sends[0].To, other)
	again := effects.Sends[0].Message.(membership.ControlRequest)
	assert.Equal(t, again.Request, asked.Request)
	returned := take(client, now, other, membership.ControlResponse{Request: again.Request, Status: 200})
	assert.Equal(t, len(returned), 1)
	assert.Equal(t, len(take(client, now, primary, membership.ControlResponse{Request: asked.Request, Status: 409})), 0)
}

// An order keeps its name on its way through another daemon, and each daemon that
// carries it has a name of its own for its request.
func TestAnOrderKeepsItsName(t *testing.T) {
	now := time.Unix(1000, 0)
	first := carry(t, life(1), now, 7, "POST")
	assert.Equal(t, first.Order, first.Request)
	var effects statemachine.Effects
	life(2).Relay(now, 9, first, &effects)
	second := effects.Sends[0].Message.(membership.ControlRequest)
	assert.Equal(t, second.Order, first.Order)
	assert.Assert(t, second.Request != first.Request)
}
