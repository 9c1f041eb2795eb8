// The gnet adapter. A daemon listens with one gnet engine and dials with one
// gnet client; frames to a peer travel on the connection that the sender
// dialled, so that the two directions are independent and each is in order.
// One owner holds the table of outgoing links; each link has its own task with
// a bounded queue, which dials, waits out the delay that trials ask for, and
// drops rather than blocks. Losing frames is something the machines expect.
package flare

import (
	"context"
	"hash/fnv"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"

	"dahlialock/internal/helm"
)

const (
	linkQueue   = 8192
	dialLimit   = time.Second
	dialBackoff = 100 * time.Millisecond
	lossPenalty = 200 * time.Millisecond
	idleLimit   = 2 * time.Minute
)

// Inbound is a message that arrived, or a note about a link.
type Inbound struct {
	Meta    helm.Meta
	Message any
}

// Weather is what a trial imposes on links, by prefix of the other's address:
// cuts are both ways, mutes only outwards, and deaf only inwards.
type Weather struct {
	Delays map[string]time.Duration
	Loss   map[string]float64
	Cuts   []string
	Mutes  []string
	Deaf   []string
}

// Counters are running sums, read by anyone and written by the links.
type Counters struct {
	MessagesOut, BytesOut, MessagesIn, BytesIn, Dropped, Garbage, Shed atomic.Int64
	MessagesAway, BytesAway                                            atomic.Int64
}

// Flare is a daemon's end of all its links.
type Flare struct {
	gnet.BuiltinEventEngine
	address  string
	home     string
	inbox    chan<- Inbound
	urgent   chan<- Inbound
	commands chan command
	client   *gnet.Client
	engine   gnet.Engine
	booted   chan struct{}
	weather  atomic.Pointer[Weather]
	garbage  func(remote string, fault error)
	Counters Counters
}

type command struct {
	to    string
	frame []byte
	ended *link
}

type link struct {
	to    string
	queue chan []byte
}

type clientEvents struct {
	gnet.BuiltinEventEngine
}

func (*clientEvents) OnClose(connection gnet.Conn, _ error) gnet.Action {
	if closed, matches := connection.Context().(*atomic.Bool); matches {
		closed.Store(true)
	}
	return gnet.None
}

func (*clientEvents) OnTraffic(connection gnet.Conn) gnet.Action {
	_, _ = connection.Discard(-1)
	return gnet.None
}

// Open listens on the address and starts the dialling side. Garbage is told of
// frames that could not be read.
func Open(address string, inbox, urgent chan<- Inbound, garbage func(remote string, fault error)) (*Flare, error) {
	opened := &Flare{
		address:  address,
		home:     homeOf(address),
		inbox:    inbox,
		urgent:   urgent,
		commands: make(chan command, linkQueue),
		booted:   make(chan struct{}),
		garbage:  garbage,
	}
	opened.weather.Store(&Weather{})
	probe, fault := net.Listen("tcp", address)
	if fault != nil {
		return nil, fault
	}
	_ = probe.Close()
	client, fault := gnet.NewClient(&clientEvents{}, gnet.WithLogLevel(logging.ErrorLevel), gnet.WithLogger(silent{}), gnet.WithNumEventLoop(1))
	if fault != nil {
		return nil, fault
	}
	if fault := client.Start(); fault != nil {
		return nil, fault
	}
	opened.client = client
	failed := make(chan error, 1)
	go func() {
		failed <- gnet.Run(opened, "tcp://"+address,
			gnet.WithNumEventLoop(1), gnet.WithReuseAddr(true), gnet.WithTCPNoDelay(gnet.TCPNoDelay),
			gnet.WithLogLevel(logging.ErrorLevel), gnet.WithLogger(silent{}))
	}()
	select {
	case <-opened.booted:
	case fault := <-failed:
		return nil, fault
	}
	go opened.own()
	return opened, nil
}

// homeOf is the part of an address that daemons of one locality share in a
// trial: the first three numbers.
func homeOf(address string) string {
	last := strings.LastIndex(address, ".")
	if last < 0 {
		return address
	}
	return address[:last+1]
}

// OnBoot is called by gnet once the listener stands.
func (flare *Flare) OnBoot(engine gnet.Engine) gnet.Action {
	flare.engine = engine
	close(flare.booted)
	return gnet.None
}

// OnTraffic is called by gnet when bytes came in.
func (flare *Flare) OnTraffic(connection gnet.Conn) gnet.Action {
	for {
		header, fault := connection.Peek(headerSize)
		if fault != nil {
			return gnet.None
		}
		length, complete, fault := FrameLength(header)
		if fault != nil {
			return flare.refuse(connection, fault)
		}
		if !complete || connection.InboundBuffered() < headerSize+length {
			return gnet.None
		}
		if _, fault := connection.Discard(headerSize); fault != nil {
			return gnet.Close
		}
		packed, fault := connection.Next(length)
		if fault != nil {
			return gnet.Close
		}
		meta, message, fault := Decode(packed)
		if fault != nil {
			return flare.refuse(connection, fault)
		}
		flare.Counters.MessagesIn.Add(1)
		flare.Counters.BytesIn.Add(int64(headerSize + length))
		if flare.cutFrom(meta.From) {
			continue
		}
		flare.take(Inbound{Meta: meta, Message: message})
	}
}

// take queues what came in. What is of the control state has a queue of its own
// that is emptied first. Where the owner can't keep up the rest is dropped, as a
// network would, rather than hold up everything behind it.
func (flare *Flare) take(inbound Inbound) {
	if Urgent(inbound.Message) {
		flare.urgent <- inbound
		return
	}
	select {
	case flare.inbox <- inbound:
	default:
		flare.Counters.Shed.Add(1)
	}
}

func (flare *Flare) refuse(connection gnet.Conn, fault error) gnet.Action {
	flare.Counters.Garbage.Add(1)
	flare.garbage(connection.RemoteAddr().String(), fault)
	return gnet.Close
}

func anyPrefix(address string, lists ...[]string) bool {
	for _, list := range lists {
		for _, prefix := range list {
			if strings.HasPrefix(address, prefix) {
				return true
			}
		}
	}
	return false
}

func (flare *Flare) cutFrom(address string) bool {
	weather := flare.weather.Load()
	return anyPrefix(address, weather.Cuts, weather.Deaf)
}

func (flare *Flare) cutTo(address string) bool {
	weather := flare.weather.Load()
	return anyPrefix(address, weather.Cuts, weather.Mutes)
}

// SetWeather changes what a trial imposes.
func (flare *Flare) SetWeather(weather Weather) {
	flare.weather.Store(&weather)
}

// Send queues a message; it never blocks for long and never fails loudly.
func (flare *Flare) Send(to string, version uint64, message any) error {
	if to == flare.address {
		flare.inbox <- Inbound{Meta: helm.Meta{From: flare.address, Version: version}, Message: message}
		return nil
	}
	frame, fault := Encode(helm.Meta{From: flare.address, Version: version}, message)
	if fault != nil {
		return fault
	}
	select {
	case flare.commands <- command{to: to, frame: frame}:
	default:
		flare.Counters.Dropped.Add(1)
	}
	return nil
}

func (flare *Flare) own() {
	links := map[string]*link{}
	for next := range flare.commands {
		if next.ended != nil {
			if links[next.ended.to] == next.ended {
				delete(links, next.ended.to)
			}
			continue
		}
		present, found := links[next.to]
		if !found {
			present = &link{to: next.to, queue: make(chan []byte, linkQueue)}
			links[next.to] = present
			go flare.serve(present)
		}
		select {
		case present.queue <- next.frame:
		default:
			flare.Counters.Dropped.Add(1)
		}
	}
}

func (flare *Flare) delay(to string, frame []byte) time.Duration {
	weather := flare.weather.Load()
	var delay time.Duration
	for prefix, length := range weather.Delays {
		if strings.HasPrefix(to, prefix) {
			delay = length
		}
	}
	for prefix, chance := range weather.Loss {
		if strings.HasPrefix(to, prefix) {
			sum := fnv.New32a()
			_, _ = sum.Write(frame)
			if float64(sum.Sum32()%100000) < chance*100000 {
				delay += lossPenalty
			}
		}
	}
	return delay
}

type dueFrame struct {
	frame []byte
	due   time.Time
}

func (flare *Flare) serve(served *link) {
	var connection gnet.Conn
	var closed *atomic.Bool
	var retryAt time.Time
	away := homeOf(served.to) != flare.home
	delayed := make(chan dueFrame, linkQueue)
	go func() {
		defer close(delayed)
		idle := time.NewTimer(idleLimit)
		defer idle.Stop()
		for {
			select {
			case frame := <-served.queue:
				idle.Reset(idleLimit)
				item := dueFrame{frame: frame}
				if delay := flare.delay(served.to, frame); delay > 0 {
					item.due = time.Now().Add(delay)
				}
				delayed <- item
			case <-idle.C:
				flare.commands <- command{ended: served}
				return
			}
		}
	}()
	for item := range delayed {
		if !item.due.IsZero() {
			if wait := time.Until(item.due); wait > 0 {
				time.Sleep(wait)
			}
		}
		if flare.cutTo(served.to) {
			// What follows goes over a link that is dialled anew.
			if connection != nil {
				_ = connection.Close()
				connection = nil
			}
			flare.Counters.Dropped.Add(1)
			continue
		}
		if connection == nil || closed.Load() {
			if time.Now().Before(retryAt) {
				flare.Counters.Dropped.Add(1)
				continue
			}
			connection, closed = flare.dial(served.to)
			if connection == nil {
				retryAt = time.Now().Add(dialBackoff)
				flare.Counters.Dropped.Add(1)
				continue
			}
		}
		if fault := connection.AsyncWrite(item.frame, nil); fault != nil {
			connection = nil
			flare.Counters.Dropped.Add(1)
			continue
		}
		flare.Counters.MessagesOut.Add(1)
		flare.Counters.BytesOut.Add(int64(len(item.frame)))
		if away {
			flare.Counters.MessagesAway.Add(1)
			flare.Counters.BytesAway.Add(int64(len(item.frame)))
		}
	}
	if connection != nil {
		_ = connection.Close()
	}
}

func (flare *Flare) dial(to string) (gnet.Conn, *atomic.Bool) {
	dialer := net.Dialer{Timeout: dialLimit, LocalAddr: &net.TCPAddr{IP: net.ParseIP(hostOf(flare.address))}}
	plain, fault := dialer.Dial("tcp", to)
	if fault != nil {
		return nil, nil
	}
	closed := &atomic.Bool{}
	connection, fault := flare.client.EnrollContext(plain, closed)
	if fault != nil {
		_ = plain.Close()
		return nil, nil
	}
	return connection, closed
}

func hostOf(address string) string {
	host, _, fault := net.SplitHostPort(address)
	if fault != nil {
		return ""
	}
	return host
}

// Close ends listening and dialling.
func (flare *Flare) Close() {
	stopping, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = flare.engine.Stop(stopping)
	_ = flare.client.Stop()
}

// silent keeps gnet's own lines out of the daemons' logs, which hold numbered
// events only.
type silent struct{}

func (silent) Debugf(string, ...any) {}
func (silent) Infof(string, ...any)  {}
func (silent) Warnf(string, ...any)  {}
func (silent) Errorf(string, ...any) {}
func (silent) Fatalf(string, ...any) {}
