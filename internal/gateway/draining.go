package gateway

import (
	"slices"
	"time"

	"dahlialock/internal/logevent"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// closeUnconfirmedSessions closes sessions of a gateway that has been unconfirmed for disconnectAfter,
// which is longer than any change of the primary controller takes. So its agent has failed or its machine
// is isolated, and other gateways can serve its clients. Half of the sessions, but at least
// minDisconnects, are closed each second.
func (g *Gateway) closeUnconfirmedSessions(now time.Time, effects *statemachine.Effects) {
	if g.viewClient.Index == 0 || g.Confirmed(now) || now.Sub(g.viewClient.ConfirmedAt) < disconnectAfter {
		return
	}
	count := max(minDisconnects, len(g.sessions)/2)
	for id, session := range statemachine.Sorted(g.sessions) {
		if count--; count < 0 {
			return
		}
		g.emitFinalEvent(now, id, session, CodeUnconfirmed, effects)
		g.closeSession(now, CloseSession{Session: id, Reason: CodeUnconfirmed}, effects)
	}
}

// moveTargets returns the gateways to which clients may be moved, in order of preference.
func (g *Gateway) moveTargets() []membership.Member {
	var members []membership.Member
	for _, name := range g.viewClient.Directives.Targets {
		if member, found := g.viewClient.Members[name]; found && member.Alive {
			members = append(members, member)
		}
	}
	if len(members) > 0 {
		return members
	}
	for phase := range 2 {
		for name, member := range statemachine.Sorted(g.viewClient.Members) {
			sameZone := member.Zone == g.settings.Self.Zone
			if name != g.settings.Self.Name && member.Kind == membership.KindGateway && member.Alive && !member.Resting &&
				!slices.Contains(g.config.Draining, name) && sameZone == (phase == 0) {
				members = append(members, member)
			}
		}
		if len(members) >= 2 {
			break
		}
	}
	return members
}

// sessionsToMove returns how many clients to move in this step; a value of zero or less means none.
func (g *Gateway) sessionsToMove() int {
	directives := g.viewClient.Directives
	if !directives.Drain && directives.KeepSessions == 0 && !g.stopping {
		return 0
	}
	count := max(1, directives.MovesPerSecond/int(time.Second/moveInterval))
	if directives.KeepSessions > 0 && !directives.Drain && !g.stopping {
		// Sessions whose clients were asked to move are not counted: these clients are about to leave.
		count = min(count, g.remainingSessions()-directives.KeepSessions)
	}
	if g.stopping {
		count = max(count, minStopMoves, (len(g.sessions)+9)/10)
	}
	return count
}

// moveNextSessions asks the next clients to move to other gateways, and schedules the next step.
func (g *Gateway) moveNextSessions(now time.Time, effects *statemachine.Effects) {
	count := g.sessionsToMove()
	if count <= 0 {
		return
	}
	targets := g.moveTargets()
	if len(targets) == 0 {
		g.timers.Arm(timerMove, now.Add(5*moveInterval))
		return
	}
	for id, session := range statemachine.Sorted(g.sessions) {
		if session.movedAt.IsZero() && !session.isCatchingUp() && (g.draining() || !session.isCatchingUpRouted()) {
			g.rotation++
			g.move(now, id, session, targets[g.rotation%min(len(targets), 3)], effects)
			if count--; count == 0 {
				break
			}
		}
	}
	if len(g.sessions) > 0 {
		g.timers.Arm(timerMove, now.Add(moveInterval))
	}
}

// remainingSessions returns the number of sessions whose clients were not asked to move.
func (g *Gateway) remainingSessions() int {
	count := 0
	for _, session := range g.sessions {
		if session.movedAt.IsZero() {
			count++
		}
	}
	return count
}

// move asks a client to reconnect to another gateway, and sends the cursor with which to resume.
func (g *Gateway) move(
	now time.Time,
	id uint64,
	session *session,
	target membership.Member,
	effects *statemachine.Effects,
) {
	g.Counts.Moves++
	event := Event{
		Event:  "move",
		To:     target.ClientAddress,
		ToName: target.Name,
		Cursor: g.cursor(now, session),
	}
	session.movedAt = now
	g.ring.Record(now, "", "", session.client, "moved", "to", target.Name, "stopping", g.stopping)
	effects.Emit(logevent.SessionMoved, "client", session.client, "to", target.Name)
	g.emit(id, event, effects)
}

// beginStop starts a graceful shutdown.
func (g *Gateway) beginStop(now time.Time) {
	if g.stopping {
		return
	}
	g.stopping = true
	g.stopUntil = now.Add(g.settings.StopWithin)
	g.timers.Arm(timerMove, now)
	g.timers.Arm(timerStop, now.Add(moveInterval))
}

// servesWhileStopping reports whether a stopping gateway has enough time left to serve its remaining
// clients.
func (g *Gateway) servesWhileStopping(now time.Time) bool {
	return now.Before(g.stopUntil.Add(-time.Second))
}

// awaitsClients reports whether the shutdown should wait for a client to disconnect. On the line
// protocol, whose sessions have adapterPings set, a client that has not disconnected within moveTimeout
// after it was asked to move is not expected to do so.
func (g *Gateway) awaitsClients(now time.Time) bool {
	for _, session := range g.sessions {
		if !session.adapterPings || session.movedAt.IsZero() || now.Sub(session.movedAt) < moveTimeout {
			return true
		}
	}
	return false
}

// stopStep completes the shutdown once the clients have disconnected and the appends are answered, or
// the deadline has passed.
func (g *Gateway) stopStep(now time.Time, effects *statemachine.Effects) {
	awaitsClients := g.awaitsClients(now) && now.Before(g.stopUntil)
	awaitsAppends := len(g.appends)+len(g.routed.appends) > 0 && now.Before(g.stopUntil.Add(-time.Second))
	if awaitsClients || awaitsAppends {
		g.timers.Arm(timerStop, now.Add(moveInterval))
		return
	}
	for id, session := range statemachine.Sorted(g.sessions) {
		g.emitFinalEvent(now, id, session, CodeStopping, effects)
	}
	g.overlay.LeaveAll(effects)
	for _, member := range statemachine.Sorted(g.viewClient.Members) {
		if member.Kind == membership.KindController {
			effects.Send(member.Address, membership.GracefulLeave{
				Name:        g.settings.Self.Name,
				Incarnation: g.settings.Self.Incarnation,
			})
		}
	}
	effects.Send(g.settings.Agent, membership.GracefulLeave{
		Name:        g.settings.Self.Name,
		Incarnation: g.settings.Self.Incarnation,
	})
	effects.Stop = true
}
