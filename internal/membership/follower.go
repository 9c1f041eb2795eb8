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
	HoldAsk     = 600 * time.Millisecond
	PatientHold = 1500 * time.Millisecond
	askLimit    = HoldAsk + 300*time.Millisecond
	searchEvery = 300 * time.Millisecond
	// searchesQuick are the searches with that pause; later ones pause for longer,
	// since each answer takes a part of a link that may be why none came.
	searchesQuick = 4
	searchSlow    = 900 * time.Millisecond
	// asksRemembered bounds the questions whose answers still count.
	asksRemembered = 16
	patientLimit   = PatientHold + 300*time.Millisecond
	FreshFor       = time.Second
	ConfirmedFor   = 2500 * time.Millisecond
)

// Follower is the state machine.
type Follower struct {
	self        Member
	seeds       []string
	controllers []string
	guess       int
	primary     string
	nonce       uint64
	heard       uint64
	askedAt     time.Time
	asked       []question
	searches    int
	waiting     bool
	patient     bool
	fixed       bool
	searching   bool
	hurried     bool
	Index       uint64
	Version     uint64
	Epoch       uint64
	Document    []byte
	Births      map[string]uint64
	Members     map[string]Member
	Places      map[string]Placement
	Orders      Orders
	Confirmed   time.Time
	load        func() Load
	timers      *statemachine.Timers
}

// question is one that was asked, and when.
type question struct {
	nonce uint64
	at    time.Time
}

// NewFollower makes a follower that asks the given seeds first. Life names this run
// of the process.
func NewFollower(self Member, life statemachine.Incarnation, seeds []string, load func() Load) *Follower {
	return &Follower{
		self: self, nonce: life.FirstRequestNumber(), seeds: seeds, controllers: seeds, load: load, searching: true,
		Members: map[string]Member{}, Places: map[string]Placement{}, timers: statemachine.NewTimers(),
	}
}

// Start begins asking.
func (f *Follower) Start(now time.Time) { f.timers.Arm("ask", now) }

// NextTick is when the follower wants to run again.
func (f *Follower) NextTick() time.Time { return f.timers.Next() }

// Fix lets the follower ask its first seed only, as a gateway asks its agent.
func (f *Follower) Fix() { f.fixed = true }

// Primary is the primary's address, as far as it is known.
func (f *Follower) Primary() string { return f.primary }

// Upstream is the address that is presently asked.
func (f *Follower) Upstream() string {
	if f.fixed {
		return f.seeds[0]
	}
	if f.primary != "" {
		return f.primary
	}
	if len(f.controllers) == 0 {
		return ""
	}
	return f.controllers[f.guess%len(f.controllers)]
}

// Patient makes the follower content with slower answers, as a resting
// gateway is.
func (f *Follower) Patient(now time.Time, patient bool) {
	if f.patient != patient {
		f.patient = patient
		f.timers.Arm("ask", now)
	}
}

// Hurry asks at once.
func (f *Follower) Hurry(now time.Time) {
	if f.waiting && now.Sub(f.askedAt) < 50*time.Millisecond {
		return
	}
	f.hurried = true
	f.timers.Arm("ask", now)
}

// Tick runs the timers that expired.
func (f *Follower) Tick(now time.Time, effects *statemachine.Effects) {
	for _, key := range f.timers.Expired(now) {
		switch key {
		case "ask":
			f.ask(now, effects)
		case "limit":
			f.waiting = false
			f.searching = true
			f.ask(now, effects)
		}
	}
}

func (f *Follower) ask(now time.Time, effects *statemachine.Effects) {
	f.nonce++
	f.askedAt, f.waiting = now, true
	f.remember(question{nonce: f.nonce, at: now})
	limit := f.limit()
	f.timers.Disarm("ask")
	f.timers.Arm("limit", now.Add(limit))
	for _, address := range f.Upstreams() {
		f.askAt(address, effects)
	}
}

// limit is how long the question that is asked now may stay without an answer
// before it is asked anew.
func (f *Follower) limit() time.Duration {
	if f.searching {
		f.searches++
		if f.searches > searchesQuick {
			return searchSlow
		}
		return searchEvery
	}
	return f.answerLimit()
}

// answerLimit is how long an answer may take while the primary is known.
func (f *Follower) answerLimit() time.Duration {
	if f.patient {
		return patientLimit
	}
	return askLimit
}

// remember keeps a question, so that its answer counts also if another was asked
// meanwhile: on a full link answers take longer than the pause between questions,
// and a follower that only heard the newest one's would never hear any.
func (f *Follower) remember(asked question) {
	if len(f.asked) == asksRemembered {
		f.asked = slices.Delete(f.asked, 0, 1)
	}
	f.asked = append(f.asked, asked)
}

// answers tells when the question was asked that news answer.
func (f *Follower) answers(news News) (time.Time, bool) {
	for _, asked := range f.asked {
		if asked.nonce == news.Nonce && (asked.nonce == f.nonce || !statemachine.Mutated("late-answers-unheard")) {
			return asked.at, true
		}
	}
	return time.Time{}, false
}

// freshFor is how old the question may be whose answer brings the first view. What a
// gateway may do on a view follows from when it asked, and an agent does nothing on
// it; both are many, behind thin links, and a whole view takes its time there.
func (f *Follower) freshFor() time.Duration {
	if (f.self.Kind == KindGateway || f.self.Kind == KindAgent) && !statemachine.Mutated("late-answers-unheard") {
		return ConfirmedFor
	}
	return FreshFor
}

// answered notes an answer. One to an earlier question tells that answers take
// long, and lets the newest question wait for its own.
func (f *Follower) answered(now time.Time, nonce uint64) {
	searched := f.searching
	f.searching, f.searches = false, 0
	if nonce == f.nonce {
		f.waiting, f.hurried = false, false
		f.timers.Disarm("limit")
		f.timers.Arm("ask", now)
	} else if searched && f.waiting {
		f.timers.Arm("limit", f.askedAt.Add(f.answerLimit()))
	}
}

func (f *Follower) askAt(address string, effects *statemachine.Effects) {
	effects.Send(address, Ask{
		Self: f.self, Nonce: f.nonce, Index: f.Index, Version: f.Version,
		Load: f.load(), Patient: f.patient, Urgent: f.searching || f.hurried,
		Epoch: f.Epoch, Heard: f.heard,
	})
}

// Upstreams are the addresses that are presently asked: the primary, or while
// it is being looked for all controllers that are known.
func (f *Follower) Upstreams() []string {
	if f.fixed {
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

// Redirected learns from a controller that is not primary. A primary that it names
// and that was not asked yet is asked at once. Once the primary has answered the same
// question, what the others say of it is of no use.
func (f *Follower) Redirected(now time.Time, redirect Redirect, effects *statemachine.Effects) {
	if redirect.Nonce != f.nonce || !f.waiting {
		return
	}
	asked := f.Upstreams()
	f.learnControllers(redirect.Controllers)
	if f.fixed {
		return
	}
	if !f.searching {
		f.searching = true
		f.timers.Arm("limit", now.Add(searchEvery/3))
	}
	if redirect.Primary != "" && !slices.Contains(asked, redirect.Primary) {
		f.askAt(redirect.Primary, effects)
	}
}

func (f *Follower) learnControllers(addresses []string) {
	for _, address := range addresses {
		if !slices.Contains(f.controllers, address) {
			f.controllers = append(slices.Clone(f.controllers), address)
		}
	}
}

// Taken says what changed with a piece of news.
type Taken struct {
	Answered bool
	View     bool
	Document bool
}

// Take takes news that is not older than what is held.
func (f *Follower) Take(now time.Time, news News) Taken {
	if news.Nonce <= f.nonce {
		f.heard = max(f.heard, news.Nonce)
	}
	if news.Epoch < f.Epoch || news.Index < f.Index || news.Version < f.Version {
		return Taken{}
	}
	var taken Taken
	askedAt, mine := f.answers(news)
	if mine {
		f.answered(now, news.Nonce)
		taken.Answered = true
	}
	if f.Index == 0 && (!taken.Answered || now.Sub(askedAt) > f.freshFor()) {
		return taken
	}
	if taken.Answered && askedAt.After(f.Confirmed) {
		f.Confirmed = askedAt
	}
	f.primary = news.Primary
	f.Epoch = news.Epoch
	f.Orders = news.Orders
	if news.Version > f.Version && news.Document != nil {
		f.Version, f.Document = news.Version, news.Document
		taken.Document = true
	}
	if news.Changed && news.Index > f.Index && f.Index >= news.Since {
		f.takeView(news)
		taken.View = true
	}
	return taken
}

// takeView replaces the view, or what changed of it.
func (f *Follower) takeView(news News) {
	f.Index = news.Index
	if news.Since == 0 || news.Births != nil {
		f.Births = news.Births
	}
	members, places := make(map[string]Member, len(news.Members)), make(map[string]Placement, len(news.Placements))
	if news.Since > 0 {
		members, places = maps.Clone(f.Members), maps.Clone(f.Places)
	}
	for _, name := range news.Gone {
		delete(members, name)
	}
	for _, member := range news.Members {
		members[member.Name] = member
	}
	for _, place := range news.Placements {
		places[place.Partition] = place
	}
	f.Members, f.Places, f.controllers = members, places, nil
	for _, member := range statemachine.Sorted(members) {
		if member.Kind == KindController && member.Alive {
			f.controllers = append(f.controllers, member.Address)
		}
	}
	if len(f.controllers) == 0 {
		f.controllers = f.seeds
	}
}

// Adopt takes a configuration that another daemon had sooner.
func (f *Follower) Adopt(version uint64, document []byte, births map[string]uint64) bool {
	if version <= f.Version || f.Index == 0 {
		return false
	}
	f.Version, f.Document, f.Births = version, document, births
	return true
}

// Other names another controller to try than the one presently asked.
func (f *Follower) Other() string {
	if len(f.controllers) == 0 {
		return f.Upstream()
	}
	f.guess++
	return f.controllers[f.guess%len(f.controllers)]
}

// Relays are the addresses of living agents, which carry requests to controllers:
// they may reach one that this daemon has lost.
func (f *Follower) Relays() []string {
	var addresses []string
	for _, member := range statemachine.Sorted(f.Members) {
		if member.Kind == KindAgent && member.Alive && member.Name != f.self.Name {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}

// AnswerConfig gives a daemon that asks a configuration newer than its own.
func (f *Follower) AnswerConfig(to string, ask ConfigAsk, effects *statemachine.Effects) {
	if f.Version > ask.Version {
		effects.Send(to, ConfigResponse{Version: f.Version, Document: f.Document, Births: f.Births})
	}
}
