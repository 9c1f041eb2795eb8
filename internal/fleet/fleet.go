// Package fleet starts a whole fleet on one machine as the platform would: each
// daemon a plain process with its own settings file, TERM and then KILL after
// six seconds, readiness asked every second. Localities are ranges of loopback
// addresses, and the delays between them are set through the daemons' trial
// settings. It is a test tool; no daemon uses it.
package fleet

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

	"dahlialock/internal/beacon"
)

// Deployment is the size of a fleet.
type Deployment struct {
	Name     string
	Lanterns int
	Keepers  int
	Pilots   int
	Places   int
	Delay    time.Duration
	Port     int
}

// Deployments are the two of the brief, and a small one for quick trials.
var Deployments = map[string]Deployment{
	"fjordlys": {Name: "fjordlys", Lanterns: 7, Keepers: 3, Pilots: 5, Places: 3, Delay: 500 * time.Microsecond, Port: 21000},
	"qureshi":  {Name: "qureshi", Lanterns: 9, Keepers: 3, Pilots: 5, Places: 3, Delay: 1500 * time.Microsecond, Port: 22000},
	"small":    {Name: "small", Lanterns: 3, Keepers: 3, Pilots: 3, Places: 3, Delay: 500 * time.Microsecond, Port: 23000},
}

// Key is the fleet's key in trials.
const Key = "harbour-trial-key-0123456789"

// Trial is what is imposed on one daemon's links.
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
	Name     string
	Kind     string
	Locality string
	Address  string
	Control  string
	Caller   string
	folder   string
	settings map[string]any
	binary   string
	life     atomic.Pointer[life]
	starts   atomic.Int64
	joined   atomic.Bool
	base     Trial
	imposed  map[int]Trial
}

// life is one process of a daemon.
type life struct {
	command *exec.Cmd
	exited  chan struct{}
}

// Fleet is all of them.
type Fleet struct {
	Deployment Deployment
	Daemons    map[string]*Daemon
	folder     string
	names      []string
}

// Place is the name of a locality.
func Place(number int) string { return "zone-" + string(rune('a'+number)) }

// Prefix is the range of addresses of a locality.
func Prefix(number int) string { return fmt.Sprintf("127.0.%d.", number+1) }

// New lays out a fleet in a folder; binaries are in another.
func New(deployment Deployment, folder, binaries string) (*Fleet, error) {
	fleet := &Fleet{Deployment: deployment, Daemons: map[string]*Daemon{}, folder: folder}
	port := deployment.Port
	next := func(number int) string {
		port++
		return fmt.Sprintf("%s%d:%d", Prefix(number), port%200+10, port)
	}
	var pilots, seeds []string
	for number := range deployment.Pilots {
		pilots = append(pilots, next(number%deployment.Places))
	}
	seeds = pilots[:min(3, len(pilots))]
	spare := false
	add := func(kind string, number int, address string, more map[string]any) *Daemon {
		place := number % deployment.Places
		daemon := &Daemon{
			Name: fmt.Sprintf("%s-%d", kind, number+1), Kind: kind, Locality: Place(place), Address: address, Control: next(place),
			binary: filepath.Join(binaries, kind),
		}
		daemon.folder = filepath.Join(folder, daemon.Name)
		daemon.settings = map[string]any{
			"name": daemon.Name, "address": daemon.Address, "ctl": daemon.Control, "locality": daemon.Locality, "seeds": seeds,
		}
		daemon.base, daemon.imposed = Trial{Delays: fleet.delays(place)}, map[int]Trial{}
		daemon.settings["trial"] = daemon.base
		daemon.joined.Store(!spare)
		for key, value := range more {
			daemon.settings[key] = value
		}
		fleet.Daemons[daemon.Name] = daemon
		fleet.names = append(fleet.names, daemon.Name)
		return daemon
	}
	addKeeper := func(number int) {
		add(beacon.KindKeeper, number, next(number%deployment.Places), map[string]any{
			"data": filepath.Join(folder, fmt.Sprintf("keeper-%d", number+1), "data"),
		})
	}
	addPilot := func(number int, address string) {
		add(beacon.KindPilot, number, address, map[string]any{
			"pilots": deployment.Pilots, "data": filepath.Join(folder, fmt.Sprintf("pilot-%d", number+1), "data"),
		})
	}
	addLantern := func(number int) {
		place := number % deployment.Places
		lanternAddress, tenderAddress, callerAddress := next(place), next(place), next(place)
		lantern := add(beacon.KindLantern, number, lanternAddress, map[string]any{"tender": tenderAddress, "caller": callerAddress, "key": Key})
		lantern.Caller = callerAddress
		add(beacon.KindTender, number, tenderAddress, map[string]any{"lantern": lanternAddress})
	}
	for number := range deployment.Pilots {
		addPilot(number, pilots[number])
	}
	for number := range deployment.Keepers {
		addKeeper(number)
	}
	for number := range deployment.Lanterns {
		addLantern(number)
	}
	// Machines that are laid out and not started: a trial lets them join.
	spare = true
	for number := range Spares {
		addPilot(deployment.Pilots+number, next((deployment.Pilots+number)%deployment.Places))
		addKeeper(deployment.Keepers + number)
		addLantern(deployment.Lanterns + number)
	}
	for _, daemon := range fleet.Daemons {
		if fault := os.MkdirAll(daemon.folder, 0o755); fault != nil {
			return nil, fault
		}
		if fault := daemon.writeSettings(); fault != nil {
			return nil, fault
		}
	}
	return fleet, nil
}

func (fleet *Fleet) delays(place int) map[string]string {
	delays := map[string]string{}
	for other := range fleet.Deployment.Places {
		if other != place && fleet.Deployment.Delay > 0 {
			delays[Prefix(other)] = fleet.Deployment.Delay.String()
		}
	}
	return delays
}

func (daemon *Daemon) settingsPath() string { return filepath.Join(daemon.folder, "props.json") }

// Settings is the text of a daemon's right settings.
func (daemon *Daemon) Settings() string {
	body, fault := json.MarshalIndent(daemon.settings, "", "  ")
	if fault != nil {
		panic(fault)
	}
	return string(body)
}

func (daemon *Daemon) writeSettings() error {
	draft := daemon.settingsPath() + ".draft"
	if fault := os.WriteFile(draft, []byte(daemon.Settings()), 0o644); fault != nil {
		return fault
	}
	return os.Rename(draft, daemon.settingsPath())
}

// Impose puts something on a daemon's links and disk, without a signal, until
// Relieve takes just that away again; several may overlap.
func (fleet *Fleet) Impose(name string, number int, trial Trial) error {
	daemon := fleet.Daemons[name]
	daemon.imposed[number] = trial
	return daemon.weather()
}

// Relieve takes away what Impose put on a daemon.
func (fleet *Fleet) Relieve(name string, number int) error {
	daemon := fleet.Daemons[name]
	delete(daemon.imposed, number)
	return daemon.weather()
}

func (daemon *Daemon) weather() error {
	sum := Trial{Delays: maps.Clone(daemon.base.Delays), Loss: map[string]float64{}}
	for _, each := range daemon.imposed {
		maps.Copy(sum.Delays, each.Delays)
		maps.Copy(sum.Loss, each.Loss)
		sum.Cuts, sum.Mutes, sum.Deaf = append(sum.Cuts, each.Cuts...), append(sum.Mutes, each.Mutes...), append(sum.Deaf, each.Deaf...)
		if each.Disk != "" {
			sum.Disk = each.Disk
		}
	}
	daemon.settings["trial"] = sum
	return daemon.writeSettings()
}

// Spares is how many machines of each kind are laid out besides.
const Spares = 2

// Spare finds a machine of a kind that has not joined yet.
func (fleet *Fleet) Spare(kind string) (*Daemon, bool) {
	for _, name := range fleet.names {
		if daemon := fleet.Daemons[name]; daemon.Kind == kind && !daemon.joined.Load() {
			return daemon, true
		}
	}
	return nil, false
}

// Edit changes a daemon's settings file to any text, without a signal.
func (fleet *Fleet) Edit(name string, text []byte) error {
	return os.WriteFile(fleet.Daemons[name].settingsPath(), text, 0o644)
}

// Vanish takes a daemon's settings file away.
func (fleet *Fleet) Vanish(name string) error { return os.Remove(fleet.Daemons[name].settingsPath()) }

// Restore writes a daemon's right settings again.
func (fleet *Fleet) Restore(name string) error { return fleet.Daemons[name].writeSettings() }

// Names lists the daemons that have joined, in the order in which they are
// started.
func (fleet *Fleet) Names() []string {
	var names []string
	for _, name := range fleet.names {
		if fleet.Daemons[name].joined.Load() {
			names = append(names, name)
		}
	}
	return names
}

// OfKind lists the daemons of one kind.
func (fleet *Fleet) OfKind(kind string) []*Daemon {
	var found []*Daemon
	for _, name := range fleet.Names() {
		if fleet.Daemons[name].Kind == kind {
			found = append(found, fleet.Daemons[name])
		}
	}
	return found
}

// Start starts one daemon.
func (fleet *Fleet) Start(name string) error {
	daemon := fleet.Daemons[name]
	log, fault := os.OpenFile(filepath.Join(daemon.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if fault != nil {
		return fault
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(daemon.binary, "-trial", "-props", daemon.settingsPath())
	command.Stderr, command.Stdout = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if fault := command.Start(); fault != nil {
		return fault
	}
	running := &life{command: command, exited: make(chan struct{})}
	daemon.life.Store(running)
	daemon.starts.Add(1)
	daemon.joined.Store(true)
	go func() {
		_ = command.Wait()
		close(running.exited)
	}()
	return nil
}

// StartAll starts every daemon, if all addresses are free: two fleets on one
// machine would take each other's daemons for their own.
func (fleet *Fleet) StartAll() error {
	for _, daemon := range fleet.Daemons {
		for _, address := range []string{daemon.Address, daemon.Control, daemon.Caller} {
			if address == "" {
				continue
			}
			listener, fault := net.Listen("tcp", address)
			if fault != nil {
				return fault
			}
			_ = listener.Close()
		}
	}
	for _, name := range fleet.Names() {
		if fault := fleet.Start(name); fault != nil {
			return fault
		}
	}
	return nil
}

// Signal sends a signal to a daemon.
func (fleet *Fleet) Signal(name string, signal syscall.Signal) {
	if daemon := fleet.Daemons[name]; daemon.Running() {
		_ = daemon.life.Load().command.Process.Signal(signal)
	}
}

// Running tells whether a daemon's process is there.
func (daemon *Daemon) Running() bool {
	running := daemon.life.Load()
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

// Process is the daemon's process number.
func (daemon *Daemon) Process() int { return daemon.life.Load().command.Process.Pid }

// Starts is how often it was started.
func (daemon *Daemon) Starts() int64 { return daemon.starts.Load() }

// ExitCode is how the last process ended.
func (daemon *Daemon) ExitCode() int {
	running := daemon.life.Load()
	<-running.exited
	return running.command.ProcessState.ExitCode()
}

// Kill ends a daemon at once.
func (fleet *Fleet) Kill(name string) {
	fleet.Signal(name, syscall.SIGKILL)
	if running := fleet.Daemons[name].life.Load(); running != nil {
		<-running.exited
	}
}

// Stop asks politely, and forcibly after six seconds; it tells how long it took
// and whether force was needed.
func (fleet *Fleet) Stop(name string) (time.Duration, bool) {
	daemon := fleet.Daemons[name]
	if !daemon.Running() {
		return 0, false
	}
	began := time.Now()
	fleet.Signal(name, syscall.SIGTERM)
	select {
	case <-daemon.life.Load().exited:
		return time.Since(began), false
	case <-time.After(6 * time.Second):
		fleet.Kill(name)
		return time.Since(began), true
	}
}

// StopAll ends all daemons.
func (fleet *Fleet) StopAll() {
	done := make(chan struct{})
	names := fleet.Names()
	for _, name := range names {
		go func() {
			fleet.Signal(name, syscall.SIGCONT)
			fleet.Stop(name)
			done <- struct{}{}
		}()
	}
	for range names {
		<-done
	}
}

// Wipe empties a stopped daemon's data folder.
func (fleet *Fleet) Wipe(name string) error {
	return os.RemoveAll(filepath.Join(fleet.Daemons[name].folder, "data"))
}

// LogPath is where a daemon logs.
func (fleet *Fleet) LogPath(name string) string {
	return filepath.Join(fleet.Daemons[name].folder, "log")
}

var probe = &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}}

// Ready asks a daemon's readiness once.
func (daemon *Daemon) Ready() bool {
	response, fault := probe.Get("http://" + daemon.Control + "/ready")
	if fault != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Self reads a daemon's counters.
func (daemon *Daemon) Self() (map[string]any, error) {
	response, fault := probe.Get("http://" + daemon.Control + "/v1/self")
	if fault != nil {
		return nil, fault
	}
	defer func() { _ = response.Body.Close() }()
	var value map[string]any
	return value, json.NewDecoder(response.Body).Decode(&value)
}

// WaitReady waits until all the named daemons are ready.
func (fleet *Fleet) WaitReady(limit time.Duration, names ...string) error {
	until := time.Now().Add(limit)
	for {
		var missing []string
		for _, name := range names {
			if !fleet.Daemons[name].Ready() {
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

// ProcessorTime is the processor time that a daemon's process has used.
func (daemon *Daemon) ProcessorTime() time.Duration {
	body, fault := os.ReadFile(fmt.Sprintf("/proc/%d/stat", daemon.Process()))
	if fault != nil {
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
