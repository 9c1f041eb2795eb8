package controller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// asker asks a lone controller over a link on which an answer takes a while.
type asker struct {
	*lone
	follower *membership.ViewClient
	self     membership.Member
	takes    time.Duration
	coming   []arrival
	views    int
	taken    time.Duration
}

type arrival struct {
	at   time.Time
	news membership.ViewUpdate
}

func newAsker(t *testing.T, takes time.Duration) *asker {
	made := &asker{lone: newLone(t, false), takes: takes}
	made.self = membership.Member{Name: "gateway-1", Kind: membership.KindGateway, Address: "gateway-1", Zone: "zone", Incarnation: 7, Alive: true}
	made.follower = membership.NewViewClient(made.self, 0, []string{"controller"}, func() membership.Load { return membership.Load{} })
	made.follower.Start(made.now)
	return made
}

// hear runs a step of the controller, and notes the views that it answers with.
func (a *asker) hear(run func(effects *statemachine.Effects)) {
	var effects statemachine.Effects
	run(&effects)
	a.unsynced = append(a.unsynced, effects.Writes...)
	for _, send := range effects.Sends {
		switch message := send.Message.(type) {
		case membership.ViewUpdate:
			if message.Changed {
				a.views++
			}
			a.coming = append(a.coming, arrival{at: a.now.Add(a.takes), news: message})
		default:
			if send.To == "controller" {
				a.tell("controller", send.Message)
			}
		}
	}
	a.sync()
}

// runs lets both go on for a while, in steps of a millisecond.
func (a *asker) runs(length time.Duration) {
	began := a.now
	for a.now.Sub(began) < length {
		a.now = a.now.Add(time.Millisecond)
		if due := a.controller.NextTick(); !due.IsZero() && !due.After(a.now) {
			a.hear(func(effects *statemachine.Effects) { a.controller.Tick(a.now, effects) })
		}
		for len(a.coming) > 0 && !a.coming[0].at.After(a.now) {
			a.follower.HandleUpdate(a.now, a.coming[0].news)
			a.coming = a.coming[1:]
		}
		if a.follower.Index > 0 && a.taken == 0 {
			a.taken = a.now.Sub(began)
		}
		if !a.follower.NextTick().After(a.now) {
			var asked statemachine.Effects
			a.follower.Tick(a.now, &asked)
			for _, send := range asked.Sends {
				a.hear(func(effects *statemachine.Effects) {
					a.controller.HandleMessage(a.now, statemachine.Meta{From: a.self.Address}, send.Message, effects)
				})
			}
		}
	}
}

// An answer that takes longer than the asker's patience is of use all the same, and
// is not sent again for each question meanwhile.
// It gives the views that were sent before the first one came, and when that was
// taken.
func slowView(t *testing.T) (views int, taken time.Duration) {
	const way = 580 * time.Millisecond
	asker := newAsker(t, way)
	asker.runs(way - 10*time.Millisecond)
	views = asker.views
	asker.runs(40 * time.Millisecond)
	return views, asker.taken
}

func TestAViewThatIsOnItsWayIsNotSentAgain(t *testing.T) {
	views, taken := slowView(t)
	assert.Assert(t, taken > 0, "no view was taken")
	assert.Equal(t, views, 1)
}

func TestAViewThatWasLostIsSentAgain(t *testing.T) {
	asker := newAsker(t, time.Millisecond)
	asker.takes = time.Hour
	asker.runs(100 * time.Millisecond)
	assert.Equal(t, asker.views, 1)
	asker.coming, asker.takes = nil, time.Millisecond
	asker.runs(1500 * time.Millisecond)
	assert.Assert(t, asker.taken > 0 && asker.taken < viewAgain+tendEvery, "taken after %v", asker.taken)
}

func TestAnAskerThatWasStartedAnewIsSentItsViewAtOnce(t *testing.T) {
	asker := newAsker(t, time.Hour)
	asker.runs(100 * time.Millisecond)
	asker.coming, asker.takes = nil, time.Millisecond
	asker.self.Incarnation++
	asker.follower = membership.NewViewClient(asker.self, 0, []string{"controller"}, func() membership.Load { return membership.Load{} })
	asker.follower.Start(asker.now)
	asker.runs(200 * time.Millisecond)
	assert.Assert(t, asker.taken > 0 && asker.taken < 20*time.Millisecond, "taken after %v", asker.taken)
}
