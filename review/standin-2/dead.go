package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// follower is a client that stays on its connection with many topics.
type follower struct {
	line    *line
	lock    sync.Mutex
	granted map[string]chan string
	given   map[string]time.Time
	got     map[string]time.Time
	ended   time.Time
}

func newFollower(name, address string) *follower {
	r := &follower{line: dial(name, address), granted: map[string]chan string{}, given: map[string]time.Time{}, got: map[string]time.Time{}}
	go func() {
		for {
			text := r.line.read(20 * time.Second)
			words := strings.Split(text, " ")
			r.lock.Lock()
			switch {
			case text == "":
				r.ended = time.Now()
				r.lock.Unlock()
				return
			case words[0] == "OK" && words[1] == "SUB":
				r.given[words[2]] = time.Now()
				r.granted[words[2]] <- "OK"
			case words[0] == "DENY" && words[1] == "SUB":
				r.granted[words[2]] <- words[len(words)-1]
			case words[0] == "MSG":
				r.got[words[1]+" "+words[4]] = time.Now()
			}
			r.lock.Unlock()
		}
	}()
	go func() {
		for {
			time.Sleep(1500 * time.Millisecond)
			r.line.say("PING\r\n")
		}
	}()
	return r
}

// take takes a topic up and reports whether that was granted; it asks again after a refusal.
func (r *follower) take(topic string) bool {
	for range 8 {
		answer := make(chan string, 4)
		r.lock.Lock()
		r.granted[topic] = answer
		r.lock.Unlock()
		r.line.say("SUB %s\r\n", topic)
		select {
		case text := <-answer:
			if text == "OK" {
				return true
			}
		case <-time.After(1500 * time.Millisecond):
			return false
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// send publishes one message and reports when it was acknowledged: the same number again after MAYBE, a new one after RETRY.
func send(l *line, topic string, seq *int, size int) (number int, sent, acked time.Time) {
	*seq++
	sent = time.Now()
	for time.Since(sent) < 1500*time.Millisecond {
		body := (fmt.Sprintf("%s.%d.", topic, *seq) + strings.Repeat("abcdefghijklmnop", 2+size/16))[:max(size, 20)]
		l.say("PUB %s %d %d\r\n%s\r\n", topic, *seq, len(body), body)
		text := l.read(1500 * time.Millisecond)
		switch {
		case strings.HasPrefix(text, "ACK "):
			return *seq, sent, time.Now()
		case strings.HasSuffix(text, " RETRY"):
			*seq++
			time.Sleep(50 * time.Millisecond)
		case text == "":
			return *seq, sent, time.Time{}
		}
	}
	return *seq, sent, time.Time{}
}

// dead has topics taken up and published to while stores are killed, then a calm minute with usual traffic behind them,
// and then one more message on each topic.
func dead(root, folder string, trouble bool) {
	current = newFleet(root, folder, 3, 3, 7)
	f := current
	ready(f)
	var fronts []string
	for _, m := range f.of("edge") {
		fronts = append(fronts, f.front(m))
	}
	began := time.Now()
	type first struct {
		topic  string
		reader *follower
		number int
		acked  time.Time
	}
	var firsts []*first
	var lock sync.Mutex
	var wait sync.WaitGroup
	writers := make([]*line, 6)
	seqs := make([]int, 6)
	for w := range 6 {
		writers[w] = dial(fmt.Sprintf("writer%d", w), fronts[0])
		readers := []*follower{newFollower(fmt.Sprintf("reader%d-0", w), fronts[1+w]), newFollower(fmt.Sprintf("reader%d-1", w), fronts[1+w])}
		wait.Add(1)
		go func() {
			defer wait.Done()
			for number := 0; time.Since(began) < 24*time.Second; number++ {
				next := time.Now().Add(120 * time.Millisecond)
				topic, reader := fmt.Sprintf("d.t%d-%d", w, number), readers[number%2]
				if reader.take(topic) {
					n, _, acked := send(writers[w], topic, &seqs[w], 230)
					lock.Lock()
					firsts = append(firsts, &first{topic: topic, reader: reader, number: n, acked: acked})
					lock.Unlock()
				}
				time.Sleep(time.Until(next))
			}
		}()
	}
	kept := 0
	for part := range 8 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			l, seq := dial(fmt.Sprintf("bulk%d", part), fronts[part%7]), 0
			for number := 0; time.Since(began) < 31*time.Second; number++ {
				if _, _, acked := send(l, fmt.Sprintf("d.b%d-%d", part, number), &seq, 16384); !acked.IsZero() {
					lock.Lock()
					kept++
					lock.Unlock()
				}
				time.Sleep(26 * time.Millisecond)
			}
		}()
	}
	stores := f.of("storage")
	for round := range 4 {
		time.Sleep(time.Until(began.Add(time.Duration(4+5*round) * time.Second)))
		if trouble {
			m := stores[round%3]
			record("kill %s", m.name)
			f.killMachine(m)
			time.Sleep(600 * time.Millisecond)
			f.startMachine(m)
		}
	}
	wait.Wait()
	missed := 0
	for _, each := range firsts {
		each.reader.lock.Lock()
		if _, got := each.reader.got[fmt.Sprintf("%s %d", each.topic, each.number)]; !got && !each.acked.IsZero() {
			missed++
		}
		each.reader.lock.Unlock()
	}
	record("%d topics taken up and written to; %d first messages that were acknowledged have not come; %d large messages on other topics", len(firsts), missed, kept)
	// The writers have been silent for too long, like clients that were away.
	for w := range writers {
		writers[w].conn.Close()
		writers[w] = dial(fmt.Sprintf("writer%d", w), fronts[0])
	}
	for time.Since(began) < 97*time.Second {
		time.Sleep(time.Second)
		for _, l := range writers {
			l.say("PING\r\n")
			l.read(time.Second)
		}
	}
	type second struct {
		of     *first
		number int
		acked  time.Time
	}
	var seconds []*second
	for w := range 6 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for _, each := range firsts {
				if !strings.HasPrefix(each.topic, fmt.Sprintf("d.t%d-", w)) {
					continue
				}
				n, _, acked := send(writers[w], each.topic, &seqs[w], 230)
				lock.Lock()
				seconds = append(seconds, &second{of: each, number: n, acked: acked})
				lock.Unlock()
			}
		}()
	}
	wait.Wait()
	time.Sleep(5 * time.Second)
	judged, lost := 0, 0
	for _, each := range seconds {
		reader := each.of.reader
		reader.lock.Lock()
		_, got := reader.got[fmt.Sprintf("%s %d", each.of.topic, each.number)]
		stayed := reader.ended.IsZero()
		reader.lock.Unlock()
		if each.acked.IsZero() || !stayed {
			continue
		}
		judged++
		if !got {
			lost++
			if lost <= 20 {
				record("LOST: %s %d, acknowledged %s, has not come to a subscriber that stayed since %s", each.of.topic, each.number, stamp(each.acked), stamp(reader.given[each.of.topic]))
			}
		}
	}
	record("%d second messages judged; rule broken %d times", judged, lost)
	if lost > 0 {
		leave(1)
	}
	if judged == 0 {
		unable("nothing to judge")
	}
	leave(0)
}
