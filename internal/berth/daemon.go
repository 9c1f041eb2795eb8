// What all daemons have in common as processes: settings that are checked and
// reloaded, a data folder that one process holds at a time, signals, readiness,
// and the ctl address at which every daemon gives operators the same answers.
package berth

import (
	"context"
	"crypto/rand"
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

	"dahlialock/internal/beacon"
	"dahlialock/internal/chart"
	"dahlialock/internal/cutter"
	"dahlialock/internal/flare"
	"dahlialock/internal/foghorn"
	"dahlialock/internal/helm"
	"dahlialock/internal/logbook"
	"dahlialock/internal/props"
	"dahlialock/internal/soundings"
)

// Exit codes of daemons.
const (
	ExitFine      = 0
	ExitFailed    = 1
	ExitInvariant = 2
	ExitDisk      = 3
	ExitProps     = 64
)

const (
	bodyMost     = 2 << 20
	inspectLimit = 800 * time.Millisecond
)

// Daemon is a machine with what ctl wants to know of it.
type Daemon interface {
	helm.Machine
	Follower() *beacon.Follower
}

// Build is what one kind of daemon brings.
type Build struct {
	Machine  Daemon
	Ready    func(now time.Time) bool
	Stop     any
	Slow     func(channel uint64) any
	Visit    func(local uint64, method, path string, body []byte) any
	Find     func(local uint64, visit, message, origin string) any
	Counters func() any
	Caller   func(berth *Berth) http.Handler
	// Callers serves callers at an address by itself, in place of Caller.
	Callers func(at *Berth, address string) (Server, error)
	// Adapter adds routes to ctl, next to the daemons' own.
	Adapter Adapter
	Reload  func(after props.Props)
}

// Server serves callers until it is closed.
type Server interface{ Close() }

// Adapter answers at ctl in other words than the daemons' own. It decides
// nothing: it asks through the port.
type Adapter interface {
	Control(routes *http.ServeMux, port Port)
}

// Reply is the answer to a visit at ctl.
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
	// Visit carries an operator's request to the primary.
	Visit(method, path string, body []byte) Reply
}

// Stored is what a daemon's disk held.
type Stored struct {
	Frame   []byte
	Entries [][]byte
	NewDisk string
}

// Builder makes a daemon from its settings.
type Builder func(props props.Props, self beacon.Member, stored Stored) (Build, error)

// Main runs a daemon and gives its exit code.
func Main(kind string, arguments []string, build Builder) int {
	source, fault := props.FromFlags(kind, arguments)
	if errors.Is(fault, flag.ErrHelp) {
		return ExitFine
	}
	if fault != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", kind, fault)
		return ExitProps
	}
	settings, fault := source.Read()
	if fault != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", kind, fault)
		return ExitProps
	}
	// On small machines memory costs more than the collector's time, which does
	// not show at this rate.
	debug.SetGCPercent(100)
	debug.SetMemoryLimit(settings.MemoryLimit())
	runtime.GOMAXPROCS(min(runtime.NumCPU(), 4))
	running := &process{kind: kind, source: source, settings: settings, horn: foghorn.New(os.Stderr, settings.Name, settings.LogLevel)}
	return running.run(build)
}

type process struct {
	kind     string
	source   *props.Source
	settings props.Props
	horn     *foghorn.Foghorn
	berth    *Berth
	built    Build
	self     beacon.Member
}

func (process *process) failed(fault error) int {
	fmt.Fprintf(os.Stderr, "%s: %v\n", process.kind, fault)
	return ExitFailed
}

func (process *process) run(build Builder) int {
	settings := process.settings
	process.self = beacon.Member{
		Name: settings.Name, Kind: process.kind, Address: settings.Address, Control: settings.Control, Caller: settings.Caller,
		Locality: settings.Locality, Incarnation: uint64(time.Now().UnixNano()), Alive: true,
	}
	book, stored, fault := process.openDisk()
	if fault != nil {
		process.horn.Report(foghorn.DiskRefused, "error", fault.Error())
		return ExitDisk
	}
	process.built, fault = build(settings, process.self, stored)
	if fault != nil {
		return process.failed(fault)
	}
	process.berth, fault = Open(Props{Address: settings.Address, Foghorn: process.horn, Book: book, Slow: process.built.Slow})
	if fault != nil {
		return process.failed(fault)
	}
	process.weather(settings)
	if settings.Compression == props.CompressionFar {
		process.berth.Flare().Compress()
	}
	control, fault := net.Listen("tcp", settings.Control)
	if fault != nil {
		return process.failed(fault)
	}
	servers := []*http.Server{serve(control, process.control())}
	var callers Server
	switch {
	case process.built.Callers != nil:
		if callers, fault = process.built.Callers(process.berth, settings.Caller); fault != nil {
			return process.failed(fault)
		}
	case process.built.Caller != nil:
		caller, fault := net.Listen("tcp", settings.Caller)
		if fault != nil {
			return process.failed(fault)
		}
		servers = append(servers, serve(caller, process.built.Caller(process.berth)))
	}
	process.horn.Report(foghorn.DaemonStarted, "kind", process.kind, "address", settings.Address, "ctl", settings.Control, "locality", settings.Locality)
	process.berth.Run(process.built.Machine)
	process.wait()
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
	process.berth.Flare().Close()
	process.horn.Report(foghorn.DaemonStopped)
	return ExitFine
}

func serve(listener net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 32 << 10}
	go func() { _ = server.Serve(listener) }()
	return server
}

// wait answers signals and changed settings until the daemon has ended.
func (process *process) wait() {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	changed, fault := process.source.Watch()
	if fault != nil {
		process.horn.Report(foghorn.PropsRefused, "error", fault.Error())
	}
	for {
		select {
		case got := <-signals:
			if got == syscall.SIGHUP {
				process.reload("signal")
				continue
			}
			process.horn.Report(foghorn.DaemonStopping)
			process.berth.Post(process.built.Stop)
		case <-changed:
			process.reload("file")
		case <-process.berth.Ended():
			return
		}
	}
}

func (process *process) reload(why string) {
	after, fault := process.source.Read()
	if fault != nil {
		process.horn.Report(foghorn.PropsRefused, "error", fault.Error(), "why", why)
		return
	}
	if differ := props.Fixed(process.settings, after); len(differ) > 0 {
		process.horn.Report(foghorn.PropsRefused, "error", "only a restart changes "+strings.Join(differ, ", "), "why", why)
		return
	}
	process.settings = after
	process.weather(after)
	debug.SetMemoryLimit(after.MemoryLimit())
	process.horn.SetLevel(after.LogLevel)
	if process.built.Reload != nil {
		process.berth.Inspect(func(time.Time) any {
			process.built.Reload(after)
			return nil
		})
	}
	process.horn.Report(foghorn.PropsTaken, "why", why)
}

func (process *process) weather(settings props.Props) {
	trial := settings.Trial
	process.berth.Flare().SetWeather(flare.Weather{Delays: trial.Delays, Loss: trial.Loss, Cuts: trial.Cuts, Mutes: trial.Mutes, Deaf: trial.Deaf})
	process.berth.slowDisk.Store(int64(trial.Disk))
}

// openDisk opens the data folder; a damaged one is put aside, so that the copy
// is rebuilt from the other holder.
func (process *process) openDisk() (*logbook.Logbook, Stored, error) {
	stored := Stored{NewDisk: mustRandom()}
	path := process.settings.Data
	if path == "" {
		return nil, stored, nil
	}
	folder, fault := logbook.OpenFileFolder(path)
	if fault != nil {
		return nil, stored, fault
	}
	if fault := lock(path); fault != nil {
		return nil, stored, fault
	}
	book, recovered, fault := process.openBook(folder)
	if errorx.IsOfType(fault, logbook.ErrorDamage) {
		process.horn.Report(foghorn.DiskDamaged, "error", fault.Error())
		if fault := putAside(path); fault != nil {
			return nil, stored, fault
		}
		if folder, fault = logbook.OpenFileFolder(path); fault != nil {
			return nil, stored, fault
		}
		book, recovered, fault = process.openBook(folder)
	}
	if fault != nil {
		return nil, stored, fault
	}
	if recovered.Torn > 0 {
		process.horn.Report(foghorn.DiskTorn, "bytes", recovered.Torn)
	}
	stored.Frame, stored.Entries = recovered.Frame, recovered.Entries
	return book, stored, nil
}

// openBook opens the logbook, again and again while the disk refuses.
func (process *process) openBook(folder logbook.Folder) (*logbook.Logbook, logbook.Recovered, error) {
	for tries := 0; ; tries++ {
		book, recovered, fault := logbook.Open(folder)
		if !errorx.IsOfType(fault, logbook.ErrorDisk) {
			return book, recovered, fault
		}
		if tries%refusedReports == 0 {
			process.horn.Report(foghorn.DiskRefused, "error", fault.Error(), "tries", tries+1)
		}
		time.Sleep(refusedPause)
	}
}

func lock(path string) error {
	file, fault := os.OpenFile(filepath.Join(path, "lock"), os.O_RDWR|os.O_CREATE, 0o644)
	if fault != nil {
		return fault
	}
	if fault := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); fault != nil {
		return logbook.ErrorDisk.New("another process holds %s", path)
	}
	heldLocks = append(heldLocks, file)
	return nil
}

// heldLocks keeps the files open for as long as the process lives.
var heldLocks []*os.File

func putAside(path string) error {
	aside := filepath.Join(path, "damaged-"+strconv.FormatInt(time.Now().UnixNano(), 10))
	if fault := os.MkdirAll(aside, 0o755); fault != nil {
		return fault
	}
	entries, fault := os.ReadDir(path)
	if fault != nil {
		return fault
	}
	for _, entry := range entries {
		if strings.HasPrefix(entry.Name(), "slot-") || strings.HasPrefix(entry.Name(), "log-") {
			if fault := os.Rename(filepath.Join(path, entry.Name()), filepath.Join(aside, entry.Name())); fault != nil {
				return fault
			}
		}
	}
	return nil
}

func mustRandom() string {
	var body [8]byte
	if _, fault := rand.Read(body[:]); fault != nil {
		panic(fault)
	}
	return hex.EncodeToString(body[:])
}

// The ctl address.

func writeJSON(writer http.ResponseWriter, status int, value any) {
	body, fault := json.Marshal(value)
	if fault != nil {
		status, body = http.StatusInternalServerError, cutter.Error("encoding", fault.Error(), nil)
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(append(body, '\n'))
}

func (process *process) control() http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc("GET /live", func(writer http.ResponseWriter, _ *http.Request) {
		if !process.Live() {
			writeJSON(writer, http.StatusServiceUnavailable, map[string]any{"live": false})
			return
		}
		writeJSON(writer, http.StatusOK, map[string]any{"live": true})
	})
	routes.HandleFunc("GET /ready", func(writer http.ResponseWriter, _ *http.Request) {
		if !process.Ready() {
			writeJSON(writer, http.StatusServiceUnavailable, map[string]any{"ready": false})
			return
		}
		writeJSON(writer, http.StatusOK, map[string]any{"ready": true})
	})
	routes.HandleFunc("GET /v1/self", process.describe)
	routes.HandleFunc("GET /v1/decisions", process.decisions)
	routes.HandleFunc("POST /v1/configuration/check", func(writer http.ResponseWriter, visit *http.Request) {
		body, whole := readBody(writer, visit)
		if !whole {
			return
		}
		configuration, faults := chart.Read(body)
		if len(faults) > 0 {
			writeJSON(writer, http.StatusBadRequest, map[string]any{"code": "faulty-configuration", "text": "the configuration is faulty", "faults": faults})
			return
		}
		writeJSON(writer, http.StatusOK, map[string]any{"version": configuration.Version, "spaces": len(configuration.Spaces)})
	})
	routes.HandleFunc("/v1/", process.sendOn)
	routes.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	routes.HandleFunc("GET /debug/pprof/heap", pprof.Handler("heap").ServeHTTP)
	if process.built.Adapter != nil {
		process.built.Adapter.Control(routes, process)
	}
	return refuseClearly(routes)
}

// refuseClearly gives what no route answers a refusal in JSON.
func refuseClearly(routes *http.ServeMux) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, visit *http.Request) {
		if _, pattern := routes.Handler(visit); pattern != "" {
			routes.ServeHTTP(writer, visit)
			return
		}
		refusal := &refusal{header: http.Header{}}
		routes.ServeHTTP(refusal, visit)
		if refusal.status == http.StatusMethodNotAllowed {
			writer.Header().Set("Allow", refusal.header.Get("Allow"))
			writeJSON(writer, http.StatusMethodNotAllowed, map[string]any{"code": "no-such-method", "text": visit.URL.Path + " does not know " + visit.Method})
			return
		}
		writeJSON(writer, http.StatusNotFound, map[string]any{"code": "no-such-path", "text": visit.URL.Path + " is not known"})
	})
}

// refusal takes what the routes would have said.
type refusal struct {
	header http.Header
	status int
}

func (refusal *refusal) Header() http.Header            { return refusal.header }
func (refusal *refusal) Write(body []byte) (int, error) { return len(body), nil }
func (refusal *refusal) WriteHeader(status int)         { refusal.status = status }

// Live tells whether the owner answers.
func (process *process) Live() bool {
	_, alive := process.inspect(func(time.Time) any { return nil })
	return alive
}

// Ready tells whether the daemon would take callers or do its work.
func (process *process) Ready() bool {
	ready, alive := process.inspect(func(now time.Time) any { return process.built.Ready(now) })
	return alive && ready == true
}

// inspect asks the owner, but no longer than the platform would wait.
func (process *process) inspect(question func(now time.Time) any) (any, bool) {
	type answer struct {
		value any
		alive bool
	}
	answers := make(chan answer, 1)
	go func() {
		value, alive := process.berth.Inspect(question)
		answers <- answer{value: value, alive: alive}
	}()
	select {
	case got := <-answers:
		return got.value, got.alive
	case <-time.After(inspectLimit):
		return nil, false
	}
}

func (process *process) describe(writer http.ResponseWriter, _ *http.Request) {
	value, alive := process.inspect(func(now time.Time) any {
		follower := process.built.Machine.Follower()
		return map[string]any{
			"name": process.self.Name, "kind": process.kind, "locality": process.self.Locality, "ready": process.built.Ready(now),
			"version": process.built.Machine.Version(), "index": follower.Index, "epoch": follower.Epoch, "primary": follower.Primary(),
			"counters": process.built.Counters(), "links": linkCounts(&process.berth.Flare().Counters),
			"steps": process.berth.Steps.Load(), "syncs": process.berth.Syncs.Load(),
		}
	})
	if !alive {
		writeJSON(writer, http.StatusServiceUnavailable, map[string]any{"code": "busy", "text": "the daemon does not answer"})
		return
	}
	writeJSON(writer, http.StatusOK, value)
}

func linkCounts(counters *flare.Counters) map[string]int64 {
	return map[string]int64{
		"messages_out": counters.MessagesOut.Load(), "bytes_out": counters.BytesOut.Load(),
		"messages_in": counters.MessagesIn.Load(), "bytes_in": counters.BytesIn.Load(),
		"messages_away": counters.MessagesAway.Load(), "bytes_away": counters.BytesAway.Load(),
		"dropped": counters.Dropped.Load(), "garbage": counters.Garbage.Load(), "writes": counters.Writes.Load(), "dials": counters.Dials.Load(), "shed": counters.Shed.Load(),
	}
}

func (process *process) decisions(writer http.ResponseWriter, visit *http.Request) {
	query := visit.URL.Query()
	entries := []soundings.Entry{}
	if process.built.Find != nil {
		value, alive := process.berth.Do(func(local uint64) any {
			return process.built.Find(local, query.Get("visit"), query.Get("message"), query.Get("origin"))
		})
		if !alive {
			writeJSON(writer, http.StatusServiceUnavailable, map[string]any{"code": "stopping", "text": "the daemon is stopping"})
			return
		}
		entries = value.([]soundings.Entry)
	}
	writeJSON(writer, http.StatusOK, map[string]any{"daemon": process.self.Name, "decisions": entries})
}

func readBody(writer http.ResponseWriter, visit *http.Request) ([]byte, bool) {
	body, fault := io.ReadAll(http.MaxBytesReader(writer, visit.Body, bodyMost))
	if fault != nil {
		writeJSON(writer, http.StatusRequestEntityTooLarge, map[string]any{"code": "too-large", "text": fault.Error()})
		return nil, false
	}
	return body, true
}

// sendOn carries an operator's request to the primary, wherever it came in.
func (process *process) sendOn(writer http.ResponseWriter, visit *http.Request) {
	body, whole := readBody(writer, visit)
	if !whole {
		return
	}
	reply := process.Visit(visit.Method, visit.URL.Path, body)
	if reply.RetryAfter > 0 {
		writer.Header().Set("Retry-After", strconv.Itoa(int((reply.RetryAfter+time.Second-1)/time.Second)))
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(reply.Status)
	_, _ = writer.Write(append(reply.Body, '\n'))
}

// Visit carries an operator's request to the primary and waits for its answer.
func (process *process) Visit(method, path string, body []byte) Reply {
	value, alive := process.berth.Do(func(local uint64) any { return process.built.Visit(local, method, path, body) })
	returned, matches := value.(beacon.ControlReturn)
	if !alive || !matches {
		return Reply{Status: http.StatusServiceUnavailable, RetryAfter: time.Second, Body: cutter.Error("stopping", "the daemon is stopping", nil)}
	}
	return Reply{Status: returned.Status, RetryAfter: returned.RetryAfter, Body: returned.Body}
}
