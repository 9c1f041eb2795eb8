// A cursor is a returning client's place: what it subscribes to, how far each
// partition was handed to it, and the newest seq of each sender it saw in passing
// spaces. It is opaque to callers, bound to its origin by a keyed sum, and
// refused if forged, of another origin, or of an unknown layout.

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
	cursorLayout = 1
	sumSize      = 12
	cursorLimit  = 256 << 10
)

type position struct {
	_      struct{} `cbor:",toarray"`
	Floor  uint64
	Extras []uint64
	Since  map[string]uint64
}

type cursor struct {
	_          struct{} `cbor:",toarray"`
	Layout     uint8
	Client     string
	Interests  []Interest
	Partitions map[string]position
	Marks      map[string]map[string]uint64
}

func sign(key, body []byte) []byte {
	sum := hmac.New(sha256.New, key)
	_, _ = sum.Write([]byte("cursor"))
	_, _ = sum.Write(body)
	return sum.Sum(nil)[:sumSize]
}

func seal(key []byte, contents cursor) string {
	body := transport.MustMarshal(contents)
	return base64.RawURLEncoding.EncodeToString(append(sign(key, body), body...))
}

// openCursor reads a cursor; the code says why it is refused.
func openCursor(key []byte, client, text string) (cursor, string) {
	if len(text) > cursorLimit {
		return cursor{}, "bad-cursor"
	}
	packed, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(packed) <= sumSize || !hmac.Equal(packed[:sumSize], sign(key, packed[sumSize:])) {
		return cursor{}, "bad-cursor"
	}
	var contents cursor
	if err := transport.Unmarshal(packed[sumSize:], &contents); err != nil || contents.Layout != cursorLayout {
		return cursor{}, "bad-cursor"
	}
	if contents.Client != client {
		return cursor{}, "other-origin"
	}
	return contents, ""
}

// cursor tells a channel's present place. A channel that is still being filled,
// or holds nothing, has none: its origin's earlier place still stands.
func (g *Gateway) cursor(now time.Time, session *session) string {
	if len(session.subscriptions) == 0 || session.floors == nil && session.filling() {
		return ""
	}
	result := cursor{Layout: cursorLayout, Client: session.client, Partitions: map[string]position{}, Marks: map[string]map[string]uint64{}}
	floor := func(name string, at uint64) {
		present, found := result.Partitions[name]
		if !found || at < present.Floor {
			present.Floor = at
		}
		result.Partitions[name] = present
	}
	for interest, subscription := range session.subscriptions {
		if subscription.filling {
			continue
		}
		result.Interests = append(result.Interests, interest)
		for name, since := range subscription.since {
			if tracker, topic := g.trackers[name]; topic {
				since = max(since, tracker.verified)
			}
			floor(name, since)
		}
	}
	slices.SortFunc(result.Interests, compareInterests)
	// What waits in the buffer, or in a backlog that is being handed over, was
	// not yet given.
	for _, recordCopy := range session.buffer {
		if _, live := result.Partitions[recordCopy.Partition]; live {
			floor(recordCopy.Partition, recordCopy.Record.Offset-1)
		}
	}
	for name, at := range session.floors {
		floor(name, at)
	}
	for name, at := range result.Partitions {
		at.Extras = session.extras(name, at.Floor)
		slices.Sort(at.Extras)
		for interest, subscription := range session.subscriptions {
			if since, found := subscription.since[name]; found && !subscription.filling && since > at.Floor && session.floors == nil {
				if at.Since == nil {
					at.Since = map[string]uint64{}
				}
				at.Since[interest.key()] = since
			}
		}
		result.Partitions[name] = at
	}
	for space, marks := range session.sequences {
		newest := map[string]uint64{}
		for sender, mark := range marks {
			if now.Sub(mark.at) < sequenceMemory {
				newest[sender] = mark.seq
			}
		}
		if len(newest) > 0 {
			result.Marks[space] = newest
		}
	}
	return seal(g.settings.Key, result)
}

func (i Interest) key() string {
	wide := "t"
	if i.Prefix {
		wide = "w"
	}
	return wide + i.Path
}

func compareInterests(left, right Interest) int {
	if order := strings.Compare(left.Space, right.Space); order != 0 {
		return order
	}
	return strings.Compare(left.key(), right.key())
}

// extras lists what the origin has above a floor. In the ordinary case floors
// only rise, and what falls below one is let go; while a backlog is handed over
// the floor is an older one, and all that is remembered counts.
func (c *session) extras(name string, floor uint64) []uint64 {
	var extras []uint64
	if statemachine.Mutated("no-client-memory") {
		return nil
	}
	if c.floors != nil {
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
