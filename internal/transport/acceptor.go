package transport

import (
	"encoding/binary"
	"net"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// keepAliveInterval is the interval of TCP keep-alive probes, which detect accepted
// connections whose peers have disappeared.
const keepAliveInterval = 15 * time.Second

// acceptor accepts connections from peers and decodes their messages. It is the
// event handler of a gnet engine with one loop; its state is only accessed on that
// loop.
type acceptor struct {
	gnet.BuiltinEventEngine
	transport *Transport
	engine    gnet.Engine
	// booted is closed once the engine listens; ended receives the result of the
	// engine when it stops.
	booted chan struct{}
	ended  chan error

	decoder decoder
	// connections has the newest connection from each peer, by the peer's address.
	connections map[string]gnet.Conn
}

func newAcceptor(transport *Transport) *acceptor {
	return &acceptor{
		transport:   transport,
		booted:      make(chan struct{}),
		ended:       make(chan error, 1),
		connections: map[string]gnet.Conn{},
	}
}

// inboundPeer is the state of an accepted connection.
type inboundPeer struct {
	// address is that of the sender, empty until the preamble was received.
	address string
	// decompressor is nil unless the sender compresses batches.
	decompressor *decompressor
	// received counts received bytes; acknowledged is the value of received at the
	// last acknowledgement. Acknowledgements are only sent if acknowledges is set.
	received     int64
	acknowledged int64
	acknowledges bool
}

// start listens on an address.
func (a *acceptor) start(address string) error {
	// gnet sets SO_REUSEPORT, and would share the port with another process that
	// listens on it. The probe fails in that case.
	probe, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	_ = probe.Close()
	options := append(gnetLogging(),
		// With SO_REUSEPORT, gnet accepts and reads in the same loop.
		gnet.WithNumEventLoop(1), gnet.WithReuseAddr(true), gnet.WithReusePort(true),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithTCPKeepAlive(keepAliveInterval))
	go func() { a.ended <- gnet.Run(a, "tcp://"+address, options...) }()
	select {
	case <-a.booted:
		return nil
	case err := <-a.ended:
		return err
	}
}

// OnBoot is called by gnet once the engine listens.
func (a *acceptor) OnBoot(engine gnet.Engine) gnet.Action {
	a.engine = engine
	close(a.booted)
	return gnet.None
}

// OnOpen is called by gnet when a connection was accepted.
func (a *acceptor) OnOpen(connection gnet.Conn) ([]byte, gnet.Action) {
	connection.SetContext(&inboundPeer{})
	return nil, gnet.None
}

// OnClose is called by gnet when a connection has ended.
func (a *acceptor) OnClose(connection gnet.Conn, _ error) gnet.Action {
	if closed, matches := connection.Context().(*inboundPeer); matches && a.connections[closed.address] == connection {
		delete(a.connections, closed.address)
	}
	return gnet.None
}

// OnTraffic is called by gnet when bytes were received. It handles all complete
// frames in the receive buffer.
func (a *acceptor) OnTraffic(connection gnet.Conn) gnet.Action {
	from, matches := connection.Context().(*inboundPeer)
	if !matches {
		return gnet.Close
	}
	for {
		header, err := connection.Peek(frameHeaderBytes)
		if err != nil {
			return from.acknowledge(connection)
		}
		compressed := isCompressed(header)
		length, complete, err := from.nextLength(header)
		if err != nil {
			return a.reject(connection, err)
		}
		if !complete || connection.InboundBuffered() < frameHeaderBytes+length {
			return from.acknowledge(connection)
		}
		if _, err := connection.Discard(frameHeaderBytes); err != nil {
			return gnet.Close
		}
		body, err := connection.Next(length)
		if err != nil {
			return gnet.Close
		}
		size := int64(frameHeaderBytes + length)
		a.transport.Counters.BytesIn.Add(size)
		from.received += size
		if compressed {
			err = a.readCompressed(connection, from, body)
		} else {
			err = a.readFrame(connection, from, body)
		}
		if err != nil {
			return a.reject(connection, err)
		}
	}
}

// isCompressed reports whether a header is that of a compressed batch.
func isCompressed(header []byte) bool {
	const flagInFirstByte = compressedFlag >> 24
	return header[0]&flagInFirstByte != 0
}

// nextLength reads the header of a frame or of a compressed batch, with the results
// of FrameLength.
func (ip *inboundPeer) nextLength(header []byte) (int, bool, error) {
	if !isCompressed(header) {
		return FrameLength(header)
	}
	length := int(binary.BigEndian.Uint32(header) &^ compressedFlag)
	if ip.decompressor == nil || length == 0 || length > 2*maxCompressible {
		return 0, false, ErrorFrame.New("compressed batch of %d bytes is too large, empty or unexpected", length)
	}
	return length, true, nil
}

// acknowledge sends the number of received bytes to the sender if an
// acknowledgement is due.
func (ip *inboundPeer) acknowledge(connection gnet.Conn) gnet.Action {
	if !ip.acknowledges || !AcknowledgementDue(ip.acknowledged, ip.received) {
		return gnet.None
	}
	ip.acknowledged = ip.received
	if err := writeAcknowledgement(connection, ip.acknowledged); err != nil {
		return gnet.Close
	}
	return gnet.None
}

func writeAcknowledgement(connection gnet.Conn, count int64) error {
	_, err := connection.Write(binary.BigEndian.AppendUint64(nil, uint64(count)))
	return err
}

// readCompressed decompresses a batch and reads its frames.
func (a *acceptor) readCompressed(connection gnet.Conn, from *inboundPeer, compressed []byte) error {
	body, err := from.decompressor.decompress(compressed)
	if err != nil {
		return err
	}
	for len(body) > 0 {
		length, complete, err := FrameLength(body)
		if err != nil {
			return err
		}
		if !complete || len(body) < frameHeaderBytes+length {
			return ErrorFrame.New("compressed batch ends within a frame")
		}
		if err := a.readFrame(connection, from, body[frameHeaderBytes:frameHeaderBytes+length]); err != nil {
			return err
		}
		body = body[frameHeaderBytes+length:]
	}
	return nil
}

// readFrame decodes one frame, passed without its length field, and delivers the
// message.
func (a *acceptor) readFrame(connection gnet.Conn, from *inboundPeer, frame []byte) error {
	meta, message, err := a.decoder.decode(frame, from.address)
	if err != nil {
		return err
	}
	if meta.From == "" {
		return ErrorFrame.New("%T received before the address of the sender", message)
	}
	if first, isPreamble := message.(preamble); isPreamble {
		a.handlePreamble(connection, from, meta.From, first)
		return nil
	}
	a.transport.Counters.MessagesIn.Add(1)
	a.transport.received.add(message, frameHeaderBytes+len(frame))
	if !a.transport.impairment.Load().blocksInbound(meta.From) {
		a.transport.deliver(Inbound{Meta: meta, Message: message})
	}
	return nil
}

// handlePreamble handles the preamble of a connection. A peer only writes to the newest
// of its connections, so the older one is closed.
func (a *acceptor) handlePreamble(connection gnet.Conn, from *inboundPeer, address string, first preamble) {
	from.address = address
	if first.Compressed && from.decompressor == nil {
		from.decompressor = newDecompressor()
	}
	if older, found := a.connections[address]; found && older != connection {
		_ = older.Close()
	}
	a.connections[address] = connection
	from.acknowledges = a.transport.pacer.RequiresAcknowledgements()
	if !from.acknowledges {
		_ = writeAcknowledgement(connection, AcknowledgeUnlimited)
	}
	a.transport.dialer.peerAppeared(address)
}

// reject reports and closes a connection on which malformed data was received.
func (a *acceptor) reject(connection gnet.Conn, err error) gnet.Action {
	a.transport.Counters.Malformed.Add(1)
	a.transport.onMalformed(connection.RemoteAddr().String(), err)
	return gnet.Close
}

// deliver queues a message for the owner. If the inbox is full, messages outside of
// the control state are dropped, as by a congested network, so that they don't block
// the messages behind them.
func (t *Transport) deliver(inbound Inbound) {
	if IsControl(inbound.Message) {
		t.control <- inbound
		return
	}
	select {
	case t.inbox <- inbound:
	default:
		t.Counters.Shed.Add(1)
	}
}
