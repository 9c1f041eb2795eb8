package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// proxy passes one client's connections on to a gateway. While cut is set it resets a connection as soon as
// the gateway has sent something, and passes that on no more.
type proxy struct {
	listener net.Listener
	target   string
	cut      atomic.Bool
	dropped  atomic.Int64
}

func newProxy(target string) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		unable("proxy: %v", err)
	}
	p := &proxy{listener: listener, target: target}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			go p.pass(near.(*net.TCPConn))
		}
	}()
	return p
}

func (p *proxy) pass(near *net.TCPConn) {
	far, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		near.Close()
		return
	}
	go func() {
		io.Copy(far, near)
		far.Close()
	}()
	buffer := make([]byte, 64<<10)
	for {
		size, err := far.Read(buffer)
		if err != nil {
			near.Close()
			return
		}
		if p.cut.Load() {
			p.dropped.Add(int64(strings.Count(string(buffer[:size]), "ACK ")))
			near.SetLinger(0)
			near.Close()
			far.(*net.TCPConn).SetLinger(0)
			far.Close()
			return
		}
		if _, err := near.Write(buffer[:size]); err != nil {
			far.Close()
			return
		}
	}
}

// line is a plain connection of a client.
type line struct {
	conn   net.Conn
	reader *bufio.Reader
}

// dial connects and opens the session; it tries again after a refusal, as clients do.
func dial(name string, addresses ...string) *line {
	for turn := range 40 {
		conn, err := net.DialTimeout("tcp", addresses[turn%len(addresses)], time.Second)
		if err == nil {
			l := &line{conn: conn, reader: bufio.NewReader(conn)}
			l.say("HELLO %s\r\n", name)
			if l.read(1500*time.Millisecond) == "OK HELLO" {
				return l
			}
			conn.Close()
		}
		time.Sleep(200 * time.Millisecond)
	}
	unable("%s gets no session", name)
	return nil
}

func (l *line) say(format string, values ...any) { fmt.Fprintf(l.conn, format, values...) }

// read returns the next line, "" after the time or the end.
func (l *line) read(patience time.Duration) string {
	l.conn.SetReadDeadline(time.Now().Add(patience))
	text, err := l.reader.ReadString('\n')
	if err != nil {
		return ""
	}
	text = strings.TrimSuffix(text, "\r\n")
	if words := strings.Split(text, " "); words[0] == "MSG" {
		size := 0
		fmt.Sscan(words[len(words)-1], &size)
		io.CopyN(io.Discard, l.reader, int64(size+2))
	}
	return text
}

// note is one message of the case and what its publisher saw of it.
type note struct {
	topic string
	seq   int
	sent  time.Time
	acked time.Time
}

// publisher publishes to its topics, one message each at a time.
type publisher struct {
	name   string
	proxy  *proxy
	topics []string
	seq    int
	line   *line
	notes  []*note
}

// publish sends one message to each topic at once. With reset the connection is reset before an answer comes; the
// publisher is back after 1.8 s, within resume-s, when the deadline of the messages (1.5 s) has passed.
func (p *publisher) publish(reset bool) {
	p.proxy.cut.Store(reset)
	var sent []*note
	for _, topic := range p.topics {
		p.seq++
		n := &note{topic: topic, seq: p.seq, sent: time.Now()}
		sent = append(sent, n)
		body := fmt.Sprintf("%s.%s.%d.abcdefghijklmnopqrstuvwxyz", p.name, topic, p.seq)
		p.line.say("PUB %s %d %d\r\n%s\r\n", topic, p.seq, len(body), body)
	}
	p.notes = append(p.notes, sent...)
	waiting := len(sent)
	for end := time.Now().Add(1500 * time.Millisecond); waiting > 0 && time.Now().Before(end); {
		text := p.line.read(time.Until(end))
		if text == "" {
			break
		}
		words := strings.Split(text, " ")
		for _, n := range sent {
			if words[0] == "ACK" && words[1] == n.topic && words[2] == fmt.Sprint(n.seq) {
				n.acked = time.Now()
				waiting--
			}
		}
		if words[0] == "DENY" {
			record("%s: %s", p.name, text)
		}
	}
	if !reset {
		return
	}
	p.line.conn.Close()
	time.Sleep(1800 * time.Millisecond)
	p.proxy.cut.Store(false)
	p.line = dial(p.name, p.proxy.listener.Addr().String())
}

// idle keeps a connection from being taken for silent.
func (p *publisher) idle(span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); {
		time.Sleep(min(time.Second, time.Until(end)))
		p.line.say("PING\r\n")
		p.line.read(time.Second)
	}
}

// place has places given, messages sent whose answers are lost, and the places taken up later by new clients.
func place(root, folder string, trouble bool) {
	f := up(root, folder)
	edges := f.of("edge")
	var fronts []string
	for _, m := range edges {
		fronts = append(fronts, f.front(m))
	}
	const publishers, each = 20, 5
	type given struct {
		cursor string
		at     time.Time
	}
	places := map[string]given{}
	var all []*publisher
	for n := range publishers {
		p := &publisher{name: fmt.Sprintf("p%d", n), proxy: newProxy(fronts[n%2])}
		for t := range each {
			p.topics = append(p.topics, fmt.Sprintf("d.%d-%d", n, t))
		}
		p.line = dial(p.name, p.proxy.listener.Addr().String())
		all = append(all, p)
	}
	for n, p := range all {
		reader := dial(fmt.Sprintf("s%d", n), fronts[2])
		for _, topic := range p.topics {
			var words []string
			for range 20 {
				reader.say("SUB %s\r\n", topic)
				words = strings.Split(reader.read(1500*time.Millisecond), " ")
				if words[0] == "OK" {
					break
				}
				time.Sleep(300 * time.Millisecond)
			}
			if len(words) != 4 || words[0] != "OK" {
				unable("SUB %s: %q", topic, words)
			}
			places[topic] = given{cursor: words[3], at: time.Now()}
		}
		reader.conn.Close()
	}
	record("%d places are given, for instance %s of %s; their clients go away", len(places), places["d.0-0"].cursor, "d.0-0")
	together := func(work func(p *publisher)) {
		var wait sync.WaitGroup
		for _, p := range all {
			wait.Add(1)
			go func() {
				defer wait.Done()
				work(p)
			}()
		}
		wait.Wait()
	}
	together(func(p *publisher) { p.idle(time.Second) })
	record("first messages (reset before the answer: %v)", trouble)
	together(func(p *publisher) { p.publish(trouble) })
	together(func(p *publisher) { p.idle(13500 * time.Millisecond) })
	record("second messages (reset before the answer: %v)", trouble)
	together(func(p *publisher) { p.publish(trouble) })
	together(func(p *publisher) { p.idle(62 * time.Second) })
	record("third messages")
	together(func(p *publisher) { p.publish(false) })
	together(func(p *publisher) { p.idle(6 * time.Second) })
	record("new clients take up the places")
	expired, excused, broken, got, unclear := 0, 0, 0, 0, 0
	var lock sync.Mutex
	var taking sync.WaitGroup
	for _, p := range all {
		for _, topic := range p.topics {
			taking.Add(1)
			go func() {
				defer taking.Done()
				var newest *note
				for _, each := range p.notes {
					if each.topic == topic && !each.acked.IsZero() && each.sent.After(places[topic].at) {
						newest = each
					}
				}
				result, story := takeUp("n-"+topic, topic, places[topic].cursor, newest, fronts[2])
				old, owed := false, []string{}
				for _, each := range p.notes {
					if each.topic == topic && !each.acked.IsZero() && each.sent.After(places[topic].at) {
						age := time.Since(each.sent)
						owed = append(owed, fmt.Sprintf("seq %d, %s old", each.seq, age.Round(100*time.Millisecond)))
						old = old || age > 35*time.Second
					}
				}
				lock.Lock()
				defer lock.Unlock()
				switch {
				case result == "EXPIRED" && old:
					expired++
					excused++
				case result == "EXPIRED":
					expired++
					broken++
					if broken <= 20 {
						record("LOST: %s at %s: %v; owed and lacking: %v", topic, places[topic].cursor, story, owed)
					}
				case result == "got":
					got++
				default:
					unclear++
					record("neither taken up nor refused: %s at %s: %v; owed: %v", topic, places[topic].cursor, story, owed)
				}
			}()
		}
	}
	taking.Wait()
	acked, unanswered, dropped := 0, 0, int64(0)
	for _, p := range all {
		for _, n := range p.notes {
			if n.acked.IsZero() {
				unanswered++
			} else {
				acked++
			}
		}
		dropped += p.proxy.dropped.Load()
	}
	record("%d messages acknowledged, %d without an answer (of these, ACKs that the resets cut off: at least %d)", acked, unanswered, dropped)
	record("%d places taken up, %d refused with EXPIRED, %d of them allowed, %d neither; rule broken %d times", got, expired, excused, unclear, broken)
	if broken > 0 {
		leave(1)
	}
	if got+expired == 0 {
		unable("no place was answered")
	}
	leave(0)
}

// takeUp takes up a place as a client does: it asks again after RETRY, MAYBE, silence and a cut, until the place is
// refused with EXPIRED or the newest message that is owed has come.
func takeUp(name, topic, cursor string, newest *note, address string) (string, []string) {
	var story []string
	for range 4 {
		l := dial(name, address)
		for range 5 {
			l.say("SUB %s %s\r\n", topic, cursor)
			answered, denied := false, false
			for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
				text := l.read(time.Until(end))
				if text == "" {
					break
				}
				words := strings.Split(text, " ")
				story = append(story, text)
				if words[0] == "DENY" && words[len(words)-1] == "EXPIRED" {
					l.conn.Close()
					return "EXPIRED", story
				}
				if words[0] == "DENY" {
					denied = true
					break
				}
				answered = answered || words[0] == "OK"
				if words[0] == "MSG" && newest != nil && words[4] == fmt.Sprint(newest.seq) {
					l.conn.Close()
					return "got", story
				}
			}
			if answered && newest == nil {
				l.conn.Close()
				return "got", story
			}
			if !denied {
				break
			}
			time.Sleep(300 * time.Millisecond)
		}
		l.conn.Close()
		story = append(story, "(connection ended)")
		time.Sleep(200 * time.Millisecond)
	}
	return "", story
}
