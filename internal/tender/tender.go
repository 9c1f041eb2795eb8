// A Tender is the agent beside a lantern: it holds the link to the pilots and
// feeds its lantern over loopback. It follows the control state for itself, and
// passes its lantern's questions, heartbeats' news and operators' requests on
// to whichever pilot is primary. Asked to stop together with its lantern, it
// outlives it, so that the lantern stays confirmed while it empties itself.
package tender

import (
	"slices"
	"time"

	"dahlialock/internal/beacon"
	"dahlialock/internal/cutter"
	"dahlialock/internal/helm"
)

const (
	// lanternAlive is how long after its last question a lantern counts as there,
	// stopLimit how long a tender that stops waits for its farewell.
	lanternAlive = 2 * time.Second
	stopLimit    = 3800 * time.Millisecond
)

// Props are a tender daemon's settings.
type Props struct {
	Self    beacon.Member
	Seeds   []string
	Lantern string
}

// Visit is an operator's request at this daemon's own ctl.
type Visit struct {
	Local  uint64
	Method string
	Path   string
	Body   []byte
}

// Stop asks the tender to end.
type Stop struct{}

type relayed struct {
	ask    beacon.Ask
	sentAt time.Time
	open   bool
}

type carried struct {
	visit uint64
	from  string
}

// Tender is the state machine.
type Tender struct {
	props    Props
	follower *beacon.Follower
	pulse    *beacon.Pulse
	cutter   *cutter.Cutter
	relayed  relayed
	local    uint64
	carrying map[uint64]carried
	askedAt  time.Time
	timers   *helm.Timers
}

// New makes a tender.
func New(props Props) *Tender {
	tender := &Tender{props: props, carrying: map[uint64]carried{}, timers: helm.NewTimers()}
	tender.follower = beacon.NewFollower(props.Self, props.Seeds, func() beacon.Load { return beacon.Load{Ready: true} })
	tender.pulse = beacon.NewPulse(props.Self)
	tender.cutter = cutter.New(tender.follower.Upstream, tender.follower.Other)
	return tender
}

// Version is the newest configuration version seen here.
func (tender *Tender) Version() uint64 { return tender.follower.Version }

// Follower gives the tender's view, for its ctl.
func (tender *Tender) Follower() *beacon.Follower { return tender.follower }

// Ready tells whether the link to the pilots stands.
func (tender *Tender) Ready() bool { return tender.follower.Index > 0 }

// Start begins the tender's work.
func (tender *Tender) Start(now time.Time, effects *helm.Effects) {
	tender.follower.Start(now)
	tender.pulse.Start(now)
}

// NextDue is when the tender wants to run again.
func (tender *Tender) NextDue() time.Time {
	return helm.Earliest(tender.follower.NextDue(), tender.pulse.NextDue(), tender.cutter.NextDue(), tender.timers.Next())
}

// Due runs whatever is due.
func (tender *Tender) Due(now time.Time, effects *helm.Effects) {
	tender.follower.Due(now, effects)
	tender.pulse.Due(now, effects)
	tender.cutter.Due(now, effects)
	if len(tender.timers.Expired(now)) > 0 {
		tender.end(effects)
	}
	tender.settle(effects)
}

// end leaves the fleet.
func (tender *Tender) end(effects *helm.Effects) {
	for _, member := range helm.Sorted(tender.follower.Members) {
		if member.Kind == beacon.KindPilot {
			effects.Send(member.Address, beacon.Farewell{Name: tender.props.Self.Name, Incarnation: tender.props.Self.Incarnation})
		}
	}
	effects.Stop = true
}

// Command takes what the adapters bring.
func (tender *Tender) Command(now time.Time, command any, effects *helm.Effects) {
	switch body := command.(type) {
	case Visit:
		tender.cutter.Carry(now, body.Local, body.Method, body.Path, body.Body, effects)
	case Stop:
		switch {
		case tender.askedAt.IsZero() || now.Sub(tender.askedAt) > lanternAlive:
			tender.end(effects)
		case !tender.timers.Armed("stop"):
			tender.timers.Arm("stop", now.Add(stopLimit))
		}
	}
}

// Message takes what other daemons, and the lantern, say.
func (tender *Tender) Message(now time.Time, meta helm.Meta, message any, effects *helm.Effects) {
	if meta.From != tender.props.Lantern {
		tender.pulse.Heard(now)
	}
	switch body := message.(type) {
	case beacon.Ask:
		if meta.From == tender.props.Lantern {
			tender.askedAt = now
			tender.relayed = relayed{ask: body, sentAt: now, open: true}
			for _, address := range tender.follower.Upstreams() {
				effects.Send(address, body)
			}
		}
	case beacon.News:
		tender.onNews(now, body, effects)
	case beacon.Redirect:
		if body.For == tender.props.Self.Name {
			tender.follower.Redirected(now, body, effects)
			return
		}
		tender.redirectLantern(now, body, effects)
	case beacon.Farewell:
		if meta.From != tender.props.Lantern {
			return
		}
		if tender.askedAt = (time.Time{}); tender.timers.Armed("stop") {
			tender.end(effects)
		}
	case beacon.Heartbeat:
		tender.pulse.Beat(now, body)
	case beacon.ControlVisit:
		tender.local++
		tender.carrying[tender.local] = carried{visit: body.Visit, from: meta.From}
		tender.cutter.Carry(now, tender.local<<32, body.Method, body.Path, body.Body, effects)
	case beacon.ControlReturn:
		tender.cutter.Take(now, meta.From, body, effects)
	case beacon.ChartAsk:
		tender.follower.AnswerChart(meta.From, body, effects)
	}
	tender.settle(effects)
}

// settle hands the answers to the lantern's requests on, out of the returns.
func (tender *Tender) settle(effects *helm.Effects) {
	kept := effects.Returns[:0]
	for _, returned := range effects.Returns {
		asked, found := tender.carrying[returned.Visit>>32]
		if returned.Visit < 1<<32 || !found {
			kept = append(kept, returned)
			continue
		}
		delete(tender.carrying, returned.Visit>>32)
		answer := returned.Value.(beacon.ControlReturn)
		answer.Visit, answer.Redirect = asked.visit, ""
		effects.Send(asked.from, answer)
	}
	effects.Returns = kept
}

func (tender *Tender) onNews(now time.Time, news beacon.News, effects *helm.Effects) {
	if news.For != tender.props.Self.Name {
		tender.relayed.open = tender.relayed.open && news.Nonce != tender.relayed.ask.Nonce
		effects.Send(tender.props.Lantern, news)
		return
	}
	taken := tender.follower.Take(now, news)
	if taken.View {
		tender.pulse.Take(now, tender.follower.Members, tender.follower.Upstream(), tender.follower.Index)
	}
}

// redirectLantern lets a pilot that is not primary correct this tender's view of
// who is, so that the lantern's next question goes the right way.
func (tender *Tender) redirectLantern(now time.Time, redirect beacon.Redirect, effects *helm.Effects) {
	if !tender.relayed.open || redirect.Nonce != tender.relayed.ask.Nonce {
		return
	}
	if redirect.Primary != "" && !slices.Contains(tender.follower.Upstreams(), redirect.Primary) {
		effects.Send(redirect.Primary, tender.relayed.ask)
	}
	tender.follower.Hurry(now)
}
