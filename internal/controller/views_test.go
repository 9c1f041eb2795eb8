package controller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// pollingGateway polls a single controller over a link that delays the responses.
type pollingGateway struct {
	*singleController
	viewClient  *membership.ViewClient
	self        membership.Member
	answerDelay time.Duration
	arrivals    []arrival
	// views counts the views that the controller has sent.
	views int
	// firstViewAfter is the time from the start of the run until the first view was accepted.
	firstViewAfter time.Duration
}

// arrival is a response in flight.
type arrival struct {
	at     time.Time
	update membership.ViewUpdate
}

func newPollingGateway(t *testing.T, answerDelay time.Duration) *pollingGateway {
	t.Helper()
	gateway := &pollingGateway{
		singleController: newSingleController(t, false),
		answerDelay:      answerDelay,
		self: membership.Member{
			Name:        "gateway-1",
			Kind:        membership.KindGateway,
			Address:     "gateway-1",
			Zone:        "zone",
			Incarnation: 7,
			Alive:       true,
		},
	}
	gateway.start()
	return gateway
}

// start creates a view client that has no view yet.
func (g *pollingGateway) start() {
	noLoad := func() membership.Load { return membership.Load{} }
	g.viewClient = membership.NewViewClient(g.self, 0, []string{controllerAddress}, noLoad)
	g.viewClient.Start(g.now)
}

// stepController runs a step of the controller, and records the views that it sends.
func (g *pollingGateway) stepController(run func(effects *statemachine.Effects)) {
	var effects statemachine.Effects
	run(&effects)
	g.unsynced = append(g.unsynced, effects.Writes...)
	for _, send := range effects.Sends {
		switch message := send.Message.(type) {
		case membership.ViewUpdate:
			if message.Changed {
				g.views++
			}
			g.arrivals = append(g.arrivals, arrival{at: g.now.Add(g.answerDelay), update: message})
		default:
			if send.To == controllerAddress {
				g.deliver(controllerAddress, send.Message)
			}
		}
	}
	g.sync()
}

// runFor runs the controller and the gateway for a while, in steps of one millisecond.
func (g *pollingGateway) runFor(length time.Duration) {
	began := g.now
	for g.now.Sub(began) < length {
		g.now = g.now.Add(time.Millisecond)
		if due := g.controller.NextTick(); !due.IsZero() && !due.After(g.now) {
			g.stepController(func(effects *statemachine.Effects) { g.controller.Tick(g.now, effects) })
		}
		for len(g.arrivals) > 0 && !g.arrivals[0].at.After(g.now) {
			g.viewClient.HandleUpdate(g.now, g.arrivals[0].update)
			g.arrivals = g.arrivals[1:]
		}
		if g.viewClient.Index > 0 && g.firstViewAfter == 0 {
			g.firstViewAfter = g.now.Sub(began)
		}
		if !g.viewClient.NextTick().After(g.now) {
			g.tickClient()
		}
	}
}

// tickClient ticks the view client, and delivers its polls at once.
func (g *pollingGateway) tickClient() {
	var polls statemachine.Effects
	g.viewClient.Tick(g.now, &polls)
	for _, send := range polls.Sends {
		g.stepController(func(effects *statemachine.Effects) {
			g.controller.HandleMessage(g.now, statemachine.Meta{From: g.self.Address}, send.Message, effects)
		})
	}
}

// viewsOnSlowLink delays responses for longer than the gateway waits before it polls again. It
// returns how many views were sent before the first one arrived, and when that one was accepted.
func viewsOnSlowLink(t *testing.T) (views int, firstViewAfter time.Duration) {
	t.Helper()
	const delay = 580 * time.Millisecond
	gateway := newPollingGateway(t, delay)
	gateway.runFor(delay - 10*time.Millisecond)
	views = gateway.views
	gateway.runFor(40 * time.Millisecond)
	return views, gateway.firstViewAfter
}

// A view that arrives after the gateway has polled again must still be accepted, and must not be
// sent again for each poll that the gateway sends in the meantime.
func TestViewInFlightIsNotSentAgain(t *testing.T) {
	views, firstViewAfter := viewsOnSlowLink(t)
	assert.Assert(t, firstViewAfter > 0, "no view was accepted")
	assert.Equal(t, views, 1)
}

func TestLostViewIsSentAgain(t *testing.T) {
	gateway := newPollingGateway(t, time.Millisecond)
	gateway.answerDelay = time.Hour
	gateway.runFor(100 * time.Millisecond)
	assert.Equal(t, gateway.views, 1)
	gateway.arrivals, gateway.answerDelay = nil, time.Millisecond
	gateway.runFor(1500 * time.Millisecond)
	soon := gateway.firstViewAfter > 0 && gateway.firstViewAfter < viewResendInterval+reconcileInterval
	assert.Assert(t, soon, "accepted after %v", gateway.firstViewAfter)
}

func TestRestartedMemberIsSentItsViewAtOnce(t *testing.T) {
	gateway := newPollingGateway(t, time.Hour)
	gateway.runFor(100 * time.Millisecond)
	gateway.arrivals, gateway.answerDelay = nil, time.Millisecond
	gateway.self.Incarnation++
	gateway.start()
	gateway.runFor(200 * time.Millisecond)
	soon := gateway.firstViewAfter > 0 && gateway.firstViewAfter < 20*time.Millisecond
	assert.Assert(t, soon, "accepted after %v", gateway.firstViewAfter)
}
