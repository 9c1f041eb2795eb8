// The gnet adapter. A daemon listens with one gnet engine and dials with one
// gnet client; frames to a peer travel on the connection that the sender
// dialled, so that the two directions are independent and each is in order.
//
// The owner of the machine sends: Send queues frames, and Flush hands each
// destination all of a turn's frames in one write. While a connection takes
// them, that write is made at once by the owner, without a wait and without a
// task of the link's own. In all other cases (no connection yet, a peer that does
// not read, impairment that a trial asks for) the bytes go to the dialling loop,
// which alone tends what is not plain: it dials with growing pauses, keeps what
// waits within a bound by dropping the oldest, and gives the link back to the
// owner once nothing waits. Losing frames is something the machines expect.
package transport

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"hash/fnv"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"
	"github.com/panjf2000/gnet/v2/pkg/pool/goroutine"
	"golang.org/x/sys/unix"

	"dahlialock/internal/statemachine"
)

const (
	// queueMost bounds the bytes that wait for one destination.
	queueMost = 1 << 20
	// staleAfter is the age at which what waited for a connection goes no more.
	staleAfter = 2 * time.Second
	// bufferMost is how much of a slow connection's bytes gnet may hold.
	bufferMost = 64 << 10
	lookAgain  = 10 * time.Millisecond
	// probeAfter is when a connection that ended is dialled again to see whether
	// anybody is there, if somebody wants to know.
	probeAfter  = 5 * time.Millisecond
	probeSlowly = 200 * time.Millisecond
	dialLimit   = time.Second
	pauseLeast  = 50 * time.Millisecond
	pauseMost   = 500 * time.Millisecond
	lossPenalty = 200 * time.Millisecond
	idleLimit   = 30 * time.Second
	// deafLimit ends a connection whose peer confirms nothing for so long.
	deafLimit = 1500 * time.Millisecond
	// keepAlive finds accepted connections whose peer is gone for good.
	keepAlive = 15 * time.Second
	// spareMost bounds the bytes that a link keeps for its next turn.
	spareMost = 16 << 10
)

// Inbound is a message that arrived, or a note about a link.
type Inbound struct {
	Meta    statemachine.Meta
	Message any
}

// Refused is the note that nobody listens at an address, as its machine says.
type Refused struct{}

// Impairment is what a trial imposes on links, by prefix of the other's address:
// cuts are both ways, mutes only outwards, and deaf only inwards.
type Impairment struct {
	Delays map[string]time.Duration
	Loss   map[string]float64
	Cuts   []string
	Mutes  []string
	Deaf   []string
}

func (i *Impairment) calm() bool {
	return len(i.Delays)+len(i.Loss)+len(i.Cuts)+len(i.Mutes)+len(i.Deaf) == 0
}

// Counters are running sums, read by anyone and written by the links.
type Counters struct {
	MessagesOut, BytesOut, MessagesIn, BytesIn, Dropped, Garbage, Shed atomic.Int64
	MessagesAway, BytesAway                                            atomic.Int64
	// Late are messages that may not leave any more when their turn came.
	Late atomic.Int64
	// Writes are system calls that wrote to links, Dials connections made.
	Writes, Dials atomic.Int64
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

	// Of the owner: links by destination, those with frames of this turn, and
	// whether the owner ends its turns with Flush.
	links   map[string]*link
	dirty   []*link
	turns   bool
	scratch []byte

	// compresses is set where turns to other zones are packed.
	compresses atomic.Bool
	// watches is set where the owner wants to know of addresses that refuse.
	watches atomic.Bool
	closing atomic.Bool

	// Of the accepting loop.
	reader reader
	inward map[string]gnet.Conn

	// Of the dialling loop.
	loop     gnet.EventLoop
	tended   []*link
	stopped  bool
	wrapping []byte
}

// peer is what is known of an accepted connection.
type peer struct {
	from     string
	unpacker *unpacker
}

// link is one destination.
type link struct {
	to   string
	away bool

	// Of the owner: the frames of this turn, and how often bytes went to the
	// dialling loop.
	pending bytes.Buffer
	frames  int
	bounds  []bound
	handed  uint64

	// way is where the owner may write, if it handed over no more since.
	way atomic.Pointer[way]
	// uses counts turns, for the dialling loop to see which links are idle.
	uses atomic.Uint64

	// Of the dialling loop.
	queue    []chunk
	queued   int
	taken    uint64
	wire     gnet.Conn
	socket   *socket
	dialling bool
	pause    time.Duration
	retryAt  time.Time
	armed    time.Time
	seenUses uint64
	known    bool
	// idle is set where we ended the connection ourselves.
	idle   bool
	openAt time.Time
}

// way is a connection on which nothing waits, as of a count of hand-overs.
type way struct {
	socket *socket
	handed uint64
}

// chunk is what the owner handed over: whole frames, or, if it has a socket, the
// rest of a write that only that socket's connection may take.
type chunk struct {
	body   []byte
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

func (*clientEvents) OnTraffic(connection gnet.Conn) gnet.Action {
	_, _ = connection.Discard(-1)
	return gnet.None
}

// Open listens on the address and starts the dialling side. Garbage is told of
// frames that could not be read.
func Open(address string, inbox, urgent chan<- Inbound, garbage func(remote string, err error)) (*Transport, error) {
	opened := &Transport{
		address: address,
		home:    homeOf(address),
		inbox:   inbox,
		urgent:  urgent,
		booted:  make(chan struct{}),
		garbage: garbage,
		clock:   time.Now,
		links:   map[string]*link{},
		inward:  map[string]gnet.Conn{},
	}
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
	plain, err := t.dial(t.address)
	if err != nil {
		return err
	}
	first, err := client.Enroll(plain)
	if err != nil {
		return err
	}
	t.loop = first.EventLoop()
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

// OnOpen is called by gnet for a connection that came in.
func (t *Transport) OnOpen(connection gnet.Conn) ([]byte, gnet.Action) {
	connection.SetContext(&peer{})
	return nil, gnet.None
}

// OnClose is called by gnet for a connection that ended.
func (t *Transport) OnClose(connection gnet.Conn, _ error) gnet.Action {
	if closed, matches := connection.Context().(*peer); matches && t.inward[closed.from] == connection {
		delete(t.inward, closed.from)
	}
	return gnet.None
}

// OnTraffic is called by gnet when bytes came in.
func (t *Transport) OnTraffic(connection gnet.Conn) gnet.Action {
	from, matches := connection.Context().(*peer)
	if !matches {
		return gnet.Close
	}
	for {
		header, err := connection.Peek(headerSize)
		if err != nil {
			return gnet.None
		}
		packed := header[0]&(packedMark>>24) != 0
		length, complete, err := from.length(header)
		if err != nil {
			return t.refuse(connection, err)
		}
		if !complete || connection.InboundBuffered() < headerSize+length {
			return gnet.None
		}
		if _, err := connection.Discard(headerSize); err != nil {
			return gnet.Close
		}
		body, err := connection.Next(length)
		if err != nil {
			return gnet.Close
		}
		t.Counters.BytesIn.Add(int64(headerSize + length))
		if packed {
			err = t.readTurn(connection, from, body)
		} else {
			err = t.readFrame(connection, from, body)
		}
		if err != nil {
			return t.refuse(connection, err)
		}
	}
}

// length reads a header, of a frame or of a packed turn.
func (p *peer) length(header []byte) (int, bool, error) {
	if header[0]&(packedMark>>24) == 0 {
		return FrameLength(header)
	}
	length := int(binary.BigEndian.Uint32(header) &^ packedMark)
	if p.unpacker == nil || length == 0 || length > 2*packMost {
		return 0, false, ErrorFrame.New("a packed turn of %d bytes", length)
	}
	return length, true, nil
}

// readTurn unpacks a turn and reads its frames.
func (t *Transport) readTurn(connection gnet.Conn, from *peer, packed []byte) error {
	body, err := from.unpacker.unpack(packed)
	if err != nil {
		return err
	}
	for len(body) > 0 {
		length, complete, err := FrameLength(body)
		if err != nil {
			return err
		}
		if !complete || len(body) < headerSize+length {
			return ErrorFrame.New("a packed turn ends within a frame")
		}
		if err := t.readFrame(connection, from, body[headerSize:headerSize+length]); err != nil {
			return err
		}
		body = body[headerSize+length:]
	}
	return nil
}

// readFrame takes one message in.
func (t *Transport) readFrame(connection gnet.Conn, from *peer, frame []byte) error {
	meta, message, err := t.reader.decode(frame, from.from)
	if err != nil {
		return err
	}
	if meta.From == "" {
		return ErrorFrame.New("%T from nobody", message)
	}
	if first, names := message.(preamble); names {
		t.named(connection, from, meta.From, first)
		return nil
	}
	t.Counters.MessagesIn.Add(1)
	if impairment := t.impairment.Load(); !anyPrefix(meta.From, impairment.Cuts, impairment.Deaf) {
		t.take(Inbound{Meta: meta, Message: message})
	}
	return nil
}

// named notes whose connection this is. One from each peer is enough, and the
// newest is the one that it writes on.
func (t *Transport) named(connection gnet.Conn, from *peer, address string, first preamble) {
	from.from = address
	if first.Packed && from.unpacker == nil {
		from.unpacker = newUnpacker()
	}
	if older, found := t.inward[address]; found && older != connection {
		_ = older.Close()
	}
	t.inward[address] = connection
}

// take queues what came in. What is of the control state has a queue of its own
// that is emptied first. Where the owner can't keep up the rest is dropped, as a
// network would, rather than hold up everything behind it.
func (t *Transport) take(inbound Inbound) {
	if Urgent(inbound.Message) {
		t.urgent <- inbound
		return
	}
	select {
	case t.inbox <- inbound:
	default:
		t.Counters.Shed.Add(1)
	}
}

func (t *Transport) refuse(connection gnet.Conn, err error) gnet.Action {
	t.Counters.Garbage.Add(1)
	t.garbage(connection.RemoteAddr().String(), err)
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

func (t *Transport) cutTo(address string) bool {
	impairment := t.impairment.Load()
	return anyPrefix(address, impairment.Cuts, impairment.Mutes)
}

// SetImpairment changes what a trial imposes.
func (t *Transport) SetImpairment(impairment Impairment) {
	t.impairment.Store(&impairment)
}

// Compress has turns to other zones packed, on connections made from now
// on.
func (t *Transport) Compress() { t.compresses.Store(true) }

// Watch has connections that end dialled again at once, and addresses that refuse
// that told to the owner.
func (t *Transport) Watch() { t.watches.Store(true) }

// Send queues a message for the end of the turn; it never blocks for long and
// never fails loudly. It is for the owner alone. Until the owner has called
// Flush for the first time, each message goes out at once.
func (t *Transport) Send(to string, version uint64, message any) error {
	return t.SendBefore(to, version, message, time.Time{})
}

// SendBefore is Send for a message that may leave only before a moment, unless
// that is zero: the clock is looked at when its turn is written.
func (t *Transport) SendBefore(to string, version uint64, message any, notAfter time.Time) error {
	if to == t.address {
		t.inbox <- Inbound{Meta: statemachine.Meta{From: t.address, Version: version}, Message: message}
		return nil
	}
	present, found := t.links[to]
	if !found {
		present = &link{to: to, away: homeOf(to) != t.home}
		t.links[to] = present
	}
	start := present.pending.Len()
	if err := appendFrame(&present.pending, "", version, message); err != nil {
		return err
	}
	present.frames++
	if !notAfter.IsZero() {
		present.bounds = append(present.bounds, bound{start: start, end: present.pending.Len(), notAfter: notAfter})
	}
	if present.frames == 1 {
		t.dirty = append(t.dirty, present)
	}
	if !t.turns {
		t.flush()
	}
	return nil
}

// Flush ends a turn: each destination gets the turn's frames in one write.
func (t *Transport) Flush() {
	t.turns = true
	t.flush()
}

func (t *Transport) flush() {
	for position, present := range t.dirty {
		t.put(present)
		present.frames, present.bounds = 0, nil
		if present.pending.Cap() > spareMost {
			present.pending = bytes.Buffer{}
		} else {
			present.pending.Reset()
		}
		t.dirty[position] = nil
	}
	t.dirty = t.dirty[:0]
}

// put writes a turn's frames, or hands them to the dialling loop.
func (t *Transport) put(present *link) {
	present.uses.Add(1)
	turn := chunk{body: present.pending.Bytes(), frames: present.frames, bounds: present.bounds}
	open := present.way.Load()
	if open == nil || open.handed != present.handed || !t.impairment.Load().calm() {
		turn.body = bytes.Clone(turn.body)
		t.handOver(present, turn)
		return
	}
	if turn = t.departing(turn); turn.frames == 0 {
		return
	}
	body := turn.body
	var wrapped []byte
	wrapped, t.scratch = open.socket.wrap(t.scratch, body)
	t.Counters.Writes.Add(1)
	sent, err := open.socket.write(wrapped)
	if err != nil && !errors.Is(err, unix.EAGAIN) {
		t.broken(present, open.socket)
		turn.body = bytes.Clone(body)
		t.handOver(present, turn)
		return
	}
	t.count(present, turn.frames, sent)
	if sent < len(wrapped) {
		t.handOver(present, chunk{body: bytes.Clone(wrapped[sent:]), rest: open.socket})
	}
}

func (t *Transport) count(present *link, frames, sent int) {
	t.Counters.MessagesOut.Add(int64(frames))
	t.Counters.BytesOut.Add(int64(sent))
	if present.away {
		t.Counters.MessagesAway.Add(int64(frames))
		t.Counters.BytesAway.Add(int64(sent))
	}
}

// handOver gives bytes to the dialling loop; the way is closed to the owner until
// that loop has opened it again.
func (t *Transport) handOver(present *link, handed chunk) {
	present.handed++
	t.onLoop(func() { t.accept(present, handed) })
}

// broken tells the dialling loop that a write failed.
func (t *Transport) broken(present *link, failed *socket) {
	t.onLoop(func() {
		if present.socket == failed {
			_ = t.loop.Close(present.wire)
		}
	})
}

func (t *Transport) onLoop(run func()) {
	_ = t.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		run()
		return nil
	}))
}

// What follows is done by the dialling loop alone.

// accept takes what the owner handed over, in pieces of one frame each where a
// trial may treat them unequally.
func (t *Transport) accept(present *link, handed chunk) {
	present.taken++
	if !present.known {
		present.known = true
		t.tended = append(t.tended, present)
	}
	handed.at = time.Now()
	if handed.rest != nil || t.impairment.Load().calm() {
		present.add(handed)
	} else {
		for body := handed.body; len(body) > 0; {
			length, complete, err := FrameLength(body)
			if !complete || err != nil {
				break
			}
			frame := body[:headerSize+length]
			body = body[headerSize+length:]
			piece := chunk{body: frame, frames: 1, at: handed.at, bounds: boundsOf(handed.bounds, len(handed.body)-len(body)-len(frame), len(frame))}
			if delay := t.delay(present.to, frame); delay > 0 {
				piece.due = handed.at.Add(delay)
			}
			present.add(piece)
		}
	}
	for present.queued > queueMost && len(present.queue) > 1 {
		t.drop(present)
	}
	t.pump(present)
}

func (l *link) add(added chunk) {
	l.queue = append(l.queue, added)
	l.queued += len(added.body)
}

func (l *link) pop() chunk {
	first := l.queue[0]
	l.queue[0] = chunk{}
	l.queue = l.queue[1:]
	l.queued -= len(first.body)
	if len(l.queue) == 0 {
		l.queue = nil
	}
	return first
}

// drop loses the oldest of what waits. The rest of a frame can't be lost without
// the connection that has its beginning.
func (t *Transport) drop(present *link) {
	oldest := present.pop()
	t.Counters.Dropped.Add(int64(max(1, oldest.frames)))
	if oldest.rest != nil && oldest.rest == present.socket && present.wire != nil {
		_ = t.loop.Close(present.wire)
	}
}

// pump moves what waits onto the connection, as far as it takes it.
func (t *Transport) pump(present *link) {
	for len(present.queue) > 0 {
		first := present.queue[0]
		switch {
		case first.rest != nil && first.rest != present.socket:
			t.drop(present)
			continue
		case t.cutTo(present.to):
			// What follows goes over a link that is dialled anew.
			t.drop(present)
			if present.wire != nil {
				_ = t.loop.Close(present.wire)
			}
			continue
		case present.wire == nil:
			t.call(present)
			return
		case !first.due.IsZero() && time.Until(first.due) > 0:
			t.arm(present, time.Until(first.due))
			return
		case present.wire.OutboundBuffered() > bufferMost:
			t.arm(present, lookAgain)
			return
		}
		present.pop()
		if first = t.departing(first); len(first.body) == 0 {
			continue
		}
		wrapped := first.body
		if first.rest == nil {
			wrapped, t.wrapping = present.socket.wrap(t.wrapping, first.body)
		}
		t.Counters.Writes.Add(1)
		t.count(present, first.frames, len(wrapped))
		_, _ = present.wire.Write(wrapped)
	}
	switch {
	case present.wire == nil:
	case present.wire.OutboundBuffered() > 0:
		t.arm(present, lookAgain)
	default:
		present.way.Store(&way{socket: present.socket, handed: present.taken})
	}
}

// arm comes back to a link after a while.
func (t *Transport) arm(present *link, wait time.Duration) {
	due := time.Now().Add(wait)
	if !present.armed.IsZero() && !due.Before(present.armed) {
		return
	}
	present.armed = due
	time.AfterFunc(wait, func() {
		t.onLoop(func() {
			present.armed = time.Time{}
			t.pump(present)
		})
	})
}

// call dials, unless that is being done or was tried a moment ago.
func (t *Transport) call(present *link) {
	if present.dialling || t.stopped {
		return
	}
	if wait := time.Until(present.retryAt); wait > 0 {
		t.arm(present, wait)
		return
	}
	present.dialling = true
	go func() {
		plain, err := t.dial(present.to)
		if err == nil {
			_, err = t.client.EnrollContext(plain, present)
		}
		if err != nil {
			t.onLoop(func() { t.missed(present, err) })
		}
	}()
}

func (t *Transport) dial(to string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialLimit, KeepAlive: -1, LocalAddr: &net.TCPAddr{IP: net.ParseIP(hostOf(t.address))}}
	dialer.Control = func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			// Where a system does not know it, a dead peer is found later.
			_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(deafLimit.Milliseconds()))
		})
	}
	return dialer.Dial("tcp", to)
}

// opened takes a connection that was made: who we are goes first.
func (t *Transport) opened(present *link, wire gnet.Conn) gnet.Action {
	present.dialling = false
	descriptor, err := wire.Dup()
	if err != nil {
		t.pauseLink(present)
		return gnet.Close
	}
	t.Counters.Dials.Add(1)
	present.wire, present.socket, present.pause, present.idle = wire, &socket{descriptor: descriptor}, 0, false
	present.openAt = time.Now()
	packs := present.away && t.compresses.Load()
	if packs {
		present.socket.packer = newPacker()
	}
	var first bytes.Buffer
	if err := appendFrame(&first, t.address, 0, preamble{Packed: packs}); err != nil {
		return gnet.Close
	}
	if _, err := wire.Write(first.Bytes()); err != nil {
		return gnet.None
	}
	oldest := time.Now().Add(-staleAfter)
	for len(present.queue) > 0 && present.queue[0].at.Before(oldest) {
		t.drop(present)
	}
	t.pump(present)
	return gnet.None
}

// missed is told of a connection that could not be made.
func (t *Transport) missed(present *link, err error) {
	present.dialling = false
	if t.watches.Load() && errors.Is(err, unix.ECONNREFUSED) {
		select {
		case t.urgent <- Inbound{Meta: statemachine.Meta{From: present.to}, Message: Refused{}}:
		default:
		}
	}
	t.pauseLink(present)
	oldest := time.Now().Add(-staleAfter)
	for len(present.queue) > 0 && present.queue[0].at.Before(oldest) {
		t.drop(present)
	}
	if len(present.queue) > 0 {
		t.call(present)
	}
}

// lost is told of a connection that ended.
func (t *Transport) lost(present *link, wire gnet.Conn) {
	if present.wire != wire {
		return
	}
	present.way.Store(nil)
	present.socket.end()
	present.wire, present.socket = nil, nil
	t.pauseLink(present)
	if t.watches.Load() && !present.idle && !t.stopped {
		wait := probeAfter
		if time.Since(present.openAt) < probeSlowly {
			// Somebody answers and hangs up again and again.
			wait = probeSlowly
		}
		time.AfterFunc(wait, func() {
			t.onLoop(func() {
				if present.wire == nil && !t.cutTo(present.to) {
					present.retryAt = time.Time{}
					t.call(present)
				}
			})
		})
	}
	if len(present.queue) > 0 {
		// The queue is in the hands of whoever ended the connection.
		t.arm(present, present.pause)
	}
}

func (t *Transport) pauseLink(present *link) {
	present.pause = min(max(2*present.pause, pauseLeast), pauseMost)
	present.retryAt = time.Now().Add(present.pause)
}

// sweepLater has connections closed on which nothing went for a while.
func (t *Transport) sweepLater() {
	t.onLoop(func() {
		if t.stopped {
			return
		}
		for _, present := range t.tended {
			uses := present.uses.Load()
			if uses == present.seenUses && present.wire != nil && len(present.queue) == 0 {
				present.idle = true
				_ = t.loop.Close(present.wire)
			}
			present.seenUses = uses
		}
		time.AfterFunc(idleLimit, t.sweepLater)
	})
}

func (t *Transport) delay(to string, frame []byte) time.Duration {
	impairment := t.impairment.Load()
	var delay time.Duration
	for prefix, length := range impairment.Delays {
		if strings.HasPrefix(to, prefix) {
			delay = length
		}
	}
	for prefix, chance := range impairment.Loss {
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
