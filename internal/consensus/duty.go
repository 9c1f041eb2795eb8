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
	nonce   uint64
	askedAt time.Time
	need    int
	givers  map[string]bool
	until   time.Time
}

// NewLease registers a duty that this controller may come to hold.
func (w *Watch) NewLease(duty string) *Lease {
	lease := &Lease{duty: duty, givers: map[string]bool{}}
	w.leases[duty] = lease
	return lease
}

func (l *Lease) ask(now time.Time, need int) DutyAsk {
	l.nonce++
	l.askedAt, l.need = now, need
	l.givers = map[string]bool{}
	return DutyAsk{Duty: l.duty, Nonce: l.nonce}
}

func (l *Lease) given(name string, nonce uint64) {
	if name == "" || nonce != l.nonce {
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

func (w *Watch) onDutyAsk(now time.Time, from string, ask DutyAsk, effects *statemachine.Effects) {
	name := w.nameOf(from, w.durable.Record.Voters)
	if !w.member() || name == "" || w.acceptedAway() {
		return
	}
	held := w.duties[ask.Duty]
	if ask.Leave {
		if held.holder == name {
			delete(w.duties, ask.Duty)
		}
		return
	}
	// A witness that was restarted has forgotten whom it granted a duty to, and
	// one that came into the voters does not know whom others did.
	if now.Before(w.forgetful) || held.holder != name && now.Before(held.until) {
		w.reply(now, from, DutyResponse{Duty: ask.Duty, Nonce: ask.Nonce, Holder: held.holder}, effects)
		return
	}
	w.duties[ask.Duty] = duty{holder: name, until: now.Add(LeaseLength)}
	w.reply(now, from, DutyResponse{Duty: ask.Duty, Nonce: ask.Nonce, Given: true, Holder: name}, effects)
}

// AskDuty asks the voters for a duty's lease; the answers go to Lease.
func (w *Watch) AskDuty(now time.Time, lease *Lease, effects *statemachine.Effects) {
	if !w.member() {
		return
	}
	ask := lease.ask(now, w.durable.Record.Majority())
	for _, controller := range w.durable.Record.Voters {
		if controller.Name == w.settings.Self.Name {
			w.onDutyAsk(now, controller.Address, ask, effects)
		} else {
			effects.Send(controller.Address, ask)
		}
	}
}
