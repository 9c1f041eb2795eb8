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
	// sumSize is the length of the authentication code, cursorLimit the longest accepted cursor, both
	// in bytes.
	sumSize     = 12
	cursorLimit = 256 << 10

	// codeBadCursor is the error code of a cursor that is forged, damaged or of another layout.
	codeBadCursor = "bad-cursor"
)

// position is how far one partition was delivered to a client: all that its interests match up to
// Floor, and the offsets Extras above it. Since has, by Interest.key, the offsets of the interests that
// began above Floor. Its encoding is part of the cursor layout.
type position struct {
	_      struct{} `cbor:",toarray"`
	Floor  uint64
	Extras []uint64
	Since  map[string]uint64
}

// cursor is the position of a client in spaces without routed topics. Partitions are by partition name,
// Marks the newest sequences seen in ephemeral spaces, by space and sender. Its encoding is the cursor
// layout. Cursors of routed topics are only an offset: see formatTopicCursor.
type cursor struct {
	_          struct{} `cbor:",toarray"`
	Layout     uint8
	Client     string
	Interests  []Interest
	Partitions map[string]position
	Marks      map[string]map[string]uint64
}

// sign returns the authentication code of an encoded cursor.
func sign(key, body []byte) []byte {
	sum := hmac.New(sha256.New, key)
	_, _ = sum.Write([]byte("cursor"))
	_, _ = sum.Write(body)
	return sum.Sum(nil)[:sumSize]
}

// seal encodes and signs a cursor.
func seal(key []byte, contents cursor) string {
	body := transport.MustMarshal(contents)
	return base64.RawURLEncoding.EncodeToString(append(sign(key, body), body...))
}

// openCursor verifies and decodes the cursor of a client; the code says why it is rejected.
func openCursor(key []byte, client, text string) (cursor, string) {
	if len(text) > cursorLimit {
		return cursor{}, codeBadCursor
	}
	packed, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(packed) <= sumSize || !hmac.Equal(packed[:sumSize], sign(key, packed[sumSize:])) {
		return cursor{}, codeBadCursor
	}
	var contents cursor
	if err := transport.Unmarshal(packed[sumSize:], &contents); err != nil || contents.Layout != cursorLayout {
		return cursor{}, codeBadCursor
	}
	if contents.Client != client {
		return cursor{}, "other-origin"
	}
	return contents, ""
}

// cursor returns the sealed position of a session. It is empty while a subscription
// of the session is being filled, or if it has none: the earlier cursor of the client
// stays valid then.
func (g *Gateway) cursor(now time.Time, session *session) string {
	if len(session.subscriptions) == 0 || session.backlogFloors == nil && session.isFilling() {
		return ""
	}
	result := cursor{
		Layout:     cursorLayout,
		Client:     session.client,
		Partitions: map[string]position{},
		Marks:      map[string]map[string]uint64{},
	}
	g.addInterests(&result, session)
	// What is still buffered, or belongs to a backlog that is being delivered, was
	// not delivered yet.
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

// lowerFloor lowers the floor of a partition to an offset, unless it is lower already.
func (c *cursor) lowerFloor(name string, offset uint64) {
	present, found := c.Partitions[name]
	if !found || offset < present.Floor {
		present.Floor = offset
	}
	c.Partitions[name] = present
}

// addInterests adds the subscriptions that are live, and how far their partitions are verified.
func (g *Gateway) addInterests(result *cursor, session *session) {
	for interest, subscription := range session.subscriptions {
		if subscription.filling {
			continue
		}
		result.Interests = append(result.Interests, interest)
		for name, since := range subscription.since {
			if tracker, topic := g.trackers[name]; topic {
				since = max(since, tracker.verified)
			}
			result.lowerFloor(name, since)
		}
	}
	slices.SortFunc(result.Interests, compareInterests)
}

// addExtras adds what the client has above the floor of a partition, and the interests
// that began above it.
func (c *session) addExtras(name string, at position) position {
	at.Extras = c.extras(name, at.Floor)
	slices.Sort(at.Extras)
	if c.backlogFloors != nil {
		return at
	}
	for interest, subscription := range c.subscriptions {
		since, found := subscription.since[name]
		if !found || subscription.filling || since <= at.Floor {
			continue
		}
		if at.Since == nil {
			at.Since = map[string]uint64{}
		}
		at.Since[interest.key()] = since
	}
	return at
}

// addSequences adds the newest sequence of each sender that was seen lately in ephemeral spaces.
func (c *session) addSequences(now time.Time, result *cursor) {
	for space, marks := range c.sequences {
		newest := map[string]uint64{}
		for sender, mark := range marks {
			if now.Sub(mark.at) < sequenceRetention {
				newest[sender] = mark.seq
			}
		}
		if len(newest) > 0 {
			result.Marks[space] = newest
		}
	}
}

// key names the interest within its space: its kind, "t" for a topic and "w" for a prefix, and its
// path.
func (i Interest) key() string {
	wide := "t"
	if i.Prefix {
		wide = "w"
	}
	return wide + i.Path
}

// compareInterests orders interests by space and key.
func compareInterests(left, right Interest) int {
	if order := strings.Compare(left.Space, right.Space); order != 0 {
		return order
	}
	return strings.Compare(left.key(), right.key())
}

// extras returns the offsets above a floor that were delivered to the client. Usually floors only
// rise, and offsets below one are forgotten; while a backlog is delivered the floor is an older
// one, and all remembered offsets count.
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
