package storedforms_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"dahlialock/internal/gateway"
	"dahlialock/internal/membership"
	"dahlialock/internal/partition"
	"dahlialock/internal/simulator"
	"dahlialock/internal/storedforms"
)

const ctlDocument = `{"version": %d, "spaces": [` +
	`{"name": "readings", "promise": "kept", "order": "topic"},` +
	`{"name": "orders", "promise": "kept", "publishers": ["origin-*"]},` +
	`{"name": "pulse", "promise": "passing", "limits": {"data_bytes": 8}}],` +
	` "routes": [{"prefix": "reading.", "space": "readings"}]%s}`

// textFields matches the fields that only people read. They may be reworded, so they are not
// compared; all that programs read must stay.
var textFields = regexp.MustCompile(`"text":"([^"\\]|\\.)*"`)

func masked(body []byte) string { return textFields.ReplaceAllString(string(body), `"text":"..."`) }

// responseRecorder runs a simulated fleet and collects its responses as lines.
type responseRecorder struct {
	*testing.T
	fleet *simulator.Simulation
	lines []string
}

func newResponseRecorder(t *testing.T) *responseRecorder {
	t.Helper()
	recorder := &responseRecorder{T: t, fleet: simulator.New(11, simulator.Shape{
		Gateways: 2, Stores: 3, Controllers: 3, Zones: 2, Delay: time.Millisecond,
	})}
	recorder.fleet.StartAll()
	recorder.waitUntil(func() bool { return recorder.fleet.Primary() != nil && recorder.fleet.Primary().Ready() })
	recorder.fleet.Run(3 * time.Second)
	return recorder
}

func (s *responseRecorder) waitUntil(condition func() bool) {
	s.Helper()
	if !s.fleet.RunUntil(20*time.Second, condition) {
		s.Fatalf("the condition was not met within 20 s, after\n%s", strings.Join(s.lines, "\n"))
	}
}

// control sends a request to the ctl of a gateway and collects the response.
func (s *responseRecorder) control(method, path, body string) {
	s.Helper()
	answered := false
	node := s.fleet.Nodes(membership.KindGateway)[0]
	s.fleet.Control(node, method, path, []byte(body), func(returned membership.ControlResponse, alive bool) {
		answered = true
		s.lines = append(s.lines, fmt.Sprintf("%s %s: alive %t, %d, come back in %s, %s",
			method, path, alive, returned.Status, returned.RetryAfter, masked(returned.Body)))
	})
	s.waitUntil(func() bool { return answered })
}

// call sends a client's command to a gateway and collects the response.
func (s *responseRecorder) call(name string, command func(request uint64) any) {
	s.Helper()
	answered := false
	node := s.fleet.Nodes(membership.KindGateway)[0]
	s.fleet.Call(node, command, func(value any, alive bool) {
		answered = true
		reply, matches := value.(gateway.Reply)
		if !matches {
			packed, err := json.Marshal(value)
			if err != nil {
				s.Fatal(err)
			}
			s.lines = append(s.lines, name+": "+masked(packed))
			return
		}
		fields, err := json.Marshal(reply.Fields)
		if err != nil {
			s.Fatal(err)
		}
		s.lines = append(s.lines, fmt.Sprintf("%s: alive %t, %d %s, code %q, come back in %s, cursor %q, number %d, %s", name,
			alive, reply.Status, reply.Outcome, reply.Code, reply.RetryAfter, reply.Cursor, reply.SubscriberCount, fields))
	})
	s.waitUntil(func() bool { return answered })
}

func TestResponsesAtCtlStay(t *testing.T) {
	s := newResponseRecorder(t)
	s.control(http.MethodGet, "/v1/configuration", "")
	s.control(http.MethodPut, "/v1/configuration", `{"version": 1, "spaces": [], "spaces": 3, "no": 1}`)
	s.control(http.MethodPut, "/v1/configuration", `not a document`)
	s.control(http.MethodPut, "/v1/configuration", fmt.Sprintf(ctlDocument, 5, ""))
	s.control(http.MethodPut, "/v1/configuration", fmt.Sprintf(ctlDocument, 5, ""))
	s.control(http.MethodPut, "/v1/configuration", fmt.Sprintf(ctlDocument, 5, `, "zones": ["zone-0"]`))
	s.control(http.MethodPut, "/v1/configuration", fmt.Sprintf(ctlDocument, 4, ""))
	s.control(http.MethodPut, "/v1/configuration", fmt.Sprintf(ctlDocument, 6, `, "drains": ["gateway-1", "gateway-2"]`))
	s.fleet.Run(3 * time.Second)
	s.control(http.MethodGet, "/v1/configuration", "")
	s.control(http.MethodGet, "/v1/cluster", "")
	s.control(http.MethodGet, "/v1/placement", "")
	s.control(http.MethodGet, "/v1/epochs", "")
	s.control(http.MethodGet, "/v1/stores/store-1", "")
	s.control(http.MethodGet, "/v1/stores/nobody", "")
	s.control(http.MethodPost, "/v1/stores/nobody/retire", "")
	s.control(http.MethodPost, "/v1/stores/store-1/paint", "")
	s.control(http.MethodPost, "/v1/stores/store-3/retire", "")
	s.control(http.MethodPost, "/v1/stores/store-2/retire", "")
	s.fleet.Run(10 * time.Second)
	s.control(http.MethodGet, "/v1/stores/store-3", "")
	s.control(http.MethodPost, "/v1/stores/store-3/return", "")
	s.control(http.MethodDelete, "/v1/cluster", "")
	s.control(http.MethodGet, "/v1/nothing", "")
	for _, node := range s.fleet.Nodes(membership.KindController)[:2] {
		node.Kill()
	}
	s.fleet.Run(3 * time.Second)
	s.control(http.MethodGet, "/v1/cluster", "")
	storedforms.Compare(t, "ctl.txt", s.lines)
}

// publication returns the command for a publication of origin-1 with a sequence number.
func publication(space, topic string, seq uint64, data string) func(request uint64) any {
	return func(request uint64) any {
		return gateway.Publish{
			Request:     request,
			RequestName: fmt.Sprintf("request-%d", seq),
			Client:      "origin-1",
			Sender:      "origin-1",
			Space:       space,
			Topic:       topic,
			Seq:         seq,
			Data:        []byte(data),
		}
	}
}

// subscription returns the command for a subscription of origin-1 in session 7.
func subscription(space, path, cursor string) func(request uint64) any {
	return func(request uint64) any {
		command := gateway.Subscribe{
			Request:     request,
			RequestName: "subscribe-" + path,
			Session:     7,
			Client:      "origin-1",
			Cursor:      cursor,
		}
		if cursor == "" {
			command.Interests = []gateway.Interest{{Space: space, Path: path}}
		}
		return command
	}
}

func TestResponsesToClientsAndDecisionsStay(t *testing.T) {
	s := newResponseRecorder(t)
	open := func(request uint64) any {
		return gateway.OpenSession{Request: request, Session: 7, Name: "7", Client: "origin-1"}
	}
	s.call("subscribe before the channel is open", subscription("orders", "a/b", ""))
	s.call("publish before there is a configuration", publication("orders", "a/b", 1, `"x"`))
	s.control(http.MethodPut, "/v1/configuration", fmt.Sprintf(ctlDocument, 1, ""))
	s.fleet.Run(3 * time.Second)
	s.call("open", open)
	s.call("subscribe", subscription("orders", "a/b", ""))
	s.call("subscribe to a passing space", subscription("pulse", "p", ""))
	s.call("subscribe to no space", subscription("nowhere", "p", ""))
	s.call("subscribe with a forged cursor", subscription("orders", "a/b", "forged"))
	s.call("publish", publication("orders", "a/b", 10, `"first"`))
	s.call("publish it again", publication("orders", "a/b", 10, `"first"`))
	s.call("publish another under its number", publication("orders", "a/b", 10, `"other"`))
	s.call("publish under an older number", publication("orders", "a/b", 3, `"old"`))
	s.call("publish to nobody's space", publication("nowhere", "a", 11, `"x"`))
	s.call("publish in passing", publication("pulse", "p", 12, `"pulse"`))
	s.call("publish too much", publication("pulse", "p", 13, `"pulses of 20 bytes"`))
	s.call("publish without a number", publication("orders", "a/b", 0, `"x"`))
	s.call("publish by route", publication("", "reading.1", 14, `raw`))
	s.call("publish without a route", publication("", "writing.1", 15, `raw`))
	s.call("subscribe by route", subscription("", "reading.1", ""))
	s.call("count", func(request uint64) any {
		return gateway.CountSubscribers{
			Request: request, RequestName: "count", Session: 7, Client: "origin-1", Topic: "reading.1",
		}
	})
	s.call("pong", func(request uint64) any { return gateway.Pong{Request: request, Session: 7, Client: "origin-1"} })
	s.call("pong of another", func(request uint64) any {
		return gateway.Pong{Request: request, Session: 7, Client: "origin-2"}
	})
	s.call("unsubscribe", func(request uint64) any {
		return gateway.Unsubscribe{
			Request:     request,
			RequestName: "unsubscribe",
			Session:     7,
			Client:      "origin-1",
			Interests:   []gateway.Interest{{Space: "orders", Path: "a/b"}},
		}
	})
	s.fleet.Run(time.Second)
	s.decisions()
	storedforms.Compare(t, "callers.txt", s.lines)
}

// decisions collects the decisions about origin-1 that a gateway and the stores have logged.
func (s *responseRecorder) decisions() {
	s.Helper()
	s.call("decisions of a gateway", func(request uint64) any {
		return gateway.FindDecisions{Local: request, Client: "origin-1"}
	})
	s.call("decisions on a message", func(request uint64) any {
		return gateway.FindDecisions{Local: request, Message: "orders/origin-1/10"}
	})
	for _, node := range s.fleet.Nodes(membership.KindStore) {
		answered := false
		s.fleet.Call(node, func(request uint64) any {
			return partition.FindDecisions{Local: request, Session: "origin-1"}
		}, func(value any, _ bool) {
			answered = true
			packed, err := json.Marshal(value)
			if err != nil {
				s.Fatal(err)
			}
			s.lines = append(s.lines, "decisions of "+node.Name+": "+string(packed))
		})
		s.waitUntil(func() bool { return answered })
	}
}
