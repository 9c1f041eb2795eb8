// The trial: a whole deployment as real processes on one machine, driven with
// the stated load by stand-in callers, while faults are brought about, and
// judged by the oracle from what callers and operators saw.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"dahlialock/internal/beacon"
	"dahlialock/internal/fleet"
	"dahlialock/internal/oracle"
)

type trial struct {
	deployment, folder, binaries, faults string
	length                               time.Duration
	origins                              int
	kept, urgent                         float64
	seed                                 uint64
	keep                                 bool
	economy                              bool
}

func (*trial) Name() string     { return "trial" }
func (*trial) Synopsis() string { return "run a whole deployment under load and judge it" }
func (*trial) Usage() string {
	return "trial [-deployment D] [-length 2m] [-faults kill,freeze,...] [-seed N]\n"
}
func (trial *trial) SetFlags(set *flag.FlagSet) {
	set.StringVar(&trial.deployment, "deployment", "fjordlys", "the `size`: small, fjordlys or qureshi")
	set.StringVar(&trial.folder, "folder", "", "`folder` for settings, logs and data; a new one if not given")
	set.StringVar(&trial.binaries, "binaries", ownFolder(), "`folder` of the daemons' programs")
	set.StringVar(&trial.faults, "faults", "", "`names` with commas: kill-lantern, kill-keeper, kill-primary, freeze, restart, resets, wipe-keeper, wipe-pilot, props, cut, retire")
	set.DurationVar(&trial.length, "length", 2*time.Minute, "how `long` the load lasts")
	set.IntVar(&trial.origins, "origins", 580, "how `many` channels")
	set.Float64Var(&trial.kept, "kept", 300, "kept messages a `second`")
	set.Float64Var(&trial.urgent, "urgent", 8, "urgent messages a `second`")
	set.Uint64Var(&trial.seed, "seed", 1, "the `seed` of the callers' choices")
	set.BoolVar(&trial.keep, "keep", false, "keep the folder")
	set.BoolVar(&trial.economy, "economy", false, "let lanterns rest")
}

// book is the one owner of the oracle; all others send it what they saw.
type book struct {
	entries chan func(oracle *oracle.Oracle)
	done    chan struct{}
	oracle  *oracle.Oracle
}

func newBook() *book {
	book := &book{entries: make(chan func(*oracle.Oracle), 4096), done: make(chan struct{}), oracle: oracle.New()}
	go func() {
		defer close(book.done)
		for entry := range book.entries {
			entry(book.oracle)
		}
	}()
	return book
}

func (book *book) note(entry func(oracle *oracle.Oracle)) { book.entries <- entry }

func (trial *trial) document(version int) []byte {
	value := map[string]any{
		"version": version,
		"spaces": []any{
			map[string]any{"name": "boards", "promise": "kept", "holding": "35s", "answer_within": "1s"},
			map[string]any{"name": "urgent", "promise": "kept", "order": "sender", "holding": "35s", "answer_within": "500ms"},
			map[string]any{"name": "decisions", "promise": "kept", "order": "channel"},
			map[string]any{"name": "cursors", "promise": "passing"},
		},
	}
	if trial.economy {
		value["economy"] = map[string]any{"enabled": true, "origins_each": 250, "spare_lanterns": 1, "quiet_for": "8s"}
	}
	body, fault := json.Marshal(value)
	if fault != nil {
		panic(fault)
	}
	return body
}

func (trial *trial) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	running, folder, fault := begin(trial.deployment, trial.folder, trial.binaries)
	if fault != nil {
		fmt.Fprintln(os.Stderr, "harbour:", fault)
		return subcommands.ExitFailure
	}
	if trial.folder == "" && !trial.keep {
		defer func() { _ = os.RemoveAll(folder) }()
	}
	defer running.StopAll()
	if fault := running.WaitReady(60*time.Second, running.Names()...); fault != nil {
		fmt.Fprintln(os.Stderr, "harbour:", fault)
		return subcommands.ExitFailure
	}
	run := &trialRun{
		trial: trial, fleet: running, book: newBook(), random: rand.New(rand.NewPCG(trial.seed, 0xba5e)), platform: newPlatform(running),
		quiet: make(chan struct{}),
	}
	return run.run()
}

// platform asks every lantern's readiness each second, and spreads new
// connections over the ready ones of a zone.
type platform struct {
	fleet *fleet.Fleet
	asks  chan chan map[string]bool
}

func newPlatform(running *fleet.Fleet) *platform {
	platform := &platform{fleet: running, asks: make(chan chan map[string]bool)}
	checked := make(chan map[string]bool)
	go func() {
		for {
			ready := map[string]bool{}
			results := make(chan string, 64)
			lanterns := running.OfKind(beacon.KindLantern)
			for _, daemon := range lanterns {
				go func() {
					if daemon.Running() && daemon.Ready() {
						results <- daemon.Name
						return
					}
					results <- ""
				}()
			}
			for range lanterns {
				if name := <-results; name != "" {
					ready[name] = true
				}
			}
			checked <- ready
			time.Sleep(time.Second)
		}
	}()
	go func() {
		present := map[string]bool{}
		for {
			select {
			case present = <-checked:
			case ask := <-platform.asks:
				ask <- present
			}
		}
	}()
	return platform
}

func (platform *platform) pick(random *rand.Rand, locality string) *fleet.Daemon {
	ask := make(chan map[string]bool, 1)
	platform.asks <- ask
	ready := <-ask
	var near, far []*fleet.Daemon
	for _, daemon := range platform.fleet.OfKind(beacon.KindLantern) {
		if !ready[daemon.Name] {
			continue
		}
		far = append(far, daemon)
		if daemon.Locality == locality {
			near = append(near, daemon)
		}
	}
	if len(near) > 0 {
		return near[random.IntN(len(near))]
	}
	if len(far) > 0 {
		return far[random.IntN(len(far))]
	}
	return nil
}

type trialRun struct {
	trial    *trial
	fleet    *fleet.Fleet
	book     *book
	random   *rand.Rand
	platform *platform
	quiet    chan struct{}
	origins  []*trialOrigin
	version  int
}

func (run *trialRun) put(body []byte) (int, string) {
	names := run.fleet.Names()
	daemon := run.fleet.Daemons[names[run.random.IntN(len(names))]]
	request, fault := http.NewRequest(http.MethodPut, "http://"+daemon.Control+"/v1/configuration", strings.NewReader(string(body)))
	if fault != nil {
		return 0, fault.Error()
	}
	client := http.Client{Timeout: 5 * time.Second}
	response, fault := client.Do(request)
	if fault != nil {
		return 0, fault.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(text)
}

func (run *trialRun) nextConfiguration(limit time.Duration) bool {
	run.version++
	body := run.trial.document(run.version)
	until := time.Now().Add(limit)
	for time.Now().Before(until) {
		began := time.Now()
		status, text := run.put(body)
		if status == http.StatusOK {
			taken, version := time.Now(), uint64(run.version)
			run.book.note(func(oracle *oracle.Oracle) { oracle.PutTaken(version, string(body), began, taken) })
			return true
		}
		if status == http.StatusBadRequest || status == http.StatusConflict {
			fmt.Println("configuration:", status, text)
			return false
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

func (run *trialRun) readBack() {
	names := run.fleet.Names()
	daemon := run.fleet.Daemons[names[run.random.IntN(len(names))]]
	began := time.Now()
	client := http.Client{Timeout: 5 * time.Second}
	response, fault := client.Get("http://" + daemon.Control + "/v1/configuration")
	if fault != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	var got struct {
		Version       uint64          `json:"version"`
		Configuration json.RawMessage `json:"configuration"`
	}
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&got) != nil {
		return
	}
	at := time.Now()
	run.book.note(func(oracle *oracle.Oracle) { oracle.ReadBack(got.Version, string(got.Configuration), began, at) })
}

// sample watches which configuration is in force on the lanterns.
func (run *trialRun) sample(stop chan struct{}) {
	since := map[string]time.Time{}
	starts := map[string]int{}
	for {
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
		for _, daemon := range run.fleet.OfKind(beacon.KindLantern) {
			at := time.Now()
			self, fault := daemon.Self()
			if fault != nil || starts[daemon.Name] != daemon.Starts || self["ready"] != true {
				starts[daemon.Name] = daemon.Starts
				since[daemon.Name] = time.Now()
				continue
			}
			version, _ := self["version"].(float64)
			healthy := since[daemon.Name]
			run.book.note(func(oracle *oracle.Oracle) { oracle.InForce(daemon.Name, uint64(version), true, healthy, at) })
		}
	}
}

func (run *trialRun) run() subcommands.ExitStatus {
	run.book.note(func(oracle *oracle.Oracle) {
		oracle.Space("boards", true, false)
		oracle.Space("urgent", true, false)
		oracle.Space("decisions", true, true)
		oracle.Space("cursors", false, false)
		oracle.AnswerWithin("boards", 1500*time.Millisecond)
		oracle.AnswerWithin("urgent", time.Second)
	})
	if !run.nextConfiguration(20 * time.Second) {
		fmt.Println("no configuration was taken")
		return subcommands.ExitFailure
	}
	time.Sleep(2 * time.Second)
	stopSample := make(chan struct{})
	sampled := make(chan struct{})
	go func() {
		defer close(sampled)
		run.sample(stopSample)
	}()
	began := time.Now()
	run.startOrigins()
	if !run.waitSubscribed(60 * time.Second) {
		fmt.Println("not all origins are subscribed")
		run.tellUnserved()
	}
	fmt.Printf("%d origins subscribed after %s\n", len(run.origins), time.Since(began).Round(10*time.Millisecond))
	before := run.measure()
	loadBegan := time.Now()
	for _, each := range run.origins {
		each.start()
	}
	run.bringFaults()
	after := run.measure()
	loadFor := time.Since(loadBegan)
	close(run.quiet)
	for _, name := range run.fleet.Names() {
		run.fleet.Signal(name, syscall.SIGCONT)
		if !run.fleet.Daemons[name].Running() {
			_ = run.fleet.Start(name)
		}
	}
	fmt.Println("load ended; callers have 25 s to come back and receive what they missed")
	time.Sleep(20 * time.Second)
	served := run.waitSubscribed(5 * time.Second)
	close(stopSample)
	<-sampled
	for _, each := range run.origins {
		each.stop()
	}
	time.Sleep(300 * time.Millisecond)
	at := time.Now()
	run.book.note(func(oracle *oracle.Oracle) {
		if !served {
			run.tellUnserved()
			oracle.Violate("not-back", "not all origins are served at the end")
		}
		oracle.Close(at)
	})
	close(run.book.entries)
	<-run.book.done
	run.report(before, after, loadFor)
	if len(run.book.oracle.Violations()) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (run *trialRun) waitSubscribed(limit time.Duration) bool {
	until := time.Now().Add(limit)
	for time.Now().Before(until) {
		missing := 0
		for _, each := range run.origins {
			if !each.served.Load() {
				missing++
			}
		}
		if missing == 0 {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

func (run *trialRun) tellUnserved() {
	for _, each := range run.origins {
		if !each.served.Load() {
			fmt.Printf("  %s: %s\n", each.name, *each.last.Load())
		}
	}
}

type measured struct {
	processor  map[string]time.Duration
	bytesAway  float64
	messages   float64
	syncs      float64
	steps      float64
	delivered  float64
	copies     float64
	stray      float64
	overlay    float64
	lanternsUp int
}

func (run *trialRun) measure() measured {
	sum := measured{processor: map[string]time.Duration{}}
	for _, name := range run.fleet.Names() {
		daemon := run.fleet.Daemons[name]
		if !daemon.Running() {
			continue
		}
		sum.processor[daemon.Kind] += daemon.ProcessorTime()
		self, fault := daemon.Self()
		if fault != nil {
			continue
		}
		links, _ := self["links"].(map[string]any)
		number := func(table map[string]any, key string) float64 {
			value, _ := table[key].(float64)
			return value
		}
		sum.bytesAway += number(links, "bytes_away")
		sum.messages += number(links, "messages_out")
		sum.syncs += number(self, "syncs")
		sum.steps += number(self, "steps")
		counters, _ := self["counters"].(map[string]any)
		lantern, _ := counters["lantern"].(map[string]any)
		sum.delivered += number(lantern, "Delivered")
		sum.copies += number(lantern, "CopiesOut")
		sum.stray += number(lantern, "CopiesStray")
		overlay, _ := counters["overlay"].(map[string]any)
		sum.overlay += number(overlay, "SignalsOut")
	}
	return sum
}

func (run *trialRun) report(before, after measured, length time.Duration) {
	fmt.Println(run.book.oracle.Summary())
	delivered := after.delivered - before.delivered
	if delivered > 0 && run.trial.faults == "" {
		kinds := []string{}
		for kind := range after.processor {
			kinds = append(kinds, kind)
		}
		slices.Sort(kinds)
		for _, kind := range kinds {
			fmt.Printf("processor %s: %.2f ms for each 100 delivered\n", kind, float64((after.processor[kind]-before.processor[kind]).Microseconds())/1000/delivered*100)
		}
		fmt.Printf("for each delivered: %.0f bytes between localities, %.2f messages, %.3f syncs, %.2f steps, %.3f copies, %.3f overlay signals; stray copies %.0f of %.0f\n",
			(after.bytesAway-before.bytesAway)/delivered, (after.messages-before.messages)/delivered, (after.syncs-before.syncs)/delivered,
			(after.steps-before.steps)/delivered, (after.copies-before.copies)/delivered, (after.overlay-before.overlay)/delivered,
			after.stray-before.stray, after.copies-before.copies)
		fmt.Printf("load for %s: delivered %.0f\n", length.Round(time.Second), delivered)
	}
	for _, line := range run.book.oracle.Violations() {
		fmt.Println(" ", line)
	}
}

// Faults.

func (run *trialRun) bringFaults() {
	until := time.Now().Add(run.trial.length)
	var names []string
	if run.trial.faults != "" {
		names = strings.Split(run.trial.faults, ",")
	}
	operatorAt := time.Now()
	faultAt := time.Now().Add(5 * time.Second)
	for time.Now().Before(until) {
		time.Sleep(250 * time.Millisecond)
		if time.Now().After(operatorAt) {
			operatorAt = time.Now().Add(time.Duration(2+run.random.IntN(4)) * time.Second)
			run.nextConfiguration(8 * time.Second)
			run.readBack()
		}
		if len(names) > 0 && time.Now().After(faultAt) && time.Until(until) > 8*time.Second {
			run.fault(names[run.random.IntN(len(names))])
			faultAt = time.Now().Add(time.Duration(10+run.random.IntN(5)) * time.Second)
		}
	}
}

func (run *trialRun) any(kind string) *fleet.Daemon {
	daemons := run.fleet.OfKind(kind)
	return daemons[run.random.IntN(len(daemons))]
}

func (run *trialRun) restartAfter(daemon *fleet.Daemon, wait time.Duration) {
	time.Sleep(wait)
	if !daemon.Running() {
		_ = run.fleet.Start(daemon.Name)
	}
}

func (run *trialRun) primary() *fleet.Daemon {
	for _, daemon := range run.fleet.OfKind(beacon.KindPilot) {
		if self, fault := daemon.Self(); fault == nil {
			counters, _ := self["counters"].(map[string]any)
			if counters["holds_tenure"] == true {
				return daemon
			}
		}
	}
	return run.any(beacon.KindPilot)
}

func (run *trialRun) fault(name string) {
	wait := time.Duration(1000+run.random.IntN(4000)) * time.Millisecond
	var daemon *fleet.Daemon
	switch name {
	case "kill-lantern", "restart":
		daemon = run.any(beacon.KindLantern)
	case "kill-keeper", "wipe-keeper", "retire":
		daemon = run.any(beacon.KindKeeper)
	case "kill-primary":
		daemon = run.primary()
	case "wipe-pilot":
		daemon = run.any(beacon.KindPilot)
	default:
		all := run.fleet.Names()
		daemon = run.fleet.Daemons[all[run.random.IntN(len(all))]]
	}
	fmt.Printf("fault: %s %s for %s\n", name, daemon.Name, wait)
	switch name {
	case "kill-lantern", "kill-keeper", "kill-primary":
		run.fleet.Kill(daemon.Name)
		run.restartAfter(daemon, wait)
	case "wipe-keeper", "wipe-pilot":
		run.fleet.Kill(daemon.Name)
		_ = run.fleet.Wipe(daemon.Name)
		run.restartAfter(daemon, wait)
	case "freeze":
		run.fleet.Signal(daemon.Name, syscall.SIGSTOP)
		time.Sleep(wait)
		run.fleet.Signal(daemon.Name, syscall.SIGCONT)
	case "restart":
		took, forced := run.fleet.Stop(daemon.Name)
		fmt.Printf("  ended after %s, forced %v\n", took.Round(10*time.Millisecond), forced)
		if forced {
			run.book.note(func(oracle *oracle.Oracle) { oracle.Violate("stop", "%s had to be killed", daemon.Name) })
		}
		run.restartAfter(daemon, time.Second)
	case "resets":
		for _, each := range run.origins {
			if run.random.IntN(10) > 0 {
				each.reset()
			}
		}
	case "props":
		_ = run.fleet.Edit(daemon.Name, []byte(`{"name": 7, "locality": `))
		time.Sleep(wait)
		_ = run.fleet.Restore(daemon.Name)
		run.fleet.Signal(daemon.Name, syscall.SIGHUP)
	case "cut":
		_ = run.fleet.SetTrial(daemon.Name, func(trial *fleet.Trial) { trial.Cuts = []string{"127."} })
		time.Sleep(wait)
		_ = run.fleet.SetTrial(daemon.Name, func(*fleet.Trial) {})
	case "retire":
		run.retire(daemon)
	default:
		fmt.Println("  not known")
	}
}

func (run *trialRun) retire(daemon *fleet.Daemon) {
	client := http.Client{Timeout: 5 * time.Second}
	ask := func(method, verb string) bool {
		request, _ := http.NewRequest(method, "http://"+run.any(beacon.KindTender).Control+"/v1/keepers/"+daemon.Name+verb, nil)
		response, fault := client.Do(request)
		if fault != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		var value struct {
			Retired bool `json:"retired"`
		}
		_ = json.NewDecoder(response.Body).Decode(&value)
		return value.Retired
	}
	ask(http.MethodPost, "/retire")
	for range 100 {
		if ask(http.MethodGet, "") {
			fmt.Printf("  %s retired\n", daemon.Name)
			run.fleet.Kill(daemon.Name)
			_ = run.fleet.Wipe(daemon.Name)
			run.restartAfter(daemon, time.Second)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	run.book.note(func(oracle *oracle.Oracle) { oracle.Violate("retire", "%s was not retired in 10 s", daemon.Name) })
}
