package daemon

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/logevent"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// echo answers each command with its text, and hands it to channel 7.
type echo struct {
	turns int
	due   time.Time
}

type said struct {
	request uint64
	text    string
}

type (
	hold    struct{}
	stopNow struct{}
)

func (*echo) Start(time.Time, *statemachine.Effects)                                 {}
func (*echo) HandleMessage(time.Time, statemachine.Meta, any, *statemachine.Effects) {}
func (e *echo) Tick(time.Time, *statemachine.Effects)                                { e.due = time.Time{}; e.turns++ }
func (e *echo) NextTick() time.Time                                                  { return e.due }
func (*echo) ConfigurationVersion() uint64                                           { return 3 }
func (*echo) ViewClient() *membership.ViewClient                                     { return &membership.ViewClient{} }

func (e *echo) HandleCommand(now time.Time, command any, effects *statemachine.Effects) {
	switch body := command.(type) {
	case said:
		effects.Respond(body.request, body.text)
		effects.Deliveries = append(effects.Deliveries, statemachine.Delivery{Session: 7, Event: body.text, Close: body.text == "last"})
	case hold:
		e.due = now
	case stopNow:
		effects.Stop = true
	}
}

func openEcho(t *testing.T) (*EventLoop, *echo) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	_ = listener.Close()
	opened, err := NewEventLoop(Options{Address: address, Logger: logevent.New(io.Discard, "echo", 0)})
	assert.NilError(t, err)
	machine := &echo{}
	opened.Start(machine)
	t.Cleanup(func() {
		opened.Post(stopNow{})
		<-opened.Done()
		opened.Transport().Close()
	})
	return opened, machine
}

func say(text string) func(request uint64) any {
	return func(request uint64) any { return said{request: request, text: text} }
}

func TestAskIsAnsweredOnTheOwnersTask(t *testing.T) {
	host, _ := openEcho(t)
	answers := make(chan any, 1)
	host.Submit(say("a"), func(value any) { answers <- value })
	assert.Equal(t, <-answers, "a")
	value, alive := host.Call(say("b"))
	assert.Assert(t, alive)
	assert.Equal(t, value, "b")
}

func TestAskAfterTheEndIsAnsweredWithNothing(t *testing.T) {
	host, _ := openEcho(t)
	host.Post(stopNow{})
	<-host.Done()
	answers := make(chan any, 1)
	host.Submit(say("a"), func(value any) { answers <- value })
	assert.Assert(t, <-answers == nil)
	_, alive := host.Call(say("b"))
	assert.Assert(t, !alive)
}

func TestWorkStaysInOrderAndEachTurnFlushesOnce(t *testing.T) {
	host, _ := openEcho(t)
	heard := make(chan string, 64)
	turns := make(chan int, 64)
	count := 0
	host.AttachSessionFunc(7, func(deliver statemachine.Delivery) { heard <- deliver.Event.(string); count++ })
	host.OnTurnEnd(func() {
		if count > 0 {
			turns <- count
			count = 0
		}
	})
	host.Execute(func(owner LoopContext) {
		for _, text := range []string{"a", "b", "c"} {
			owner.Submit(say(text), func(value any) { heard <- "answer " + value.(string) })
		}
	})
	for _, want := range []string{"answer a", "a", "answer b", "b", "answer c", "c"} {
		assert.Equal(t, <-heard, want)
	}
	assert.Equal(t, <-turns, 3)
}

func TestAChannelThatEndsHearsNothingMore(t *testing.T) {
	host, _ := openEcho(t)
	heard := make(chan string, 64)
	host.AttachSessionFunc(7, func(deliver statemachine.Delivery) { heard <- deliver.Event.(string) })
	for _, text := range []string{"a", "last", "b"} {
		_, alive := host.Call(say(text))
		assert.Assert(t, alive)
	}
	close(heard)
	var all []string
	for text := range heard {
		all = append(all, text)
	}
	assert.DeepEqual(t, all, []string{"a", "last"})
}

func TestWhatIsDueRunsAtOnce(t *testing.T) {
	host, machine := openEcho(t)
	host.Post(hold{})
	for {
		turns, alive := host.Inspect(func(time.Time) any { return machine.turns })
		assert.Assert(t, alive)
		if turns.(int) > 0 {
			return
		}
	}
}

// words is an adapter of one route.
type words struct{}

func (words) RegisterRoutes(routes *http.ServeMux, port ControlPort) {
	routes.HandleFunc("GET /v1/words", func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, http.StatusOK, map[string]any{"ready": port.Ready(), "live": port.Live()})
	})
}

func TestControlRefusesClearly(t *testing.T) {
	host, machine := openEcho(t)
	asked := 0
	process := &process{host: host, built: Service{
		Machine: machine, Ready: func(time.Time) bool { return true }, Counters: func() any { return nil }, ControlAdapter: words{},
		OperatorRequest: func(local uint64, method, path string, _ []byte) any {
			asked++
			return said{request: local, text: "not a reply"}
		},
	}}
	control := process.control()
	for call, want := range map[string]struct {
		status int
		text   string
	}{
		"GET /live":                 {200, `"live":true`},
		"GET /ready":                {200, `"ready":true`},
		"GET /v1/words":             {200, `"ready":true`},
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
	assert.Equal(t, asked, 2)
}
