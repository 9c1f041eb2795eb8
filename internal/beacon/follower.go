// A Follower keeps a daemon level with the control state: it asks with the
// version that it has and is answered when there is news. It begins at the
// seeds, learns the pilots from redirections and from the view, and goes round
// them when one stays silent. Nothing older than what it holds is ever taken,
// and the first answer counts only if it came fresh.
package beacon

import (
	"maps"
	"slices"
	"time"

	"dahlialock/internal/helm"
)

// Spans of following.
const (
	HoldAsk      = 600 * time.Millisecond
	PatientHold  = 1500 * time.Millisecond
	askLimit     = HoldAsk + 300*time.Millisecond
	searchEvery  = 300 * time.Millisecond
	patientLimit = PatientHold + 300*time.Millisecond
	FreshFor     = time.Second
	ConfirmedFor = 2500 * time.Millisecond
)

// Follower is the state machine.
type Follower struct {
	self      Member
	seeds     []string
	pilots    []string
	guess     int
	primary   string
	nonce     uint64
	askedAt   time.Time
	waiting   bool
	patient   bool
	fixed     bool
	searching bool
	hurried   bool
	Index     uint64
	Version   uint64
	Epoch     uint64
	Document  []byte
	Births    map[string]uint64
	Members   map[string]Member
	Places    map[string]Placement
	Orders    Orders
	Confirmed time.Time
	load      func() Load
	timers    *helm.Timers
}

// NewFollower makes a follower that asks the given seeds first.
func NewFollower(self Member, seeds []string, load func() Load) *Follower {
	return &Follower{
		self: self, seeds: seeds, pilots: seeds, load: load, searching: true,
		Members: map[string]Member{}, Places: map[string]Placement{}, timers: helm.NewTimers(),
	}
}

// Start begins asking.
func (follower *Follower) Start(now time.Time) { follower.timers.Arm("ask", now) }

// NextDue is when the follower wants to run again.
func (follower *Follower) NextDue() time.Time { return follower.timers.Next() }

// Fix lets the follower ask its first seed only, as a lantern asks its tender.
func (follower *Follower) Fix() { follower.fixed = true }

// Primary is the primary's address, as far as it is known.
func (follower *Follower) Primary() string { return follower.primary }

// Upstream is the address that is presently asked.
func (follower *Follower) Upstream() string {
	if follower.fixed {
		return follower.seeds[0]
	}
	if follower.primary != "" {
		return follower.primary
	}
	if len(follower.pilots) == 0 {
		return ""
	}
	return follower.pilots[follower.guess%len(follower.pilots)]
}

// Patient makes the follower content with slower answers, as a resting
// lantern is.
func (follower *Follower) Patient(now time.Time, patient bool) {
	if follower.patient != patient {
		follower.patient = patient
		follower.timers.Arm("ask", now)
	}
}

// Hurry asks at once.
func (follower *Follower) Hurry(now time.Time) {
	if follower.waiting && now.Sub(follower.askedAt) < 50*time.Millisecond {
		return
	}
	follower.hurried = true
	follower.timers.Arm("ask", now)
}

// Due runs the timers that expired.
func (follower *Follower) Due(now time.Time, effects *helm.Effects) {
	for _, key := range follower.timers.Expired(now) {
		switch key {
		case "ask":
			follower.ask(now, effects)
		case "limit":
			follower.waiting = false
			follower.searching = true
			follower.ask(now, effects)
		}
	}
}

func (follower *Follower) ask(now time.Time, effects *helm.Effects) {
	follower.nonce++
	follower.askedAt, follower.waiting = now, true
	limit := askLimit
	if follower.patient {
		limit = patientLimit
	}
	if follower.searching {
		limit = searchEvery
	}
	follower.timers.Disarm("ask")
	follower.timers.Arm("limit", now.Add(limit))
	for _, address := range follower.Upstreams() {
		follower.askAt(address, effects)
	}
}

func (follower *Follower) askAt(address string, effects *helm.Effects) {
	effects.Send(address, Ask{
		Self: follower.self, Nonce: follower.nonce, Index: follower.Index, Version: follower.Version,
		Load: follower.load(), Patient: follower.patient, Urgent: follower.searching || follower.hurried,
		Epoch: follower.Epoch,
	})
}

// Upstreams are the addresses that are presently asked: the primary, or while
// it is being looked for all pilots that are known.
func (follower *Follower) Upstreams() []string {
	if follower.fixed {
		return follower.seeds[:1]
	}
	if follower.primary != "" && !follower.searching {
		return []string{follower.primary}
	}
	addresses := append([]string(nil), follower.pilots...)
	for _, seed := range follower.seeds {
		if !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	return addresses
}

// Redirected learns from a pilot that is not primary. A primary that it names
// and that was not asked yet is asked at once.
func (follower *Follower) Redirected(now time.Time, redirect Redirect, effects *helm.Effects) {
	if redirect.Nonce != follower.nonce {
		return
	}
	asked := follower.Upstreams()
	follower.learnPilots(redirect.Pilots)
	if follower.fixed {
		return
	}
	if !follower.searching {
		follower.searching = true
		follower.timers.Arm("limit", now.Add(searchEvery/3))
	}
	if redirect.Primary != "" && !slices.Contains(asked, redirect.Primary) {
		follower.askAt(redirect.Primary, effects)
	}
}

func (follower *Follower) learnPilots(addresses []string) {
	for _, address := range addresses {
		if !slices.Contains(follower.pilots, address) {
			follower.pilots = append(slices.Clone(follower.pilots), address)
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
func (follower *Follower) Take(now time.Time, news News) Taken {
	if news.Epoch < follower.Epoch || news.Index < follower.Index || news.Version < follower.Version {
		return Taken{}
	}
	var taken Taken
	if news.Nonce == follower.nonce {
		follower.waiting, follower.searching, follower.hurried = false, false, false
		follower.timers.Disarm("limit")
		follower.timers.Arm("ask", now)
		taken.Answered = true
	}
	if follower.Index == 0 && (!taken.Answered || now.Sub(follower.askedAt) > FreshFor) {
		return taken
	}
	if taken.Answered {
		if follower.askedAt.After(follower.Confirmed) {
			follower.Confirmed = follower.askedAt
		}
	}
	follower.primary = news.Primary
	follower.Epoch = news.Epoch
	follower.Orders = news.Orders
	if news.Version > follower.Version && news.Document != nil {
		follower.Version, follower.Document = news.Version, news.Document
		taken.Document = true
	}
	if news.Changed && news.Index > follower.Index && follower.Index >= news.Since {
		follower.takeView(news)
		taken.View = true
	}
	return taken
}

// takeView replaces the view, or what changed of it.
func (follower *Follower) takeView(news News) {
	follower.Index = news.Index
	if news.Since == 0 || news.Births != nil {
		follower.Births = news.Births
	}
	members, places := make(map[string]Member, len(news.Members)), make(map[string]Placement, len(news.Placements))
	if news.Since > 0 {
		members, places = maps.Clone(follower.Members), maps.Clone(follower.Places)
	}
	for _, member := range news.Members {
		members[member.Name] = member
	}
	for _, place := range news.Placements {
		places[place.Strand] = place
	}
	follower.Members, follower.Places, follower.pilots = members, places, nil
	for _, member := range helm.Sorted(members) {
		if member.Kind == KindPilot && member.Alive {
			follower.pilots = append(follower.pilots, member.Address)
		}
	}
	if len(follower.pilots) == 0 {
		follower.pilots = follower.seeds
	}
}

// Adopt takes a configuration that another daemon had sooner.
func (follower *Follower) Adopt(version uint64, document []byte, births map[string]uint64) bool {
	if version <= follower.Version || follower.Index == 0 {
		return false
	}
	follower.Version, follower.Document, follower.Births = version, document, births
	return true
}

// Other names another pilot to try than the one presently asked.
func (follower *Follower) Other() string {
	if len(follower.pilots) == 0 {
		return follower.Upstream()
	}
	follower.guess++
	return follower.pilots[follower.guess%len(follower.pilots)]
}

// AnswerChart gives a daemon that asks a configuration newer than its own.
func (follower *Follower) AnswerChart(to string, ask ChartAsk, effects *helm.Effects) {
	if follower.Version > ask.Version {
		effects.Send(to, ChartReturn{Version: follower.Version, Document: follower.Document, Births: follower.Births})
	}
}
