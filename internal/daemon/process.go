package daemon

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"dahlialock/internal/logevent"
	"dahlialock/internal/membership"
	"dahlialock/internal/settings"
	"dahlialock/internal/transport"
)

const (
	// garbageCollectionPercent is the argument of debug.SetGCPercent. On small hosts
	// memory is scarcer than processor time, and at this value the processor time of
	// the collector is negligible.
	garbageCollectionPercent = 100
	maxProcessors            = 4

	readHeaderTimeout     = 5 * time.Second
	idleConnectionTimeout = 2 * time.Minute
	maxRequestHeaderBytes = 32 << 10
	// serversShutdownTimeout bounds the time for HTTP requests in progress to
	// complete.
	serversShutdownTimeout = 300 * time.Millisecond
)

// Main runs a daemon and returns the exit code of the process. The kind is that of
// membership.Member.
func Main(kind string, arguments []string, build Builder) ExitCode {
	loader, err := settings.ParseFlags(kind, arguments)
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	if err != nil {
		return exitWith(kind, err, ExitSettings)
	}
	current, err := loader.Load()
	if err != nil {
		return exitWith(kind, err, ExitSettings)
	}
	debug.SetGCPercent(garbageCollectionPercent)
	debug.SetMemoryLimit(current.MemoryLimit())
	runtime.GOMAXPROCS(min(runtime.NumCPU(), maxProcessors))
	process := &process{
		kind:     kind,
		loader:   loader,
		settings: current,
		logger:   logevent.New(os.Stderr, current.Name, current.LogLevel),
	}
	return process.run(build)
}

// exitWith prints the error that prevents a daemon of a kind from starting, and returns
// the exit code.
func exitWith(kind string, err error, code ExitCode) ExitCode {
	fmt.Fprintf(os.Stderr, "%s: %v\n", kind, err)
	return code
}

// process is a daemon's process. Its fields are set at the start. Only settings changes
// later, with each reload, and is only accessed by the goroutine of Main.
type process struct {
	kind     string
	loader   *settings.Loader
	settings settings.Settings
	logger   *logevent.Logger
	self     membership.Member
	service  Service
	loop     *EventLoop
	// servers are the HTTP servers. clientServer is the server returned by
	// Service.ListenClients, nil if the daemon serves clients over HTTP or not at all.
	// They are closed at the end.
	servers      []*http.Server
	clientServer Server
}

func (p *process) run(build Builder) ExitCode {
	current := p.settings
	p.self = membership.Member{
		Name:           current.Name,
		Kind:           p.kind,
		Address:        current.Address,
		ControlAddress: current.ControlAddress,
		ClientAddress:  current.ClientAddress,
		Zone:           current.Zone,
		Incarnation:    uint64(time.Now().UnixNano()),
		Alive:          true,
	}
	log, stored, err := p.openDisk()
	if err != nil {
		p.logger.Report(logevent.DiskWriteFailed, "error", err.Error())
		return ExitDisk
	}
	if p.service, err = build(current, p.self, stored); err != nil {
		return exitWith(p.kind, err, ExitFailed)
	}
	p.loop, err = NewEventLoop(Options{
		Address:          current.Address,
		Logger:           p.logger,
		Log:              log,
		CloseSlowSession: p.service.CloseSlowSession,
	})
	if err != nil {
		return exitWith(p.kind, err, ExitFailed)
	}
	p.applyImpairment(current.Impairment)
	p.loop.Transport().SetRate(current.LinkBytesPerSecond)
	if current.Compression == settings.CompressionCrossZone {
		p.loop.Transport().EnableCompression()
	}
	if err := p.listen(); err != nil {
		return exitWith(p.kind, err, ExitFailed)
	}
	p.logger.Report(logevent.DaemonStarted,
		"kind", p.kind, "address", current.Address, "ctl", current.ControlAddress, "zone", current.Zone)
	p.loop.Start(p.service.Machine)
	p.wait()
	p.close()
	p.logger.Report(logevent.DaemonStopped)
	return ExitOK
}

// listen starts the server of the ctl address, and the server for clients if the
// service has one.
func (p *process) listen() error {
	if err := p.serve(p.settings.ControlAddress, p.controlHandler()); err != nil {
		return err
	}
	switch {
	case p.service.ListenClients != nil:
		clients, err := p.service.ListenClients(p.loop, p.settings.ClientAddress)
		if err != nil {
			return err
		}
		p.clientServer = clients
	case p.service.ClientHandler != nil:
		return p.serve(p.settings.ClientAddress, p.service.ClientHandler(p.loop))
	}
	return nil
}

// serve starts an HTTP server at an address.
func (p *process) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleConnectionTimeout,
		MaxHeaderBytes:    maxRequestHeaderBytes,
	}
	p.servers = append(p.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

// wait handles signals and changes of the settings until the state machine has stopped.
func (p *process) wait() {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	trafficTicks := p.trafficTicks()
	changed := p.loader.Watch()
	for {
		select {
		case received := <-signals:
			if received == syscall.SIGHUP {
				p.reload(reloadBySignal)
				continue
			}
			p.logger.Report(logevent.DaemonStopping)
			p.loop.Post(p.service.StopCommand)
		case <-changed:
			p.reload(reloadByFile)
		case <-trafficTicks:
			p.logger.Report(logevent.TrafficReported, p.trafficFields()...)
		case <-p.loop.Done():
			return
		}
	}
}

// close closes all servers and links after the state machine has stopped.
func (p *process) close() {
	if p.clientServer != nil {
		p.clientServer.Close()
	}
	timeout, cancel := context.WithTimeout(context.Background(), serversShutdownTimeout)
	defer cancel()
	for _, server := range p.servers {
		if server.Shutdown(timeout) != nil {
			_ = server.Close()
		}
	}
	p.loop.Transport().Close()
}

// reloadReason is the reason for a reload of the settings, as written to the log.
type reloadReason string

const (
	reloadBySignal reloadReason = "signal"
	reloadByFile   reloadReason = "file"
)

// reload loads and applies the settings. If they are rejected, the previous ones remain
// in force.
func (p *process) reload(reason reloadReason) {
	after, err := p.loader.Load()
	if err != nil {
		p.logger.Report(logevent.SettingsRejected, "error", err.Error(), "why", reason)
		return
	}
	if changes := settings.ImmutableChanges(p.settings, after); len(changes) > 0 {
		problem := "only a restart changes " + strings.Join(changes, ", ")
		p.logger.Report(logevent.SettingsRejected, "error", problem, "why", reason)
		return
	}
	p.settings = after
	p.applyImpairment(after.Impairment)
	p.loop.Transport().SetRate(after.LinkBytesPerSecond)
	debug.SetMemoryLimit(after.MemoryLimit())
	p.logger.SetLevel(after.LogLevel)
	if p.service.Reload != nil {
		p.loop.Inspect(func(time.Time) any {
			p.service.Reload(after)
			return nil
		})
	}
	p.logger.Report(logevent.SettingsApplied, "why", reason)
}

func (p *process) applyImpairment(impairment settings.Impairment) {
	p.loop.Transport().SetImpairment(transport.Impairment{
		Delays:          impairment.Delays,
		Loss:            impairment.Loss,
		Partitioned:     impairment.Partitioned,
		OutboundBlocked: impairment.OutboundBlocked,
		InboundBlocked:  impairment.InboundBlocked,
	})
	p.loop.SetDiskDelay(impairment.DiskDelay)
}
