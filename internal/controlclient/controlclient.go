// Package controlclient forwards operators' requests to the primary controller.
//
// A ControlClient carries operators' requests from whichever daemon they reached to
// the primary controller, so that every daemon gives the same answer. It follows
// redirections and, where an answer is long in coming, asks other controllers and
// relays beside: daemons that may reach a controller that this one has lost. The
// first answer counts; whoever is asked twice knows the order again. It gives up
// before the operator does: a request that nobody can serve is refused with when to
// come back, and one whose fate nobody can tell is said to be unsettled.
package controlclient

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// Spans of carrying, as shares of the time within which a proper order is to be
// acknowledged.
const (
	// DefaultAcknowledge is that time where settings say nothing.
	DefaultAcknowledge = 5 * time.Second
	// widenShare of it passes before others are asked beside those that are silent.
	widenShare = 20
	// limitShares in a hundred of it pass before the operator is told to come back:
	// less than the second of silence that operators bear.
	limitShares = 18
	// bytesPerMillisecond is how much larger an order may be for each millisecond
	// that more is waited: it is read, synced and copied first.
	bytesPerMillisecond = 100
	comeBack            = time.Second
	redirectsMost       = 6
)

// Codes of refusals by those that reached no controller that may act.
const (
	codeNoPrimary = "no-primary"
	codeNoAnswer  = "no-answer"
)

type carried struct {
	request   membership.ControlRequest
	local     uint64
	limit     time.Time
	widenAt   time.Time
	asked     map[string]bool
	waiting   int
	redirects int
	uncertain bool
	refusal   *membership.ControlResponse
}

// Settings are a control client's own settings.
type Settings struct {
	Incarnation statemachine.Incarnation
	// Acknowledge is within what time a proper order is to be acknowledged.
	Acknowledge time.Duration
	// Upstream names the controller to ask, Other the next to try.
	Upstream, Next func() string
	// Relays names daemons that carry requests, too; nil where there are none.
	Relays func() []string
}

// ControlClient is the state machine.
type ControlClient struct {
	settings Settings
	requests statemachine.RequestSequence
	carrying map[uint64]*carried
	timers   *statemachine.Timers[string]
}

// New makes a control client of one life.
func New(settings Settings) *ControlClient {
	if settings.Acknowledge <= 0 {
		settings.Acknowledge = DefaultAcknowledge
	}
	return &ControlClient{
		settings: settings, requests: statemachine.NewRequestSequence(settings.Incarnation), carrying: map[uint64]*carried{}, timers: statemachine.NewTimers[string](),
	}
}

// ErrorBody makes the body of an answer that is not a success.
func ErrorBody(code, text string, more any) []byte {
	body, err := json.Marshal(map[string]any{"code": code, "text": text, "faults": more})
	if err != nil {
		panic(err)
	}
	return body
}

// NextTick is when the control client wants to run again.
func (cc *ControlClient) NextTick() time.Time { return cc.timers.Next() }

// Forward begins to carry an operator's request; its answer comes as a Return for local.
func (cc *ControlClient) Forward(now time.Time, local uint64, method, path string, body []byte, effects *statemachine.Effects) {
	cc.carry(now, local, membership.ControlRequest{Method: method, Path: path, Body: body}, effects)
}

// Relay carries a request for another daemon; one that was relayed before goes to
// controllers only, so that none goes in a circle.
func (cc *ControlClient) Relay(now time.Time, local uint64, request membership.ControlRequest, effects *statemachine.Effects) {
	cc.carry(now, local, membership.ControlRequest{
		Method: request.Method, Path: request.Path, Body: request.Body, Order: request.Order, Relayed: request.Relayed,
	}, effects)
}

func (cc *ControlClient) carry(now time.Time, local uint64, request membership.ControlRequest, effects *statemachine.Effects) {
	request.Request = cc.requests.Next()
	if !request.Order.IsSet() {
		request.Order = request.Request
	}
	larger := time.Duration(len(request.Body)/bytesPerMillisecond) * time.Millisecond
	item := &carried{
		request: request, local: local, asked: map[string]bool{},
		limit: now.Add(cc.settings.Acknowledge*limitShares/100 + larger), widenAt: now.Add(cc.settings.Acknowledge / widenShare),
	}
	cc.carrying[request.Request.Number] = item
	if !cc.ask(item, cc.settings.Upstream(), effects) && !cc.widen(item, effects) {
		cc.giveUp(item, effects)
		return
	}
	cc.timers.ArmSooner("tries", item.widenAt)
}

// ask sends a request to a controller, once.
func (cc *ControlClient) ask(item *carried, to string, effects *statemachine.Effects) bool {
	if _, already := item.asked[to]; already || to == "" {
		return false
	}
	item.asked[to] = true
	item.waiting++
	effects.Send(to, item.request)
	return true
}

// widen asks one more controller and one more relay; false if there is none.
func (cc *ControlClient) widen(item *carried, effects *statemachine.Effects) bool {
	widened := false
	for range len(item.asked) + 1 {
		if cc.ask(item, cc.settings.Next(), effects) {
			widened = true
			break
		}
	}
	if cc.settings.Relays == nil || item.request.Relayed || statemachine.Mutated("no-relays") {
		return widened
	}
	relays := cc.settings.Relays()
	for position := range relays {
		// Not all go by the same relay.
		relay := relays[(uint64(position)+item.request.Request.Number)%uint64(len(relays))]
		if _, already := item.asked[relay]; !already {
			item.asked[relay] = true
			item.waiting++
			relayed := item.request
			relayed.Relayed = true
			effects.Send(relay, relayed)
			return true
		}
	}
	return widened
}

func (cc *ControlClient) finish(item *carried, returned membership.ControlResponse, effects *statemachine.Effects) {
	delete(cc.carrying, item.request.Request.Number)
	returned.Redirect = ""
	effects.Respond(item.local, returned)
}

// HandleResponse takes an answer to a request of this life, or a hint where to ask.
func (cc *ControlClient) HandleResponse(now time.Time, from string, returned membership.ControlResponse, effects *statemachine.Effects) {
	number, own := cc.requests.NumberOf(returned.Request)
	item, found := cc.carrying[number]
	if !own || !found || !item.asked[from] {
		return
	}
	item.asked[from] = false
	item.waiting--
	if returned.Status != http.StatusServiceUnavailable {
		cc.finish(item, returned, effects)
		return
	}
	if !reachesNobody(returned.Body) {
		item.uncertain = item.uncertain || item.request.Method != http.MethodGet
		cc.refuse(item, returned, effects)
		return
	}
	item.refusal = &returned
	if returned.Redirect != "" && item.redirects < redirectsMost {
		item.redirects++
		cc.ask(item, returned.Redirect, effects)
	}
	if item.waiting == 0 && !cc.widen(item, effects) {
		cc.refuse(item, returned, effects)
	}
}

// reachesNobody tells whether whoever gave a refusal did not reach a controller that
// may act: others might.
func reachesNobody(body []byte) bool {
	var told struct {
		Code string `json:"code"`
	}
	if json.Unmarshal(body, &told) != nil {
		return false
	}
	return told.Code == codeNoPrimary || told.Code == codeNoAnswer
}

// refuse ends a request that was not served. A try that nobody answered for may yet
// be taken.
func (cc *ControlClient) refuse(item *carried, returned membership.ControlResponse, effects *statemachine.Effects) {
	returned.RetryAfter = max(returned.RetryAfter, comeBack)
	if item.uncertain || item.waiting > 0 && item.request.Method != http.MethodGet {
		returned.Body = ErrorBody("unsettled", fmt.Sprintf("nobody can tell yet whether this was taken; send the same %s again", item.request.Method), nil)
	}
	cc.finish(item, returned, effects)
}

// giveUp ends a request that nobody answered in time.
func (cc *ControlClient) giveUp(item *carried, effects *statemachine.Effects) {
	refusal := membership.ControlResponse{Status: http.StatusServiceUnavailable, Body: ErrorBody(codeNoAnswer, "no controller answered", nil)}
	if item.refusal != nil {
		refusal = *item.refusal
	}
	cc.refuse(item, refusal, effects)
}

// Tick asks more, or gives up.
func (cc *ControlClient) Tick(now time.Time, effects *statemachine.Effects) {
	if len(cc.timers.Expired(now)) == 0 {
		return
	}
	for _, item := range statemachine.Sorted(cc.carrying) {
		if !item.limit.After(now) {
			cc.giveUp(item, effects)
			continue
		}
		if !item.widenAt.After(now) {
			cc.widen(item, effects)
			item.widenAt = now.Add(cc.settings.Acknowledge / widenShare)
		}
		cc.timers.ArmSooner("tries", statemachine.Earliest(item.widenAt, item.limit))
	}
}
