package controlclient

import (
	"fmt"
	"net/http"
	"time"

	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// DefaultAcknowledgeTimeout is the value of Settings.AcknowledgeTimeout if none is set.
const DefaultAcknowledgeTimeout = 5 * time.Second

// Fractions of Settings.AcknowledgeTimeout, and other limits.
const (
	// hedgeDivisor is the number of hedge intervals in AcknowledgeTimeout. After each interval
	// without a response, the request is sent to further daemons.
	hedgeDivisor = 20
	// deadlinePercent is the percentage of AcknowledgeTimeout after which the operator is asked
	// to retry. Operators tolerate a second without a response; with DefaultAcknowledgeTimeout
	// the deadline is 900 ms.
	deadlinePercent = 18
	// bytesPerMillisecond extends the deadline of a large request, which must first be read,
	// synced and replicated: by one millisecond for each so many bytes of its body.
	bytesPerMillisecond = 100
	// minRetryAfter is the minimum delay that an operator is asked to wait before a retry.
	minRetryAfter = time.Second
	// maxRedirects limits the redirects that are followed for one request.
	maxRedirects = 6
)

// Settings configure a ControlClient.
type Settings struct {
	Incarnation statemachine.Incarnation
	// AcknowledgeTimeout is the time within which operators expect the response to a valid
	// request.
	AcknowledgeTimeout time.Duration
	// Upstream returns the address of the controller to ask first, NextController the address of
	// another controller to ask. An empty address means that none is known.
	Upstream, NextController func() string
	// Relays returns the addresses of daemons that forward requests. It is nil if there are none.
	Relays func() []string
}

// clientTimer names the timers of a ControlClient.
type clientTimer int

const timerHedge clientTimer = iota

// ControlClient is the state machine that forwards requests and matches the responses.
type ControlClient struct {
	settings Settings
	requests statemachine.RequestSequence
	// pending holds the requests without a final response, by request number.
	pending map[uint64]*pendingRequest
	timers  *statemachine.Timers[clientTimer]
}

// pendingRequest is a request that was forwarded and has no final response yet.
type pendingRequest struct {
	request membership.ControlRequest
	// local is the number under which the owner expects the response.
	local    uint64
	deadline time.Time
	hedgeAt  time.Time
	// awaiting holds the address of each daemon that was asked; the value is true until the
	// daemon responds. unanswered counts the addresses without a response.
	awaiting   map[string]bool
	unanswered int
	redirects  int
	// mayHaveEffect is set once a controller responded that it doesn't know the outcome of a
	// request that changes state.
	mayHaveEffect bool
	// rejection is the newest response of a daemon that reached no controller.
	rejection *membership.ControlResponse
}

// New returns a client without pending requests.
func New(settings Settings) *ControlClient {
	if settings.AcknowledgeTimeout <= 0 {
		settings.AcknowledgeTimeout = DefaultAcknowledgeTimeout
	}
	return &ControlClient{
		settings: settings,
		requests: statemachine.NewRequestSequence(settings.Incarnation),
		pending:  map[uint64]*pendingRequest{},
		timers:   statemachine.NewTimers[clientTimer](),
	}
}

// NextTick returns when Tick is to be called next.
func (c *ControlClient) NextTick() time.Time { return c.timers.Next() }

// Forward starts forwarding an operator's request. The response is returned as an effect for the
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

// Relay forwards a request on behalf of another daemon. A request that was relayed before is sent
// to controllers only, so that it cannot circulate.
func (c *ControlClient) Relay(
	now time.Time,
	local uint64,
	request membership.ControlRequest,
	effects *statemachine.Effects,
) {
	c.forward(now, local, membership.ControlRequest{
		Method:          request.Method,
		Path:            request.Path,
		Body:            request.Body,
		OriginalRequest: request.OriginalRequest,
		Relayed:         request.Relayed,
	}, effects)
}

func (c *ControlClient) forward(
	now time.Time,
	local uint64,
	request membership.ControlRequest,
	effects *statemachine.Effects,
) {
	request.Request = c.requests.Next()
	if !request.OriginalRequest.IsSet() {
		request.OriginalRequest = request.Request
	}
	timeout := c.settings.AcknowledgeTimeout * deadlinePercent / 100
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
	return c.settings.AcknowledgeTimeout / hedgeDivisor
}

// send sends the request to a controller. It returns false if the request was already sent to
// that address, or if the address is empty.
func (p *pendingRequest) send(to string, effects *statemachine.Effects) bool {
	if _, sent := p.awaiting[to]; sent || to == "" {
		return false
	}
	p.awaiting[to] = true
	p.unanswered++
	effects.Send(to, p.request)
	return true
}

// sendToRelay sends the request to a relay. It returns false if the request was already sent to
// that address.
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

// hedge sends the request to one more controller and one more relay. It returns false if there is
// neither.
func (c *ControlClient) hedge(pending *pendingRequest, effects *statemachine.Effects) bool {
	sent := false
	for range len(pending.awaiting) + 1 {
		if pending.send(c.settings.NextController(), effects) {
			sent = true
			break
		}
	}
	if c.settings.Relays == nil || pending.request.Relayed || statemachine.Mutated("no-relays") {
		return sent
	}
	relays := c.settings.Relays()
	// Requests start at different relays to distribute the load.
	start := pending.request.Request.Number
	for position := range relays {
		relay := relays[(uint64(position)+start)%uint64(len(relays))]
		if pending.sendToRelay(relay, effects) {
			return true
		}
	}
	return sent
}

// HandleResponse handles a response to one of the client's requests. It ignores responses to
// other incarnations, responses from daemons that were not asked, and repeated ones.
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

// finish returns the final response to the owner of the request.
func (c *ControlClient) finish(
	pending *pendingRequest,
	response membership.ControlResponse,
	effects *statemachine.Effects,
) {
	delete(c.pending, pending.request.Request.Number)
	response.Redirect = ""
	effects.Respond(pending.local, response)
}

// reject ends a request that was not served. A daemon that was asked and has not responded may
// still serve it, so a request that changes state then counts as unsettled.
func (c *ControlClient) reject(
	pending *pendingRequest,
	response membership.ControlResponse,
	effects *statemachine.Effects,
) {
	method := pending.request.Method
	response.RetryAfter = max(response.RetryAfter, minRetryAfter)
	if pending.mayHaveEffect || pending.unanswered > 0 && method != http.MethodGet {
		text := fmt.Sprintf("nobody can tell yet whether this was taken; send the same %s again", method)
		response.Body = ErrorBody(codeUnsettled, text, nil)
	}
	c.finish(pending, response, effects)
}

// timeOut ends a request at its deadline, or a request that could not be sent to any daemon.
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

// Tick hedges requests without a response and ends those whose deadlines have passed.
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
