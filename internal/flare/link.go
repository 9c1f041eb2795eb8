// The gnet adapter. A daemon listens with one gnet engine and dials with one
// gnet client; frames to a peer travel on the connection that the sender
// dialled, so that the two directions are independent and each is in order.
//
// The owner of the machine sends: Send queues frames, and Flush hands each
// destination all of a turn's frames in one write. While a connection takes
// them, that write is made at once by the owner, without a wait and without a
// task of the link's own. In all other cases (no connection yet, a peer that does
// not read, weather that a trial asks for) the bytes go to the dialling loop,
// which alone tends what is not plain: it dials with growing pauses, keeps what
// waits within a bound by dropping the oldest, and gives the link back to the
// owner once nothing waits. Losing frames is something the machines expect.
package flare

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

	"dahlialock/internal/helm"
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
	Meta    helm.Meta
	Message any
}

// Refused is the note that nobody listens at an address, as its machine says.
type Refused struct{}

// Weather is what a trial imposes on links, by prefix of the other's address:
// cuts are both ways, mutes only outwards, and deaf only inwards.
type Weather struct {
	Delays map[string]time.Duration
	Loss   map[string]float64
	Cuts   []string
	Mutes  []string
	Deaf   []string
}

func (weather *Weather) calm() bool {
	return len(weather.Delays)+len(weather.Loss)+len(weather.Cuts)+len(weather.Mutes)+len(weather.Deaf) == 0
}

// Counters are running sums, read by anyone and written by the links.
type Counters struct {
	MessagesOut, BytesOut, MessagesIn, BytesIn, Dropped, Garbage, Shed atomic.Int64
	MessagesAway, BytesAway                                            atomic.Int64
	// Writes are system calls that wrote to links, Dials connections made.
	Writes, Dials atomic.Int64
}

// Flare is a daemon's end of all its links.
type Flare struct {
	gnet.BuiltinEventEngine
	address  string
	home     string
	inbox    chan<- Inbound
	urgent   chan<- Inbound
	client   *gnet.Client
	engine   gnet.Engine
	booted   chan struct{}
	ended    <-chan error
	weather  atomic.Pointer[Weather]
	garbage  func(remote string, fault error)
	Counters Counters

	// Of the owner: links by destination, those with frames of this turn, and
	// whether the owner ends its turns with Flush.
	links   map[string]*link
	dirty   []*link
	turns   bool
	scratch []byte

	// compresses is set where turns to other localities are packed.
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
	at     time.Time
	due    time.Time
	rest   *socket
}

// clientEvents is the dialling loop's side of connections; their context is
// their link.
type clientEvents struct {
	gnet.BuiltinEventEngine
	flare *Flare
}

func (events *clientEvents) OnOpen(connection gnet.Conn) ([]byte, gnet.Action) {
	opened, matches := connection.Context().(*link)
	if !matches {
		return nil, gnet.None
	}
	return nil, events.flare.opened(opened, connection)
}

func (events *clientEvents) OnClose(connection gnet.Conn, _ error) gnet.Action {
	if closed, matches := connection.Context().(*link); matches {
		events.flare.lost(closed, connection)
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
		address: address,
		home:    homeOf(address),
		inbox:   inbox,
		urgent:  urgent,
		booted:  make(chan struct{}),
		garbage: garbage,
		links:   map[string]*link{},
		inward:  map[string]gnet.Conn{},
	}
	opened.weather.Store(&Weather{})
	// gnet's pool of tasks, which nothing here uses, would wake up twice a second.
	goroutine.DefaultWorkerPool.Release()
	probe, fault := net.Listen("tcp", address)
	if fault != nil {
		return nil, fault
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
	case fault := <-failed:
		return nil, fault
	}
	if fault := opened.openClient(); fault != nil {
		return nil, fault
	}
	return opened, nil
}

// openClient starts the dialling loop. gnet names a loop only through one of its
// connections, so that the first one goes to our own address, and ends at once.
func (flare *Flare) openClient() error {
	client, fault := gnet.NewClient(&clientEvents{flare: flare}, gnet.WithLogLevel(logging.ErrorLevel), gnet.WithLogger(silent{}),
		gnet.WithNumEventLoop(1), gnet.WithReadBufferCap(1<<10))
	if fault != nil {
		return fault
	}
	if fault := client.Start(); fault != nil {
		return fault
	}
	flare.client = client
	plain, fault := flare.dial(flare.address)
	if fault != nil {
		return fault
	}
	first, fault := client.Enroll(plain)
	if fault != nil {
		return fault
	}
	flare.loop = first.EventLoop()
	_ = first.Close()
	time.AfterFunc(idleLimit, flare.sweepLater)
	return nil
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

// OnOpen is called by gnet for a connection that came in.
func (flare *Flare) OnOpen(connection gnet.Conn) ([]byte, gnet.Action) {
	connection.SetContext(&peer{})
	return nil, gnet.None
}

// OnClose is called by gnet for a connection that ended.
func (flare *Flare) OnClose(connection gnet.Conn, _ error) gnet.Action {
	if closed, matches := connection.Context().(*peer); matches && flare.inward[closed.from] == connection {
		delete(flare.inward, closed.from)
	}
	return gnet.None
}

// OnTraffic is called by gnet when bytes came in.
func (flare *Flare) OnTraffic(connection gnet.Conn) gnet.Action {
	from, matches := connection.Context().(*peer)
	if !matches {
		return gnet.Close
	}
	for {
		header, fault := connection.Peek(headerSize)
		if fault != nil {
			return gnet.None
		}
		packed := header[0]&(packedMark>>24) != 0
		length, complete, fault := from.length(header)
		if fault != nil {
			return flare.refuse(connection, fault)
		}
		if !complete || connection.InboundBuffered() < headerSize+length {
			return gnet.None
		}
		if _, fault := connection.Discard(headerSize); fault != nil {
			return gnet.Close
		}
		body, fault := connection.Next(length)
		if fault != nil {
			return gnet.Close
		}
		flare.Counters.BytesIn.Add(int64(headerSize + length))
		if packed {
			fault = flare.readTurn(connection, from, body)
		} else {
			fault = flare.readFrame(connection, from, body)
		}
		if fault != nil {
			return flare.refuse(connection, fault)
		}
	}
}

// length reads a header, of a frame or of a packed turn.
func (peer *peer) length(header []byte) (int, bool, error) {
	if header[0]&(packedMark>>24) == 0 {
		return FrameLength(header)
	}
	length := int(binary.BigEndian.Uint32(header) &^ packedMark)
	if peer.unpacker == nil || length == 0 || length > 2*packMost {
		return 0, false, ErrorFrame.New("a packed turn of %d bytes", length)
	}
	return length, true, nil
}

// readTurn unpacks a turn and reads its frames.
func (flare *Flare) readTurn(connection gnet.Conn, from *peer, packed []byte) error {
	body, fault := from.unpacker.unpack(packed)
	if fault != nil {
		return fault
	}
	for len(body) > 0 {
		length, complete, fault := FrameLength(body)
		if fault != nil {
			return fault
		}
		if !complete || len(body) < headerSize+length {
			return ErrorFrame.New("a packed turn ends within a frame")
		}
		if fault := flare.readFrame(connection, from, body[headerSize:headerSize+length]); fault != nil {
			return fault
		}
		body = body[headerSize+length:]
	}
	return nil
}

// readFrame takes one message in.
func (flare *Flare) readFrame(connection gnet.Conn, from *peer, frame []byte) error {
	meta, message, fault := flare.reader.decode(frame, from.from)
	if fault != nil {
		return fault
	}
	if meta.From == "" {
		return ErrorFrame.New("%T from nobody", message)
	}
	if first, names := message.(preamble); names {
		flare.named(connection, from, meta.From, first)
		return nil
	}
	flare.Counters.MessagesIn.Add(1)
	if weather := flare.weather.Load(); !anyPrefix(meta.From, weather.Cuts, weather.Deaf) {
		flare.take(Inbound{Meta: meta, Message: message})
	}
	return nil
}

// named notes whose connection this is. One from each peer is enough, and the
// newest is the one that it writes on.
func (flare *Flare) named(connection gnet.Conn, from *peer, address string, first preamble) {
	from.from = address
	if first.Packed && from.unpacker == nil {
		from.unpacker = newUnpacker()
	}
	if older, found := flare.inward[address]; found && older != connection {
		_ = older.Close()
	}
	flare.inward[address] = connection
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

func (flare *Flare) cutTo(address string) bool {
	weather := flare.weather.Load()
	return anyPrefix(address, weather.Cuts, weather.Mutes)
}

// SetWeather changes what a trial imposes.
func (flare *Flare) SetWeather(weather Weather) {
	flare.weather.Store(&weather)
}

// Compress has turns to other localities packed, on connections made from now
// on.
func (flare *Flare) Compress() { flare.compresses.Store(true) }

// Watch has connections that end dialled again at once, and addresses that refuse
// that told to the owner.
func (flare *Flare) Watch() { flare.watches.Store(true) }

// Send queues a message for the end of the turn; it never blocks for long and
// never fails loudly. It is for the owner alone. Until the owner has called
// Flush for the first time, each message goes out at once.
func (flare *Flare) Send(to string, version uint64, message any) error {
	if to == flare.address {
		flare.inbox <- Inbound{Meta: helm.Meta{From: flare.address, Version: version}, Message: message}
		return nil
	}
	present, found := flare.links[to]
	if !found {
		present = &link{to: to, away: homeOf(to) != flare.home}
		flare.links[to] = present
	}
	if fault := appendFrame(&present.pending, "", version, message); fault != nil {
		return fault
	}
	present.frames++
	if present.frames == 1 {
		flare.dirty = append(flare.dirty, present)
	}
	if !flare.turns {
		flare.flush()
	}
	return nil
}

// Flush ends a turn: each destination gets the turn's frames in one write.
func (flare *Flare) Flush() {
	flare.turns = true
	flare.flush()
}

func (flare *Flare) flush() {
	for position, present := range flare.dirty {
		flare.put(present)
		present.frames = 0
		if present.pending.Cap() > spareMost {
			present.pending = bytes.Buffer{}
		} else {
			present.pending.Reset()
		}
		flare.dirty[position] = nil
	}
	flare.dirty = flare.dirty[:0]
}

// put writes a turn's frames, or hands them to the dialling loop.
func (flare *Flare) put(present *link) {
	present.uses.Add(1)
	body := present.pending.Bytes()
	open := present.way.Load()
	if open == nil || open.handed != present.handed || !flare.weather.Load().calm() {
		flare.handOver(present, chunk{body: bytes.Clone(body), frames: present.frames})
		return
	}
	var wrapped []byte
	wrapped, flare.scratch = open.socket.wrap(flare.scratch, body)
	flare.Counters.Writes.Add(1)
	sent, fault := open.socket.write(wrapped)
	if fault != nil && !errors.Is(fault, unix.EAGAIN) {
		flare.broken(present, open.socket)
		flare.handOver(present, chunk{body: bytes.Clone(body), frames: present.frames})
		return
	}
	flare.count(present, present.frames, sent)
	if sent < len(wrapped) {
		flare.handOver(present, chunk{body: bytes.Clone(wrapped[sent:]), rest: open.socket})
	}
}

func (flare *Flare) count(present *link, frames, sent int) {
	flare.Counters.MessagesOut.Add(int64(frames))
	flare.Counters.BytesOut.Add(int64(sent))
	if present.away {
		flare.Counters.MessagesAway.Add(int64(frames))
		flare.Counters.BytesAway.Add(int64(sent))
	}
}

// handOver gives bytes to the dialling loop; the way is closed to the owner until
// that loop has opened it again.
func (flare *Flare) handOver(present *link, handed chunk) {
	present.handed++
	flare.onLoop(func() { flare.accept(present, handed) })
}

// broken tells the dialling loop that a write failed.
func (flare *Flare) broken(present *link, failed *socket) {
	flare.onLoop(func() {
		if present.socket == failed {
			_ = flare.loop.Close(present.wire)
		}
	})
}

func (flare *Flare) onLoop(run func()) {
	_ = flare.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		run()
		return nil
	}))
}

// What follows is done by the dialling loop alone.

// accept takes what the owner handed over, in pieces of one frame each where a
// trial may treat them unequally.
func (flare *Flare) accept(present *link, handed chunk) {
	present.taken++
	if !present.known {
		present.known = true
		flare.tended = append(flare.tended, present)
	}
	handed.at = time.Now()
	if handed.rest != nil || flare.weather.Load().calm() {
		present.add(handed)
	} else {
		for body := handed.body; len(body) > 0; {
			length, complete, fault := FrameLength(body)
			if !complete || fault != nil {
				break
			}
			frame := body[:headerSize+length]
			body = body[headerSize+length:]
			piece := chunk{body: frame, frames: 1, at: handed.at}
			if delay := flare.delay(present.to, frame); delay > 0 {
				piece.due = handed.at.Add(delay)
			}
			present.add(piece)
		}
	}
	for present.queued > queueMost && len(present.queue) > 1 {
		flare.drop(present)
	}
	flare.pump(present)
}

func (link *link) add(added chunk) {
	link.queue = append(link.queue, added)
	link.queued += len(added.body)
}

func (link *link) pop() chunk {
	first := link.queue[0]
	link.queue[0] = chunk{}
	link.queue = link.queue[1:]
	link.queued -= len(first.body)
	if len(link.queue) == 0 {
		link.queue = nil
	}
	return first
}

// drop loses the oldest of what waits. The rest of a frame can't be lost without
// the connection that has its beginning.
func (flare *Flare) drop(present *link) {
	oldest := present.pop()
	flare.Counters.Dropped.Add(int64(max(1, oldest.frames)))
	if oldest.rest != nil && oldest.rest == present.socket && present.wire != nil {
		_ = flare.loop.Close(present.wire)
	}
}

// pump moves what waits onto the connection, as far as it takes it.
func (flare *Flare) pump(present *link) {
	for len(present.queue) > 0 {
		first := present.queue[0]
		switch {
		case first.rest != nil && first.rest != present.socket:
			flare.drop(present)
			continue
		case flare.cutTo(present.to):
			// What follows goes over a link that is dialled anew.
			flare.drop(present)
			if present.wire != nil {
				_ = flare.loop.Close(present.wire)
			}
			continue
		case present.wire == nil:
			flare.call(present)
			return
		case !first.due.IsZero() && time.Until(first.due) > 0:
			flare.arm(present, time.Until(first.due))
			return
		case present.wire.OutboundBuffered() > bufferMost:
			flare.arm(present, lookAgain)
			return
		}
		present.pop()
		wrapped := first.body
		if first.rest == nil {
			wrapped, flare.wrapping = present.socket.wrap(flare.wrapping, first.body)
		}
		flare.Counters.Writes.Add(1)
		flare.count(present, first.frames, len(wrapped))
		_, _ = present.wire.Write(wrapped)
	}
	switch {
	case present.wire == nil:
	case present.wire.OutboundBuffered() > 0:
		flare.arm(present, lookAgain)
	default:
		present.way.Store(&way{socket: present.socket, handed: present.taken})
	}
}

// arm comes back to a link after a while.
func (flare *Flare) arm(present *link, wait time.Duration) {
	due := time.Now().Add(wait)
	if !present.armed.IsZero() && !due.Before(present.armed) {
		return
	}
	present.armed = due
	time.AfterFunc(wait, func() {
		flare.onLoop(func() {
			present.armed = time.Time{}
			flare.pump(present)
		})
	})
}

// call dials, unless that is being done or was tried a moment ago.
func (flare *Flare) call(present *link) {
	if present.dialling || flare.stopped {
		return
	}
	if wait := time.Until(present.retryAt); wait > 0 {
		flare.arm(present, wait)
		return
	}
	present.dialling = true
	go func() {
		plain, fault := flare.dial(present.to)
		if fault == nil {
			_, fault = flare.client.EnrollContext(plain, present)
		}
		if fault != nil {
			flare.onLoop(func() { flare.missed(present, fault) })
		}
	}()
}

func (flare *Flare) dial(to string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialLimit, KeepAlive: -1, LocalAddr: &net.TCPAddr{IP: net.ParseIP(hostOf(flare.address))}}
	dialer.Control = func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			// Where a system does not know it, a dead peer is found later.
			_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(deafLimit.Milliseconds()))
		})
	}
	return dialer.Dial("tcp", to)
}

// opened takes a connection that was made: who we are goes first.
func (flare *Flare) opened(present *link, wire gnet.Conn) gnet.Action {
	present.dialling = false
	descriptor, fault := wire.Dup()
	if fault != nil {
		flare.pauseLink(present)
		return gnet.Close
	}
	flare.Counters.Dials.Add(1)
	present.wire, present.socket, present.pause, present.idle = wire, &socket{descriptor: descriptor}, 0, false
	present.openAt = time.Now()
	packs := present.away && flare.compresses.Load()
	if packs {
		present.socket.packer = newPacker()
	}
	var first bytes.Buffer
	if fault := appendFrame(&first, flare.address, 0, preamble{Packed: packs}); fault != nil {
		return gnet.Close
	}
	if _, fault := wire.Write(first.Bytes()); fault != nil {
		return gnet.None
	}
	oldest := time.Now().Add(-staleAfter)
	for len(present.queue) > 0 && present.queue[0].at.Before(oldest) {
		flare.drop(present)
	}
	flare.pump(present)
	return gnet.None
}

// missed is told of a connection that could not be made.
func (flare *Flare) missed(present *link, fault error) {
	present.dialling = false
	if flare.watches.Load() && errors.Is(fault, unix.ECONNREFUSED) {
		select {
		case flare.urgent <- Inbound{Meta: helm.Meta{From: present.to}, Message: Refused{}}:
		default:
		}
	}
	flare.pauseLink(present)
	oldest := time.Now().Add(-staleAfter)
	for len(present.queue) > 0 && present.queue[0].at.Before(oldest) {
		flare.drop(present)
	}
	if len(present.queue) > 0 {
		flare.call(present)
	}
}

// lost is told of a connection that ended.
func (flare *Flare) lost(present *link, wire gnet.Conn) {
	if present.wire != wire {
		return
	}
	present.way.Store(nil)
	present.socket.end()
	present.wire, present.socket = nil, nil
	flare.pauseLink(present)
	if flare.watches.Load() && !present.idle && !flare.stopped {
		wait := probeAfter
		if time.Since(present.openAt) < probeSlowly {
			// Somebody answers and hangs up again and again.
			wait = probeSlowly
		}
		time.AfterFunc(wait, func() {
			flare.onLoop(func() {
				if present.wire == nil && !flare.cutTo(present.to) {
					present.retryAt = time.Time{}
					flare.call(present)
				}
			})
		})
	}
	if len(present.queue) > 0 {
		// The queue is in the hands of whoever ended the connection.
		flare.arm(present, present.pause)
	}
}

func (flare *Flare) pauseLink(present *link) {
	present.pause = min(max(2*present.pause, pauseLeast), pauseMost)
	present.retryAt = time.Now().Add(present.pause)
}

// sweepLater has connections closed on which nothing went for a while.
func (flare *Flare) sweepLater() {
	flare.onLoop(func() {
		if flare.stopped {
			return
		}
		for _, present := range flare.tended {
			uses := present.uses.Load()
			if uses == present.seenUses && present.wire != nil && len(present.queue) == 0 {
				present.idle = true
				_ = flare.loop.Close(present.wire)
			}
			present.seenUses = uses
		}
		time.AfterFunc(idleLimit, flare.sweepLater)
	})
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

func hostOf(address string) string {
	host, _, fault := net.SplitHostPort(address)
	if fault != nil {
		return ""
	}
	return host
}

// Close ends listening and dialling, within two seconds; a second call does
// nothing.
func (flare *Flare) Close() {
	if !flare.closing.CompareAndSwap(false, true) {
		return
	}
	stopped := make(chan struct{})
	flare.onLoop(func() {
		flare.stopped = true
		close(stopped)
	})
	await(stopped)
	// gnet would look for its own end twice a second; its task tells us sooner.
	now, cancel := context.WithCancel(context.Background())
	cancel()
	_ = flare.engine.Stop(now)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = flare.client.Stop()
		<-flare.ended
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
