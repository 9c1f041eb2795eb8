package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

// A client that lost contact with the primary must find it again, although the primary delays
// its responses while it has nothing newer. It does so because the requests of a search are
// urgent.
func TestViewClientFindsPrimaryThatHasNothingNewer(t *testing.T) {
	now := time.Unix(1000, 0)
	client := NewViewClient(Member{Name: "gateway-1"}, 0, []string{"controller"}, func() Load { return Load{} })
	client.Start(now)
	respond := func(request ViewRequest) {
		client.HandleUpdate(now, ViewUpdate{Nonce: request.Nonce, Epoch: 1, Primary: "controller", Index: 1, Changed: true})
	}
	// The primary delays the response to a request that is not urgent by LongPollTimeout. For
	// three seconds it does not respond at all.
	type pendingPoll struct {
		request ViewRequest
		at      time.Time
	}
	var waiting []pendingPoll
	for step := range 1000 {
		now = now.Add(10 * time.Millisecond)
		silent := step > 100 && step < 400
		if !client.NextTick().After(now) {
			var effects statemachine.Effects
			client.Tick(now, &effects)
			for _, send := range effects.Sends {
				request := send.Message.(ViewRequest)
				if silent {
					continue
				}
				if request.Urgent || request.Index == 0 {
					respond(request)
				} else {
					waiting = append(waiting, pendingPoll{request: request, at: now.Add(LongPollTimeout)})
				}
			}
		}
		for len(waiting) > 0 && !waiting[0].at.After(now) {
			if !silent {
				respond(waiting[0].request)
			}
			waiting = waiting[1:]
		}
	}
	assert.Assert(t, now.Sub(client.ConfirmedAt) < 2*LongPollTimeout, "confirmed %s ago", now.Sub(client.ConfirmedAt))
}

// runWithSlowResponses runs a client for six seconds. After the first half second each response
// takes the given time. It returns the longest time for which the client was unconfirmed since
// then, and how many requests the client sent.
func runWithSlowResponses(delay time.Duration) (longest time.Duration, requests int) {
	now := time.Unix(1000, 0)
	client := NewViewClient(Member{Name: "gateway-1"}, 0, []string{"controller"}, func() Load { return Load{} })
	client.Start(now)
	type response struct {
		request ViewRequest
		at      time.Time
	}
	var waiting []response
	for step := range 600 {
		now = now.Add(10 * time.Millisecond)
		if !client.NextTick().After(now) {
			var effects statemachine.Effects
			client.Tick(now, &effects)
			requests += len(effects.Sends)
			for _, send := range effects.Sends {
				took := 5 * time.Millisecond
				if step > 50 {
					took = delay
				}
				waiting = append(waiting, response{request: send.Message.(ViewRequest), at: now.Add(took)})
			}
		}
		for len(waiting) > 0 && !waiting[0].at.After(now) {
			client.HandleUpdate(now, ViewUpdate{
				Nonce: waiting[0].request.Nonce, Epoch: 1, Primary: "controller", Index: 1, Changed: true,
			})
			waiting = waiting[1:]
		}
		longest = max(longest, now.Sub(client.ConfirmedAt))
		if step < 50 {
			longest = 0
		}
	}
	return longest, requests
}

func TestViewClientCountsResponsesSlowerThanPollInterval(t *testing.T) {
	longest, requests := runWithSlowResponses(1200 * time.Millisecond)
	assert.Assert(t, longest < ConfirmationTimeout, "unconfirmed for %s", longest)
	t.Logf("%d requests, unconfirmed for %s at most", requests, longest)
}

func TestViewClientTakesSlowFirstViewOnGatewaysAndAgentsOnly(t *testing.T) {
	for kind, wanted := range map[string]bool{
		KindGateway:    true,
		KindAgent:      true,
		KindStore:      false,
		KindController: false,
	} {
		now := time.Unix(1000, 0)
		client := NewViewClient(Member{Name: "a", Kind: kind}, 0, []string{"controller"}, func() Load { return Load{} })
		client.Start(now)
		var effects statemachine.Effects
		client.Tick(now, &effects)
		nonce := effects.Sends[0].Message.(ViewRequest).Nonce
		result := client.HandleUpdate(now.Add(1500*time.Millisecond), ViewUpdate{
			Nonce: nonce, Epoch: 1, Index: 1, Changed: true, Primary: "controller",
		})
		assert.Equal(t, result.View, wanted, kind)
		assert.Equal(t, client.ConfirmedAt.Equal(now), wanted, kind)
	}
}

// The responses to one search may arrive together. If the primary's arrives first, the search is
// over, and a redirect that arrives after it must not restart the search: the next request goes
// to the primary alone.
func TestViewClientIgnoresLateRedirect(t *testing.T) {
	now := time.Unix(1000, 0)
	seeds := []string{"controller-1", "controller-2"}
	client := NewViewClient(Member{Name: "gateway-1"}, 0, seeds, func() Load { return Load{} })
	client.Start(now)
	var effects statemachine.Effects
	client.Tick(now, &effects)
	assert.Equal(t, len(effects.Sends), 2)
	nonce := effects.Sends[0].Message.(ViewRequest).Nonce
	now = now.Add(time.Millisecond)
	client.HandleUpdate(now, ViewUpdate{Nonce: nonce, Epoch: 1, Primary: "controller-1", Index: 1, Changed: true})
	client.HandleRedirect(now, Redirect{Nonce: nonce, Epoch: 1, Primary: "controller-1"}, &effects)
	effects = statemachine.Effects{}
	client.Tick(now, &effects)
	assert.Equal(t, len(effects.Sends), 1)
	assert.Assert(t, !effects.Sends[0].Message.(ViewRequest).Urgent)
}
