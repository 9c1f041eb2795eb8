// A follower that lost sight of the primary finds it again, though the primary
// holds questions back that bring no news.
package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

func TestASearchIsAnsweredThoughThereIsNoNews(t *testing.T) {
	now := time.Unix(1000, 0)
	follower := NewFollower(Member{Name: "gateway-1"}, 0, []string{"controller"}, func() Load { return Load{} })
	follower.Start(now)
	answer := func(ask Ask) {
		follower.Take(now, News{Nonce: ask.Nonce, Epoch: 1, Primary: "controller", Index: 1, Changed: true})
	}
	// The primary answers a question without news after its hold, unless it is
	// urgent; for three seconds it answers nothing.
	type held struct {
		ask Ask
		at  time.Time
	}
	var waiting []held
	for step := range 1000 {
		now = now.Add(10 * time.Millisecond)
		silent := step > 100 && step < 400
		if !follower.NextDue().After(now) {
			var effects statemachine.Effects
			follower.Due(now, &effects)
			for _, send := range effects.Sends {
				ask := send.Message.(Ask)
				if silent {
					continue
				}
				if ask.Urgent || ask.Index == 0 {
					answer(ask)
				} else {
					waiting = append(waiting, held{ask: ask, at: now.Add(HoldAsk)})
				}
			}
		}
		for len(waiting) > 0 && !waiting[0].at.After(now) {
			if !silent {
				answer(waiting[0].ask)
			}
			waiting = waiting[1:]
		}
	}
	assert.Assert(t, now.Sub(follower.Confirmed) < 2*HoldAsk, "confirmed %s ago", now.Sub(follower.Confirmed))
}

// The answers to one search may come together, the primary's first: then the search is
// over, and the next question goes to the primary alone.
func TestALateRedirectionBeginsNoNewSearch(t *testing.T) {
	now := time.Unix(1000, 0)
	follower := NewFollower(Member{Name: "gateway-1"}, 0, []string{"controller-1", "controller-2"}, func() Load { return Load{} })
	follower.Start(now)
	var effects statemachine.Effects
	follower.Due(now, &effects)
	assert.Equal(t, len(effects.Sends), 2)
	nonce := effects.Sends[0].Message.(Ask).Nonce
	now = now.Add(time.Millisecond)
	follower.Take(now, News{Nonce: nonce, Epoch: 1, Primary: "controller-1", Index: 1, Changed: true})
	follower.Redirected(now, Redirect{Nonce: nonce, Epoch: 1, Primary: "controller-1"}, &effects)
	effects = statemachine.Effects{}
	follower.Due(now, &effects)
	assert.Equal(t, len(effects.Sends), 1)
	assert.Assert(t, !effects.Sends[0].Message.(Ask).Urgent)
}
