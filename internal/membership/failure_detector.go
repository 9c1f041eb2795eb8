package membership

import (
	"time"

	"dahlialock/internal/logevent"
	"dahlialock/internal/statemachine"
)

// Intervals and timeouts of failure detection.
const (
	// HeartbeatInterval is the pause between a member's heartbeats; a resting gateway's
	// is twice as long. SuspectTimeout is how long a member may be silent.
	HeartbeatInterval = 500 * time.Millisecond
	SuspectTimeout    = 2 * time.Second
	// Publications wait for stores, so the silence of a store is noticed sooner.
	StoreHeartbeatInterval = 200 * time.Millisecond
	StoreSuspectTimeout    = 700 * time.Millisecond
	// maxOwnPause is how much later than due a step of the detector may come without its
	// timeouts being started anew (see stepInterval).
	maxOwnPause = time.Second
	// IsolationTimeout is how long a daemon may hear no other before it counts itself as
	// isolated.
	IsolationTimeout = 2 * time.Second
)

// suspectTimeout returns how long a member may be silent before its watchers report it.
func suspectTimeout(member Member) time.Duration {
	switch {
	case member.Kind == KindStore:
		return StoreSuspectTimeout
	case member.Resting:
		return 2 * SuspectTimeout
	}
	return SuspectTimeout
}

// detectorTimer names the timers of a FailureDetector.
type detectorTimer int

const timerStep detectorTimer = iota

// FailureDetector is one daemon's part in failure detection. It sends heartbeats to the
// members that the ring names as its watchers, and reports to the controllers those
// members that it watches itself and no longer hears. It decides nothing. A detector
// that was paused does not blame others for its own silence: after a long pause between
// its own steps it starts all timeouts anew.
type FailureDetector struct {
	self Member
	// view and index are those of the newest SetView.
	view  map[string]Member
	index uint64
	// watchers are the addresses to which heartbeats go.
	watchers []string
	// watched is when each watched member was heard last; suspected holds those that
	// were logged as silent since then.
	watched   map[string]time.Time
	suspected map[string]bool
	// watchesStore is set if any watched member is a store.
	watchesStore bool
	// heardAnyAt is when any other daemon was heard last.
	heardAnyAt      time.Time
	lastStep        time.Time
	heartbeatSentAt time.Time
	resting         bool
	timers          *statemachine.Timers[detectorTimer]
}

// NewFailureDetector returns the detector of a daemon, without a view.
func NewFailureDetector(self Member) *FailureDetector {
	return &FailureDetector{
		self:      self,
		view:      map[string]Member{},
		watched:   map[string]time.Time{},
		suspected: map[string]bool{},
		timers:    statemachine.NewTimers[detectorTimer](),
	}
}

// Start sends the first heartbeat at the next Tick.
func (d *FailureDetector) Start(now time.Time) {
	d.lastStep, d.heardAnyAt = now, now
	d.timers.Arm(timerStep, now)
}

// NextTick is when Tick is to be called next.
func (d *FailureDetector) NextTick() time.Time { return d.timers.Next() }

// SetResting chooses the slow heartbeats of a resting gateway. A resting gateway
// watches nobody.
func (d *FailureDetector) SetResting(now time.Time, resting bool) {
	if d.resting == resting {
		return
	}
	d.resting = resting
	d.timers.Arm(timerStep, now)
}

// SetView takes a new view. Members that stay watched keep their timeouts; those with a
// new incarnation get new ones.
func (d *FailureDetector) SetView(now time.Time, view map[string]Member, index uint64) {
	ring := NewRing(view)
	d.watchers = nil
	for _, watcher := range ring.WatchersOf(d.self) {
		d.watchers = append(d.watchers, watcher.Address)
	}
	watched := map[string]time.Time{}
	for name, member := range statemachine.Sorted(view) {
		if !member.Alive || name == d.self.Name {
			continue
		}
		for _, watcher := range ring.WatchersOf(member) {
			if watcher.Name != d.self.Name {
				continue
			}
			heard, found := d.watched[name]
			if !found || d.view[name].Incarnation != member.Incarnation {
				// A restarted process does not inherit the silence of the one before.
				heard = now
				delete(d.suspected, name)
			}
			watched[name] = heard
		}
	}
	d.view, d.index = view, index
	d.watched = watched
	d.watchesStore = false
	for name := range watched {
		d.watchesStore = d.watchesStore || view[name].Kind == KindStore
	}
}

// ReceiveFromPeer is called for every message of another daemon, of whatever kind.
func (d *FailureDetector) ReceiveFromPeer(now time.Time) { d.heardAnyAt = now }

// Isolated reports whether this daemon has heard no other for IsolationTimeout.
func (d *FailureDetector) Isolated(now time.Time) bool {
	return now.Sub(d.heardAnyAt) > IsolationTimeout
}

// ReceiveHeartbeat takes a heartbeat of a watched member, of whichever incarnation; those
// of others are ignored.
func (d *FailureDetector) ReceiveHeartbeat(now time.Time, heartbeat Heartbeat) {
	if _, found := d.watched[heartbeat.Name]; found {
		d.watched[heartbeat.Name] = now
		delete(d.suspected, heartbeat.Name)
	}
}

// Tick sends heartbeats and reports silent members when they are due.
func (d *FailureDetector) Tick(now time.Time, effects *statemachine.Effects) {
	if len(d.timers.Expired(now)) > 0 {
		d.step(now, effects)
	}
}

func (d *FailureDetector) step(now time.Time, effects *statemachine.Effects) {
	interval, maxPause := d.stepInterval()
	d.timers.Arm(timerStep, now.Add(interval))
	if now.Sub(d.lastStep) > maxPause+interval {
		d.restartTimeouts(now)
	}
	d.lastStep = now
	d.sendHeartbeats(now, effects)
	if d.resting {
		return
	}
	if silent := d.silentMembers(now, effects); len(silent) > 0 {
		d.reportSilent(silent, effects)
	}
}

// heartbeatInterval returns the pause between this daemon's heartbeats.
func (d *FailureDetector) heartbeatInterval() time.Duration {
	switch {
	case d.self.Kind == KindStore:
		return StoreHeartbeatInterval
	case d.resting:
		return 2 * HeartbeatInterval
	}
	return HeartbeatInterval
}

// stepInterval returns the pause between steps, and how much longer it may become before
// this daemon counts as having been paused itself. A daemon that watches stores must
// notice a short silence, so it must notice short pauses of its own, too.
func (d *FailureDetector) stepInterval() (interval, maxPause time.Duration) {
	if d.watchesStore && !d.resting {
		return StoreHeartbeatInterval, StoreSuspectTimeout / 3
	}
	return d.heartbeatInterval(), maxOwnPause
}

func (d *FailureDetector) restartTimeouts(now time.Time) {
	for name := range d.watched {
		d.watched[name] = now
	}
	d.heardAnyAt = now
}

func (d *FailureDetector) sendHeartbeats(now time.Time, effects *statemachine.Effects) {
	if now.Sub(d.heartbeatSentAt) <= d.heartbeatInterval()-StoreHeartbeatInterval/2 {
		return
	}
	d.heartbeatSentAt = now
	for _, address := range d.watchers {
		effects.Send(address, Heartbeat{
			Name:        d.self.Name,
			Incarnation: d.self.Incarnation,
			Index:       d.index,
		})
	}
}

// silentMembers returns the watched members whose timeouts have passed, and logs each of
// them once in each time of silence.
func (d *FailureDetector) silentMembers(now time.Time, effects *statemachine.Effects) []Suspect {
	var silent []Suspect
	for name, heardAt := range statemachine.Sorted(d.watched) {
		member := d.view[name]
		silentFor := now.Sub(heardAt)
		if silentFor <= suspectTimeout(member) {
			continue
		}
		silent = append(silent, Suspect{Name: name, Incarnation: member.Incarnation, SilentFor: silentFor})
		if !d.suspected[name] {
			d.suspected[name] = true
			effects.Emit(logevent.MemberSuspected, "member", name, "silence", silentFor.String())
		}
	}
	return silent
}

func (d *FailureDetector) reportSilent(silent []Suspect, effects *statemachine.Effects) {
	for _, member := range statemachine.Sorted(d.view) {
		if member.Kind == KindController && member.Alive {
			effects.Send(member.Address, Suspicion{Reporter: d.self.Name, Silent: silent})
		}
	}
}
