// Package transport carries messages between daemons.
//
// The gnet adapter. A daemon listens with one gnet engine and dials with one
// gnet client; frames to a peer travel on the connection that the sender
// dialled, so that the two directions are independent and each is in order.
//
// The owner of the machine sends: Send queues frames, and Flush hands each
// destination all of a turn's frames in one write. While a connection and the
// machine's link take them, that write is made at once by the owner, without a wait
// and without a task of the link's own. In all other cases (no connection yet, a
// link that is full, a peer that does not read, impairment that a trial asks for)
// the bytes go to the dialling loop, which alone tends what is not plain: it dials
// with growing pauses, keeps what waits in the order of its classes and within a
// bound, and gives a link back to the owner once nothing waits for it. Losing frames
// is something the machines expect.
package transport

import (
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"
	"github.com/panjf2000/gnet/v2/pkg/pool/goroutine"

	"dahlialock/internal/statemachine"
)

const (
	// staleAfter is the age at which what waited for a connection goes no more.
	staleAfter = 2 * time.Second
	// bufferMost is how much of a slow connection's bytes gnet may hold.
	bufferMost = 64 << 10
	lookAgain  = 10 * time.Millisecond
	// probeAfter is when a connection that ended is dialled again to see whether
	// anybody is there, if somebody wants to know.
	probeAfter  = 5 * time.Millisecond
	probeSlowly = 200 * time.Millisecond
	// dialFirst is how long each of the first dialsEager dials may take; the others
	// twice as long each, up to dialLimit. What goes to a machine that is just
	// starting is lost, and asked again by the system after a second only.
	dialFirst   = 200 * time.Millisecond
	dialsEager  = 8
	dialLimit   = time.Second
	pauseLeast  = 50 * time.Millisecond
	pauseMost   = 500 * time.Millisecond
	lossPenalty = 200 * time.Millisecond
	idleLimit   = 30 * time.Second
	// deafLimit ends a connection whose peer confirms nothing for so long.
	deafLimit = 1500 * time.Millisecond
	// keepAlive finds accepted connections whose peer is gone for good.
	keepAlive = 15 * time.Second
	// pieceMost is how many bytes of a turn go at once where they had to wait.
	pieceMost = 8 << 10
	// spareMost bounds the bytes that a link keeps for its next turn.
	spareMost = 16 << 10
)

// Inbound is a message that arrived, or a note about a link.
type Inbound struct {
	Meta    statemachine.Meta
	Message any
}

// ConnectionRefused is the note that nobody listens at an address, as its machine says.
type ConnectionRefused struct{}

// Impairment is what a trial imposes on links, by prefix of the other's address:
// cuts are both ways, mutes only outwards, and deaf only inwards.
type Impairment struct {
	Delays          map[string]time.Duration
	Loss            map[string]float64
	Partitioned     []string
	OutboundBlocked []string
	InboundBlocked  []string
}

func (i *Impairment) calm() bool {
	return len(i.Delays)+len(i.Loss)+len(i.Partitioned)+len(i.OutboundBlocked)+len(i.InboundBlocked) == 0
}

// Counters are running sums, read by anyone and written by the links.
type Counters struct {
	MessagesOut, BytesOut, MessagesIn, BytesIn, Dropped, Malformed, Shed atomic.Int64
	MessagesCrossZone, BytesCrossZone                                    atomic.Int64
	// Expired are messages that may not leave any more when their turn came.
	Expired atomic.Int64
	// Writes are system calls that wrote to links, Dials connections made.
	Writes, Dials atomic.Int64
	// Throttled counts how often something had to wait for the machine's link, or a turn
	// for a peer's window.
	Throttled atomic.Int64
}

// Transport is a daemon's end of all its links.
type Transport struct {
	gnet.BuiltinEventEngine
	address    string
	home       string
	inbox      chan<- Inbound
	urgent     chan<- Inbound
	client     *gnet.Client
	engine     gnet.Engine
	booted     chan struct{}
	ended      <-chan error
	impairment atomic.Pointer[Impairment]
	garbage    func(remote string, err error)
	clock      func() time.Time
	Counters   Counters
	// What was sent and received, by kind of message.
	sent, received kindSums

	// Of the owner: links by destination, those with frames of this turn, and
	// whether the owner ends its turns with Flush.
	links   map[string]*link
	dirty   []*link
	turns   bool
	scratch []byte
	turn    []byte

	// pace holds back what the machine's link can't take; held is set while
	// something waits for it.
	pace Pacer
	held atomic.Bool

	// compresses is set where turns to other zones are packed.
	compresses atomic.Bool
	// watches is set where the owner wants to know of addresses that refuse.
	watches atomic.Bool
	closing atomic.Bool
	// looping is set once there is a dialling loop: peers may name themselves before.
	looping atomic.Bool

	// Of the accepting loop.
	reader reader
	inward map[string]gnet.Conn

	// dial makes a connection, and firstDial is how long the first may take.
	dial      func(limit context.Context, to string) (net.Conn, error)
	firstDial time.Duration

	// Of the dialling loop.
	loop     gnet.EventLoop
	tended   map[string]*link
	order    PriorityQueue[chunk]
	sendAt   time.Time
	stopped  bool
	wrapping []byte
}

// peer is what is known of an accepted connection.
type peer struct {
	from     string
	unpacker *unpacker
	// took are the bytes that came, told those that were confirmed.
	took, told int64
	confirms   bool
}

// link is one destination.
type link struct {
	to   string
	away bool

	// Of the owner: the frames of this turn by class, and how often bytes went to
	// the dialling loop.
	pending [classCount]bytes.Buffer
	frames  [classCount]int
	bounds  [classCount][]bound
	dirty   bool
	handed  uint64

	// way is where the owner may write, if it handed over no more since.
	way atomic.Pointer[way]
	// uses counts turns, for the dialling loop to see which links are idle.
	uses atomic.Uint64

	// Of the dialling loop. rest is what is left of a write, and goes before all
	// else that waits.
	rest     chunk
	taken    uint64
	wire     gnet.Conn
	socket   *socket
	dialling bool
	// tries counts the dials since the peer was there, and hangUp ends the present one.
	tries  int
	hangUp context.CancelFunc
	// answers is set while the peer is known to be there, by what it said itself.
	answers  bool
	pause    time.Duration
	retryAt  time.Time
	armed    time.Time
	seenUses uint64
	// idle is set where we ended the connection ourselves.
	idle   bool
	openAt time.Time
}

// way is a connection on which nothing waits, as of a count of hand-overs.
type way struct {
	socket *socket
	handed uint64
}

// chunk is what the owner handed over: whole frames of one class, or, if it has a
// socket, the rest of a write that only that socket's connection may take.
type chunk struct {
	body   []byte
	class  Class
	frames int
	bounds []bound
	at     time.Time
	due    time.Time
	rest   *socket
}

// clientEvents is the dialling loop's side of connections; their context is
// their link.
type clientEvents struct {
	gnet.BuiltinEventEngine
	transport *Transport
}

func (ce *clientEvents) OnOpen(connection gnet.Conn) ([]byte, gnet.Action) {
	opened, matches := connection.Context().(*link)
	if !matches {
		return nil, gnet.None
	}
	return nil, ce.transport.opened(opened, connection)
}

func (ce *clientEvents) OnClose(connection gnet.Conn, _ error) gnet.Action {
	if closed, matches := connection.Context().(*link); matches {
		ce.transport.lost(closed, connection)
	}
	return gnet.None
}

// OnTraffic is called by gnet where a peer confirms what it took.
func (ce *clientEvents) OnTraffic(connection gnet.Conn) gnet.Action {
	confirming, matches := connection.Context().(*link)
	if !matches {
		_, _ = connection.Discard(-1)
		return gnet.None
	}
	count := int64(-1)
	for connection.InboundBuffered() >= confirmationSize {
		body, err := connection.Next(confirmationSize)
		if err != nil {
			return gnet.Close
		}
		count = int64(binary.BigEndian.Uint64(body))
	}
	if count >= 0 && confirming.wire == connection {
		confirming.socket.window.Acknowledge(time.Now(), count)
		ce.transport.pump(confirming)
	}
	return gnet.None
}

// Open listens on the address and starts the dialling side. Garbage is told of
// frames that could not be read.
func Open(address string, inbox, urgent chan<- Inbound, garbage func(remote string, err error)) (*Transport, error) {
	opened := &Transport{
		address:  address,
		home:     homeOf(address),
		inbox:    inbox,
		urgent:   urgent,
		booted:   make(chan struct{}),
		garbage:  garbage,
		clock:    time.Now,
		sent:     newKindSums(),
		received: newKindSums(),
		links:    map[string]*link{},
		inward:   map[string]gnet.Conn{},
		tended:   map[string]*link{},
	}
	opened.dial, opened.firstDial = opened.dialPlain, dialFirst
	opened.impairment.Store(&Impairment{})
	// gnet's pool of tasks, which nothing here uses, would wake up twice a second.
	goroutine.DefaultWorkerPool.Release()
	probe, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	_ = probe.Close()
	failed := make(chan error, 1)
	opened.ended = failed
	go func() {
		// With a port that may be shared, gnet accepts and reads in one loop.
		failed <- gnet.Run(opened, "tcp://"+address,
			gnet.WithNumEventLoop(1), gnet.WithReuseAddr(true), gnet.WithReusePort(true), gnet.WithTCPNoDelay(gnet.TCPNoDelay),
			gnet.WithTCPKeepAlive(keepAlive), gnet.WithLogLevel(logging.ErrorLevel), gnet.WithLogger(silent{}))
	}()
	select {
	case <-opened.booted:
	case err := <-failed:
		return nil, err
	}
	if err := opened.openClient(); err != nil {
		return nil, err
	}
	return opened, nil
}

// openClient starts the dialling loop. gnet names a loop only through one of its
// connections, so that the first one goes to our own address, and ends at once.
func (t *Transport) openClient() error {
	client, err := gnet.NewClient(&clientEvents{transport: t}, gnet.WithLogLevel(logging.ErrorLevel), gnet.WithLogger(silent{}),
		gnet.WithNumEventLoop(1), gnet.WithReadBufferCap(1<<10))
	if err != nil {
		return err
	}
	if err := client.Start(); err != nil {
		return err
	}
	t.client = client
	limit, hangUp := context.WithTimeout(context.Background(), dialLimit)
	defer hangUp()
	plain, err := t.dial(limit, t.address)
	if err != nil {
		return err
	}
	first, err := client.Enroll(plain)
	if err != nil {
		return err
	}
	t.loop = first.EventLoop()
	t.looping.Store(true)
	_ = first.Close()
	time.AfterFunc(idleLimit, t.sweepLater)
	return nil
}

// homeOf is the part of an address that daemons of one zone share in a
// trial: the first three numbers.
func homeOf(address string) string {
	last := strings.LastIndex(address, ".")
	if last < 0 {
		return address
	}
	return address[:last+1]
}

// OnBoot is called by gnet once the listener stands.
func (t *Transport) OnBoot(engine gnet.Engine) gnet.Action {
	t.engine = engine
	close(t.booted)
	return gnet.None
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	return host
}

// Close ends listening and dialling, within two seconds; a second call does
// nothing.
func (t *Transport) Close() {
	if !t.closing.CompareAndSwap(false, true) {
		return
	}
	stopped := make(chan struct{})
	t.onLoop(func() {
		t.stopped = true
		close(stopped)
	})
	await(stopped)
	// gnet would look for its own end twice a second; its task tells us sooner.
	now, cancel := context.WithCancel(context.Background())
	cancel()
	_ = t.engine.Stop(now)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = t.client.Stop()
		<-t.ended
	}()
	await(ended)
}

// await waits for an end, but not for ever.
func await(ended <-chan struct{}) {
	limit := time.NewTimer(time.Second)
	defer limit.Stop()
	select {
	case <-ended:
	case <-limit.C:
	}
}

// silent keeps gnet's own lines out of the daemons' logs, which hold numbered
// events only.
type silent struct{}

func (silent) Debugf(string, ...any) {}
func (silent) Infof(string, ...any)  {}
func (silent) Warnf(string, ...any)  {}
func (silent) Errorf(string, ...any) {}
func (silent) Fatalf(string, ...any) {}
