package gateway

import (
	"strings"
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/controller"
	"dahlialock/internal/logevent"
	"dahlialock/internal/membership"
	"dahlialock/internal/overlay"
	"dahlialock/internal/statemachine"
)

// deferredMessage is a message that arrived while the gateway was unconfirmed.
type deferredMessage struct {
	meta    statemachine.Meta
	message any
}

// handleViewUpdate applies an update of the control state.
func (g *Gateway) handleViewUpdate(now time.Time, update membership.ViewUpdate, effects *statemachine.Effects) {
	wasResting := g.Resting()
	changed := g.viewClient.HandleUpdate(now, update)
	if changed.View {
		g.applyView(now, effects)
	}
	ignored := statemachine.Mutated("deaf-gateway") && g.settings.Self.Name == "gateway-1" && g.config.Version > 0
	if changed.Document && !ignored {
		g.applyConfiguration(now, effects)
	}
	if resting := g.Resting(); resting != wasResting {
		g.viewClient.SetLowPriority(now, resting)
		g.detector.SetResting(now, resting)
		if resting {
			g.timers.Disarm(timerTick)
			effects.Emit(logevent.GatewayRested, "gateway", g.settings.Self.Name)
		} else {
			g.timers.ArmSooner(timerTick, now.Add(tickInterval))
			effects.Emit(logevent.GatewayWoken, "gateway", g.settings.Self.Name)
		}
	}
	if directives := g.viewClient.Directives; (directives.Drain || directives.KeepSessions > 0) &&
		!g.timers.Armed(timerMove) {
		g.timers.Arm(timerMove, now)
	}
	g.resume(now, effects)
}

// resume handles the deferred messages and continues the requests that wait for a refresh, if the
// gateway is confirmed.
func (g *Gateway) resume(now time.Time, effects *statemachine.Effects) {
	if !g.Confirmed(now) {
		return
	}
	deferred := g.deferred
	g.deferred = nil
	for _, each := range deferred {
		g.dispatch(now, each.meta, each.message, effects)
	}
	g.completeRefresh(now, effects)
}

// applyView applies a changed membership or placement.
func (g *Gateway) applyView(now time.Time, effects *statemachine.Effects) {
	g.detector.SetView(now, g.viewClient.Members, g.viewClient.Index)
	others := map[string]overlay.Gateway{}
	for name, member := range statemachine.Sorted(g.viewClient.Members) {
		if name == g.settings.Self.Name {
			if member.Alive && member.Incarnation == g.settings.Self.Incarnation {
				g.incarnation = member.Joined
			}
			continue
		}
		if member.Kind == membership.KindGateway && member.Alive {
			others[name] = overlay.Gateway{Name: name, Address: member.Address, Joined: member.Joined}
		}
	}
	g.overlay.SetView(now, others, effects)
	if g.incarnation > 0 {
		g.overlay.SetIncarnation(now, g.incarnation, effects)
	}
	g.handlePlacementsChanged(now, effects)
}

// spaceName returns the name of a space together with the configuration version that created it, and
// false if the space is not in the view.
func (g *Gateway) spaceName(name string) (string, bool) {
	createdAt, found := g.viewClient.SpaceCreatedAt[name]
	if !found {
		return "", false
	}
	fullName := controller.PartitionName(name, createdAt, 0)
	return fullName[:strings.LastIndex(fullName, "/")], true
}

// applyConfiguration puts the newest configuration in force. It is called only after the version has
// increased.
func (g *Gateway) applyConfiguration(now time.Time, effects *statemachine.Effects) {
	document, faults := config.Read(g.viewClient.Document)
	if len(faults) > 0 || document.Version < g.config.Version {
		panic("the configuration is invalid or older than the one in force")
	}
	g.config, g.subscribeTimeout = document, subscribeTimeoutOf(document)
	for name, state := range statemachine.Sorted(g.spaces) {
		space, found := document.Spaces[name]
		fullName, created := g.spaceName(name)
		routed := space.Order == config.OrderTopic && state.space.Order == config.OrderTopic
		if found && (routed || created && fullName == state.name) {
			state.space = space
			continue
		}
		g.removeSpace(now, name, state, effects)
	}
	for name, space := range statemachine.Sorted(document.Spaces) {
		if _, found := g.spaces[name]; found {
			continue
		}
		if space.Order == config.OrderTopic {
			g.spaces[name] = &spaceState{space: space, name: name + "~0"}
			continue
		}
		if fullName, created := g.spaceName(name); created {
			g.spaces[name] = &spaceState{
				space:    space,
				name:     fullName,
				topics:   map[string]map[uint64]bool{},
				prefixes: map[string]map[uint64]bool{},
			}
		}
	}
	g.applyRoutes(now, effects)
	effects.Emit(logevent.ConfigurationApplied, "version", document.Version, "spaces", len(document.Spaces))
	g.ring.Record(now, "", "", "", "configuration", "version", document.Version)
}

// removeSpace ends the subscriptions to a removed space and rejects the queued publications to it.
func (g *Gateway) removeSpace(now time.Time, name string, state *spaceState, effects *statemachine.Effects) {
	delete(g.spaces, name)
	if state.space.Order == config.OrderTopic {
		return
	}
	for id, session := range statemachine.Sorted(g.sessions) {
		ended := false
		for interest := range session.subscriptions {
			if interest.Space == name {
				delete(session.subscriptions, interest)
				ended = true
			}
		}
		if ended {
			g.emit(id, Event{Event: "ended", Space: name, Code: CodeSpaceRemoved}, effects)
		}
	}
	for trackerName := range statemachine.Sorted(g.trackers) {
		if strings.HasPrefix(trackerName, state.name+"/") {
			delete(g.trackers, trackerName)
		}
	}
	for _, sender := range statemachine.Sorted(g.sendersOf(name)) {
		for _, waiting := range sender.queue {
			g.answerPublication(now, waiting, rejectedReply(404, CodeNoSuchSpace, "the space was removed", 0), effects)
		}
		sender.queue = nil
	}
	for key := range g.senders {
		if key.space == name {
			delete(g.senders, key)
		}
	}
	g.overlay.RemoveSpace(now, state.name, effects)
}
