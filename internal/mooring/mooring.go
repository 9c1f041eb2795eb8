// Package mooring is the callers' side of a lantern: HTTP/1.1 with JSON through
// the standard library. A client opens a channel, which is a long streamed
// response with an event a line, and sends visits to the same daemon. Bodies
// are read strictly, and every fault is told with its path.
package mooring

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

	"dahlialock/internal/berth"
	"dahlialock/internal/chart"
	"dahlialock/internal/helm"
	"dahlialock/internal/lamp"
)

const (
	bodyMost   = chart.DataCeiling + 512<<10
	sinkSize   = 1024
	writeLimit = 10 * time.Second
)

// Token is the pass of an origin: its name, and a keyed sum of it.
func Token(key []byte, origin string) string {
	sum := hmac.New(sha256.New, key)
	_, _ = sum.Write([]byte("origin:" + origin))
	return origin + "." + hex.EncodeToString(sum.Sum(nil))
}

// Origin reads a pass; it is empty if the pass is not a right one. Where there
// is no key anyone is admitted, and the pass is the name alone.
func Origin(key []byte, token string) string {
	if len(key) == 0 {
		if !chart.FitName(token) {
			return ""
		}
		return token
	}
	last := strings.LastIndexByte(token, '.')
	if last <= 0 || !chart.FitName(token[:last]) || !hmac.Equal([]byte(Token(key, token[:last])), []byte(token)) {
		return ""
	}
	return token[:last]
}

// Mooring serves callers.
type Mooring struct {
	berth   *berth.Berth
	name    string
	key     []byte
	visits  atomic.Uint64
	started string
}

// New makes the callers' handler of a lantern.
func New(name string, key []byte, at *berth.Berth) http.Handler {
	mooring := &Mooring{berth: at, name: name, key: key, started: strconv.FormatInt(time.Now().UnixNano(), 36)}
	routes := http.NewServeMux()
	routes.HandleFunc("GET /v1/channel", mooring.channel)
	routes.HandleFunc("POST /v1/subscribe", mooring.subscribe)
	routes.HandleFunc("POST /v1/unsubscribe", mooring.unsubscribe)
	routes.HandleFunc("POST /v1/publish", mooring.publish)
	routes.HandleFunc("POST /v1/pong", mooring.pong)
	routes.HandleFunc("POST /v1/count", mooring.count)
	return routes
}

func (mooring *Mooring) visitName() string {
	return fmt.Sprintf("%s-%s-%d", mooring.name, mooring.started, mooring.visits.Add(1))
}

func (mooring *Mooring) give(writer http.ResponseWriter, visit string, answer lamp.Answer) {
	body := map[string]any{"outcome": answer.Outcome, "visit": visit}
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
	packed, fault := json.Marshal(body)
	if fault != nil {
		http.Error(writer, fault.Error(), http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Visit-Id", visit)
	writer.WriteHeader(answer.Status)
	_, _ = writer.Write(append(packed, '\n'))
}

func refuse(status int, code, text string) lamp.Answer {
	return lamp.Answer{Status: status, Outcome: lamp.OutcomeRefused, Code: code, Text: text}
}

// admit reads the caller's pass.
func (mooring *Mooring) admit(writer http.ResponseWriter, visit *http.Request, name string) (string, bool) {
	token, found := strings.CutPrefix(visit.Header.Get("Authorization"), "Bearer ")
	origin := ""
	if found {
		origin = Origin(mooring.key, token)
	}
	if origin == "" {
		mooring.give(writer, name, refuse(http.StatusUnauthorized, "not-authentic", "a bearer token of this fleet is wanted"))
		return "", false
	}
	return origin, true
}

// read reads a body strictly, with the keys that may stand in it.
func (mooring *Mooring) read(writer http.ResponseWriter, visit *http.Request, name string, walk *chart.Reader, keys ...string) (map[string]*fastjson.Value, bool) {
	body, fault := io.ReadAll(http.MaxBytesReader(writer, visit.Body, bodyMost))
	if fault != nil {
		var large *http.MaxBytesError
		if errors.As(fault, &large) {
			mooring.give(writer, name, refuse(http.StatusRequestEntityTooLarge, "too-large", fault.Error()))
		} else {
			mooring.give(writer, name, refuse(http.StatusBadRequest, "malformed", fault.Error()))
		}
		return nil, false
	}
	value, whole := walk.Parse(body)
	if !whole {
		mooring.faulty(writer, name, walk)
		return nil, false
	}
	return walk.Object("$", value, keys...), true
}

// enter admits a visit and reads its body.
func (mooring *Mooring) enter(writer http.ResponseWriter, visit *http.Request, walk *chart.Reader, keys ...string) (name, origin string, members map[string]*fastjson.Value, whole bool) {
	name = mooring.visitName()
	if origin, whole = mooring.admit(writer, visit, name); !whole {
		return name, "", nil, false
	}
	members, whole = mooring.read(writer, visit, name, walk, keys...)
	return name, origin, members, whole
}

func (mooring *Mooring) faulty(writer http.ResponseWriter, name string, walk *chart.Reader) {
	code := walk.Faults[0].Code
	answer := refuse(http.StatusBadRequest, code, walk.Faults[0].String())
	answer.Fields = map[string]any{"faults": walk.Faults}
	mooring.give(writer, name, answer)
}

func need(walk *chart.Reader, members map[string]*fastjson.Value, key string) {
	if members[key] == nil {
		walk.Report("$."+key, "missing", "%s is wanted", key)
	}
}

func (mooring *Mooring) do(writer http.ResponseWriter, name string, command func(visit uint64) any) {
	value, alive := mooring.berth.Do(command)
	answer, matches := value.(lamp.Answer)
	if !alive || !matches {
		answer = refuse(http.StatusServiceUnavailable, "stopping", "this daemon is stopping")
		answer.Outcome, answer.RetryAfter = lamp.OutcomeUnsettled, 250*time.Millisecond
	}
	mooring.give(writer, name, answer)
}

func channelNumber(text string) (uint64, bool) {
	number, fault := strconv.ParseUint(text, 16, 64)
	return number, fault == nil && number != 0
}

func mustNumber() uint64 {
	var body [8]byte
	for {
		if _, fault := rand.Read(body[:]); fault != nil {
			panic(fault)
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
func (mooring *Mooring) channel(writer http.ResponseWriter, visit *http.Request) {
	name := mooring.visitName()
	origin, admitted := mooring.admit(writer, visit, name)
	if !admitted {
		return
	}
	number := mustNumber()
	channel := strconv.FormatUint(number, 16)
	sink := make(chan helm.Deliver, sinkSize)
	mooring.berth.Attach(number, sink)
	value, alive := mooring.berth.Do(func(local uint64) any {
		return lamp.OpenChannel{Visit: local, Channel: number, Name: channel, Origin: origin}
	})
	answer, matches := value.(lamp.Answer)
	if !alive || !matches || answer.Outcome != lamp.OutcomeAccepted {
		mooring.berth.Detach(number)
		if !matches {
			answer = refuse(http.StatusServiceUnavailable, "stopping", "this daemon is stopping")
			answer.RetryAfter = 250 * time.Millisecond
		}
		mooring.give(writer, name, answer)
		return
	}
	writer.Header().Set("Content-Type", "application/x-ndjson")
	writer.Header().Set("Cache-Control", "no-store")
	writer.Header().Set("Visit-Id", name)
	writer.WriteHeader(http.StatusOK)
	why := mooring.stream(writer, visit, sink)
	mooring.berth.Detach(number)
	mooring.berth.Post(lamp.CloseChannel{Channel: number, Why: why})
}

func (mooring *Mooring) stream(writer http.ResponseWriter, visit *http.Request, sink chan helm.Deliver) string {
	controller := http.NewResponseController(writer)
	encoder := json.NewEncoder(writer)
	encoder.SetEscapeHTML(false)
	closed := false
	for {
		var first helm.Deliver
		var open bool
		select {
		case first, open = <-sink:
		case <-visit.Context().Done():
			return "closed"
		}
		if !open {
			if !closed {
				_ = encoder.Encode(lamp.Event{Event: "gone", Code: "slow"})
				_ = controller.Flush()
			}
			return "ended"
		}
		_ = controller.SetWriteDeadline(time.Now().Add(writeLimit))
		for {
			if fault := encoder.Encode(written(first.Event)); fault != nil {
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
					_ = encoder.Encode(lamp.Event{Event: "gone", Code: "slow"})
					_ = controller.Flush()
				}
				return "ended"
			default:
			}
			break
		}
		if fault := controller.Flush(); fault != nil {
			return "broken"
		}
	}
}

// written is an event as JSON: a message of a routed topic has bytes of any kind,
// which stand there as a string, or in base64 if they are no text.
func written(event any) any {
	message, matches := event.(lamp.Event)
	if !matches || message.Body == nil {
		return event
	}
	if !utf8.Valid(message.Body) {
		return struct {
			lamp.Event
			Base64 []byte `json:"data_base64"`
		}{Event: message, Base64: message.Body}
	}
	packed, fault := json.Marshal(string(message.Body))
	if fault != nil {
		return event
	}
	message.Data = packed
	return message
}

// routedData reads the bytes of a message for a routed topic.
func routedData(walk *chart.Reader, members map[string]*fastjson.Value) []byte {
	switch text, plain := members["data"], members["data_base64"]; {
	case text != nil && plain != nil, text == nil && plain == nil:
		walk.Report("$.data", "missing", "either data or data_base64 is wanted")
	case text != nil:
		return []byte(walk.Text("$.data", text, ""))
	default:
		bytes, fault := base64.StdEncoding.DecodeString(walk.Text("$.data_base64", plain, ""))
		if fault != nil {
			walk.Report("$.data_base64", "malformed", "%s", fault.Error())
		}
		return bytes
	}
	return nil
}

func interests(walk *chart.Reader, value *fastjson.Value) []lamp.Interest {
	var found []lamp.Interest
	for position, item := range walk.List("$.subscriptions", value, 256) {
		path := fmt.Sprintf("$.subscriptions[%d]", position)
		members := walk.Object(path, item, "space", "topic", "prefix")
		// Without a space the routes decide, which lead topics only.
		interest := lamp.Interest{Space: walk.Text(path+".space", members["space"], "")}
		if members["space"] == nil && members["topic"] == nil {
			walk.Report(path+".space", "missing", "space is wanted")
		}
		switch {
		case members["topic"] != nil && members["prefix"] != nil, members["topic"] == nil && members["prefix"] == nil:
			walk.Report(path, "missing", "either topic or prefix is wanted")
		case members["topic"] != nil:
			interest.Path = walk.Text(path+".topic", members["topic"], "")
		default:
			interest.Path, interest.Wide = walk.Text(path+".prefix", members["prefix"], ""), true
		}
		found = append(found, interest)
	}
	return found
}

func (mooring *Mooring) subscribe(writer http.ResponseWriter, visit *http.Request) {
	var walk chart.Reader
	name, origin, members, whole := mooring.enter(writer, visit, &walk, "channel", "subscriptions", "cursor")
	if !whole {
		return
	}
	need(&walk, members, "channel")
	if members["cursor"] == nil {
		need(&walk, members, "subscriptions")
	}
	channel, fit := channelNumber(walk.Text("$.channel", members["channel"], ""))
	command := lamp.Subscribe{
		VisitName: name, Channel: channel, Origin: origin, Interests: interests(&walk, members["subscriptions"]),
		Cursor: walk.Text("$.cursor", members["cursor"], ""),
	}
	if len(walk.Faults) > 0 {
		mooring.faulty(writer, name, &walk)
		return
	}
	if !fit {
		mooring.give(writer, name, refuse(http.StatusNotFound, "no-such-channel", "this channel is not open here"))
		return
	}
	mooring.do(writer, name, func(local uint64) any {
		command.Visit = local
		return command
	})
}

func (mooring *Mooring) unsubscribe(writer http.ResponseWriter, visit *http.Request) {
	var walk chart.Reader
	name, origin, members, whole := mooring.enter(writer, visit, &walk, "channel", "subscriptions")
	if !whole {
		return
	}
	need(&walk, members, "channel")
	need(&walk, members, "subscriptions")
	channel, _ := channelNumber(walk.Text("$.channel", members["channel"], ""))
	command := lamp.Unsubscribe{VisitName: name, Channel: channel, Origin: origin, Interests: interests(&walk, members["subscriptions"])}
	if len(walk.Faults) > 0 {
		mooring.faulty(writer, name, &walk)
		return
	}
	mooring.do(writer, name, func(local uint64) any {
		command.Visit = local
		return command
	})
}

func (mooring *Mooring) publish(writer http.ResponseWriter, visit *http.Request) {
	var walk chart.Reader
	name, origin, members, whole := mooring.enter(writer, visit, &walk, "space", "topic", "sender", "seq", "data", "data_base64")
	if !whole {
		return
	}
	for _, key := range []string{"topic", "seq"} {
		need(&walk, members, key)
	}
	routed := members["space"] == nil
	if !routed {
		need(&walk, members, "data")
	}
	command := lamp.Publish{
		VisitName: name, Origin: origin, Sender: walk.Text("$.sender", members["sender"], origin),
		Space: walk.Text("$.space", members["space"], ""), Topic: walk.Text("$.topic", members["topic"], ""),
		Seq: uint64(walk.Whole("$.seq", members["seq"], 0, 1, math.MaxInt64)),
	}
	if routed {
		command.Data = routedData(&walk, members)
	}
	if len(walk.Faults) > 0 {
		mooring.faulty(writer, name, &walk)
		return
	}
	if !routed {
		command.Data = members["data"].MarshalTo(nil)
	}
	mooring.do(writer, name, func(local uint64) any {
		command.Visit = local
		return command
	})
}

func (mooring *Mooring) pong(writer http.ResponseWriter, visit *http.Request) {
	var walk chart.Reader
	name, origin, members, whole := mooring.enter(writer, visit, &walk, "channel")
	if !whole {
		return
	}
	need(&walk, members, "channel")
	channel, _ := channelNumber(walk.Text("$.channel", members["channel"], ""))
	if len(walk.Faults) > 0 {
		mooring.faulty(writer, name, &walk)
		return
	}
	mooring.do(writer, name, func(local uint64) any { return lamp.Pong{Visit: local, Channel: channel, Origin: origin} })
}

// count tells how many origins subscribe to a routed topic.
func (mooring *Mooring) count(writer http.ResponseWriter, visit *http.Request) {
	var walk chart.Reader
	name, origin, members, whole := mooring.enter(writer, visit, &walk, "channel", "topic")
	if !whole {
		return
	}
	need(&walk, members, "channel")
	need(&walk, members, "topic")
	channel, _ := channelNumber(walk.Text("$.channel", members["channel"], ""))
	command := lamp.Count{VisitName: name, Channel: channel, Origin: origin, Topic: walk.Text("$.topic", members["topic"], "")}
	if len(walk.Faults) > 0 {
		mooring.faulty(writer, name, &walk)
		return
	}
	value, alive := mooring.berth.Do(func(local uint64) any {
		command.Visit = local
		return command
	})
	answer, matches := value.(lamp.Answer)
	if !alive || !matches {
		answer = refuse(http.StatusServiceUnavailable, "stopping", "this daemon is stopping")
		answer.RetryAfter = 250 * time.Millisecond
	} else if answer.Outcome == lamp.OutcomeAccepted {
		answer.Fields = map[string]any{"count": answer.Number}
	}
	mooring.give(writer, name, answer)
}
