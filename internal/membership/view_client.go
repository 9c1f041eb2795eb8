package membership

import (
	"maps"
	"slices"
	"time"

	"dahlialock/internal/statemachine"
)

// Timeouts and intervals of the long polls.
const (
	// LongPollTimeout is how long the primary holds a request that has nothing newer to
	// answer; LowPriorityLongPollTimeout applies to requests marked LowPriority.
	LongPollTimeout            = 600 * time.Millisecond
	LowPriorityLongPollTimeout = 1500 * time.Millisecond
	// responseTimeout is how long a client waits for the response before it searches
	// for the primary.
	responseTimeout            = LongPollTimeout + 300*time.Millisecond
	lowPriorityResponseTimeout = LowPriorityLongPollTimeout + 300*time.Millisecond
	// searchInterval is the pause between the first quickSearches searches. Later ones
	// pause longer, since each response takes up part of a link, which may be why none
	// arrived.
	searchInterval     = 300 * time.Millisecond
	quickSearches      = 4
	slowSearchInterval = 900 * time.Millisecond
	// minPollInterval bounds how often PollNow has an effect.
	minPollInterval = 50 * time.Millisecond
	// maxOutstanding bounds the requests whose responses still count.
	maxOutstanding = 16
	// MaxFirstViewAge is how old the request may be whose response brings the first view.
	MaxFirstViewAge = time.Second
	// ConfirmationTimeout is how long after a request was sent its response confirms that
	// the configuration is the newest.
	ConfirmationTimeout = 2500 * time.Millisecond
)

// viewTimer names the timers of a ViewClient.
type viewTimer int

// The timers, in the order in which they expire at the same moment.
const (
	timerPoll viewTimer = iota
	timerResponse
)

// ViewClient keeps a daemon's copy of the view and the configuration up to date. It is
// a state machine: its owner passes it ViewUpdates and Redirects and calls Tick. It
// begins at the seeds, learns the controllers from redirects and from the view, and
// asks all of them while the primary does not respond. It never takes a state older
// than what it has.
type ViewClient struct {
	self Member
	// seeds are the addresses to begin at; controllers those of the controllers known.
	seeds          []string
	controllers    []string
	nextController int
	// primary is the address of the primary, empty if unknown.
	primary string
	// nonce is that of the newest request, lastAnswered the newest that was answered.
	nonce        uint64
	lastAnswered uint64
	// polledAt is when the newest request was sent; waiting is set until its response.
	polledAt time.Time
	waiting  bool
	// outstanding are the newest requests, oldest first, at most maxOutstanding.
	outstanding []viewRequest
	// searching is set while the primary does not respond; searches counts the polls
	// since then.
	searching bool
	searches  int
	// lowPriority asks for longer polls, urgent for an immediate response.
	lowPriority bool
	urgent      bool
	// pinned restricts polls to the first seed.
	pinned bool
	load   func() Load
	timers *statemachine.Timers[viewTimer]

	// Index, Epoch and Version are those of the view, of the controllers that gave it
	// and of the configuration. They never decrease. Index is zero without a view.
	Index   uint64
	Version uint64
	Epoch   uint64
	// Document is the configuration of that Version as the operator sent it.
	Document []byte
	// SpaceCreatedAt is the index at which each space, by name, was created.
	SpaceCreatedAt map[string]uint64
	// Members and Placements are the view. They are replaced, never changed in place.
	Members    map[string]Member
	Placements map[string]Placement
	Directives Directives
	// ConfirmedAt is when the newest answered request was sent: at that moment the view
	// and the configuration were the newest.
	ConfirmedAt time.Time
}

// viewRequest is a request whose response still counts.
type viewRequest struct {
	nonce  uint64
	sentAt time.Time
}

// NewViewClient returns a client that asks the given seeds first. The load function is
// called for every request.
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

// Start sends the first request at the next Tick.
func (c *ViewClient) Start(now time.Time) { c.timers.Arm(timerPoll, now) }

// NextTick is when Tick is to be called next.
func (c *ViewClient) NextTick() time.Time { return c.timers.Next() }

// PinToFirstSeed restricts the client to its first seed: a gateway asks its agent only.
func (c *ViewClient) PinToFirstSeed() { c.pinned = true }

// Primary returns the primary's address, or an empty string if it is unknown.
func (c *ViewClient) Primary() string { return c.primary }

// Upstream returns the address to which a request goes first; empty if none is known.
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

// SetLowPriority chooses between long and short polls; a resting gateway takes long ones.
func (c *ViewClient) SetLowPriority(now time.Time, lowPriority bool) {
	if c.lowPriority != lowPriority {
		c.lowPriority = lowPriority
		c.timers.Arm(timerPoll, now)
	}
}

// PollNow sends a request at the next Tick and asks for an immediate response, unless one
// was sent just now.
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

// requestTimeout returns how long to wait for the response to a request that is sent now
// before another is sent. It counts searches.
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

// responseTimeout returns how long a response may take while the primary is known.
func (c *ViewClient) responseTimeout() time.Duration {
	if c.lowPriority {
		return lowPriorityResponseTimeout
	}
	return responseTimeout
}

// recordRequest remembers a request, so that its response counts although a later
// request was sent: on a full link responses take longer than the pause between
// requests, and a client that accepted the newest response only would never get one.
func (c *ViewClient) recordRequest(request viewRequest) {
	if len(c.outstanding) == maxOutstanding {
		c.outstanding = slices.Delete(c.outstanding, 0, 1)
	}
	c.outstanding = append(c.outstanding, request)
}

// requestedAt returns when the request was sent to which an update responds; false if
// no outstanding request has its nonce.
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

// maxFirstViewAge returns how old the request may be whose response brings the first
// view. What a gateway may do with a view depends on when it asked, and an agent does
// nothing with it; there are many of both, behind thin links, on which a complete view
// takes long.
func (c *ViewClient) maxFirstViewAge() time.Duration {
	if (c.self.Kind == KindGateway || c.self.Kind == KindAgent) && !statemachine.Mutated("late-answers-unheard") {
		return ConfirmationTimeout
	}
	return MaxFirstViewAge
}

// recordResponse ends the search for the primary. The response to the newest request
// lets the next one go out; one to an earlier request shows that responses take long,
// and gives the newest request its full time.
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

// Upstreams returns the addresses to which a request goes: the primary or, while the
// client searches for it, all known controllers and the seeds.
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

// HandleRedirect takes the response of a controller that is not the primary. If it names
// a primary that was not asked yet, the request goes there at once. Redirects that
// arrive after the primary's own response are ignored.
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

// UpdateResult reports what an update changed.
type UpdateResult struct {
	// Answered is set if it was the response to a request of this client.
	Answered bool
	// View and Document are set if the view or the configuration is newer now.
	View     bool
	Document bool
}

// HandleUpdate applies an update unless it is older than what the client has. The first
// view is taken only from the response to a request that is not too old.
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

// isStale reports whether an update comes from an older state than the client has.
func (c *ViewClient) isStale(update ViewUpdate) bool {
	return update.Epoch < c.Epoch || update.Index < c.Index || update.Version < c.Version
}

// applyView replaces the view, or the part of it that changed.
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

// AdoptConfiguration takes a newer configuration from a daemon that had it sooner, and
// reports whether it did: not if it is no newer, or there is no view yet.
func (c *ViewClient) AdoptConfiguration(version uint64, document []byte, spaceCreatedAt map[string]uint64) bool {
	if version <= c.Version || c.Index == 0 {
		return false
	}
	c.Version, c.Document, c.SpaceCreatedAt = version, document, spaceCreatedAt
	return true
}

// NextController returns the address of another controller than the one asked last.
func (c *ViewClient) NextController() string {
	if len(c.controllers) == 0 {
		return c.Upstream()
	}
	c.nextController++
	return c.controllers[c.nextController%len(c.controllers)]
}

// Relays returns the addresses of live agents, which forward operators' requests: they
// may reach a controller that this daemon cannot.
func (c *ViewClient) Relays() []string {
	var addresses []string
	for _, member := range statemachine.Sorted(c.Members) {
		if member.Kind == KindAgent && member.Alive && member.Name != c.self.Name {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}

// RespondToConfigurationRequest sends the configuration to a daemon that has an older one,
// and nothing to any other.
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
