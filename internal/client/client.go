// Package client is a client of a gateway's HTTP API: it opens channels (streams of
// events), sends requests and answers pings. The command line and the simulated
// clients of trials use it; they follow move events within 50 ms
// and resume with their newest cursor after a lost connection.
package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Answer is the response to a request.
type Answer struct {
	Status       int    `json:"-"`
	Outcome      string `json:"outcome,omitempty"`
	Code         string `json:"code,omitempty"`
	Text         string `json:"text,omitempty"`
	Request      string `json:"visit,omitempty"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
	Again        bool   `json:"again,omitempty"`
	Cursor       string `json:"cursor,omitempty"`
	Missed       int    `json:"missed,omitempty"`
}

// Event is one event of a channel; each is one line of JSON.
type Event struct {
	Event   string          `json:"event,omitempty"`
	Channel string          `json:"channel,omitempty"`
	Daemon  string          `json:"daemon,omitempty"`
	Zone    string          `json:"zone,omitempty"`
	Version uint64          `json:"version,omitempty"`
	Space   string          `json:"space,omitempty"`
	Topic   string          `json:"topic,omitempty"`
	Sender  string          `json:"sender,omitempty"`
	Seq     uint64          `json:"seq,omitempty"`
	Data    json.RawMessage `json:"data,omitempty"`
	Cursor  string          `json:"cursor,omitempty"`
	Code    string          `json:"code,omitempty"`
	To      string          `json:"to,omitempty"`
	ToName  string          `json:"to_name,omitempty"`
}

// Subscription names a topic or a prefix.
type Subscription struct {
	Space  string  `json:"space"`
	Topic  *string `json:"topic,omitempty"`
	Prefix *string `json:"prefix,omitempty"`
}

// Client sends the requests of one client, which its token identifies.
type Client struct {
	Token string
	HTTP  *http.Client
}

// NewHTTPClient returns an HTTP client that pools its connections. If source is not
// empty, they are bound to that local IP address.
func NewHTTPClient(source string) *http.Client {
	dialer := &net.Dialer{Timeout: time.Second}
	if source != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(source)}
	}
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute, DisableCompression: true,
	}}
}

// Request sends one POST request with a JSON body to a gateway.
func (c *Client) Request(within context.Context, address, path string, body any) (Answer, error) {
	packed, err := json.Marshal(body)
	if err != nil {
		return Answer{}, err
	}
	request, err := http.NewRequestWithContext(within, http.MethodPost, "http://"+address+path, bytes.NewReader(packed))
	if err != nil {
		return Answer{}, err
	}
	request.Header.Set("Authorization", "Bearer "+c.Token)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.HTTP.Do(request)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	if err != nil {
		return Answer{}, err
	}
	answer := Answer{Status: response.StatusCode}
	if err := json.Unmarshal(read, &answer); err != nil {
		return Answer{}, fmt.Errorf("status %d: %w", response.StatusCode, err)
	}
	return answer, nil
}

// Channel is an open stream of events. Events is closed when the connection ends.
type Channel struct {
	Address string
	Name    string
	Hello   Event
	Events  chan Event
	cancel  context.CancelFunc
}

// RejectedError is the error of Open if the gateway rejected the channel.
type RejectedError struct{ Answer Answer }

func (r RejectedError) Error() string {
	return fmt.Sprintf("status %d %s: %s", r.Answer.Status, r.Answer.Code, r.Answer.Text)
}

// Open opens a channel and waits for its first event, the hello.
func (c *Client) Open(within context.Context, address string) (*Channel, error) {
	streamContext, cancel := context.WithCancel(within)
	request, err := http.NewRequestWithContext(streamContext, http.MethodGet, "http://"+address+"/v1/channel", nil)
	if err != nil {
		cancel()
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+c.Token)
	// A suspended daemon accepts connections but never responds, so the opening has a timeout.
	opened := make(chan struct{})
	stopOpening := time.AfterFunc(3*time.Second, func() {
		select {
		case <-opened:
		default:
			cancel()
		}
	})
	response, err := c.HTTP.Do(request)
	if err != nil {
		cancel()
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		defer cancel()
		return nil, rejectionOf(response)
	}
	reader := bufio.NewReaderSize(response.Body, 64<<10)
	channel := &Channel{Address: address, Events: make(chan Event, 64), cancel: cancel}
	line, err := reader.ReadBytes('\n')
	if err == nil {
		err = json.Unmarshal(line, &channel.Hello)
	}
	close(opened)
	stopOpening.Stop()
	if err != nil {
		_ = response.Body.Close()
		cancel()
		return nil, err
	}
	channel.Name = channel.Hello.Channel
	go func() {
		defer close(channel.Events)
		defer func() { _ = response.Body.Close() }()
		channel.receive(streamContext, reader)
	}()
	return channel, nil
}

// rejectionOf reads and closes the response that rejects a channel.
func rejectionOf(response *http.Response) RejectedError {
	var answer Answer
	body, _ := io.ReadAll(response.Body)
	_ = response.Body.Close()
	_ = json.Unmarshal(body, &answer)
	answer.Status = response.StatusCode
	return RejectedError{Answer: answer}
}

// receive passes the events of the stream on until it ends, or can't be decoded.
func (c *Channel) receive(within context.Context, reader *bufio.Reader) {
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			return
		}
		var event Event
		if json.Unmarshal(line, &event) != nil {
			return
		}
		select {
		case c.Events <- event:
		case <-within.Done():
			return
		}
	}
}

// Close closes a channel.
func (c *Channel) Close() { c.cancel() }

// Subscribe adds subscriptions to a channel, or resumes them from a cursor.
func (c *Client) Subscribe(
	within context.Context, channel *Channel, subscriptions []Subscription, cursor string,
) (Answer, error) {
	body := map[string]any{"channel": channel.Name}
	if subscriptions != nil {
		body["subscriptions"] = subscriptions
	}
	if cursor != "" {
		body["cursor"] = cursor
	}
	return c.Request(within, channel.Address, "/v1/subscribe", body)
}

// Publish publishes a message.
func (c *Client) Publish(within context.Context, address, space, topic string, seq uint64, data any) (Answer, error) {
	body := map[string]any{"space": space, "topic": topic, "seq": seq, "data": data}
	return c.Request(within, address, "/v1/publish", body)
}

// Pong answers a ping.
func (c *Client) Pong(within context.Context, channel *Channel) error {
	_, err := c.Request(within, channel.Address, "/v1/pong", map[string]any{"channel": channel.Name})
	return err
}
