// The accepting side of the links: connections that came in, and their messages.

package transport

import (
	"encoding/binary"
	"strings"

	"github.com/panjf2000/gnet/v2"
)

// OnOpen is called by gnet for a connection that came in.
func (t *Transport) OnOpen(connection gnet.Conn) ([]byte, gnet.Action) {
	connection.SetContext(&peer{})
	return nil, gnet.None
}

// OnClose is called by gnet for a connection that ended.
func (t *Transport) OnClose(connection gnet.Conn, _ error) gnet.Action {
	if closed, matches := connection.Context().(*peer); matches && t.connections[closed.address] == connection {
		delete(t.connections, closed.address)
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
		header, err := connection.Peek(frameHeaderBytes)
		if err != nil {
			return from.acknowledge(connection)
		}
		packed := header[0]&(compressedFlag>>24) != 0
		length, complete, err := from.nextLength(header)
		if err != nil {
			return t.reject(connection, err)
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
		t.Counters.BytesIn.Add(int64(frameHeaderBytes + length))
		from.received += int64(frameHeaderBytes + length)
		if packed {
			err = t.readCompressed(connection, from, body)
		} else {
			err = t.readFrame(connection, from, body)
		}
		if err != nil {
			return t.reject(connection, err)
		}
	}
}

// acknowledge tells the sender how many bytes were taken, now and then.
func (p *peer) acknowledge(connection gnet.Conn) gnet.Action {
	if !p.acknowledges || !AcknowledgementDue(p.acknowledged, p.received) {
		return gnet.None
	}
	p.acknowledged = p.received
	if _, err := connection.Write(binary.BigEndian.AppendUint64(nil, uint64(p.acknowledged))); err != nil {
		return gnet.Close
	}
	return gnet.None
}

// nextLength reads a header, of a frame or of a packed turn.
func (p *peer) nextLength(header []byte) (int, bool, error) {
	if header[0]&(compressedFlag>>24) == 0 {
		return FrameLength(header)
	}
	length := int(binary.BigEndian.Uint32(header) &^ compressedFlag)
	if p.decompressor == nil || length == 0 || length > 2*maxCompressible {
		return 0, false, ErrorFrame.New("a packed turn of %d bytes", length)
	}
	return length, true, nil
}

// readCompressed unpacks a turn and reads its frames.
func (t *Transport) readCompressed(connection gnet.Conn, from *peer, packed []byte) error {
	body, err := from.decompressor.decompress(packed)
	if err != nil {
		return err
	}
	for len(body) > 0 {
		length, complete, err := FrameLength(body)
		if err != nil {
			return err
		}
		if !complete || len(body) < frameHeaderBytes+length {
			return ErrorFrame.New("a packed turn ends within a frame")
		}
		if err := t.readFrame(connection, from, body[frameHeaderBytes:frameHeaderBytes+length]); err != nil {
			return err
		}
		body = body[frameHeaderBytes+length:]
	}
	return nil
}

// readFrame takes one message in.
func (t *Transport) readFrame(connection gnet.Conn, from *peer, frame []byte) error {
	meta, message, err := t.reader.decode(frame, from.address)
	if err != nil {
		return err
	}
	if meta.From == "" {
		return ErrorFrame.New("%T from nobody", message)
	}
	if first, names := message.(preamble); names {
		t.identified(connection, from, meta.From, first)
		return nil
	}
	t.Counters.MessagesIn.Add(1)
	t.received.add(message, frameHeaderBytes+len(frame))
	if impairment := t.impairment.Load(); !anyPrefix(meta.From, impairment.Partitioned, impairment.InboundBlocked) {
		t.deliver(Inbound{Meta: meta, Message: message})
	}
	return nil
}

// identified notes whose connection this is. One from each peer is enough, and the
// newest is the one that it writes on.
func (t *Transport) identified(connection gnet.Conn, from *peer, address string, first preamble) {
	from.address = address
	if first.Compressed && from.decompressor == nil {
		from.decompressor = newDecompressor()
	}
	if older, found := t.connections[address]; found && older != connection {
		_ = older.Close()
	}
	t.connections[address] = connection
	if from.acknowledges = t.pacer.RequiresAcknowledgements(); !from.acknowledges {
		_, _ = connection.Write(binary.BigEndian.AppendUint64(nil, uint64(AcknowledgeUnlimited)))
	}
	t.peerAppeared(address)
}

// deliver queues what came in. What is of the control state has a queue of its own
// that is emptied first. Where the owner can't keep up the rest is dropped, as a
// network would, rather than hold up everything behind it.
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

func (t *Transport) reject(connection gnet.Conn, err error) gnet.Action {
	t.Counters.Malformed.Add(1)
	t.onMalformed(connection.RemoteAddr().String(), err)
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
