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

const testLease = time.Second

// suspension is the duration for which a process is suspended within a step.
const suspension = 20 * time.Second

// suspendableMachine is a state machine whose process can be suspended. The suspension is
// simulated by advancing its clock.
type suspendableMachine struct {
	// clock has the nanoseconds since the start.
	clock    *atomic.Int64
	self     string
	peer     string
	received []string
}

// The command suspend makes the state machine send messages and a response, with and without
// the deadline of a lease, and then suspends it. The command readClock makes it respond with
// the time of the step.
type (
	suspend   struct{ request uint64 }
	readClock struct{ request uint64 }
)

func (*suspendableMachine) Start(time.Time, *statemachine.Effects) {}
func (*suspendableMachine) Tick(time.Time, *statemachine.Effects)  {}
func (*suspendableMachine) NextTick() time.Time                    { return time.Time{} }
func (*suspendableMachine) ConfigurationVersion() uint64           { return 0 }

func (s *suspendableMachine) HandleMessage(_ time.Time, _ statemachine.Meta, message any, _ *statemachine.Effects) {
	s.received = append(s.received, message.(membership.GracefulLeave).Name)
}

func (s *suspendableMachine) HandleCommand(now time.Time, command any, effects *statemachine.Effects) {
	switch body := command.(type) {
	case suspend:
		until := now.Add(testLease)
		effects.SendBefore(s.peer, membership.GracefulLeave{Name: "under the lease"}, until)
		effects.Send(s.peer, membership.GracefulLeave{Name: "at any time"})
		effects.SendBefore(s.self, membership.GracefulLeave{Name: "under the lease"}, until)
		effects.Send(s.self, membership.GracefulLeave{Name: "at any time"})
		effects.Responses = append(effects.Responses, statemachine.Response{
			Request:   body.request,
			Value:     "yes",
			NotAfter:  until,
			LateValue: "too late",
		})
		s.clock.Add(int64(suspension))
	case readClock:
		effects.Respond(body.request, now)
	case stopNow:
		effects.Stop = true
	}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func startSuspendable(t *testing.T, peer string) (*EventLoop, *suspendableMachine) {
	t.Helper()
	machine := &suspendableMachine{clock: &atomic.Int64{}, self: freeAddress(t), peer: peer}
	began := time.Now()
	opened, err := NewEventLoop(Options{
		Address: machine.self,
		Logger:  logevent.New(io.Discard, "suspendable", 0),
		Clock:   func() time.Time { return began.Add(time.Duration(machine.clock.Load())) },
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

// If the process is suspended within a step until the lease has expired, messages and
// responses that are only valid under the lease must not be sent: neither to a peer, nor to
// the daemon itself, nor as a response.
func TestEventLoopDropsWhatExpiredDuringSuspension(t *testing.T) {
	inbox, control := make(chan transport.Inbound, 8), make(chan transport.Inbound, 8)
	peer := freeAddress(t)
	links, err := transport.Open(peer, inbox, control, func(string, error) {})
	assert.NilError(t, err)
	t.Cleanup(links.Close)
	loop, machine := startSuspendable(t, peer)
	value, alive := loop.Call(func(request uint64) any { return suspend{request: request} })
	assert.Assert(t, alive)
	assert.Equal(t, value, "too late")
	select {
	case first := <-inbox:
		assert.Equal(t, first.Message.(membership.GracefulLeave).Name, "at any time")
	case first := <-control:
		assert.Equal(t, first.Message.(membership.GracefulLeave).Name, "at any time")
	case <-time.After(20 * time.Second):
		t.Fatal("no message was received")
	}
	received, _ := loop.Inspect(func(time.Time) any { return machine.received })
	assert.DeepEqual(t, received, []string{"at any time"})
}

// If the process is suspended within a turn, the remaining steps of the turn must use the
// time after the suspension.
func TestEventLoopReadsClockBeforeEachStep(t *testing.T) {
	loop, machine := startSuspendable(t, "")
	var moments []time.Time
	command := func(request uint64) any { return readClock{request: request} }
	record := func(value any) { moments = append(moments, value.(time.Time)) }
	loop.Execute(func(context LoopContext) {
		context.Submit(command, record)
		machine.clock.Add(int64(suspension))
		context.Submit(command, record)
	})
	_, alive := loop.Inspect(func(time.Time) any { return nil })
	assert.Assert(t, alive)
	assert.Equal(t, len(moments), 2)
	between := moments[1].Sub(moments[0])
	assert.Assert(t, between >= suspension, "the second step was made %s after the first", between)
}
