package daemon

import (
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/logevent"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// echo is a state machine that responds to each command with its text, and also delivers the
// text to session 7.
type echo struct {
	turns int
	due   time.Time
}

type echoCommand struct {
	request uint64
	text    string
}

type (
	setTimer struct{}
	stopNow  struct{}
)

func (*echo) Start(time.Time, *statemachine.Effects)                                 {}
func (*echo) HandleMessage(time.Time, statemachine.Meta, any, *statemachine.Effects) {}
func (e *echo) Tick(time.Time, *statemachine.Effects)                                { e.due = time.Time{}; e.turns++ }
func (e *echo) NextTick() time.Time                                                  { return e.due }
func (*echo) ConfigurationVersion() uint64                                           { return 3 }
func (*echo) ViewClient() *membership.ViewClient                                     { return &membership.ViewClient{} }

func (e *echo) HandleCommand(now time.Time, command any, effects *statemachine.Effects) {
	switch body := command.(type) {
	case echoCommand:
		effects.Respond(body.request, body.text)
		delivery := statemachine.Delivery{Session: 7, Event: body.text, Close: body.text == "last"}
		effects.Deliveries = append(effects.Deliveries, delivery)
	case setTimer:
		e.due = now
	case stopNow:
		effects.Stop = true
	}
}

// startLoop runs a state machine until the end of the test. The state machine must handle
// the command stopNow.
func startLoop(t *testing.T, machine statemachine.Machine) *EventLoop {
	t.Helper()
	loop, err := NewEventLoop(Options{Address: freeAddress(t), Logger: logevent.New(io.Discard, "test", 0)})
	assert.NilError(t, err)
	loop.Start(machine)
	t.Cleanup(func() {
		loop.Post(stopNow{})
		<-loop.Done()
		loop.Transport().Close()
	})
	return loop
}

func startEcho(t *testing.T) (*EventLoop, *echo) {
	t.Helper()
	machine := &echo{}
	return startLoop(t, machine), machine
}

func echoText(text string) func(request uint64) any {
	return func(request uint64) any { return echoCommand{request: request, text: text} }
}

func TestEventLoopSubmitResponds(t *testing.T) {
	loop, _ := startEcho(t)
	responses := make(chan any, 1)
	loop.Submit(echoText("a"), func(value any) { responses <- value })
	assert.Equal(t, <-responses, "a")
	value, alive := loop.Call(echoText("b"))
	assert.Assert(t, alive)
	assert.Equal(t, value, "b")
}

func TestEventLoopSubmitAfterStopRespondsNil(t *testing.T) {
	loop, _ := startEcho(t)
	loop.Post(stopNow{})
	<-loop.Done()
	responses := make(chan any, 1)
	loop.Submit(echoText("a"), func(value any) { responses <- value })
	assert.Assert(t, <-responses == nil)
	_, alive := loop.Call(echoText("b"))
	assert.Assert(t, !alive)
}

func TestEventLoopKeepsOrderAndFlushesOncePerTurn(t *testing.T) {
	loop, _ := startEcho(t)
	delivered := make(chan string, 64)
	turns := make(chan int, 64)
	count := 0
	loop.AttachSessionFunc(7, func(delivery statemachine.Delivery) { delivered <- delivery.Event.(string); count++ })
	loop.OnTurnEnd(func() {
		if count > 0 {
			turns <- count
			count = 0
		}
	})
	loop.Execute(func(context LoopContext) {
		for _, text := range []string{"a", "b", "c"} {
			context.Submit(echoText(text), func(value any) { delivered <- "response " + value.(string) })
		}
	})
	for _, want := range []string{"response a", "a", "response b", "b", "response c", "c"} {
		assert.Equal(t, <-delivered, want)
	}
	assert.Equal(t, <-turns, 3)
}

func TestEventLoopDeliversNothingAfterClose(t *testing.T) {
	loop, _ := startEcho(t)
	delivered := make(chan string, 64)
	loop.AttachSessionFunc(7, func(delivery statemachine.Delivery) { delivered <- delivery.Event.(string) })
	for _, text := range []string{"a", "last", "b"} {
		_, alive := loop.Call(echoText(text))
		assert.Assert(t, alive)
	}
	close(delivered)
	var all []string
	for text := range delivered {
		all = append(all, text)
	}
	assert.DeepEqual(t, all, []string{"a", "last"})
}

func TestEventLoopRunsDueTimersAtOnce(t *testing.T) {
	loop, machine := startEcho(t)
	loop.Post(setTimer{})
	for {
		turns, alive := loop.Inspect(func(time.Time) any { return machine.turns })
		assert.Assert(t, alive)
		if turns.(int) > 0 {
			return
		}
	}
}
