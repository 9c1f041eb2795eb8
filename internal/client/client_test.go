// Tests that the client does not retry a request that the server may already have
// processed when the connection breaks, and that each response is matched to its own
// request.
package client_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/client"
)

// server accepts TCP connections, responds to the first request of each connection
// and handles the second one with a given function.
type server struct {
	listener net.Listener
	requests atomic.Int64
}

const answer = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 22\r\n\r\n" +
	`{"outcome":"accepted"}`

func serve(t *testing.T, second func(connection net.Conn)) *server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	made := &server{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go made.answer(connection, second)
		}
	}()
	return made
}

func (s *server) answer(connection net.Conn, second func(connection net.Conn)) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for count := 0; ; count++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		s.requests.Add(1)
		if count > 0 {
			second(connection)
			return
		}
		_, _ = io.WriteString(connection, answer)
	}
}

func reset(connection net.Conn) {
	_ = connection.(*net.TCPConn).SetLinger(0)
	_ = connection.Close()
}

func TestAPublicationThatMayHaveBeenTakenIsNotSentAgain(t *testing.T) {
	for name, second := range map[string]func(net.Conn){
		"reset before the answer":  reset,
		"closed before the answer": func(connection net.Conn) { _ = connection.Close() },
		"reset within the answer": func(connection net.Conn) {
			_, _ = io.WriteString(connection, answer[:len(answer)-4])
			reset(connection)
		},
	} {
		t.Run(name, func(t *testing.T) {
			at := serve(t, second)
			caller := &client.Client{Token: "u", HTTP: client.NewHTTPClient("")}
			address := at.listener.Addr().String()
			_, err := caller.Publish(context.Background(), address, "boards", "t", 1, "first")
			assert.NilError(t, err)
			// The second publication reuses the pooled connection, which breaks while it is in flight.
			_, err = caller.Publish(context.Background(), address, "boards", "t", 2, "second")
			assert.Assert(t, err != nil, "a publication without a response was reported as answered")
			assert.Equal(t, at.requests.Load(), int64(2), "the second publication was retried")
		})
	}
}
