package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// bound has places given right after a message of their topic, then many large messages on other topics, and the
// places taken up by new clients when all these are past the holding time. Without trouble the many are small.
func bound(root, folder string, trouble bool) {
	f := up(root, folder)
	var fronts []string
	for _, m := range f.of("edge") {
		fronts = append(fronts, f.front(m))
	}
	const count, bulk = 100, 3200
	size := 230
	if trouble {
		size = 16384
	}
	primer := dial("primer", fronts[1])
	for number := range 96 {
		for range 20 {
			primer.say("SUB d.prime-%d\r\n", number)
			if strings.HasPrefix(primer.read(1500*time.Millisecond), "OK ") {
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	writer, reader := dial("writer", fronts[0]), dial("reader", fronts[1])
	type given struct {
		cursor string
		at     time.Time
	}
	places := map[string]given{}
	seq := 0
	publish := func(topic string, size int) (sent, acked time.Time) {
		seq++
		body := (fmt.Sprintf("%s.%d.", topic, seq) + strings.Repeat("abcdefghijklmnop", 1+size/16))[:max(size, 20)]
		sent = time.Now()
		writer.say("PUB %s %d %d\r\n%s\r\n", topic, seq, len(body), body)
		for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); {
			text := writer.read(time.Until(end))
			if text == fmt.Sprintf("ACK %s %d", topic, seq) {
				return sent, time.Now()
			}
			if text == "" || strings.HasPrefix(text, "DENY") {
				break
			}
		}
		return sent, time.Time{}
	}
	before := map[string]time.Time{}
	for number := range count {
		topic := fmt.Sprintf("d.place-%d", number)
		_, acked := publish(topic, 230)
		if acked.IsZero() {
			continue
		}
		reader.say("SUB %s\r\n", topic)
		for {
			words := strings.Split(reader.read(1500*time.Millisecond), " ")
			if words[0] == "OK" && words[2] == topic {
				places[topic] = given{cursor: words[3], at: time.Now()}
				before[topic] = acked
				break
			}
			if words[0] != "MSG" {
				break
			}
		}
	}
	reader.conn.Close()
	record("%d places are given, each after a first message of its topic was acknowledged; their client goes away", len(places))
	var wait sync.WaitGroup
	var lock sync.Mutex
	kept := 0
	for part := range 8 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			l := dial(fmt.Sprintf("bulk%d", part), fronts[part%3])
			defer l.conn.Close()
			body := strings.Repeat("abcdefghijklmnop", 1024)[:size]
			for number := range bulk / 8 {
				topic := fmt.Sprintf("d.bulk-%d-%d", part, number)
				for try := range 3 {
					// After RETRY a new number is sent.
					n := 10*number + try + 1
					l.say("PUB %s %d %d\r\n%s\r\n", topic, n, len(body), body)
					if text := l.read(1500 * time.Millisecond); strings.HasPrefix(text, "ACK ") {
						lock.Lock()
						kept++
						lock.Unlock()
						break
					}
				}
				time.Sleep(26 * time.Millisecond)
			}
		}()
	}
	wait.Wait()
	record("%d messages of %d bytes on as many other topics were acknowledged", kept, size)
	// It has been silent for too long, like a client that was away.
	writer.conn.Close()
	writer = dial("writer", fronts[0])
	for end := time.Now().Add(66 * time.Second); time.Now().Before(end); {
		time.Sleep(time.Second)
		writer.say("PING\r\n")
		writer.read(time.Second)
	}
	owed := map[string]*note{}
	for topic := range places {
		sent, acked := publish(topic, 230)
		if !acked.IsZero() {
			owed[topic] = &note{topic: topic, seq: seq, sent: sent, acked: acked}
		}
	}
	record("%d messages that the places are owed were acknowledged", len(owed))
	time.Sleep(2 * time.Second)
	got, broken, unclear := 0, 0, 0
	for topic, place := range places {
		if owed[topic] == nil {
			continue
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			result, story := takeUp("n-"+topic, topic, place.cursor, owed[topic], fronts[2])
			lock.Lock()
			defer lock.Unlock()
			for index, text := range story {
				story[index] = text[:min(len(text), 60)]
			}
			switch result {
			case "EXPIRED":
				broken++
				if broken <= 20 {
					record("LOST: %s at %s (given %s, the message before it acknowledged %s): %v; owed and lacking: seq %d, %s old", topic, place.cursor,
						stamp(place.at), stamp(before[topic]), story, owed[topic].seq, time.Since(owed[topic].sent).Round(100*time.Millisecond))
				}
			case "got":
				got++
			default:
				unclear++
				record("neither taken up nor refused: %s at %s: %v", topic, place.cursor, story)
			}
		}()
	}
	wait.Wait()
	record("%d places taken up, %d refused with EXPIRED, %d neither; rule broken %d times", got, broken, unclear, broken)
	if broken > 0 {
		leave(1)
	}
	if got == 0 {
		unable("no place was answered")
	}
	leave(0)
}
