package daemon

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"dahlialock/internal/controlclient"
	"dahlialock/internal/decisionlog"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
	"dahlialock/internal/storedforms"
)

// keysOf returns the paths in a JSON value, each with the type of its value.
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

// valueRequest is a command to which the response is its value.
type valueRequest struct {
	request uint64
	value   any
}

// valueResponder is an echo that also handles the command valueRequest.
type valueResponder struct{ echo }

func (vr *valueResponder) HandleCommand(now time.Time, command any, effects *statemachine.Effects) {
	if body, matches := command.(valueRequest); matches {
		effects.Respond(body.request, body.value)
		return
	}
	vr.echo.HandleCommand(now, command, effects)
}

// serveControl starts a server for the ctl address of a store. The primary responds to
// forwarded requests with the status 418.
func serveControl(t *testing.T) *httptest.Server {
	t.Helper()
	machine := &valueResponder{}
	loop := startLoop(t, machine)
	process := &process{kind: "store", loop: loop, self: membership.Member{Name: "store-1", Kind: "store", Zone: "east"}}
	process.service = Service{
		Machine:  machine,
		Ready:    func(time.Time) bool { return true },
		Counters: func() any { return map[string]int{"counted": 1} },
		OperatorRequest: func(number uint64, method, path string, body []byte) any {
			response := controlclient.ErrorBody("asked", method+" "+path+" "+string(body), nil)
			return valueRequest{request: number, value: membership.ControlResponse{
				Status:     http.StatusTeapot,
				Body:       response,
				RetryAfter: 1500 * time.Millisecond,
			}}
		},
		FindDecisions: func(number uint64, request, message, client string) any {
			entry := decisionlog.Entry{Daemon: "store-1", Request: request, Message: message, Client: client}
			return valueRequest{request: number, value: []decisionlog.Entry{entry}}
		},
	}
	server := httptest.NewServer(process.controlHandler())
	t.Cleanup(server.Close)
	return server
}

func TestControlKeepsResponses(t *testing.T) {
	server := serveControl(t)
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
		lines = append(lines, responseLines(t, server.URL, request.method, request.path, request.body)...)
	}
	storedforms.Compare(t, "ctl.txt", lines)
}

func responseLines(t *testing.T, location, method, path, body string) []string {
	t.Helper()
	request, err := http.NewRequest(method, location+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var value any
	if err := json.NewDecoder(response.Body).Decode(&value); err != nil {
		t.Fatal(err)
	}
	lines := []string{fmt.Sprintf("%s %s: %d %s, retry %q, allow %q", method, path, response.StatusCode,
		response.Header.Get("Content-Type"), response.Header.Get("Retry-After"), response.Header.Get("Allow"))}
	if members, matches := value.(map[string]any); matches && members["code"] != nil {
		lines = append(lines, fmt.Sprint("code ", members["code"]))
	}
	return append(lines, keysOf("$", value)...)
}
