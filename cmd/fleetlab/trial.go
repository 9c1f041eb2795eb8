// The subcommand trial: it runs a complete deployment as real processes on one machine
// under the configured load of simulated clients, injects faults, and lets the checker
// verify what clients and operators observed.
package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/subcommands"

	"dahlialock/internal/checker"
	"dahlialock/internal/faults"
	"dahlialock/internal/membership"
	"dahlialock/internal/testfleet"
)

type trial struct {
	deployment, folder, binaries, faults, plot, last string
	length                                           time.Duration
	clients, count                                   int
	durable, urgent                                  float64
	seed                                             uint64
	keep                                             bool
	economy                                          bool
}

func (*trial) Name() string     { return "trial" }
func (*trial) Synopsis() string { return "run a deployment under load and check it" }
func (*trial) Usage() string {
	return "trial [-deployment D] [-length 2m] [-faults all|NAMES|pair] [-count N] [-last NAME] [-seed N]\n"
}

func (t *trial) SetFlags(set *flag.FlagSet) {
	set.StringVar(&t.deployment, "deployment", "fjordlys", "the `size`: small, fjordlys or qureshi")
	set.StringVar(&t.folder, "folder", "", "`folder` for settings, logs and data; a new one if not given")
	set.StringVar(&t.binaries, "binaries", ownFolder(), "`folder` of the daemons' programs")
	set.StringVar(&t.faults, "faults", "", "`names` of faults with commas between, to draw from; all; or pair for two that the seed picks. Known: "+strings.Join(faults.Names, ", "))
	set.IntVar(&t.count, "count", 0, "how `many` faults to draw; one per 8 s if not given")
	set.StringVar(&t.plot, "plot", "", "a `list` of faults as name@start+length#pick, instead of drawing")
	set.StringVar(&t.last, "last", "", "the last fault, which is permanent: draw, or a `name` from "+strings.Join(faults.Closing, ", "))
	set.DurationVar(&t.length, "length", 2*time.Minute, "how `long` the load lasts")
	set.IntVar(&t.clients, "origins", 580, "how `many` clients, each with one session")
	set.Float64Var(&t.durable, "kept", 300, "durable messages per `second`")
	set.Float64Var(&t.urgent, "urgent", 8, "urgent messages per `second`")
	set.Uint64Var(&t.seed, "seed", 1, "the `seed` of the clients' choices")
	set.BoolVar(&t.keep, "keep", false, "keep the folder")
	set.BoolVar(&t.economy, "economy", false, "let idle gateways be put to rest")
}

// checkerLog owns the checker. Only its goroutine accesses the checker; all others send it
// their observations.
type checkerLog struct {
	entries chan func(checker *checker.Checker)
	done    chan struct{}
	checker *checker.Checker
}

func newCheckerLog() *checkerLog {
	log := &checkerLog{entries: make(chan func(*checker.Checker), 4096), done: make(chan struct{}), checker: checker.New()}
	go func() {
		defer close(log.done)
		for entry := range log.entries {
			entry(log.checker)
		}
	}()
	return log
}

func (l *checkerLog) record(entry func(checker *checker.Checker)) { l.entries <- entry }

func (t *trial) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	schedule, err := t.draw()
	if err != nil {
		fmt.Fprintln(os.Stderr, "fleetlab:", err)
		return subcommands.ExitUsageError
	}
	running, folder, err := startFleet(t.deployment, t.folder, t.binaries)
	if err != nil {
		fmt.Fprintln(os.Stderr, "fleetlab:", err)
		return subcommands.ExitFailure
	}
	if t.folder == "" && !t.keep {
		defer func() { _ = os.RemoveAll(folder) }()
	}
	defer running.StopAll()
	if err := running.WaitReady(60*time.Second, running.Names()...); err != nil {
		fmt.Fprintln(os.Stderr, "fleetlab:", err)
		return subcommands.ExitFailure
	}
	run := &trialRun{
		trial: t, fleet: running, log: newCheckerLog(), random: rand.New(rand.NewPCG(t.seed, 0xba5e)), platform: newPlatform(running),
		loadEnded: make(chan struct{}), schedule: schedule, unready: map[string]time.Duration{},
	}
	run.operator = newOperator(run)
	run.injector = &injector{run: run, operator: run.operator}
	return run.run()
}

// platform polls the readiness of every gateway each second and spreads new connections
// over the ready gateways of a zone, or of all zones if the zone has none.
type platform struct {
	fleet   *testfleet.Fleet
	queries chan chan map[string]bool
}

func newPlatform(running *testfleet.Fleet) *platform {
	platform := &platform{fleet: running, queries: make(chan chan map[string]bool)}
	checked := make(chan map[string]bool)
	go func() {
		for {
			ready := map[string]bool{}
			results := make(chan string, 64)
			gateways := running.OfKind(membership.KindGateway)
			for _, daemon := range gateways {
				go func() {
					if daemon.Running() && daemon.Ready() {
						results <- daemon.Name
						return
					}
					results <- ""
				}()
			}
			for range gateways {
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
			case ask := <-platform.queries:
				ask <- present
			}
		}
	}()
	return platform
}

func (p *platform) pick(random *rand.Rand, zone string) *testfleet.Daemon {
	ask := make(chan map[string]bool, 1)
	p.queries <- ask
	ready := <-ask
	var near, far []*testfleet.Daemon
	for _, daemon := range p.fleet.OfKind(membership.KindGateway) {
		if !ready[daemon.Name] {
			continue
		}
		far = append(far, daemon)
		if daemon.Zone == zone {
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
	trial          *trial
	fleet          *testfleet.Fleet
	log            *checkerLog
	random         *rand.Rand
	platform       *platform
	loadEnded      chan struct{}
	clients        []*trialClient
	schedule       []faults.Fault
	injector       *injector
	operator       *operator
	faultFreeSince atomic.Int64
	removed        atomic.Pointer[[]string]
	// unready is written by the sampler only and read after the sampler has ended.
	unready map[string]time.Duration
}

// stableSince returns the time since which no fault has been active, or the current time
// while a fault is active.
func (tr *trialRun) stableSince() time.Time {
	if since := tr.faultFreeSince.Load(); since > 0 {
		return time.Unix(0, since)
	}
	return time.Now()
}

const sampleInterval = 200 * time.Millisecond

// sample records which configuration is in force on each gateway, and which gateways
// should be ready but are not.
func (tr *trialRun) sample(stop chan struct{}) {
	since := map[string]time.Time{}
	starts := map[string]int64{}
	for {
		select {
		case <-stop:
			return
		case <-time.After(sampleInterval):
		}
		for _, daemon := range tr.fleet.OfKind(membership.KindGateway) {
			if !daemon.Running() {
				continue
			}
			began := time.Now()
			self, err := daemon.Self()
			at := time.Now()
			if err != nil || self["ready"] != true {
				if orders, _ := within(self, "counters", "orders").(map[string]any); orders["Rest"] != true {
					tr.unready[daemon.Name] += sampleInterval
					calm := tr.stableSince()
					if !tr.injector.hasLeft(daemon.Name) {
						tr.log.record(func(checker *checker.Checker) { checker.NotReady(daemon.Name, calm, at) })
					}
				}
			}
			if err != nil || starts[daemon.Name] != daemon.Starts() || self["ready"] != true {
				starts[daemon.Name] = daemon.Starts()
				since[daemon.Name] = at
				continue
			}
			version, _ := self["version"].(float64)
			healthy := since[daemon.Name]
			tr.log.record(func(checker *checker.Checker) {
				checker.InForce(daemon.Name, uint64(version), true, healthy, at)
				checker.ServedVersion(daemon.Name, uint64(version), began, at)
			})
		}
	}
}

// within returns the value at a path of keys in nested tables, or nil if there is none.
func within(value any, path ...string) any {
	for _, key := range path {
		table, matches := value.(map[string]any)
		if !matches {
			return nil
		}
		value = table[key]
	}
	return value
}

func (tr *trialRun) run() subcommands.ExitStatus {
	tr.log.record(func(checker *checker.Checker) {
		checker.DefineSpace("boards", true, false)
		checker.DefineSpace("urgent", true, false)
		checker.DefineSpace("decisions", true, true)
		checker.DefineSpace("cursors", false, false)
		checker.AnswerWithin("boards", 1500*time.Millisecond)
		checker.AnswerWithin("urgent", time.Second)
	})
	if !tr.operator.putNext(20 * time.Second) {
		fmt.Println("no configuration was accepted")
		return subcommands.ExitFailure
	}
	time.Sleep(2 * time.Second)
	stopSample := make(chan struct{})
	sampled := make(chan struct{})
	go func() {
		defer close(sampled)
		tr.sample(stopSample)
	}()
	began := time.Now()
	tr.startClients()
	if !tr.waitSubscribed(60 * time.Second) {
		fmt.Println("not all clients are subscribed")
		tr.printUnserved()
	}
	fmt.Printf("%d origins subscribed after %s\n", len(tr.clients), time.Since(began).Round(10*time.Millisecond))
	before := tr.measure()
	loadBegan := time.Now()
	for _, each := range tr.clients {
		each.start()
	}
	tr.faultFreeSince.Store(time.Now().Add(-checker.FaultSettleTime).UnixNano())
	tr.operator.work()
	tr.injector.runFaults(tr.schedule, tr.trial.length)
	after := tr.measure()
	loadFor := time.Since(loadBegan)
	if tr.trial.last != "" {
		tr.injector.injectFinal(tr.trial.last)
	}
	tr.operator.stop()
	close(tr.loadEnded)
	fmt.Println("load ended; clients have 25 s to reconnect and receive what they missed")
	time.Sleep(20 * time.Second)
	served := tr.waitSubscribed(5 * time.Second)
	close(stopSample)
	<-sampled
	for _, each := range tr.clients {
		each.stop()
	}
	time.Sleep(300 * time.Millisecond)
	at := time.Now()
	tr.log.record(func(checker *checker.Checker) {
		if !served {
			tr.printUnserved()
			checker.Violate("not-back", "not all origins are served at the end")
		}
		checker.Close(at)
	})
	close(tr.log.entries)
	<-tr.log.done
	tr.report(before, after, loadFor)
	if len(tr.log.checker.Violations()) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// unserved returns the number of clients that should be subscribed but are not.
func (tr *trialRun) unserved() int {
	missing := 0
	for _, each := range tr.clients {
		if !each.subscribed.Load() && time.Now().UnixNano() > each.absentUntil.Load() {
			missing++
		}
	}
	return missing
}

func (tr *trialRun) waitSubscribed(limit time.Duration) bool {
	until := time.Now().Add(limit)
	for time.Now().Before(until) {
		if tr.unserved() == 0 {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

func (tr *trialRun) printUnserved() {
	for _, each := range tr.clients {
		if !each.subscribed.Load() {
			fmt.Printf("  %s: %s\n", each.name, *each.lastTrace.Load())
		}
	}
}

type measurement struct {
	processor      map[string]time.Duration
	interzoneBytes float64
	messages       float64
	syncs          float64
	steps          float64
	delivered      float64
	copies         float64
	stray          float64
	overlay        float64
}

func (tr *trialRun) measure() measurement {
	sum := measurement{processor: map[string]time.Duration{}}
	for _, name := range tr.fleet.Names() {
		daemon := tr.fleet.Daemons[name]
		if !daemon.Running() {
			continue
		}
		sum.processor[daemon.Kind] += daemon.ProcessorTime()
		self, err := daemon.Self()
		if err != nil {
			continue
		}
		links, _ := self["links"].(map[string]any)
		number := func(table map[string]any, key string) float64 {
			value, _ := table[key].(float64)
			return value
		}
		sum.interzoneBytes += number(links, "bytes_away")
		sum.messages += number(links, "messages_out")
		sum.syncs += number(self, "syncs")
		sum.steps += number(self, "steps")
		counters, _ := self["counters"].(map[string]any)
		gateway, _ := counters["gateway"].(map[string]any)
		sum.delivered += number(gateway, "Delivered")
		sum.copies += number(gateway, "CopiesOut")
		sum.stray += number(gateway, "CopiesStray")
		overlay, _ := counters["overlay"].(map[string]any)
		sum.overlay += number(overlay, "SignalsOut")
	}
	return sum
}

func (tr *trialRun) report(before, after measurement, length time.Duration) {
	fmt.Println(tr.log.checker.Summary())
	fmt.Printf("not accepted, by code: %v; unready gateway-seconds: %v\n", tr.log.checker.Codes, tr.unready)
	delivered := after.delivered - before.delivered
	if delivered > 0 && len(tr.schedule) == 0 {
		kinds := []string{}
		for kind := range after.processor {
			kinds = append(kinds, kind)
		}
		slices.Sort(kinds)
		for _, kind := range kinds {
			fmt.Printf("processor %s: %.2f ms for each 100 delivered\n", kind, float64((after.processor[kind]-before.processor[kind]).Microseconds())/1000/delivered*100)
		}
		fmt.Printf("for each delivered: %.0f bytes between zones, %.2f messages, %.3f syncs, %.2f steps, %.3f copies, %.3f overlay signals; stray copies %.0f of %.0f\n",
			(after.interzoneBytes-before.interzoneBytes)/delivered, (after.messages-before.messages)/delivered, (after.syncs-before.syncs)/delivered,
			(after.steps-before.steps)/delivered, (after.copies-before.copies)/delivered, (after.overlay-before.overlay)/delivered,
			after.stray-before.stray, after.copies-before.copies)
		fmt.Printf("load for %s: delivered %.0f\n", length.Round(time.Second), delivered)
	}
	for _, text := range tr.log.checker.Violations() {
		fmt.Println(" ", text)
	}
}
