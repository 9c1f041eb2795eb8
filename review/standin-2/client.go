package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

type delivery struct {
	at     time.Time
	cursor string
	sender string
	seq    int
	body   string
}

// subscription is one subscription of a client, over all its connections.
type subscription struct {
	topic      string
	cursor     string
	firstOK    time.Time
	ended      time.Time
	confirmed  bool
	deliveries []delivery
	refused    []string
}

// message is what a client wants to send; its tries have rising numbers.
type message struct {
	topic, id, body string
	wanted          time.Time
	firstSent       time.Time
	acked           time.Time
	seq             int
	tries           map[int]string
	story           []string
	denied          map[int]time.Time
	renewals        int
	inFlight        bool
	sentAt          time.Time
	done            bool
}

type client struct {
	fleet     *fleet
	name      string
	turn      int
	timeout   time.Duration
	pipeline  int
	mutex     sync.Mutex
	conn      net.Conn
	helloOK   bool
	subs      map[string]*subscription
	old       []*subscription
	queue     map[string][]*message
	sent      []*message
	seq       int
	lastSaid  time.Time
	lastHeard time.Time
	moveTo    string
	closed    bool
	faults    []string
	connects  int
	subAt     map[string]time.Time
	helloAt   time.Time
	only      *machine
}

func newClient(f *fleet, name string, topics ...string) *client {
	c := &client{fleet: f, name: name, turn: rand.Intn(100), timeout: 1500 * time.Millisecond, pipeline: 1, subs: map[string]*subscription{}, queue: map[string][]*message{}, subAt: map[string]time.Time{}}
	for _, topic := range topics {
		c.subs[topic] = &subscription{topic: topic}
	}
	go c.run()
	return c
}

func (c *client) fault(format string, values ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, values...))
}

func (c *client) run() {
	go c.watch()
	failures := 0
	for {
		c.mutex.Lock()
		closed, target := c.closed, c.moveTo
		c.moveTo = ""
		c.mutex.Unlock()
		if closed {
			return
		}
		if target == "" {
			edges := c.fleet.of("edge")
			m := edges[(c.turn+failures)%len(edges)]
			if c.only != nil {
				m = c.only
			}
			target = c.fleet.front(m)
		}
		conn, err := net.DialTimeout("tcp", target, time.Second)
		if err != nil {
			failures++
			time.Sleep(time.Duration(100+rand.Intn(200)) * time.Millisecond)
			continue
		}
		if c.serve(conn) {
			failures = 0
		} else {
			failures++
			time.Sleep(time.Duration(100+rand.Intn(300)) * time.Millisecond)
		}
	}
}

func (c *client) say(text string) {
	if c.conn == nil {
		return
	}
	c.lastSaid = time.Now()
	c.conn.SetWriteDeadline(time.Now().Add(time.Second))
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.conn.Close()
	}
}

// serve uses one connection until it ends, and reports whether HELLO was answered with OK.
func (c *client) serve(conn net.Conn) bool {
	c.mutex.Lock()
	c.conn, c.helloOK, c.lastHeard, c.helloAt = conn, false, time.Now(), time.Now()
	c.connects++
	for _, sub := range c.subs {
		sub.confirmed = false
	}
	c.subAt = map[string]time.Time{}
	for _, queue := range c.queue {
		for _, m := range queue {
			m.inFlight = false
		}
	}
	c.say("HELLO " + c.name + "\r\n")
	c.mutex.Unlock()
	reader := bufio.NewReaderSize(conn, 64<<10)
	ok := false
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			break
		}
		line = strings.TrimSuffix(line, "\r\n")
		words := strings.Split(line, " ")
		body := ""
		if words[0] == "MSG" && len(words) == 6 {
			size, _ := strconv.Atoi(words[5])
			read := make([]byte, size+2)
			if _, err := io.ReadFull(reader, read); err != nil {
				break
			}
			body = string(read[:size])
		}
		c.mutex.Lock()
		c.lastHeard = time.Now()
		c.handle(words, body)
		ok = ok || c.helloOK
		stop := c.moveTo != "" || c.closed
		c.mutex.Unlock()
		if stop {
			break
		}
	}
	conn.Close()
	c.mutex.Lock()
	c.conn, c.helloOK = nil, false
	c.mutex.Unlock()
	return ok
}

func (c *client) handle(words []string, body string) {
	switch words[0] {
	case "OK":
		switch words[1] {
		case "HELLO":
			c.helloOK = true
			for _, sub := range c.subs {
				c.subscribe(sub)
			}
			c.pump()
		case "SUB":
			sub := c.subs[words[2]]
			if sub == nil {
				return
			}
			if sub.firstOK.IsZero() {
				sub.firstOK = time.Now()
			}
			sub.confirmed = true
			delete(c.subAt, words[2])
			if len(words) > 3 && (sub.cursor == "" || len(sub.deliveries) == 0) {
				sub.cursor = words[3]
			}
		}
	case "DENY":
		reason := words[len(words)-1]
		switch words[1] {
		case "HELLO":
			if c.conn != nil {
				c.conn.Close()
			}
		case "SUB":
			sub := c.subs[words[2]]
			if sub == nil {
				return
			}
			delete(c.subAt, words[2])
			sub.refused = append(sub.refused, reason)
			if reason == "EXPIRED" {
				sub.ended = time.Now()
				c.old = append(c.old, sub)
				sub = &subscription{topic: sub.topic}
				c.subs[sub.topic] = sub
			}
			conn := c.conn
			time.AfterFunc(time.Duration(100+rand.Intn(400))*time.Millisecond, func() {
				c.mutex.Lock()
				defer c.mutex.Unlock()
				if c.conn == conn && c.helloOK && c.subs[sub.topic] == sub && !sub.confirmed {
					c.subscribe(sub)
				}
			})
		case "PUB":
			seq, _ := strconv.Atoi(words[3])
			c.answered(words[2], seq, reason)
		}
	case "ACK":
		seq, _ := strconv.Atoi(words[2])
		c.answered(words[1], seq, "ACK")
	case "MSG":
		if len(words) != 6 {
			c.fault("MIXED: unreadable %q", words)
			return
		}
		sub := c.subs[words[1]]
		if sub == nil {
			c.fault("MIXED: message of %s, which was not asked for", words[1])
			return
		}
		seq, _ := strconv.Atoi(words[4])
		sub.deliveries = append(sub.deliveries, delivery{at: time.Now(), cursor: words[2], sender: words[3], seq: seq, body: body})
		sub.cursor = words[2]
	case "MOVE":
		c.moveTo = words[1]
	case "PONG", "NSUBS":
	default:
		c.fault("MIXED: unreadable %q", words)
	}
}

func (c *client) subscribe(sub *subscription) {
	c.subAt[sub.topic] = time.Now()
	if sub.cursor == "" {
		c.say("SUB " + sub.topic + "\r\n")
	} else {
		c.say("SUB " + sub.topic + " " + sub.cursor + "\r\n")
	}
}

// publish queues a message.
func (c *client) publish(topic, id string, size int) *message {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	body := id + "."
	for len(body) < max(size, 20) {
		body += "abcdefghijklmnopqrstuvwxyz"[:min(26, max(size, 20)-len(body))]
	}
	m := &message{topic: topic, id: id, body: body, wanted: time.Now(), tries: map[int]string{}}
	c.queue[topic] = append(c.queue[topic], m)
	c.sent = append(c.sent, m)
	c.pump()
	return m
}

// pump sends what is queued: at most pipeline messages at a time for each topic, in order.
func (c *client) pump() {
	if !c.helloOK || c.conn == nil {
		return
	}
	for topic, queue := range c.queue {
		for index, m := range queue {
			if index >= c.pipeline {
				break
			}
			if m.inFlight || m.done {
				continue
			}
			if m.seq == 0 {
				c.seq++
				m.seq = c.seq
			}
			if m.firstSent.IsZero() {
				m.firstSent = time.Now()
			}
			m.inFlight, m.sentAt = true, time.Now()
			if m.tries[m.seq] == "" {
				m.tries[m.seq] = "sent"
			} else {
				// An earlier try under this number had no clear answer.
				m.tries[m.seq] = "unclear"
			}
			m.story = append(m.story, fmt.Sprintf("%s PUB %d to %s", stamp(time.Now()), m.seq, c.conn.RemoteAddr()))
			c.say(fmt.Sprintf("PUB %s %d %d\r\n%s\r\n", topic, m.seq, len(m.body), m.body))
		}
	}
}

func (c *client) finish(m *message) {
	m.done = true
	queue := c.queue[m.topic]
	for index, each := range queue {
		if each == m {
			c.queue[m.topic] = append(append([]*message(nil), queue[:index]...), queue[index+1:]...)
			break
		}
	}
}

func (c *client) answered(topic string, seq int, answer string) {
	for _, m := range c.queue[topic] {
		if m.seq != seq || !m.inFlight {
			continue
		}
		m.inFlight = false
		m.story = append(m.story, fmt.Sprintf("%s %s %d", stamp(time.Now()), answer, seq))
		if answer == "RETRY" {
			if m.denied == nil {
				m.denied = map[int]time.Time{}
			}
			m.denied[seq] = time.Now()
		}
		switch answer {
		case "ACK":
			m.tries[seq], m.acked = "ACK", time.Now()
			c.finish(m)
		case "MAYBE":
			m.tries[seq] = "MAYBE"
			if time.Since(m.wanted) > c.timeout {
				c.finish(m)
			}
		default:
			if m.tries[seq] == "sent" {
				m.tries[seq] = answer
			}
			m.renewals++
			if m.renewals > 2 || time.Since(m.wanted) > c.timeout || answer != "RETRY" {
				c.finish(m)
			} else {
				m.seq = 0
			}
		}
		time.AfterFunc(50*time.Millisecond, func() {
			c.mutex.Lock()
			defer c.mutex.Unlock()
			c.pump()
		})
		return
	}
}

// watch resets the connection and gives up messages as the pages say.
func (c *client) watch() {
	for {
		time.Sleep(50 * time.Millisecond)
		c.mutex.Lock()
		if c.closed {
			c.mutex.Unlock()
			return
		}
		now := time.Now()
		reset := false
		if c.conn != nil {
			if c.helloOK && now.Sub(c.lastSaid) > 2*time.Second {
				c.say("PING\r\n")
			}
			reset = now.Sub(c.lastHeard) > 5*time.Second || !c.helloOK && now.Sub(c.helloAt) > c.timeout
			for _, at := range c.subAt {
				reset = reset || now.Sub(at) > c.timeout
			}
		}
		for _, queue := range c.queue {
			for _, m := range append([]*message(nil), queue...) {
				if m.inFlight && now.Sub(m.sentAt) > c.timeout {
					reset = true
				}
				if now.Sub(m.wanted) > c.timeout && (!m.inFlight || now.Sub(m.sentAt) > c.timeout) {
					c.finish(m)
				}
			}
		}
		if reset && c.conn != nil {
			if tcp, isTCP := c.conn.(*net.TCPConn); isTCP {
				tcp.SetLinger(0)
			}
			c.conn.Close()
			c.turn++
		}
		c.pump()
		c.mutex.Unlock()
	}
}

func (c *client) reset() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if tcp, isTCP := c.conn.(*net.TCPConn); isTCP {
		tcp.SetLinger(0)
		tcp.Close()
	}
}

func (c *client) close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	if c.conn != nil {
		c.conn.Close()
	}
}
