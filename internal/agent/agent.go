// Package agent is the state machine of the daemon beside each gateway.
//
// A Agent is the agent beside a gateway: it holds the link to the controllers and
// feeds its gateway over loopback. It follows the control state for itself, and
// passes its gateway's questions, heartbeats' news and operators' requests on
// to whichever controller is primary. Asked to stop together with its gateway, it
// outlives it, so that the gateway stays confirmed while it empties itself.
package agent

import (
	"slices"
	"time"

	"dahlialock/internal/controlclient"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

const (
	// gatewayAlive is how long after its last question a gateway counts as there,
	// stopLimit how long an agent that stops waits for its farewell.
	gatewayAlive = 2 * time.Second
	stopLimit    = 3800 * time.Millisecond
)

// Settings are an agent daemon's settings.
type Settings struct {
	Self    membership.Member
	Seeds   []string
	Gateway string
	// Acknowledge is within what time a proper order is to be acknowledged.
	Acknowledge time.Duration
	// Incarnation names this run of the process.
	Incarnation statemachine.Incarnation
}

// Request is an operator's request at this daemon's own ctl.
type Request struct {
	Local  uint64
	Method string
	Path   string
	Body   []byte
}

// Stop asks the agent to end.
type Stop struct{}

type relayed struct {
	ask    membership.ViewRequest
	sentAt time.Time
	open   bool
}

type carried struct {
	request statemachine.RequestID
	from    string
}

// Agent is the state machine.
type Agent struct {
	settings      Settings
	follower      *membership.ViewClient
	pulse         *membership.FailureDetector
	controlClient *controlclient.ControlClient
	relayed       relayed
	local         uint64
	carrying      map[uint64]carried
	askedAt       time.Time
	timers        *statemachine.Timers[string]
}

// New makes an agent.
func New(settings Settings) *Agent {
	agent := &Agent{settings: settings, carrying: map[uint64]carried{}, timers: statemachine.NewTimers[string]()}
	agent.follower = membership.NewViewClient(settings.Self, settings.Incarnation, settings.Seeds, func() membership.Load { return membership.Load{Ready: true} })
	agent.pulse = membership.NewFailureDetector(settings.Self)
	agent.controlClient = controlclient.New(controlclient.Settings{
		Incarnation: settings.Incarnation, Acknowledge: settings.Acknowledge, Upstream: agent.follower.Upstream, Next: agent.follower.NextController, Relays: agent.follower.Relays,
	})
	return agent
}

// ConfigurationVersion is the newest configuration version seen here.
func (a *Agent) ConfigurationVersion() uint64 { return a.follower.Version }

// ViewClient gives the agent's view, for its ctl.
func (a *Agent) ViewClient() *membership.ViewClient { return a.follower }

// Ready tells whether the link to the controllers stands.
func (a *Agent) Ready() bool { return a.follower.Index > 0 }

// Start begins the agent's work.
func (a *Agent) Start(now time.Time, effects *statemachine.Effects) {
	a.follower.Start(now)
	a.pulse.Start(now)
}

// NextTick is when the agent wants to run again.
func (a *Agent) NextTick() time.Time {
	return statemachine.Earliest(a.follower.NextTick(), a.pulse.NextTick(), a.controlClient.NextTick(), a.timers.Next())
}

// Tick runs whatever is due.
func (a *Agent) Tick(now time.Time, effects *statemachine.Effects) {
	a.follower.Tick(now, effects)
	a.pulse.Tick(now, effects)
	a.controlClient.Tick(now, effects)
	if len(a.timers.Expired(now)) > 0 {
		a.end(effects)
	}
	a.settle(effects)
}

// end leaves the fleet.
func (a *Agent) end(effects *statemachine.Effects) {
	for _, member := range statemachine.Sorted(a.follower.Members) {
		if member.Kind == membership.KindController {
			effects.Send(member.Address, membership.GracefulLeave{Name: a.settings.Self.Name, Incarnation: a.settings.Self.Incarnation})
		}
	}
	effects.Stop = true
}

// HandleCommand takes what the adapters bring.
func (a *Agent) HandleCommand(now time.Time, command any, effects *statemachine.Effects) {
	switch body := command.(type) {
	case Request:
		a.controlClient.Forward(now, body.Local, body.Method, body.Path, body.Body, effects)
	case Stop:
		switch {
		case a.askedAt.IsZero() || now.Sub(a.askedAt) > gatewayAlive:
			a.end(effects)
		case !a.timers.Armed("stop"):
			a.timers.Arm("stop", now.Add(stopLimit))
		}
	}
}

// HandleMessage takes what other daemons, and the gateway, say.
func (a *Agent) HandleMessage(now time.Time, meta statemachine.Meta, message any, effects *statemachine.Effects) {
	if meta.From != a.settings.Gateway {
		a.pulse.ReceiveFromPeer(now)
	}
	switch body := message.(type) {
	case membership.ViewRequest:
		if meta.From == a.settings.Gateway {
			a.askedAt = now
			a.relayed = relayed{ask: body, sentAt: now, open: true}
			for _, address := range a.follower.Upstreams() {
				effects.Send(address, body)
			}
		}
	case membership.ViewUpdate:
		a.onNews(now, body, effects)
	case membership.Redirect:
		if body.Recipient == a.settings.Self.Name {
			a.follower.HandleRedirect(now, body, effects)
			return
		}
		a.redirectGateway(now, body, effects)
	case membership.GracefulLeave:
		if meta.From != a.settings.Gateway {
			return
		}
		if a.askedAt = (time.Time{}); a.timers.Armed("stop") {
			a.end(effects)
		}
	case membership.Heartbeat:
		a.pulse.ReceiveHeartbeat(now, body)
	case membership.ControlRequest:
		a.local++
		a.carrying[a.local] = carried{request: body.Request, from: meta.From}
		a.controlClient.Relay(now, a.local<<32, body, effects)
	case membership.ControlResponse:
		a.controlClient.HandleResponse(now, meta.From, body, effects)
	case membership.ConfigurationRequest:
		a.follower.RespondToConfigurationRequest(meta.From, body, effects)
	}
	a.settle(effects)
}

// settle hands the answers to the gateway's requests on, out of the returns.
func (a *Agent) settle(effects *statemachine.Effects) {
	kept := effects.Responses[:0]
	for _, returned := range effects.Responses {
		asked, found := a.carrying[returned.Request>>32]
		if returned.Request < 1<<32 || !found {
			kept = append(kept, returned)
			continue
		}
		delete(a.carrying, returned.Request>>32)
		answer := returned.Value.(membership.ControlResponse)
		answer.Request, answer.Redirect = asked.request, ""
		effects.Send(asked.from, answer)
	}
	effects.Responses = kept
}

func (a *Agent) onNews(now time.Time, news membership.ViewUpdate, effects *statemachine.Effects) {
	if news.Recipient != a.settings.Self.Name {
		a.relayed.open = a.relayed.open && news.Nonce != a.relayed.ask.Nonce
		effects.Send(a.settings.Gateway, news)
		return
	}
	taken := a.follower.HandleUpdate(now, news)
	if taken.View {
		a.pulse.SetView(now, a.follower.Members, a.follower.Index)
	}
}

// redirectGateway lets a controller that is not primary correct this agent's view of
// who is, so that the gateway's next question goes the right way.
func (a *Agent) redirectGateway(now time.Time, redirect membership.Redirect, effects *statemachine.Effects) {
	if !a.relayed.open || redirect.Nonce != a.relayed.ask.Nonce {
		return
	}
	if redirect.Primary != "" && !slices.Contains(a.follower.Upstreams(), redirect.Primary) {
		effects.Send(redirect.Primary, a.relayed.ask)
	}
	a.follower.PollNow(now)
}
