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
	BeatEvery    = 500 * time.Millisecond
	SilentAfter  = 2 * time.Second
	ownGapLimit  = time.Second
	IsolatedFrom = 2 * time.Second
	// Stores hold what publications wait for, so their silence is noticed sooner.
	StoreBeat   = 200 * time.Millisecond
	StoreSilent = 700 * time.Millisecond
)

// silentAfter is how long a member may be silent before a watcher tells of it.
func silentAfter(member Member) time.Duration {
	switch {
	case member.Kind == KindStore:
		return StoreSilent
	case member.Resting:
		return 2 * SilentAfter
	}
	return SilentAfter
}

// Pulse is the state machine.
type Pulse struct {
	self      Member
	view      map[string]Member
	primary   string
	index     uint64
	beatTo    []string
	watched   map[string]time.Time
	suspected map[string]bool
	lastStep  time.Time
	beatAt    time.Time
	watches   bool
	heardAny  time.Time
	timers    *statemachine.Timers
	resting   bool
}

// NewPulse makes the pulse of a daemon.
func NewPulse(self Member) *Pulse {
	return &Pulse{
		self: self, view: map[string]Member{}, watched: map[string]time.Time{},
		suspected: map[string]bool{}, timers: statemachine.NewTimers(),
	}
}

// Start begins the beat.
func (p *Pulse) Start(now time.Time) {
	p.lastStep, p.heardAny = now, now
	p.timers.Arm("beat", now)
}

// NextTick is when the pulse wants to run again.
func (p *Pulse) NextTick() time.Time { return p.timers.Next() }

// Rest slows the beat of a resting gateway, and quickens it when it wakes.
func (p *Pulse) Rest(now time.Time, resting bool) {
	if p.resting == resting {
		return
	}
	p.resting = resting
	p.timers.Arm("beat", now)
}

// Take follows a new view.
func (p *Pulse) Take(now time.Time, view map[string]Member, primary string, index uint64) {
	ring := NewRing(view)
	p.beatTo = nil
	for _, watcher := range ring.WatchersOf(p.self) {
		p.beatTo = append(p.beatTo, watcher.Address)
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

// Heard notes that another daemon was heard.
func (p *Pulse) Heard(now time.Time) { p.heardAny = now }

// Isolated tells whether this daemon has heard no other for a while.
func (p *Pulse) Isolated(now time.Time) bool {
	return now.Sub(p.heardAny) > IsolatedFrom
}

// Beat takes a heartbeat.
func (p *Pulse) Beat(now time.Time, beat Heartbeat) {
	if _, found := p.watched[beat.Name]; found {
		p.watched[beat.Name] = now
		delete(p.suspected, beat.Name)
	}
}

// Tick runs the timers that expired.
func (p *Pulse) Tick(now time.Time, effects *statemachine.Effects) {
	for range p.timers.Expired(now) {
		p.step(now, effects)
	}
}

func (p *Pulse) step(now time.Time, effects *statemachine.Effects) {
	beatEvery := BeatEvery
	if p.resting {
		beatEvery = 2 * BeatEvery
	}
	if p.self.Kind == KindStore {
		beatEvery = StoreBeat
	}
	every, gap := beatEvery, ownGapLimit
	if p.watches && !p.resting {
		// Who is to notice a short silence must not take its own for another's.
		every, gap = StoreBeat, StoreSilent/3
	}
	p.timers.Arm("beat", now.Add(every))
	if now.Sub(p.lastStep) > gap+every {
		for name := range p.watched {
			p.watched[name] = now
		}
		p.heardAny = now
	}
	p.lastStep = now
	if now.Sub(p.beatAt) > beatEvery-StoreBeat/2 {
		p.beatAt = now
		for _, address := range p.beatTo {
			effects.Send(address, Heartbeat{Name: p.self.Name, Incarnation: p.self.Incarnation, Index: p.index})
		}
	}
	if p.resting {
		return
	}
	var silent []Suspect
	for name, heard := range statemachine.Sorted(p.watched) {
		member := p.view[name]
		if silence := now.Sub(heard); silence > silentAfter(member) {
			silent = append(silent, Suspect{Name: name, Incarnation: member.Incarnation, Silence: silence})
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
