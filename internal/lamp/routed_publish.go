// Publishing to routed topics. The strand's first gives every message its place
// in the topic's order and remembers its sender's seqs; once it is accepted one
// copy goes to each lantern with subscribers. Messages of different topics don't
// wait for each other, and those of one topic go to the first in the order in
// which they came. A passing message's data never goes to a keeper: only its
// place in the order does.
package lamp

import (
	"time"

	"dahlialock/internal/chart"
	"dahlialock/internal/helm"
	"dahlialock/internal/soundings"
	"dahlialock/internal/strand"
)

const (
	routedRetry    = 200 * time.Millisecond
	routedRemember = 30 * time.Second
)

type routedKey struct {
	topic  string
	sender string
	seq    uint64
}

type routedPublication struct {
	visit  Publish
	id     uint64
	space  string
	strand string
	bare   bool
	sentAt time.Time
	limit  time.Time
	sends  int
	// open are the numbers of the sends without an answer. An answer settles the
	// send that it names, so that one which comes twice settles no other.
	open map[uint64]bool
}

func (lantern *Lantern) publishRouted(now time.Time, visit Publish, looked bool, effects *helm.Effects) {
	space := lantern.routeOf(visit.Space, visit.Topic)
	judged := &Judged{
		Kind: "publish", Origin: visit.Origin, Sender: visit.Sender, Space: space, Topic: visit.Topic,
		Seq: visit.Seq, Data: visit.Data, Looked: looked, Routed: true,
	}
	item := &routedPublication{visit: visit, space: space, strand: chart.SharedStrand(visit.Topic), open: map[uint64]bool{}}
	answer := func(returned Answer) { lantern.answerRouted(now, item, returned, effects) }
	retry := func(now time.Time, effects *helm.Effects) { lantern.publishRouted(now, visit, true, effects) }
	if !lantern.judge(now, judged, visit.VisitName, retry, answer) {
		return
	}
	key := routedKey{topic: visit.Topic, sender: visit.Sender, seq: visit.Seq}
	if _, known := lantern.routed.accepted[key]; known {
		answer(accepted(nil))
		return
	}
	state := lantern.spaces[space]
	item.bare = state.space.Promise != chart.Kept
	item.limit = now.Add(min(patience, state.space.AnswerWithin/2))
	lantern.nextVisit++
	item.id = lantern.nextVisit
	lantern.routed.appends[item.id] = item
	lantern.fairway.Reach(now, routedPlane, visit.Topic, func(time.Time, *helm.Effects, bool) {}, effects)
	lantern.sendRouted(now, item, effects)
	lantern.timers.ArmSooner("routed", item.limit)
}

func (lantern *Lantern) answerRouted(now time.Time, item *routedPublication, returned Answer, effects *helm.Effects) {
	lantern.countOutcome(returned)
	delete(lantern.routed.appends, item.id)
	for send := range item.open {
		delete(lantern.routed.sends, send)
	}
	lantern.ring.Record(now, item.visit.VisitName, soundings.MessageName(item.space, item.visit.Sender, item.visit.Seq),
		item.visit.Origin, "answered", "outcome", returned.Outcome, "code", returned.Code, "topic", item.visit.Topic, "tries", item.sends)
	effects.Return(item.visit.Visit, returned)
}

func (lantern *Lantern) sendRouted(now time.Time, item *routedPublication, effects *helm.Effects) {
	item.sentAt = now
	lantern.timers.ArmSooner("routed", now.Add(routedRetry))
	address, _, found := lantern.firstOf(item.strand)
	if !found {
		lantern.follower.Hurry(now)
		return
	}
	data := item.visit.Data
	if item.bare {
		data = nil
	}
	item.sends++
	lantern.nextVisit++
	item.open[lantern.nextVisit] = true
	lantern.routed.sends[lantern.nextVisit] = item
	effects.Send(address, strand.Append{
		Strand: item.strand, Visit: lantern.nextVisit, Topic: item.visit.Topic, Sender: item.visit.Sender, Seq: item.visit.Seq, Data: data, Bare: item.bare,
	})
}

func (lantern *Lantern) onRoutedReturn(now time.Time, item *routedPublication, returned strand.AppendReturn, effects *helm.Effects) {
	delete(item.open, returned.Visit)
	delete(lantern.routed.sends, returned.Visit)
	switch returned.Outcome {
	case strand.Accepted:
		lantern.routed.accepted[routedKey{topic: item.visit.Topic, sender: item.visit.Sender, seq: item.visit.Seq}] = now
		record := returned.Record
		record.Topic, record.Sender, record.Seq, record.Data = item.visit.Topic, item.visit.Sender, item.visit.Seq, item.visit.Data
		if !returned.Again || item.bare || item.sends > 1 {
			// What was kept before and is not passed on now is found by the
			// strand's heads; a passing message is not, and who had it, or a
			// later one, lets it fall.
			lantern.fanOutRouted(now, item, record, effects)
		}
		lantern.answerRouted(now, item, accepted(nil), effects)
	case strand.Refused:
		switch {
		case returned.Code == "not-first":
			lantern.follower.Hurry(now)
		case returned.Code == "old-seq" || returned.Code == "seq-reused":
			lantern.answerRouted(now, item, refused(409, returned.Code, "this seq is not above the sender's newest of this topic", 0), effects)
		case len(item.open) > 0:
			// An earlier try has no answer; it may yet be kept.
			lantern.answerRouted(now, item, unsettled(returned.Code, "send the same seq again", comeBackSoon), effects)
		default:
			lantern.answerRouted(now, item, refused(503, returned.Code, "the strand can't keep all its copies at this moment", max(returned.RetryAfter, comeBackSoon)), effects)
		}
	default:
		lantern.answerRouted(now, item, unsettled(returned.Code, "send the same seq again", comeBackSoon), effects)
	}
}

// fanOutRouted hands a message to the subscribers here and sends one copy to
// each lantern that has any.
func (lantern *Lantern) fanOutRouted(now time.Time, item *routedPublication, record strand.Record, effects *helm.Effects) {
	lantern.onRouted(now, record, effects)
	copied := RoutedCopy{
		Topic: record.Topic, Sender: record.Sender, Seq: record.Seq, Offset: record.Offset, Behind: record.Offset - record.Prior, Data: record.Data,
	}
	lantern.fairway.Reach(now, routedPlane, item.visit.Topic, func(now time.Time, effects *helm.Effects, settled bool) {
		destinations := lantern.fairway.Listeners(routedPlane, item.visit.Topic)
		for _, name := range destinations {
			if member, found := lantern.follower.Members[name]; found {
				lantern.Counts.CopiesOut++
				effects.Send(member.Address, copied)
			}
		}
		lantern.ring.Record(now, item.visit.VisitName, soundings.MessageName(item.space, item.visit.Sender, item.visit.Seq),
			item.visit.Origin, "fanned-out", "destinations", destinations, "why", "subscriber list of the peer at the topic's cell",
			"settled", settled, "strand", item.strand, "offset", record.Offset)
	}, effects)
}

// tendPublications sends again what stayed without an answer, and gives up at
// once on what can't be had in time.
func (lantern *Lantern) tendPublications(now time.Time, effects *helm.Effects) {
	var next time.Time
	for _, item := range helm.Sorted(lantern.routed.appends) {
		if !item.limit.After(now) {
			if len(item.open) > 0 {
				lantern.answerRouted(now, item, unsettled("no-answer", "the keeper did not answer; send the same seq again", comeBackSoon), effects)
			} else {
				lantern.answerRouted(now, item, refused(503, "no-answer", "the message was not kept", comeBackSoon), effects)
			}
			continue
		}
		if !item.sentAt.Add(routedRetry).After(now) {
			lantern.sendRouted(now, item, effects)
		}
		next = helm.Earliest(next, item.sentAt.Add(routedRetry), item.limit)
	}
	if !next.IsZero() {
		lantern.timers.ArmSooner("routed", next)
	}
}

// resendRouted sends what waits for a keeper to the strand's new first.
func (lantern *Lantern) resendRouted(now time.Time, effects *helm.Effects) {
	for _, item := range helm.Sorted(lantern.routed.appends) {
		if now.Sub(item.sentAt) > 20*time.Millisecond {
			lantern.sendRouted(now, item, effects)
		}
	}
	for id, asked := range helm.Sorted(lantern.routed.fetches) {
		lantern.sendFetch(now, id, asked, effects)
	}
}

// forgetRouted lets old memories go.
func (lantern *Lantern) forgetRouted(now time.Time) {
	for key, at := range lantern.routed.accepted {
		if now.Sub(at) > routedRemember {
			delete(lantern.routed.accepted, key)
		}
	}
}
