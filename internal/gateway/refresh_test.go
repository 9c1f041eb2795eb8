package gateway

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/config"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// refreshFixture is a confirmed gateway with a session whose client subscribes to a topic without a route.
type refreshFixture struct {
	gateway *Gateway
	now     time.Time
	effects statemachine.Effects
}

func newRefreshFixture(within time.Duration) *refreshFixture {
	fixture := &refreshFixture{now: time.Unix(1000, 0)}
	fixture.gateway = New(Settings{
		Self:          membership.Member{Name: "gateway-1", Kind: membership.KindGateway, Address: "a:1"},
		Agent:         "a:2",
		RefreshWithin: within,
	})
	fixture.gateway.viewClient.Index = 1
	fixture.gateway.viewClient.ConfirmedAt = fixture.now
	fixture.gateway.detector.ReceiveFromPeer(fixture.now)
	fixture.gateway.config.SubscriptionsPerSession = 10
	fixture.gateway.sessions[1] = &session{client: "u", routed: map[string]*topicSubscription{}}
	request := Subscribe{Request: 1, Session: 1, Client: "u", Interests: []Interest{{Path: "new.1"}}}
	fixture.gateway.subscribeRouted(fixture.now, request, false, &fixture.effects)
	return fixture
}

// addRoute brings the route of the topic into force, as news that arrives does.
func (f *refreshFixture) addRoute() {
	space := config.Space{Name: "new", Retention: config.Ephemeral, Order: config.OrderTopic, Subscribers: []string{"*"}}
	f.gateway.spaces["new"] = &spaceState{space: space, name: "new~0"}
	f.gateway.config.Routes = []config.Route{{Prefix: "new.", Space: "new"}}
	f.gateway.completeRefresh(f.now, &f.effects)
}

// answeredCode advances the time and returns the code of the response to the subscription, and whether
// there is one.
func (f *refreshFixture) answeredCode(after time.Duration) (code string, answered bool) {
	f.now = f.now.Add(after)
	if slices.Contains(f.gateway.timers.Expired(f.now), timerRefresh) {
		f.gateway.completeRefresh(f.now, &f.effects)
	}
	if len(f.effects.Responses) == 0 {
		return "", false
	}
	return f.effects.Responses[0].Value.(Reply).Code, true
}

// A request that waits for a newer configuration must not be handled by one that arrives long after it
// was sent: requests that were sent later have been handled by the present configuration meanwhile.
func TestRequestIsNotHandledByConfigurationThatArrivesLate(t *testing.T) {
	fixture := newRefreshFixture(125 * time.Millisecond)
	_, answered := fixture.answeredCode(124 * time.Millisecond)
	assert.Assert(t, !answered)
	code, answered := fixture.answeredCode(time.Millisecond)
	assert.Assert(t, answered && code == "no-such-space", code)
	fixture.addRoute()
	assert.Equal(t, len(fixture.effects.Responses), 1)
	assert.Equal(t, len(fixture.gateway.routed.topics), 0)
}

func TestRequestWaitsForNewerConfiguration(t *testing.T) {
	fixture := newRefreshFixture(125 * time.Millisecond)
	_, answered := fixture.answeredCode(100 * time.Millisecond)
	assert.Assert(t, !answered)
	fixture.addRoute()
	assert.Equal(t, len(fixture.gateway.routed.topics), 1)
}

// While the gateway is not confirmed it handles no request, and a client may wait for it longer.
func TestUnconfirmedGatewayWaitsLongerForNewerConfiguration(t *testing.T) {
	fixture := newRefreshFixture(125 * time.Millisecond)
	fixture.gateway.newerVersion = 1
	assert.Equal(t, fixture.gateway.refreshTimeLimit(fixture.now), refreshTimeout)
	fixture.gateway.newerVersion = 0
	assert.Equal(t, fixture.gateway.refreshTimeLimit(fixture.now), 125*time.Millisecond)
}
