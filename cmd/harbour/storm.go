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

	"dahlialock/internal/beacon"
	"dahlialock/internal/fleet"
	"dahlialock/internal/foghorn"
	"dahlialock/internal/oracle"
	"dahlialock/internal/squall"
)

// draw makes the list of faults that a trial was asked for.
func (trial *trial) draw() ([]squall.Fault, error) {
	if trial.last != "" && trial.last != "draw" && !slices.Contains(squall.Last, trial.last) {
		return nil, squall.ErrorList.New("%q is not a last fault", trial.last)
	}
	if trial.plot != "" {
		return squall.Parse(trial.plot)
	}
	if trial.faults == "" {
		return nil, nil
	}
	random := rand.New(rand.NewPCG(trial.seed, 0x57a1))
	names := strings.Split(trial.faults, ",")
	switch trial.faults {
	case "all":
		names = squall.Names
	case "pair":
		names = []string{squall.Names[random.IntN(len(squall.Names))], squall.Names[random.IntN(len(squall.Names))]}
	}
	for _, name := range names {
		if !slices.Contains(squall.Names, name) {
			return nil, squall.ErrorList.New("%q is not a fault", name)
		}
	}
	count := trial.count
	if count == 0 {
		count = max(1, int(trial.length/(8*time.Second)))
	}
	return squall.Draw(random, names, trial.length*9/10, count), nil
}

// holdsFor is how long service must have held before it counts as back: a
// lantern that lost its tender lets its origins go only after some seconds.
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

func (hand *hand) after(wait time.Duration, do func()) {
	hand.queue = append(hand.queue, due{at: time.Now().Add(wait), do: do})
}

// until does what is due until a condition holds or a limit has passed.
func (hand *hand) until(limit time.Duration, holds func() bool) bool {
	end := time.Now().Add(limit)
	for !holds() {
		if time.Now().After(end) {
			return false
		}
		sort.SliceStable(hand.queue, func(left, right int) bool { return hand.queue[left].at.Before(hand.queue[right].at) })
		if len(hand.queue) > 0 && !time.Now().Before(hand.queue[0].at) {
			next := hand.queue[0]
			hand.queue = hand.queue[1:]
			next.do()
			continue
		}
		time.Sleep(5 * time.Millisecond)
	}
	return true
}

// poll looks now and then until something holds, or a limit has passed, and then
// goes on with whether it does.
func (hand *hand) poll(limit time.Duration, holds func() bool, then func(held bool)) {
	end := time.Now().Add(limit)
	var look func()
	look = func() {
		held := holds()
		if held || time.Now().After(end) {
			then(held)
			return
		}
		hand.after(50*time.Millisecond, look)
	}
	look()
}

func (hand *hand) left(name string) bool {
	return hand.run.gone.Load() != nil && slices.Contains(*hand.run.gone.Load(), name)
}

// storm brings a list of faults about, and then waits for their end and for the
// calm in which nothing may be amiss.
func (hand *hand) storm(storm []squall.Fault, length time.Duration) {
	hand.frozen, hand.away = map[string]int{}, map[string]bool{}
	if len(storm) > 0 {
		fmt.Printf("storm: %s\n", squall.Format(storm))
	}
	for _, fault := range storm {
		hand.after(fault.Start, func() { hand.bring(fault) })
	}
	hand.until(length, func() bool { return false })
	if len(storm) == 0 {
		return
	}
	if !hand.until(3*time.Minute, func() bool { return hand.open == 0 }) {
		hand.run.book.note(func(book *oracle.Oracle) { book.Violate(oracle.NotBack, "a fault has not come to its end") })
	}
	hand.until(oracle.TroubleFor+5*time.Second, func() bool { return false })
}

func (hand *hand) bring(fault squall.Fault) {
	hand.open++
	hand.run.calm.Store(0)
	fmt.Printf("  fault: %s\n", fault)
	ended := false
	end := func() {
		if ended {
			return
		}
		ended = true
		if hand.open--; hand.open == 0 {
			hand.run.calm.Store(time.Now().UnixNano())
		}
	}
	brought[fault.Name](hand, fault, end)
}

func (hand *hand) choose(kind string, pick uint64) *fleet.Daemon {
	var up []*fleet.Daemon
	for _, name := range hand.run.fleet.Names() {
		daemon := hand.run.fleet.Daemons[name]
		if (kind == "" || daemon.Kind == kind) && daemon.Running() && hand.frozen[name] == 0 && !hand.away[name] {
			up = append(up, daemon)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[pick%uint64(len(up))]
}

// roles finds the pilots that are primary and backup.
func (hand *hand) roles() (primary, backup *fleet.Daemon) {
	for _, daemon := range hand.run.fleet.OfKind(beacon.KindPilot) {
		if hand.frozen[daemon.Name] > 0 || !daemon.Running() {
			continue
		}
		self, fault := daemon.Self()
		if fault != nil || within(self, "counters", "holds_tenure") != true {
			continue
		}
		backups, _ := within(self, "counters", "backups").([]any)
		if len(backups) == 0 {
			return daemon, nil
		}
		name, _ := backups[0].(string)
		return daemon, hand.run.fleet.Daemons[name]
	}
	return nil, nil
}

type bringer func(hand *hand, fault squall.Fault, end func())

func on(kind string, strike func(hand *hand, daemon *fleet.Daemon, fault squall.Fault, end func())) bringer {
	return func(hand *hand, fault squall.Fault, end func()) {
		var daemon *fleet.Daemon
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
func (hand *hand) start(daemon *fleet.Daemon) {
	delete(hand.away, daemon.Name)
	if !daemon.Running() {
		if fault := hand.run.fleet.Start(daemon.Name); fault != nil {
			panic(fault)
		}
	}
}

func (hand *hand) kill(daemon *fleet.Daemon) {
	hand.away[daemon.Name] = true
	delete(hand.frozen, daemon.Name)
	hand.run.fleet.Kill(daemon.Name)
}

func strikeDead(hand *hand, daemon *fleet.Daemon, fault squall.Fault, end func()) {
	hand.kill(daemon)
	if squall.Wiping(fault.Name) {
		_ = hand.run.fleet.Wipe(daemon.Name)
	}
	hand.after(fault.Length, func() { hand.start(daemon); end() })
}

func (hand *hand) freeze(daemon *fleet.Daemon, length time.Duration, then func()) {
	hand.frozen[daemon.Name]++
	hand.run.fleet.Signal(daemon.Name, syscall.SIGSTOP)
	hand.after(length, func() {
		if hand.frozen[daemon.Name]--; hand.frozen[daemon.Name] <= 0 {
			delete(hand.frozen, daemon.Name)
		}
		hand.run.fleet.Signal(daemon.Name, syscall.SIGCONT)
		then()
	})
}

func strikeFrozen(hand *hand, daemon *fleet.Daemon, fault squall.Fault, end func()) {
	hand.freeze(daemon, fault.Length, end)
}

func strikeSlow(hand *hand, daemon *fleet.Daemon, fault squall.Fault, end func()) {
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
func (hand *hand) again(daemon *fleet.Daemon, wait time.Duration, then func()) {
	hand.away[daemon.Name] = true
	asked := time.Now()
	hand.run.fleet.Signal(daemon.Name, syscall.SIGTERM)
	hand.poll(6*time.Second, func() bool { return !daemon.Running() }, func(held bool) {
		if !held {
			hand.run.fleet.Kill(daemon.Name)
			hand.run.book.note(func(oracle *oracle.Oracle) {
				oracle.Violate("stop", "%s had to be killed %s after TERM", daemon.Name, time.Since(asked).Round(time.Millisecond))
			})
		}
		hand.after(wait, func() { hand.start(daemon); then() })
	})
}

func strikeAgain(hand *hand, daemon *fleet.Daemon, fault squall.Fault, end func()) {
	hand.again(daemon, fault.Length/3, end)
}

func (hand *hand) inTurn(daemons []*fleet.Daemon, end func()) {
	if len(daemons) == 0 {
		end()
		return
	}
	daemon := daemons[0]
	if hand.away[daemon.Name] || hand.frozen[daemon.Name] > 0 {
		hand.inTurn(daemons[1:], end)
		return
	}
	hand.again(daemon, 300*time.Millisecond, func() {
		hand.after(time.Second, func() {
			hand.poll(8*time.Second, daemon.Ready, func(bool) { hand.inTurn(daemons[1:], end) })
		})
	})
}

// impose puts something on the links or disks of daemons for a while.
func (hand *hand) impose(daemons []*fleet.Daemon, length time.Duration, trial func(daemon *fleet.Daemon) fleet.Trial, end func()) {
	hand.number++
	number := hand.number
	for _, daemon := range daemons {
		if fault := hand.run.fleet.Impose(daemon.Name, number, trial(daemon)); fault != nil {
			panic(fault)
		}
	}
	hand.after(length, func() {
		for _, daemon := range daemons {
			if fault := hand.run.fleet.Relieve(daemon.Name, number); fault != nil {
				panic(fault)
			}
		}
		end()
	})
}

func (hand *hand) all(want func(daemon *fleet.Daemon) bool) []*fleet.Daemon {
	var found []*fleet.Daemon
	for _, name := range hand.run.fleet.Names() {
		if daemon := hand.run.fleet.Daemons[name]; want(daemon) {
			found = append(found, daemon)
		}
	}
	return found
}

// tenderOf is the tender on a lantern's machine.
func (hand *hand) tenderOf(lantern *fleet.Daemon) *fleet.Daemon {
	return hand.run.fleet.Daemons[beacon.KindTender+strings.TrimPrefix(lantern.Name, beacon.KindLantern)]
}

// strangers are the addresses of all daemons but one and its machine's other.
func (hand *hand) strangers(daemon *fleet.Daemon) []string {
	var addresses []string
	for _, other := range hand.all(func(other *fleet.Daemon) bool { return other != daemon && !beside(other, daemon) }) {
		addresses = append(addresses, other.Address)
	}
	return addresses
}

func beside(left, right *fleet.Daemon) bool {
	number := func(daemon *fleet.Daemon) string { return strings.TrimPrefix(daemon.Name, daemon.Kind) }
	onMachine := func(daemon *fleet.Daemon) bool {
		return daemon.Kind == beacon.KindLantern || daemon.Kind == beacon.KindTender
	}
	return left != right && onMachine(left) && onMachine(right) && number(left) == number(right)
}

func join(kind string) bringer {
	return func(hand *hand, _ squall.Fault, end func()) {
		newcomer, found := hand.run.fleet.Spare(kind)
		if !found {
			fmt.Println("    no machine is left to join")
			end()
			return
		}
		fmt.Printf("    %s\n", newcomer.Name)
		hand.start(newcomer)
		if kind == beacon.KindLantern {
			hand.start(hand.tenderOf(newcomer))
		}
		hand.poll(12*time.Second, newcomer.Ready, func(held bool) {
			if !held {
				hand.run.book.note(func(book *oracle.Oracle) { book.Violate(oracle.NotBack, "%s has not joined in 12 s", newcomer.Name) })
			}
			end()
		})
	}
}

func (hand *hand) wish(wished wish) { hand.operator.wishes <- wished }

func (hand *hand) place(pick uint64) int { return int(pick % uint64(hand.run.fleet.Deployment.Places)) }

var brought = map[string]bringer{
	"kill-lantern":    on(beacon.KindLantern, strikeDead),
	"kill-tender":     on(beacon.KindTender, strikeDead),
	"kill-keeper":     on(beacon.KindKeeper, strikeDead),
	"kill-pilot":      on(beacon.KindPilot, strikeDead),
	"kill-primary":    on("primary", strikeDead),
	"kill-backup":     on("backup", strikeDead),
	"wipe-keeper":     on(beacon.KindKeeper, strikeDead),
	"wipe-pilot":      on(beacon.KindPilot, strikeDead),
	"freeze-lantern":  on(beacon.KindLantern, strikeFrozen),
	"freeze-tender":   on(beacon.KindTender, strikeFrozen),
	"freeze-keeper":   on(beacon.KindKeeper, strikeFrozen),
	"freeze-pilot":    on(beacon.KindPilot, strikeFrozen),
	"freeze-primary":  on("primary", strikeFrozen),
	"restart-lantern": on(beacon.KindLantern, strikeAgain),
	"restart-keeper":  on(beacon.KindKeeper, strikeAgain),
	"restart-pilot":   on(beacon.KindPilot, strikeAgain),
	"slow-daemon":     on("", strikeSlow),
	"join-lantern":    join(beacon.KindLantern),
	"join-keeper":     join(beacon.KindKeeper),
	"join-pilot":      join(beacon.KindPilot),
	"restart-beside": on(beacon.KindLantern, func(hand *hand, daemon *fleet.Daemon, fault squall.Fault, end func()) {
		tender := hand.tenderOf(daemon)
		if hand.frozen[tender.Name] == 0 && !hand.away[tender.Name] {
			hand.again(tender, fault.Length/4, func() {})
		}
		hand.again(daemon, fault.Length/3, end)
	}),
	"restart-keepers": func(hand *hand, _ squall.Fault, end func()) {
		hand.inTurn(hand.run.fleet.OfKind(beacon.KindKeeper), end)
	},
	"rolling": func(hand *hand, fault squall.Fault, end func()) {
		kinds := []string{beacon.KindPilot, beacon.KindKeeper, beacon.KindTender, beacon.KindLantern}
		hand.inTurn(hand.run.fleet.OfKind(kinds[fault.Pick%4]), end)
	},
	"slow-disk": func(hand *hand, fault squall.Fault, end func()) {
		kind := beacon.KindKeeper
		if fault.Pick%3 == 0 {
			kind = beacon.KindPilot
		}
		daemon := hand.choose(kind, fault.Pick)
		if daemon == nil {
			end()
			return
		}
		hand.impose([]*fleet.Daemon{daemon}, fault.Length, func(*fleet.Daemon) fleet.Trial { return fleet.Trial{Disk: "150ms"} }, end)
	},
	"power-loss": func(hand *hand, fault squall.Fault, end func()) {
		for _, daemon := range hand.run.fleet.OfKind(beacon.KindKeeper) {
			if daemon.Running() {
				hand.kill(daemon)
				hand.after(fault.Length, func() { hand.start(daemon) })
			}
		}
		hand.after(fault.Length+100*time.Millisecond, end)
	},
	"lose-place": func(hand *hand, fault squall.Fault, end func()) {
		place := fleet.Place(hand.place(fault.Pick))
		for _, daemon := range hand.all(func(daemon *fleet.Daemon) bool { return daemon.Locality == place && daemon.Running() }) {
			hand.kill(daemon)
			hand.after(fault.Length, func() { hand.start(daemon) })
		}
		hand.after(fault.Length+100*time.Millisecond, end)
	},
	"cut-daemon": on("", func(hand *hand, daemon *fleet.Daemon, fault squall.Fault, end func()) {
		machine := hand.all(func(other *fleet.Daemon) bool { return other == daemon || beside(other, daemon) })
		hand.impose(machine, fault.Length, func(*fleet.Daemon) fleet.Trial { return fleet.Trial{Cuts: hand.strangers(daemon)} }, end)
	}),
	"cut-one-way": on("", func(hand *hand, daemon *fleet.Daemon, fault squall.Fault, end func()) {
		hand.impose([]*fleet.Daemon{daemon}, fault.Length, func(*fleet.Daemon) fleet.Trial {
			if fault.Pick%2 == 0 {
				return fleet.Trial{Mutes: hand.strangers(daemon)}
			}
			return fleet.Trial{Deaf: hand.strangers(daemon)}
		}, end)
	}),
	"cut-place": func(hand *hand, fault squall.Fault, end func()) {
		place := hand.place(fault.Pick)
		var others []string
		for other := range hand.run.fleet.Deployment.Places {
			if other != place {
				others = append(others, fleet.Prefix(other))
			}
		}
		inside := hand.all(func(daemon *fleet.Daemon) bool { return daemon.Locality == fleet.Place(place) })
		hand.impose(inside, fault.Length, func(*fleet.Daemon) fleet.Trial { return fleet.Trial{Cuts: others} }, end)
	},
	"cut-primary": on("primary", func(hand *hand, daemon *fleet.Daemon, fault squall.Fault, end func()) {
		var others []string
		for _, pilot := range hand.run.fleet.OfKind(beacon.KindPilot) {
			if pilot != daemon {
				others = append(others, pilot.Address)
			}
		}
		hand.impose([]*fleet.Daemon{daemon}, fault.Length+3*time.Second, func(*fleet.Daemon) fleet.Trial { return fleet.Trial{Cuts: others} }, end)
	}),
	"loss": func(hand *hand, fault squall.Fault, end func()) {
		hand.impose(hand.all(everyone), fault.Length, func(*fleet.Daemon) fleet.Trial {
			return fleet.Trial{Loss: map[string]float64{"127.": 0.1}}
		}, end)
	},
	"slow-links": func(hand *hand, fault squall.Fault, end func()) {
		hand.impose(hand.all(everyone), fault.Length, func(daemon *fleet.Daemon) fleet.Trial {
			delays := map[string]string{}
			for place := range hand.run.fleet.Deployment.Places {
				if fleet.Place(place) != daemon.Locality {
					delays[fleet.Prefix(place)] = "40ms"
				}
			}
			return fleet.Trial{Delays: delays}
		}, end)
	},
	"relink": func(hand *hand, fault squall.Fault, end func()) {
		hand.impose(hand.all(everyone), min(fault.Length, 300*time.Millisecond), func(daemon *fleet.Daemon) fleet.Trial {
			return fleet.Trial{Mutes: hand.strangers(daemon)}
		}, end)
	},
	"resets": func(hand *hand, fault squall.Fault, end func()) {
		random := rand.New(rand.NewPCG(fault.Pick, 2))
		for _, origin := range hand.run.origins {
			if random.IntN(10) > 0 {
				origin.reset()
			}
		}
		hand.after(fault.Length, end)
	},
	"vanish": func(hand *hand, fault squall.Fault, end func()) {
		for turn := range 5 {
			origin := hand.run.origins[(fault.Pick+uint64(turn)*97)%uint64(len(hand.run.origins))]
			origin.awayUntil.Store(time.Now().Add(fault.Length * 4).UnixNano())
			origin.reset()
		}
		hand.after(fault.Length*4, end)
	},
	"wander": func(hand *hand, fault squall.Fault, end func()) {
		for turn := range 40 {
			origin := hand.run.origins[(fault.Pick+uint64(turn)*31)%uint64(len(hand.run.origins))]
			place := fleet.Place(hand.place(fault.Pick + uint64(turn)))
			origin.locality.Store(&place)
			origin.reset()
		}
		hand.after(fault.Length, end)
	},
	"crowd": func(hand *hand, fault squall.Fault, end func()) {
		hand.number++
		var crowd []*trialOrigin
		for number := range 150 {
			place := hand.place(fault.Pick)
			if number%2 == 0 {
				place = number % hand.run.fleet.Deployment.Places
			}
			origin := hand.run.newOrigin(fmt.Sprintf("crowd-%d-%d", hand.number, number), place, uint64(hand.number*1000+number))
			origin.interests = []oracle.Interest{{Space: "boards", Path: keptTopic(origin.random.IntN(keptTopics))}}
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
	"operators": func(hand *hand, fault squall.Fault, end func()) {
		for range 2 {
			hand.wish(func(operator *operator) { operator.race() })
		}
		hand.after(fault.Length, end)
	},
	"space": func(hand *hand, fault squall.Fault, end func()) {
		hand.number++
		name := fmt.Sprintf("brief-%d", hand.number)
		users := make(chan *trialOrigin, 4)
		hand.wish(addSpace(name, func() {
			for number := range 4 {
				user := hand.run.newOrigin(fmt.Sprintf("%s-%d", name, number), number%hand.run.fleet.Deployment.Places, uint64(number))
				user.interests = []oracle.Interest{{Space: name, Wide: true}}
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
	"drain": on(beacon.KindLantern, func(hand *hand, daemon *fleet.Daemon, fault squall.Fault, end func()) {
		hand.wish(drain(daemon.Name))
		hand.after(fault.Length+5*time.Second, func() {
			hand.wish(drain())
			hand.after(time.Second, end)
		})
	}),
	"edit-props": on("", func(hand *hand, daemon *fleet.Daemon, fault squall.Fault, end func()) {
		text := daemon.Settings()
		edits := []string{text[:len(text)/2], "", strings.Replace(text, daemon.Name, "another-name", 1), strings.Replace(text, daemon.Locality, "zone-z", 1)}
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
	"retire": on(beacon.KindKeeper, func(hand *hand, daemon *fleet.Daemon, fault squall.Fault, end func()) {
		hand.retire(daemon, fault.Length, end)
	}),
}

func everyone(*fleet.Daemon) bool { return true }

// retire retires a keeper through any daemon; then its disk is lost.
func (hand *hand) retire(daemon *fleet.Daemon, length time.Duration, end func()) {
	random := rand.New(rand.NewPCG(uint64(length), 3))
	refused := false
	ask := func(method, verb string) bool {
		status, text := hand.operator.control(random, method, "/v1/keepers/"+daemon.Name+verb, "")
		refused = status == 409
		var value struct {
			Retired bool `json:"retired"`
		}
		return status < 300 && status > 0 && json.Unmarshal(text, &value) == nil && (value.Retired || method == "POST")
	}
	hand.poll(40*time.Second, func() bool { return ask("POST", "/retire") || refused }, func(bool) {
		if refused {
			fmt.Println("    refused for want of other keepers")
			end()
			return
		}
		hand.poll(40*time.Second, func() bool { return ask("GET", "") }, func(held bool) {
			if !held {
				hand.run.book.note(func(oracle *oracle.Oracle) { oracle.Violate("retire", "%s was not retired in 40 s", daemon.Name) })
			}
			hand.kill(daemon)
			if held {
				_ = hand.run.fleet.Wipe(daemon.Name)
			}
			hand.after(length, func() { hand.start(daemon); end() })
		})
	})
}

// last brings the fault about that stays, and measures until service is back.
func (hand *hand) last(name string) {
	random := rand.New(rand.NewPCG(hand.run.trial.seed, 0x1a57))
	if name == "draw" {
		name = squall.Last[random.IntN(len(squall.Last))]
	}
	hand.run.calm.Store(0)
	from := time.Now()
	var lost []string
	strike := func(daemon *fleet.Daemon) {
		if daemon != nil {
			lost = append(lost, daemon.Name)
			hand.kill(daemon)
		}
	}
	primary, backup := hand.roles()
	switch name {
	case "kill-lantern", "kill-keeper", "kill-tender":
		strike(hand.choose(strings.TrimPrefix(name, "kill-"), random.Uint64()))
	case "kill-primary":
		strike(primary)
	case "kill-backup":
		strike(backup)
	case "lose-place":
		place := fleet.Place(random.IntN(hand.run.fleet.Deployment.Places))
		for _, daemon := range hand.all(func(daemon *fleet.Daemon) bool { return daemon.Locality == place && daemon.Running() }) {
			strike(daemon)
		}
	case "lose-two":
		kinds := []string{beacon.KindLantern, beacon.KindKeeper, beacon.KindPilot, beacon.KindTender}
		first := random.IntN(len(kinds))
		strike(hand.choose(kinds[first], random.Uint64()))
		strike(hand.choose(kinds[(first+1+random.IntN(3))%4], random.Uint64()))
	case "restart-all":
		for _, daemon := range hand.all((*fleet.Daemon).Running) {
			hand.kill(daemon)
			hand.after(time.Duration(300+random.IntN(1200))*time.Millisecond, func() { hand.start(daemon) })
		}
	}
	fmt.Printf("last fault: %s %v\n", name, lost)
	gone := slices.Clone(lost)
	for _, each := range lost {
		if daemon := hand.run.fleet.Daemons[each]; daemon.Kind == beacon.KindTender {
			gone = append(gone, beacon.KindLantern+strings.TrimPrefix(each, beacon.KindTender))
		}
	}
	hand.run.gone.Store(&gone)
	prober := hand.run.newOrigin("prober", 0, 77)
	var refilled, callers time.Duration
	hand.until(2*oracle.BackWithin, func() bool {
		after := time.Since(from)
		if refilled == 0 && after > 300*time.Millisecond && prober.probe() {
			refilled = after
		}
		switch missing := hand.run.missing(); {
		case missing > 0:
			callers = 0
		case callers == 0:
			callers = after
		}
		return refilled > 0 && callers > 0 && after-max(refilled, callers) > holdsFor
	})
	back := max(refilled, callers)
	if refilled == 0 || callers == 0 {
		back = 2 * oracle.BackWithin
	}
	noticed, decided, complete := hand.run.parts(from)
	fmt.Printf("service is back %s after %s: noticed %s, decided %s, strands whole %s, kept again %s, last caller %s\n", back.Round(time.Millisecond), name,
		noticed.Round(time.Millisecond), decided.Round(time.Millisecond), complete.Round(time.Millisecond), refilled.Round(time.Millisecond), callers.Round(time.Millisecond))
	hand.run.book.note(func(oracle *oracle.Oracle) { oracle.Served(name, back) })
	hand.run.calm.Store(time.Now().UnixNano())
	hand.until(oracle.TroubleFor+3*time.Second, func() bool { return false })
}

// parts reads from the daemons' logs when a failure was noticed, decided upon
// and mended.
func (run *trialRun) parts(from time.Time) (noticed, decided, complete time.Duration) {
	for _, name := range run.fleet.Names() {
		file, fault := os.Open(run.fleet.LogPath(name))
		if fault != nil {
			continue
		}
		lines := bufio.NewScanner(file)
		for lines.Scan() {
			var event struct {
				Number int       `json:"number"`
				Time   time.Time `json:"time"`
			}
			if json.Unmarshal(lines.Bytes(), &event) != nil || event.Time.Before(from) {
				continue
			}
			after := event.Time.Sub(from)
			switch event.Number {
			case foghorn.MemberSuspected, foghorn.TakeoverBegun, foghorn.BackupLost:
				if noticed == 0 || after < noticed {
					noticed = after
				}
			case foghorn.MemberLost, foghorn.EpochDecided, foghorn.PlacementChanged:
				decided = max(decided, after)
			case foghorn.PlacementComplete:
				complete = max(complete, after)
			}
		}
		_ = file.Close()
	}
	return noticed, decided, complete
}
