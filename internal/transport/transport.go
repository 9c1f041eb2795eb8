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
	// maxConnectWait is the age at which what waited for a connection goes no more.
	maxConnectWait = 2 * time.Second
	// maxOutboundBuffer is how much of a slow connection's bytes gnet may hold.
	maxOutboundBuffer = 64 << 10
	bufferCheckInterval  = 10 * time.Millisecond
	// probeDelay is when a connection that ended is dialled again to see whether
	// anybody is there, if somebody wants to know.
	probeDelay  = 5 * time.Millisecond
	slowProbeDelay = 200 * time.Millisecond
	// firstDialTimeout is how long each of the first dialsEager dials may take; the others
	// twice as long each, up to dialLimit. What goes to a machine that is just
	// starting is lost, and asked again by the system after a second only.
	firstDialTimeout   = 200 * time.Millisecond
	eagerDials  = 8
	maxDialTimeout   = time.Second
	minBackoff  = 50 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
	retransmissionDelay = 200 * time.Millisecond
	idleTimeout   = 30 * time.Second
	// unacknowledgedTimeout ends a connection whose peer confirms nothing for so long.
	unacknowledgedTimeout = 1500 * time.Millisecond
	// keepAliveInterval finds accepted connections whose peer is gone for good.
	keepAliveInterval = 15 * time.Second
	// maxChunkBytes is how many bytes of a turn go at once where they had to wait.
	maxChunkBytes = 8 << 10
	// maxSpareBytes bounds the bytes that a link keeps for its next turn.
	maxSpareBytes = 16 << 10
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

func (i *Impairment) none() bool {
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
	zonePrefix       string
	inbox      chan<- Inbound
	control     chan<- Inbound
	client     *gnet.Client
	engine     gnet.Engine
	booted     chan struct{}
	ended      <-chan error
	impairment atomic.Pointer[Impairment]
	onMalformed    func(remote string, err error)
	clock      func() time.Time
	Counters   Counters
	// What was sent and received, by kind of message.
	sent, received kindCounters

	// Of the owner: links by destination, those with frames of this turn, and
	// whether the owner ends its turns with Flush.
	links   map[string]*link
	dirty   []*link
	batching   bool
	compressBuffer []byte
	joinBuffer    []byte

	// pacer holds back what the machine's link can't take; held is set while
	// something waits for it.
	pacer Pacer
	throttled atomic.Bool

	// compression is set where turns to other zones are packed.
	compression atomic.Bool
	// observesLinks is set where the owner wants to know of addresses that refuse.
	observesLinks atomic.Bool
	closing atomic.Bool
	// dialing is set once there is a dialling loop: peers may name themselves before.
	dialing atomic.Bool

	// Of the accepting loop.
	reader decoder
	connections map[string]gnet.Conn

	// dial makes a connection, and firstDial is how long the first may take.
	dial      func(limit context.Context, to string) (net.Conn, error)
	firstDialTimeout time.Duration

	// Of the dialling loop.
	loop     gnet.EventLoop
	managed   map[string]*link
	queue    PriorityQueue[chunk]
	drainAt   time.Time
	stopped  bool
	queueBuffer []byte
}

// peer is what is known of an accepted connection.
type peer struct {
	address     string
	decompressor *decompressor
	// received are the bytes that came, told those that were confirmed.
	received, acknowledged int64
	acknowledges   bool
}

// link is one destination.
type link struct {
	address   string
	crossZone bool

	// Of the owner: the frames of this turn by class, and how often bytes went to
	// the dialling loop.
	pending [classCount]bytes.Buffer
	frames  [classCount]int
	deadlines  [classCount][]deadline
	dirty   bool
	handedOver  uint64

	// direct is where the owner may write, if it handed over no more since.
	direct atomic.Pointer[directPath]
	// batches counts turns, for the dialling loop to see which links are idle.
	batches atomic.Uint64

	// Of the dialling loop. rest is what is left of a write, and goes before all
	// else that waits.
	unwritten     chunk
	takenOver    uint64
	connection     gnet.Conn
	socket   *socket
	dialing bool
	// attempts counts the dials since the peer was there, and hangUp ends the present one.
	attempts  int
	cancelDial context.CancelFunc
	// peerSeen is set while the peer is known to be there, by what it said itself.
	peerSeen  bool
	backoff    time.Duration
	retryAt  time.Time
	serveAt    time.Time
	sweptBatches uint64
	// closedIdle is set where we ended the connection ourselves.
	closedIdle   bool
	openedAt time.Time
}

// directPath is a connection on which nothing waits, as of a count of hand-overs.
type directPath struct {
	socket *socket
	handedOver uint64
}

// chunk is what the owner handed over: whole frames of one class, or, if it has a
// socket, the rest of a write that only that socket's connection may take.
type chunk struct {
	body   []byte
	class  Class
	frames int
	deadlines []deadline
	queuedAt     time.Time
	dueAt    time.Time
	continues   *socket
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
		ce.transport.connectionLost(closed, connection)
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
	for connection.InboundBuffered() >= acknowledgementBytes {
		body, err := connection.Next(acknowledgementBytes)
		if err != nil {
			return gnet.Close
		}
		count = int64(binary.BigEndian.Uint64(body))
	}
	if count >= 0 && confirming.connection == connection {
		confirming.socket.window.Acknowledge(time.Now(), count)
		ce.transport.serve(confirming)
	}
	return gnet.None
}

// Open listens on the address and starts the dialling side. Garbage is told of
// frames that could not be read.
func Open(address string, inbox, urgent chan<- Inbound, garbage func(remote string, err error)) (*Transport, error) {
	opened := &Transport{
		address:  address,
		zonePrefix:     zonePrefixOf(address),
		inbox:    inbox,
		control:   urgent,
		booted:   make(chan struct{}),
		onMalformed:  garbage,
		clock:    time.Now,
		sent:     newKindCounters(),
		received: newKindCounters(),
		links:    map[string]*link{},
		connections:   map[string]gnet.Conn{},
		managed:   map[string]*link{},
	}
	opened.dial, opened.firstDialTimeout = opened.dialTCP, firstDialTimeout
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
			gnet.WithTCPKeepAlive(keepAliveInterval), gnet.WithLogLevel(logging.ErrorLevel), gnet.WithLogger(discardLogger{}))
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
	client, err := gnet.NewClient(&clientEvents{transport: t}, gnet.WithLogLevel(logging.ErrorLevel), gnet.WithLogger(discardLogger{}),
		gnet.WithNumEventLoop(1), gnet.WithReadBufferCap(1<<10))
	if err != nil {
		return err
	}
	if err := client.Start(); err != nil {
		return err
	}
	t.client = client
	limit, hangUp := context.WithTimeout(context.Background(), maxDialTimeout)
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
	t.dialing.Store(true)
	_ = first.Close()
	time.AfterFunc(idleTimeout, t.sweepIdle)
	return nil
}

// zonePrefixOf is the part of an address that daemons of one zone share in a
// trial: the first three numbers.
func zonePrefixOf(address string) string {
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

// discardLogger keeps gnet's own lines out of the daemons' logs, which hold numbered
// events only.
type discardLogger struct{}

func (discardLogger) Debugf(string, ...any) {}
func (discardLogger) Infof(string, ...any)  {}
func (discardLogger) Warnf(string, ...any)  {}
func (discardLogger) Errorf(string, ...any) {}
func (discardLogger) Fatalf(string, ...any) {}
