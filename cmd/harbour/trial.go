// The trial: a whole deployment as real processes on one machine, driven with
// the stated load by stand-in callers, while faults are brought about, and
// judged by the oracle from what callers and operators saw.
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

	"dahlialock/internal/beacon"
	"dahlialock/internal/fleet"
	"dahlialock/internal/oracle"
	"dahlialock/internal/squall"
)

type trial struct {
	deployment, folder, binaries, faults, plot, last string
	length                                           time.Duration
	origins, count                                   int
	kept, urgent                                     float64
	seed                                             uint64
	keep                                             bool
	economy                                          bool
}

func (*trial) Name() string     { return "trial" }
func (*trial) Synopsis() string { return "run a whole deployment under load and judge it" }
func (*trial) Usage() string {
	return "trial [-deployment D] [-length 2m] [-faults all|NAMES|pair] [-count N] [-last NAME] [-seed N]\n"
}
func (trial *trial) SetFlags(set *flag.FlagSet) {
	set.StringVar(&trial.deployment, "deployment", "fjordlys", "the `size`: small, fjordlys or qureshi")
	set.StringVar(&trial.folder, "folder", "", "`folder` for settings, logs and data; a new one if not given")
	set.StringVar(&trial.binaries, "binaries", ownFolder(), "`folder` of the daemons' programs")
	set.StringVar(&trial.faults, "faults", "", "`names` of faults with commas between, to draw from; all; or pair for two that the seed picks. Known: "+strings.Join(squall.Names, ", "))
	set.IntVar(&trial.count, "count", 0, "how `many` faults to draw; one for each 8 s if not given")
	set.StringVar(&trial.plot, "plot", "", "a `list` of faults as name@start+length#pick, instead of drawing")
	set.StringVar(&trial.last, "last", "", "the last fault, which stays: draw, or a `name` of "+strings.Join(squall.Last, ", "))
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

func (trial *trial) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	storm, fault := trial.draw()
	if fault != nil {
		fmt.Fprintln(os.Stderr, "harbour:", fault)
		return subcommands.ExitUsageError
	}
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
		quiet: make(chan struct{}), storm: storm, unready: map[string]time.Duration{},
	}
	run.operator = newOperator(run)
	run.hand = &hand{run: run, operator: run.operator}
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
	storm    []squall.Fault
	hand     *hand
	operator *operator
	calm     atomic.Int64
	gone     atomic.Pointer[[]string]
	// unready is the sampler's; it is read once the sampler has ended.
	unready map[string]time.Duration
}

// calmSince is the moment from which nothing goes wrong; now, while a fault is
// under way.
func (run *trialRun) calmSince() time.Time {
	if since := run.calm.Load(); since > 0 {
		return time.Unix(0, since)
	}
	return time.Now()
}

const sampleEvery = 200 * time.Millisecond

// sample watches which configuration is in force on the lanterns, and which of
// them ought to be ready and are not.
func (run *trialRun) sample(stop chan struct{}) {
	since := map[string]time.Time{}
	starts := map[string]int64{}
	for {
		select {
		case <-stop:
			return
		case <-time.After(sampleEvery):
		}
		for _, daemon := range run.fleet.OfKind(beacon.KindLantern) {
			if !daemon.Running() {
				continue
			}
			began := time.Now()
			self, fault := daemon.Self()
			at := time.Now()
			if fault != nil || self["ready"] != true {
				if orders, _ := within(self, "counters", "orders").(map[string]any); orders["Rest"] != true {
					run.unready[daemon.Name] += sampleEvery
					calm := run.calmSince()
					if !run.hand.left(daemon.Name) {
						run.book.note(func(oracle *oracle.Oracle) { oracle.NotReady(daemon.Name, calm, at) })
					}
				}
			}
			if fault != nil || starts[daemon.Name] != daemon.Starts() || self["ready"] != true {
				starts[daemon.Name] = daemon.Starts()
				since[daemon.Name] = at
				continue
			}
			version, _ := self["version"].(float64)
			healthy := since[daemon.Name]
			run.book.note(func(oracle *oracle.Oracle) {
				oracle.InForce(daemon.Name, uint64(version), true, healthy, at)
				oracle.Showed(daemon.Name, uint64(version), began, at)
			})
		}
	}
}

// within reads a value deep in a table.
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

func (run *trialRun) run() subcommands.ExitStatus {
	run.book.note(func(oracle *oracle.Oracle) {
		oracle.Space("boards", true, false)
		oracle.Space("urgent", true, false)
		oracle.Space("decisions", true, true)
		oracle.Space("cursors", false, false)
		oracle.AnswerWithin("boards", 1500*time.Millisecond)
		oracle.AnswerWithin("urgent", time.Second)
	})
	if !run.operator.next(20 * time.Second) {
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
	run.calm.Store(time.Now().Add(-oracle.TroubleFor).UnixNano())
	run.operator.work()
	run.hand.storm(run.storm, run.trial.length)
	after := run.measure()
	loadFor := time.Since(loadBegan)
	if run.trial.last != "" {
		run.hand.last(run.trial.last)
	}
	run.operator.stop()
	close(run.quiet)
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

// missing counts the origins that ought to be served and are not.
func (run *trialRun) missing() int {
	missing := 0
	for _, each := range run.origins {
		if !each.served.Load() && time.Now().UnixNano() > each.awayUntil.Load() {
			missing++
		}
	}
	return missing
}

func (run *trialRun) waitSubscribed(limit time.Duration) bool {
	until := time.Now().Add(limit)
	for time.Now().Before(until) {
		if run.missing() == 0 {
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
	fmt.Printf("not accepted, by code: %v; unready lantern-seconds: %v\n", run.book.oracle.Codes, run.unready)
	delivered := after.delivered - before.delivered
	if delivered > 0 && len(run.storm) == 0 {
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
