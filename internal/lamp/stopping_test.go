package lamp_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/beacon"
	"dahlialock/internal/chart"
	"dahlialock/internal/helm"
	"dahlialock/internal/lamp"
	"dahlialock/internal/strand"
)

const document = `{"version":1,"spaces":[{"name":"boards","promise":"kept","order":"topic"}],"routes":[{"prefix":"b.","space":"boards"}]}`

// harbour is one lantern that has its first news and another to send callers to.
type harbour struct {
	now     time.Time
	lantern *lamp.Lantern
	visit   uint64
	toldAt  time.Time
	// heard is what the newest news brought about.
	heard helm.Effects
}

func (harbour *harbour) do(command any) helm.Effects {
	var effects helm.Effects
	harbour.lantern.Command(harbour.now, command, &effects)
	return effects
}

func (harbour *harbour) pass(length time.Duration) helm.Effects {
	var all helm.Effects
	until := harbour.now.Add(length)
	for {
		due := harbour.lantern.NextDue()
		if due.IsZero() || due.After(until) {
			break
		}
		if due.After(harbour.now) {
			harbour.now = due
		}
		var effects helm.Effects
		harbour.lantern.Due(harbour.now, &effects)
		harbour.news(effects)
		all.Append(effects)
	}
	harbour.now = until
	return all
}

// news answers what the lantern asks its tender, and tells it of heartbeats.
func (harbour *harbour) news(effects helm.Effects) {
	for _, send := range effects.Sends {
		ask, matches := send.Message.(beacon.Ask)
		if !matches || harbour.now.Sub(harbour.toldAt) < 300*time.Millisecond {
			continue
		}
		harbour.toldAt = harbour.now
		strandName := chart.SharedStrand("b.1")
		harbour.heard = helm.Effects{}
		harbour.lantern.Message(harbour.now, helm.Meta{From: "10.0.0.1:2", Version: 1}, beacon.News{
			For: "lantern-1", Nonce: ask.Nonce, Epoch: 1, Primary: "10.0.0.9:1", Index: 1, Version: 1, Document: []byte(document), Changed: true,
			Births: map[string]uint64{"boards": 1},
			Members: []beacon.Member{
				{Name: "lantern-1", Kind: beacon.KindLantern, Address: "10.0.0.1:1", Caller: "10.0.0.1:8000", Locality: "east", Incarnation: 1, Alive: true, Joined: 1},
				{Name: "lantern-2", Kind: beacon.KindLantern, Address: "10.0.0.2:1", Caller: "10.0.0.2:8000", Locality: "east", Incarnation: 1, Alive: true, Joined: 1},
				{Name: "keeper-1", Kind: beacon.KindKeeper, Address: "10.0.0.3:1", Locality: "east", Incarnation: 1, Alive: true, Joined: 1},
			},
			Placements: []beacon.Placement{{Strand: strandName, Epoch: 1, First: "keeper-1"}},
		}, &harbour.heard)
	}
}

func open(t *testing.T) *harbour {
	t.Helper()
	harbour := &harbour{now: time.Unix(1000, 0), lantern: lamp.New(lamp.Props{
		Self:   beacon.Member{Name: "lantern-1", Kind: beacon.KindLantern, Address: "10.0.0.1:1", Caller: "10.0.0.1:8000", Locality: "east", Incarnation: 1},
		Tender: "10.0.0.1:2",
	})}
	var effects helm.Effects
	harbour.lantern.Start(harbour.now, &effects)
	harbour.pass(time.Millisecond)
	assert.Equal(t, harbour.lantern.Version(), uint64(1))
	return harbour
}

func (harbour *harbour) greet(t *testing.T, channel uint64, origin string) helm.Effects {
	t.Helper()
	harbour.visit++
	return harbour.do(lamp.OpenChannel{Visit: harbour.visit, Channel: channel, Name: origin, Origin: origin, Lines: true})
}

func outcome(t *testing.T, effects helm.Effects) lamp.Answer {
	t.Helper()
	assert.Equal(t, len(effects.Returns), 1)
	return effects.Returns[0].Value.(lamp.Answer)
}

func moves(effects helm.Effects) int {
	count := 0
	for _, deliver := range effects.Delivers {
		if event, matches := deliver.Event.(lamp.Event); matches && event.Event == "move" && event.To == "10.0.0.2:8000" {
			count++
		}
	}
	return count
}

func TestAStoppingLanternTellsWhoComesWhereToGo(t *testing.T) {
	harbour := open(t)
	harbour.do(lamp.Stop{})
	effects := harbour.greet(t, 1, "u1")
	assert.Equal(t, outcome(t, effects).Outcome, lamp.OutcomeAccepted)
	assert.Equal(t, moves(effects), 1)
	harbour.visit++
	other := harbour.do(lamp.OpenChannel{Visit: harbour.visit, Channel: 2, Name: "u2", Origin: "u2"})
	assert.Equal(t, outcome(t, other).Code, "stopping")
}

func TestAStoppingLanternServesThoseWhoAreStillHere(t *testing.T) {
	harbour := open(t)
	harbour.greet(t, 1, "u1")
	harbour.do(lamp.Stop{})
	harbour.visit++
	effects := harbour.do(lamp.Publish{Visit: harbour.visit, Origin: "u1", Sender: "u1", Topic: "b.1", Seq: 1, Data: []byte("x")})
	assert.Equal(t, len(effects.Returns), 0)
	found := false
	for _, send := range effects.Sends {
		appended, matches := send.Message.(strand.Append)
		found = found || matches && appended.Topic == "b.1" && send.To == "10.0.0.3:1"
	}
	assert.Assert(t, found, "the publication must go to its keeper: %v", effects.Sends)
}

func TestAStoppingLanternDoesNotWaitForThoseWhoDoNotGo(t *testing.T) {
	harbour := open(t)
	for channel := range uint64(40) {
		harbour.greet(t, channel+1, "u")
	}
	effects := harbour.do(lamp.Stop{})
	effects.Append(harbour.pass(250 * time.Millisecond))
	assert.Equal(t, moves(effects), 40)
	assert.Assert(t, !effects.Stop)
	effects = harbour.pass(time.Second)
	assert.Assert(t, effects.Stop)
	ended := 0
	for _, deliver := range effects.Delivers {
		if deliver.Close {
			ended++
		}
	}
	assert.Equal(t, ended, 40)
	farewell := false
	for _, send := range effects.Sends {
		_, matches := send.Message.(beacon.Farewell)
		farewell = farewell || matches && send.To == "10.0.0.1:2"
	}
	assert.Assert(t, farewell, "the tender must hear of the end")
}
