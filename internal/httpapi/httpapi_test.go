package httpapi_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/daemon"
	"dahlialock/internal/gateway"
	"dahlialock/internal/httpapi"
	"dahlialock/internal/logevent"
	"dahlialock/internal/statemachine"
)

// stub is a gateway that delivers each publication to all open sessions.
type stub struct {
	channels  map[uint64]bool
	published []gateway.Publish
	subscribe []gateway.Subscribe
}

func (*stub) Start(time.Time, *statemachine.Effects)                                 {}
func (*stub) HandleMessage(time.Time, statemachine.Meta, any, *statemachine.Effects) {}
func (*stub) Tick(time.Time, *statemachine.Effects)                                  {}
func (*stub) NextTick() time.Time                                                    { return time.Time{} }
func (*stub) ConfigurationVersion() uint64                                           { return 0 }

type stopNow struct{}

func (s *stub) HandleCommand(_ time.Time, command any, effects *statemachine.Effects) {
	done := gateway.Reply{Status: 200, Outcome: gateway.OutcomeAccepted}
	switch body := command.(type) {
	case gateway.OpenSession:
		s.channels[body.Session] = true
		effects.Respond(body.Request, done)
		effects.Deliveries = append(effects.Deliveries, statemachine.Delivery{
			Session: body.Session,
			Event:   gateway.Event{Event: "hello", Session: body.Name},
		})
	case gateway.CloseSession:
		delete(s.channels, body.Session)
	case gateway.Subscribe:
		s.subscribe = append(s.subscribe, body)
		done.Cursor = "t1"
		effects.Respond(body.Request, done)
	case gateway.CountSubscribers:
		done.SubscriberCount = 12
		effects.Respond(body.Request, done)
	case gateway.Publish:
		s.published = append(s.published, body)
		effects.Respond(body.Request, done)
		for channel := range statemachine.Sorted(s.channels) {
			effects.Deliveries = append(effects.Deliveries, statemachine.Delivery{Session: channel, Event: gateway.Event{
				Event: "message", Topic: body.Topic, Sender: body.Sender, Seq: body.Seq, Body: body.Data, Cursor: "t2",
			}})
		}
	case stopNow:
		effects.Stop = true
	}
}

type fixture struct {
	stub   *stub
	server *httptest.Server
}

func open(t *testing.T) *fixture {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	_ = listener.Close()
	at, err := daemon.NewEventLoop(daemon.Options{Address: address, Logger: logevent.New(io.Discard, "gateway", 0)})
	assert.NilError(t, err)
	opened := &fixture{stub: &stub{channels: map[uint64]bool{}}}
	at.Start(opened.stub)
	opened.server = httptest.NewServer(httpapi.New("gateway-1", nil, at))
	t.Cleanup(func() {
		opened.server.CloseClientConnections()
		opened.server.Close()
		at.Post(stopNow{})
		<-at.Done()
		at.Transport().Close()
	})
	return opened
}

func (f *fixture) request(t *testing.T, method, path, token, body string) *http.Response {
	t.Helper()
	request, err := http.NewRequest(method, f.server.URL+path, bytes.NewBufferString(body))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

func (f *fixture) post(t *testing.T, path, body string, status int) map[string]any {
	t.Helper()
	response := f.request(t, "POST", path, "u1", body)
	packed, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, status, "%s", packed)
	var answer map[string]any
	assert.NilError(t, json.Unmarshal(packed, &answer))
	return answer
}

func TestRoutedTopicsCarryAnyBytes(t *testing.T) {
	fixture := open(t)
	events := bufio.NewScanner(fixture.request(t, "GET", "/v1/channel", "u1", "").Body)
	next := func() map[string]any {
		assert.Assert(t, events.Scan())
		var event map[string]any
		assert.NilError(t, json.Unmarshal(events.Bytes(), &event))
		return event
	}
	channel := next()["channel"].(string)
	answer := fixture.post(t, "/v1/subscribe", `{"channel":"`+channel+`","subscriptions":[{"topic":"kafi810.2f"}]}`, 200)
	assert.Equal(t, answer["cursor"], "t1")
	assert.DeepEqual(t, fixture.stub.subscribe[0].Interests, []gateway.Interest{{Path: "kafi810.2f"}})
	fixture.post(t, "/v1/publish", `{"topic":"kafi810.2f","seq":1,"data":"not <JSON> é"}`, 200)
	event := next()
	assert.Equal(t, event["data"], "not <JSON> é")
	assert.Equal(t, event["cursor"], "t2")
	fixture.post(t, "/v1/publish", `{"topic":"kafi810.2f","seq":2,"data_base64":"//4A"}`, 200)
	event = next()
	assert.Equal(t, event["data_base64"], "//4A")
	assert.DeepEqual(t, fixture.stub.published[1].Data, []byte{0xff, 0xfe, 0})
	answer = fixture.post(t, "/v1/count", `{"channel":"`+channel+`","topic":"kafi810.2f"}`, 200)
	assert.Equal(t, answer["count"], 12.0)
}

func TestSpacesKeepTheirJSON(t *testing.T) {
	fixture := open(t)
	fixture.post(t, "/v1/publish", `{"space":"boards","topic":"p1","seq":1,"data":{"x":[1]}}`, 200)
	assert.Equal(t, string(fixture.stub.published[0].Data), `{"x":[1]}`)
}

func TestFaultyRequests(t *testing.T) {
	fixture := open(t)
	for path, bodies := range map[string][]string{
		"/v1/publish": {
			`{"topic":"a","seq":1}`, `{"topic":"a","seq":1,"data":7}`, `{"topic":"a","seq":1,"data":"x","data_base64":"eA=="}`,
			`{"topic":"a","seq":1,"data_base64":"?"}`, `{"topic":"a","data":"x"}`, `{"seq":1,"data":"x"}`,
			`{"space":"s","topic":"a","seq":1}`,
			`{"topic":"a","seq":0,"data":"x"}`, `{"topic":"a"`,
		},
		"/v1/subscribe": {
			`{"channel":"1","subscriptions":[{"prefix":"a"}]}`, `{"channel":"1","subscriptions":[{}]}`, `{"channel":"1"}`,
		},
		"/v1/count": {`{"channel":"1"}`, `{"topic":"a"}`, `{}`},
	} {
		for _, body := range bodies {
			fixture.post(t, path, body, 400)
		}
	}
	assert.Equal(t, len(fixture.stub.published)+len(fixture.stub.subscribe), 0)
	assert.Equal(t, fixture.request(t, "POST", "/v1/publish", "no name", `{}`).StatusCode, 401)
}
