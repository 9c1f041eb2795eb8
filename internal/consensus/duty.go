// A Lease is one controller's hold on a single duty that is not the primary's own,
// such as the economy. It is granted by a majority of the voters, counted from
// the moment of asking with a tenth off, and checked before every act.

package consensus

import (
	"time"

	"dahlialock/internal/statemachine"
)

type duty struct {
	holder string
	until  time.Time
}

// Lease is the asker's side of a duty.
type Lease struct {
	duty    string
	request statemachine.RequestID
	askedAt time.Time
	need    int
	givers  map[string]bool
	until   time.Time
}

// NewLease registers a duty that this controller may come to hold.
func (w *Node) NewLease(duty string) *Lease {
	lease := &Lease{duty: duty, givers: map[string]bool{}}
	w.leases[duty] = lease
	return lease
}

func (l *Lease) ask(now time.Time, request statemachine.RequestID, need int) DutyAsk {
	l.request, l.askedAt, l.need = request, now, need
	l.givers = map[string]bool{}
	return DutyAsk{Duty: l.duty, Request: l.request}
}

func (l *Lease) given(name string, request statemachine.RequestID) {
	if name == "" || request != l.request {
		return
	}
	l.givers[name] = true
	if len(l.givers) >= l.need {
		l.until = l.askedAt.Add(LeaseLength * 9 / 10)
	}
}

// Held tells whether the duty may be done at this moment.
func (l *Lease) Held(now time.Time) bool {
	return now.Before(l.until)
}

func (w *Node) onDutyAsk(now time.Time, from string, ask DutyAsk, effects *statemachine.Effects) {
	name := w.nameOf(from, w.durable.Record.Voters)
	if !w.member() || name == "" || w.acceptedAway() {
		return
	}
	held := w.duties[ask.Duty]
	// A witness that was restarted has forgotten whom it granted a duty to, and
	// one that came into the voters does not know whom others did.
	if now.Before(w.forgetful) || held.holder != name && now.Before(held.until) {
		w.reply(now, from, DutyResponse{Duty: ask.Duty, Request: ask.Request, Holder: held.holder}, effects)
		return
	}
	w.duties[ask.Duty] = duty{holder: name, until: now.Add(LeaseLength)}
	w.reply(now, from, DutyResponse{Duty: ask.Duty, Request: ask.Request, Given: true, Holder: name}, effects)
}

// AskDuty asks the voters for a duty's lease; the answers go to Lease.
func (w *Node) AskDuty(now time.Time, lease *Lease, effects *statemachine.Effects) {
	if !w.member() {
		return
	}
	ask := lease.ask(now, w.requests.Next(), w.durable.Record.Majority())
	for _, controller := range w.durable.Record.Voters {
		if controller.Name == w.settings.Self.Name {
			w.onDutyAsk(now, controller.Address, ask, effects)
		} else {
			effects.Send(controller.Address, ask)
		}
	}
}
