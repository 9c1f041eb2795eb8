// A Cutter carries operators' requests from whichever daemon they reached to
// the primary pilot, so that every daemon gives the same answer. It follows
// redirections, tries another pilot when one stays silent, and gives up early:
// a request that no pilot can serve is refused at once with when to come back,
// and one whose fate nobody can tell is said to be unsettled.
package cutter

import (
	"encoding/json"
	"fmt"
	"time"

	"dahlialock/internal/beacon"
	"dahlialock/internal/helm"
)

// Spans of carrying.
const (
	tryLimit   = 700 * time.Millisecond
	visitLimit = 2200 * time.Millisecond
	comeBack   = time.Second
)

type carried struct {
	visit     beacon.ControlVisit
	local     uint64
	sentTo    string
	limit     time.Time
	tryUntil  time.Time
	redirects int
	uncertain bool
}

// Cutter is the state machine.
type Cutter struct {
	next     uint64
	carrying map[uint64]*carried
	upstream func() string
	other    func() string
	timers   *helm.Timers
}

// New makes a cutter; upstream names the pilot to ask, other the next to try.
func New(upstream, other func() string) *Cutter {
	return &Cutter{carrying: map[uint64]*carried{}, upstream: upstream, other: other, timers: helm.NewTimers()}
}

// Error makes the body of an answer that is not a success.
func Error(code, text string, more any) []byte {
	body, fault := json.Marshal(map[string]any{"code": code, "text": text, "faults": more})
	if fault != nil {
		panic(fault)
	}
	return body
}

// NextDue is when the cutter wants to run again.
func (cutter *Cutter) NextDue() time.Time { return cutter.timers.Next() }

// Carry begins to carry a visit; its answer comes as a Return for local.
func (cutter *Cutter) Carry(now time.Time, local uint64, method, path string, body []byte, effects *helm.Effects) {
	cutter.next++
	item := &carried{
		visit: beacon.ControlVisit{Visit: cutter.next, Method: method, Path: path, Body: body},
		local: local, limit: now.Add(visitLimit),
	}
	cutter.carrying[cutter.next] = item
	cutter.send(now, item, cutter.upstream(), effects)
}

func (cutter *Cutter) send(now time.Time, item *carried, to string, effects *helm.Effects) {
	if to == "" {
		cutter.finish(item, beacon.ControlReturn{
			Status: 503, Body: Error("no-primary", "no pilot is known yet", nil), RetryAfter: comeBack,
		}, effects)
		return
	}
	item.sentTo = to
	item.tryUntil = now.Add(tryLimit)
	cutter.timers.ArmSooner("tries", item.tryUntil)
	effects.Send(to, item.visit)
}

func (cutter *Cutter) finish(item *carried, returned beacon.ControlReturn, effects *helm.Effects) {
	delete(cutter.carrying, item.visit.Visit)
	effects.Return(item.local, returned)
}

// Take takes an answer, or a hint where to ask.
func (cutter *Cutter) Take(now time.Time, from string, returned beacon.ControlReturn, effects *helm.Effects) {
	item, found := cutter.carrying[returned.Visit]
	if !found || from != item.sentTo {
		return
	}
	if returned.Redirect != "" && item.redirects < 6 && returned.Redirect != from {
		item.redirects++
		cutter.send(now, item, returned.Redirect, effects)
		return
	}
	if item.uncertain && returned.Status == 503 {
		returned.Body = Error("unsettled", "an earlier try may have been taken; send the same again", nil)
	}
	cutter.finish(item, returned, effects)
}

// Due tries elsewhere, or gives up.
func (cutter *Cutter) Due(now time.Time, effects *helm.Effects) {
	if len(cutter.timers.Expired(now)) == 0 {
		return
	}
	var next time.Time
	for _, item := range helm.Sorted(cutter.carrying) {
		if item.tryUntil.After(now) {
			if next.IsZero() || item.tryUntil.Before(next) {
				next = item.tryUntil
			}
			continue
		}
		item.uncertain = item.uncertain || item.visit.Method != "GET"
		if !item.limit.After(now.Add(tryLimit)) {
			code, text := "no-answer", "no pilot answered"
			if item.uncertain {
				code, text = "unsettled", fmt.Sprintf("no pilot answered; send the same %s again", item.visit.Method)
			}
			cutter.finish(item, beacon.ControlReturn{Status: 503, Body: Error(code, text, nil), RetryAfter: comeBack}, effects)
			continue
		}
		cutter.send(now, item, cutter.other(), effects)
	}
	if !next.IsZero() {
		cutter.timers.ArmSooner("tries", next)
	}
}
