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
	maxBodyBytes   = config.MaxDataBytes + 512<<10
	eventQueueSize = 1024
	writeTimeout   = 10 * time.Second
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

func (s *Server) writeReply(writer http.ResponseWriter, request string, answer gateway.Reply) {
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

func rejection(status int, code, text string) gateway.Reply {
	return gateway.Reply{Status: status, Outcome: gateway.OutcomeRejected, Code: code, Text: text}
}

// authenticate authenticates the client; it responds with an error if the token is missing or invalid.
func (s *Server) authenticate(writer http.ResponseWriter, request *http.Request, name string) (string, bool) {
	token, found := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	client := ""
	if found {
		client = ClientOf(s.key, token)
	}
	if client == "" {
		reply := rejection(http.StatusUnauthorized, "not-authentic", "a bearer token of this fleet is wanted")
		s.writeReply(writer, name, reply)
		return "", false
	}
	return client, true
}

// readBody parses a request body as an object with no other keys than the given ones.
func (s *Server) readBody(
	writer http.ResponseWriter, request *http.Request, name string, reader *config.Reader, keys ...string,
) (map[string]*fastjson.Value, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBodyBytes))
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			s.writeReply(writer, name, rejection(http.StatusRequestEntityTooLarge, gateway.CodeTooLarge, err.Error()))
		} else {
			s.writeReply(writer, name, rejection(http.StatusBadRequest, "malformed", err.Error()))
		}
		return nil, false
	}
	value, valid := reader.Parse(body)
	if !valid {
		s.rejectFaults(writer, name, reader)
		return nil, false
	}
	return reader.Object("$", value, keys...), true
}

// readRequest authenticates the client of a request and reads the body.
func (s *Server) readRequest(
	writer http.ResponseWriter, request *http.Request, reader *config.Reader, keys ...string,
) (name, client string, members map[string]*fastjson.Value, valid bool) {
	name = s.requestName()
	if client, valid = s.authenticate(writer, request, name); !valid {
		return name, "", nil, false
	}
	members, valid = s.readBody(writer, request, name, reader, keys...)
	return name, client, members, valid
}

func (s *Server) rejectFaults(writer http.ResponseWriter, name string, reader *config.Reader) {
	code := reader.Faults[0].Code
	answer := rejection(http.StatusBadRequest, string(code), reader.Faults[0].String())
	answer.Fields = map[string]any{"faults": reader.Faults}
	s.writeReply(writer, name, answer)
}

// requireKey reports a fault if a required key is missing.
func requireKey(reader *config.Reader, members map[string]*fastjson.Value, key string) {
	if members[key] == nil {
		reader.Report("$."+key, "missing", "%s is wanted", key)
	}
}

// execute submits a command to the gateway and writes its reply as the response.
func (s *Server) execute(writer http.ResponseWriter, name string, command func(request uint64) any) {
	value, alive := s.host.Call(command)
	answer, matches := value.(gateway.Reply)
	if !alive || !matches {
		answer = rejection(http.StatusServiceUnavailable, gateway.CodeStopping, "this daemon is stopping")
		answer.Outcome, answer.RetryAfter = gateway.OutcomeUnsettled, 250*time.Millisecond
	}
	s.writeReply(writer, name, answer)
}

func parseSessionNumber(text string) (uint64, bool) {
	number, err := strconv.ParseUint(text, 16, 64)
	return number, err == nil && number != 0
}

// newSessionNumber returns a random session number other than 0.
func newSessionNumber() uint64 {
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
	client, admitted := s.authenticate(writer, request, name)
	if !admitted {
		return
	}
	number := newSessionNumber()
	channel := strconv.FormatUint(number, 16)
	events := make(chan statemachine.Delivery, eventQueueSize)
	s.host.AttachSession(number, events)
	value, alive := s.host.Call(func(local uint64) any {
		return gateway.OpenSession{Request: local, Session: number, Name: channel, Client: client}
	})
	answer, matches := value.(gateway.Reply)
	if !alive || !matches || answer.Outcome != gateway.OutcomeAccepted {
		s.host.DetachSession(number)
		if !matches {
			answer = rejection(http.StatusServiceUnavailable, gateway.CodeStopping, "this daemon is stopping")
			answer.RetryAfter = 250 * time.Millisecond
		}
		s.writeReply(writer, name, answer)
		return
	}
	writer.Header().Set("Content-Type", "application/x-ndjson")
	writer.Header().Set("Cache-Control", "no-store")
	writer.Header().Set("Visit-Id", name)
	writer.WriteHeader(http.StatusOK)
	why := s.stream(writer, request, events)
	s.host.DetachSession(number)
	s.host.Post(gateway.CloseSession{Session: number, Reason: why})
}

// stream writes the queued events and flushes when the queue is empty. It returns
// the reason why the channel ended.
func (s *Server) stream(writer http.ResponseWriter, request *http.Request, events chan statemachine.Delivery) string {
	controller := http.NewResponseController(writer)
	encoder := json.NewEncoder(writer)
	encoder.SetEscapeHTML(false)
	closed := false
	for {
		var first statemachine.Delivery
		var open bool
		select {
		case first, open = <-events:
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
		_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
		for {
			if err := encoder.Encode(jsonEvent(first.Event)); err != nil {
				return "broken"
			}
			closed = closed || first.Close
			select {
			case next, more := <-events:
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

// jsonEvent returns an event in the form in which it is encoded as JSON. The body of a
// message of a routed topic is arbitrary bytes: it is written as a string if it is
// valid UTF-8, and in base64 otherwise.
func jsonEvent(event any) any {
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
func routedData(reader *config.Reader, members map[string]*fastjson.Value) []byte {
	switch text, plain := members["data"], members["data_base64"]; {
	case text != nil && plain != nil, text == nil && plain == nil:
		reader.Report("$.data", "missing", "either data or data_base64 is wanted")
	case text != nil:
		return []byte(reader.Text("$.data", text, ""))
	default:
		bytes, err := base64.StdEncoding.DecodeString(reader.Text("$.data_base64", plain, ""))
		if err != nil {
			reader.Report("$.data_base64", "malformed", "%s", err.Error())
		}
		return bytes
	}
	return nil
}

func interests(reader *config.Reader, value *fastjson.Value) []gateway.Interest {
	var found []gateway.Interest
	for position, item := range reader.List("$.subscriptions", value, 256) {
		path := fmt.Sprintf("$.subscriptions[%d]", position)
		members := reader.Object(path, item, "space", "topic", "prefix")
		// Without a space the routes determine it; they apply to topics but not to prefixes.
		interest := gateway.Interest{Space: reader.Text(path+".space", members["space"], "")}
		if members["space"] == nil && members["topic"] == nil {
			reader.Report(path+".space", "missing", "space is wanted")
		}
		switch {
		case members["topic"] != nil && members["prefix"] != nil, members["topic"] == nil && members["prefix"] == nil:
			reader.Report(path, "missing", "either topic or prefix is wanted")
		case members["topic"] != nil:
			interest.Path = reader.Text(path+".topic", members["topic"], "")
		default:
			interest.Path, interest.Prefix = reader.Text(path+".prefix", members["prefix"], ""), true
		}
		found = append(found, interest)
	}
	return found
}

func (s *Server) subscribe(writer http.ResponseWriter, request *http.Request) {
	var reader config.Reader
	name, client, members, valid := s.readRequest(writer, request, &reader, "channel", "subscriptions", "cursor")
	if !valid {
		return
	}
	requireKey(&reader, members, "channel")
	if members["cursor"] == nil {
		requireKey(&reader, members, "subscriptions")
	}
	channel, fit := parseSessionNumber(reader.Text("$.channel", members["channel"], ""))
	command := gateway.Subscribe{
		RequestName: name, Session: channel, Client: client, Interests: interests(&reader, members["subscriptions"]),
		Cursor: reader.Text("$.cursor", members["cursor"], ""),
	}
	if len(reader.Faults) > 0 {
		s.rejectFaults(writer, name, &reader)
		return
	}
	if !fit {
		s.writeReply(writer, name, rejection(http.StatusNotFound, gateway.CodeNoSuchSession, "this channel is not open here"))
		return
	}
	s.execute(writer, name, func(local uint64) any {
		command.Request = local
		return command
	})
}

func (s *Server) unsubscribe(writer http.ResponseWriter, request *http.Request) {
	var reader config.Reader
	name, client, members, valid := s.readRequest(writer, request, &reader, "channel", "subscriptions")
	if !valid {
		return
	}
	requireKey(&reader, members, "channel")
	requireKey(&reader, members, "subscriptions")
	channel, _ := parseSessionNumber(reader.Text("$.channel", members["channel"], ""))
	command := gateway.Unsubscribe{
		RequestName: name,
		Session:     channel,
		Client:      client,
		Interests:   interests(&reader, members["subscriptions"]),
	}
	if len(reader.Faults) > 0 {
		s.rejectFaults(writer, name, &reader)
		return
	}
	s.execute(writer, name, func(local uint64) any {
		command.Request = local
		return command
	})
}

func (s *Server) publish(writer http.ResponseWriter, request *http.Request) {
	var reader config.Reader
	name, client, members, valid := s.readRequest(
		writer, request, &reader, "space", "topic", "sender", "seq", "data", "data_base64")
	if !valid {
		return
	}
	for _, key := range []string{"topic", "seq"} {
		requireKey(&reader, members, key)
	}
	routed := members["space"] == nil
	if !routed {
		requireKey(&reader, members, "data")
	}
	command := gateway.Publish{
		RequestName: name, Client: client, Sender: reader.Text("$.sender", members["sender"], client),
		Space: reader.Text("$.space", members["space"], ""), Topic: reader.Text("$.topic", members["topic"], ""),
		Seq: uint64(reader.Integer("$.seq", members["seq"], 0, 1, math.MaxInt64)),
	}
	if routed {
		command.Data = routedData(&reader, members)
	}
	if len(reader.Faults) > 0 {
		s.rejectFaults(writer, name, &reader)
		return
	}
	if !routed {
		command.Data = members["data"].MarshalTo(nil)
	}
	s.execute(writer, name, func(local uint64) any {
		command.Request = local
		return command
	})
}

func (s *Server) pong(writer http.ResponseWriter, request *http.Request) {
	var reader config.Reader
	name, client, members, valid := s.readRequest(writer, request, &reader, "channel")
	if !valid {
		return
	}
	requireKey(&reader, members, "channel")
	channel, _ := parseSessionNumber(reader.Text("$.channel", members["channel"], ""))
	if len(reader.Faults) > 0 {
		s.rejectFaults(writer, name, &reader)
		return
	}
	s.execute(writer, name, func(local uint64) any {
		return gateway.Pong{Request: local, Session: channel, Client: client}
	})
}

// count responds with the number of clients that subscribe to a routed topic.
func (s *Server) count(writer http.ResponseWriter, request *http.Request) {
	var reader config.Reader
	name, client, members, valid := s.readRequest(writer, request, &reader, "channel", "topic")
	if !valid {
		return
	}
	requireKey(&reader, members, "channel")
	requireKey(&reader, members, "topic")
	channel, _ := parseSessionNumber(reader.Text("$.channel", members["channel"], ""))
	command := gateway.CountSubscribers{
		RequestName: name,
		Session:     channel,
		Client:      client,
		Topic:       reader.Text("$.topic", members["topic"], ""),
	}
	if len(reader.Faults) > 0 {
		s.rejectFaults(writer, name, &reader)
		return
	}
	value, alive := s.host.Call(func(local uint64) any {
		command.Request = local
		return command
	})
	answer, matches := value.(gateway.Reply)
	if !alive || !matches {
		answer = rejection(http.StatusServiceUnavailable, gateway.CodeStopping, "this daemon is stopping")
		answer.RetryAfter = 250 * time.Millisecond
	} else if answer.Outcome == gateway.OutcomeAccepted {
		answer.Fields = map[string]any{"count": answer.SubscriberCount}
	}
	s.writeReply(writer, name, answer)
}
