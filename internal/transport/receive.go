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
			return from.confirm(connection)
		}
		packed := header[0]&(packedMark>>24) != 0
		length, complete, err := from.length(header)
		if err != nil {
			return t.refuse(connection, err)
		}
		if !complete || connection.InboundBuffered() < headerSize+length {
			return from.confirm(connection)
		}
		if _, err := connection.Discard(headerSize); err != nil {
			return gnet.Close
		}
		body, err := connection.Next(length)
		if err != nil {
			return gnet.Close
		}
		t.Counters.BytesIn.Add(int64(headerSize + length))
		from.took += int64(headerSize + length)
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

// confirm tells the sender how many bytes were taken, now and then.
func (p *peer) confirm(connection gnet.Conn) gnet.Action {
	if !p.confirms || !AcknowledgementDue(p.told, p.took) {
		return gnet.None
	}
	p.told = p.took
	if _, err := connection.Write(binary.BigEndian.AppendUint64(nil, uint64(p.told))); err != nil {
		return gnet.Close
	}
	return gnet.None
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
	t.received.add(message, headerSize+len(frame))
	if impairment := t.impairment.Load(); !anyPrefix(meta.From, impairment.Partitioned, impairment.InboundBlocked) {
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
	if from.confirms = t.pace.RequiresAcknowledgements(); !from.confirms {
		_, _ = connection.Write(binary.BigEndian.AppendUint64(nil, uint64(AcknowledgeUnlimited)))
	}
	t.peerIsThere(address)
}

// take queues what came in. What is of the control state has a queue of its own
// that is emptied first. Where the owner can't keep up the rest is dropped, as a
// network would, rather than hold up everything behind it.
func (t *Transport) take(inbound Inbound) {
	if IsControl(inbound.Message) {
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
	t.Counters.Malformed.Add(1)
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
