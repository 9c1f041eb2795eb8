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
	// ExitOK means that the daemon was stopped, ExitFailed that it couldn't start.
	ExitOK     ExitCode = 0
	ExitFailed ExitCode = 1
	// ExitInvariant means that the daemon panicked.
	ExitInvariant ExitCode = 2
	// ExitDisk means that the data directory can't be opened.
	ExitDisk ExitCode = 3
	// ExitSettings means that the settings or flags are faulty.
	ExitSettings ExitCode = 64
)

// Machine is a daemon's state machine. It also gives access to its view of the cluster.
type Machine interface {
	statemachine.Machine
	ViewClient() *membership.ViewClient
}

// Service has the state machine of one kind of daemon, and the functions that connect it
// to the process. The functions are called on the goroutine of the event loop unless
// their comments say otherwise.
type Service struct {
	Machine Machine
	// Ready reports whether the daemon is ready to serve.
	Ready func(now time.Time) bool
	// StopCommand is the command that makes the state machine stop gracefully.
	StopCommand any
	// CloseSlowSession returns the command that closes a session whose queue was full.
	CloseSlowSession func(session uint64) any
	// OperatorRequest returns the command for an operator's request at ctl. The state
	// machine responds to it with a membership.ControlResponse.
	OperatorRequest func(request uint64, method, path string, body []byte) any
	// FindDecisions returns the command for a search in the decision log. The state
	// machine responds to it with a slice of decisionlog.Entry. It is nil if there is no
	// decision log.
	FindDecisions func(request uint64, requestName, message, client string) any
	// Counters returns the state machine's counters for ctl, as a value to be encoded
	// in JSON.
	Counters func() any
	// ClientHandler returns the HTTP handler for clients. It is called once, before the
	// state machine starts.
	ClientHandler func(loop *EventLoop) http.Handler
	// ListenClients starts a server for clients at an address that isn't an
	// http.Server. It is used instead of ClientHandler, and also called once before the
	// state machine starts.
	ListenClients func(loop *EventLoop, address string) (Server, error)
	// ControlAdapter adds routes to ctl; nil for none.
	ControlAdapter ControlAdapter
	// Reload applies changed settings to the state machine; nil if no setting concerns
	// it.
	Reload func(after settings.Settings)
}

// Builder builds a daemon's service from its settings and the state stored on its disk.
type Builder func(settings settings.Settings, self membership.Member, stored StoredState) (Service, error)

// StoredState is the state with which a daemon starts.
type StoredState struct {
	// Snapshot and Entries are read from the disk; both are nil for a new disk.
	Snapshot []byte
	Entries  [][]byte
	// NewDisk is a random name, to be used if the disk has no name yet.
	NewDisk string
	// Incarnation is a random number that identifies this run of the process.
	Incarnation statemachine.Incarnation
}

// Server is a server for clients, which runs until it is closed.
type Server interface{ Close() }

// ControlAdapter adds routes to ctl that serve operators in another format than the
// built-in routes. It is stateless, and accesses the daemon through the ControlPort.
type ControlAdapter interface {
	RegisterRoutes(routes *http.ServeMux, port ControlPort)
}

// ControlPort is the interface of a daemon to its ControlAdapter. Its methods may be
// called by any goroutine, and wait for the event loop.
type ControlPort interface {
	// Live reports whether the event loop responds.
	Live() bool
	// Ready reports whether the daemon is ready to serve.
	Ready() bool
	// Request forwards an operator's request to the primary, and waits for its
	// response.
	Request(method, path string, body []byte) ControlReply
}

// ControlReply is the response to a request at ctl.
type ControlReply struct {
	// Status is the HTTP status.
	Status int
	// RetryAfter is the time after which to retry the request, 0 if no retry is
	// needed.
	RetryAfter time.Duration
	// Body is JSON.
	Body []byte
}
