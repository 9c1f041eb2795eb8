package daemon

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/pprof"
	"strconv"
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/controlclient"
	"dahlialock/internal/decisionlog"
	"dahlialock/internal/membership"
)

const (
	// maxBodyBytes bounds the body of a request to the ctl address.
	maxBodyBytes = config.MaxDocumentBytes
	// inspectTimeout bounds the time for the event loop to respond to a request at
	// ctl. It is shorter than the timeout of external liveness checks.
	inspectTimeout = 800 * time.Millisecond
)

// errorCode is the code of an error in a response of ctl.
type errorCode string

const (
	codeBusy                errorCode = "busy"
	codeEncoding            errorCode = "encoding"
	codeFaultyConfiguration errorCode = "faulty-configuration"
	codeNoSuchMethod        errorCode = "no-such-method"
	codeNoSuchPath          errorCode = "no-such-path"
	codeStopping            errorCode = "stopping"
	codeTooLarge            errorCode = "too-large"
)

const stoppingText = "the daemon is stopping"

// The response bodies of ctl. Their members are in alphabetical order.
type (
	errorBody struct {
		Code   errorCode      `json:"code"`
		Faults []config.Fault `json:"faults,omitempty"`
		Text   string         `json:"text"`
	}
	liveBody struct {
		Live bool `json:"live"`
	}
	readyBody struct {
		Ready bool `json:"ready"`
	}
	checkBody struct {
		Spaces  int    `json:"spaces"`
		Version uint64 `json:"version"`
	}
	decisionsBody struct {
		Daemon    string              `json:"daemon"`
		Decisions []decisionlog.Entry `json:"decisions"`
	}
)

// controlHandler returns the handler of the ctl address.
func (p *process) controlHandler() http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc("GET /live", p.serveLive)
	routes.HandleFunc("GET /ready", p.serveReady)
	routes.HandleFunc("GET /v1/self", p.serveSelf)
	routes.HandleFunc("GET /v1/decisions", p.serveDecisions)
	routes.HandleFunc("POST /v1/configuration/check", serveCheck)
	routes.HandleFunc("/v1/", p.serveForwarded)
	routes.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	routes.HandleFunc("GET /debug/pprof/heap", pprof.Handler("heap").ServeHTTP)
	if p.service.ControlAdapter != nil {
		p.service.ControlAdapter.RegisterRoutes(routes, p)
	}
	return withJSONErrors(routes)
}

// writeJSON responds with a value as JSON, followed by a newline.
func writeJSON(writer http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		status, body = http.StatusInternalServerError, controlclient.ErrorBody(string(codeEncoding), err.Error(), nil)
	}
	writeBody(writer, status, body)
}

func writeBody(writer http.ResponseWriter, status int, body []byte) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(append(body, '\n'))
}

func writeError(writer http.ResponseWriter, status int, code errorCode, text string) {
	writeJSON(writer, status, errorBody{Code: code, Text: text})
}

// withJSONErrors returns a handler that responds with a JSON error to requests that
// match no route.
func withJSONErrors(routes *http.ServeMux) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if _, pattern := routes.Handler(request); pattern != "" {
			routes.ServeHTTP(writer, request)
			return
		}
		rejection := &rejectionRecorder{header: http.Header{}}
		routes.ServeHTTP(rejection, request)
		path := request.URL.Path
		if rejection.status == http.StatusMethodNotAllowed {
			writer.Header().Set("Allow", rejection.header.Get("Allow"))
			writeError(writer, http.StatusMethodNotAllowed, codeNoSuchMethod, path+" does not support "+request.Method)
			return
		}
		writeError(writer, http.StatusNotFound, codeNoSuchPath, path+" is not a known path")
	})
}

// rejectionRecorder records the status and headers of the default response of
// http.ServeMux to a request that matches no route. It discards the body.
type rejectionRecorder struct {
	header http.Header
	status int
}

func (rr *rejectionRecorder) Header() http.Header            { return rr.header }
func (rr *rejectionRecorder) Write(body []byte) (int, error) { return len(body), nil }
func (rr *rejectionRecorder) WriteHeader(status int)         { rr.status = status }

// statusFor returns the HTTP status for a health check that passed or failed.
func statusFor(passed bool) int {
	if passed {
		return http.StatusOK
	}
	return http.StatusServiceUnavailable
}

func (p *process) serveLive(writer http.ResponseWriter, _ *http.Request) {
	live := p.Live()
	writeJSON(writer, statusFor(live), liveBody{Live: live})
}

func (p *process) serveReady(writer http.ResponseWriter, _ *http.Request) {
	ready := p.Ready()
	writeJSON(writer, statusFor(ready), readyBody{Ready: ready})
}

// serveSelf responds with the daemon's state and counters.
func (p *process) serveSelf(writer http.ResponseWriter, _ *http.Request) {
	value, responded := p.inspect(func(now time.Time) any { return p.selfBody(now) })
	if !responded {
		writeError(writer, http.StatusServiceUnavailable, codeBusy, "the event loop of the daemon did not respond in time")
		return
	}
	writeJSON(writer, http.StatusOK, value)
}

// serveDecisions responds with the entries of the decision log about a request,
// message or client.
func (p *process) serveDecisions(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	entries := []decisionlog.Entry{}
	if p.service.FindDecisions != nil {
		value, responded := p.loop.Call(func(number uint64) any {
			return p.service.FindDecisions(number, query.Get("visit"), query.Get("message"), query.Get("origin"))
		})
		if !responded {
			writeError(writer, http.StatusServiceUnavailable, codeStopping, stoppingText)
			return
		}
		entries = value.([]decisionlog.Entry)
	}
	writeJSON(writer, http.StatusOK, decisionsBody{Daemon: p.self.Name, Decisions: entries})
}

// serveCheck validates a configuration without applying it.
func serveCheck(writer http.ResponseWriter, request *http.Request) {
	body, complete := readBody(writer, request)
	if !complete {
		return
	}
	configuration, faults := config.Read(body)
	if len(faults) > 0 {
		writeJSON(writer, http.StatusBadRequest, errorBody{
			Code:   codeFaultyConfiguration,
			Faults: faults,
			Text:   "the configuration is faulty",
		})
		return
	}
	writeJSON(writer, http.StatusOK, checkBody{Spaces: len(configuration.Spaces), Version: configuration.Version})
}

// serveForwarded forwards an operator's request to the primary.
func (p *process) serveForwarded(writer http.ResponseWriter, request *http.Request) {
	body, complete := readBody(writer, request)
	if !complete {
		return
	}
	reply := p.Request(request.Method, request.URL.Path, body)
	if reply.RetryAfter > 0 {
		seconds := (reply.RetryAfter + time.Second - 1) / time.Second
		writer.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	writeBody(writer, reply.Status, reply.Body)
}

// readBody reads the body of a request. If that fails, it responds with an error and
// returns false.
func readBody(writer http.ResponseWriter, request *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBodyBytes))
	if err != nil {
		writeError(writer, http.StatusRequestEntityTooLarge, codeTooLarge, err.Error())
		return nil, false
	}
	return body, true
}

// Live implements ControlPort.
func (p *process) Live() bool {
	_, responded := p.inspect(func(time.Time) any { return nil })
	return responded
}

// Ready implements ControlPort.
func (p *process) Ready() bool {
	ready, responded := p.inspect(func(now time.Time) any { return p.service.Ready(now) })
	return responded && ready == true
}

// Request implements ControlPort.
func (p *process) Request(method, path string, body []byte) ControlReply {
	value, responded := p.loop.Call(func(number uint64) any {
		return p.service.OperatorRequest(number, method, path, body)
	})
	response, matches := value.(membership.ControlResponse)
	if !responded || !matches {
		return ControlReply{
			Status:     http.StatusServiceUnavailable,
			RetryAfter: time.Second,
			Body:       controlclient.ErrorBody(string(codeStopping), stoppingText, nil),
		}
	}
	return ControlReply{Status: response.Status, RetryAfter: response.RetryAfter, Body: response.Body}
}

// inspect is like EventLoop.Inspect, but waits no longer than inspectTimeout. It
// returns false if the loop hasn't responded by then.
func (p *process) inspect(query func(now time.Time) any) (any, bool) {
	type result struct {
		value     any
		responded bool
	}
	results := make(chan result, 1)
	go func() {
		value, responded := p.loop.Inspect(query)
		results <- result{value: value, responded: responded}
	}()
	select {
	case got := <-results:
		return got.value, got.responded
	case <-time.After(inspectTimeout):
		return nil, false
	}
}
