// What operators ask of the primary: configurations in and out, the cohort, the
// placement, the epochs, and the retiring of keepers. A pilot that may not act
// sends the request on or refuses it at once; it never answers from a state
// that may be old.
package pilotage

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"dahlialock/internal/beacon"
	"dahlialock/internal/chart"
	"dahlialock/internal/cutter"
	"dahlialock/internal/foghorn"
	"dahlialock/internal/helm"
	"dahlialock/internal/watchbill"
)

const comeBack = time.Second

type answer func(effects *helm.Effects, status int, value any)

func (pilot *Pilot) onControl(now time.Time, from string, visit beacon.ControlVisit, effects *helm.Effects) {
	give := func(effects *helm.Effects, status int, value any) {
		returned := beacon.ControlReturn{Visit: visit.Visit, Status: status}
		if packed, raw := value.([]byte); raw {
			returned.Body = packed
		} else {
			packed, fault := json.Marshal(value)
			if fault != nil {
				panic(fault)
			}
			returned.Body = packed
		}
		if status == http.StatusServiceUnavailable {
			returned.RetryAfter = comeBack
		}
		effects.Send(from, returned)
	}
	if !pilot.watch.HoldsTenure(now) {
		primary, found := pilot.watch.Primary()
		if found && primary.Name != pilot.props.Self.Name {
			effects.Send(from, beacon.ControlReturn{
				Visit: visit.Visit, Status: http.StatusServiceUnavailable, Redirect: primary.Address, RetryAfter: comeBack,
				Body: cutter.Error("no-primary", "the primary does not answer", nil),
			})
			return
		}
		give(effects, http.StatusServiceUnavailable, cutter.Error("no-primary", "no pilot can serve at this moment", nil))
		return
	}
	pilot.beginActing(now, effects)
	path, _, _ := strings.Cut(visit.Path, "?")
	switch {
	case visit.Method == http.MethodPut && path == "/v1/configuration":
		pilot.put(now, visit.Body, give, effects)
	case visit.Method == http.MethodGet && path == "/v1/configuration":
		pilot.confirmed(now, give, effects, func() (int, any) {
			if pilot.state.Version == 0 {
				return http.StatusNotFound, cutter.Error("no-configuration", "no configuration was taken yet", nil)
			}
			return http.StatusOK, map[string]any{"version": pilot.state.Version, "configuration": json.RawMessage(pilot.state.Document)}
		})
	case visit.Method == http.MethodGet && path == "/v1/cohort":
		pilot.confirmed(now, give, effects, func() (int, any) {
			members := []beacon.Member{}
			for _, member := range helm.Sorted(pilot.state.Members) {
				members = append(members, member)
			}
			return http.StatusOK, map[string]any{"index": pilot.state.Index, "members": members, "loads": pilot.loads}
		})
	case visit.Method == http.MethodGet && path == "/v1/placement":
		pilot.confirmed(now, give, effects, func() (int, any) {
			places := []beacon.Placement{}
			for _, place := range helm.Sorted(pilot.state.Places) {
				places = append(places, place)
			}
			return http.StatusOK, map[string]any{"index": pilot.state.Index, "strands": places}
		})
	case visit.Method == http.MethodGet && path == "/v1/epochs":
		pilot.confirmed(now, give, effects, func() (int, any) {
			record := pilot.watch.Record()
			roster := []string{}
			for _, each := range record.Roster {
				roster = append(roster, each.Name)
			}
			standbys := []string{}
			for _, each := range pilot.watch.Standbys(now) {
				standbys = append(standbys, each.Name)
			}
			return http.StatusOK, map[string]any{
				"epoch": record.Epoch, "primary": record.Primary, "backups": record.Backups, "roster": roster, "standbys": standbys, "index": pilot.state.Index,
			}
		})
	case strings.HasPrefix(path, "/v1/keepers/"):
		pilot.keeper(now, visit.Method, strings.TrimPrefix(path, "/v1/keepers/"), give, effects)
	default:
		give(effects, http.StatusNotFound, cutter.Error("no-such-path", visit.Method+" "+path+" is not known", nil))
	}
}

// confirmed answers a question only after a majority said that the epoch stands.
func (pilot *Pilot) confirmed(now time.Time, give answer, effects *helm.Effects, read func() (int, any)) {
	pilot.watch.Confirm(now, func(_ time.Time, effects *helm.Effects, outcome watchbill.Outcome) {
		if outcome != watchbill.Committed {
			give(effects, http.StatusServiceUnavailable, cutter.Error("unconfirmed", "no majority confirmed this answer", nil))
			return
		}
		status, value := read()
		give(effects, status, value)
	}, effects)
}

func (pilot *Pilot) put(now time.Time, document []byte, give answer, effects *helm.Effects) {
	configuration, faults := chart.Read(document)
	if len(faults) == 0 {
		faults = pilot.checkDrains(configuration)
	}
	if len(faults) > 0 && helm.Mutated("accept-broken") {
		give(effects, http.StatusOK, map[string]any{"version": configuration.Version, "taken": true})
		return
	}
	if len(faults) > 0 {
		effects.Note(foghorn.ConfigurationError, "faults", len(faults), "first", faults[0].String())
		give(effects, http.StatusBadRequest, cutter.Error("faulty-configuration", "the configuration is faulty", faults))
		return
	}
	decide := func() (int, any, bool) {
		switch {
		case configuration.Version > pilot.state.Version:
			return 0, nil, false
		case pilot.props.Highest:
			// The highest version is the one; what is not above it is settled and
			// changes nothing.
			return http.StatusOK, map[string]any{"version": pilot.state.Version, "taken": true}, true
		case configuration.Version == pilot.state.Version && chart.SameContent(document, pilot.state.Document):
			return http.StatusOK, map[string]any{"version": pilot.state.Version, "taken": true}, true
		case configuration.Version == pilot.state.Version:
			return http.StatusConflict, map[string]any{"code": "same-version", "text": "this version was taken with other content", "newest": pilot.state.Version}, true
		}
		return http.StatusConflict, map[string]any{"code": "older-version", "text": "a newer version was taken", "newest": pilot.state.Version}, true
	}
	if _, _, settled := decide(); settled {
		pilot.confirmed(now, give, effects, func() (int, any) {
			status, value, _ := decide()
			return status, value
		})
		return
	}
	command := Command{Version: configuration.Version, Document: document}
	pilot.watch.Submit(now, mustPack(command), commandLimit, func(now time.Time, effects *helm.Effects, outcome watchbill.Outcome) {
		switch {
		case outcome == watchbill.Refused:
			give(effects, http.StatusServiceUnavailable, cutter.Error("refused", "the configuration was not taken", nil))
		case outcome == watchbill.Unsettled:
			give(effects, http.StatusServiceUnavailable, cutter.Error("unsettled", "the configuration may have been taken; send the same again", nil))
		default:
			// Another may have come in between while this one waited.
			status, value, _ := decide()
			if status == 0 {
				panic("a committed configuration is not in the state")
			}
			effects.Note(foghorn.ConfigurationTaken, "version", configuration.Version)
			pilot.answerNews(now, effects)
			pilot.timers.ArmSooner("tend", now)
			give(effects, status, value)
		}
	}, effects)
}

// checkDrains looks at what only the cohort can tell: that the lanterns to be
// drained exist, and that one would be left.
func (pilot *Pilot) checkDrains(configuration chart.Configuration) []chart.Fault {
	if configuration.Version <= pilot.state.Version || len(configuration.Drains) == 0 {
		return nil
	}
	var faults []chart.Fault
	for position, name := range configuration.Drains {
		if member, found := pilot.state.Members[name]; !found || member.Kind != beacon.KindLantern {
			faults = append(faults, chart.Fault{
				Path: fmt.Sprintf("$.drains[%d]", position), Code: "dangling-name", Text: fmt.Sprintf("no lantern is named %q", name),
			})
		}
	}
	for _, member := range pilot.state.Members {
		if member.Kind == beacon.KindLantern && member.Alive && !slices.Contains(configuration.Drains, member.Name) {
			return faults
		}
	}
	return append(faults, chart.Fault{Path: "$.drains", Code: "clash", Text: "no living lantern would be left"})
}

func (pilot *Pilot) keeper(now time.Time, method, rest string, give answer, effects *helm.Effects) {
	name, verb, _ := strings.Cut(rest, "/")
	member, found := pilot.state.Members[name]
	if !found || member.Kind != beacon.KindKeeper {
		give(effects, http.StatusNotFound, cutter.Error("no-such-keeper", "no keeper is named "+name, nil))
		return
	}
	describe := func() any {
		member := pilot.state.Members[name]
		strands := []string{}
		for _, place := range helm.Sorted(pilot.state.Places) {
			if place.Names(name) {
				strands = append(strands, place.Strand)
			}
		}
		return map[string]any{"name": name, "alive": member.Alive, "retiring": member.Retiring, "retired": member.Retired, "strands": strands}
	}
	switch {
	case method == http.MethodGet && verb == "":
		pilot.confirmed(now, give, effects, func() (int, any) { return http.StatusOK, describe() })
	case method == http.MethodPost && (verb == "retire" || verb == "return"):
		retiring := verb == "retire"
		if member.Retiring == retiring {
			pilot.confirmed(now, give, effects, func() (int, any) { return http.StatusAccepted, describe() })
			return
		}
		others := 0
		for _, other := range pilot.state.Members {
			if other.Kind == beacon.KindKeeper && other.Name != name && other.Alive && !other.Retiring {
				others++
			}
		}
		if retiring && others <= pilot.state.Tolerance {
			give(effects, http.StatusConflict, cutter.Error("too-few-keepers", fmt.Sprintf("%d other keepers must be alive to take the strands", pilot.state.Tolerance+1), nil))
			return
		}
		member.Retiring, member.Retired = retiring, false
		pilot.watch.Submit(now, mustPack(Command{Members: []beacon.Member{member}}), commandLimit, func(now time.Time, effects *helm.Effects, outcome watchbill.Outcome) {
			if outcome != watchbill.Committed {
				give(effects, http.StatusServiceUnavailable, cutter.Error("unsettled", "send the same again", nil))
				return
			}
			pilot.timers.ArmSooner("tend", now)
			give(effects, http.StatusAccepted, describe())
		}, effects)
	default:
		give(effects, http.StatusNotFound, cutter.Error("no-such-path", method+" on a keeper knows retire and return", nil))
	}
}
