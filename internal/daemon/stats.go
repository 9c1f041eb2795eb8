package daemon

import (
	"time"

	"dahlialock/internal/transport"
)

// selfBody is the response body of ctl at /v1/self. Its members are in alphabetical
// order.
type selfBody struct {
	Counters any                            `json:"counters"`
	Epoch    uint64                         `json:"epoch"`
	Index    uint64                         `json:"index"`
	Kind     string                         `json:"kind"`
	Links    linkCounts                     `json:"links"`
	Name     string                         `json:"name"`
	Primary  string                         `json:"primary"`
	Ready    bool                           `json:"ready"`
	Received map[string]transport.KindCount `json:"received"`
	Sent     map[string]transport.KindCount `json:"sent"`
	Steps    int64                          `json:"steps"`
	Syncs    int64                          `json:"syncs"`
	Version  uint64                         `json:"version"`
	Zone     string                         `json:"zone"`
}

// selfBody returns the daemon's state and counters. It is called on the goroutine of
// the loop.
func (p *process) selfBody(now time.Time) selfBody {
	view := p.service.Machine.ViewClient()
	links := p.loop.Transport()
	return selfBody{
		Counters: p.service.Counters(),
		Epoch:    view.Epoch,
		Index:    view.Index,
		Kind:     p.kind,
		Links:    countsOf(&links.Counters),
		Name:     p.self.Name,
		Primary:  view.Primary(),
		Ready:    p.service.Ready(now),
		Received: links.Received(),
		Sent:     links.Sent(),
		Steps:    p.loop.Steps(),
		Syncs:    p.loop.Syncs(),
		Version:  p.service.Machine.ConfigurationVersion(),
		Zone:     p.self.Zone,
	}
}

// linkCounts has the transport's counters as ctl and the log show them. Its members are
// in alphabetical order.
type linkCounts struct {
	BytesCrossZone    int64 `json:"bytes_away"`
	BytesIn           int64 `json:"bytes_in"`
	BytesOut          int64 `json:"bytes_out"`
	Dials             int64 `json:"dials"`
	Dropped           int64 `json:"dropped"`
	Malformed         int64 `json:"garbage"`
	Throttled         int64 `json:"held"`
	MessagesCrossZone int64 `json:"messages_away"`
	MessagesIn        int64 `json:"messages_in"`
	MessagesOut       int64 `json:"messages_out"`
	Shed              int64 `json:"shed"`
	Writes            int64 `json:"writes"`
}

func countsOf(counters *transport.Counters) linkCounts {
	return linkCounts{
		BytesCrossZone:    counters.BytesCrossZone.Load(),
		BytesIn:           counters.BytesIn.Load(),
		BytesOut:          counters.BytesOut.Load(),
		Dials:             counters.Dials.Load(),
		Dropped:           counters.Dropped.Load(),
		Malformed:         counters.Malformed.Load(),
		Throttled:         counters.Throttled.Load(),
		MessagesCrossZone: counters.MessagesCrossZone.Load(),
		MessagesIn:        counters.MessagesIn.Load(),
		MessagesOut:       counters.MessagesOut.Load(),
		Shed:              counters.Shed.Load(),
		Writes:            counters.Writes.Load(),
	}
}

// trafficTicks returns a channel with a tick whenever the traffic is to be logged; nil
// if it is never logged.
func (p *process) trafficTicks() <-chan time.Time {
	if p.settings.TrafficInterval <= 0 {
		return nil
	}
	return time.NewTicker(p.settings.TrafficInterval).C
}

// trafficFields returns the fields of a log event with the transport's counters since
// the start. If the daemon has ListenClients, they include the counters of its service.
func (p *process) trafficFields() []any {
	links := p.loop.Transport()
	fields := []any{"links", countsOf(&links.Counters), "sent", links.Sent(), "received", links.Received()}
	if p.service.ListenClients != nil {
		counters, _ := p.inspect(func(time.Time) any { return p.service.Counters() })
		fields = append(fields, "counters", counters)
	}
	return fields
}
