package main

import (
	"fmt"
	"strings"
	"time"
)

// promises are the numbers that were answered RETRY and arrived all the same.
var promises map[string]string

// arrivals lists when and under which number a message came.
func arrivals(sub *subscription, m *message) string {
	text := ""
	for _, d := range sub.deliveries {
		if d.body == m.body {
			text += fmt.Sprintf("[%s %s/%d %s]", stamp(d.at), d.sender, d.seq, d.cursor)
		}
	}
	return text
}

// judge checks the rules on topics over what the clients have seen. until is when owed messages must have come.
func judge(clients []*client, until time.Time) []string {
	var broken []string
	add := func(format string, values ...any) {
		if len(broken) < 100000 {
			broken = append(broken, fmt.Sprintf(format, values...))
		}
	}
	type key struct {
		sender string
		seq    int
	}
	byKey := map[key]*message{}
	byID := map[string]*message{}
	var all []*message
	for _, c := range clients {
		for _, m := range c.sent {
			all = append(all, m)
			byID[m.id] = m
			for seq := range m.tries {
				byKey[key{c.name, seq}] = m
			}
		}
		for _, each := range c.faults {
			add("%s: %s", c.name, each)
		}
	}
	senders := map[*message]string{}
	for _, c := range clients {
		for _, m := range c.sent {
			senders[m] = c.name
		}
	}
	promises = map[string]string{}
	orders := map[string][][]string{}
	for _, c := range clients {
		subs := append([]*subscription(nil), c.old...)
		for _, sub := range c.subs {
			subs = append(subs, sub)
		}
		for _, sub := range subs {
			seen := map[string]bool{}
			last := map[string]int{}
			var order []string
			for _, d := range sub.deliveries {
				m := byKey[key{d.sender, d.seq}]
				if m == nil || m.topic != sub.topic || m.body != d.body {
					add("MIXED: %s got %s/%d on %s, which nobody sent so", c.name, d.sender, d.seq, sub.topic)
					continue
				}
				if seen[m.id] {
					add("ORDER: %s got %s twice on %s: %v; deliveries %s", c.name, m.id, sub.topic, m.story, arrivals(sub, m))
				}
				seen[m.id] = true
				if d.seq < last[d.sender] {
					add("ORDER: %s got %s/%d after %d on %s", c.name, d.sender, d.seq, last[d.sender], sub.topic)
				}
				last[d.sender] = max(last[d.sender], d.seq)
				order = append(order, fmt.Sprintf("%s/%d", d.sender, d.seq))
				if at, denied := m.denied[d.seq]; denied {
					promises[fmt.Sprintf("%s/%d", d.sender, d.seq)] = fmt.Sprintf("denied %s, arrived %s: %v", stamp(at), stamp(d.at), m.story)
				}
				refusedAll := len(m.tries) > 0
				for _, answer := range m.tries {
					refusedAll = refusedAll && answer == "RETRY"
				}
				if refusedAll {
					add("REFUSED: %s got %s, all of whose tries were refused", c.name, m.id)
				}
			}
			orders[sub.topic] = append(orders[sub.topic], order)
			if strings.HasPrefix(sub.topic, "e.") || sub.firstOK.IsZero() {
				continue
			}
			for _, m := range all {
				if m.topic != sub.topic || m.acked.IsZero() || !m.firstSent.After(sub.firstOK) || seen[m.id] {
					continue
				}
				if !sub.ended.IsZero() && m.acked.After(sub.ended) {
					continue
				}
				add("LOST: %s did not get %s on %s (sent %s, acked %s, now %s); confirmed %v, refusals %v", c.name, m.id, sub.topic, stamp(m.firstSent), stamp(m.acked), stamp(until), sub.confirmed, sub.refused)
			}
		}
	}
	for topic, lists := range orders {
		position := map[string]int{}
		for _, list := range lists {
			if len(list) > len(position) {
				position = map[string]int{}
				for index, id := range list {
					position[id] = index
				}
			}
		}
		for _, list := range lists {
			last := -1
			for _, id := range list {
				if at, found := position[id]; found {
					if at < last {
						add("ORDER: two orders on %s at %s", topic, id)
					}
					last = max(last, at)
				}
			}
		}
	}
	return broken
}
