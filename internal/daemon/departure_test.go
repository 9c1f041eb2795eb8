package daemon

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/logevent"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

const leaseOfTrial = time.Second

// sleeper is a machine whose process stands still for 20 s within a step, by a
// clock that the test turns.
type sleeper struct {
	clock  *atomic.Int64
	self   string
	peer   string
	seen   []time.Time
	tasted []string
}

type standStill struct{ request uint64 }

type look struct{ request uint64 }

func (*sleeper) Start(time.Time, *statemachine.Effects) {}
func (*sleeper) Tick(time.Time, *statemachine.Effects)  {}
func (*sleeper) NextTick() time.Time                    { return time.Time{} }
func (*sleeper) ConfigurationVersion() uint64           { return 0 }

func (s *sleeper) HandleMessage(_ time.Time, _ statemachine.Meta, message any, _ *statemachine.Effects) {
	s.tasted = append(s.tasted, message.(membership.GracefulLeave).Name)
}

func (s *sleeper) HandleCommand(now time.Time, command any, effects *statemachine.Effects) {
	s.seen = append(s.seen, now)
	switch body := command.(type) {
	case standStill:
		until := now.Add(leaseOfTrial)
		effects.SendBefore(s.peer, membership.GracefulLeave{Name: "under the lease"}, until)
		effects.Send(s.peer, membership.GracefulLeave{Name: "at any time"})
		effects.SendBefore(s.self, membership.GracefulLeave{Name: "under the lease"}, until)
		effects.Send(s.self, membership.GracefulLeave{Name: "at any time"})
		effects.Responses = append(effects.Responses, statemachine.Response{Request: body.request, Value: "yes", NotAfter: until, LateValue: "come back"})
		s.clock.Add(int64(20 * time.Second))
	case look:
		effects.Respond(body.request, now)
	case stopNow:
		effects.Stop = true
	}
}

func freeAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func openSleeper(t *testing.T, peer string) (*EventLoop, *sleeper) {
	machine := &sleeper{clock: &atomic.Int64{}, self: freeAddress(t), peer: peer}
	began := time.Now()
	opened, err := NewEventLoop(Options{
		Address: machine.self, Logger: logevent.New(io.Discard, "sleeper", 0),
		Clock: func() time.Time { return began.Add(time.Duration(machine.clock.Load())) },
	})
	assert.NilError(t, err)
	opened.Start(machine)
	t.Cleanup(func() {
		opened.Post(stopNow{})
		<-opened.Done()
		opened.Transport().Close()
	})
	return opened, machine
}

// What a machine may say only for a while is not said by a process that stood
// still in between: not to others, not to itself, and not to whoever asked.
func TestWhatMayBeSaidForAWhileIsNotSaidLater(t *testing.T) {
	inbox, urgent := make(chan transport.Inbound, 8), make(chan transport.Inbound, 8)
	peer := freeAddress(t)
	links, err := transport.Open(peer, inbox, urgent, func(string, error) {})
	assert.NilError(t, err)
	t.Cleanup(links.Close)
	host, machine := openSleeper(t, peer)
	value, alive := host.Call(func(request uint64) any { return standStill{request: request} })
	assert.Assert(t, alive)
	assert.Equal(t, value, "come back")
	select {
	case first := <-inbox:
		assert.Equal(t, first.Message.(membership.GracefulLeave).Name, "at any time")
	case first := <-urgent:
		assert.Equal(t, first.Message.(membership.GracefulLeave).Name, "at any time")
	case <-time.After(20 * time.Second):
		t.Fatal("nothing came")
	}
	tasted, _ := host.Inspect(func(time.Time) any { return machine.tasted })
	assert.DeepEqual(t, tasted, []string{"at any time"})
}

// A process that stood still in the midst of a turn takes what is left of the turn
// by the clock as it is then.
func TestEachStepOfATurnHasItsOwnMoment(t *testing.T) {
	host, machine := openSleeper(t, "")
	var moments []time.Time
	host.Execute(func(owner LoopContext) {
		owner.Submit(func(request uint64) any { return look{request: request} }, func(value any) { moments = append(moments, value.(time.Time)) })
		machine.clock.Add(int64(20 * time.Second))
		owner.Submit(func(request uint64) any { return look{request: request} }, func(value any) { moments = append(moments, value.(time.Time)) })
	})
	_, alive := host.Inspect(func(time.Time) any { return nil })
	assert.Assert(t, alive)
	assert.Equal(t, len(moments), 2)
	assert.Assert(t, moments[1].Sub(moments[0]) >= 20*time.Second, "the second step was taken %s after the first", moments[1].Sub(moments[0]))
}
