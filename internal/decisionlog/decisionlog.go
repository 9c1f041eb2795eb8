// Package decisionlog keeps the most recent decisions of a daemon in a ring buffer:
// why a request or a message was routed, accepted, rejected or delivered.
//
// The owner of a daemon's state machine records decisions and serves them at
// ctl under /v1/decisions; `dahlialock explain` queries all daemons and merges
// the entries. Entries about one message have the same message name (see
// MessageName), by which the entries of several daemons are matched.
//
// A Ring isn't safe for concurrent use.
package decisionlog

import (
	"fmt"
	"strings"
	"time"
)

// Capacity is how many entries a Ring keeps before it overwrites the oldest.
const Capacity = 16384

// partitionSeparator separates the space's name from the rest of a partition's name.
const partitionSeparator = "~"

// Entry is one decision. Its JSON form is served at ctl.
type Entry struct {
	At     time.Time `json:"at"`
	Daemon string    `json:"daemon"`
	// Request identifies the client's request, Message is the name of the message (see
	// MessageName) and Client the name of the client. Each is empty if the decision
	// does not concern one.
	Request string `json:"visit,omitempty"`
	Message string `json:"message,omitempty"`
	Client  string `json:"origin,omitempty"`
	Step    Step   `json:"step"`
	// Detail holds the values on which the decision was based, by name.
	Detail map[string]any `json:"detail,omitempty"`
}

// Ring is a bounded log of decisions that overwrites its oldest entries.
type Ring struct {
	daemon string
	// entries grows up to Capacity; after that the oldest entry is overwritten.
	entries []Entry
	// next is the index of the oldest entry once the ring is full, and 0 before.
	next int
}

// NewRing returns an empty ring for the daemon of that name.
func NewRing(daemon string) *Ring { return &Ring{daemon: daemon} }

// MessageName returns the name of a message that is the same on all daemons.
// The space may be given as the name of one of its partitions.
func MessageName(space, sender string, seq uint64) string {
	space, _, _ = strings.Cut(space, partitionSeparator)
	return fmt.Sprintf("%s/%s/%d", space, sender, seq)
}

// Record appends a decision and overwrites the oldest one if the ring is full. The
// details alternate between names and values. Record panics if a name isn't a string,
// and ignores a name without a value. JSON must be able to encode the values.
func (r *Ring) Record(now time.Time, request, message, client string, step Step, details ...any) {
	entry := Entry{
		At:      now,
		Daemon:  r.daemon,
		Request: request,
		Message: message,
		Client:  client,
		Step:    step,
		Detail:  detailOf(details),
	}
	if len(r.entries) < Capacity {
		r.entries = append(r.entries, entry)
		return
	}
	r.entries[r.next] = entry
	r.next = (r.next + 1) % Capacity
}

// detailOf returns the pairs of names and values as a map, or nil if there are none.
func detailOf(pairs []any) map[string]any {
	if len(pairs) == 0 {
		return nil
	}
	detail := make(map[string]any, len(pairs)/2)
	for index := 0; index+1 < len(pairs); index += 2 {
		detail[pairs[index].(string)] = pairs[index+1]
	}
	return detail
}

// Find returns the entries about a request, a message or a client, oldest
// first; an empty argument matches nothing. A request also matches the entries
// about the messages that it published.
func (r *Ring) Find(request, message, client string) []Entry {
	messages := map[string]bool{}
	if message != "" {
		messages[message] = true
	}
	if request != "" {
		r.each(func(entry Entry) {
			if entry.Request == request && entry.Message != "" {
				messages[entry.Message] = true
			}
		})
	}
	found := []Entry{}
	r.each(func(entry Entry) {
		byRequest := request != "" && entry.Request == request
		byMessage := entry.Message != "" && messages[entry.Message]
		byClient := client != "" && entry.Client == client
		if byRequest || byMessage || byClient {
			found = append(found, entry)
		}
	})
	return found
}

// each calls visit with all entries, oldest first.
func (r *Ring) each(visit func(Entry)) {
	for position := range r.entries {
		visit(r.entries[(r.next+position)%len(r.entries)])
	}
}
