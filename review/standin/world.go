package main

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// message is one message of a publisher: what was sent, and what was answered.
type message struct {
	sender, topic, body string
	seq                 int
	sentAt, ackedAt     time.Time
	tries               int
}

// publisher is a client that publishes. It sends a number again after silence, a cut or MAYBE, and takes a new one
// after RETRY.
type publisher struct {
	f         *fleet
	name      string
	addresses func() []string
	present   *connection
	quiet     bool
	seq       int
	work      chan *message
	mutex     sync.Mutex
	open      map[string]*message
	sent      []*message
}

func newPublisher(f *fleet, name string, addresses func() []string) *publisher {
	made := &publisher{f: f, name: name, addresses: addresses, work: make(chan *message, 4096), open: map[string]*message{}}
	go made.run()
	return made
}

// newQuietPublisher makes a publisher whose messages are neither in the record nor judged.
func newQuietPublisher(f *fleet, name string, addresses func() []string) *publisher {
	made := &publisher{
		f: f, name: name, addresses: addresses, quiet: true, work: make(chan *message, 4096), open: map[string]*message{},
	}
	go made.run()
	return made
}

func (p *publisher) note(format string, values ...any) {
	if !p.quiet {
		p.f.note(format, values...)
	}
}

// publish hands a message over to be sent.
func (p *publisher) publish(topic, text string) {
	p.work <- &message{sender: p.name, topic: topic, body: text}
}

func (p *publisher) run() {
	for {
		made := connect(p.addresses(), p.name, time.Minute)
		p.mutex.Lock()
		p.present = made
		p.mutex.Unlock()
		if made == nil {
			p.note("%s finds no gateway", p.name)
			return
		}
		for _, each := range p.unanswered() {
			p.send(each)
		}
		p.serve()
		p.present.close()
	}
}

func (p *publisher) unanswered() []*message {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var found []*message
	for _, each := range p.sent {
		if p.open[each.topic] == each {
			found = append(found, each)
		}
	}
	return found
}

func (p *publisher) send(each *message) {
	p.mutex.Lock()
	if each.seq == 0 {
		p.seq++
		each.seq = p.seq
	}
	if each.sentAt.IsZero() {
		each.sentAt = time.Now()
		if p.quiet {
			p.sent = slices.DeleteFunc(p.sent, func(earlier *message) bool { return p.open[earlier.topic] != earlier })
		}
		p.sent = append(p.sent, each)
	}
	each.tries++
	p.open[each.topic] = each
	p.mutex.Unlock()
	p.note("%s PUB %s %d (try %d) %.24s", p.name, each.topic, each.seq, each.tries, each.body)
	p.present.publish(each.topic, each.seq, each.body)
}

func (p *publisher) serve() {
	for {
		select {
		case each := <-p.work:
			p.send(each)
		case got, open := <-p.present.lines:
			if !open {
				p.note("%s: its connection has ended", p.name)
				return
			}
			p.take(got)
		case <-time.After(1500 * time.Millisecond):
			if len(p.unanswered()) > 0 {
				p.note("%s: no answer, resets its connection", p.name)
				return
			}
		}
	}
}

func (p *publisher) take(got line) {
	fields := got.fields
	p.note("%s <- %s", p.name, fields)
	switch {
	case fields[0] == "ACK":
		p.mutex.Lock()
		if each := p.open[fields[1]]; each != nil && fmt.Sprint(each.seq) == fields[2] {
			each.ackedAt = got.at
			delete(p.open, each.topic)
		}
		p.mutex.Unlock()
	case fields[0] == "DENY" && len(fields) == 5 && fields[1] == "PUB":
		p.mutex.Lock()
		each := p.open[fields[2]]
		if each == nil || fmt.Sprint(each.seq) != fields[3] {
			p.mutex.Unlock()
			return
		}
		if fields[4] == "RETRY" {
			each.seq = 0
		}
		p.mutex.Unlock()
		if each.tries < 30 {
			time.Sleep(100 * time.Millisecond)
			p.send(each)
		}
	case fields[0] == "MOVE":
		p.present.close()
	}
}

// messages are all that was sent.
func (p *publisher) messages() []message {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var list []message
	for _, each := range p.sent {
		list = append(list, *each)
	}
	return list
}

// subscriber is a client that subscribes and stays on its connection.
type subscriber struct {
	f       *fleet
	name    string
	at      *machine
	present *connection
	mutex   sync.Mutex
	// cursors are the newest of each topic, okAt is when each subscription was confirmed, got is how often each body came.
	cursors map[string]string
	okAt    map[string]time.Time
	got     map[string]int
	denied  map[string]string
	// deniedAt is when the newest of denied came.
	deniedAt time.Time
	// asked is what was sent for each topic.
	asked map[string]string
	// then is what is done when a topic's OK comes.
	then map[string]func()
}

// newSubscriber connects, subscribes to all topics, and waits for the answers.
func newSubscriber(f *fleet, name, address string, topics, cursors []string) *subscriber {
	made := &subscriber{
		f: f, name: name, present: connect([]string{address}, name, 10*time.Second),
		cursors: map[string]string{}, okAt: map[string]time.Time{}, got: map[string]int{}, denied: map[string]string{},
		asked: map[string]string{}, then: map[string]func(){},
	}
	if made.present == nil {
		return nil
	}
	for index, topic := range topics {
		made.asked[topic] = "SUB " + topic
		if cursors != nil && cursors[index] != "" {
			made.asked[topic] += " " + cursors[index]
		}
		made.present.say("%s", made.asked[topic])
	}
	go made.run()
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		made.mutex.Lock()
		done := len(made.okAt)+len(made.denied) >= len(topics)
		made.mutex.Unlock()
		if done || made.present.isGone() {
			return made
		}
	}
	return made
}

func (s *subscriber) run() {
	for got := range s.present.lines {
		s.mutex.Lock()
		fields := got.fields
		switch {
		case fields[0] == "OK" && len(fields) >= 3 && fields[1] == "SUB":
			s.okAt[fields[2]] = got.at
			if then := s.then[fields[2]]; then != nil {
				delete(s.then, fields[2])
				then()
			}
			if len(fields) > 3 {
				s.cursors[fields[2]] = fields[3]
			}
		case fields[0] == "DENY" && len(fields) == 5 && fields[1] == "SUB" && fields[4] != "RETRY" && fields[4] != "MAYBE":
			s.denied[fields[2]], s.deniedAt = fields[4], got.at
		case fields[0] == "DENY" && len(fields) == 5 && fields[1] == "SUB":
			again := s.asked[fields[2]]
			time.AfterFunc(500*time.Millisecond, func() { s.present.say("%s", again) })
		case fields[0] == "MSG":
			s.cursors[fields[1]] = fields[2]
			s.got[got.body]++
		}
		s.mutex.Unlock()
		if fields[0] != "OK" || len(fields) > 2 {
			s.f.note("%s <- %s %.24s", s.name, fields, got.body)
		}
	}
	s.f.note("%s: its connection has ended", s.name)
}

// subscribe takes up one more topic; what follows its OK is done at once.
func (s *subscriber) subscribe(topic string, then func()) {
	s.mutex.Lock()
	s.asked[topic], s.then[topic] = "SUB "+topic, then
	s.mutex.Unlock()
	s.f.note("%s SUB %s", s.name, topic)
	s.present.say("SUB %s", topic)
}

// topics are those of all confirmed subscriptions.
func (s *subscriber) topics() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Collect(maps.Keys(s.okAt))
}

// has tells whether a body came.
func (s *subscriber) has(body string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.got[body] > 0
}

func (s *subscriber) cursor(topic string) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.cursors[topic]
}

func (s *subscriber) confirmed(topic string) (time.Time, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	at, found := s.okAt[topic]
	return at, found
}
