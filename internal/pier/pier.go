// The pier proper: one gnet engine with one event loop reads all connections.
// The commands of one read go to the owner as one piece of work, so that they
// stay in order and cost one wake-up; answers and events gather on the owner's
// turn in a buffer for each connection, and the event loop writes each buffer
// once. Signs of life are answered by the event loop itself. A connection that
// does not read what it is sent, or says nothing for too long, is cut.
package pier

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"

	"dahlialock/internal/berth"
	"dahlialock/internal/helm"
	"dahlialock/internal/lamp"
)

const (
	tickEvery    = time.Second
	unsentMost   = 1 << 20
	waitingMost  = 1024
	namesMost    = 16384
	spareBuffers = 512
	spareSize    = 64 << 10
	comeBack     = 250 * time.Millisecond
)

// Props are what a pier needs.
type Props struct {
	// Address is where callers connect to.
	Address  string
	Berth    *berth.Berth
	Protocol Protocol
	// Admit tells whether a token is the origin's; nil admits everyone.
	Admit func(origin, token string) bool
	// Silent is how long a connection may say nothing; zero means for ever.
	Silent time.Duration
	// ConnectionsMost is how many connections may be open; zero sets no bound.
	ConnectionsMost int
	// UnsentMost is how much may wait for a connection that does not read.
	UnsentMost int
}

// Counters are running sums, read by anyone.
type Counters struct {
	Connections, Refused, Reads, Commands, Writes, BytesOut, Slow, Silent, Unreadable, Restarts atomic.Int64
}

// Sums gives the counters by name; it may be asked before there is a pier.
func (pier *Pier) Sums() map[string]int64 {
	if pier == nil {
		return map[string]int64{}
	}
	counters := &pier.Counters
	return map[string]int64{
		"held": pier.held.Load(), "connections": counters.Connections.Load(), "refused": counters.Refused.Load(), "reads": counters.Reads.Load(),
		"commands": counters.Commands.Load(), "writes": counters.Writes.Load(), "bytes_out": counters.BytesOut.Load(),
		"slow": counters.Slow.Load(), "silent": counters.Silent.Load(), "unreadable": counters.Unreadable.Load(), "restarts": counters.Restarts.Load(),
	}
}

// Pier serves the connections of callers.
type Pier struct {
	gnet.BuiltinEventEngine
	props    Props
	engine   gnet.Engine
	booted   chan struct{}
	stopped  chan struct{}
	closing  atomic.Bool
	spare    chan []byte
	loop     atomic.Pointer[gnet.EventLoop]
	held     atomic.Int64
	Counters Counters

	// What the event loop owns.
	now         time.Time
	connections map[uint64]*connection
	names       map[string]string

	// What the owner owns.
	dirty []*connection
}

// connection is one caller's connection.
type connection struct {
	socket  gnet.Conn
	channel uint64
	waiting atomic.Int32

	// What the event loop owns.
	heardAt time.Time
	open    bool
	closed  bool
	skip    int
	why     string

	// What the owner owns.
	state  state
	origin string
	output []byte
	dirty  bool
	ending bool
	opened bool
}

// state is where a connection stands with the lantern.
type state uint8

const (
	fresh state = iota
	opening
	open
	ended
)

// asked is a command that is on its way to the owner.
type asked struct {
	connection *connection
	about      About
	origin     string
	cursor     string
	body       []byte
	fault      string
	lost       bool
}

// parcel is what goes to a connection at the end of a turn.
type parcel struct {
	connection *connection
	bytes      []byte
	opened     bool
	ending     bool
}

// Start listens and serves until Close.
func Start(props Props) (*Pier, error) {
	if props.UnsentMost == 0 {
		props.UnsentMost = unsentMost
	}
	pier := &Pier{
		props: props, booted: make(chan struct{}, 1), stopped: make(chan struct{}), spare: make(chan []byte, spareBuffers),
		names: map[string]string{},
	}
	probe, fault := net.Listen("tcp", props.Address)
	if fault != nil {
		return nil, fault
	}
	_ = probe.Close()
	failed := make(chan error, 1)
	go pier.serve(failed)
	select {
	case <-pier.booted:
	case fault := <-failed:
		return nil, fault
	}
	props.Berth.EachTurn(pier.flush)
	return pier, nil
}

// serve runs the engine, and runs it again should it end by itself.
func (pier *Pier) serve(failed chan<- error) {
	defer close(pier.stopped)
	for first := true; !pier.closing.Load(); first = false {
		pier.connections = map[uint64]*connection{}
		fault := gnet.Run(pier, "tcp://"+pier.props.Address,
			// With its own listener an event loop accepts by itself.
			gnet.WithNumEventLoop(1), gnet.WithReusePort(true), gnet.WithReuseAddr(true), gnet.WithTicker(true),
			gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithLogLevel(logging.ErrorLevel), gnet.WithLogger(silent{}))
		if first && fault != nil {
			failed <- fault
			return
		}
		if !pier.closing.Load() {
			pier.Counters.Restarts.Add(1)
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// Close ends listening and all connections.
func (pier *Pier) Close() {
	pier.closing.Store(true)
	stopping, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	// What the last turn made goes out first.
	sent := make(chan struct{})
	if pier.inLoop(func() { close(sent) }) {
		select {
		case <-sent:
		case <-stopping.Done():
		}
	}
	_ = pier.engine.Stop(stopping)
	select {
	case <-pier.stopped:
	case <-stopping.Done():
	}
}

// inLoop runs work on the event loop; false if there is none that could.
func (pier *Pier) inLoop(work func()) bool {
	loop := pier.loop.Load()
	if loop == nil {
		return false
	}
	return (*loop).Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		work()
		return nil
	})) == nil
}

// The event loop's side.

// OnBoot is called by gnet once the listener stands.
func (pier *Pier) OnBoot(engine gnet.Engine) gnet.Action {
	pier.engine, pier.now = engine, time.Now()
	select {
	case pier.booted <- struct{}{}:
	default:
	}
	return gnet.None
}

// OnOpen is called by gnet for a new connection.
func (pier *Pier) OnOpen(socket gnet.Conn) ([]byte, gnet.Action) {
	if most := pier.props.ConnectionsMost; most > 0 && len(pier.connections) >= most {
		pier.Counters.Refused.Add(1)
		return nil, gnet.Close
	}
	if len(pier.connections) == 0 {
		loop := socket.EventLoop()
		pier.loop.Store(&loop)
		pier.now = time.Now()
	}
	opened := &connection{socket: socket, channel: mustNumber(), heardAt: pier.now}
	socket.SetContext(opened)
	pier.connections[opened.channel] = opened
	pier.held.Store(int64(len(pier.connections)))
	pier.Counters.Connections.Add(1)
	return nil, gnet.None
}

// OnClose is called by gnet when a connection is over, whoever ended it.
func (pier *Pier) OnClose(socket gnet.Conn, _ error) gnet.Action {
	over, matches := socket.Context().(*connection)
	if !matches || over.closed {
		return gnet.None
	}
	over.closed = true
	delete(pier.connections, over.channel)
	pier.held.Store(int64(len(pier.connections)))
	why := over.why
	if why == "" {
		why = "closed"
	}
	pier.props.Berth.Within(func(owner berth.Owner) { pier.over(owner, over, why) })
	return gnet.None
}

// OnTraffic is called by gnet when bytes came in.
func (pier *Pier) OnTraffic(socket gnet.Conn) gnet.Action {
	from, matches := socket.Context().(*connection)
	if !matches || from.why != "" {
		_, _ = socket.Discard(-1)
		return gnet.None
	}
	pier.Counters.Reads.Add(1)
	from.heardAt = pier.now
	unread, fault := socket.Peek(-1)
	if fault != nil {
		return gnet.Close
	}
	whole := len(unread)
	if from.skip > 0 {
		skipped := min(from.skip, len(unread))
		from.skip -= skipped
		unread = unread[skipped:]
	}
	var batch []asked
	var pongs []byte
	for len(unread) > 0 && from.skip == 0 {
		command, used := pier.props.Protocol.Read(unread)
		if used == 0 {
			break
		}
		if used > len(unread) {
			from.skip, used = used-len(unread), len(unread)
		}
		unread = unread[used:]
		if command.Kind == Ping && command.Fault == "" && from.open {
			pongs = pier.props.Protocol.AppendPong(pongs)
			continue
		}
		if batch == nil {
			batch = make([]asked, 0, 4)
		}
		batch = append(batch, pier.ask(from, command))
		if command.Lost {
			// Nothing more can be read; the refusal goes out, then the end.
			from.why, unread = "unreadable", nil
		}
	}
	if taken := whole - len(unread); taken > 0 {
		// Nothing to discard would mean everything to gnet.
		_, _ = socket.Discard(taken)
	}
	if len(pongs) > 0 {
		_, _ = socket.Write(pongs)
		pier.Counters.Writes.Add(1)
	}
	if len(batch) == 0 {
		return gnet.None
	}
	pier.Counters.Commands.Add(int64(len(batch)))
	if from.waiting.Add(int32(len(batch))) > waitingMost {
		pier.Counters.Slow.Add(1)
		from.why = "slow"
		return gnet.Close
	}
	if !pier.props.Berth.Within(func(owner berth.Owner) { pier.take(owner, batch) }) {
		return gnet.Close
	}
	return gnet.None
}

// ask makes a command last beyond the bytes that it was read from.
func (pier *Pier) ask(from *connection, command Command) asked {
	made := asked{
		connection: from, fault: command.Fault, lost: command.Lost,
		about: About{Kind: command.Kind, Word: pier.name(command.Word), Topic: pier.name(command.Topic), Seq: command.Seq},
	}
	if command.Fault != "" {
		pier.Counters.Unreadable.Add(1)
		return made
	}
	made.origin, made.cursor = string(command.Origin), string(command.Cursor)
	if command.Kind == Open && pier.props.Admit != nil && !pier.props.Admit(made.origin, string(command.Token)) {
		made.fault = CodeStranger
		return made
	}
	if len(command.Body) > 0 {
		made.body = append(make([]byte, 0, len(command.Body)), command.Body...)
	}
	return made
}

// name keeps one text for each name that comes again and again.
func (pier *Pier) name(text []byte) string {
	if known, found := pier.names[string(text)]; found {
		return known
	}
	if len(pier.names) >= namesMost {
		clear(pier.names)
	}
	made := string(text)
	pier.names[made] = made
	return made
}

// OnTick is called by gnet each second, on a task of its own.
func (pier *Pier) OnTick() (time.Duration, gnet.Action) {
	if pier.held.Load() > 0 {
		pier.inLoop(pier.tick)
	}
	return tickEvery, gnet.None
}

// tick cuts who is silent. The lantern leaves that to the pier, so that signs of
// life don't wake it.
func (pier *Pier) tick() {
	pier.now = time.Now()
	if pier.props.Silent == 0 {
		return
	}
	for _, each := range pier.connections {
		// When it was heard is only known to a tick.
		if pier.now.Sub(each.heardAt) > pier.props.Silent+tickEvery && each.why == "" {
			pier.Counters.Silent.Add(1)
			pier.cut(each, "silent")
		}
	}
}

// cut ends a connection; what was written before still goes out.
func (pier *Pier) cut(each *connection, why string) {
	if each.closed {
		return
	}
	if each.why == "" {
		each.why = why
	}
	_ = each.socket.Close()
}

// send writes what a turn made.
func (pier *Pier) send(parcels []parcel) {
	for _, each := range parcels {
		to := each.connection
		if !to.closed && len(each.bytes) > 0 {
			_, _ = to.socket.Write(each.bytes)
			pier.Counters.Writes.Add(1)
			pier.Counters.BytesOut.Add(int64(len(each.bytes)))
			if !to.closed && to.socket.OutboundBuffered() > pier.props.UnsentMost {
				pier.Counters.Slow.Add(1)
				pier.cut(to, "slow")
			}
		}
		to.open = to.open || each.opened
		if each.ending {
			pier.cut(to, "ended")
		}
		if cap(each.bytes) <= spareSize {
			select {
			case pier.spare <- each.bytes[:0]:
			default:
			}
		}
	}
}

// The owner's side.

// flush hands what the turn made to the event loop.
func (pier *Pier) flush() {
	if len(pier.dirty) == 0 {
		return
	}
	parcels := make([]parcel, 0, len(pier.dirty))
	for position, each := range pier.dirty {
		parcels = append(parcels, parcel{connection: each, bytes: each.output, opened: each.opened, ending: each.ending})
		each.output, each.dirty, each.opened = nil, false, false
		pier.dirty[position] = nil
	}
	pier.dirty = pier.dirty[:0]
	pier.inLoop(func() { pier.send(parcels) })
}

// buffer gives what gathers for a connection, to append to.
func (pier *Pier) buffer(to *connection) []byte {
	if to.output != nil {
		return to.output
	}
	select {
	case spare := <-pier.spare:
		return spare
	default:
		return nil
	}
}

// gather keeps what was appended until the end of the turn.
func (pier *Pier) gather(to *connection, output []byte) {
	to.output = output
	if len(output) > 0 {
		pier.mark(to)
	}
}

// mark has the event loop look at a connection at the end of the turn.
func (pier *Pier) mark(to *connection) {
	if !to.dirty {
		to.dirty = true
		pier.dirty = append(pier.dirty, to)
	}
}

func (pier *Pier) answer(to *connection, about About, answer lamp.Answer) {
	to.waiting.Add(-1)
	if to.state == ended {
		return
	}
	pier.gather(to, pier.props.Protocol.AppendAnswer(pier.buffer(to), about, answer))
}

func refused(code string, back time.Duration) lamp.Answer {
	return lamp.Answer{Outcome: lamp.OutcomeRefused, Code: code, RetryAfter: back}
}

// take does what one read of a connection brought.
func (pier *Pier) take(owner berth.Owner, batch []asked) {
	for position := range batch {
		command := &batch[position]
		from, about := command.connection, command.about
		switch {
		case command.fault != "":
			pier.answer(from, about, refused(command.fault, 0))
			if command.lost {
				pier.end(from)
			}
		case about.Kind == Open && from.state == fresh:
			pier.open(owner, command)
		case about.Kind == Open:
			pier.answer(from, about, refused(CodeTwice, 0))
		case from.state != open:
			pier.answer(from, about, refused(CodeNotOpen, comeBack))
		case about.Kind == Ping:
			// It came before the event loop heard that the channel is open.
			from.waiting.Add(-1)
			pier.gather(from, pier.props.Protocol.AppendPong(pier.buffer(from)))
		default:
			pier.carry(owner, command)
		}
	}
}

func (pier *Pier) open(owner berth.Owner, command *asked) {
	from, about := command.connection, command.about
	from.state, from.origin = opening, command.origin
	owner.Attach(from.channel, func(deliver helm.Deliver) { pier.deliver(from, deliver) })
	owner.Ask(func(visit uint64) any {
		return lamp.OpenChannel{Visit: visit, Channel: from.channel, Name: strconv.FormatUint(from.channel, 16), Origin: command.origin, Lines: true}
	}, func(value any) {
		answer := answerOf(value)
		if from.state == opening {
			from.state = fresh
			if answer.Outcome == lamp.OutcomeAccepted {
				from.state, from.opened = open, true
			}
		}
		if from.state != open {
			owner.Detach(from.channel)
		}
		pier.answer(from, about, answer)
	})
}

// answerOf is the lantern's answer; where it ended, nobody can tell what became
// of what it was asked.
func answerOf(value any) lamp.Answer {
	if answer, matches := value.(lamp.Answer); matches {
		return answer
	}
	return lamp.Answer{Outcome: lamp.OutcomeUnsettled, Code: CodeStopping, RetryAfter: comeBack}
}

func (pier *Pier) carry(owner berth.Owner, command *asked) {
	from, about := command.connection, command.about
	owner.Ask(func(visit uint64) any {
		switch about.Kind {
		case Subscribe:
			return lamp.Subscribe{
				Visit: visit, Channel: from.channel, Origin: from.origin, Interests: []lamp.Interest{{Path: about.Topic}}, Cursor: command.cursor,
			}
		case Unsubscribe:
			return lamp.Unsubscribe{Visit: visit, Channel: from.channel, Origin: from.origin, Interests: []lamp.Interest{{Path: about.Topic}}}
		case Publish:
			return lamp.Publish{Visit: visit, Origin: from.origin, Sender: from.origin, Topic: about.Topic, Seq: about.Seq, Data: command.body}
		default:
			return lamp.Count{Visit: visit, Channel: from.channel, Origin: from.origin, Topic: about.Topic}
		}
	}, func(value any) { pier.answer(from, about, answerOf(value)) })
}

// deliver takes an event of the lantern.
func (pier *Pier) deliver(to *connection, deliver helm.Deliver) {
	if to.state == ended {
		return
	}
	if event, matches := deliver.Event.(lamp.Event); matches {
		pier.gather(to, pier.props.Protocol.AppendEvent(pier.buffer(to), event))
	}
	if deliver.Close {
		pier.end(to)
	}
}

// end closes a connection after what was written.
func (pier *Pier) end(to *connection) {
	to.ending, to.state = true, ended
	pier.mark(to)
}

// over ends the channel of a connection that is gone.
func (pier *Pier) over(owner berth.Owner, gone *connection, why string) {
	had := gone.state
	gone.state = ended
	if had == fresh {
		return
	}
	owner.Detach(gone.channel)
	owner.Post(lamp.CloseChannel{Channel: gone.channel, Why: why})
}

func mustNumber() uint64 {
	var body [8]byte
	for {
		if _, fault := rand.Read(body[:]); fault != nil {
			panic(fault)
		}
		if number := binary.LittleEndian.Uint64(body[:]); number != 0 {
			return number
		}
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
