package agent

import (
	"slices"
	"time"

	"dahlialock/internal/controlclient"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

const (
	// gatewayTimeout is how long a gateway counts as running after its last view request.
	gatewayTimeout = 2 * time.Second
	// stopTimeout is how long a stopping agent waits for its gateway's graceful leave.
	stopTimeout = 3800 * time.Millisecond
	// relayedBase separates the numbers of relayed requests, which are multiples of it,
	// from those of requests received at the agent's own ctl, which are below it.
	relayedBase = 1 << 32
)

// Settings configure an Agent.
type Settings struct {
	Self  membership.Member
	Seeds []string
	// Gateway is the address of the gateway that the agent serves.
	Gateway string
	// AcknowledgeTimeout is the time within which operators expect the response to a valid
	// request; 0 stands for controlclient.DefaultAcknowledgeTimeout.
	AcknowledgeTimeout time.Duration
	Incarnation        statemachine.Incarnation
}

// Request is the command for an operator's request received at this daemon's own ctl. The
// response is a membership.ControlResponse for the number Local.
type Request struct {
	Local  uint64
	Method string
	Path   string
	Body   []byte
}

// Stop is the command to end the process once the gateway has left, or after a timeout.
type Stop struct{}

// agentTimer identifies a timer of an Agent.
type agentTimer int

const timerStop agentTimer = iota

// relayedPoll is the gateway's newest view request.
type relayedPoll struct {
	request membership.ViewRequest
	// open is set until the response has been forwarded to the gateway.
	open bool
}

// relayedRequest is an operator's request that another daemon sent to be forwarded.
type relayedRequest struct {
	request statemachine.RequestID
	from    string
}

// Agent is the state machine of the agent daemon.
type Agent struct {
	settings      Settings
	viewClient    *membership.ViewClient
	detector      *membership.FailureDetector
	controlClient *controlclient.ControlClient
	poll          relayedPoll
	// lastRelayed is the number of the last relayed request; relayed holds the pending ones.
	lastRelayed uint64
	relayed     map[uint64]relayedRequest
	// polledAt is when the gateway's last view request was received; zero once it has left.
	polledAt time.Time
	timers   *statemachine.Timers[agentTimer]
}

// New returns an agent without a view. It starts to poll at the seeds.
func New(settings Settings) *Agent {
	load := func() membership.Load { return membership.Load{Ready: true} }
	viewClient := membership.NewViewClient(settings.Self, settings.Incarnation, settings.Seeds, load)
	return &Agent{
		settings:   settings,
		viewClient: viewClient,
		detector:   membership.NewFailureDetector(settings.Self),
		controlClient: controlclient.New(controlclient.Settings{
			Incarnation:        settings.Incarnation,
			AcknowledgeTimeout: settings.AcknowledgeTimeout,
			Upstream:           viewClient.Upstream,
			NextController:     viewClient.NextController,
			Relays:             viewClient.Relays,
		}),
		relayed: map[uint64]relayedRequest{},
		timers:  statemachine.NewTimers[agentTimer](),
	}
}

// ConfigurationVersion returns the newest configuration version that the agent has received.
func (a *Agent) ConfigurationVersion() uint64 { return a.viewClient.Version }

// ViewClient returns the client that holds the agent's view, which is served at ctl.
func (a *Agent) ViewClient() *membership.ViewClient { return a.viewClient }

// Ready reports whether the agent has a view.
func (a *Agent) Ready() bool { return a.viewClient.Index > 0 }

// Start begins to poll and to send heartbeats.
func (a *Agent) Start(now time.Time, _ *statemachine.Effects) {
	a.viewClient.Start(now)
	a.detector.Start(now)
}

// NextTick returns when Tick is to be called next.
func (a *Agent) NextTick() time.Time {
	return statemachine.Earliest(
		a.viewClient.NextTick(),
		a.detector.NextTick(),
		a.controlClient.NextTick(),
		a.timers.Next(),
	)
}

// Tick handles the timers that are due at now.
func (a *Agent) Tick(now time.Time, effects *statemachine.Effects) {
	a.viewClient.Tick(now, effects)
	a.detector.Tick(now, effects)
	a.controlClient.Tick(now, effects)
	if len(a.timers.Expired(now)) > 0 {
		a.leave(effects)
	}
	a.sendRelayedResponses(effects)
}

// HandleCommand handles a Request or Stop.
func (a *Agent) HandleCommand(now time.Time, command any, effects *statemachine.Effects) {
	switch command := command.(type) {
	case Request:
		a.controlClient.Forward(now, command.Local, command.Method, command.Path, command.Body, effects)
	case Stop:
		a.stop(now, effects)
	}
}

func (a *Agent) stop(now time.Time, effects *statemachine.Effects) {
	gatewayRuns := !a.polledAt.IsZero() && now.Sub(a.polledAt) <= gatewayTimeout
	switch {
	case !gatewayRuns:
		a.leave(effects)
	case !a.timers.Armed(timerStop):
		a.timers.Arm(timerStop, now.Add(stopTimeout))
	}
}

// leave announces to the controllers that this agent stops, and ends the process.
func (a *Agent) leave(effects *statemachine.Effects) {
	for _, member := range statemachine.Sorted(a.viewClient.Members) {
		if member.Kind == membership.KindController {
			effects.Send(member.Address, membership.GracefulLeave{
				Name:        a.settings.Self.Name,
				Incarnation: a.settings.Self.Incarnation,
			})
		}
	}
	effects.Stop = true
}

// HandleMessage handles a message of another daemon or of the gateway.
func (a *Agent) HandleMessage(now time.Time, meta statemachine.Meta, message any, effects *statemachine.Effects) {
	fromGateway := meta.From == a.settings.Gateway
	if !fromGateway {
		a.detector.ReceiveFromPeer(now)
	}
	switch message := message.(type) {
	case membership.ViewRequest:
		if fromGateway {
			a.relayPoll(now, message, effects)
		}
	case membership.ViewUpdate:
		a.handleUpdate(now, message, effects)
	case membership.Redirect:
		a.handleRedirect(now, message, effects)
	case membership.GracefulLeave:
		if fromGateway {
			a.gatewayLeft(effects)
		}
	case membership.Heartbeat:
		a.detector.ReceiveHeartbeat(now, message)
	case membership.ControlRequest:
		a.lastRelayed++
		a.relayed[a.lastRelayed] = relayedRequest{request: message.Request, from: meta.From}
		a.controlClient.Relay(now, a.lastRelayed*relayedBase, message, effects)
	case membership.ControlResponse:
		a.controlClient.HandleResponse(now, meta.From, message, effects)
	case membership.ConfigurationRequest:
		a.viewClient.RespondToConfigurationRequest(meta.From, message, effects)
	}
	a.sendRelayedResponses(effects)
}

// gatewayLeft ends the process if the agent is stopping and waits only for its gateway.
func (a *Agent) gatewayLeft(effects *statemachine.Effects) {
	a.polledAt = time.Time{}
	if a.timers.Armed(timerStop) {
		a.leave(effects)
	}
}

// sendRelayedResponses replaces the responses to relayed requests by messages to the daemons
// that sent them. Responses to requests at the agent's own ctl stay in effects.
func (a *Agent) sendRelayedResponses(effects *statemachine.Effects) {
	own := effects.Responses[:0]
	for _, response := range effects.Responses {
		number := response.Request / relayedBase
		relayed, found := a.relayed[number]
		if !found {
			own = append(own, response)
			continue
		}
		delete(a.relayed, number)
		message := response.Value.(membership.ControlResponse)
		message.Request, message.Redirect = relayed.request, ""
		effects.Send(relayed.from, message)
	}
	effects.Responses = own
}

// relayPoll forwards the gateway's view request to the addresses to which this agent sends its
// own: the primary or, while the agent searches for it, all known controllers and the seeds.
func (a *Agent) relayPoll(now time.Time, request membership.ViewRequest, effects *statemachine.Effects) {
	a.polledAt = now
	a.poll = relayedPoll{request: request, open: true}
	for _, address := range a.viewClient.Upstreams() {
		effects.Send(address, request)
	}
}

// handleUpdate applies an update for this agent and forwards an update for the gateway.
func (a *Agent) handleUpdate(now time.Time, update membership.ViewUpdate, effects *statemachine.Effects) {
	if update.Recipient != a.settings.Self.Name {
		a.poll.open = a.poll.open && update.Nonce != a.poll.request.Nonce
		effects.Send(a.settings.Gateway, update)
		return
	}
	if result := a.viewClient.HandleUpdate(now, update); result.View {
		a.detector.SetView(now, a.viewClient.Members, a.viewClient.Index)
	}
}

// handleRedirect handles the redirect of a controller that is not the primary. If the redirect
// is for the gateway's open request, the agent resends the request to the primary named in the
// redirect and polls at once itself, so that it has the primary for the gateway's next request.
func (a *Agent) handleRedirect(now time.Time, redirect membership.Redirect, effects *statemachine.Effects) {
	if redirect.Recipient == a.settings.Self.Name {
		a.viewClient.HandleRedirect(now, redirect, effects)
		return
	}
	if !a.poll.open || redirect.Nonce != a.poll.request.Nonce {
		return
	}
	if redirect.Primary != "" && !slices.Contains(a.viewClient.Upstreams(), redirect.Primary) {
		effects.Send(redirect.Primary, a.poll.request)
	}
	a.viewClient.PollNow(now)
}
