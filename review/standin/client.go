package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// line is one message of a gateway.
type line struct {
	at     time.Time
	fields []string
	body   string
}

// connection is one client's connection. It answers for its own pings.
type connection struct {
	name   string
	socket net.Conn
	lines  chan line
	gone   chan struct{}
	mutex  sync.Mutex
	heard  time.Time
}

// dial connects and says HELLO; nil if that isn't answered by OK within two seconds.
func dial(address, name string) *connection {
	socket, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil
	}
	made := &connection{name: name, socket: socket, lines: make(chan line, 1<<16), gone: make(chan struct{}), heard: time.Now()}
	go made.read()
	made.say("HELLO %s", name)
	if answer, came := made.next(2 * time.Second); !came || len(answer.fields) < 2 || answer.fields[0] != "OK" {
		made.close()
		return nil
	}
	go made.ping()
	return made
}

// connect dials until a gateway takes the client.
func connect(addresses []string, name string, limit time.Duration) *connection {
	until := time.Now().Add(limit)
	for attempt := 0; time.Now().Before(until); attempt++ {
		if made := dial(addresses[attempt%len(addresses)], name); made != nil {
			return made
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

func (c *connection) say(format string, values ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_ = c.socket.SetWriteDeadline(time.Now().Add(2 * time.Second))
	_, _ = fmt.Fprintf(c.socket, format+"\r\n", values...)
}

func (c *connection) publish(topic string, seq int, body string) {
	c.say("PUB %s %d %d\r\n%s", topic, seq, len(body), body)
}

func (c *connection) ping() {
	for {
		select {
		case <-c.gone:
			return
		case <-time.After(1500 * time.Millisecond):
			c.say("PING")
		}
	}
}

func (c *connection) close() { _ = c.socket.Close() }

func (c *connection) read() {
	defer close(c.gone)
	defer close(c.lines)
	defer c.close()
	reader := bufio.NewReaderSize(c.socket, 64<<10)
	for {
		text, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		next := line{at: time.Now(), fields: strings.Fields(text)}
		if len(next.fields) == 0 || next.fields[0] == "PONG" {
			continue
		}
		if next.fields[0] == "MSG" {
			length, err := strconv.Atoi(next.fields[len(next.fields)-1])
			if err != nil {
				return
			}
			body := make([]byte, length+2)
			if _, err := io.ReadFull(reader, body); err != nil {
				return
			}
			next.body = string(body[:length])
		}
		c.lines <- next
	}
}

// next waits for a line.
func (c *connection) next(limit time.Duration) (line, bool) {
	select {
	case got, open := <-c.lines:
		return got, open
	case <-time.After(limit):
		return line{}, false
	}
}

// isGone tells whether the connection has ended.
func (c *connection) isGone() bool {
	select {
	case <-c.gone:
		return true
	default:
		return false
	}
}
