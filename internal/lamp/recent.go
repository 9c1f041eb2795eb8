// Recent passing messages. A space that passes its messages on keeps none, but
// while origins move and the overlay's peers come and go a message must not fall
// between two lanterns. Each lantern remembers for a moment what it passed on
// and what came: an origin that resumes gets from that what it has not had, and
// a lantern that is newly found as a destination is offered what was passed on
// just before.
package lamp

import (
	"cmp"
	"slices"
	"time"

	"dahlialock/internal/helm"
)

const (
	recentFor  = 3 * time.Second
	recentMost = 8192
	resumedFor = 5 * time.Second
)

type recentPass struct {
	at      time.Time
	own     bool
	message Pass
}

func (state *spaceState) remember(now time.Time, message Pass, own bool) {
	state.recent = append(state.recent, recentPass{at: now, own: own, message: message})
	old := 0
	for old < len(state.recent) && (now.Sub(state.recent[old].at) > recentFor || len(state.recent)-old > recentMost) {
		old++
	}
	if old > 0 {
		state.recent = slices.Delete(state.recent, 0, old)
	}
}

// offerRecent sends newly found destinations what was passed on just before.
func (lantern *Lantern) offerRecent(now time.Time, effects *helm.Effects) {
	for _, found := range lantern.fairway.TakeFound() {
		member, known := lantern.follower.Members[found.Daemon]
		space, _ := spaceOf(found.Space + "/")
		state, present := lantern.spaces[space]
		if !known || !present || state.name != found.Space || helm.Mutated("no-recent") {
			continue
		}
		for _, each := range state.recent {
			if each.own && now.Sub(each.at) <= recentFor && areaOf(state.space, each.message.Topic) == found.Area {
				late := each.message
				late.Late = true
				lantern.Counts.Offered++
				effects.Send(member.Address, late)
			}
		}
	}
}

// replay puts what passed by here just before an origin resumed in front of what
// came while it did, each sender's messages in order.
func (lantern *Lantern) replay(now time.Time, channel *channel, interests []Interest) {
	var replayed []Pass
	for _, interest := range interests {
		state, present := lantern.spaces[interest.Space]
		if !present || helm.Mutated("no-recent") {
			continue
		}
		for _, each := range state.recent {
			if now.Sub(each.at) <= recentFor && interest.matches(each.message.Topic) {
				replayed = append(replayed, each.message)
			}
		}
	}
	channel.passBuffer = append(replayed, channel.passBuffer...)
	slices.SortStableFunc(channel.passBuffer, func(left, right Pass) int {
		return cmp.Or(cmp.Compare(left.Sender, right.Sender), cmp.Compare(left.Seq, right.Seq))
	})
}
