package gateway

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"slices"
	"strings"
	"time"

	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

const (
	// cursorLayout is the version of the encoding of cursors.
	cursorLayout = 1
	// macSize is the length of the message authentication code, maxCursorSize the length of the longest
	// accepted cursor, both in bytes.
	macSize       = 12
	maxCursorSize = 256 << 10
)

// position describes which records of one partition were delivered to a client: all records up to Floor
// that match its interests, and the records with the offsets Extras above Floor. Since contains the start
// offsets, by Interest.key, of the interests that began above Floor. The encoding of a position is part of
// the cursor layout.
type position struct {
	_      struct{} `cbor:",toarray"`
	Floor  uint64
	Extras []uint64
	Since  map[string]uint64
}

// cursor is the position of a client in spaces without routed topics. Partitions contains the positions
// by partition name, Marks the newest delivered sequences in ephemeral spaces by space and sender. The
// encoding of a cursor is the cursor layout. The cursor of a routed topic consists of an offset only, see
// formatTopicCursor.
type cursor struct {
	_          struct{} `cbor:",toarray"`
	Layout     uint8
	Client     string
	Interests  []Interest
	Partitions map[string]position
	Marks      map[string]map[string]uint64
}

// sign returns the message authentication code of an encoded cursor.
func sign(key, body []byte) []byte {
	sum := hmac.New(sha256.New, key)
	_, _ = sum.Write([]byte("cursor"))
	_, _ = sum.Write(body)
	return sum.Sum(nil)[:macSize]
}

// seal encodes and signs a cursor.
func seal(key []byte, contents cursor) string {
	body := transport.MustMarshal(contents)
	return base64.RawURLEncoding.EncodeToString(append(sign(key, body), body...))
}

// openCursor verifies and decodes the cursor of a client. If the cursor is rejected it returns the error
// code.
func openCursor(key []byte, client, text string) (cursor, string) {
	if len(text) > maxCursorSize {
		return cursor{}, CodeBadCursor
	}
	packed, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(packed) <= macSize || !hmac.Equal(packed[:macSize], sign(key, packed[macSize:])) {
		return cursor{}, CodeBadCursor
	}
	var contents cursor
	if err := transport.Unmarshal(packed[macSize:], &contents); err != nil || contents.Layout != cursorLayout {
		return cursor{}, CodeBadCursor
	}
	if contents.Client != client {
		return cursor{}, CodeOtherClient
	}
	return contents, ""
}

// cursor returns the encoded and signed cursor of a session. It is empty if the session has no
// subscriptions, or if one of them is catching up and no backlog is being delivered: the previous cursor
// of the client stays valid then.
func (g *Gateway) cursor(now time.Time, session *session) string {
	if len(session.subscriptions) == 0 || session.backlogFloors == nil && session.isCatchingUp() {
		return ""
	}
	result := cursor{
		Layout:     cursorLayout,
		Client:     session.client,
		Partitions: map[string]position{},
		Marks:      map[string]map[string]uint64{},
	}
	g.addInterests(&result, session)
	// Buffered records and the rest of a backlog that is being delivered have not been delivered yet,
	// so the floor must be below them.
	for _, recordCopy := range session.buffer {
		if _, live := result.Partitions[recordCopy.Partition]; live {
			result.lowerFloor(recordCopy.Partition, recordCopy.Record.Offset-1)
		}
	}
	for name, at := range session.backlogFloors {
		result.lowerFloor(name, at)
	}
	for name, at := range result.Partitions {
		result.Partitions[name] = session.addExtras(name, at)
	}
	session.addSequences(now, &result)
	return seal(g.settings.Key, result)
}

// lowerFloor lowers the floor of a partition to an offset, unless the floor is lower already.
func (c *cursor) lowerFloor(name string, offset uint64) {
	present, found := c.Partitions[name]
	if !found || offset < present.Floor {
		present.Floor = offset
	}
	c.Partitions[name] = present
}

// addInterests adds the interests whose subscriptions are live, and the verified offsets of their
// partitions.
func (g *Gateway) addInterests(result *cursor, session *session) {
	for interest, subscription := range session.subscriptions {
		if subscription.catchingUp {
			continue
		}
		result.Interests = append(result.Interests, interest)
		for name, since := range subscription.since {
			if tracker, tracked := g.trackers[name]; tracked {
				since = max(since, tracker.verified)
			}
			result.lowerFloor(name, since)
		}
	}
	slices.SortFunc(result.Interests, compareInterests)
}

// addExtras adds the offsets that were delivered above the floor of a partition, and the start offsets of
// the interests that began above the floor.
func (c *session) addExtras(name string, entry position) position {
	entry.Extras = c.extras(name, entry.Floor)
	slices.Sort(entry.Extras)
	if c.backlogFloors != nil {
		return entry
	}
	for interest, subscription := range c.subscriptions {
		since, found := subscription.since[name]
		if !found || subscription.catchingUp || since <= entry.Floor {
			continue
		}
		if entry.Since == nil {
			entry.Since = map[string]uint64{}
		}
		entry.Since[interest.key()] = since
	}
	return entry
}

// addSequences adds the newest sequence of each sender from whom the client recently received a message
// in an ephemeral space.
func (c *session) addSequences(now time.Time, result *cursor) {
	for space, senders := range c.sequences {
		newest := map[string]uint64{}
		for sender, sequence := range senders {
			if now.Sub(sequence.at) < sequenceRetention {
				newest[sender] = sequence.seq
			}
		}
		if len(newest) > 0 {
			result.Marks[space] = newest
		}
	}
}

// key identifies the interest within its space. It consists of the kind, "t" for a topic and "w" for a
// prefix, and the path.
func (i Interest) key() string {
	kind := "t"
	if i.Prefix {
		kind = "w"
	}
	return kind + i.Path
}

// compareInterests orders interests by space and key.
func compareInterests(left, right Interest) int {
	if order := strings.Compare(left.Space, right.Space); order != 0 {
		return order
	}
	return strings.Compare(left.key(), right.key())
}

// extras returns the offsets above a floor that were delivered to the client. Usually a floor never
// decreases, so the offsets below it are removed from deliveredAbove. While a backlog is being delivered
// the floor is lower than before, and all remembered offsets are considered.
func (c *session) extras(name string, floor uint64) []uint64 {
	var extras []uint64
	if statemachine.Mutated("no-client-memory") {
		return nil
	}
	if c.backlogFloors != nil {
		for offset := range c.delivered[name] {
			if offset > floor {
				extras = append(extras, offset)
			}
		}
		return extras
	}
	for offset := range c.deliveredAbove[name] {
		if offset > floor {
			extras = append(extras, offset)
		} else {
			delete(c.deliveredAbove[name], offset)
		}
	}
	return extras
}
