// Fault injection on real processes: the faults that package faults names, caused in a
// fleet the way the platform, the network and the clients would cause them. A single
// injector runs all actions from a queue ordered by due time, so that faults can overlap
// but no two actions touch a process at the same time.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sort"
	"strings"
	"syscall"
	"time"

	"dahlialock/internal/checker"
	"dahlialock/internal/faults"
	"dahlialock/internal/logevent"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
	"dahlialock/internal/testfleet"
)

// draw returns the schedule of faults that the flags of the trial select.
func (t *trial) draw() ([]faults.Fault, error) {
	if t.last != "" && t.last != "draw" && !slices.Contains(faults.Closing, t.last) {
		return nil, faults.ErrorInvalidSchedule.New("%q is not a last fault", t.last)
	}
	if t.plot != "" {
		return faults.Parse(t.plot)
	}
	if t.faults == "" {
		return nil, nil
	}
	random := rand.New(rand.NewPCG(t.seed, 0x57a1))
	names := strings.Split(t.faults, ",")
	switch t.faults {
	case "all":
		names = faults.Names
	case "pair":
		names = []string{faults.Names[random.IntN(len(faults.Names))], faults.Names[random.IntN(len(faults.Names))]}
	}
	for _, name := range names {
		if !slices.Contains(faults.Names, name) {
			return nil, faults.ErrorInvalidSchedule.New("%q is not a fault", name)
		}
	}
	count := t.count
	if count == 0 {
		count = max(1, int(t.length/(8*time.Second)))
	}
	return faults.Draw(random, names, t.length*9/10, count), nil
}

// requiredUptime is how long service must be uninterrupted before it counts as restored: a
// gateway that lost its agent closes its sessions only after some seconds.
const requiredUptime = 8 * time.Second

type action struct {
	at time.Time
	do func()
}

type injector struct {
	run          *trialRun
	operator     *operator
	queue        []action
	activeFaults int
	number       int
	frozen       map[string]int
	stopped      map[string]bool
}

func (i *injector) after(wait time.Duration, do func()) {
	i.queue = append(i.queue, action{at: time.Now().Add(wait), do: do})
}

// runUntil runs the queued actions as they fall due, until a condition holds or the time
// limit has passed. It reports whether the condition holds.
func (i *injector) runUntil(limit time.Duration, holds func() bool) bool {
	end := time.Now().Add(limit)
	for !holds() {
		if time.Now().After(end) {
			return false
		}
		sort.SliceStable(i.queue, func(left, right int) bool { return i.queue[left].at.Before(i.queue[right].at) })
		if len(i.queue) > 0 && !time.Now().Before(i.queue[0].at) {
			next := i.queue[0]
			i.queue = i.queue[1:]
			next.do()
			continue
		}
		time.Sleep(5 * time.Millisecond)
	}
	return true
}

// poll checks a condition every 50 ms until it holds or the time limit has passed, and
// then calls then with the result.
func (i *injector) poll(limit time.Duration, holds func() bool, then func(holding bool)) {
	end := time.Now().Add(limit)
	var check func()
	check = func() {
		holding := holds()
		if holding || time.Now().After(end) {
			then(holding)
			return
		}
		i.after(50*time.Millisecond, check)
	}
	check()
}

func (i *injector) hasLeft(name string) bool {
	return i.run.removed.Load() != nil && slices.Contains(*i.run.removed.Load(), name)
}

// runFaults injects a schedule of faults and waits until all of them have ended. It then waits
// for FaultSettleTime plus 5 s, so that the checker reports what has not recovered by then.
func (i *injector) runFaults(schedule []faults.Fault, length time.Duration) {
	i.frozen, i.stopped = map[string]int{}, map[string]bool{}
	if len(schedule) > 0 {
		fmt.Printf("storm: %s\n", faults.Format(schedule))
	}
	for _, fault := range schedule {
		i.after(fault.Start, func() { i.inject(fault) })
	}
	i.runUntil(length, func() bool { return false })
	if len(schedule) == 0 {
		return
	}
	if !i.runUntil(3*time.Minute, func() bool { return i.activeFaults == 0 }) {
		i.run.log.record(func(log *checker.Checker) {
			log.Violate(checker.NotRecovered, "a fault has not ended within 3 minutes")
		})
	}
	i.runUntil(checker.FaultSettleTime+5*time.Second, func() bool { return false })
}

func (i *injector) inject(fault faults.Fault) {
	i.activeFaults++
	i.run.faultFreeSince.Store(0)
	fmt.Printf("  fault: %s\n", fault)
	ended := false
	end := func() {
		if ended {
			return
		}
		ended = true
		if i.activeFaults--; i.activeFaults == 0 {
			i.run.faultFreeSince.Store(time.Now().UnixNano())
		}
	}
	injectors[fault.Name](i, fault, end)
}

func (i *injector) pickDaemon(kind string, pick uint64) *testfleet.Daemon {
	var up []*testfleet.Daemon
	for _, name := range i.run.fleet.Names() {
		daemon := i.run.fleet.Daemons[name]
		if (kind == "" || daemon.Kind == kind) && daemon.Running() && i.frozen[name] == 0 && !i.stopped[name] {
			up = append(up, daemon)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[pick%uint64(len(up))]
}

// roles returns the primary controller and its first backup, nil where there is none.
func (i *injector) roles() (primary, backup *testfleet.Daemon) {
	for _, daemon := range i.run.fleet.OfKind(membership.KindController) {
		if i.frozen[daemon.Name] > 0 || !daemon.Running() {
			continue
		}
		self, err := daemon.Self()
		if err != nil || within(self, "counters", "holds_lease") != true {
			continue
		}
		backups, _ := within(self, "counters", "backups").([]any)
		if len(backups) == 0 {
			return daemon, nil
		}
		name, _ := backups[0].(string)
		return daemon, i.run.fleet.Daemons[name]
	}
	return nil, nil
}

type injectFunc func(injector *injector, fault faults.Fault, end func())

func injectInto(kind string, inject func(injector *injector, daemon *testfleet.Daemon, fault faults.Fault, end func())) injectFunc {
	return func(injector *injector, fault faults.Fault, end func()) {
		var daemon *testfleet.Daemon
		switch kind {
		case "primary":
			daemon, _ = injector.roles()
		case "backup":
			_, daemon = injector.roles()
		default:
			daemon = injector.pickDaemon(kind, fault.Pick)
		}
		if daemon == nil || !daemon.Running() || injector.frozen[daemon.Name] > 0 || injector.stopped[daemon.Name] {
			fmt.Println("    no running daemon to inject the fault into")
			end()
			return
		}
		fmt.Printf("    %s\n", daemon.Name)
		inject(injector, daemon, fault, end)
	}
}

// start starts a stopped daemon; it does nothing if the daemon is running.
func (i *injector) start(daemon *testfleet.Daemon) {
	delete(i.stopped, daemon.Name)
	if !daemon.Running() {
		if err := i.run.fleet.Start(daemon.Name); err != nil {
			panic(err)
		}
	}
}

func (i *injector) kill(daemon *testfleet.Daemon) {
	i.stopped[daemon.Name] = true
	delete(i.frozen, daemon.Name)
	i.run.fleet.Kill(daemon.Name)
}

func injectKill(injector *injector, daemon *testfleet.Daemon, fault faults.Fault, end func()) {
	injector.kill(daemon)
	if faults.LosesDisk(fault.Name) {
		_ = injector.run.fleet.Wipe(daemon.Name)
	}
	injector.after(fault.Length, func() { injector.start(daemon); end() })
}

func (i *injector) freeze(daemon *testfleet.Daemon, length time.Duration, then func()) {
	i.frozen[daemon.Name]++
	i.run.fleet.Signal(daemon.Name, syscall.SIGSTOP)
	i.after(length, func() {
		if i.frozen[daemon.Name]--; i.frozen[daemon.Name] <= 0 {
			delete(i.frozen, daemon.Name)
		}
		i.run.fleet.Signal(daemon.Name, syscall.SIGCONT)
		then()
	})
}

func injectFreeze(injector *injector, daemon *testfleet.Daemon, fault faults.Fault, end func()) {
	injector.freeze(daemon, fault.Length, end)
}

func injectSlowProcess(injector *injector, daemon *testfleet.Daemon, fault faults.Fault, end func()) {
	until := time.Now().Add(fault.Length)
	random := rand.New(rand.NewPCG(fault.Pick, 1))
	var turn func()
	turn = func() {
		if time.Now().After(until) || !daemon.Running() {
			end()
			return
		}
		injector.freeze(daemon, time.Duration(60+random.IntN(190))*time.Millisecond, func() {
			injector.after(time.Duration(20+random.IntN(80))*time.Millisecond, turn)
		})
	}
	turn()
}

// restart restarts a daemon as the platform does: SIGTERM, and SIGKILL if it is still
// running after 6 s.
func (i *injector) restart(daemon *testfleet.Daemon, wait time.Duration, then func()) {
	i.stopped[daemon.Name] = true
	requested := time.Now()
	i.run.fleet.Signal(daemon.Name, syscall.SIGTERM)
	i.poll(6*time.Second, func() bool { return !daemon.Running() }, func(holding bool) {
		if !holding {
			i.run.fleet.Kill(daemon.Name)
			i.run.log.record(func(checker *checker.Checker) {
				checker.Violate("stop", "%s had to be killed %s after TERM", daemon.Name, time.Since(requested).Round(time.Millisecond))
			})
		}
		i.after(wait, func() { i.start(daemon); then() })
	})
}

func injectRestart(injector *injector, daemon *testfleet.Daemon, fault faults.Fault, end func()) {
	injector.restart(daemon, fault.Length/3, end)
}

func (i *injector) restartInTurn(daemons []*testfleet.Daemon, end func()) {
	if len(daemons) == 0 {
		end()
		return
	}
	daemon := daemons[0]
	if i.stopped[daemon.Name] || i.frozen[daemon.Name] > 0 {
		i.restartInTurn(daemons[1:], end)
		return
	}
	i.restart(daemon, 300*time.Millisecond, func() {
		i.after(time.Second, func() {
			i.poll(8*time.Second, daemon.Ready, func(bool) { i.restartInTurn(daemons[1:], end) })
		})
	})
}

// impair impairs the links or disks of daemons for the given time.
func (i *injector) impair(daemons []*testfleet.Daemon, length time.Duration, trial func(daemon *testfleet.Daemon) testfleet.Trial, end func()) {
	i.number++
	number := i.number
	for _, daemon := range daemons {
		if err := i.run.fleet.Impair(daemon.Name, number, trial(daemon)); err != nil {
			panic(err)
		}
	}
	i.after(length, func() {
		for _, daemon := range daemons {
			if err := i.run.fleet.RemoveImpairment(daemon.Name, number); err != nil {
				panic(err)
			}
		}
		end()
	})
}

func (i *injector) daemons(want func(daemon *testfleet.Daemon) bool) []*testfleet.Daemon {
	var found []*testfleet.Daemon
	for _, name := range i.run.fleet.Names() {
		if daemon := i.run.fleet.Daemons[name]; want(daemon) {
			found = append(found, daemon)
		}
	}
	return found
}

// agentOf returns the agent on the gateway's machine.
func (i *injector) agentOf(gateway *testfleet.Daemon) *testfleet.Daemon {
	return i.run.fleet.Daemons[membership.KindAgent+strings.TrimPrefix(gateway.Name, membership.KindGateway)]
}

// otherMachines returns the addresses of all daemons on other machines.
func (i *injector) otherMachines(daemon *testfleet.Daemon) []string {
	var addresses []string
	for _, other := range i.daemons(func(other *testfleet.Daemon) bool { return other != daemon && !onSameMachine(other, daemon) }) {
		addresses = append(addresses, other.Address)
	}
	return addresses
}

func onSameMachine(left, right *testfleet.Daemon) bool {
	number := func(daemon *testfleet.Daemon) string { return strings.TrimPrefix(daemon.Name, daemon.Kind) }
	onMachine := func(daemon *testfleet.Daemon) bool {
		return daemon.Kind == membership.KindGateway || daemon.Kind == membership.KindAgent
	}
	return left != right && onMachine(left) && onMachine(right) && number(left) == number(right)
}

func join(kind string) injectFunc {
	return func(injector *injector, _ faults.Fault, end func()) {
		newcomer, found := injector.run.fleet.Spare(kind)
		if !found {
			fmt.Println("    no spare machine is left to join")
			end()
			return
		}
		fmt.Printf("    %s\n", newcomer.Name)
		injector.start(newcomer)
		if kind == membership.KindGateway {
			injector.start(injector.agentOf(newcomer))
		}
		injector.poll(12*time.Second, newcomer.Ready, func(holding bool) {
			if !holding {
				injector.run.log.record(func(log *checker.Checker) {
					log.Violate(checker.NotRecovered, "%s has not joined in 12 s", newcomer.Name)
				})
			}
			end()
		})
	}
}

func (i *injector) request(change changeRequest) { i.operator.requests <- change }

func (i *injector) zone(pick uint64) int { return int(pick % uint64(i.run.fleet.Deployment.Zones)) }

var injectors = map[string]injectFunc{
	"kill-gateway":       injectInto(membership.KindGateway, injectKill),
	"kill-agent":         injectInto(membership.KindAgent, injectKill),
	"kill-store":         injectInto(membership.KindStore, injectKill),
	"kill-controller":    injectInto(membership.KindController, injectKill),
	"kill-primary":       injectInto("primary", injectKill),
	"kill-backup":        injectInto("backup", injectKill),
	"wipe-store":         injectInto(membership.KindStore, injectKill),
	"wipe-controller":    injectInto(membership.KindController, injectKill),
	"freeze-gateway":     injectInto(membership.KindGateway, injectFreeze),
	"freeze-agent":       injectInto(membership.KindAgent, injectFreeze),
	"freeze-store":       injectInto(membership.KindStore, injectFreeze),
	"freeze-controller":  injectInto(membership.KindController, injectFreeze),
	"freeze-primary":     injectInto("primary", injectFreeze),
	"restart-gateway":    injectInto(membership.KindGateway, injectRestart),
	"restart-store":      injectInto(membership.KindStore, injectRestart),
	"restart-controller": injectInto(membership.KindController, injectRestart),
	"slow-daemon":        injectInto("", injectSlowProcess),
	"join-gateway":       join(membership.KindGateway),
	"join-store":         join(membership.KindStore),
	"join-controller":    join(membership.KindController),
	"restart-beside": injectInto(membership.KindGateway, func(injector *injector, daemon *testfleet.Daemon, fault faults.Fault, end func()) {
		agent := injector.agentOf(daemon)
		if injector.frozen[agent.Name] == 0 && !injector.stopped[agent.Name] {
			injector.restart(agent, fault.Length/4, func() {})
		}
		injector.restart(daemon, fault.Length/3, end)
	}),
	"restart-stores": func(injector *injector, _ faults.Fault, end func()) {
		injector.restartInTurn(injector.run.fleet.OfKind(membership.KindStore), end)
	},
	"rolling": func(injector *injector, fault faults.Fault, end func()) {
		kinds := []string{membership.KindController, membership.KindStore, membership.KindAgent, membership.KindGateway}
		injector.restartInTurn(injector.run.fleet.OfKind(kinds[fault.Pick%4]), end)
	},
	"slow-disk": func(injector *injector, fault faults.Fault, end func()) {
		kind := membership.KindStore
		if fault.Pick%3 == 0 {
			kind = membership.KindController
		}
		daemon := injector.pickDaemon(kind, fault.Pick)
		if daemon == nil {
			end()
			return
		}
		injector.impair([]*testfleet.Daemon{daemon}, fault.Length, func(*testfleet.Daemon) testfleet.Trial { return testfleet.Trial{Disk: "150ms"} }, end)
	},
	"power-loss": func(injector *injector, fault faults.Fault, end func()) {
		for _, daemon := range injector.run.fleet.OfKind(membership.KindStore) {
			if daemon.Running() {
				injector.kill(daemon)
				injector.after(fault.Length, func() { injector.start(daemon) })
			}
		}
		injector.after(fault.Length+100*time.Millisecond, end)
	},
	"lose-place": func(injector *injector, fault faults.Fault, end func()) {
		zone := testfleet.ZoneName(injector.zone(fault.Pick))
		for _, daemon := range injector.daemons(func(daemon *testfleet.Daemon) bool { return daemon.Zone == zone && daemon.Running() }) {
			injector.kill(daemon)
			injector.after(fault.Length, func() { injector.start(daemon) })
		}
		injector.after(fault.Length+100*time.Millisecond, end)
	},
	"cut-daemon": injectInto("", func(injector *injector, daemon *testfleet.Daemon, fault faults.Fault, end func()) {
		machine := injector.daemons(func(other *testfleet.Daemon) bool { return other == daemon || onSameMachine(other, daemon) })
		injector.impair(machine, fault.Length, func(*testfleet.Daemon) testfleet.Trial { return testfleet.Trial{Cuts: injector.otherMachines(daemon)} }, end)
	}),
	"cut-one-way": injectInto("", func(injector *injector, daemon *testfleet.Daemon, fault faults.Fault, end func()) {
		injector.impair([]*testfleet.Daemon{daemon}, fault.Length, func(*testfleet.Daemon) testfleet.Trial {
			if fault.Pick%2 == 0 {
				return testfleet.Trial{Mutes: injector.otherMachines(daemon)}
			}
			return testfleet.Trial{Deaf: injector.otherMachines(daemon)}
		}, end)
	}),
	"cut-place": func(injector *injector, fault faults.Fault, end func()) {
		zone := injector.zone(fault.Pick)
		var others []string
		for other := range injector.run.fleet.Deployment.Zones {
			if other != zone {
				others = append(others, testfleet.Prefix(other))
			}
		}
		inside := injector.daemons(func(daemon *testfleet.Daemon) bool { return daemon.Zone == testfleet.ZoneName(zone) })
		injector.impair(inside, fault.Length, func(*testfleet.Daemon) testfleet.Trial { return testfleet.Trial{Cuts: others} }, end)
	},
	"cut-primary": injectInto("primary", func(injector *injector, daemon *testfleet.Daemon, fault faults.Fault, end func()) {
		var others []string
		for _, controller := range injector.run.fleet.OfKind(membership.KindController) {
			if controller != daemon {
				others = append(others, controller.Address)
			}
		}
		injector.impair([]*testfleet.Daemon{daemon}, fault.Length+3*time.Second, func(*testfleet.Daemon) testfleet.Trial { return testfleet.Trial{Cuts: others} }, end)
	}),
	"loss": func(injector *injector, fault faults.Fault, end func()) {
		injector.impair(injector.daemons(everyone), fault.Length, func(*testfleet.Daemon) testfleet.Trial {
			return testfleet.Trial{Loss: map[string]float64{"127.": 0.1}}
		}, end)
	},
	"slow-links": func(injector *injector, fault faults.Fault, end func()) {
		injector.impair(injector.daemons(everyone), fault.Length, func(daemon *testfleet.Daemon) testfleet.Trial {
			delays := map[string]string{}
			for zone := range injector.run.fleet.Deployment.Zones {
				if testfleet.ZoneName(zone) != daemon.Zone {
					delays[testfleet.Prefix(zone)] = "40ms"
				}
			}
			return testfleet.Trial{Delays: delays}
		}, end)
	},
	"relink": func(injector *injector, fault faults.Fault, end func()) {
		injector.impair(injector.daemons(everyone), min(fault.Length, 300*time.Millisecond), func(daemon *testfleet.Daemon) testfleet.Trial {
			return testfleet.Trial{Mutes: injector.otherMachines(daemon)}
		}, end)
	},
	"resets": func(injector *injector, fault faults.Fault, end func()) {
		random := rand.New(rand.NewPCG(fault.Pick, 2))
		for _, origin := range injector.run.clients {
			if random.IntN(10) > 0 {
				origin.reset()
			}
		}
		injector.after(fault.Length, end)
	},
	"vanish": func(injector *injector, fault faults.Fault, end func()) {
		for turn := range 5 {
			origin := injector.run.clients[(fault.Pick+uint64(turn)*97)%uint64(len(injector.run.clients))]
			origin.absentUntil.Store(time.Now().Add(fault.Length * 4).UnixNano())
			origin.reset()
		}
		injector.after(fault.Length*4, end)
	},
	"wander": func(injector *injector, fault faults.Fault, end func()) {
		for turn := range 40 {
			origin := injector.run.clients[(fault.Pick+uint64(turn)*31)%uint64(len(injector.run.clients))]
			zone := testfleet.ZoneName(injector.zone(fault.Pick + uint64(turn)))
			origin.zone.Store(&zone)
			origin.reset()
		}
		injector.after(fault.Length, end)
	},
	"crowd": func(injector *injector, fault faults.Fault, end func()) {
		injector.number++
		var crowd []*trialClient
		for number := range 150 {
			zone := injector.zone(fault.Pick)
			if number%2 == 0 {
				zone = number % injector.run.fleet.Deployment.Zones
			}
			origin := injector.run.newClient(fmt.Sprintf("crowd-%d-%d", injector.number, number), zone, uint64(injector.number*1000+number))
			origin.interests = []checker.Interest{{Space: "boards", Path: durableTopic(origin.random.IntN(durableTopics))}}
			crowd = append(crowd, origin)
			go origin.keepConnected()
		}
		injector.after(fault.Length+4*time.Second, func() {
			for _, origin := range crowd {
				origin.leave()
			}
			end()
		})
	},
	"operators": func(injector *injector, fault faults.Fault, end func()) {
		for range 2 {
			injector.request(func(operator *operator) { operator.putConcurrently() })
		}
		injector.after(fault.Length, end)
	},
	"space": func(injector *injector, fault faults.Fault, end func()) {
		injector.number++
		name := fmt.Sprintf("brief-%d", injector.number)
		users := make(chan *trialClient, 4)
		injector.request(addSpace(name, func() {
			for number := range 4 {
				user := injector.run.newClient(fmt.Sprintf("%s-%d", name, number), number%injector.run.fleet.Deployment.Zones, uint64(number))
				user.interests = []checker.Interest{{Space: name, Prefix: true}}
				user.temporarySpace = name
				users <- user
				go user.keepConnected()
				user.start()
			}
		}))
		injector.after(3*time.Second+fault.Length, func() {
			injector.request(removeSpace(name))
			injector.after(8*time.Second, func() {
				for len(users) > 0 {
					(<-users).leave()
				}
				end()
			})
		})
	},
	"drain": injectInto(membership.KindGateway, func(injector *injector, daemon *testfleet.Daemon, fault faults.Fault, end func()) {
		injector.request(drain(daemon.Name))
		injector.after(fault.Length+5*time.Second, func() {
			injector.request(drain())
			injector.after(time.Second, end)
		})
	}),
	"edit-settings": injectInto("", func(injector *injector, daemon *testfleet.Daemon, fault faults.Fault, end func()) {
		text := daemon.Settings()
		edits := []string{text[:len(text)/2], "", strings.Replace(text, daemon.Name, "another-name", 1), strings.Replace(text, daemon.Zone, "zone-z", 1)}
		if fault.Pick%5 == 4 {
			_ = injector.run.fleet.RemoveSettings(daemon.Name)
		} else {
			_ = injector.run.fleet.ReplaceSettings(daemon.Name, []byte(edits[fault.Pick%5]))
		}
		if fault.Pick%2 == 0 {
			injector.run.fleet.Signal(daemon.Name, syscall.SIGHUP)
		}
		injector.after(fault.Length, func() {
			_ = injector.run.fleet.RestoreSettings(daemon.Name)
			injector.run.fleet.Signal(daemon.Name, syscall.SIGHUP)
			end()
		})
	}),
	"retire": injectInto(membership.KindStore, func(injector *injector, daemon *testfleet.Daemon, fault faults.Fault, end func()) {
		injector.retire(daemon, fault.Length, end)
	}),
}

func everyone(*testfleet.Daemon) bool { return true }

// retire retires a store with requests to random daemons. Then it kills the store and, if the
// retirement succeeded, wipes its disk.
func (i *injector) retire(daemon *testfleet.Daemon, length time.Duration, end func()) {
	random := rand.New(rand.NewPCG(uint64(length), 3))
	refused := false
	ask := func(method, verb string) bool {
		status, text := i.operator.control(random, method, "/v1/stores/"+daemon.Name+verb, "")
		refused = status == 409
		var value struct {
			Retired bool `json:"retired"`
		}
		return status < 300 && status > 0 && json.Unmarshal(text, &value) == nil && (value.Retired || method == "POST")
	}
	i.poll(40*time.Second, func() bool { return ask("POST", "/retire") || refused }, func(bool) {
		if refused {
			fmt.Println("    rejected: too few other stores")
			end()
			return
		}
		i.poll(40*time.Second, func() bool { return ask("GET", "") }, func(holding bool) {
			if !holding {
				i.run.log.record(func(checker *checker.Checker) { checker.Violate("retire", "%s was not retired in 40 s", daemon.Name) })
			}
			i.kill(daemon)
			if holding {
				_ = i.run.fleet.Wipe(daemon.Name)
			}
			i.after(length, func() { i.start(daemon); end() })
		})
	})
}

// injectFinal injects the final fault, which is permanent, and measures the time until service is restored.
func (i *injector) injectFinal(name string) {
	random := rand.New(rand.NewPCG(i.run.trial.seed, 0x1a57))
	if name == "draw" {
		name = faults.Closing[random.IntN(len(faults.Closing))]
	}
	i.run.faultFreeSince.Store(0)
	from := time.Now()
	var lost []string
	inject := func(daemon *testfleet.Daemon) {
		if daemon != nil {
			lost = append(lost, daemon.Name)
			i.kill(daemon)
		}
	}
	primary, backup := i.roles()
	switch name {
	case "kill-gateway", "kill-store", "kill-agent":
		inject(i.pickDaemon(strings.TrimPrefix(name, "kill-"), random.Uint64()))
	case "kill-primary":
		inject(primary)
	case "kill-backup":
		inject(backup)
	case "lose-place":
		zone := testfleet.ZoneName(random.IntN(i.run.fleet.Deployment.Zones))
		for _, daemon := range i.daemons(func(daemon *testfleet.Daemon) bool { return daemon.Zone == zone && daemon.Running() }) {
			inject(daemon)
		}
	case "lose-two":
		kinds := []string{membership.KindGateway, membership.KindStore, membership.KindController, membership.KindAgent}
		first := random.IntN(len(kinds))
		inject(i.pickDaemon(kinds[first], random.Uint64()))
		inject(i.pickDaemon(kinds[(first+1+random.IntN(3))%4], random.Uint64()))
	case "restart-all":
		for _, daemon := range i.daemons((*testfleet.Daemon).Running) {
			i.kill(daemon)
			i.after(time.Duration(300+random.IntN(1200))*time.Millisecond, func() { i.start(daemon) })
		}
	}
	fmt.Printf("last fault: %s %v\n", name, lost)
	removed := slices.Clone(lost)
	for _, each := range lost {
		if daemon := i.run.fleet.Daemons[each]; daemon.Kind == membership.KindAgent {
			removed = append(removed, membership.KindGateway+strings.TrimPrefix(each, membership.KindAgent))
		}
	}
	i.run.removed.Store(&removed)
	prober := i.run.newClient("prober", 0, 77)
	var accepted, clientsBack time.Duration
	i.runUntil(2*checker.RecoveryWithin, func() bool {
		after := time.Since(from)
		if accepted == 0 && after > 300*time.Millisecond && prober.probe() {
			accepted = after
		}
		switch missing := i.run.unserved(); {
		case missing > 0:
			clientsBack = 0
		case clientsBack == 0:
			clientsBack = after
		}
		return accepted > 0 && clientsBack > 0 && after-max(accepted, clientsBack) > requiredUptime
	})
	restored := max(accepted, clientsBack)
	if accepted == 0 || clientsBack == 0 {
		restored = 2 * checker.RecoveryWithin
	}
	noticed, decided, complete := i.run.recoveryPhases(from)
	fmt.Printf("service is back %s after %s: noticed %s, decided %s, partitions complete %s, publishing again %s, last client %s\n", restored.Round(time.Millisecond), name,
		noticed.Round(time.Millisecond), decided.Round(time.Millisecond), complete.Round(time.Millisecond), accepted.Round(time.Millisecond), clientsBack.Round(time.Millisecond))
	i.run.log.record(func(checker *checker.Checker) { checker.Recovered(name, restored) })
	i.run.faultFreeSince.Store(time.Now().UnixNano())
	i.runUntil(checker.FaultSettleTime+3*time.Second, func() bool { return false })
}

// recoveryPhases reads from the daemons' logs how long after the failure it was detected, when the
// membership and the placement were last changed, and when the replication of all
// partitions was complete again.
func (tr *trialRun) recoveryPhases(from time.Time) (noticed, decided, complete time.Duration) {
	for _, name := range tr.fleet.Names() {
		file, err := os.Open(tr.fleet.LogPath(name))
		if err != nil {
			continue
		}
		lines := bufio.NewScanner(file)
		for lines.Scan() {
			var event struct {
				Number statemachine.EventNumber `json:"number"`
				Time   time.Time                `json:"time"`
			}
			if json.Unmarshal(lines.Bytes(), &event) != nil || event.Time.Before(from) {
				continue
			}
			after := event.Time.Sub(from)
			switch event.Number {
			case logevent.MemberSuspected, logevent.TakeoverStarted, logevent.BackupLost:
				if noticed == 0 || after < noticed {
					noticed = after
				}
			case logevent.MemberLost, logevent.EpochDecided, logevent.PlacementChanged:
				decided = max(decided, after)
			case logevent.PlacementReplicated:
				complete = max(complete, after)
			}
		}
		_ = file.Close()
	}
	return noticed, decided, complete
}
