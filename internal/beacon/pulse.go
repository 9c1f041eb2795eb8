// A Pulse is one daemon's part in watching: it sends heartbeats to the few
// watchers that the ring names, and where it is a watcher itself it tells the
// primary whom it no longer hears. A watcher that was frozen does not blame the
// others for its own silence: after a long gap in its own steps it begins to
// listen anew.
package beacon

import (
	"time"

	"dahlialock/internal/foghorn"
	"dahlialock/internal/helm"
)

// Spans of watching.
const (
	BeatEvery    = 500 * time.Millisecond
	SilentAfter  = 2 * time.Second
	ownGapLimit  = time.Second
	IsolatedFrom = 2 * time.Second
	// Keepers hold what publications wait for, so their silence is noticed sooner.
	KeeperBeat   = 200 * time.Millisecond
	KeeperSilent = 700 * time.Millisecond
)

// silentAfter is how long a member may be silent before a watcher tells of it.
func silentAfter(member Member) time.Duration {
	switch {
	case member.Kind == KindKeeper:
		return KeeperSilent
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
	timers    *helm.Timers
	resting   bool
}

// NewPulse makes the pulse of a daemon.
func NewPulse(self Member) *Pulse {
	return &Pulse{
		self: self, view: map[string]Member{}, watched: map[string]time.Time{},
		suspected: map[string]bool{}, timers: helm.NewTimers(),
	}
}

// Start begins the beat.
func (pulse *Pulse) Start(now time.Time) {
	pulse.lastStep, pulse.heardAny = now, now
	pulse.timers.Arm("beat", now)
}

// NextDue is when the pulse wants to run again.
func (pulse *Pulse) NextDue() time.Time { return pulse.timers.Next() }

// Rest slows the beat of a resting lantern, and quickens it when it wakes.
func (pulse *Pulse) Rest(now time.Time, resting bool) {
	if pulse.resting == resting {
		return
	}
	pulse.resting = resting
	pulse.timers.Arm("beat", now)
}

// Take follows a new view.
func (pulse *Pulse) Take(now time.Time, view map[string]Member, primary string, index uint64) {
	ring := NewRing(view)
	pulse.beatTo = nil
	for _, watcher := range ring.WatchersOf(pulse.self) {
		pulse.beatTo = append(pulse.beatTo, watcher.Address)
	}
	watched := map[string]time.Time{}
	for name, member := range helm.Sorted(view) {
		if !member.Alive || name == pulse.self.Name {
			continue
		}
		for _, watcher := range ring.WatchersOf(member) {
			if watcher.Name != pulse.self.Name {
				continue
			}
			heard, found := pulse.watched[name]
			if !found || pulse.view[name].Incarnation != member.Incarnation {
				// A process that begins anew answers for its own silence only.
				heard = now
				delete(pulse.suspected, name)
			}
			watched[name] = heard
		}
	}
	pulse.view, pulse.primary, pulse.index = view, primary, index
	pulse.watched = watched
	pulse.watches = false
	for name := range watched {
		pulse.watches = pulse.watches || view[name].Kind == KindKeeper
	}
}

// Heard notes that another daemon was heard.
func (pulse *Pulse) Heard(now time.Time) { pulse.heardAny = now }

// Isolated tells whether this daemon has heard no other for a while.
func (pulse *Pulse) Isolated(now time.Time) bool {
	return now.Sub(pulse.heardAny) > IsolatedFrom
}

// Beat takes a heartbeat.
func (pulse *Pulse) Beat(now time.Time, beat Heartbeat) {
	if _, found := pulse.watched[beat.Name]; found {
		pulse.watched[beat.Name] = now
		delete(pulse.suspected, beat.Name)
	}
}

// Due runs the timers that expired.
func (pulse *Pulse) Due(now time.Time, effects *helm.Effects) {
	for range pulse.timers.Expired(now) {
		pulse.step(now, effects)
	}
}

func (pulse *Pulse) step(now time.Time, effects *helm.Effects) {
	beatEvery := BeatEvery
	if pulse.resting {
		beatEvery = 2 * BeatEvery
	}
	if pulse.self.Kind == KindKeeper {
		beatEvery = KeeperBeat
	}
	every, gap := beatEvery, ownGapLimit
	if pulse.watches && !pulse.resting {
		// Who is to notice a short silence must not take its own for another's.
		every, gap = KeeperBeat, KeeperSilent/3
	}
	pulse.timers.Arm("beat", now.Add(every))
	if now.Sub(pulse.lastStep) > gap+every {
		for name := range pulse.watched {
			pulse.watched[name] = now
		}
		pulse.heardAny = now
	}
	pulse.lastStep = now
	if now.Sub(pulse.beatAt) > beatEvery-KeeperBeat/2 {
		pulse.beatAt = now
		for _, address := range pulse.beatTo {
			effects.Send(address, Heartbeat{Name: pulse.self.Name, Incarnation: pulse.self.Incarnation, Index: pulse.index})
		}
	}
	if pulse.resting {
		return
	}
	var silent []Suspect
	for name, heard := range helm.Sorted(pulse.watched) {
		member := pulse.view[name]
		if silence := now.Sub(heard); silence > silentAfter(member) {
			silent = append(silent, Suspect{Name: name, Incarnation: member.Incarnation, Silence: silence})
			if !pulse.suspected[name] {
				pulse.suspected[name] = true
				effects.Note(foghorn.MemberSuspected, "member", name, "silence", silence.String())
			}
		}
	}
	if len(silent) > 0 {
		for _, member := range helm.Sorted(pulse.view) {
			if member.Kind == KindPilot && member.Alive {
				effects.Send(member.Address, Suspicion{Reporter: pulse.self.Name, Silent: silent})
			}
		}
	}
}
