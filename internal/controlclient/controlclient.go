// Package controlclient forwards operators' requests to the primary controller.
//
// Package controlclient forwards operators' requests to the primary controller.
//
// Package controlclient forwards operators' requests to the primary controller.
//
// A ControlClient carries operators' requests from whichever daemon they reached to
// the primary controller, so that every daemon gives the same answer. It follows
// redirections, tries another controller when one stays silent, and gives up early:
// a request that no controller can serve is refused at once with when to come back,
// and one whose fate nobody can tell is said to be unsettled.
package controlclient

import (
	"encoding/json"
	"fmt"
	"time"

	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// Spans of carrying.
const (
	tryLimit     = 700 * time.Millisecond
	requestLimit = 2200 * time.Millisecond
	comeBack     = time.Second
)

type carried struct {
	request   membership.ControlRequest
	local     uint64
	sentTo    string
	limit     time.Time
	tryUntil  time.Time
	redirects int
	uncertain bool
}

// ControlClient is the state machine.
type ControlClient struct {
	requests statemachine.Requests
	carrying map[uint64]*carried
	upstream func() string
	other    func() string
	timers   *statemachine.Timers
}

// New makes a controlClient of one life; upstream names the controller to ask, other the next to try.
func New(life statemachine.Life, upstream, other func() string) *ControlClient {
	return &ControlClient{requests: statemachine.NewRequests(life), carrying: map[uint64]*carried{}, upstream: upstream, other: other, timers: statemachine.NewTimers()}
}

// Error makes the body of an answer that is not a success.
func Error(code, text string, more any) []byte {
	body, err := json.Marshal(map[string]any{"code": code, "text": text, "faults": more})
	if err != nil {
		panic(err)
	}
	return body
}

// NextDue is when the controlClient wants to run again.
func (cc *ControlClient) NextDue() time.Time { return cc.timers.Next() }

// Carry begins to carry a request; its answer comes as a Return for local.
func (cc *ControlClient) Carry(now time.Time, local uint64, method, path string, body []byte, effects *statemachine.Effects) {
	request := cc.requests.Next()
	item := &carried{
		request: membership.ControlRequest{Request: request, Method: method, Path: path, Body: body},
		local:   local, limit: now.Add(requestLimit),
	}
	cc.carrying[request.Number] = item
	cc.send(now, item, cc.upstream(), effects)
}

func (cc *ControlClient) send(now time.Time, item *carried, to string, effects *statemachine.Effects) {
	if to == "" {
		cc.finish(item, membership.ControlResponse{
			Status: 503, Body: Error("no-primary", "no controller is known yet", nil), RetryAfter: comeBack,
		}, effects)
		return
	}
	item.sentTo = to
	item.tryUntil = now.Add(tryLimit)
	cc.timers.ArmSooner("tries", item.tryUntil)
	effects.Send(to, item.request)
}

func (cc *ControlClient) finish(item *carried, returned membership.ControlResponse, effects *statemachine.Effects) {
	delete(cc.carrying, item.request.Request.Number)
	effects.Return(item.local, returned)
}

// Take takes an answer to a request of this life, or a hint where to ask.
func (cc *ControlClient) Take(now time.Time, from string, returned membership.ControlResponse, effects *statemachine.Effects) {
	number, own := cc.requests.Own(returned.Request)
	item, found := cc.carrying[number]
	if !own || !found || from != item.sentTo {
		return
	}
	if returned.Redirect != "" && item.redirects < 6 && returned.Redirect != from {
		item.redirects++
		cc.send(now, item, returned.Redirect, effects)
		return
	}
	if item.uncertain && returned.Status == 503 {
		returned.Body = Error("unsettled", "an earlier try may have been taken; send the same again", nil)
	}
	cc.finish(item, returned, effects)
}

// Due tries elsewhere, or gives up.
func (cc *ControlClient) Due(now time.Time, effects *statemachine.Effects) {
	if len(cc.timers.Expired(now)) == 0 {
		return
	}
	var next time.Time
	for _, item := range statemachine.Sorted(cc.carrying) {
		if item.tryUntil.After(now) {
			if next.IsZero() || item.tryUntil.Before(next) {
				next = item.tryUntil
			}
			continue
		}
		item.uncertain = item.uncertain || item.request.Method != "GET"
		if !item.limit.After(now.Add(tryLimit)) {
			code, text := "no-answer", "no controller answered"
			if item.uncertain {
				code, text = "unsettled", fmt.Sprintf("no controller answered; send the same %s again", item.request.Method)
			}
			cc.finish(item, membership.ControlResponse{Status: 503, Body: Error(code, text, nil), RetryAfter: comeBack}, effects)
			continue
		}
		cc.send(now, item, cc.other(), effects)
	}
	if !next.IsZero() {
		cc.timers.ArmSooner("tries", next)
	}
}
