// What operators ask of the primary: configurations in and out, the cluster, the
// placement, the epochs, and the retiring of stores. A controller that may not act
// sends the request on or refuses it at once; it never answers from a state
// that may be old.
package controller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/consensus"
	"dahlialock/internal/controlclient"
	"dahlialock/internal/logevent"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

const comeBack = time.Second

type answer func(effects *statemachine.Effects, status int, value any)

func (c *Controller) onControl(now time.Time, from string, request membership.ControlRequest, effects *statemachine.Effects) {
	give := func(effects *statemachine.Effects, status int, value any) {
		returned := membership.ControlResponse{Request: request.Request, Status: status}
		if packed, raw := value.([]byte); raw {
			returned.Body = packed
		} else {
			packed, err := json.Marshal(value)
			if err != nil {
				panic(err)
			}
			returned.Body = packed
		}
		if status == http.StatusServiceUnavailable {
			returned.RetryAfter = comeBack
			effects.Send(from, returned)
			return
		}
		effects.SendBefore(from, returned, c.watch.LeaseEnd())
	}
	if !c.watch.HoldsLease(now) {
		primary, found := c.watch.Primary()
		if found && primary.Name != c.settings.Self.Name {
			effects.Send(from, membership.ControlResponse{
				Request: request.Request, Status: http.StatusServiceUnavailable, Redirect: primary.Address, RetryAfter: comeBack,
				Body: controlclient.Error("no-primary", "the primary does not answer", nil),
			})
			return
		}
		give(effects, http.StatusServiceUnavailable, controlclient.Error("no-primary", "no controller can serve at this moment", nil))
		return
	}
	c.beginActing(now, effects)
	path, _, _ := strings.Cut(request.Path, "?")
	switch {
	case request.Method == http.MethodPut && path == "/v1/configuration":
		c.put(now, request.Body, give, effects)
	case request.Method == http.MethodGet && path == "/v1/configuration":
		c.confirmed(now, give, effects, func() (int, any) {
			if c.state.Version == 0 {
				return http.StatusNotFound, controlclient.Error("no-configuration", "no configuration was taken yet", nil)
			}
			return http.StatusOK, map[string]any{"version": c.state.Version, "configuration": json.RawMessage(c.state.Document)}
		})
	case request.Method == http.MethodGet && path == "/v1/cluster":
		c.confirmed(now, give, effects, func() (int, any) {
			members := []membership.Member{}
			for _, member := range statemachine.Sorted(c.state.Members) {
				members = append(members, member)
			}
			return http.StatusOK, map[string]any{"index": c.state.Index, "members": members, "loads": c.loads}
		})
	case request.Method == http.MethodGet && path == "/v1/placement":
		c.confirmed(now, give, effects, func() (int, any) {
			places := []membership.Placement{}
			for _, place := range statemachine.Sorted(c.state.Places) {
				places = append(places, place)
			}
			return http.StatusOK, map[string]any{"index": c.state.Index, "partitions": places}
		})
	case request.Method == http.MethodGet && path == "/v1/epochs":
		c.confirmed(now, give, effects, func() (int, any) {
			record := c.watch.Record()
			voters := []string{}
			for _, each := range record.Voters {
				voters = append(voters, each.Name)
			}
			standbys := []string{}
			for _, each := range c.watch.Standbys(now) {
				standbys = append(standbys, each.Name)
			}
			return http.StatusOK, map[string]any{
				"epoch": record.Epoch, "primary": record.Primary, "backups": record.Backups, "voters": voters, "standbys": standbys, "index": c.state.Index,
			}
		})
	case strings.HasPrefix(path, "/v1/stores/"):
		c.store(now, request.Method, strings.TrimPrefix(path, "/v1/stores/"), give, effects)
	default:
		give(effects, http.StatusNotFound, controlclient.Error("no-such-path", request.Method+" "+path+" is not known", nil))
	}
}

// takeAnswer hands an answer to the operator that asked here. One of this
// controller's own is bound by its lease, as on its way to another daemon.
func (c *Controller) takeAnswer(now time.Time, from string, returned membership.ControlResponse, effects *statemachine.Effects) {
	earlier := len(effects.Returns)
	c.controlClient.Take(now, from, returned, effects)
	if from != c.settings.Self.Address || returned.Status == http.StatusServiceUnavailable {
		return
	}
	for position := earlier; position < len(effects.Returns); position++ {
		effects.Returns[position].NotAfter = c.watch.LeaseEnd()
		effects.Returns[position].Late = membership.ControlResponse{
			Status: http.StatusServiceUnavailable, RetryAfter: comeBack,
			Body: controlclient.Error("unsettled", "this controller may not answer any more; send the same again", nil),
		}
	}
}

// confirmed answers a question only after a majority said that the epoch stands.
func (c *Controller) confirmed(now time.Time, give answer, effects *statemachine.Effects, read func() (int, any)) {
	c.watch.Confirm(now, func(_ time.Time, effects *statemachine.Effects, outcome consensus.Outcome) {
		if outcome != consensus.Committed {
			give(effects, http.StatusServiceUnavailable, controlclient.Error("unconfirmed", "no majority confirmed this answer", nil))
			return
		}
		status, value := read()
		give(effects, status, value)
	}, effects)
}

func (c *Controller) put(now time.Time, document []byte, give answer, effects *statemachine.Effects) {
	configuration, faults := config.Read(document)
	if len(faults) == 0 {
		faults = c.checkDrains(configuration)
	}
	if len(faults) > 0 && statemachine.Mutated("accept-broken") {
		give(effects, http.StatusOK, map[string]any{"version": configuration.Version, "taken": true})
		return
	}
	if len(faults) > 0 {
		effects.Note(logevent.ConfigurationError, "faults", len(faults), "first", faults[0].String())
		give(effects, http.StatusBadRequest, controlclient.Error("faulty-configuration", "the configuration is faulty", faults))
		return
	}
	decide := func() (int, any, bool) {
		switch {
		case configuration.Version > c.state.Version:
			return 0, nil, false
		case c.settings.Highest:
			// The highest version is the one; what is not above it is settled and
			// changes nothing.
			return http.StatusOK, map[string]any{"version": c.state.Version, "taken": true}, true
		case configuration.Version == c.state.Version && config.SameContent(document, c.state.Document):
			return http.StatusOK, map[string]any{"version": c.state.Version, "taken": true}, true
		case configuration.Version == c.state.Version:
			return http.StatusConflict, map[string]any{"code": "same-version", "text": "this version was taken with other content", "newest": c.state.Version}, true
		}
		return http.StatusConflict, map[string]any{"code": "older-version", "text": "a newer version was taken", "newest": c.state.Version}, true
	}
	if _, _, settled := decide(); settled {
		c.confirmed(now, give, effects, func() (int, any) {
			status, value, _ := decide()
			return status, value
		})
		return
	}
	command := Command{Version: configuration.Version, Document: document}
	c.watch.Submit(now, mustPack(command), commandLimit, func(now time.Time, effects *statemachine.Effects, outcome consensus.Outcome) {
		switch {
		case outcome == consensus.Refused:
			give(effects, http.StatusServiceUnavailable, controlclient.Error("refused", "the configuration was not taken", nil))
		case outcome == consensus.Unsettled:
			give(effects, http.StatusServiceUnavailable, controlclient.Error("unsettled", "the configuration may have been taken; send the same again", nil))
		default:
			// Another may have come in between while this one waited.
			status, value, _ := decide()
			if status == 0 {
				panic("a committed configuration is not in the state")
			}
			effects.Note(logevent.ConfigurationTaken, "version", configuration.Version)
			c.answerNews(now, effects)
			c.timers.ArmSooner("tend", now)
			give(effects, status, value)
		}
	}, effects)
}

// checkDrains looks at what only the cluster can tell: that the gateways to be
// drained exist, and that one would be left.
func (c *Controller) checkDrains(configuration config.Configuration) []config.Fault {
	if configuration.Version <= c.state.Version || len(configuration.Drains) == 0 {
		return nil
	}
	var faults []config.Fault
	for position, name := range configuration.Drains {
		if member, found := c.state.Members[name]; !found || member.Kind != membership.KindGateway {
			faults = append(faults, config.Fault{
				Path: fmt.Sprintf("$.drains[%d]", position), Code: "dangling-name", Text: fmt.Sprintf("no gateway is named %q", name),
			})
		}
	}
	for _, member := range c.state.Members {
		if member.Kind == membership.KindGateway && member.Alive && !slices.Contains(configuration.Drains, member.Name) {
			return faults
		}
	}
	return append(faults, config.Fault{Path: "$.drains", Code: "clash", Text: "no living gateway would be left"})
}

func (c *Controller) store(now time.Time, method, rest string, give answer, effects *statemachine.Effects) {
	name, verb, _ := strings.Cut(rest, "/")
	member, found := c.state.Members[name]
	if !found || member.Kind != membership.KindStore {
		give(effects, http.StatusNotFound, controlclient.Error("no-such-store", "no store is named "+name, nil))
		return
	}
	describe := func() any {
		member := c.state.Members[name]
		partitions := []string{}
		for _, place := range statemachine.Sorted(c.state.Places) {
			if place.Names(name) {
				partitions = append(partitions, place.Partition)
			}
		}
		return map[string]any{"name": name, "alive": member.Alive, "retiring": member.Retiring, "retired": member.Retired, "partitions": partitions}
	}
	switch {
	case method == http.MethodGet && verb == "":
		c.confirmed(now, give, effects, func() (int, any) { return http.StatusOK, describe() })
	case method == http.MethodPost && (verb == "retire" || verb == "return"):
		retiring := verb == "retire"
		if member.Retiring == retiring {
			c.confirmed(now, give, effects, func() (int, any) { return http.StatusAccepted, describe() })
			return
		}
		others := 0
		for _, other := range c.state.Members {
			if other.Kind == membership.KindStore && other.Name != name && other.Alive && !other.Retiring {
				others++
			}
		}
		if retiring && others <= c.state.Tolerance {
			give(effects, http.StatusConflict, controlclient.Error("too-few-stores", fmt.Sprintf("%d other stores must be alive to take the partitions", c.state.Tolerance+1), nil))
			return
		}
		member.Retiring, member.Retired = retiring, false
		c.watch.Submit(now, mustPack(Command{Members: []membership.Member{member}}), commandLimit, func(now time.Time, effects *statemachine.Effects, outcome consensus.Outcome) {
			if outcome != consensus.Committed {
				give(effects, http.StatusServiceUnavailable, controlclient.Error("unsettled", "send the same again", nil))
				return
			}
			c.timers.ArmSooner("tend", now)
			give(effects, http.StatusAccepted, describe())
		}, effects)
	default:
		give(effects, http.StatusNotFound, controlclient.Error("no-such-path", method+" on a store knows retire and return", nil))
	}
}
