// An answer of a keeper that comes twice settles the send that it names, and no
// other: what is still open is unsettled at its limit, and never refused.
package lamp

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/beacon"
	"dahlialock/internal/chart"
	"dahlialock/internal/helm"
	"dahlialock/internal/strand"
)

func TestAnAnswerThatComesTwiceSettlesOneSend(t *testing.T) {
	now := time.Unix(1000, 0)
	lantern := New(Props{Self: beacon.Member{Name: "lantern-1", Kind: beacon.KindLantern, Address: "a:1"}, Tender: "a:2"})
	lantern.follower.Members["keeper-1"] = beacon.Member{Name: "keeper-1", Kind: beacon.KindKeeper, Address: "k:1", Alive: true}
	lantern.follower.Places["boards~1/0"] = beacon.Placement{Strand: "boards~1/0", Epoch: 1, First: "keeper-1"}
	lantern.spaces["boards"] = &spaceState{space: chart.Space{Name: "boards", Promise: chart.Kept}, name: "boards~1"}
	key := senderKey{space: "boards", sender: "u"}
	from := &sender{recent: map[uint64]sentMemory{}}
	item := &publication{
		visit: Publish{Visit: 9, Sender: "u", Origin: "u", Space: "boards", Topic: "t", Seq: 1}, key: key, id: 77, strand: "boards~1/0",
		limit: now.Add(500 * time.Millisecond),
	}
	from.queue = []*publication{item}
	lantern.senders[key], lantern.appends[item.id] = from, item
	var effects helm.Effects
	lantern.sendAppend(now, from, item, &effects)
	now = now.Add(appendRetry)
	lantern.sendAppend(now, from, item, &effects)
	first := effects.Sends[0].Message.(strand.Append).Visit
	for range 2 {
		lantern.onAppendReturn(now, strand.AppendReturn{Strand: item.strand, Visit: first, Outcome: strand.Refused, Code: "not-first"}, &effects)
	}
	effects = helm.Effects{}
	lantern.limits(item.limit, &effects)
	assert.Equal(t, len(effects.Returns), 1)
	assert.Equal(t, effects.Returns[0].Value.(Answer).Outcome, OutcomeUnsettled)
	assert.Equal(t, len(lantern.sends), 0)
}
