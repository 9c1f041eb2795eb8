// Storms on real processes: the faults that squall names, brought about on a
// fleet as the platform, the network and its callers would. One hand does all
// of it, from a queue of what is due when, so that faults overlap and no two of
// them touch a process at the same time.
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

// draw makes the list of faults that a trial was asked for.
func (t *trial) draw() ([]faults.Fault, error) {
	if t.last != "" && t.last != "draw" && !slices.Contains(faults.Last, t.last) {
		return nil, faults.ErrorList.New("%q is not a last fault", t.last)
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
			return nil, faults.ErrorList.New("%q is not a fault", name)
		}
	}
	count := t.count
	if count == 0 {
		count = max(1, int(t.length/(8*time.Second)))
	}
	return faults.Draw(random, names, t.length*9/10, count), nil
}

// holdsFor is how long service must have held before it counts as back: a
// gateway that lost its agent lets its origins go only after some seconds.
const holdsFor = 8 * time.Second

type due struct {
	at time.Time
	do func()
}

type hand struct {
	run      *trialRun
	operator *operator
	queue    []due
	open     int
	number   int
	frozen   map[string]int
	away     map[string]bool
}

func (h *hand) after(wait time.Duration, do func()) {
	h.queue = append(h.queue, due{at: time.Now().Add(wait), do: do})
}

// until does what is due until a condition holds or a limit has passed.
func (h *hand) until(limit time.Duration, holds func() bool) bool {
	end := time.Now().Add(limit)
	for !holds() {
		if time.Now().After(end) {
			return false
		}
		sort.SliceStable(h.queue, func(left, right int) bool { return h.queue[left].at.Before(h.queue[right].at) })
		if len(h.queue) > 0 && !time.Now().Before(h.queue[0].at) {
			next := h.queue[0]
			h.queue = h.queue[1:]
			next.do()
			continue
		}
		time.Sleep(5 * time.Millisecond)
	}
	return true
}

// poll looks now and then until something holds, or a limit has passed, and then
// goes on with whether it does.
func (h *hand) poll(limit time.Duration, holds func() bool, then func(held bool)) {
	end := time.Now().Add(limit)
	var look func()
	look = func() {
		held := holds()
		if held || time.Now().After(end) {
			then(held)
			return
		}
		h.after(50*time.Millisecond, look)
	}
	look()
}

func (h *hand) left(name string) bool {
	return h.run.gone.Load() != nil && slices.Contains(*h.run.gone.Load(), name)
}

// storm brings a list of faults about, and then waits for their end and for the
// calm in which nothing may be amiss.
func (h *hand) storm(storm []faults.Fault, length time.Duration) {
	h.frozen, h.away = map[string]int{}, map[string]bool{}
	if len(storm) > 0 {
		fmt.Printf("storm: %s\n", faults.Format(storm))
	}
	for _, fault := range storm {
		h.after(fault.Start, func() { h.bring(fault) })
	}
	h.until(length, func() bool { return false })
	if len(storm) == 0 {
		return
	}
	if !h.until(3*time.Minute, func() bool { return h.open == 0 }) {
		h.run.book.note(func(book *checker.Checker) { book.Violate(checker.NotBack, "a fault has not come to its end") })
	}
	h.until(checker.TroubleFor+5*time.Second, func() bool { return false })
}

func (h *hand) bring(fault faults.Fault) {
	h.open++
	h.run.calm.Store(0)
	fmt.Printf("  fault: %s\n", fault)
	ended := false
	end := func() {
		if ended {
			return
		}
		ended = true
		if h.open--; h.open == 0 {
			h.run.calm.Store(time.Now().UnixNano())
		}
	}
	brought[fault.Name](h, fault, end)
}

func (h *hand) choose(kind string, pick uint64) *testfleet.Daemon {
	var up []*testfleet.Daemon
	for _, name := range h.run.fleet.Names() {
		daemon := h.run.fleet.Daemons[name]
		if (kind == "" || daemon.Kind == kind) && daemon.Running() && h.frozen[name] == 0 && !h.away[name] {
			up = append(up, daemon)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[pick%uint64(len(up))]
}

// roles finds the controllers that are primary and backup.
func (h *hand) roles() (primary, backup *testfleet.Daemon) {
	for _, daemon := range h.run.fleet.OfKind(membership.KindController) {
		if h.frozen[daemon.Name] > 0 || !daemon.Running() {
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
		return daemon, h.run.fleet.Daemons[name]
	}
	return nil, nil
}

type bringer func(hand *hand, fault faults.Fault, end func())

func on(kind string, strike func(hand *hand, daemon *testfleet.Daemon, fault faults.Fault, end func())) bringer {
	return func(hand *hand, fault faults.Fault, end func()) {
		var daemon *testfleet.Daemon
		switch kind {
		case "primary":
			daemon, _ = hand.roles()
		case "backup":
			_, daemon = hand.roles()
		default:
			daemon = hand.choose(kind, fault.Pick)
		}
		if daemon == nil || !daemon.Running() || hand.frozen[daemon.Name] > 0 || hand.away[daemon.Name] {
			fmt.Println("    nobody to strike")
			end()
			return
		}
		fmt.Printf("    %s\n", daemon.Name)
		strike(hand, daemon, fault, end)
	}
}

// start starts a daemon that is away, once.
func (h *hand) start(daemon *testfleet.Daemon) {
	delete(h.away, daemon.Name)
	if !daemon.Running() {
		if err := h.run.fleet.Start(daemon.Name); err != nil {
			panic(err)
		}
	}
}

func (h *hand) kill(daemon *testfleet.Daemon) {
	h.away[daemon.Name] = true
	delete(h.frozen, daemon.Name)
	h.run.fleet.Kill(daemon.Name)
}

func strikeDead(hand *hand, daemon *testfleet.Daemon, fault faults.Fault, end func()) {
	hand.kill(daemon)
	if faults.Wiping(fault.Name) {
		_ = hand.run.fleet.Wipe(daemon.Name)
	}
	hand.after(fault.Length, func() { hand.start(daemon); end() })
}

func (h *hand) freeze(daemon *testfleet.Daemon, length time.Duration, then func()) {
	h.frozen[daemon.Name]++
	h.run.fleet.Signal(daemon.Name, syscall.SIGSTOP)
	h.after(length, func() {
		if h.frozen[daemon.Name]--; h.frozen[daemon.Name] <= 0 {
			delete(h.frozen, daemon.Name)
		}
		h.run.fleet.Signal(daemon.Name, syscall.SIGCONT)
		then()
	})
}

func strikeFrozen(hand *hand, daemon *testfleet.Daemon, fault faults.Fault, end func()) {
	hand.freeze(daemon, fault.Length, end)
}

func strikeSlow(hand *hand, daemon *testfleet.Daemon, fault faults.Fault, end func()) {
	until := time.Now().Add(fault.Length)
	random := rand.New(rand.NewPCG(fault.Pick, 1))
	var turn func()
	turn = func() {
		if time.Now().After(until) || !daemon.Running() {
			end()
			return
		}
		hand.freeze(daemon, time.Duration(60+random.IntN(190))*time.Millisecond, func() {
			hand.after(time.Duration(20+random.IntN(80))*time.Millisecond, turn)
		})
	}
	turn()
}

// again restarts a daemon as the platform does.
func (h *hand) again(daemon *testfleet.Daemon, wait time.Duration, then func()) {
	h.away[daemon.Name] = true
	asked := time.Now()
	h.run.fleet.Signal(daemon.Name, syscall.SIGTERM)
	h.poll(6*time.Second, func() bool { return !daemon.Running() }, func(held bool) {
		if !held {
			h.run.fleet.Kill(daemon.Name)
			h.run.book.note(func(checker *checker.Checker) {
				checker.Violate("stop", "%s had to be killed %s after TERM", daemon.Name, time.Since(asked).Round(time.Millisecond))
			})
		}
		h.after(wait, func() { h.start(daemon); then() })
	})
}

func strikeAgain(hand *hand, daemon *testfleet.Daemon, fault faults.Fault, end func()) {
	hand.again(daemon, fault.Length/3, end)
}

func (h *hand) inTurn(daemons []*testfleet.Daemon, end func()) {
	if len(daemons) == 0 {
		end()
		return
	}
	daemon := daemons[0]
	if h.away[daemon.Name] || h.frozen[daemon.Name] > 0 {
		h.inTurn(daemons[1:], end)
		return
	}
	h.again(daemon, 300*time.Millisecond, func() {
		h.after(time.Second, func() {
			h.poll(8*time.Second, daemon.Ready, func(bool) { h.inTurn(daemons[1:], end) })
		})
	})
}

// impose puts something on the links or disks of daemons for a while.
func (h *hand) impose(daemons []*testfleet.Daemon, length time.Duration, trial func(daemon *testfleet.Daemon) testfleet.Trial, end func()) {
	h.number++
	number := h.number
	for _, daemon := range daemons {
		if err := h.run.fleet.Impose(daemon.Name, number, trial(daemon)); err != nil {
			panic(err)
		}
	}
	h.after(length, func() {
		for _, daemon := range daemons {
			if err := h.run.fleet.Relieve(daemon.Name, number); err != nil {
				panic(err)
			}
		}
		end()
	})
}

func (h *hand) all(want func(daemon *testfleet.Daemon) bool) []*testfleet.Daemon {
	var found []*testfleet.Daemon
	for _, name := range h.run.fleet.Names() {
		if daemon := h.run.fleet.Daemons[name]; want(daemon) {
			found = append(found, daemon)
		}
	}
	return found
}

// agentOf is the agent on a gateway's machine.
func (h *hand) agentOf(gateway *testfleet.Daemon) *testfleet.Daemon {
	return h.run.fleet.Daemons[membership.KindAgent+strings.TrimPrefix(gateway.Name, membership.KindGateway)]
}

// strangers are the addresses of all daemons but one and its machine's other.
func (h *hand) strangers(daemon *testfleet.Daemon) []string {
	var addresses []string
	for _, other := range h.all(func(other *testfleet.Daemon) bool { return other != daemon && !beside(other, daemon) }) {
		addresses = append(addresses, other.Address)
	}
	return addresses
}

func beside(left, right *testfleet.Daemon) bool {
	number := func(daemon *testfleet.Daemon) string { return strings.TrimPrefix(daemon.Name, daemon.Kind) }
	onMachine := func(daemon *testfleet.Daemon) bool {
		return daemon.Kind == membership.KindGateway || daemon.Kind == membership.KindAgent
	}
	return left != right && onMachine(left) && onMachine(right) && number(left) == number(right)
}

func join(kind string) bringer {
	return func(hand *hand, _ faults.Fault, end func()) {
		newcomer, found := hand.run.fleet.Spare(kind)
		if !found {
			fmt.Println("    no machine is left to join")
			end()
			return
		}
		fmt.Printf("    %s\n", newcomer.Name)
		hand.start(newcomer)
		if kind == membership.KindGateway {
			hand.start(hand.agentOf(newcomer))
		}
		hand.poll(12*time.Second, newcomer.Ready, func(held bool) {
			if !held {
				hand.run.book.note(func(book *checker.Checker) { book.Violate(checker.NotBack, "%s has not joined in 12 s", newcomer.Name) })
			}
			end()
		})
	}
}

func (h *hand) wish(wished wish) { h.operator.wishes <- wished }

func (h *hand) place(pick uint64) int { return int(pick % uint64(h.run.fleet.Deployment.Places)) }

var brought = map[string]bringer{
	"kill-gateway":       on(membership.KindGateway, strikeDead),
	"kill-agent":         on(membership.KindAgent, strikeDead),
	"kill-store":         on(membership.KindStore, strikeDead),
	"kill-controller":    on(membership.KindController, strikeDead),
	"kill-primary":       on("primary", strikeDead),
	"kill-backup":        on("backup", strikeDead),
	"wipe-store":         on(membership.KindStore, strikeDead),
	"wipe-controller":    on(membership.KindController, strikeDead),
	"freeze-gateway":     on(membership.KindGateway, strikeFrozen),
	"freeze-agent":       on(membership.KindAgent, strikeFrozen),
	"freeze-store":       on(membership.KindStore, strikeFrozen),
	"freeze-controller":  on(membership.KindController, strikeFrozen),
	"freeze-primary":     on("primary", strikeFrozen),
	"restart-gateway":    on(membership.KindGateway, strikeAgain),
	"restart-store":      on(membership.KindStore, strikeAgain),
	"restart-controller": on(membership.KindController, strikeAgain),
	"slow-daemon":        on("", strikeSlow),
	"join-gateway":       join(membership.KindGateway),
	"join-store":         join(membership.KindStore),
	"join-controller":    join(membership.KindController),
	"restart-beside": on(membership.KindGateway, func(hand *hand, daemon *testfleet.Daemon, fault faults.Fault, end func()) {
		agent := hand.agentOf(daemon)
		if hand.frozen[agent.Name] == 0 && !hand.away[agent.Name] {
			hand.again(agent, fault.Length/4, func() {})
		}
		hand.again(daemon, fault.Length/3, end)
	}),
	"restart-stores": func(hand *hand, _ faults.Fault, end func()) {
		hand.inTurn(hand.run.fleet.OfKind(membership.KindStore), end)
	},
	"rolling": func(hand *hand, fault faults.Fault, end func()) {
		kinds := []string{membership.KindController, membership.KindStore, membership.KindAgent, membership.KindGateway}
		hand.inTurn(hand.run.fleet.OfKind(kinds[fault.Pick%4]), end)
	},
	"slow-disk": func(hand *hand, fault faults.Fault, end func()) {
		kind := membership.KindStore
		if fault.Pick%3 == 0 {
			kind = membership.KindController
		}
		daemon := hand.choose(kind, fault.Pick)
		if daemon == nil {
			end()
			return
		}
		hand.impose([]*testfleet.Daemon{daemon}, fault.Length, func(*testfleet.Daemon) testfleet.Trial { return testfleet.Trial{Disk: "150ms"} }, end)
	},
	"power-loss": func(hand *hand, fault faults.Fault, end func()) {
		for _, daemon := range hand.run.fleet.OfKind(membership.KindStore) {
			if daemon.Running() {
				hand.kill(daemon)
				hand.after(fault.Length, func() { hand.start(daemon) })
			}
		}
		hand.after(fault.Length+100*time.Millisecond, end)
	},
	"lose-place": func(hand *hand, fault faults.Fault, end func()) {
		place := testfleet.Place(hand.place(fault.Pick))
		for _, daemon := range hand.all(func(daemon *testfleet.Daemon) bool { return daemon.Zone == place && daemon.Running() }) {
			hand.kill(daemon)
			hand.after(fault.Length, func() { hand.start(daemon) })
		}
		hand.after(fault.Length+100*time.Millisecond, end)
	},
	"cut-daemon": on("", func(hand *hand, daemon *testfleet.Daemon, fault faults.Fault, end func()) {
		machine := hand.all(func(other *testfleet.Daemon) bool { return other == daemon || beside(other, daemon) })
		hand.impose(machine, fault.Length, func(*testfleet.Daemon) testfleet.Trial { return testfleet.Trial{Cuts: hand.strangers(daemon)} }, end)
	}),
	"cut-one-way": on("", func(hand *hand, daemon *testfleet.Daemon, fault faults.Fault, end func()) {
		hand.impose([]*testfleet.Daemon{daemon}, fault.Length, func(*testfleet.Daemon) testfleet.Trial {
			if fault.Pick%2 == 0 {
				return testfleet.Trial{Mutes: hand.strangers(daemon)}
			}
			return testfleet.Trial{Deaf: hand.strangers(daemon)}
		}, end)
	}),
	"cut-place": func(hand *hand, fault faults.Fault, end func()) {
		place := hand.place(fault.Pick)
		var others []string
		for other := range hand.run.fleet.Deployment.Places {
			if other != place {
				others = append(others, testfleet.Prefix(other))
			}
		}
		inside := hand.all(func(daemon *testfleet.Daemon) bool { return daemon.Zone == testfleet.Place(place) })
		hand.impose(inside, fault.Length, func(*testfleet.Daemon) testfleet.Trial { return testfleet.Trial{Cuts: others} }, end)
	},
	"cut-primary": on("primary", func(hand *hand, daemon *testfleet.Daemon, fault faults.Fault, end func()) {
		var others []string
		for _, controller := range hand.run.fleet.OfKind(membership.KindController) {
			if controller != daemon {
				others = append(others, controller.Address)
			}
		}
		hand.impose([]*testfleet.Daemon{daemon}, fault.Length+3*time.Second, func(*testfleet.Daemon) testfleet.Trial { return testfleet.Trial{Cuts: others} }, end)
	}),
	"loss": func(hand *hand, fault faults.Fault, end func()) {
		hand.impose(hand.all(everyone), fault.Length, func(*testfleet.Daemon) testfleet.Trial {
			return testfleet.Trial{Loss: map[string]float64{"127.": 0.1}}
		}, end)
	},
	"slow-links": func(hand *hand, fault faults.Fault, end func()) {
		hand.impose(hand.all(everyone), fault.Length, func(daemon *testfleet.Daemon) testfleet.Trial {
			delays := map[string]string{}
			for place := range hand.run.fleet.Deployment.Places {
				if testfleet.Place(place) != daemon.Zone {
					delays[testfleet.Prefix(place)] = "40ms"
				}
			}
			return testfleet.Trial{Delays: delays}
		}, end)
	},
	"relink": func(hand *hand, fault faults.Fault, end func()) {
		hand.impose(hand.all(everyone), min(fault.Length, 300*time.Millisecond), func(daemon *testfleet.Daemon) testfleet.Trial {
			return testfleet.Trial{Mutes: hand.strangers(daemon)}
		}, end)
	},
	"resets": func(hand *hand, fault faults.Fault, end func()) {
		random := rand.New(rand.NewPCG(fault.Pick, 2))
		for _, origin := range hand.run.origins {
			if random.IntN(10) > 0 {
				origin.reset()
			}
		}
		hand.after(fault.Length, end)
	},
	"vanish": func(hand *hand, fault faults.Fault, end func()) {
		for turn := range 5 {
			origin := hand.run.origins[(fault.Pick+uint64(turn)*97)%uint64(len(hand.run.origins))]
			origin.awayUntil.Store(time.Now().Add(fault.Length * 4).UnixNano())
			origin.reset()
		}
		hand.after(fault.Length*4, end)
	},
	"wander": func(hand *hand, fault faults.Fault, end func()) {
		for turn := range 40 {
			origin := hand.run.origins[(fault.Pick+uint64(turn)*31)%uint64(len(hand.run.origins))]
			place := testfleet.Place(hand.place(fault.Pick + uint64(turn)))
			origin.zone.Store(&place)
			origin.reset()
		}
		hand.after(fault.Length, end)
	},
	"crowd": func(hand *hand, fault faults.Fault, end func()) {
		hand.number++
		var crowd []*trialOrigin
		for number := range 150 {
			place := hand.place(fault.Pick)
			if number%2 == 0 {
				place = number % hand.run.fleet.Deployment.Places
			}
			origin := hand.run.newOrigin(fmt.Sprintf("crowd-%d-%d", hand.number, number), place, uint64(hand.number*1000+number))
			origin.interests = []checker.Interest{{Space: "boards", Path: keptTopic(origin.random.IntN(keptTopics))}}
			crowd = append(crowd, origin)
			go origin.live()
		}
		hand.after(fault.Length+4*time.Second, func() {
			for _, origin := range crowd {
				origin.leave()
			}
			end()
		})
	},
	"operators": func(hand *hand, fault faults.Fault, end func()) {
		for range 2 {
			hand.wish(func(operator *operator) { operator.race() })
		}
		hand.after(fault.Length, end)
	},
	"space": func(hand *hand, fault faults.Fault, end func()) {
		hand.number++
		name := fmt.Sprintf("brief-%d", hand.number)
		users := make(chan *trialOrigin, 4)
		hand.wish(addSpace(name, func() {
			for number := range 4 {
				user := hand.run.newOrigin(fmt.Sprintf("%s-%d", name, number), number%hand.run.fleet.Deployment.Places, uint64(number))
				user.interests = []checker.Interest{{Space: name, Wide: true}}
				user.brief = name
				users <- user
				go user.live()
				user.start()
			}
		}))
		hand.after(3*time.Second+fault.Length, func() {
			hand.wish(removeSpace(name))
			hand.after(8*time.Second, func() {
				for len(users) > 0 {
					(<-users).leave()
				}
				end()
			})
		})
	},
	"drain": on(membership.KindGateway, func(hand *hand, daemon *testfleet.Daemon, fault faults.Fault, end func()) {
		hand.wish(drain(daemon.Name))
		hand.after(fault.Length+5*time.Second, func() {
			hand.wish(drain())
			hand.after(time.Second, end)
		})
	}),
	"edit-settings": on("", func(hand *hand, daemon *testfleet.Daemon, fault faults.Fault, end func()) {
		text := daemon.Settings()
		edits := []string{text[:len(text)/2], "", strings.Replace(text, daemon.Name, "another-name", 1), strings.Replace(text, daemon.Zone, "zone-z", 1)}
		if fault.Pick%5 == 4 {
			_ = hand.run.fleet.Vanish(daemon.Name)
		} else {
			_ = hand.run.fleet.Edit(daemon.Name, []byte(edits[fault.Pick%5]))
		}
		if fault.Pick%2 == 0 {
			hand.run.fleet.Signal(daemon.Name, syscall.SIGHUP)
		}
		hand.after(fault.Length, func() {
			_ = hand.run.fleet.Restore(daemon.Name)
			hand.run.fleet.Signal(daemon.Name, syscall.SIGHUP)
			end()
		})
	}),
	"retire": on(membership.KindStore, func(hand *hand, daemon *testfleet.Daemon, fault faults.Fault, end func()) {
		hand.retire(daemon, fault.Length, end)
	}),
}

func everyone(*testfleet.Daemon) bool { return true }

// retire retires a store through any daemon; then its disk is lost.
func (h *hand) retire(daemon *testfleet.Daemon, length time.Duration, end func()) {
	random := rand.New(rand.NewPCG(uint64(length), 3))
	refused := false
	ask := func(method, verb string) bool {
		status, text := h.operator.control(random, method, "/v1/stores/"+daemon.Name+verb, "")
		refused = status == 409
		var value struct {
			Retired bool `json:"retired"`
		}
		return status < 300 && status > 0 && json.Unmarshal(text, &value) == nil && (value.Retired || method == "POST")
	}
	h.poll(40*time.Second, func() bool { return ask("POST", "/retire") || refused }, func(bool) {
		if refused {
			fmt.Println("    refused for want of other stores")
			end()
			return
		}
		h.poll(40*time.Second, func() bool { return ask("GET", "") }, func(held bool) {
			if !held {
				h.run.book.note(func(checker *checker.Checker) { checker.Violate("retire", "%s was not retired in 40 s", daemon.Name) })
			}
			h.kill(daemon)
			if held {
				_ = h.run.fleet.Wipe(daemon.Name)
			}
			h.after(length, func() { h.start(daemon); end() })
		})
	})
}

// last brings the fault about that stays, and measures until service is back.
func (h *hand) last(name string) {
	random := rand.New(rand.NewPCG(h.run.trial.seed, 0x1a57))
	if name == "draw" {
		name = faults.Last[random.IntN(len(faults.Last))]
	}
	h.run.calm.Store(0)
	from := time.Now()
	var lost []string
	strike := func(daemon *testfleet.Daemon) {
		if daemon != nil {
			lost = append(lost, daemon.Name)
			h.kill(daemon)
		}
	}
	primary, backup := h.roles()
	switch name {
	case "kill-gateway", "kill-store", "kill-agent":
		strike(h.choose(strings.TrimPrefix(name, "kill-"), random.Uint64()))
	case "kill-primary":
		strike(primary)
	case "kill-backup":
		strike(backup)
	case "lose-place":
		place := testfleet.Place(random.IntN(h.run.fleet.Deployment.Places))
		for _, daemon := range h.all(func(daemon *testfleet.Daemon) bool { return daemon.Zone == place && daemon.Running() }) {
			strike(daemon)
		}
	case "lose-two":
		kinds := []string{membership.KindGateway, membership.KindStore, membership.KindController, membership.KindAgent}
		first := random.IntN(len(kinds))
		strike(h.choose(kinds[first], random.Uint64()))
		strike(h.choose(kinds[(first+1+random.IntN(3))%4], random.Uint64()))
	case "restart-all":
		for _, daemon := range h.all((*testfleet.Daemon).Running) {
			h.kill(daemon)
			h.after(time.Duration(300+random.IntN(1200))*time.Millisecond, func() { h.start(daemon) })
		}
	}
	fmt.Printf("last fault: %s %v\n", name, lost)
	gone := slices.Clone(lost)
	for _, each := range lost {
		if daemon := h.run.fleet.Daemons[each]; daemon.Kind == membership.KindAgent {
			gone = append(gone, membership.KindGateway+strings.TrimPrefix(each, membership.KindAgent))
		}
	}
	h.run.gone.Store(&gone)
	prober := h.run.newOrigin("prober", 0, 77)
	var refilled, callers time.Duration
	h.until(2*checker.BackWithin, func() bool {
		after := time.Since(from)
		if refilled == 0 && after > 300*time.Millisecond && prober.probe() {
			refilled = after
		}
		switch missing := h.run.missing(); {
		case missing > 0:
			callers = 0
		case callers == 0:
			callers = after
		}
		return refilled > 0 && callers > 0 && after-max(refilled, callers) > holdsFor
	})
	back := max(refilled, callers)
	if refilled == 0 || callers == 0 {
		back = 2 * checker.BackWithin
	}
	noticed, decided, complete := h.run.parts(from)
	fmt.Printf("service is back %s after %s: noticed %s, decided %s, partitions whole %s, kept again %s, last caller %s\n", back.Round(time.Millisecond), name,
		noticed.Round(time.Millisecond), decided.Round(time.Millisecond), complete.Round(time.Millisecond), refilled.Round(time.Millisecond), callers.Round(time.Millisecond))
	h.run.book.note(func(checker *checker.Checker) { checker.Served(name, back) })
	h.run.calm.Store(time.Now().UnixNano())
	h.until(checker.TroubleFor+3*time.Second, func() bool { return false })
}

// parts reads from the daemons' logs when a failure was noticed, decided upon
// and mended.
func (tr *trialRun) parts(from time.Time) (noticed, decided, complete time.Duration) {
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
