package main

import (
	"fmt"
	"strings"
	"time"
)

// missing is the case in which clients subscribe and the first message comes right after, while stores are killed one
// after another: what was published before the other gateways knew of the subscription has to come all the same.
func missing(f *fleet, trouble bool) int {
	readers, writers, began := f.takeUpTopics(trouble, 74*time.Second)
	if !began {
		return 2
	}
	// A store that was started needs contact-ms until the machines are in touch; then come the 4 s of calm, and 4 s more.
	time.Sleep(14 * time.Second)
	if lost := f.judgeMissing(readers, writers, "note-"); lost > 0 {
		f.note("LOST: %d times an acknowledged message has not come to a subscriber that stayed", lost)
		return 1
	}
	return 0
}

// dead is the same with a second message on each topic, a minute after all stores are back.
func dead(f *fleet, trouble bool) int {
	readers, writers, began := f.takeUpTopics(trouble, 27*time.Second)
	if !began {
		return 2
	}
	f.note("no machine is in trouble any more")
	time.Sleep(60 * time.Second)
	f.note("the second notes")
	for number := range 27 * perSecond {
		writers[number%len(writers)].publish(fmt.Sprintf("kafi810.t%d", number), fmt.Sprintf("second-%d-abcdefghijklmnopqrstuvwxyz", number))
		time.Sleep(3 * time.Millisecond)
	}
	time.Sleep(8 * time.Second)
	if lost := f.judgeMissing(readers, writers, "second-"); lost > 0 {
		f.note("LOST: %d times an acknowledged message has not come to a subscriber that stayed", lost)
		return 1
	}
	return 0
}

// perSecond is how many topics are taken up in a second.
const perSecond = 50

// takeUpTopics has readers take up topics for a while, and a writer publish as soon as a reader has its OK. With trouble
// stores are killed meanwhile.
func (f *fleet) takeUpTopics(trouble bool, length time.Duration) ([]*subscriber, []*publisher, bool) {
	const readersEach = 8
	if !f.begin(configuration(1, []route{{"notes", "kafi810.", "durable"}}, 200)) {
		f.note("the fleet didn't begin")
		return nil, nil, false
	}
	var readers []*subscriber
	for edge := 1; edge < len(f.edges); edge++ {
		for index := range readersEach {
			made := newSubscriber(f, fmt.Sprintf("reader-%d-%d", edge, index), f.frontAddress(f.edges[edge]), nil, nil)
			if made == nil {
				return nil, nil, false
			}
			made.at = f.edges[edge]
			readers = append(readers, made)
		}
	}
	var writers []*publisher
	for index := range 10 {
		writers = append(writers, newPublisher(f, fmt.Sprintf("writer-%d", index), func() []string {
			return []string{f.frontAddress(f.edges[0])}
		}))
	}
	go f.background()
	time.Sleep(5 * time.Second)
	began, ended := time.Now(), make(chan struct{})
	go func() {
		defer close(ended)
		if trouble {
			f.killStores(began.Add(length))
		}
	}()
	for number := 0; number < int(length.Seconds()*perSecond); number++ {
		time.Sleep(time.Until(began.Add(time.Duration(number) * time.Second / perSecond)))
		topic := fmt.Sprintf("kafi810.t%d", number)
		writer, reader := writers[number%len(writers)], readers[number%len(readers)]
		// As soon as the reader has its OK, somebody else publishes.
		reader.subscribe(topic, func() { writer.publish(topic, "note-"+topic+"-abcdefghijklmnopqrstuvwxyz") })
	}
	<-ended
	return readers, writers, true
}

// killStores kills one store after another, and the platform starts it again. Each is back for longer than catchup-s before the next goes.
func (f *fleet) killStores(until time.Time) {
	for round := 0; time.Now().Before(until.Add(-6 * time.Second)); round++ {
		store := f.stores[round%len(f.stores)]
		f.kill(store)
		time.Sleep(600 * time.Millisecond)
		f.restart(store)
		time.Sleep(4500*time.Millisecond + time.Duration(round*97%400)*time.Millisecond)
	}
}

// background publishes three hundred messages a second, as in SYSTEM.md, on topics that nobody reads here. Only their
// sums are in the record.
func (f *fleet) background() {
	var writers []*publisher
	for index := range 10 {
		edge := f.frontAddress(f.edges[1+index%2])
		writers = append(writers, newQuietPublisher(f, fmt.Sprintf("other-%d", index), func() []string { return []string{edge} }))
	}
	text := strings.Repeat("abcdefghijklmnopqrstuvwxyz", 9)
	began := time.Now()
	for number := 0; ; number++ {
		if wait := time.Until(began.Add(time.Duration(number) * time.Second / 300)); wait > 0 {
			time.Sleep(wait)
		}
		writers[number%10].publish(fmt.Sprintf("kafi810.other%d", number%500), fmt.Sprintf("other-%d-%s", number, text))
		if number%3000 == 2999 {
			f.note("the other writers have sent %d messages", number+1)
		}
	}
}

// judgeMissing counts what begins with a prefix, was acknowledged over 4 s ago and did not come to a subscriber whose subscription was
// confirmed before it was first sent, and that is connected still.
func (f *fleet) judgeMissing(subscribers []*subscriber, publishers []*publisher, prefix string) int {
	lost, acked := 0, 0
	by := map[string]*subscriber{}
	for _, each := range subscribers {
		for _, topic := range each.topics() {
			by[topic] = each
		}
	}
	for _, from := range publishers {
		for _, each := range from.messages() {
			to := by[each.topic]
			if to == nil || !strings.HasPrefix(each.body, prefix) || each.ackedAt.IsZero() || time.Since(each.ackedAt) < 4*time.Second {
				continue
			}
			acked++
			at, subscribed := to.confirmed(each.topic)
			if !subscribed || !at.Before(each.sentAt) || to.present.isGone() || to.has(each.body) {
				continue
			}
			lost++
			f.note("%s, with its OK at %.3f, has not got %s of %s seq %d, first sent at %.3f, acknowledged at %.3f; its cursor is %s",
				to.name, at.Sub(f.began).Seconds(), each.body, each.sender, each.seq, each.sentAt.Sub(f.began).Seconds(),
				each.ackedAt.Sub(f.began).Seconds(), to.cursor(each.topic))
			if lost == 1 && prefix == "note-" {
				f.takeUp(to, each, to.at)
				f.takeUp(to, each, f.edges[0])
			}
		}
	}
	f.note("judged: %d messages acknowledged, %d deliveries missing", acked, lost)
	return lost
}

// takeUp shows that the store has a message: a new client takes the place of a subscriber up.
func (f *fleet) takeUp(of *subscriber, missed message, at *machine) {
	again := newSubscriber(f, "later-"+of.name, f.frontAddress(at), []string{missed.topic}, []string{of.cursor(missed.topic)})
	if again == nil {
		return
	}
	time.Sleep(time.Second)
	f.note("a client that takes this place up at %s gets it: %v", at.name, again.has(missed.body))
	again.present.close()
}
