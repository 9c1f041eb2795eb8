// A Pulse is one daemon's part in watching: it sends heartbeats to the few
// watchers that the ring names, and where it is a watcher itself it tells the
// primary whom it no longer hears. A watcher that was frozen does not blame the
// others for its own silence: after a long gap in its own steps it begins to
// listen anew.

package membership

import (
	"time"

	"dahlialock/internal/logevent"
	"dahlialock/internal/statemachine"
)

// Spans of watching.
const (
	HeartbeatInterval = 500 * time.Millisecond
	SuspectTimeout    = 2 * time.Second
	maxOwnPause       = time.Second
	IsolationTimeout  = 2 * time.Second
	// Stores hold what publications wait for, so their silence is noticed sooner.
	StoreHeartbeatInterval = 200 * time.Millisecond
	StoreSuspectTimeout    = 700 * time.Millisecond
)

// suspectTimeout is how long a member may be silent before a watcher tells of it.
func suspectTimeout(member Member) time.Duration {
	switch {
	case member.Kind == KindStore:
		return StoreSuspectTimeout
	case member.Resting:
		return 2 * SuspectTimeout
	}
	return SuspectTimeout
}

// FailureDetector is the state machine.
type FailureDetector struct {
	self            Member
	view            map[string]Member
	primary         string
	index           uint64
	watchers        []string
	watched         map[string]time.Time
	suspected       map[string]bool
	lastStep        time.Time
	heartbeatSentAt time.Time
	watches         bool
	heardAnyAt      time.Time
	timers          *statemachine.Timers[string]
	resting         bool
}

// NewFailureDetector makes the pulse of a daemon.
func NewFailureDetector(self Member) *FailureDetector {
	return &FailureDetector{
		self: self, view: map[string]Member{}, watched: map[string]time.Time{},
		suspected: map[string]bool{}, timers: statemachine.NewTimers[string](),
	}
}

// Start begins the beat.
func (p *FailureDetector) Start(now time.Time) {
	p.lastStep, p.heardAnyAt = now, now
	p.timers.Arm("beat", now)
}

// NextTick is when the pulse wants to run again.
func (p *FailureDetector) NextTick() time.Time { return p.timers.Next() }

// SetResting slows the beat of a resting gateway, and quickens it when it wakes.
func (p *FailureDetector) SetResting(now time.Time, resting bool) {
	if p.resting == resting {
		return
	}
	p.resting = resting
	p.timers.Arm("beat", now)
}

// SetView follows a new view.
func (p *FailureDetector) SetView(now time.Time, view map[string]Member, primary string, index uint64) {
	ring := NewRing(view)
	p.watchers = nil
	for _, watcher := range ring.WatchersOf(p.self) {
		p.watchers = append(p.watchers, watcher.Address)
	}
	watched := map[string]time.Time{}
	for name, member := range statemachine.Sorted(view) {
		if !member.Alive || name == p.self.Name {
			continue
		}
		for _, watcher := range ring.WatchersOf(member) {
			if watcher.Name != p.self.Name {
				continue
			}
			heard, found := p.watched[name]
			if !found || p.view[name].Incarnation != member.Incarnation {
				// A process that begins anew answers for its own silence only.
				heard = now
				delete(p.suspected, name)
			}
			watched[name] = heard
		}
	}
	p.view, p.primary, p.index = view, primary, index
	p.watched = watched
	p.watches = false
	for name := range watched {
		p.watches = p.watches || view[name].Kind == KindStore
	}
}

// ReceiveFromPeer notes that another daemon was heard.
func (p *FailureDetector) ReceiveFromPeer(now time.Time) { p.heardAnyAt = now }

// Isolated tells whether this daemon has heard no other for a while.
func (p *FailureDetector) Isolated(now time.Time) bool {
	return now.Sub(p.heardAnyAt) > IsolationTimeout
}

// ReceiveHeartbeat takes a heartbeat.
func (p *FailureDetector) ReceiveHeartbeat(now time.Time, beat Heartbeat) {
	if _, found := p.watched[beat.Name]; found {
		p.watched[beat.Name] = now
		delete(p.suspected, beat.Name)
	}
}

// Tick runs the timers that expired.
func (p *FailureDetector) Tick(now time.Time, effects *statemachine.Effects) {
	for range p.timers.Expired(now) {
		p.step(now, effects)
	}
}

func (p *FailureDetector) step(now time.Time, effects *statemachine.Effects) {
	beatEvery := HeartbeatInterval
	if p.resting {
		beatEvery = 2 * HeartbeatInterval
	}
	if p.self.Kind == KindStore {
		beatEvery = StoreHeartbeatInterval
	}
	every, gap := beatEvery, maxOwnPause
	if p.watches && !p.resting {
		// Who is to notice a short silence must not take its own for another's.
		every, gap = StoreHeartbeatInterval, StoreSuspectTimeout/3
	}
	p.timers.Arm("beat", now.Add(every))
	if now.Sub(p.lastStep) > gap+every {
		for name := range p.watched {
			p.watched[name] = now
		}
		p.heardAnyAt = now
	}
	p.lastStep = now
	if now.Sub(p.heartbeatSentAt) > beatEvery-StoreHeartbeatInterval/2 {
		p.heartbeatSentAt = now
		for _, address := range p.watchers {
			effects.Send(address, Heartbeat{Name: p.self.Name, Incarnation: p.self.Incarnation, Index: p.index})
		}
	}
	if p.resting {
		return
	}
	var silent []Suspect
	for name, heard := range statemachine.Sorted(p.watched) {
		member := p.view[name]
		if silence := now.Sub(heard); silence > suspectTimeout(member) {
			silent = append(silent, Suspect{Name: name, Incarnation: member.Incarnation, SilentFor: silence})
			if !p.suspected[name] {
				p.suspected[name] = true
				effects.Emit(logevent.MemberSuspected, "member", name, "silence", silence.String())
			}
		}
	}
	if len(silent) > 0 {
		for _, member := range statemachine.Sorted(p.view) {
			if member.Kind == KindController && member.Alive {
				effects.Send(member.Address, Suspicion{Reporter: p.self.Name, Silent: silent})
			}
		}
	}
}
