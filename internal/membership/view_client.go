package membership

import (
	"maps"
	"slices"
	"time"

	"dahlialock/internal/statemachine"
)

// Timeouts and intervals of the long polls.
const (
	// LongPollTimeout is how long the primary delays its response while there is nothing newer.
	// LowPriorityLongPollTimeout applies to requests with LowPriority set.
	LongPollTimeout            = 600 * time.Millisecond
	LowPriorityLongPollTimeout = 1500 * time.Millisecond
	// responseTimeout is how long a client waits for the response before it searches for the
	// primary.
	responseTimeout            = LongPollTimeout + 300*time.Millisecond
	lowPriorityResponseTimeout = LowPriorityLongPollTimeout + 300*time.Millisecond
	// searchInterval is the interval between the first quickSearches searches for the primary.
	// Later searches use slowSearchInterval, since the responses to many searches may overload
	// a link, which may be the reason why no response has arrived.
	searchInterval     = 300 * time.Millisecond
	quickSearches      = 4
	slowSearchInterval = 900 * time.Millisecond
	// minPollInterval is the minimum interval between a pending request and one that PollNow
	// sends.
	minPollInterval = 50 * time.Millisecond
	// maxOutstanding is the maximum number of requests whose responses still count.
	maxOutstanding = 16
	// MaxFirstViewAge is the maximum age of a request whose response is accepted as the first
	// view.
	MaxFirstViewAge = time.Second
	// ConfirmationTimeout is how long, measured from when a request was sent, its response
	// confirms that the configuration is the newest.
	ConfirmationTimeout = 2500 * time.Millisecond
)

// viewTimer identifies a timer of a ViewClient.
type viewTimer int

// Of timers that expire at the same moment, the first one runs first.
const (
	timerPoll viewTimer = iota
	timerResponse
)

// ViewClient keeps a daemon's copy of the view and the configuration up to date. It is
// a state machine: its owner passes it ViewUpdates and Redirects and calls Tick. It first
// sends requests to the seeds, learns the addresses of the controllers from redirects and from
// the view, and sends requests to all of them while the primary does not respond. It never
// replaces its state with an older one.
type ViewClient struct {
	self Member
	// seeds are the initial addresses, and controllers those of the known controllers.
	seeds          []string
	controllers    []string
	nextController int
	// primary is the address of the primary, empty if unknown.
	primary string
	// nonce is the nonce of the newest request, and lastAnswered the newest nonce to which a
	// response arrived.
	nonce        uint64
	lastAnswered uint64
	// polledAt is when the newest request was sent, and waiting is set until its response
	// arrives.
	polledAt time.Time
	waiting  bool
	// outstanding are the newest requests, at most maxOutstanding, ordered by age with the
	// oldest first.
	outstanding []viewRequest
	// searching is set while the primary does not respond, and searches counts the requests of
	// the current search.
	searching bool
	searches  int
	// lowPriority requests longer polls, and urgent an immediate response.
	lowPriority bool
	urgent      bool
	// pinned restricts requests to the first seed.
	pinned bool
	load   func() Load
	timers *statemachine.Timers[viewTimer]

	// Index is the index of the view, Epoch the epoch of the controllers in which it was sent,
	// and Version the version of the configuration. They never decrease. Index is zero if there
	// is no view yet.
	Index   uint64
	Version uint64
	Epoch   uint64
	// Document is the configuration as the operator sent it.
	Document []byte
	// SpaceCreatedAt is the configuration version that created each space, by the space's name.
	// The names of the space's partitions contain it.
	SpaceCreatedAt map[string]uint64
	// Members and Placements are the view. The maps are replaced and never modified in place.
	Members    map[string]Member
	Placements map[string]Placement
	Directives Directives
	// ConfirmedAt is when the newest request that has a response was sent: the view and the
	// configuration were the newest at that time.
	ConfirmedAt time.Time
}

// viewRequest is a request whose response still counts.
type viewRequest struct {
	nonce  uint64
	sentAt time.Time
}

// NewViewClient returns a client that sends its first requests to the given seeds. The load
// function is called for every request.
func NewViewClient(
	self Member,
	incarnation statemachine.Incarnation,
	seeds []string,
	load func() Load,
) *ViewClient {
	return &ViewClient{
		self:        self,
		nonce:       incarnation.FirstRequestNumber(),
		seeds:       seeds,
		controllers: seeds,
		load:        load,
		searching:   true,
		timers:      statemachine.NewTimers[viewTimer](),
		Members:     map[string]Member{},
		Placements:  map[string]Placement{},
	}
}

// Start starts the timers. The first request is sent at the next Tick.
func (c *ViewClient) Start(now time.Time) { c.timers.Arm(timerPoll, now) }

// NextTick returns when Tick has to be called.
func (c *ViewClient) NextTick() time.Time { return c.timers.Next() }

// PinToFirstSeed restricts the client to its first seed. A gateway uses it to send requests to
// its agent only.
func (c *ViewClient) PinToFirstSeed() { c.pinned = true }

// Primary returns the primary's address, or an empty string if it is unknown.
func (c *ViewClient) Primary() string { return c.primary }

// Upstream returns the preferred address for a request, or an empty string if none is known.
func (c *ViewClient) Upstream() string {
	if c.pinned {
		return c.seeds[0]
	}
	if c.primary != "" {
		return c.primary
	}
	if len(c.controllers) == 0 {
		return ""
	}
	return c.controllers[c.nextController%len(c.controllers)]
}

// SetLowPriority selects between long and short polls. A resting gateway uses long polls.
func (c *ViewClient) SetLowPriority(now time.Time, lowPriority bool) {
	if c.lowPriority != lowPriority {
		c.lowPriority = lowPriority
		c.timers.Arm(timerPoll, now)
	}
}

// PollNow sends a request for an immediate response at the next Tick, unless the client waits
// for the response to a request that was sent less than minPollInterval ago.
func (c *ViewClient) PollNow(now time.Time) {
	if c.waiting && now.Sub(c.polledAt) < minPollInterval {
		return
	}
	c.urgent = true
	c.timers.Arm(timerPoll, now)
}

// Tick runs the timers that are due.
func (c *ViewClient) Tick(now time.Time, effects *statemachine.Effects) {
	for _, key := range c.timers.Expired(now) {
		switch key {
		case timerPoll:
			c.poll(now, effects)
		case timerResponse:
			c.waiting = false
			c.searching = true
			c.poll(now, effects)
		}
	}
}

func (c *ViewClient) poll(now time.Time, effects *statemachine.Effects) {
	c.nonce++
	c.polledAt, c.waiting = now, true
	c.recordRequest(viewRequest{nonce: c.nonce, sentAt: now})
	timeout := c.requestTimeout()
	c.timers.Disarm(timerPoll)
	c.timers.Arm(timerResponse, now.Add(timeout))
	for _, address := range c.Upstreams() {
		c.sendRequest(address, effects)
	}
}

// requestTimeout returns how long to wait for the response to a request that is sent now before
// another one is sent. While the client searches for the primary, it also counts the search.
func (c *ViewClient) requestTimeout() time.Duration {
	if c.searching {
		c.searches++
		if c.searches > quickSearches {
			return slowSearchInterval
		}
		return searchInterval
	}
	return c.responseTimeout()
}

// responseTimeout returns how long a response may take while the client does not search for the
// primary.
func (c *ViewClient) responseTimeout() time.Duration {
	if c.lowPriority {
		return lowPriorityResponseTimeout
	}
	return responseTimeout
}

// recordRequest records a request, so that its response counts even after a later request was
// sent. On a congested link responses take longer than the interval between requests, and a
// client that accepted only the response to the newest request would never accept one.
func (c *ViewClient) recordRequest(request viewRequest) {
	if len(c.outstanding) == maxOutstanding {
		c.outstanding = slices.Delete(c.outstanding, 0, 1)
	}
	c.outstanding = append(c.outstanding, request)
}

// requestedAt returns when the request of an update was sent, or false if no outstanding
// request has the nonce of the update.
func (c *ViewClient) requestedAt(update ViewUpdate) (time.Time, bool) {
	for _, request := range c.outstanding {
		if request.nonce != update.Nonce {
			continue
		}
		if request.nonce == c.nonce || !statemachine.Mutated("late-answers-unheard") {
			return request.sentAt, true
		}
	}
	return time.Time{}, false
}

// maxFirstViewAge returns the maximum age of a request whose response is accepted as the first
// view. Gateways and agents accept older ones: there are many of them behind links with a low
// bandwidth, on which the transfer of a complete view takes long. That is safe, because what a
// gateway may do with a view depends on when it requested the view, and an agent does not act
// on it.
func (c *ViewClient) maxFirstViewAge() time.Duration {
	if (c.self.Kind == KindGateway || c.self.Kind == KindAgent) && !statemachine.Mutated("late-answers-unheard") {
		return ConfirmationTimeout
	}
	return MaxFirstViewAge
}

// recordResponse ends the search for the primary. After the response to the newest request, the
// next request is sent at once. The response to an earlier request shows that responses are
// slow, so the newest request gets the full response timeout.
func (c *ViewClient) recordResponse(now time.Time, nonce uint64) {
	wasSearching := c.searching
	c.searching, c.searches = false, 0
	if nonce == c.nonce {
		c.waiting, c.urgent = false, false
		c.timers.Disarm(timerResponse)
		c.timers.Arm(timerPoll, now)
	} else if wasSearching && c.waiting {
		c.timers.Arm(timerResponse, c.polledAt.Add(c.responseTimeout()))
	}
}

func (c *ViewClient) sendRequest(address string, effects *statemachine.Effects) {
	effects.Send(address, ViewRequest{
		Self:         c.self,
		Nonce:        c.nonce,
		Index:        c.Index,
		Version:      c.Version,
		Load:         c.load(),
		LowPriority:  c.lowPriority,
		Urgent:       c.searching || c.urgent,
		Epoch:        c.Epoch,
		LastAnswered: c.lastAnswered,
	})
}

// Upstreams returns the addresses to which a request is sent: the primary or, while the client
// searches for the primary, all known controllers and the seeds.
func (c *ViewClient) Upstreams() []string {
	if c.pinned {
		return c.seeds[:1]
	}
	if c.primary != "" && !c.searching {
		return []string{c.primary}
	}
	addresses := append([]string(nil), c.controllers...)
	for _, seed := range c.seeds {
		if !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	return addresses
}

// HandleRedirect handles the response of a controller that is not the primary. If the redirect
// contains a primary to which the request was not sent yet, the request is sent there at once.
// Redirects that arrive after the primary's response are ignored.
func (c *ViewClient) HandleRedirect(now time.Time, redirect Redirect, effects *statemachine.Effects) {
	if redirect.Nonce != c.nonce || !c.waiting {
		return
	}
	upstreams := c.Upstreams()
	c.learnControllers(redirect.Controllers)
	if c.pinned {
		return
	}
	if !c.searching {
		c.searching = true
		c.timers.Arm(timerResponse, now.Add(searchInterval/3))
	}
	if redirect.Primary != "" && !slices.Contains(upstreams, redirect.Primary) {
		c.sendRequest(redirect.Primary, effects)
	}
}

func (c *ViewClient) learnControllers(addresses []string) {
	for _, address := range addresses {
		if !slices.Contains(c.controllers, address) {
			c.controllers = append(slices.Clone(c.controllers), address)
		}
	}
}

// UpdateResult describes the effect of an update.
type UpdateResult struct {
	// Answered is set if the update was the response to an outstanding request of this client.
	Answered bool
	// View is set if the update changed the view, and Document if it changed the configuration.
	View     bool
	Document bool
}

// HandleUpdate applies an update unless it is older than the client's state. The first view is
// accepted only in the response to a request that is not older than maxFirstViewAge.
func (c *ViewClient) HandleUpdate(now time.Time, update ViewUpdate) UpdateResult {
	if update.Nonce <= c.nonce {
		c.lastAnswered = max(c.lastAnswered, update.Nonce)
	}
	if c.isStale(update) {
		return UpdateResult{}
	}
	var result UpdateResult
	requestedAt, known := c.requestedAt(update)
	if known {
		c.recordResponse(now, update.Nonce)
		result.Answered = true
	}
	if c.Index == 0 && (!result.Answered || now.Sub(requestedAt) > c.maxFirstViewAge()) {
		return result
	}
	if result.Answered && requestedAt.After(c.ConfirmedAt) {
		c.ConfirmedAt = requestedAt
	}
	c.primary = update.Primary
	c.Epoch = update.Epoch
	c.Directives = update.Directives
	if update.Version > c.Version && update.Document != nil {
		c.Version, c.Document = update.Version, update.Document
		result.Document = true
	}
	if update.Changed && update.Index > c.Index && c.Index >= update.Since {
		c.applyView(update)
		result.View = true
	}
	return result
}

// isStale reports whether an update is older than the client's state.
func (c *ViewClient) isStale(update ViewUpdate) bool {
	return update.Epoch < c.Epoch || update.Index < c.Index || update.Version < c.Version
}

// applyView replaces the view, or applies the changes to it if the update is incremental.
func (c *ViewClient) applyView(update ViewUpdate) {
	c.Index = update.Index
	if update.Since == 0 || update.SpaceCreatedAt != nil {
		c.SpaceCreatedAt = update.SpaceCreatedAt
	}
	members := make(map[string]Member, len(update.Members))
	placements := make(map[string]Placement, len(update.Placements))
	if update.Since > 0 {
		members, placements = maps.Clone(c.Members), maps.Clone(c.Placements)
	}
	for _, name := range update.RemovedMembers {
		delete(members, name)
	}
	for _, member := range update.Members {
		members[member.Name] = member
	}
	for _, placement := range update.Placements {
		placements[placement.Partition] = placement
	}
	c.Members, c.Placements, c.controllers = members, placements, nil
	for _, member := range statemachine.Sorted(members) {
		if member.Kind == KindController && member.Alive {
			c.controllers = append(c.controllers, member.Address)
		}
	}
	if len(c.controllers) == 0 {
		c.controllers = c.seeds
	}
}

// AdoptConfiguration applies a newer configuration that was received from another daemon, and
// reports whether it was applied. It is not applied if it is not newer than the client's, or if
// there is no view yet.
func (c *ViewClient) AdoptConfiguration(version uint64, document []byte, spaceCreatedAt map[string]uint64) bool {
	if version <= c.Version || c.Index == 0 {
		return false
	}
	c.Version, c.Document, c.SpaceCreatedAt = version, document, spaceCreatedAt
	return true
}

// NextController advances to the next known controller and returns its address.
func (c *ViewClient) NextController() string {
	if len(c.controllers) == 0 {
		return c.Upstream()
	}
	c.nextController++
	return c.controllers[c.nextController%len(c.controllers)]
}

// Relays returns the addresses of live agents. Agents forward operators' requests, and may
// reach a controller that this daemon cannot reach.
func (c *ViewClient) Relays() []string {
	var addresses []string
	for _, member := range statemachine.Sorted(c.Members) {
		if member.Kind == KindAgent && member.Alive && member.Name != c.self.Name {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}

// RespondToConfigurationRequest sends the configuration to the requester if its version is
// older. Otherwise it sends nothing.
func (c *ViewClient) RespondToConfigurationRequest(
	to string,
	request ConfigurationRequest,
	effects *statemachine.Effects,
) {
	if c.Version <= request.Version {
		return
	}
	effects.Send(to, ConfigurationResponse{
		Version:        c.Version,
		Document:       c.Document,
		SpaceCreatedAt: c.SpaceCreatedAt,
	})
}
