package berth

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/beacon"
	"dahlialock/internal/foghorn"
	"dahlialock/internal/helm"
)

// echo answers each command with its text, and hands it to channel 7.
type echo struct {
	waiting []said
	turns   int
	due     time.Time
}

type said struct {
	visit uint64
	text  string
}

type (
	hold    struct{ visit uint64 }
	stopNow struct{}
)

func (*echo) Start(time.Time, *helm.Effects)                   {}
func (*echo) Message(time.Time, helm.Meta, any, *helm.Effects) {}
func (echo *echo) Due(time.Time, *helm.Effects)                { echo.due = time.Time{}; echo.turns++ }
func (echo *echo) NextDue() time.Time                          { return echo.due }
func (*echo) Version() uint64                                  { return 3 }
func (*echo) Follower() *beacon.Follower                       { return &beacon.Follower{} }

func (echo *echo) Command(now time.Time, command any, effects *helm.Effects) {
	switch body := command.(type) {
	case said:
		effects.Return(body.visit, body.text)
		effects.Delivers = append(effects.Delivers, helm.Deliver{Channel: 7, Event: body.text, Close: body.text == "last"})
	case hold:
		echo.due = now
	case stopNow:
		effects.Stop = true
	}
}

func openEcho(t *testing.T) (*Berth, *echo) {
	listener, fault := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, fault)
	address := listener.Addr().String()
	_ = listener.Close()
	opened, fault := Open(Props{Address: address, Foghorn: foghorn.New(io.Discard, "echo", 0)})
	assert.NilError(t, fault)
	machine := &echo{}
	opened.Run(machine)
	t.Cleanup(func() {
		opened.Post(stopNow{})
		<-opened.Ended()
		opened.Flare().Close()
	})
	return opened, machine
}

func say(text string) func(visit uint64) any {
	return func(visit uint64) any { return said{visit: visit, text: text} }
}

func TestAskIsAnsweredOnTheOwnersTask(t *testing.T) {
	berth, _ := openEcho(t)
	answers := make(chan any, 1)
	berth.Ask(say("a"), func(value any) { answers <- value })
	assert.Equal(t, <-answers, "a")
	value, alive := berth.Do(say("b"))
	assert.Assert(t, alive)
	assert.Equal(t, value, "b")
}

func TestAskAfterTheEndIsAnsweredWithNothing(t *testing.T) {
	berth, _ := openEcho(t)
	berth.Post(stopNow{})
	<-berth.Ended()
	answers := make(chan any, 1)
	berth.Ask(say("a"), func(value any) { answers <- value })
	assert.Assert(t, <-answers == nil)
	_, alive := berth.Do(say("b"))
	assert.Assert(t, !alive)
}

func TestWorkStaysInOrderAndEachTurnFlushesOnce(t *testing.T) {
	berth, _ := openEcho(t)
	heard := make(chan string, 64)
	turns := make(chan int, 64)
	count := 0
	berth.AttachFunc(7, func(deliver helm.Deliver) { heard <- deliver.Event.(string); count++ })
	berth.EachTurn(func() {
		if count > 0 {
			turns <- count
			count = 0
		}
	})
	berth.Within(func(owner Owner) {
		for _, text := range []string{"a", "b", "c"} {
			owner.Ask(say(text), func(value any) { heard <- "answer " + value.(string) })
		}
	})
	for _, want := range []string{"answer a", "a", "answer b", "b", "answer c", "c"} {
		assert.Equal(t, <-heard, want)
	}
	assert.Equal(t, <-turns, 3)
}

func TestAChannelThatEndsHearsNothingMore(t *testing.T) {
	berth, _ := openEcho(t)
	heard := make(chan string, 64)
	berth.AttachFunc(7, func(deliver helm.Deliver) { heard <- deliver.Event.(string) })
	for _, text := range []string{"a", "last", "b"} {
		_, alive := berth.Do(say(text))
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
	berth, machine := openEcho(t)
	berth.Post(hold{})
	for {
		turns, alive := berth.Inspect(func(time.Time) any { return machine.turns })
		assert.Assert(t, alive)
		if turns.(int) > 0 {
			return
		}
	}
}

// words is an adapter of one route.
type words struct{}

func (words) Control(routes *http.ServeMux, port Port) {
	routes.HandleFunc("GET /v1/words", func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, http.StatusOK, map[string]any{"ready": port.Ready(), "live": port.Live()})
	})
}

func TestControlRefusesClearly(t *testing.T) {
	berth, machine := openEcho(t)
	asked := 0
	process := &process{berth: berth, built: Build{
		Machine: machine, Ready: func(time.Time) bool { return true }, Counters: func() any { return nil }, Adapter: words{},
		Visit: func(local uint64, method, path string, _ []byte) any {
			asked++
			return said{visit: local, text: "not a reply"}
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
