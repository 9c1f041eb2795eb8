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

// RoleLease is the asker's side of a duty.
type RoleLease struct {
	duty    string
	request statemachine.RequestID
	askedAt time.Time
	need    int
	givers  map[string]bool
	until   time.Time
}

// NewRoleLease registers a duty that this controller may come to hold.
func (w *Node) NewRoleLease(duty string) *RoleLease {
	lease := &RoleLease{duty: duty, givers: map[string]bool{}}
	w.leases[duty] = lease
	return lease
}

func (l *RoleLease) ask(now time.Time, request statemachine.RequestID, need int) RoleLeaseRequest {
	l.request, l.askedAt, l.need = request, now, need
	l.givers = map[string]bool{}
	return RoleLeaseRequest{Role: l.duty, Request: l.request}
}

func (l *RoleLease) given(name string, request statemachine.RequestID) {
	if name == "" || request != l.request {
		return
	}
	l.givers[name] = true
	if len(l.givers) >= l.need {
		l.until = l.askedAt.Add(LeaseDuration * 9 / 10)
	}
}

// Valid tells whether the duty may be done at this moment.
func (l *RoleLease) Valid(now time.Time) bool {
	return now.Before(l.until)
}

func (w *Node) onDutyAsk(now time.Time, from string, ask RoleLeaseRequest, effects *statemachine.Effects) {
	name := w.nameOf(from, w.durable.Record.Voters)
	if !w.member() || name == "" || w.acceptedAway() {
		return
	}
	held := w.duties[ask.Role]
	// A witness that was restarted has forgotten whom it granted a duty to, and
	// one that came into the voters does not know whom others did.
	if now.Before(w.forgetful) || held.holder != name && now.Before(held.until) {
		w.reply(now, from, RoleLeaseResponse{Role: ask.Role, Request: ask.Request, Holder: held.holder}, effects)
		return
	}
	w.duties[ask.Role] = duty{holder: name, until: now.Add(LeaseDuration)}
	w.reply(now, from, RoleLeaseResponse{Role: ask.Role, Request: ask.Request, Granted: true, Holder: name}, effects)
}

// RequestRoleLease asks the voters for a duty's lease; the answers go to Lease.
func (w *Node) RequestRoleLease(now time.Time, lease *RoleLease, effects *statemachine.Effects) {
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
