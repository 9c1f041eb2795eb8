// Operators' callers on pooled and pipelined connections: each answer goes to the
// request that asked, also where answers come in another order and a caller is gone.
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

	"dahlialock/internal/logevent"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// keeper keeps requests until told to answer them, the newest first.
type keeper struct {
	echo
	kept []asked
	came chan string
}

type asked struct {
	request uint64
	path    string
}

type answerAll struct{}

func (k *keeper) HandleCommand(_ time.Time, command any, effects *statemachine.Effects) {
	switch body := command.(type) {
	case asked:
		k.kept = append(k.kept, body)
		k.came <- body.path
	case answerAll:
		for position := len(k.kept) - 1; position >= 0; position-- {
			each := k.kept[position]
			effects.Respond(each.request, membership.ControlResponse{Status: 200, Body: []byte(each.path)})
			// A second answer to the same request is for nobody.
			effects.Respond(each.request, membership.ControlResponse{Status: 409, Body: []byte("again")})
		}
		k.kept = nil
	case stopNow:
		effects.Stop = true
	}
}

// keeping is a daemon's ctl whose answers come when they are told to.
func keeping(t *testing.T) (*httptest.Server, *EventLoop, *keeper) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	_ = listener.Close()
	host, err := NewEventLoop(Options{Address: address, Logger: logevent.New(io.Discard, "keeper", 0)})
	assert.NilError(t, err)
	machine := &keeper{came: make(chan string, 16)}
	host.Start(machine)
	process := &process{host: host, built: Service{
		Machine: machine, Ready: func(time.Time) bool { return true }, Counters: func() any { return nil },
		OperatorRequest: func(local uint64, _, path string, _ []byte) any { return asked{request: local, path: path} },
	}}
	server := httptest.NewServer(process.control())
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		host.Post(stopNow{})
		<-host.Done()
		host.Transport().Close()
	})
	return server, host, machine
}

func get(within context.Context, server *httptest.Server, path string) (string, error) {
	request, err := http.NewRequestWithContext(within, http.MethodGet, server.URL+path, nil)
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

func TestEachCallerGetsTheAnswerToItself(t *testing.T) {
	server, host, machine := keeping(t)
	gone, leave := context.WithCancel(context.Background())
	left := make(chan error, 1)
	go func() {
		_, err := get(gone, server, "/v1/gone")
		left <- err
	}()
	<-machine.came
	leave()
	assert.Assert(t, <-left != nil)
	answers := make(chan string, 4)
	for number := range 4 {
		go func() {
			path := fmt.Sprintf("/v1/caller-%d", number)
			got, err := get(context.Background(), server, path)
			answers <- fmt.Sprint(got == path, err)
		}()
	}
	for range 4 {
		<-machine.came
	}
	host.Post(answerAll{})
	for range 4 {
		assert.Equal(t, <-answers, "true <nil>")
	}
}

// Requests on one connection, sent before the first is answered.
func TestPipelinedCallersAreAnsweredInOrder(t *testing.T) {
	server, host, machine := keeping(t)
	connection, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = connection.Close() }()
	for _, path := range []string{"/v1/first", "/v1/second"} {
		_, err = fmt.Fprintf(connection, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path)
		assert.NilError(t, err)
	}
	reader := bufio.NewReader(connection)
	for _, path := range []string{"/v1/first", "/v1/second"} {
		assert.Equal(t, <-machine.came, path)
		host.Post(answerAll{})
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, strings.TrimSpace(string(body)), path)
	}
}
