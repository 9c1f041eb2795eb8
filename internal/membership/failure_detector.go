package membership

import (
	"time"

	"dahlialock/internal/logevent"
	"dahlialock/internal/statemachine"
)

// Intervals and timeouts of failure detection.
const (
	// HeartbeatInterval is the interval between a member's heartbeats; that of a resting gateway
	// is twice as long. SuspectTimeout is how long a member may send no heartbeat before it is
	// suspected.
	HeartbeatInterval = 500 * time.Millisecond
	SuspectTimeout    = 2 * time.Second
	// Stores have shorter intervals and timeouts, because publications wait for stores.
	StoreHeartbeatInterval = 200 * time.Millisecond
	StoreSuspectTimeout    = 700 * time.Millisecond
	// maxOwnPause is how late a step of the detector may run before the detector restarts all
	// timeouts (see stepInterval).
	maxOwnPause = time.Second
	// IsolationTimeout is how long a daemon may receive no message from another daemon before it
	// considers itself isolated.
	IsolationTimeout = 2 * time.Second
)

// suspectTimeout returns how long a member may send no heartbeat before its watchers report it.
func suspectTimeout(member Member) time.Duration {
	switch {
	case member.Kind == KindStore:
		return StoreSuspectTimeout
	case member.Resting:
		return 2 * SuspectTimeout
	}
	return SuspectTimeout
}

// detectorTimer identifies a timer of a FailureDetector.
type detectorTimer int

const timerStep detectorTimer = iota

// FailureDetector is the failure detector of one daemon. It sends heartbeats to the daemon's
// watchers on the ring, and reports to the controllers the members that the daemon watches and
// that have sent no heartbeat within their timeout. It does not decide whether a member is
// lost. A process that was paused could not receive heartbeats, so the detector restarts all
// timeouts after a long pause between its own steps.
type FailureDetector struct {
	self Member
	// view and index are the arguments of the last SetView.
	view  map[string]Member
	index uint64
	// watchers are the addresses to which heartbeats are sent.
	watchers []string
	// watched is when the timeout of each watched member started, which is usually the arrival
	// of its last heartbeat. suspected holds the watched members that were logged as suspected
	// since then.
	watched   map[string]time.Time
	suspected map[string]bool
	// watchesStore is set if any watched member is a store.
	watchesStore bool
	// lastContact is when the last message from any other daemon arrived.
	lastContact     time.Time
	lastStep        time.Time
	heartbeatSentAt time.Time
	resting         bool
	timers          *statemachine.Timers[detectorTimer]
}

// NewFailureDetector returns the failure detector of a daemon. It has no view before SetView.
func NewFailureDetector(self Member) *FailureDetector {
	return &FailureDetector{
		self:      self,
		view:      map[string]Member{},
		watched:   map[string]time.Time{},
		suspected: map[string]bool{},
		timers:    statemachine.NewTimers[detectorTimer](),
	}
}

// Start starts the timers. The first heartbeat is sent at the next Tick.
func (d *FailureDetector) Start(now time.Time) {
	d.lastStep, d.lastContact = now, now
	d.timers.Arm(timerStep, now)
}

// NextTick returns when Tick has to be called.
func (d *FailureDetector) NextTick() time.Time { return d.timers.Next() }

// SetResting selects the longer heartbeat interval of a resting gateway. A resting gateway
// reports no members.
func (d *FailureDetector) SetResting(now time.Time, resting bool) {
	if d.resting == resting {
		return
	}
	d.resting = resting
	d.timers.Arm(timerStep, now)
}

// SetView applies a new view. Members that remain watched keep their timeouts, except that the
// timeout of a member with a new incarnation is restarted.
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
			lastHeartbeat, found := d.watched[name]
			if !found || d.view[name].Incarnation != member.Incarnation {
				// The timeout of a restarted process does not include the silence of its previous
				// incarnation.
				lastHeartbeat = now
				delete(d.suspected, name)
			}
			watched[name] = lastHeartbeat
		}
	}
	d.view, d.index = view, index
	d.watched = watched
	d.watchesStore = false
	for name := range watched {
		d.watchesStore = d.watchesStore || view[name].Kind == KindStore
	}
}

// ReceiveFromPeer has to be called for every message from another daemon, of any type.
func (d *FailureDetector) ReceiveFromPeer(now time.Time) { d.lastContact = now }

// Isolated reports whether this daemon has received no message from another daemon for
// IsolationTimeout.
func (d *FailureDetector) Isolated(now time.Time) bool {
	return now.Sub(d.lastContact) > IsolationTimeout
}

// ReceiveHeartbeat restarts the timeout of a watched member. The heartbeat may be of any
// incarnation. Heartbeats of members that are not watched are ignored.
func (d *FailureDetector) ReceiveHeartbeat(now time.Time, heartbeat Heartbeat) {
	if _, found := d.watched[heartbeat.Name]; found {
		d.watched[heartbeat.Name] = now
		delete(d.suspected, heartbeat.Name)
	}
}

// Tick sends the heartbeats that are due and reports the members whose timeout has expired.
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

// heartbeatInterval returns the interval between this daemon's heartbeats.
func (d *FailureDetector) heartbeatInterval() time.Duration {
	switch {
	case d.self.Kind == KindStore:
		return StoreHeartbeatInterval
	case d.resting:
		return 2 * HeartbeatInterval
	}
	return HeartbeatInterval
}

// stepInterval returns the interval between steps, and how late a step may run before this
// daemon counts as having been paused. A daemon that watches stores detects a short silence, so
// it must also detect short pauses of its own process.
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
	d.lastContact = now
}

// sendHeartbeats sends the heartbeats if they are due. Steps may be more frequent than heartbeats
// (see stepInterval), so heartbeats may be sent early by less than half a StoreHeartbeatInterval
// instead of late by most of a step.
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

// silentMembers returns the watched members whose timeout has expired, and logs each of them
// once per period of silence.
func (d *FailureDetector) silentMembers(now time.Time, effects *statemachine.Effects) []Suspect {
	var silent []Suspect
	for name, lastHeartbeat := range statemachine.Sorted(d.watched) {
		member := d.view[name]
		silentFor := now.Sub(lastHeartbeat)
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
