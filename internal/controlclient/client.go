package controlclient

import (
	"fmt"
	"net/http"
	"time"

	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// DefaultAcknowledge is the value of Settings.Acknowledge if none is set.
const DefaultAcknowledge = 5 * time.Second

// Parts of Settings.Acknowledge and other bounds.
const (
	// hedgeDivisor is the part of Acknowledge after which, each time, further daemons are
	// asked: a twentieth of it.
	hedgeDivisor = 20
	// deadlinePercent is how many hundredths of Acknowledge pass before the operator is
	// asked to retry. Operators tolerate a second of silence; with DefaultAcknowledge this
	// is less.
	deadlinePercent = 18
	// bytesPerMillisecond extends the deadline of a large request, which must be read,
	// synced and replicated first: by a millisecond for each so many bytes of its body.
	bytesPerMillisecond = 100
	// retryAfter is how long an operator is asked to wait at least before a retry.
	retryAfter = time.Second
	// maxRedirects bounds the redirects that are followed for one request.
	maxRedirects = 6
)

// Settings configure a ControlClient.
type Settings struct {
	Incarnation statemachine.Incarnation
	// Acknowledge is within what time operators expect a valid request to be answered.
	Acknowledge time.Duration
	// Upstream returns the address of the controller to ask first, Next that of a
	// further one to ask. An empty address means that none is known.
	Upstream, Next func() string
	// Relays returns the addresses of daemons that forward requests; nil if there are
	// none.
	Relays func() []string
}

// clientTimer names the timers of a ControlClient.
type clientTimer int

const timerHedge clientTimer = iota

// ControlClient is the state machine.
type ControlClient struct {
	settings Settings
	requests statemachine.RequestSequence
	// pending holds the requests without a final response, by number.
	pending map[uint64]*pendingRequest
	timers  *statemachine.Timers[clientTimer]
}

// pendingRequest is a request that was forwarded and has no final response yet.
type pendingRequest struct {
	request membership.ControlRequest
	// local is the number under which the owner awaits the response.
	local    uint64
	deadline time.Time
	hedgeAt  time.Time
	// awaiting is true for each address that was asked and has not responded, false
	// for each that has; unanswered counts the former.
	awaiting   map[string]bool
	unanswered int
	redirects  int
	// mayHaveEffect is set once a controller that may act could not tell the outcome.
	mayHaveEffect bool
	// rejection is the newest response of a daemon that reached no controller.
	rejection *membership.ControlResponse
}

// New returns a client without pending requests.
func New(settings Settings) *ControlClient {
	if settings.Acknowledge <= 0 {
		settings.Acknowledge = DefaultAcknowledge
	}
	return &ControlClient{
		settings: settings,
		requests: statemachine.NewRequestSequence(settings.Incarnation),
		pending:  map[uint64]*pendingRequest{},
		timers:   statemachine.NewTimers[clientTimer](),
	}
}

// NextTick is when Tick is to be called next.
func (c *ControlClient) NextTick() time.Time { return c.timers.Next() }

// Forward begins to forward an operator's request. The response is an effect for the
// request number local, with a membership.ControlResponse as its value.
func (c *ControlClient) Forward(
	now time.Time,
	local uint64,
	method, path string,
	body []byte,
	effects *statemachine.Effects,
) {
	c.forward(now, local, membership.ControlRequest{Method: method, Path: path, Body: body}, effects)
}

// Relay forwards a request on behalf of another daemon. One that was relayed before
// goes to controllers only, so that it cannot circulate.
func (c *ControlClient) Relay(
	now time.Time,
	local uint64,
	request membership.ControlRequest,
	effects *statemachine.Effects,
) {
	c.forward(now, local, membership.ControlRequest{
		Method:  request.Method,
		Path:    request.Path,
		Body:    request.Body,
		Order:   request.Order,
		Relayed: request.Relayed,
	}, effects)
}

func (c *ControlClient) forward(
	now time.Time,
	local uint64,
	request membership.ControlRequest,
	effects *statemachine.Effects,
) {
	request.Request = c.requests.Next()
	if !request.Order.IsSet() {
		request.Order = request.Request
	}
	timeout := c.settings.Acknowledge * deadlinePercent / 100
	extension := time.Duration(len(request.Body)/bytesPerMillisecond) * time.Millisecond
	pending := &pendingRequest{
		request:  request,
		local:    local,
		awaiting: map[string]bool{},
		deadline: now.Add(timeout + extension),
		hedgeAt:  now.Add(c.hedgeInterval()),
	}
	c.pending[request.Request.Number] = pending
	if !pending.send(c.settings.Upstream(), effects) && !c.hedge(pending, effects) {
		c.timeOut(pending, effects)
		return
	}
	c.timers.ArmSooner(timerHedge, pending.hedgeAt)
}

func (c *ControlClient) hedgeInterval() time.Duration {
	return c.settings.Acknowledge / hedgeDivisor
}

// send sends the request to a controller; false if it was sent there before, or the
// address is empty.
func (p *pendingRequest) send(to string, effects *statemachine.Effects) bool {
	if _, sent := p.awaiting[to]; sent || to == "" {
		return false
	}
	p.awaiting[to] = true
	p.unanswered++
	effects.Send(to, p.request)
	return true
}

// sendToRelay sends the request to a relay; false if it was sent there before.
func (p *pendingRequest) sendToRelay(relay string, effects *statemachine.Effects) bool {
	if _, sent := p.awaiting[relay]; sent {
		return false
	}
	p.awaiting[relay] = true
	p.unanswered++
	relayed := p.request
	relayed.Relayed = true
	effects.Send(relay, relayed)
	return true
}

// hedge sends the request to one more controller and one more relay; false if there
// is neither.
func (c *ControlClient) hedge(pending *pendingRequest, effects *statemachine.Effects) bool {
	sent := false
	for range len(pending.awaiting) + 1 {
		if pending.send(c.settings.Next(), effects) {
			sent = true
			break
		}
	}
	if c.settings.Relays == nil || pending.request.Relayed || statemachine.Mutated("no-relays") {
		return sent
	}
	relays := c.settings.Relays()
	// Requests begin at different relays, so that the load spreads.
	start := pending.request.Request.Number
	for position := range relays {
		relay := relays[(uint64(position)+start)%uint64(len(relays))]
		if pending.sendToRelay(relay, effects) {
			return true
		}
	}
	return sent
}

// HandleResponse takes a response to one of the client's requests. Responses of other
// incarnations, of daemons that were not asked, and repeated ones are ignored.
func (c *ControlClient) HandleResponse(
	_ time.Time,
	from string,
	response membership.ControlResponse,
	effects *statemachine.Effects,
) {
	number, own := c.requests.NumberOf(response.Request)
	pending, found := c.pending[number]
	if !own || !found || !pending.awaiting[from] {
		return
	}
	pending.awaiting[from] = false
	pending.unanswered--
	if response.Status != http.StatusServiceUnavailable {
		c.finish(pending, response, effects)
		return
	}
	if !reachedNoController(response) {
		pending.mayHaveEffect = pending.mayHaveEffect || pending.request.Method != http.MethodGet
		c.reject(pending, response, effects)
		return
	}
	pending.rejection = &response
	if response.Redirect != "" && pending.redirects < maxRedirects {
		pending.redirects++
		pending.send(response.Redirect, effects)
	}
	if pending.unanswered == 0 && !c.hedge(pending, effects) {
		c.reject(pending, response, effects)
	}
}

// finish gives the final response to whoever made the request.
func (c *ControlClient) finish(
	pending *pendingRequest,
	response membership.ControlResponse,
	effects *statemachine.Effects,
) {
	delete(c.pending, pending.request.Request.Number)
	response.Redirect = ""
	effects.Respond(pending.local, response)
}

// reject ends a request that was not served. A daemon that was asked and has not
// responded may still serve it: a request that changes something then counts as unsettled.
func (c *ControlClient) reject(
	pending *pendingRequest,
	response membership.ControlResponse,
	effects *statemachine.Effects,
) {
	method := pending.request.Method
	response.RetryAfter = max(response.RetryAfter, retryAfter)
	if pending.mayHaveEffect || pending.unanswered > 0 && method != http.MethodGet {
		text := fmt.Sprintf("nobody can tell yet whether this was taken; send the same %s again", method)
		response.Body = ErrorBody(codeUnsettled, text, nil)
	}
	c.finish(pending, response, effects)
}

// timeOut ends a request at its deadline, or one that could be sent nowhere.
func (c *ControlClient) timeOut(pending *pendingRequest, effects *statemachine.Effects) {
	response := membership.ControlResponse{
		Status: http.StatusServiceUnavailable,
		Body:   ErrorBody(codeNoAnswer, "no controller answered", nil),
	}
	if pending.rejection != nil {
		response = *pending.rejection
	}
	c.reject(pending, response, effects)
}

// Tick hedges requests without a response and ends those past their deadlines.
func (c *ControlClient) Tick(now time.Time, effects *statemachine.Effects) {
	if len(c.timers.Expired(now)) == 0 {
		return
	}
	for _, pending := range statemachine.Sorted(c.pending) {
		if !pending.deadline.After(now) {
			c.timeOut(pending, effects)
			continue
		}
		if !pending.hedgeAt.After(now) {
			c.hedge(pending, effects)
			pending.hedgeAt = now.Add(c.hedgeInterval())
		}
		c.timers.ArmSooner(timerHedge, statemachine.Earliest(pending.hedgeAt, pending.deadline))
	}
}
