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
	follower := NewViewClient(Member{Name: "gateway-1"}, 0, []string{"controller"}, func() Load { return Load{} })
	follower.Start(now)
	answer := func(ask ViewRequest) {
		follower.HandleUpdate(now, ViewUpdate{Nonce: ask.Nonce, Epoch: 1, Primary: "controller", Index: 1, Changed: true})
	}
	// The primary answers a question without news after its hold, unless it is
	// urgent; for three seconds it answers nothing.
	type held struct {
		ask ViewRequest
		at  time.Time
	}
	var waiting []held
	for step := range 1000 {
		now = now.Add(10 * time.Millisecond)
		silent := step > 100 && step < 400
		if !follower.NextTick().After(now) {
			var effects statemachine.Effects
			follower.Tick(now, &effects)
			for _, send := range effects.Sends {
				ask := send.Message.(ViewRequest)
				if silent {
					continue
				}
				if ask.Urgent || ask.Index == 0 {
					answer(ask)
				} else {
					waiting = append(waiting, held{ask: ask, at: now.Add(LongPollTimeout)})
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
	assert.Assert(t, now.Sub(follower.ConfirmedAt) < 2*LongPollTimeout, "confirmed %s ago", now.Sub(follower.ConfirmedAt))
}

// lateAnswers runs a follower for six seconds of which each answer takes long, and
// tells for how long it went unconfirmed at the most after its first news, and how
// many questions it asked.
func lateAnswers(way time.Duration) (longest time.Duration, asks int) {
	now := time.Unix(1000, 0)
	follower := NewViewClient(Member{Name: "gateway-1"}, 0, []string{"controller"}, func() Load { return Load{} })
	follower.Start(now)
	type answer struct {
		ask ViewRequest
		at  time.Time
	}
	var waiting []answer
	for step := range 600 {
		now = now.Add(10 * time.Millisecond)
		if !follower.NextTick().After(now) {
			var effects statemachine.Effects
			follower.Tick(now, &effects)
			asks += len(effects.Sends)
			for _, send := range effects.Sends {
				took := 5 * time.Millisecond
				if step > 50 {
					took = way
				}
				waiting = append(waiting, answer{ask: send.Message.(ViewRequest), at: now.Add(took)})
			}
		}
		for len(waiting) > 0 && !waiting[0].at.After(now) {
			follower.HandleUpdate(now, ViewUpdate{Nonce: waiting[0].ask.Nonce, Epoch: 1, Primary: "controller", Index: 1, Changed: true})
			waiting = waiting[1:]
		}
		longest = max(longest, now.Sub(follower.ConfirmedAt))
		if step < 50 {
			longest = 0
		}
	}
	return longest, asks
}

func TestAnswersThatTakeLongerThanThePauseBetweenQuestionsCount(t *testing.T) {
	longest, asks := lateAnswers(1200 * time.Millisecond)
	assert.Assert(t, longest < ConfirmationTimeout, "unconfirmed for %s", longest)
	t.Logf("%d questions, unconfirmed for %s at the most", asks, longest)
}

func TestAFirstViewThatTakesLongIsTakenByWhoeverCountsFromItsQuestion(t *testing.T) {
	for kind, wanted := range map[string]bool{KindGateway: true, KindAgent: true, KindStore: false, KindController: false} {
		now := time.Unix(1000, 0)
		follower := NewViewClient(Member{Name: "a", Kind: kind}, 0, []string{"controller"}, func() Load { return Load{} })
		follower.Start(now)
		var effects statemachine.Effects
		follower.Tick(now, &effects)
		nonce := effects.Sends[0].Message.(ViewRequest).Nonce
		taken := follower.HandleUpdate(now.Add(1500*time.Millisecond), ViewUpdate{Nonce: nonce, Epoch: 1, Index: 1, Changed: true, Primary: "controller"})
		assert.Equal(t, taken.View, wanted, kind)
		assert.Equal(t, follower.ConfirmedAt.Equal(now), wanted, kind)
	}
}

// The answers to one search may come together, the primary's first: then the search is
// over, and the next question goes to the primary alone.
func TestALateRedirectionBeginsNoNewSearch(t *testing.T) {
	now := time.Unix(1000, 0)
	follower := NewViewClient(Member{Name: "gateway-1"}, 0, []string{"controller-1", "controller-2"}, func() Load { return Load{} })
	follower.Start(now)
	var effects statemachine.Effects
	follower.Tick(now, &effects)
	assert.Equal(t, len(effects.Sends), 2)
	nonce := effects.Sends[0].Message.(ViewRequest).Nonce
	now = now.Add(time.Millisecond)
	follower.HandleUpdate(now, ViewUpdate{Nonce: nonce, Epoch: 1, Primary: "controller-1", Index: 1, Changed: true})
	follower.HandleRedirect(now, Redirect{Nonce: nonce, Epoch: 1, Primary: "controller-1"}, &effects)
	effects = statemachine.Effects{}
	follower.Tick(now, &effects)
	assert.Equal(t, len(effects.Sends), 1)
	assert.Assert(t, !effects.Sends[0].Message.(ViewRequest).Urgent)
}
