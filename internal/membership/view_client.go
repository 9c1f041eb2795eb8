// A Follower keeps a daemon level with the control state: it asks with the
// version that it has and is answered when there is news. It begins at the
// seeds, learns the controllers from redirections and from the view, and goes round
// them when one stays silent. Nothing older than what it holds is ever taken,
// and the first answer counts only if it came fresh.

package membership

import (
	"maps"
	"slices"
	"time"

	"dahlialock/internal/statemachine"
)

// Spans of following.
const (
	LongPollTimeout            = 600 * time.Millisecond
	LowPriorityLongPollTimeout = 1500 * time.Millisecond
	responseTimeout            = LongPollTimeout + 300*time.Millisecond
	searchInterval             = 300 * time.Millisecond
	// quickSearches are the searches with that pause; later ones pause for longer,
	// since each answer takes a part of a link that may be why none came.
	quickSearches      = 4
	slowSearchInterval = 900 * time.Millisecond
	// maxOutstanding bounds the questions whose answers still count.
	maxOutstanding             = 16
	lowPriorityResponseTimeout = LowPriorityLongPollTimeout + 300*time.Millisecond
	MaxFirstViewAge            = time.Second
	ConfirmationTimeout        = 2500 * time.Millisecond
)

// ViewClient is the state machine.
type ViewClient struct {
	self           Member
	seeds          []string
	controllers    []string
	nextController int
	primary        string
	nonce          uint64
	lastAnswered   uint64
	polledAt       time.Time
	outstanding    []viewRequest
	searches       int
	waiting        bool
	lowPriority    bool
	pinned         bool
	searching      bool
	urgent         bool
	Index          uint64
	Version        uint64
	Epoch          uint64
	Document       []byte
	SpaceCreatedAt map[string]uint64
	Members        map[string]Member
	Placements     map[string]Placement
	Directives     Directives
	ConfirmedAt    time.Time
	load           func() Load
	timers         *statemachine.Timers[string]
}

// viewRequest is one that was asked, and when.
type viewRequest struct {
	nonce  uint64
	sentAt time.Time
}

// NewViewClient makes a follower that asks the given seeds first. Life names this run
// of the process.
func NewViewClient(self Member, life statemachine.Incarnation, seeds []string, load func() Load) *ViewClient {
	return &ViewClient{
		self: self, nonce: life.FirstRequestNumber(), seeds: seeds, controllers: seeds, load: load, searching: true,
		Members: map[string]Member{}, Placements: map[string]Placement{}, timers: statemachine.NewTimers[string](),
	}
}

// Start begins asking.
func (f *ViewClient) Start(now time.Time) { f.timers.Arm("ask", now) }

// NextTick is when the follower wants to run again.
func (f *ViewClient) NextTick() time.Time { return f.timers.Next() }

// PinToFirstSeed lets the follower ask its first seed only, as a gateway asks its agent.
func (f *ViewClient) PinToFirstSeed() { f.pinned = true }

// Primary is the primary's address, as far as it is known.
func (f *ViewClient) Primary() string { return f.primary }

// Upstream is the address that is presently asked.
func (f *ViewClient) Upstream() string {
	if f.pinned {
		return f.seeds[0]
	}
	if f.primary != "" {
		return f.primary
	}
	if len(f.controllers) == 0 {
		return ""
	}
	return f.controllers[f.nextController%len(f.controllers)]
}

// SetLowPriority makes the follower content with slower answers, as a resting
// gateway is.
func (f *ViewClient) SetLowPriority(now time.Time, patient bool) {
	if f.lowPriority != patient {
		f.lowPriority = patient
		f.timers.Arm("ask", now)
	}
}

// PollNow asks at once.
func (f *ViewClient) PollNow(now time.Time) {
	if f.waiting && now.Sub(f.polledAt) < 50*time.Millisecond {
		return
	}
	f.urgent = true
	f.timers.Arm("ask", now)
}

// Tick runs the timers that expired.
func (f *ViewClient) Tick(now time.Time, effects *statemachine.Effects) {
	for _, key := range f.timers.Expired(now) {
		switch key {
		case "ask":
			f.poll(now, effects)
		case "limit":
			f.waiting = false
			f.searching = true
			f.poll(now, effects)
		}
	}
}

func (f *ViewClient) poll(now time.Time, effects *statemachine.Effects) {
	f.nonce++
	f.polledAt, f.waiting = now, true
	f.recordRequest(viewRequest{nonce: f.nonce, sentAt: now})
	limit := f.requestTimeout()
	f.timers.Disarm("ask")
	f.timers.Arm("limit", now.Add(limit))
	for _, address := range f.Upstreams() {
		f.sendRequest(address, effects)
	}
}

// requestTimeout is how long the question that is asked now may stay without an answer
// before it is asked anew.
func (f *ViewClient) requestTimeout() time.Duration {
	if f.searching {
		f.searches++
		if f.searches > quickSearches {
			return slowSearchInterval
		}
		return searchInterval
	}
	return f.responseTimeout()
}

// responseTimeout is how long an answer may take while the primary is known.
func (f *ViewClient) responseTimeout() time.Duration {
	if f.lowPriority {
		return lowPriorityResponseTimeout
	}
	return responseTimeout
}

// recordRequest keeps a question, so that its answer counts also if another was asked
// meanwhile: on a full link answers take longer than the pause between questions,
// and a follower that only heard the newest one's would never hear any.
func (f *ViewClient) recordRequest(asked viewRequest) {
	if len(f.outstanding) == maxOutstanding {
		f.outstanding = slices.Delete(f.outstanding, 0, 1)
	}
	f.outstanding = append(f.outstanding, asked)
}

// requestedAt tells when the question was asked that news answer.
func (f *ViewClient) requestedAt(news ViewUpdate) (time.Time, bool) {
	for _, asked := range f.outstanding {
		if asked.nonce == news.Nonce && (asked.nonce == f.nonce || !statemachine.Mutated("late-answers-unheard")) {
			return asked.sentAt, true
		}
	}
	return time.Time{}, false
}

// maxFirstViewAge is how old the question may be whose answer brings the first view. What a
// gateway may do on a view follows from when it asked, and an agent does nothing on
// it; both are many, behind thin links, and a whole view takes its time there.
func (f *ViewClient) maxFirstViewAge() time.Duration {
	if (f.self.Kind == KindGateway || f.self.Kind == KindAgent) && !statemachine.Mutated("late-answers-unheard") {
		return ConfirmationTimeout
	}
	return MaxFirstViewAge
}

// recordResponse notes an answer. One to an earlier question tells that answers take
// long, and lets the newest question wait for its own.
func (f *ViewClient) recordResponse(now time.Time, nonce uint64) {
	searched := f.searching
	f.searching, f.searches = false, 0
	if nonce == f.nonce {
		f.waiting, f.urgent = false, false
		f.timers.Disarm("limit")
		f.timers.Arm("ask", now)
	} else if searched && f.waiting {
		f.timers.Arm("limit", f.polledAt.Add(f.responseTimeout()))
	}
}

func (f *ViewClient) sendRequest(address string, effects *statemachine.Effects) {
	effects.Send(address, ViewRequest{
		Self: f.self, Nonce: f.nonce, Index: f.Index, Version: f.Version,
		Load: f.load(), LowPriority: f.lowPriority, Urgent: f.searching || f.urgent,
		Epoch: f.Epoch, LastAnswered: f.lastAnswered,
	})
}

// Upstreams are the addresses that are presently asked: the primary, or while
// it is being looked for all controllers that are known.
func (f *ViewClient) Upstreams() []string {
	if f.pinned {
		return f.seeds[:1]
	}
	if f.primary != "" && !f.searching {
		return []string{f.primary}
	}
	addresses := append([]string(nil), f.controllers...)
	for _, seed := range f.seeds {
		if !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	return addresses
}

// HandleRedirect learns from a controller that is not primary. A primary that it names
// and that was not asked yet is asked at once. Once the primary has answered the same
// question, what the others say of it is of no use.
func (f *ViewClient) HandleRedirect(now time.Time, redirect Redirect, effects *statemachine.Effects) {
	if redirect.Nonce != f.nonce || !f.waiting {
		return
	}
	asked := f.Upstreams()
	f.learnControllers(redirect.Controllers)
	if f.pinned {
		return
	}
	if !f.searching {
		f.searching = true
		f.timers.Arm("limit", now.Add(searchInterval/3))
	}
	if redirect.Primary != "" && !slices.Contains(asked, redirect.Primary) {
		f.sendRequest(redirect.Primary, effects)
	}
}

func (f *ViewClient) learnControllers(addresses []string) {
	for _, address := range addresses {
		if !slices.Contains(f.controllers, address) {
			f.controllers = append(slices.Clone(f.controllers), address)
		}
	}
}

// UpdateResult says what changed with a piece of news.
type UpdateResult struct {
	Answered bool
	View     bool
	Document bool
}

// HandleUpdate takes news that is not older than what is held.
func (f *ViewClient) HandleUpdate(now time.Time, news ViewUpdate) UpdateResult {
	if news.Nonce <= f.nonce {
		f.lastAnswered = max(f.lastAnswered, news.Nonce)
	}
	if news.Epoch < f.Epoch || news.Index < f.Index || news.Version < f.Version {
		return UpdateResult{}
	}
	var taken UpdateResult
	askedAt, mine := f.requestedAt(news)
	if mine {
		f.recordResponse(now, news.Nonce)
		taken.Answered = true
	}
	if f.Index == 0 && (!taken.Answered || now.Sub(askedAt) > f.maxFirstViewAge()) {
		return taken
	}
	if taken.Answered && askedAt.After(f.ConfirmedAt) {
		f.ConfirmedAt = askedAt
	}
	f.primary = news.Primary
	f.Epoch = news.Epoch
	f.Directives = news.Directives
	if news.Version > f.Version && news.Document != nil {
		f.Version, f.Document = news.Version, news.Document
		taken.Document = true
	}
	if news.Changed && news.Index > f.Index && f.Index >= news.Since {
		f.applyView(news)
		taken.View = true
	}
	return taken
}

// applyView replaces the view, or what changed of it.
func (f *ViewClient) applyView(news ViewUpdate) {
	f.Index = news.Index
	if news.Since == 0 || news.SpaceCreatedAt != nil {
		f.SpaceCreatedAt = news.SpaceCreatedAt
	}
	members, places := make(map[string]Member, len(news.Members)), make(map[string]Placement, len(news.Placements))
	if news.Since > 0 {
		members, places = maps.Clone(f.Members), maps.Clone(f.Placements)
	}
	for _, name := range news.RemovedMembers {
		delete(members, name)
	}
	for _, member := range news.Members {
		members[member.Name] = member
	}
	for _, place := range news.Placements {
		places[place.Partition] = place
	}
	f.Members, f.Placements, f.controllers = members, places, nil
	for _, member := range statemachine.Sorted(members) {
		if member.Kind == KindController && member.Alive {
			f.controllers = append(f.controllers, member.Address)
		}
	}
	if len(f.controllers) == 0 {
		f.controllers = f.seeds
	}
}

// AdoptConfiguration takes a configuration that another daemon had sooner.
func (f *ViewClient) AdoptConfiguration(version uint64, document []byte, births map[string]uint64) bool {
	if version <= f.Version || f.Index == 0 {
		return false
	}
	f.Version, f.Document, f.SpaceCreatedAt = version, document, births
	return true
}

// NextController names another controller to try than the one presently asked.
func (f *ViewClient) NextController() string {
	if len(f.controllers) == 0 {
		return f.Upstream()
	}
	f.nextController++
	return f.controllers[f.nextController%len(f.controllers)]
}

// Relays are the addresses of living agents, which carry requests to controllers:
// they may reach one that this daemon has lost.
func (f *ViewClient) Relays() []string {
	var addresses []string
	for _, member := range statemachine.Sorted(f.Members) {
		if member.Kind == KindAgent && member.Alive && member.Name != f.self.Name {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}

// RespondToConfigurationRequest gives a daemon that asks a configuration newer than its own.
func (f *ViewClient) RespondToConfigurationRequest(to string, ask ConfigurationRequest, effects *statemachine.Effects) {
	if f.Version > ask.Version {
		effects.Send(to, ConfigurationResponse{Version: f.Version, Document: f.Document, SpaceCreatedAt: f.SpaceCreatedAt})
	}
}
