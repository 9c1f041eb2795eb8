package gateway_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/config"
	"dahlialock/internal/gateway"
	"dahlialock/internal/membership"
	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
)

const document = `{"version":1,
	"spaces":[{"name":"boards","promise":"kept","order":"topic"}],
	"routes":[{"prefix":"b.","space":"boards"}]}`

// fixture is a gateway that has received its first view update, which also names a second gateway as
// the target of moves.
type fixture struct {
	now           time.Time
	gateway       *gateway.Gateway
	request       uint64
	viewUpdatedAt time.Time
	// updateEffects are the effects of the newest view update.
	updateEffects statemachine.Effects
}

func (f *fixture) handleCommand(command any) statemachine.Effects {
	var effects statemachine.Effects
	f.gateway.HandleCommand(f.now, command, &effects)
	return effects
}

func (f *fixture) advance(length time.Duration) statemachine.Effects {
	var all statemachine.Effects
	until := f.now.Add(length)
	for {
		due := f.gateway.NextTick()
		if due.IsZero() || due.After(until) {
			break
		}
		if due.After(f.now) {
			f.now = due
		}
		var effects statemachine.Effects
		f.gateway.Tick(f.now, &effects)
		f.respondToAgentRequests(effects)
		all.Append(effects)
	}
	f.now = until
	return all
}

// respondToAgentRequests responds to the view requests of the gateway with a view update, at most once
// per 300 ms.
func (f *fixture) respondToAgentRequests(effects statemachine.Effects) {
	for _, send := range effects.Sends {
		request, matches := send.Message.(membership.ViewRequest)
		if !matches || f.now.Sub(f.viewUpdatedAt) < 300*time.Millisecond {
			continue
		}
		f.viewUpdatedAt = f.now
		partitionName := config.SharedPartition("b.1")
		f.updateEffects = statemachine.Effects{}
		f.gateway.HandleMessage(f.now, statemachine.Meta{From: "10.0.0.1:2", Version: 1}, membership.ViewUpdate{
			Recipient:      "gateway-1",
			Nonce:          request.Nonce,
			Epoch:          1,
			Primary:        "10.0.0.9:1",
			Index:          1,
			Version:        1,
			Document:       []byte(document),
			Changed:        true,
			SpaceCreatedAt: map[string]uint64{"boards": 1},
			Members: []membership.Member{
				{
					Name:          "gateway-1",
					Kind:          membership.KindGateway,
					Address:       "10.0.0.1:1",
					ClientAddress: "10.0.0.1:8000",
					Zone:          "east",
					Incarnation:   1,
					Alive:         true,
					Joined:        1,
				},
				{
					Name:          "gateway-2",
					Kind:          membership.KindGateway,
					Address:       "10.0.0.2:1",
					ClientAddress: "10.0.0.2:8000",
					Zone:          "east",
					Incarnation:   1,
					Alive:         true,
					Joined:        1,
				},
				{
					Name:        "store-1",
					Kind:        membership.KindStore,
					Address:     "10.0.0.3:1",
					Zone:        "east",
					Incarnation: 1,
					Alive:       true,
					Joined:      1,
				},
			},
			Placements: []membership.Placement{{Partition: partitionName, Epoch: 1, Leader: "store-1"}},
		}, &f.updateEffects)
	}
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	fixture := &fixture{now: time.Unix(1000, 0), gateway: gateway.New(gateway.Settings{
		Self: membership.Member{
			Name:          "gateway-1",
			Kind:          membership.KindGateway,
			Address:       "10.0.0.1:1",
			ClientAddress: "10.0.0.1:8000",
			Zone:          "east",
			Incarnation:   1,
		},
		Agent: "10.0.0.1:2",
	})}
	var effects statemachine.Effects
	fixture.gateway.Start(fixture.now, &effects)
	fixture.advance(time.Millisecond)
	assert.Equal(t, fixture.gateway.ConfigurationVersion(), uint64(1))
	return fixture
}

func (f *fixture) openSession(t *testing.T, session uint64, client string) statemachine.Effects {
	t.Helper()
	f.request++
	return f.handleCommand(gateway.OpenSession{
		Request:      f.request,
		Session:      session,
		Name:         client,
		Client:       client,
		AdapterPings: true,
	})
}

func outcome(t *testing.T, effects statemachine.Effects) gateway.Reply {
	t.Helper()
	assert.Equal(t, len(effects.Responses), 1)
	return effects.Responses[0].Value.(gateway.Reply)
}

func moves(effects statemachine.Effects) int {
	count := 0
	for _, deliver := range effects.Deliveries {
		if event, matches := deliver.Event.(gateway.Event); matches && event.Event == "move" && event.To == "10.0.0.2:8000" {
			count++
		}
	}
	return count
}

func TestStoppingGatewayRedirectsNewClients(t *testing.T) {
	fixture := newFixture(t)
	fixture.handleCommand(gateway.Stop{})
	effects := fixture.openSession(t, 1, "u1")
	assert.Equal(t, outcome(t, effects).Outcome, gateway.OutcomeAccepted)
	assert.Equal(t, moves(effects), 1)
	fixture.request++
	other := fixture.handleCommand(gateway.OpenSession{Request: fixture.request, Session: 2, Name: "u2", Client: "u2"})
	assert.Equal(t, outcome(t, other).Code, "stopping")
}

func TestStoppingGatewayServesRemainingClients(t *testing.T) {
	fixture := newFixture(t)
	fixture.openSession(t, 1, "u1")
	fixture.handleCommand(gateway.Stop{})
	fixture.request++
	effects := fixture.handleCommand(gateway.Publish{
		Request: fixture.request,
		Client:  "u1",
		Sender:  "u1",
		Topic:   "b.1",
		Seq:     1,
		Data:    []byte("x"),
	})
	assert.Equal(t, len(effects.Responses), 0)
	found := false
	for _, send := range effects.Sends {
		appended, matches := send.Message.(partition.Append)
		found = found || matches && appended.Topic == "b.1" && send.To == "10.0.0.3:1"
	}
	assert.Assert(t, found, "the publication must be sent to its store: %v", effects.Sends)
}

func TestStoppingGatewayDoesNotAwaitMovedClients(t *testing.T) {
	fixture := newFixture(t)
	for session := range uint64(40) {
		fixture.openSession(t, session+1, "u")
	}
	effects := fixture.handleCommand(gateway.Stop{})
	effects.Append(fixture.advance(250 * time.Millisecond))
	assert.Equal(t, moves(effects), 40)
	assert.Assert(t, !effects.Stop)
	effects = fixture.advance(time.Second)
	assert.Assert(t, effects.Stop)
	ended := 0
	for _, deliver := range effects.Deliveries {
		if deliver.Close {
			ended++
		}
	}
	assert.Equal(t, ended, 40)
	leaveSent := false
	for _, send := range effects.Sends {
		_, matches := send.Message.(membership.GracefulLeave)
		leaveSent = leaveSent || matches && send.To == "10.0.0.1:2"
	}
	assert.Assert(t, leaveSent, "the agent must receive a GracefulLeave")
}
