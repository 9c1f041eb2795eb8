// Churn tests of the cells. Daemons crash and restart under the same names, freeze, are
// partitioned from each other in one or both directions, or are wrongly declared lost;
// frames are lost; views reach each daemon at a different time. Within recoveryTime of
// the last fault every daemon must know the others' subscribers exactly. Without faults
// no daemon may lack a subscriber for longer than the interval of checks.
package overlay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/config"
	"dahlialock/internal/statemachine"
)

// recoveryTime bounds the time from the last fault until all counts are correct. It
// consists of the delay of the view, a check and the NoticeComplete requested after it,
// a comparison of members after that, and the last changes of counts.
const recoveryTime = viewLag + 2*checkInterval + countsDelay + time.Second

const viewLag = 300 * time.Millisecond

// churnFleet is a fleet into which faults are injected.
type churnFleet struct {
	*network
	expected        subscriberCounts
	names           []string
	topics          []string
	members         map[string]uint64
	lastIncarnation uint64
	events          []event
}

type event struct {
	at  time.Time
	run func()
}

func newChurnFleet(t *testing.T, seed uint64, count, topics int) *churnFleet {
	names := gatewayNames(count)
	fleet := &churnFleet{
		network: newNetwork(t, seed), expected: newSubscriberCounts(names...), names: names, topics: someTopics(topics),
		members: map[string]uint64{}, lastIncarnation: uint64(count),
	}
	fleet.cut, fleet.frozen = map[[2]string]bool{}, map[string]bool{}
	for position, name := range names {
		fleet.start(name, uint64(position+1))
		fleet.members[name] = uint64(position + 1)
	}
	fleet.scheduleViews()
	return fleet
}

// after schedules an event.
func (f *churnFleet) after(length time.Duration, run func()) {
	f.events = append(f.events, event{f.now.Add(length), run})
}

// advance advances the virtual time and runs the events that are due.
func (f *churnFleet) advance(length time.Duration) {
	until := f.now.Add(length)
	for {
		next := -1
		for position, each := range f.events {
			if !each.at.After(until) && (next < 0 || each.at.Before(f.events[next].at)) {
				next = position
			}
		}
		if next < 0 {
			f.run(until.Sub(f.now))
			return
		}
		due := f.events[next]
		f.events = slices.Delete(f.events, next, next+1)
		if due.at.After(f.now) {
			f.run(due.at.Sub(f.now))
		}
		due.run()
	}
}

// scheduleViews schedules an update of the view for each daemon, each after a random
// delay.
func (f *churnFleet) scheduleViews() {
	for _, name := range f.names {
		f.after(time.Duration(f.random.Int64N(int64(viewLag))), func() { f.setView(name) })
	}
}

// setView sets the current view on a daemon.
func (f *churnFleet) setView(name string) {
	overlay, alive := f.overlays[name]
	if !alive || f.frozen[name] {
		return
	}
	others := map[string]Gateway{}
	for other, incarnation := range f.members {
		if other != name {
			others[other] = Gateway{Name: other, Address: other, Joined: incarnation}
		}
	}
	var effects statemachine.Effects
	overlay.SetView(f.now, others, &effects)
	if incarnation, member := f.members[name]; member {
		overlay.SetIncarnation(f.now, incarnation, &effects)
	}
	f.send(name, &effects)
}

// leave removes a daemon from the membership.
func (f *churnFleet) leave(name string) {
	delete(f.members, name)
	f.scheduleViews()
}

// join adds a daemon to the membership with a new incarnation.
func (f *churnFleet) join(name string) {
	f.lastIncarnation++
	f.members[name] = f.lastIncarnation
	f.scheduleViews()
}

// injectFault injects a random fault, and returns its kind and duration.
func (f *churnFleet) injectFault() (kind string, length time.Duration) {
	name := f.names[f.random.IntN(len(f.names))]
	length = time.Duration(500+f.random.IntN(6000)) * time.Millisecond
	if f.overlays[name] == nil || f.frozen[name] {
		return "none", 0
	}
	switch f.random.IntN(6) {
	case 0:
		kind = "kill"
		delete(f.overlays, name)
		f.expected[name] = map[string]int{}
		noticed := min(length, time.Duration(f.random.IntN(2000))*time.Millisecond)
		f.after(noticed, func() { f.leave(name) })
		f.after(length, func() {
			f.overlays[name] = New(name)
			f.join(name)
		})
	case 1:
		kind = "freeze"
		f.frozen[name] = true
		f.after(length, func() {
			f.frozen[name] = false
			f.unfreeze(name)
			if _, member := f.members[name]; !member {
				f.join(name)
			}
			f.setView(name)
		})
		if length > 4*time.Second {
			f.after(4*time.Second, func() { f.leave(name) })
		}
	case 2, 3:
		kind = "cut"
		other := f.names[f.random.IntN(len(f.names))]
		both := f.random.IntN(2) == 0
		f.cut[[2]string{name, other}] = true
		if both {
			f.cut[[2]string{other, name}] = true
		}
		f.after(length, func() {
			delete(f.cut, [2]string{name, other})
			delete(f.cut, [2]string{other, name})
		})
	case 4:
		kind = "loss"
		f.loss = 0.3
		f.after(length, func() { f.loss = 0 })
	default:
		kind = "declared lost"
		f.leave(name)
		f.after(length, func() { f.join(name) })
	}
	return kind, length
}

// changeRandomCount changes the subscriber count of a random topic on a random daemon.
func (f *churnFleet) changeRandomCount() {
	name := f.names[f.random.IntN(len(f.names))]
	if f.overlays[name] == nil || f.frozen[name] {
		return
	}
	f.setSubscribers(f.expected, name, f.topics[f.random.IntN(len(f.topics))], f.random.IntN(4))
}

// runChurn injects the faults of a seed. It returns the counts that are still wrong when
// recoveryTime has passed since the last fault, and the faults.
func runChurn(t *testing.T, seed uint64, count int) (wrong []string, faults []string) {
	fleet := newChurnFleet(t, seed, count, 60)
	fleet.advance(time.Second)
	for range 6 {
		kind, length := fleet.injectFault()
		faults = append(faults, fmt.Sprintf("%s %v", kind, length))
		for range 60 {
			fleet.changeRandomCount()
			fleet.advance(time.Duration(fleet.random.IntN(50)) * time.Millisecond)
		}
	}
	for len(fleet.events) > 0 {
		fleet.changeRandomCount()
		fleet.advance(20 * time.Millisecond)
	}
	fleet.advance(recoveryTime)
	return fleet.wrongCounts(fleet.expected, fleet.topics), faults
}

func TestSubscribersAreExactSoonAfterTheLastFault(t *testing.T) {
	for seed := range uint64(60) {
		wrong, faults := runChurn(t, seed, 4+int(seed%5))
		assert.Assert(t, len(wrong) == 0, "seed %d, %v: %v", seed, faults, wrong)
	}
}

// unknownSubscriber identifies a subscribed daemon that another daemon doesn't know.
type unknownSubscriber struct {
	observer, daemon, topic string
}

// longestUnknown records since when subscribed daemons have been unknown to others, and
// returns the longest time.
func (f *churnFleet) longestUnknown(since map[unknownSubscriber]time.Time) time.Duration {
	longest := time.Duration(0)
	for name, overlay := range statemachine.Sorted(f.overlays) {
		for _, topic := range f.topics {
			number := config.TopicHash(topic)
			cell := overlay.cellAt(testPlane, number)
			if cell == nil {
				continue
			}
			for other, counts := range f.expected {
				key := unknownSubscriber{name, other, topic}
				known := cell.members[other]
				if other == name || counts[topic] == 0 || known != nil && known.counts[number] > 0 {
					delete(since, key)
					continue
				}
				if began, found := since[key]; found {
					longest = max(longest, f.now.Sub(began))
				} else {
					since[key] = f.now
				}
			}
		}
	}
	return longest
}

func TestSubscribersAreKnownSoonWithoutFaults(t *testing.T) {
	for seed := range uint64(8) {
		fleet := newChurnFleet(t, seed, 8, 60)
		since := map[unknownSubscriber]time.Time{}
		starting, later := time.Duration(0), time.Duration(0)
		began := fleet.now
		for range 2500 {
			fleet.changeRandomCount()
			fleet.advance(time.Duration(fleet.random.IntN(4)) * time.Millisecond)
			if longest := fleet.longestUnknown(since); fleet.now.Sub(began) < checkInterval {
				starting = max(starting, longest)
			} else {
				later = max(later, longest)
			}
		}
		// During the start, views differ and all cells are joined at the same time.
		assert.Assert(t, starting <= checkInterval, "seed %d: %v", seed, starting)
		// Later the delay is that of gathering and the pace, or of a join and a
		// NoticeComplete in each direction.
		assert.Assert(t, later <= 2*gatherDelay+2*pausePerGateway*8+10*time.Millisecond, "seed %d: %v", seed, later)
		t.Logf("seed %d: longest time without a subscriber: %v at the start, %v later", seed, starting, later)
	}
}
