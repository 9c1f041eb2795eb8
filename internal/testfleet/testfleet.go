// Package testfleet starts a complete fleet on one machine as the platform would: each
// daemon is a process with its own settings file and is stopped with SIGTERM, and with
// SIGKILL after six seconds. Zones are ranges of loopback addresses; the delays between
// them are set in the trial settings of the daemons. Only tests and the trial tool use
// this package.
package testfleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"dahlialock/internal/membership"
)

// Deployment is the size and layout of a fleet.
type Deployment struct {
	Name        string
	Gateways    int
	Stores      int
	Controllers int
	Zones       int
	Delay       time.Duration
	Port        int
}

// Deployments holds the two specified deployments and a small one for quick trials.
var Deployments = map[string]Deployment{
	"fjordlys": {Name: "fjordlys", Gateways: 7, Stores: 3, Controllers: 5, Zones: 3, Delay: 500 * time.Microsecond, Port: 21000},
	"qureshi":  {Name: "qureshi", Gateways: 9, Stores: 3, Controllers: 5, Zones: 3, Delay: 1500 * time.Microsecond, Port: 22000},
	"small":    {Name: "small", Gateways: 3, Stores: 3, Controllers: 3, Zones: 3, Delay: 500 * time.Microsecond, Port: 23000},
}

// Key is the key that a fleet uses in trials.
const Key = "fleetlab-trial-key-0123456789"

// Trial holds the impairments of the links and the disk of one daemon.
type Trial struct {
	Delays map[string]string  `json:"delays,omitempty"`
	Loss   map[string]float64 `json:"loss,omitempty"`
	Cuts   []string           `json:"cuts,omitempty"`
	Mutes  []string           `json:"mutes,omitempty"`
	Deaf   []string           `json:"deaf,omitempty"`
	Disk   string             `json:"disk,omitempty"`
}

// Daemon is one process of the fleet.
type Daemon struct {
	Name        string
	Kind        string
	Zone        string
	Address     string
	Control     string
	Caller      string
	folder      string
	settings    map[string]any
	binary      string
	process     atomic.Pointer[process]
	starts      atomic.Int64
	joined      atomic.Bool
	base        Trial
	impairments map[int]Trial
}

// process is one run of a daemon's process.
type process struct {
	command *exec.Cmd
	exited  chan struct{}
}

// Fleet is a set of daemons that form one deployment.
type Fleet struct {
	Deployment Deployment
	Daemons    map[string]*Daemon
	folder     string
	names      []string
}

// ZoneName returns the name of a zone.
func ZoneName(number int) string { return "zone-" + string(rune('a'+number)) }

// Prefix returns the common prefix of the addresses of a zone.
func Prefix(number int) string { return fmt.Sprintf("127.0.%d.", number+1) }

// New writes the settings of a fleet to a folder. The folder binaries contains the programs.
func New(deployment Deployment, folder, binaries string) (*Fleet, error) {
	fleet := &Fleet{Deployment: deployment, Daemons: map[string]*Daemon{}, folder: folder}
	port := deployment.Port
	next := func(number int) string {
		port++
		return fmt.Sprintf("%s%d:%d", Prefix(number), port%200+10, port)
	}
	var controllers, seeds []string
	for number := range deployment.Controllers {
		controllers = append(controllers, next(number%deployment.Zones))
	}
	seeds = controllers[:min(3, len(controllers))]
	spare := false
	add := func(kind string, number int, address string, more map[string]any) *Daemon {
		zone := number % deployment.Zones
		daemon := &Daemon{
			Name: fmt.Sprintf("%s-%d", kind, number+1), Kind: kind, Zone: ZoneName(zone), Address: address, Control: next(zone),
			binary: filepath.Join(binaries, kind),
		}
		daemon.folder = filepath.Join(folder, daemon.Name)
		daemon.settings = map[string]any{
			"name": daemon.Name, "address": daemon.Address, "ctl": daemon.Control, "zone": daemon.Zone, "seeds": seeds,
		}
		daemon.base, daemon.impairments = Trial{Delays: fleet.delays(zone)}, map[int]Trial{}
		daemon.settings["trial"] = daemon.base
		daemon.joined.Store(!spare)
		for key, value := range more {
			daemon.settings[key] = value
		}
		fleet.Daemons[daemon.Name] = daemon
		fleet.names = append(fleet.names, daemon.Name)
		return daemon
	}
	addStore := func(number int) {
		add(membership.KindStore, number, next(number%deployment.Zones), map[string]any{
			"data": filepath.Join(folder, fmt.Sprintf("store-%d", number+1), "data"),
		})
	}
	addController := func(number int, address string) {
		add(membership.KindController, number, address, map[string]any{
			"controllers": deployment.Controllers, "data": filepath.Join(folder, fmt.Sprintf("controller-%d", number+1), "data"),
		})
	}
	addGateway := func(number int) {
		zone := number % deployment.Zones
		gatewayAddress, agentAddress, callerAddress := next(zone), next(zone), next(zone)
		gateway := add(membership.KindGateway, number, gatewayAddress, map[string]any{"agent": agentAddress, "caller": callerAddress, "key": Key})
		gateway.Caller = callerAddress
		add(membership.KindAgent, number, agentAddress, map[string]any{"gateway": gatewayAddress})
	}
	for number := range deployment.Controllers {
		addController(number, controllers[number])
	}
	for number := range deployment.Stores {
		addStore(number)
	}
	for number := range deployment.Gateways {
		addGateway(number)
	}
	// Spare machines get settings but are not started, so that a trial can let them join later.
	spare = true
	for number := range Spares {
		addController(deployment.Controllers+number, next((deployment.Controllers+number)%deployment.Zones))
		addStore(deployment.Stores + number)
		addGateway(deployment.Gateways + number)
	}
	for _, daemon := range fleet.Daemons {
		if err := os.MkdirAll(daemon.folder, 0o755); err != nil {
			return nil, err
		}
		if err := daemon.writeSettings(); err != nil {
			return nil, err
		}
	}
	return fleet, nil
}

func (f *Fleet) delays(zone int) map[string]string {
	delays := map[string]string{}
	for other := range f.Deployment.Zones {
		if other != zone && f.Deployment.Delay > 0 {
			delays[Prefix(other)] = f.Deployment.Delay.String()
		}
	}
	return delays
}

func (d *Daemon) settingsPath() string { return filepath.Join(d.folder, "settings.json") }

// Settings returns the text of the daemon's valid settings.
func (d *Daemon) Settings() string {
	body, err := json.MarshalIndent(d.settings, "", "  ")
	if err != nil {
		panic(err)
	}
	return string(body)
}

func (d *Daemon) writeSettings() error {
	draft := d.settingsPath() + ".draft"
	if err := os.WriteFile(draft, []byte(d.Settings()), 0o644); err != nil {
		return err
	}
	return os.Rename(draft, d.settingsPath())
}

// Impair impairs a daemon's links and disk, without a signal, until RemoveImpairment is called
// with the same number. Several impairments may overlap.
func (f *Fleet) Impair(name string, number int, trial Trial) error {
	daemon := f.Daemons[name]
	daemon.impairments[number] = trial
	return daemon.applyImpairments()
}

// RemoveImpairment removes the impairment that Impair added under this number.
func (f *Fleet) RemoveImpairment(name string, number int) error {
	daemon := f.Daemons[name]
	delete(daemon.impairments, number)
	return daemon.applyImpairments()
}

func (d *Daemon) applyImpairments() error {
	sum := Trial{Delays: maps.Clone(d.base.Delays), Loss: map[string]float64{}}
	for _, each := range d.impairments {
		maps.Copy(sum.Delays, each.Delays)
		maps.Copy(sum.Loss, each.Loss)
		sum.Cuts, sum.Mutes, sum.Deaf = append(sum.Cuts, each.Cuts...), append(sum.Mutes, each.Mutes...), append(sum.Deaf, each.Deaf...)
		if each.Disk != "" {
			sum.Disk = each.Disk
		}
	}
	d.settings["trial"] = sum
	return d.writeSettings()
}

// Spares is the number of spare machines of each kind.
const Spares = 2

// Spare returns a machine of a kind that has not joined yet.
func (f *Fleet) Spare(kind string) (*Daemon, bool) {
	for _, name := range f.names {
		if daemon := f.Daemons[name]; daemon.Kind == kind && !daemon.joined.Load() {
			return daemon, true
		}
	}
	return nil, false
}

// ReplaceSettings replaces the content of a daemon's settings file, without a signal.
func (f *Fleet) ReplaceSettings(name string, text []byte) error {
	return os.WriteFile(f.Daemons[name].settingsPath(), text, 0o644)
}

// RemoveSettings removes a daemon's settings file.
func (f *Fleet) RemoveSettings(name string) error { return os.Remove(f.Daemons[name].settingsPath()) }

// RestoreSettings writes a daemon's valid settings again.
func (f *Fleet) RestoreSettings(name string) error { return f.Daemons[name].writeSettings() }

// Names lists the daemons that have joined, in the order in which StartAll starts them.
func (f *Fleet) Names() []string {
	var names []string
	for _, name := range f.names {
		if f.Daemons[name].joined.Load() {
			names = append(names, name)
		}
	}
	return names
}

// OfKind lists the daemons of one kind that have joined.
func (f *Fleet) OfKind(kind string) []*Daemon {
	var found []*Daemon
	for _, name := range f.Names() {
		if f.Daemons[name].Kind == kind {
			found = append(found, f.Daemons[name])
		}
	}
	return found
}

// Start starts one daemon.
func (f *Fleet) Start(name string) error {
	daemon := f.Daemons[name]
	log, err := os.OpenFile(filepath.Join(daemon.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(daemon.binary, "-trial", "-settings", daemon.settingsPath())
	command.Stderr, command.Stdout = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	running := &process{command: command, exited: make(chan struct{})}
	daemon.process.Store(running)
	daemon.starts.Add(1)
	daemon.joined.Store(true)
	go func() {
		_ = command.Wait()
		close(running.exited)
	}()
	return nil
}

// StartAll starts every daemon that has joined. It returns an error if an address is in use, because
// two fleets on the same addresses would mistake each other's daemons for their own.
func (f *Fleet) StartAll() error {
	for _, daemon := range f.Daemons {
		for _, address := range []string{daemon.Address, daemon.Control, daemon.Caller} {
			if address == "" {
				continue
			}
			listener, err := net.Listen("tcp", address)
			if err != nil {
				return err
			}
			_ = listener.Close()
		}
	}
	for _, name := range f.Names() {
		if err := f.Start(name); err != nil {
			return err
		}
	}
	return nil
}

// Signal sends a signal to a daemon.
func (f *Fleet) Signal(name string, signal syscall.Signal) {
	if daemon := f.Daemons[name]; daemon.Running() {
		_ = daemon.process.Load().command.Process.Signal(signal)
	}
}

// Running reports whether the daemon's process is running.
func (d *Daemon) Running() bool {
	running := d.process.Load()
	if running == nil {
		return false
	}
	select {
	case <-running.exited:
		return false
	default:
		return true
	}
}

// Process returns the process id of the daemon.
func (d *Daemon) Process() int { return d.process.Load().command.Process.Pid }

// Starts returns how often the daemon was started.
func (d *Daemon) Starts() int64 { return d.starts.Load() }

// ExitCode waits for the daemon's last process to end and returns its exit code.
func (d *Daemon) ExitCode() int {
	running := d.process.Load()
	<-running.exited
	return running.command.ProcessState.ExitCode()
}

// Kill ends a daemon with SIGKILL.
func (f *Fleet) Kill(name string) {
	f.Signal(name, syscall.SIGKILL)
	if running := f.Daemons[name].process.Load(); running != nil {
		<-running.exited
	}
}

// Stop stops a daemon with SIGTERM, and with SIGKILL after six seconds. It returns how long
// that took and whether SIGKILL was needed.
func (f *Fleet) Stop(name string) (time.Duration, bool) {
	daemon := f.Daemons[name]
	if !daemon.Running() {
		return 0, false
	}
	began := time.Now()
	f.Signal(name, syscall.SIGTERM)
	select {
	case <-daemon.process.Load().exited:
		return time.Since(began), false
	case <-time.After(6 * time.Second):
		f.Kill(name)
		return time.Since(began), true
	}
}

// StopAll stops all daemons concurrently.
func (f *Fleet) StopAll() {
	done := make(chan struct{})
	names := f.Names()
	for _, name := range names {
		go func() {
			f.Signal(name, syscall.SIGCONT)
			f.Stop(name)
			done <- struct{}{}
		}()
	}
	for range names {
		<-done
	}
}

// Wipe empties a stopped daemon's data folder.
func (f *Fleet) Wipe(name string) error {
	return os.RemoveAll(filepath.Join(f.Daemons[name].folder, "data"))
}

// LogPath returns the path of a daemon's log file.
func (f *Fleet) LogPath(name string) string {
	return filepath.Join(f.Daemons[name].folder, "log")
}

var probeClient = &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}}

// Ready requests a daemon's readiness once and reports whether it is ready.
func (d *Daemon) Ready() bool {
	response, err := probeClient.Get("http://" + d.Control + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Self reads a daemon's counters.
func (d *Daemon) Self() (map[string]any, error) {
	response, err := probeClient.Get("http://" + d.Control + "/v1/self")
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var value map[string]any
	return value, json.NewDecoder(response.Body).Decode(&value)
}

// WaitReady waits until all the named daemons are ready.
func (f *Fleet) WaitReady(limit time.Duration, names ...string) error {
	until := time.Now().Add(limit)
	for {
		var missing []string
		for _, name := range names {
			if !f.Daemons[name].Ready() {
				missing = append(missing, name)
			}
		}
		if len(missing) == 0 {
			return nil
		}
		if time.Now().After(until) {
			return fmt.Errorf("not ready after %s: %s", limit, strings.Join(missing, ", "))
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// ProcessorTime returns the processor time that a daemon's process has used.
func (d *Daemon) ProcessorTime() time.Duration {
	body, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.Process()))
	if err != nil {
		return 0
	}
	text := string(body)
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * 10 * time.Millisecond
}
