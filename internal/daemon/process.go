// Package daemon runs a state machine as a process.
//
// What all daemons have in common as processes: settings that are checked and
// reloaded, a data folder that one process holds at a time, signals, readiness,
// and the ctl address at which every daemon gives operators the same answers.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/pprof"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	"dahlialock/internal/config"
	"dahlialock/internal/controlclient"
	"dahlialock/internal/decisionlog"
	"dahlialock/internal/logevent"
	"dahlialock/internal/membership"
	"dahlialock/internal/settings"
	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
	"dahlialock/internal/wal"
)

// Exit codes of daemons.
const (
	ExitFine      = 0
	ExitFailed    = 1
	ExitInvariant = 2
	ExitDisk      = 3
	ExitSettings  = 64
)

const (
	bodyMost     = 2 << 20
	inspectLimit = 800 * time.Millisecond
)

// Daemon is a machine with what ctl wants to know of it.
type Daemon interface {
	statemachine.Machine
	ViewClient() *membership.ViewClient
}

// Build is what one kind of daemon brings.
type Build struct {
	Machine  Daemon
	Ready    func(now time.Time) bool
	Stop     any
	Slow     func(channel uint64) any
	Request  func(local uint64, method, path string, body []byte) any
	Find     func(local uint64, request, message, origin string) any
	Counters func() any
	Caller   func(host *Host) http.Handler
	// Callers serves callers at an address by itself, in place of Caller.
	Callers func(at *Host, address string) (Server, error)
	// Adapter adds routes to ctl, next to the daemons' own.
	Adapter Adapter
	Reload  func(after settings.Settings)
}

// Server serves callers until it is closed.
type Server interface{ Close() }

// Adapter answers at ctl in other words than the daemons' own. It decides
// nothing: it asks through the port.
type Adapter interface {
	Control(routes *http.ServeMux, port Port)
}

// Reply is the answer to a request at ctl.
type Reply struct {
	Status     int
	RetryAfter time.Duration
	Body       []byte
}

// Port is what an adapter may ask of its daemon.
type Port interface {
	// Live tells whether the owner answers, Ready whether it would take callers.
	Live() bool
	Ready() bool
	// Request carries an operator's request to the primary.
	Request(method, path string, body []byte) Reply
}

// Stored is what a daemon's disk held, and what was drawn for this start: a name
// for its disk, if that is blank, and the name of this life.
type Stored struct {
	Frame       []byte
	Entries     [][]byte
	NewDisk     string
	Incarnation statemachine.Incarnation
}

// Builder makes a daemon from its settings.
type Builder func(settings settings.Settings, self membership.Member, stored Stored) (Build, error)

// Main runs a daemon and gives its exit code.
func Main(kind string, arguments []string, build Builder) int {
	source, err := settings.FromFlags(kind, arguments)
	if errors.Is(err, flag.ErrHelp) {
		return ExitFine
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", kind, err)
		return ExitSettings
	}
	current, err := source.Read()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", kind, err)
		return ExitSettings
	}
	// On small machines memory costs more than the collector's time, which does
	// not show at this rate.
	debug.SetGCPercent(100)
	debug.SetMemoryLimit(current.MemoryLimit())
	runtime.GOMAXPROCS(min(runtime.NumCPU(), 4))
	running := &process{kind: kind, source: source, current: current, logger: logevent.New(os.Stderr, current.Name, current.LogLevel)}
	return running.run(build)
}

type process struct {
	kind    string
	source  *settings.Source
	current settings.Settings
	logger  *logevent.Logger
	host    *Host
	built   Build
	self    membership.Member
}

func (p *process) failed(err error) int {
	fmt.Fprintf(os.Stderr, "%s: %v\n", p.kind, err)
	return ExitFailed
}

func (p *process) run(build Builder) int {
	current := p.current
	p.self = membership.Member{
		Name: current.Name, Kind: p.kind, Address: current.Address, Control: current.Control, Caller: current.Caller,
		Zone: current.Zone, Incarnation: uint64(time.Now().UnixNano()), Alive: true,
	}
	book, stored, err := p.openDisk()
	if err != nil {
		p.logger.Report(logevent.DiskWriteFailed, "error", err.Error())
		return ExitDisk
	}
	p.built, err = build(current, p.self, stored)
	if err != nil {
		return p.failed(err)
	}
	p.host, err = Open(Settings{Address: current.Address, Logger: p.logger, Book: book, Slow: p.built.Slow})
	if err != nil {
		return p.failed(err)
	}
	p.impairment(current)
	p.host.Transport().SetRate(current.Link)
	if current.Compression == settings.CompressionFar {
		p.host.Transport().Compress()
	}
	control, err := net.Listen("tcp", current.Control)
	if err != nil {
		return p.failed(err)
	}
	servers := []*http.Server{serve(control, p.control())}
	var callers Server
	switch {
	case p.built.Callers != nil:
		if callers, err = p.built.Callers(p.host, current.Caller); err != nil {
			return p.failed(err)
		}
	case p.built.Caller != nil:
		caller, err := net.Listen("tcp", current.Caller)
		if err != nil {
			return p.failed(err)
		}
		servers = append(servers, serve(caller, p.built.Caller(p.host)))
	}
	p.logger.Report(logevent.DaemonStarted, "kind", p.kind, "address", current.Address, "ctl", current.Control, "zone", current.Zone)
	p.host.Run(p.built.Machine)
	p.wait()
	if callers != nil {
		callers.Close()
	}
	stopping, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	for _, server := range servers {
		if server.Shutdown(stopping) != nil {
			_ = server.Close()
		}
	}
	p.host.Transport().Close()
	p.logger.Report(logevent.DaemonStopped)
	return ExitFine
}

func serve(listener net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 32 << 10}
	go func() { _ = server.Serve(listener) }()
	return server
}

// wait answers signals and changed settings until the daemon has ended.
func (p *process) wait() {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	told := p.trafficTicks()
	changed, err := p.source.Watch()
	if err != nil {
		p.logger.Report(logevent.SettingsRejected, "error", err.Error())
	}
	for {
		select {
		case got := <-signals:
			if got == syscall.SIGHUP {
				p.reload("signal")
				continue
			}
			p.logger.Report(logevent.DaemonStopping)
			p.host.Post(p.built.Stop)
		case <-changed:
			p.reload("file")
		case <-told:
			p.logger.Report(logevent.TrafficReported, p.traffic()...)
		case <-p.host.Ended():
			return
		}
	}
}

// trafficTicks tells when the traffic is to be logged; nil never does.
func (p *process) trafficTicks() <-chan time.Time {
	if p.current.Traffic <= 0 {
		return nil
	}
	return time.NewTicker(p.current.Traffic).C
}

// traffic is what crossed the links since the daemon started, by kind.
func (p *process) traffic() []any {
	links := p.host.Transport()
	fields := []any{"links", linkCounts(&links.Counters), "sent", links.Sent(), "received", links.Received()}
	if p.built.Callers != nil {
		callers, _ := p.inspect(func(time.Time) any { return p.built.Counters() })
		fields = append(fields, "counters", callers)
	}
	return fields
}

func (p *process) reload(why string) {
	after, err := p.source.Read()
	if err != nil {
		p.logger.Report(logevent.SettingsRejected, "error", err.Error(), "why", why)
		return
	}
	if differ := settings.Fixed(p.current, after); len(differ) > 0 {
		p.logger.Report(logevent.SettingsRejected, "error", "only a restart changes "+strings.Join(differ, ", "), "why", why)
		return
	}
	p.current = after
	p.impairment(after)
	p.host.Transport().SetRate(after.Link)
	debug.SetMemoryLimit(after.MemoryLimit())
	p.logger.SetLevel(after.LogLevel)
	if p.built.Reload != nil {
		p.host.Inspect(func(time.Time) any {
			p.built.Reload(after)
			return nil
		})
	}
	p.logger.Report(logevent.SettingsApplied, "why", why)
}

func (p *process) impairment(settings settings.Settings) {
	trial := settings.Trial
	p.host.Transport().SetImpairment(transport.Impairment{Delays: trial.Delays, Loss: trial.Loss, Cuts: trial.Cuts, Mutes: trial.Mutes, Deaf: trial.Deaf})
	p.host.slowDisk.Store(int64(trial.Disk))
}

// openDisk opens the data folder; a damaged one is put aside, so that the copy
// is rebuilt from the other holder.
func (p *process) openDisk() (*wal.Log, Stored, error) {
	stored := Stored{NewDisk: hex.EncodeToString(mustRandom()), Incarnation: statemachine.Incarnation(binary.BigEndian.Uint64(mustRandom()))}
	path := p.current.Data
	if path == "" {
		return nil, stored, nil
	}
	folder, err := wal.OpenFileFolder(path)
	if err != nil {
		return nil, stored, err
	}
	if err := lock(path); err != nil {
		return nil, stored, err
	}
	book, recovered, err := p.openBook(folder)
	if errorx.IsOfType(err, wal.ErrDamaged) {
		p.logger.Report(logevent.DiskDamaged, "error", err.Error())
		if err := wal.Quarantine(folder); err != nil {
			return nil, stored, err
		}
		book, recovered, err = p.openBook(folder)
	}
	if err != nil {
		return nil, stored, err
	}
	if recovered.TornBytes > 0 {
		p.logger.Report(logevent.DiskTorn, "bytes", recovered.TornBytes)
	}
	stored.Frame, stored.Entries = recovered.Snapshot, recovered.Entries
	return book, stored, nil
}

// openBook opens the log, again and again while the disk refuses.
func (p *process) openBook(folder wal.Folder) (*wal.Log, wal.Recovered, error) {
	for tries := 0; ; tries++ {
		book, recovered, err := wal.Open(folder)
		if !errorx.IsOfType(err, wal.ErrDisk) {
			return book, recovered, err
		}
		if tries%refusedReports == 0 {
			p.logger.Report(logevent.DiskWriteFailed, "error", err.Error(), "tries", tries+1)
		}
		time.Sleep(refusedPause)
	}
}

func lock(path string) error {
	file, err := os.OpenFile(filepath.Join(path, "lock"), os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return wal.ErrDisk.New("another process holds %s", path)
	}
	heldLocks = append(heldLocks, file)
	return nil
}

// heldLocks keeps the files open for as long as the process lives.
var heldLocks []*os.File

// mustRandom is the port for randomness: eight bytes, drawn as the process starts.
func mustRandom() []byte {
	var body [8]byte
	if _, err := rand.Read(body[:]); err != nil {
		panic(err)
	}
	return body[:]
}

// The ctl address.

func writeJSON(writer http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		status, body = http.StatusInternalServerError, controlclient.ErrorBody("encoding", err.Error(), nil)
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(append(body, '\n'))
}

func (p *process) control() http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc("GET /live", func(writer http.ResponseWriter, _ *http.Request) {
		if !p.Live() {
			writeJSON(writer, http.StatusServiceUnavailable, map[string]any{"live": false})
			return
		}
		writeJSON(writer, http.StatusOK, map[string]any{"live": true})
	})
	routes.HandleFunc("GET /ready", func(writer http.ResponseWriter, _ *http.Request) {
		if !p.Ready() {
			writeJSON(writer, http.StatusServiceUnavailable, map[string]any{"ready": false})
			return
		}
		writeJSON(writer, http.StatusOK, map[string]any{"ready": true})
	})
	routes.HandleFunc("GET /v1/self", p.describe)
	routes.HandleFunc("GET /v1/decisions", p.decisions)
	routes.HandleFunc("POST /v1/configuration/check", func(writer http.ResponseWriter, request *http.Request) {
		body, whole := readBody(writer, request)
		if !whole {
			return
		}
		configuration, faults := config.Read(body)
		if len(faults) > 0 {
			writeJSON(writer, http.StatusBadRequest, map[string]any{"code": "faulty-configuration", "text": "the configuration is faulty", "faults": faults})
			return
		}
		writeJSON(writer, http.StatusOK, map[string]any{"version": configuration.Version, "spaces": len(configuration.Spaces)})
	})
	routes.HandleFunc("/v1/", p.sendOn)
	routes.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	routes.HandleFunc("GET /debug/pprof/heap", pprof.Handler("heap").ServeHTTP)
	if p.built.Adapter != nil {
		p.built.Adapter.Control(routes, p)
	}
	return refuseClearly(routes)
}

// refuseClearly gives what no route answers a refusal in JSON.
func refuseClearly(routes *http.ServeMux) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if _, pattern := routes.Handler(request); pattern != "" {
			routes.ServeHTTP(writer, request)
			return
		}
		refusal := &refusal{header: http.Header{}}
		routes.ServeHTTP(refusal, request)
		if refusal.status == http.StatusMethodNotAllowed {
			writer.Header().Set("Allow", refusal.header.Get("Allow"))
			writeJSON(writer, http.StatusMethodNotAllowed, map[string]any{"code": "no-such-method", "text": request.URL.Path + " does not know " + request.Method})
			return
		}
		writeJSON(writer, http.StatusNotFound, map[string]any{"code": "no-such-path", "text": request.URL.Path + " is not known"})
	})
}

// refusal takes what the routes would have said.
type refusal struct {
	header http.Header
	status int
}

func (r *refusal) Header() http.Header            { return r.header }
func (r *refusal) Write(body []byte) (int, error) { return len(body), nil }
func (r *refusal) WriteHeader(status int)         { r.status = status }

// Live tells whether the owner answers.
func (p *process) Live() bool {
	_, alive := p.inspect(func(time.Time) any { return nil })
	return alive
}

// Ready tells whether the daemon would take callers or do its work.
func (p *process) Ready() bool {
	ready, alive := p.inspect(func(now time.Time) any { return p.built.Ready(now) })
	return alive && ready == true
}

// inspect asks the owner, but no longer than the platform would wait.
func (p *process) inspect(question func(now time.Time) any) (any, bool) {
	type answer struct {
		value any
		alive bool
	}
	answers := make(chan answer, 1)
	go func() {
		value, alive := p.host.Inspect(question)
		answers <- answer{value: value, alive: alive}
	}()
	select {
	case got := <-answers:
		return got.value, got.alive
	case <-time.After(inspectLimit):
		return nil, false
	}
}

func (p *process) describe(writer http.ResponseWriter, _ *http.Request) {
	value, alive := p.inspect(func(now time.Time) any {
		follower := p.built.Machine.ViewClient()
		return map[string]any{
			"name": p.self.Name, "kind": p.kind, "zone": p.self.Zone, "ready": p.built.Ready(now),
			"version": p.built.Machine.ConfigurationVersion(), "index": follower.Index, "epoch": follower.Epoch, "primary": follower.Primary(),
			"counters": p.built.Counters(), "links": linkCounts(&p.host.Transport().Counters), "sent": p.host.Transport().Sent(), "received": p.host.Transport().Received(),
			"steps": p.host.Steps.Load(), "syncs": p.host.Syncs.Load(),
		}
	})
	if !alive {
		writeJSON(writer, http.StatusServiceUnavailable, map[string]any{"code": "busy", "text": "the daemon does not answer"})
		return
	}
	writeJSON(writer, http.StatusOK, value)
}

func linkCounts(counters *transport.Counters) map[string]int64 {
	return map[string]int64{
		"messages_out": counters.MessagesOut.Load(), "bytes_out": counters.BytesOut.Load(),
		"messages_in": counters.MessagesIn.Load(), "bytes_in": counters.BytesIn.Load(),
		"messages_away": counters.MessagesAway.Load(), "bytes_away": counters.BytesAway.Load(),
		"dropped": counters.Dropped.Load(), "garbage": counters.Garbage.Load(), "writes": counters.Writes.Load(), "dials": counters.Dials.Load(), "shed": counters.Shed.Load(), "held": counters.Held.Load(),
	}
}

func (p *process) decisions(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	entries := []decisionlog.Entry{}
	if p.built.Find != nil {
		value, alive := p.host.Do(func(local uint64) any {
			return p.built.Find(local, query.Get("visit"), query.Get("message"), query.Get("origin"))
		})
		if !alive {
			writeJSON(writer, http.StatusServiceUnavailable, map[string]any{"code": "stopping", "text": "the daemon is stopping"})
			return
		}
		entries = value.([]decisionlog.Entry)
	}
	writeJSON(writer, http.StatusOK, map[string]any{"daemon": p.self.Name, "decisions": entries})
}

func readBody(writer http.ResponseWriter, request *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, bodyMost))
	if err != nil {
		writeJSON(writer, http.StatusRequestEntityTooLarge, map[string]any{"code": "too-large", "text": err.Error()})
		return nil, false
	}
	return body, true
}

// sendOn carries an operator's request to the primary, wherever it came in.
func (p *process) sendOn(writer http.ResponseWriter, request *http.Request) {
	body, whole := readBody(writer, request)
	if !whole {
		return
	}
	reply := p.Request(request.Method, request.URL.Path, body)
	if reply.RetryAfter > 0 {
		writer.Header().Set("Retry-After", strconv.Itoa(int((reply.RetryAfter+time.Second-1)/time.Second)))
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(reply.Status)
	_, _ = writer.Write(append(reply.Body, '\n'))
}

// Request carries an operator's request to the primary and waits for its answer.
func (p *process) Request(method, path string, body []byte) Reply {
	value, alive := p.host.Do(func(local uint64) any { return p.built.Request(local, method, path, body) })
	returned, matches := value.(membership.ControlResponse)
	if !alive || !matches {
		return Reply{Status: http.StatusServiceUnavailable, RetryAfter: time.Second, Body: controlclient.ErrorBody("stopping", "the daemon is stopping", nil)}
	}
	return Reply{Status: returned.Status, RetryAfter: returned.RetryAfter, Body: returned.Body}
}
