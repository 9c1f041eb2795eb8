// Churn tests of the cells. Daemons crash and restart under the same names, freeze, are
// partitioned from each other in one or both directions, or are wrongly declared lost;
// frames are lost; views reach each daemon at a different time. Within healedAfter of
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

// healedAfter bounds the time from the last fault until all counts are correct. It
// consists of the delay of the view, a check and the NoticeComplete requested after it,
// a comparison of members after that, and the last changes of counts.
const healedAfter = viewLag + 2*checkInterval + countsDelay + time.Second

const viewLag = 300 * time.Millisecond

// strait is a fleet into which faults are injected.
type strait struct {
	*net
	truth   crowd
	names   []string
	topics  []string
	members map[string]uint64
	life    uint64
	events  []event
}

type event struct {
	at  time.Time
	run func()
}

func newStrait(t *testing.T, seed uint64, count, topics int) *strait {
	names := gatewayNames(count)
	strait := &strait{
		net: newNet(t, seed), truth: newCrowd(names...), names: names, topics: someTopics(topics),
		members: map[string]uint64{}, life: uint64(count),
	}
	strait.cut, strait.frozen = map[[2]string]bool{}, map[string]bool{}
	for position, name := range names {
		strait.come(name, uint64(position+1))
		strait.members[name] = uint64(position + 1)
	}
	strait.tellViews()
	return strait
}

func (s *strait) after(length time.Duration, run func()) {
	s.events = append(s.events, event{s.now.Add(length), run})
}

// sail advances the virtual time and runs the events that are due.
func (s *strait) sail(length time.Duration) {
	until := s.now.Add(length)
	for {
		pick := -1
		for position, each := range s.events {
			if !each.at.After(until) && (pick < 0 || each.at.Before(s.events[pick].at)) {
				pick = position
			}
		}
		if pick < 0 {
			s.run(until.Sub(s.now))
			return
		}
		taken := s.events[pick]
		s.events = slices.Delete(s.events, pick, pick+1)
		if taken.at.After(s.now) {
			s.run(taken.at.Sub(s.now))
		}
		taken.run()
	}
}

// tellViews schedules an update of the view for each daemon, each after a random delay.
func (s *strait) tellViews() {
	for _, name := range s.names {
		s.after(time.Duration(s.random.Int64N(int64(viewLag))), func() { s.tellView(name) })
	}
}

func (s *strait) tellView(name string) {
	part, alive := s.parts[name]
	if !alive || s.frozen[name] {
		return
	}
	others := map[string]Gateway{}
	for other, incarnation := range s.members {
		if other != name {
			others[other] = Gateway{Name: other, Address: other, Joined: incarnation}
		}
	}
	var effects statemachine.Effects
	part.SetView(s.now, others, &effects)
	if incarnation, member := s.members[name]; member {
		part.SetIncarnation(s.now, incarnation, &effects)
	}
	s.carry(name, &effects)
}

func (s *strait) leave(name string) {
	delete(s.members, name)
	s.tellViews()
}

func (s *strait) join(name string) {
	s.life++
	s.members[name] = s.life
	s.tellViews()
}

// fault injects a random fault, and returns its kind and duration.
func (s *strait) fault() (kind string, length time.Duration) {
	name := s.names[s.random.IntN(len(s.names))]
	length = time.Duration(500+s.random.IntN(6000)) * time.Millisecond
	if s.parts[name] == nil || s.frozen[name] {
		return "none", 0
	}
	switch s.random.IntN(6) {
	case 0:
		kind = "kill"
		delete(s.parts, name)
		s.truth[name] = map[string]int{}
		noticed := min(length, time.Duration(s.random.IntN(2000))*time.Millisecond)
		s.after(noticed, func() { s.leave(name) })
		s.after(length, func() {
			s.parts[name] = New(name)
			s.join(name)
		})
	case 1:
		kind = "freeze"
		s.frozen[name] = true
		s.after(length, func() {
			s.frozen[name] = false
			s.thaw(name)
			if _, member := s.members[name]; !member {
				s.join(name)
			}
			s.tellView(name)
		})
		if length > 4*time.Second {
			s.after(4*time.Second, func() { s.leave(name) })
		}
	case 2, 3:
		kind = "cut"
		other := s.names[s.random.IntN(len(s.names))]
		both := s.random.IntN(2) == 0
		s.cut[[2]string{name, other}] = true
		if both {
			s.cut[[2]string{other, name}] = true
		}
		s.after(length, func() {
			delete(s.cut, [2]string{name, other})
			delete(s.cut, [2]string{other, name})
		})
	case 4:
		kind = "loss"
		s.loss = 0.3
		s.after(length, func() { s.loss = 0 })
	default:
		kind = "taken for lost"
		s.leave(name)
		s.after(length, func() { s.join(name) })
	}
	return kind, length
}

// turn changes the subscriber count of a random topic on a random daemon.
func (s *strait) turn() {
	name := s.names[s.random.IntN(len(s.names))]
	if s.parts[name] == nil || s.frozen[name] {
		return
	}
	s.tell(s.truth, name, s.topics[s.random.IntN(len(s.topics))], s.random.IntN(4))
}

// storm runs the churn of a seed. It returns the wrong counts healedAfter the last fault,
// and the faults injected.
func storm(t *testing.T, seed uint64, count int) (wrong []string, faults []string) {
	strait := newStrait(t, seed, count, 60)
	strait.sail(time.Second)
	for range 6 {
		kind, length := strait.fault()
		faults = append(faults, fmt.Sprintf("%s %v", kind, length))
		for range 60 {
			strait.turn()
			strait.sail(time.Duration(strait.random.IntN(50)) * time.Millisecond)
		}
	}
	for len(strait.events) > 0 {
		strait.turn()
		strait.sail(20 * time.Millisecond)
	}
	strait.sail(healedAfter)
	return strait.wrongNotices(strait.truth, strait.topics), faults
}

func TestKnowledgeIsExactAWhileAfterTheLastFault(t *testing.T) {
	for seed := range uint64(60) {
		wrong, faults := storm(t, seed, 4+int(seed%5))
		assert.Assert(t, len(wrong) == 0, "seed %d, %v: %v", seed, faults, wrong)
	}
}

// missing identifies a subscribed daemon that another daemon doesn't know.
type missing struct {
	here, there, topic string
}

// watch records since when subscribed daemons have been unknown to others, and returns
// the longest time.
func (s *strait) watch(since map[missing]time.Time) time.Duration {
	longest := time.Duration(0)
	for name, part := range statemachine.Sorted(s.parts) {
		for _, topic := range s.topics {
			number := config.TopicHash(topic)
			here := part.cellAt(trialPlane, number)
			if here == nil {
				continue
			}
			for other, counts := range s.truth {
				key := missing{name, other, topic}
				known := here.members[other]
				if other == name || counts[topic] == 0 || known != nil && known.counts[number] > 0 {
					delete(since, key)
					continue
				}
				if began, found := since[key]; found {
					longest = max(longest, s.now.Sub(began))
				} else {
					since[key] = s.now
				}
			}
		}
	}
	return longest
}

func TestNoListenerIsMissedForLongWhereNothingFails(t *testing.T) {
	for seed := range uint64(8) {
		strait := newStrait(t, seed, 8, 60)
		since := map[missing]time.Time{}
		starting, later := time.Duration(0), time.Duration(0)
		began := strait.now
		for range 2500 {
			strait.turn()
			strait.sail(time.Duration(strait.random.IntN(4)) * time.Millisecond)
			if longest := strait.watch(since); strait.now.Sub(began) < checkInterval {
				starting = max(starting, longest)
			} else {
				later = max(later, longest)
			}
		}
		// During the start, views differ and all cells are joined at the same time.
		assert.Assert(t, starting <= checkInterval, "seed %d: %v", seed, starting)
		// Later the delay is that of gathering and the pace, or of a join and a
		// NoticeComplete in each direction.
		assert.Assert(t, later <= 2*gatherFor+2*paceEach*8+10*time.Millisecond, "seed %d: %v", seed, later)
		t.Logf("seed %d: %v at first, %v later", seed, starting, later)
	}
}
