// Package decisionlog keeps a bounded ring of recorded decisions: why a request or
// a message went where it went. Every daemon has one and serves it at ctl, and
// the command `dahlialock explain` asks them all. Entries about one message share its space, sender and
// seq, which is how those of several daemons are put together.
package decisionlog

import (
	"fmt"
	"strings"
	"time"
)

// Capacity is how many decisions a daemon remembers.
const Capacity = 16384

// Entry is one decision.
type Entry struct {
	At      time.Time      `json:"at"`
	Daemon  string         `json:"daemon"`
	Request string         `json:"visit,omitempty"`
	Message string         `json:"message,omitempty"`
	Client  string         `json:"origin,omitempty"`
	Step    string         `json:"step"`
	Detail  map[string]any `json:"detail,omitempty"`
}

// Ring is the bounded memory; one owner uses it.
type Ring struct {
	daemon  string
	entries []Entry
	next    int
}

// NewRing makes an empty ring.
func NewRing(daemon string) *Ring { return &Ring{daemon: daemon} }

// MessageName is how a message is named across daemons.
func MessageName(space, sender string, seq uint64) string {
	space, _, _ = strings.Cut(space, "~")
	return fmt.Sprintf("%s/%s/%d", space, sender, seq)
}

// Record adds a decision in place of the oldest; details come in pairs.
func (r *Ring) Record(now time.Time, request, message, client, step string, details ...any) {
	entry := Entry{At: now, Daemon: r.daemon, Request: request, Message: message, Client: client, Step: step}
	if len(details) > 0 {
		entry.Detail = make(map[string]any, len(details)/2)
		for position := 0; position+1 < len(details); position += 2 {
			entry.Detail[details[position].(string)] = details[position+1]
		}
	}
	if len(r.entries) < Capacity {
		r.entries = append(r.entries, entry)
		return
	}
	r.entries[r.next] = entry
	r.next = (r.next + 1) % Capacity
}

// Find lists the entries about a request, a message or an origin, oldest first.
func (r *Ring) Find(request, message, client string) []Entry {
	found := []Entry{}
	messages := map[string]bool{}
	if message != "" {
		messages[message] = true
	}
	each := func(check func(Entry)) {
		for step := range r.entries {
			check(r.entries[(r.next+step)%len(r.entries)])
		}
	}
	if request != "" {
		each(func(entry Entry) {
			if entry.Request == request && entry.Message != "" {
				messages[entry.Message] = true
			}
		})
	}
	each(func(entry Entry) {
		if request != "" && entry.Request == request || entry.Message != "" && messages[entry.Message] || client != "" && entry.Client == client {
			found = append(found, entry)
		}
	})
	return found
}
