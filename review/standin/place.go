package main

import (
	"fmt"
	"time"
)

// place is the case in which a client's connection ends right after it has subscribed, and its place is taken up at the
// end of a day: what it lacks is younger than the holding time, so that it has to be taken up.
func place(f *fleet, trouble bool) int {
	const topics = 100
	if !f.begin(configuration(1, []route{{"notes", "kafi810.", "durable"}}, 200)) {
		f.note("the fleet didn't begin")
		return 2
	}
	// Somebody reads other topics at the second gateway, as in any fleet.
	var others, names []string
	for index := range 200 {
		others = append(others, fmt.Sprintf("kafi810.other%d", index))
	}
	for index := range topics {
		names = append(names, fmt.Sprintf("kafi810.t%d", index))
	}
	other := newSubscriber(f, "reader-other", f.frontAddress(f.edges[1]), others, nil)
	if other == nil {
		return 2
	}
	writer := newPublisher(f, "writer", func() []string { return []string{f.frontAddress(f.edges[0])} })
	for _, each := range others {
		writer.publish(each, "other-abcdefghijklmnopqrstuvwxyz")
	}
	time.Sleep(3 * time.Second)
	reader := connect([]string{f.frontAddress(f.edges[1])}, "reader", 5*time.Second)
	if reader == nil {
		return 2
	}
	// The first notes of the topics, from before anybody reads them.
	for _, each := range names {
		writer.publish(each, "first-"+each+"-abcdefghijklmnopqrstuvwxyz")
	}
	for until := time.Now().Add(5 * time.Second); (len(writer.messages()) < topics+len(others) || len(writer.unanswered()) > 0) && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	f.note("the first notes are acknowledged")
	cursors := map[string]string{}
	for _, each := range names {
		reader.say("SUB %s", each)
	}
	okAt := time.Time{}
	for len(cursors) < topics {
		got, came := reader.next(2 * time.Second)
		if !came {
			return 2
		}
		if got.fields[0] == "OK" && len(got.fields) == 4 && cursors[got.fields[2]] == "" {
			cursors[got.fields[2]], okAt = got.fields[3], got.at
		}
		f.note("reader <- %s", got.fields)
	}
	given, got := time.Now(), make(chan string, 1000)
	if trouble {
		reader.close()
		f.note("the reader's connection is ended")
	} else {
		go func() {
			for each := range reader.lines {
				f.note("reader <- %s %.24s", each.fields, each.body)
				if each.fields[0] == "MSG" {
					got <- each.body
				}
			}
		}()
	}
	time.Sleep(57 * time.Second)
	for _, each := range names {
		writer.publish(each, "second-"+each+"-abcdefghijklmnopqrstuvwxyz")
	}
	time.Sleep(time.Until(given.Add(67 * time.Second)))
	if !trouble {
		return f.judgeStay(reader, names, got)
	}
	var list []string
	for _, each := range names {
		list = append(list, cursors[each])
	}
	// The client comes back with the same cursors where its connection is ended.
	var later *subscriber
	for attempt := range 5 {
		if later = newSubscriber(f, "later", f.frontAddress(f.edges[1+attempt%2]), names, list); later == nil {
			return 2
		}
		time.Sleep(2 * time.Second)
		if !later.present.isGone() {
			break
		}
	}
	refused, oldest := 0, time.Duration(0)
	for _, each := range writer.messages() {
		if each.sentAt.Before(okAt) || later.denied[each.topic] != "EXPIRED" {
			continue
		}
		refused++
		oldest = max(oldest, later.deniedAt.Sub(each.sentAt))
		f.note("%s at %s is EXPIRED; it lacks %s, acknowledged %.1f s before", each.topic, cursors[each.topic],
			each.body, later.deniedAt.Sub(each.ackedAt).Seconds())
	}
	f.note("%d of %d places were refused; the oldest message that they are owed was first sent %.1f s before", refused, topics, oldest.Seconds())
	if refused > 0 && oldest < 35*time.Second {
		return 1
	}
	return 0
}

// judgeStay is the judgement where the reader stayed: the second notes must have come.
func (f *fleet) judgeStay(reader *connection, names []string, got chan string) int {
	came := map[string]bool{}
	for len(got) > 0 {
		came[<-got] = true
	}
	missing := 0
	for _, each := range names {
		if !came["second-"+each+"-abcdefghijklmnopqrstuvwxyz"] {
			missing++
		}
	}
	f.note("the reader stayed: %v; it lacks %d of the second notes", !reader.isGone(), missing)
	if missing > 0 || reader.isGone() {
		return 1
	}
	return 0
}
