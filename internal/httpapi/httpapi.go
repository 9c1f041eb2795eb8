// Package httpapi serves the HTTP API of a gateway for clients: HTTP/1.1 with JSON
// through the standard library. A client opens a channel (a long streamed response
// with one event on each line, which delivers the events of one session) and sends
// requests to the same daemon. Request bodies are validated strictly, and each fault
// is reported with its JSON path.
package httpapi

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/valyala/fastjson"

	"dahlialock/internal/config"
	"dahlialock/internal/daemon"
	"dahlialock/internal/gateway"
	"dahlialock/internal/statemachine"
)

const (
	maxBodyBytes = config.MaxDataBytes + 512<<10
	sinkSize     = 1024
	writeLimit   = 10 * time.Second
)

// Token returns the bearer token of a client: its name and an HMAC of it.
func Token(key []byte, client string) string {
	sum := hmac.New(sha256.New, key)
	_, _ = sum.Write([]byte("origin:" + client))
	return client + "." + hex.EncodeToString(sum.Sum(nil))
}

// ClientOf returns the client's name from a token, or an empty string if the token is
// invalid. Without a key each client is admitted, and the token is the name alone.
func ClientOf(key []byte, token string) string {
	if len(key) == 0 {
		if !config.ValidName(token) {
			return ""
		}
		return token
	}
	last := strings.LastIndexByte(token, '.')
	if last <= 0 || !config.ValidName(token[:last]) || !hmac.Equal([]byte(Token(key, token[:last])), []byte(token)) {
		return ""
	}
	return token[:last]
}

// Server serves the clients of a gateway.
type Server struct {
	host     *daemon.EventLoop
	name     string
	key      []byte
	requests atomic.Uint64
	started  string
}

// New returns the HTTP handler of a gateway's client API.
func New(name string, key []byte, at *daemon.EventLoop) http.Handler {
	server := &Server{host: at, name: name, key: key, started: strconv.FormatInt(time.Now().UnixNano(), 36)}
	routes := http.NewServeMux()
	routes.HandleFunc("GET /v1/channel", server.channel)
	routes.HandleFunc("POST /v1/subscribe", server.subscribe)
	routes.HandleFunc("POST /v1/unsubscribe", server.unsubscribe)
	routes.HandleFunc("POST /v1/publish", server.publish)
	routes.HandleFunc("POST /v1/pong", server.pong)
	routes.HandleFunc("POST /v1/count", server.count)
	return routes
}

func (s *Server) requestName() string {
	return fmt.Sprintf("%s-%s-%d", s.name, s.started, s.requests.Add(1))
}

func (s *Server) give(writer http.ResponseWriter, request string, answer gateway.Reply) {
	body := map[string]any{"outcome": answer.Outcome, "visit": request}
	if answer.Code != "" {
		body["code"], body["text"] = answer.Code, answer.Text
	}
	if answer.RetryAfter > 0 {
		seconds := int((answer.RetryAfter + time.Second - 1) / time.Second)
		writer.Header().Set("Retry-After", strconv.Itoa(seconds))
		body["retry_after_ms"] = answer.RetryAfter.Milliseconds()
	}
	if answer.Cursor != "" {
		body["cursor"] = answer.Cursor
	}
	for name, value := range answer.Fields {
		body[name] = value
	}
	packed, err := json.Marshal(body)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Visit-Id", request)
	writer.WriteHeader(answer.Status)
	_, _ = writer.Write(append(packed, '\n'))
}

func refuse(status int, code, text string) gateway.Reply {
	return gateway.Reply{Status: status, Outcome: gateway.OutcomeRejected, Code: code, Text: text}
}

// admit authenticates the client; it responds with an error if the token is missing or invalid.
func (s *Server) admit(writer http.ResponseWriter, request *http.Request, name string) (string, bool) {
	token, found := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	client := ""
	if found {
		client = ClientOf(s.key, token)
	}
	if client == "" {
		s.give(writer, name, refuse(http.StatusUnauthorized, "not-authentic", "a bearer token of this fleet is wanted"))
		return "", false
	}
	return client, true
}

// read parses a request body as an object with no other keys than the given ones.
func (s *Server) read(writer http.ResponseWriter, request *http.Request, name string, walk *config.Reader, keys ...string) (map[string]*fastjson.Value, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBodyBytes))
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			s.give(writer, name, refuse(http.StatusRequestEntityTooLarge, "too-large", err.Error()))
		} else {
			s.give(writer, name, refuse(http.StatusBadRequest, "malformed", err.Error()))
		}
		return nil, false
	}
	value, valid := walk.Parse(body)
	if !valid {
		s.faulty(writer, name, walk)
		return nil, false
	}
	return walk.Object("$", value, keys...), true
}

// enter authenticates the client of a request and reads the body.
func (s *Server) enter(writer http.ResponseWriter, request *http.Request, walk *config.Reader, keys ...string) (name, client string, members map[string]*fastjson.Value, valid bool) {
	name = s.requestName()
	if client, valid = s.admit(writer, request, name); !valid {
		return name, "", nil, false
	}
	members, valid = s.read(writer, request, name, walk, keys...)
	return name, client, members, valid
}

func (s *Server) faulty(writer http.ResponseWriter, name string, walk *config.Reader) {
	code := walk.Faults[0].Code
	answer := refuse(http.StatusBadRequest, string(code), walk.Faults[0].String())
	answer.Fields = map[string]any{"faults": walk.Faults}
	s.give(writer, name, answer)
}

// need reports a fault if a required key is missing.
func need(walk *config.Reader, members map[string]*fastjson.Value, key string) {
	if members[key] == nil {
		walk.Report("$."+key, "missing", "%s is wanted", key)
	}
}

// do submits a command to the gateway and writes its reply as the response.
func (s *Server) do(writer http.ResponseWriter, name string, command func(request uint64) any) {
	value, alive := s.host.Call(command)
	answer, matches := value.(gateway.Reply)
	if !alive || !matches {
		answer = refuse(http.StatusServiceUnavailable, "stopping", "this daemon is stopping")
		answer.Outcome, answer.RetryAfter = gateway.OutcomeUnsettled, 250*time.Millisecond
	}
	s.give(writer, name, answer)
}

func channelNumber(text string) (uint64, bool) {
	number, err := strconv.ParseUint(text, 16, 64)
	return number, err == nil && number != 0
}

// mustNumber returns a random session number other than 0.
func mustNumber() uint64 {
	var body [8]byte
	for {
		if _, err := rand.Read(body[:]); err != nil {
			panic(err)
		}
		number := uint64(0)
		for _, each := range body {
			number = number<<8 | uint64(each)
		}
		if number != 0 {
			return number
		}
	}
}

// channel opens a channel and writes its events until either side ends it.
func (s *Server) channel(writer http.ResponseWriter, request *http.Request) {
	name := s.requestName()
	client, admitted := s.admit(writer, request, name)
	if !admitted {
		return
	}
	number := mustNumber()
	channel := strconv.FormatUint(number, 16)
	sink := make(chan statemachine.Delivery, sinkSize)
	s.host.AttachSession(number, sink)
	value, alive := s.host.Call(func(local uint64) any {
		return gateway.OpenSession{Request: local, Session: number, Name: channel, Client: client}
	})
	answer, matches := value.(gateway.Reply)
	if !alive || !matches || answer.Outcome != gateway.OutcomeAccepted {
		s.host.DetachSession(number)
		if !matches {
			answer = refuse(http.StatusServiceUnavailable, "stopping", "this daemon is stopping")
			answer.RetryAfter = 250 * time.Millisecond
		}
		s.give(writer, name, answer)
		return
	}
	writer.Header().Set("Content-Type", "application/x-ndjson")
	writer.Header().Set("Cache-Control", "no-store")
	writer.Header().Set("Visit-Id", name)
	writer.WriteHeader(http.StatusOK)
	why := s.stream(writer, request, sink)
	s.host.DetachSession(number)
	s.host.Post(gateway.CloseSession{Session: number, Reason: why})
}

// stream writes the events of sink and flushes when no more are queued. It returns
// the reason why the channel ended.
func (s *Server) stream(writer http.ResponseWriter, request *http.Request, sink chan statemachine.Delivery) string {
	controller := http.NewResponseController(writer)
	encoder := json.NewEncoder(writer)
	encoder.SetEscapeHTML(false)
	closed := false
	for {
		var first statemachine.Delivery
		var open bool
		select {
		case first, open = <-sink:
		case <-request.Context().Done():
			return "closed"
		}
		if !open {
			if !closed {
				_ = encoder.Encode(gateway.Event{Event: "gone", Code: "slow"})
				_ = controller.Flush()
			}
			return "ended"
		}
		_ = controller.SetWriteDeadline(time.Now().Add(writeLimit))
		for {
			if err := encoder.Encode(written(first.Event)); err != nil {
				return "broken"
			}
			closed = closed || first.Close
			select {
			case next, more := <-sink:
				if more {
					first = next
					continue
				}
				_ = controller.Flush()
				if !closed {
					_ = encoder.Encode(gateway.Event{Event: "gone", Code: "slow"})
					_ = controller.Flush()
				}
				return "ended"
			default:
			}
			break
		}
		if err := controller.Flush(); err != nil {
			return "broken"
		}
	}
}

// written returns an event in the form in which it is encoded as JSON. The body of a
// message of a routed topic is arbitrary bytes: it is written as a string if it is
// valid UTF-8, and in base64 otherwise.
func written(event any) any {
	message, matches := event.(gateway.Event)
	if !matches || message.Body == nil {
		return event
	}
	if !utf8.Valid(message.Body) {
		return struct {
			gateway.Event
			Base64 []byte `json:"data_base64"`
		}{Event: message, Base64: message.Body}
	}
	packed, err := json.Marshal(string(message.Body))
	if err != nil {
		return event
	}
	message.Data = packed
	return message
}

// routedData reads the body of a publication to a routed topic, from data or data_base64.
func routedData(walk *config.Reader, members map[string]*fastjson.Value) []byte {
	switch text, plain := members["data"], members["data_base64"]; {
	case text != nil && plain != nil, text == nil && plain == nil:
		walk.Report("$.data", "missing", "either data or data_base64 is wanted")
	case text != nil:
		return []byte(walk.Text("$.data", text, ""))
	default:
		bytes, err := base64.StdEncoding.DecodeString(walk.Text("$.data_base64", plain, ""))
		if err != nil {
			walk.Report("$.data_base64", "malformed", "%s", err.Error())
		}
		return bytes
	}
	return nil
}

func interests(walk *config.Reader, value *fastjson.Value) []gateway.Interest {
	var found []gateway.Interest
	for position, item := range walk.List("$.subscriptions", value, 256) {
		path := fmt.Sprintf("$.subscriptions[%d]", position)
		members := walk.Object(path, item, "space", "topic", "prefix")
		// Without a space the routes determine it; they apply to topics but not to prefixes.
		interest := gateway.Interest{Space: walk.Text(path+".space", members["space"], "")}
		if members["space"] == nil && members["topic"] == nil {
			walk.Report(path+".space", "missing", "space is wanted")
		}
		switch {
		case members["topic"] != nil && members["prefix"] != nil, members["topic"] == nil && members["prefix"] == nil:
			walk.Report(path, "missing", "either topic or prefix is wanted")
		case members["topic"] != nil:
			interest.Path = walk.Text(path+".topic", members["topic"], "")
		default:
			interest.Path, interest.Prefix = walk.Text(path+".prefix", members["prefix"], ""), true
		}
		found = append(found, interest)
	}
	return found
}

func (s *Server) subscribe(writer http.ResponseWriter, request *http.Request) {
	var walk config.Reader
	name, client, members, valid := s.enter(writer, request, &walk, "channel", "subscriptions", "cursor")
	if !valid {
		return
	}
	need(&walk, members, "channel")
	if members["cursor"] == nil {
		need(&walk, members, "subscriptions")
	}
	channel, fit := channelNumber(walk.Text("$.channel", members["channel"], ""))
	command := gateway.Subscribe{
		RequestName: name, Session: channel, Client: client, Interests: interests(&walk, members["subscriptions"]),
		Cursor: walk.Text("$.cursor", members["cursor"], ""),
	}
	if len(walk.Faults) > 0 {
		s.faulty(writer, name, &walk)
		return
	}
	if !fit {
		s.give(writer, name, refuse(http.StatusNotFound, "no-such-channel", "this channel is not open here"))
		return
	}
	s.do(writer, name, func(local uint64) any {
		command.Request = local
		return command
	})
}

func (s *Server) unsubscribe(writer http.ResponseWriter, request *http.Request) {
	var walk config.Reader
	name, client, members, valid := s.enter(writer, request, &walk, "channel", "subscriptions")
	if !valid {
		return
	}
	need(&walk, members, "channel")
	need(&walk, members, "subscriptions")
	channel, _ := channelNumber(walk.Text("$.channel", members["channel"], ""))
	command := gateway.Unsubscribe{RequestName: name, Session: channel, Client: client, Interests: interests(&walk, members["subscriptions"])}
	if len(walk.Faults) > 0 {
		s.faulty(writer, name, &walk)
		return
	}
	s.do(writer, name, func(local uint64) any {
		command.Request = local
		return command
	})
}

func (s *Server) publish(writer http.ResponseWriter, request *http.Request) {
	var walk config.Reader
	name, client, members, valid := s.enter(writer, request, &walk, "space", "topic", "sender", "seq", "data", "data_base64")
	if !valid {
		return
	}
	for _, key := range []string{"topic", "seq"} {
		need(&walk, members, key)
	}
	routed := members["space"] == nil
	if !routed {
		need(&walk, members, "data")
	}
	command := gateway.Publish{
		RequestName: name, Client: client, Sender: walk.Text("$.sender", members["sender"], client),
		Space: walk.Text("$.space", members["space"], ""), Topic: walk.Text("$.topic", members["topic"], ""),
		Seq: uint64(walk.Integer("$.seq", members["seq"], 0, 1, math.MaxInt64)),
	}
	if routed {
		command.Data = routedData(&walk, members)
	}
	if len(walk.Faults) > 0 {
		s.faulty(writer, name, &walk)
		return
	}
	if !routed {
		command.Data = members["data"].MarshalTo(nil)
	}
	s.do(writer, name, func(local uint64) any {
		command.Request = local
		return command
	})
}

func (s *Server) pong(writer http.ResponseWriter, request *http.Request) {
	var walk config.Reader
	name, client, members, valid := s.enter(writer, request, &walk, "channel")
	if !valid {
		return
	}
	need(&walk, members, "channel")
	channel, _ := channelNumber(walk.Text("$.channel", members["channel"], ""))
	if len(walk.Faults) > 0 {
		s.faulty(writer, name, &walk)
		return
	}
	s.do(writer, name, func(local uint64) any { return gateway.Pong{Request: local, Session: channel, Client: client} })
}

// count responds with the number of clients that subscribe to a routed topic.
func (s *Server) count(writer http.ResponseWriter, request *http.Request) {
	var walk config.Reader
	name, client, members, valid := s.enter(writer, request, &walk, "channel", "topic")
	if !valid {
		return
	}
	need(&walk, members, "channel")
	need(&walk, members, "topic")
	channel, _ := channelNumber(walk.Text("$.channel", members["channel"], ""))
	command := gateway.CountSubscribers{RequestName: name, Session: channel, Client: client, Topic: walk.Text("$.topic", members["topic"], "")}
	if len(walk.Faults) > 0 {
		s.faulty(writer, name, &walk)
		return
	}
	value, alive := s.host.Call(func(local uint64) any {
		command.Request = local
		return command
	})
	answer, matches := value.(gateway.Reply)
	if !alive || !matches {
		answer = refuse(http.StatusServiceUnavailable, "stopping", "this daemon is stopping")
		answer.RetryAfter = 250 * time.Millisecond
	} else if answer.Outcome == gateway.OutcomeAccepted {
		answer.Fields = map[string]any{"count": answer.SubscriberCount}
	}
	s.give(writer, name, answer)
}
