package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// delayedResponder is a state machine that keeps requests until the command respondAll, and
// then responds to the newest request first.
type delayedResponder struct {
	echo
	pending  []operatorRequest
	received chan string
}

type operatorRequest struct {
	request uint64
	path    string
}

type respondAll struct{}

func (dr *delayedResponder) HandleCommand(_ time.Time, command any, effects *statemachine.Effects) {
	switch body := command.(type) {
	case operatorRequest:
		dr.pending = append(dr.pending, body)
		dr.received <- body.path
	case respondAll:
		for position := len(dr.pending) - 1; position >= 0; position-- {
			each := dr.pending[position]
			effects.Respond(each.request, membership.ControlResponse{Status: 200, Body: []byte(each.path)})
			// A second response to the same request must be ignored.
			effects.Respond(each.request, membership.ControlResponse{Status: 409, Body: []byte("again")})
		}
		dr.pending = nil
	case stopNow:
		effects.Stop = true
	}
}

// newDelayedControl starts a server for the ctl address of a daemon with a
// delayedResponder.
func newDelayedControl(t *testing.T) (*httptest.Server, *EventLoop, *delayedResponder) {
	t.Helper()
	machine := &delayedResponder{received: make(chan string, 16)}
	loop := startLoop(t, machine)
	process := &process{loop: loop, service: Service{
		Machine:  machine,
		Ready:    func(time.Time) bool { return true },
		Counters: func() any { return nil },
		OperatorRequest: func(number uint64, _, path string, _ []byte) any {
			return operatorRequest{request: number, path: path}
		},
	}}
	server := httptest.NewServer(process.controlHandler())
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server, loop, machine
}

func get(ctx context.Context, server *httptest.Server, path string) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL+path, nil)
	if err != nil {
		return "", err
	}
	response, err := server.Client().Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return strings.TrimSpace(string(body)), err
}

func TestControlRespondsToEachRequester(t *testing.T) {
	server, loop, machine := newDelayedControl(t)
	cancellable, cancel := context.WithCancel(context.Background())
	cancelled := make(chan error, 1)
	go func() {
		_, err := get(cancellable, server, "/v1/cancelled")
		cancelled <- err
	}()
	<-machine.received
	cancel()
	assert.Assert(t, <-cancelled != nil)
	responses := make(chan string, 4)
	for number := range 4 {
		go func() {
			path := fmt.Sprintf("/v1/client-%d", number)
			got, err := get(context.Background(), server, path)
			responses <- fmt.Sprint(got == path, err)
		}()
	}
	for range 4 {
		<-machine.received
	}
	loop.Post(respondAll{})
	for range 4 {
		assert.Equal(t, <-responses, "true <nil>")
	}
}

// Two requests are sent on one connection before the first response.
func TestControlRespondsToPipelinedRequestsInOrder(t *testing.T) {
	server, loop, machine := newDelayedControl(t)
	connection, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = connection.Close() }()
	for _, path := range []string{"/v1/first", "/v1/second"} {
		_, err = fmt.Fprintf(connection, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path)
		assert.NilError(t, err)
	}
	reader := bufio.NewReader(connection)
	for _, path := range []string{"/v1/first", "/v1/second"} {
		assert.Equal(t, <-machine.received, path)
		loop.Post(respondAll{})
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, strings.TrimSpace(string(body)), path)
	}
}

// testAdapter is a ControlAdapter with one route.
type testAdapter struct{}

func (testAdapter) RegisterRoutes(routes *http.ServeMux, port ControlPort) {
	routes.HandleFunc("GET /v1/adapted", func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, http.StatusOK, map[string]any{"ready": port.Ready(), "live": port.Live()})
	})
}

func TestControlRespondsInJSONToUnknownRoutes(t *testing.T) {
	loop, machine := startEcho(t)
	requests := 0
	process := &process{loop: loop, service: Service{
		Machine:        machine,
		Ready:          func(time.Time) bool { return true },
		Counters:       func() any { return nil },
		ControlAdapter: testAdapter{},
		OperatorRequest: func(number uint64, method, path string, _ []byte) any {
			requests++
			return echoCommand{request: number, text: "not a reply"}
		},
	}}
	control := process.controlHandler()
	for call, want := range map[string]struct {
		status int
		text   string
	}{
		"GET /live":                 {200, `"live":true`},
		"GET /ready":                {200, `"ready":true`},
		"GET /v1/adapted":           {200, `"ready":true`},
		"GET /":                     {404, `"code":"no-such-path"`},
		"GET /nothing":              {404, `"code":"no-such-path"`},
		"PUT /ready":                {405, `"code":"no-such-method"`},
		"DELETE /live":              {405, `"code":"no-such-method"`},
		"GET /v2/configuration":     {404, `"code":"no-such-path"`},
		"POST /debug/pprof/heap":    {405, `"code":"no-such-method"`},
		"POST /v1/configuration":    {503, `"code":"stopping"`},
		"GET /debug/pprof/nothing":  {404, `"code":"no-such-path"`},
		"PUT /v1/configuration?x=y": {503, `"code":"stopping"`},
	} {
		method, path, _ := strings.Cut(call, " ")
		recorder := httptest.NewRecorder()
		control.ServeHTTP(recorder, httptest.NewRequest(method, path, nil))
		assert.Equal(t, recorder.Code, want.status, call)
		assert.Assert(t, strings.Contains(recorder.Body.String(), want.text), "%s: %s", call, recorder.Body.String())
		assert.Equal(t, recorder.Header().Get("Content-Type"), "application/json", call)
	}
	assert.Equal(t, requests, 2)
}
