package daemon

import (
	"net/http"
	"time"

	"dahlialock/internal/membership"
	"dahlialock/internal/settings"
	"dahlialock/internal/statemachine"
)

// ExitCode is the exit code of a daemon's process.
type ExitCode int

// Exit codes.
const (
	// ExitOK is that of a daemon that was stopped, ExitFailed that of one that
	// couldn't start.
	ExitOK     ExitCode = 0
	ExitFailed ExitCode = 1
	// ExitInvariant is that of a daemon that panicked.
	ExitInvariant ExitCode = 2
	// ExitDisk is that of a data directory that can't be opened.
	ExitDisk ExitCode = 3
	// ExitSettings is that of faulty settings or flags.
	ExitSettings ExitCode = 64
)

// Machine is a daemon's state machine, with its view of the cluster.
type Machine interface {
	statemachine.Machine
	ViewClient() *membership.ViewClient
}

// Service is what one kind of daemon provides. Its functions are called on the
// goroutine of the event loop, unless they say otherwise.
type Service struct {
	Machine Machine
	// Ready reports whether the daemon serves its purpose now.
	Ready func(now time.Time) bool
	// StopCommand asks the machine to stop gracefully.
	StopCommand any
	// CloseSlowSession returns the command for a session whose queue was full.
	CloseSlowSession func(session uint64) any
	// OperatorRequest returns the command for an operator's request at ctl; the
	// machine responds to it with a membership.ControlResponse.
	OperatorRequest func(request uint64, method, path string, body []byte) any
	// FindDecisions returns the command for a search in the decision log, which
	// the machine responds to with entries. It is nil if there is no log.
	FindDecisions func(request uint64, requestName, message, client string) any
	// Counters returns what ctl shows of the machine, as a JSON value.
	Counters func() any
	// ClientHandler serves clients over HTTP. It is called once, before the
	// machine starts.
	ClientHandler func(loop *EventLoop) http.Handler
	// ListenClients serves clients by itself at an address, in place of
	// ClientHandler.
	ListenClients func(loop *EventLoop, address string) (Server, error)
	// ControlAdapter adds routes to ctl; nil for none.
	ControlAdapter ControlAdapter
	// Reload applies settings that changed; nil if none concern the machine.
	Reload func(after settings.Settings)
}

// Builder makes a daemon's service from its settings and what its disk stored.
type Builder func(settings settings.Settings, self membership.Member, stored StoredState) (Service, error)

// StoredState is what a daemon starts from.
type StoredState struct {
	// Snapshot and Entries are what the disk has: nil for a new one.
	Snapshot []byte
	Entries  [][]byte
	// NewDisk is a random name for the disk, if it has none yet.
	NewDisk string
	// Incarnation is random, and identifies this run of the process.
	Incarnation statemachine.Incarnation
}

// Server serves clients until it is closed.
type Server interface{ Close() }

// ControlAdapter serves operators at ctl in another form than the daemons' own.
// It has no state of its own, and uses the ControlPort.
type ControlAdapter interface {
	RegisterRoutes(routes *http.ServeMux, port ControlPort)
}

// ControlPort is what a ControlAdapter may ask of its daemon. Its methods may be
// called by any goroutine, and wait for the event loop.
type ControlPort interface {
	// Live reports whether the event loop responds.
	Live() bool
	// Ready reports whether the daemon serves its purpose now.
	Ready() bool
	// Request forwards an operator's request to the primary, and waits for its
	// response.
	Request(method, path string, body []byte) ControlReply
}

// ControlReply is the response to a request at ctl.
type ControlReply struct {
	// Status is that of HTTP.
	Status int
	// RetryAfter is 0 where the request need not be repeated.
	RetryAfter time.Duration
	// Body is JSON.
	Body []byte
}
