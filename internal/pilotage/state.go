// The control state: the configuration in force, the members of the cohort and
// where every strand lives. It changes only by commands, which are applied in
// the same order and with the same result on primary and backup.
package pilotage

import (
	"fmt"
	"slices"
	"time"

	"dahlialock/internal/beacon"
	"dahlialock/internal/chart"
	"dahlialock/internal/flare"
	"dahlialock/internal/helm"
)

// DefaultTolerance is how many keepers may be lost at once if nobody says.
const DefaultTolerance = 1

// Command is one change of the control state.
type Command struct {
	Version  uint64
	Document []byte
	Members  []beacon.Member
	Places   []beacon.Placement
	Settled  []beacon.StrandComplete
	// Tolerance, if given, is how many keepers may be lost at once from now on.
	Tolerance *int
}

// State is the control state itself.
type State struct {
	Index    uint64
	Version  uint64
	Document []byte
	Births   map[string]uint64
	Natures  map[string]string
	Members  map[string]beacon.Member
	Places   map[string]beacon.Placement
	// MemberAt and PlaceAt are the indexes at which each changed last, BirthsAt the
	// one at which the births did, and WholeAt the one at which a place was taken
	// away: who is older than that is told everything anew.
	MemberAt map[string]uint64
	PlaceAt  map[string]uint64
	BirthsAt uint64
	WholeAt  uint64
	// Shared says that a routed space was in force once: from then on the shared
	// strands are placed, whatever becomes of the spaces.
	Shared bool
	// Tolerance is how many keepers may be lost at once: a strand has one copy more.
	Tolerance int
}

func newState() *State {
	return &State{
		Births: map[string]uint64{}, Natures: map[string]string{},
		Members: map[string]beacon.Member{}, Places: map[string]beacon.Placement{}, Tolerance: DefaultTolerance,
		MemberAt: map[string]uint64{}, PlaceAt: map[string]uint64{},
	}
}

// StrandName names one strand of one space since its birth, so that a space
// that is removed and comes again begins anew.
func StrandName(space string, birth uint64, number int) string {
	return fmt.Sprintf("%s~%d/%d", space, birth, number)
}

// Apply changes the state by one command.
func (state *State) Apply(_ time.Time, packed []byte) {
	var command Command
	if fault := flare.Unmarshal(packed, &command); fault != nil {
		panic(fault)
	}
	state.Index++
	if command.Version > state.Version {
		state.takeConfiguration(command)
	}
	if command.Tolerance != nil {
		state.Tolerance = *command.Tolerance
	}
	for _, member := range command.Members {
		earlier, found := state.Members[member.Name]
		member.Joined = earlier.Joined
		if member.Alive && (!found || !earlier.Alive || earlier.Incarnation != member.Incarnation) {
			member.Joined = state.Index
		}
		state.Members[member.Name], state.MemberAt[member.Name] = member, state.Index
	}
	for _, place := range command.Places {
		if earlier, found := state.Places[place.Strand]; found && earlier.Epoch >= place.Epoch {
			continue
		}
		state.Places[place.Strand], state.PlaceAt[place.Strand] = place, state.Index
	}
	for _, settled := range command.Settled {
		place, found := state.Places[settled.Strand]
		if !found || place.Epoch != settled.Epoch || place.Complete {
			continue
		}
		// A keeper whose disk was lost meanwhile is no holder, whatever it said.
		holders := []string{state.Members[place.First].Holder()}
		for _, name := range place.Understudies {
			holders = append(holders, state.Members[name].Holder())
		}
		if !slices.Equal(holders, settled.Holders) {
			continue
		}
		place.Complete, place.Safe = true, holders
		state.Places[settled.Strand], state.PlaceAt[settled.Strand] = place, state.Index
	}
}

// view puts into news what changed after an index, or everything for whoever
// has nothing, or something that is gone.
func (state *State) view(news *beacon.News, since uint64) {
	if since < state.WholeAt || since > state.Index {
		since = 0
	}
	news.Changed, news.Since = true, since
	if since <= state.BirthsAt {
		news.Births = state.Births
	}
	for name, member := range helm.Sorted(state.Members) {
		if at, known := state.MemberAt[name]; !known || at > since {
			news.Members = append(news.Members, member)
		}
	}
	for name, place := range helm.Sorted(state.Places) {
		if at, known := state.PlaceAt[name]; !known || at > since {
			news.Placements = append(news.Placements, place)
		}
	}
}

func (state *State) takeConfiguration(command Command) {
	configuration, faults := chart.Read(command.Document)
	if len(faults) > 0 {
		panic("a command with a faulty configuration")
	}
	state.Version, state.Document = command.Version, command.Document
	state.BirthsAt = state.Index
	for name := range helm.Sorted(state.Births) {
		space, found := configuration.Spaces[name]
		if !found || state.Natures[name] != nature(space) {
			delete(state.Births, name)
			delete(state.Natures, name)
		}
	}
	for name, space := range helm.Sorted(configuration.Spaces) {
		if space.Order == chart.OrderTopic {
			// Its strands outlive it, and nothing asks when it was born.
			state.Shared = true
			continue
		}
		if _, found := state.Births[name]; !found {
			state.Births[name] = command.Version
			state.Natures[name] = nature(space)
		}
	}
	wanted := map[string]bool{}
	for _, strand := range state.strands(configuration) {
		wanted[strand] = true
	}
	for strand := range helm.Sorted(state.Places) {
		if !wanted[strand] {
			delete(state.Places, strand)
			delete(state.PlaceAt, strand)
			state.WholeAt = state.Index
		}
	}
}

func nature(space chart.Space) string { return string(space.Promise) + "/" + string(space.Order) }

func (state *State) strands(configuration chart.Configuration) []string {
	var names []string
	for name, space := range helm.Sorted(configuration.Spaces) {
		for number := range space.Strands() {
			names = append(names, StrandName(name, state.Births[name], number))
		}
	}
	if state.Shared {
		for number := range chart.SharedStrands {
			names = append(names, chart.SharedStrandName(number))
		}
	}
	return names
}

// Frame is the whole state.
func (state *State) Frame() []byte { return flare.MustMarshal(state) }

// Restore takes a whole state in place of this one.
func (state *State) Restore(packed []byte) error {
	restored := newState()
	if fault := flare.Unmarshal(packed, restored); fault != nil {
		return fault
	}
	*state = *restored
	return nil
}

func mustPack(command Command) []byte { return flare.MustMarshal(command) }
