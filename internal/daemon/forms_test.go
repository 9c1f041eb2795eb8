package daemon

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/controlclient"
	"dahlialock/internal/decisionlog"
	"dahlialock/internal/logevent"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
	"dahlialock/internal/storedforms"
)

// keysOf lists the paths of a JSON value and the kinds that stand there.
func keysOf(path string, value any) []string {
	switch body := value.(type) {
	case map[string]any:
		lines := []string{path + " object"}
		for _, key := range slices.Sorted(maps.Keys(body)) {
			lines = append(lines, keysOf(path+"."+key, body[key])...)
		}
		return lines
	case []any:
		lines := []string{path + " array"}
		for position, item := range body {
			lines = append(lines, keysOf(fmt.Sprintf("%s[%d]", path, position), item)...)
		}
		return lines
	}
	return []string{fmt.Sprintf("%s %T", path, value)}
}

// question is a command that is answered with a value.
type question struct {
	request uint64
	value   any
}

// answering is an echo that answers what it is asked.
type answering struct{ echo }

func (a *answering) HandleCommand(now time.Time, command any, effects *statemachine.Effects) {
	if body, matches := command.(question); matches {
		effects.Respond(body.request, body.value)
		return
	}
	a.echo.HandleCommand(now, command, effects)
}

// serveCtl serves the ctl of a store whose primary answers with the status 418.
func serveCtl(t *testing.T) *httptest.Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	host, err := NewEventLoop(Options{Address: address, Logger: logevent.New(io.Discard, "store-1", 0)})
	assert.NilError(t, err)
	machine := &answering{}
	host.Start(machine)
	t.Cleanup(func() {
		host.Post(stopNow{})
		<-host.Done()
		host.Transport().Close()
	})
	running := &process{kind: "store", loop: host, self: membership.Member{Name: "store-1", Kind: "store", Zone: "east"}}
	running.service = Service{
		Machine:  machine,
		Ready:    func(time.Time) bool { return true },
		Counters: func() any { return map[string]int{"counted": 1} },
		OperatorRequest: func(local uint64, method, path string, body []byte) any {
			answer := controlclient.ErrorBody("asked", method+" "+path+" "+string(body), nil)
			return question{request: local, value: membership.ControlResponse{
				Status:     http.StatusTeapot,
				Body:       answer,
				RetryAfter: 1500 * time.Millisecond,
			}}
		},
		FindDecisions: func(local uint64, request, message, origin string) any {
			entry := decisionlog.Entry{Daemon: "store-1", Request: request, Message: message, Client: origin}
			return question{request: local, value: []decisionlog.Entry{entry}}
		},
	}
	served := httptest.NewServer(running.controlHandler())
	t.Cleanup(served.Close)
	return served
}

func TestRoutesOfCtlKeepTheirAnswers(t *testing.T) {
	served := serveCtl(t)
	var lines []string
	for _, request := range []struct{ method, path, body string }{
		{http.MethodGet, "/live", ""},
		{http.MethodGet, "/ready", ""},
		{http.MethodGet, "/v1/self", ""},
		{http.MethodGet, "/v1/decisions?visit=1&message=2&origin=3", ""},
		{http.MethodPost, "/v1/configuration/check", `{"version": 3, "spaces": []}`},
		{http.MethodPost, "/v1/configuration/check", `{"version": 3}`},
		{http.MethodGet, "/v1/cluster", ""},
		{http.MethodPost, "/live", ""},
		{http.MethodGet, "/nothing", ""},
	} {
		lines = append(lines, answerOf(t, served.URL, request.method, request.path, request.body)...)
	}
	storedforms.Compare(t, "ctl.txt", lines)
}

func answerOf(t *testing.T, location, method, path, body string) []string {
	t.Helper()
	request, err := http.NewRequest(method, location+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	var value any
	if err := json.NewDecoder(answer.Body).Decode(&value); err != nil {
		t.Fatal(err)
	}
	lines := []string{fmt.Sprintf("%s %s: %d %s, retry %q, allow %q", method, path, answer.StatusCode,
		answer.Header.Get("Content-Type"), answer.Header.Get("Retry-After"), answer.Header.Get("Allow"))}
	if members, matches := value.(map[string]any); matches && members["code"] != nil {
		lines = append(lines, fmt.Sprint("code ", members["code"]))
	}
	return append(lines, keysOf("$", value)...)
}
