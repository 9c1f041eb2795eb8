// What operators ask of the primary: configurations in and out, the cluster, the
// placement, the epochs, and the retiring of stores. A controller that may not act
// sends the request on or refuses it at once; it never answers from a state
// that may be old.

package controller

import (
	"encoding/json"
	"fmt"
	"net/http"
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
		effects.SendBefore(from, returned, c.node.LeaseEnd())
	}
	if !c.node.HoldsLease(now) {
		primary, found := c.node.Primary()
		if found && primary.Name != c.settings.Self.Name {
			effects.Send(from, membership.ControlResponse{
				Request: request.Request, Status: http.StatusServiceUnavailable, Redirect: primary.Address, RetryAfter: comeBack,
				Body: controlclient.ErrorBody("no-primary", "the primary does not answer", nil),
			})
			return
		}
		give(effects, http.StatusServiceUnavailable, controlclient.ErrorBody("no-primary", "no controller can serve at this moment", nil))
		return
	}
	c.beginActing(now, effects)
	path, _, _ := strings.Cut(request.Path, "?")
	switch {
	case request.Method == http.MethodPut && path == "/v1/configuration":
		c.put(now, from, request.Body, give, effects)
	case request.Method == http.MethodGet && path == "/v1/configuration":
		c.confirmed(now, give, effects, func() (int, any) {
			if c.state.Version == 0 {
				return http.StatusNotFound, controlclient.ErrorBody("no-configuration", "no configuration was taken yet", nil)
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
			record := c.node.Record()
			voters := []string{}
			for _, each := range record.Voters {
				voters = append(voters, each.Name)
			}
			standbys := []string{}
			for _, each := range c.node.Learners(now) {
				standbys = append(standbys, each.Name)
			}
			return http.StatusOK, map[string]any{
				"epoch": record.Epoch, "primary": record.Primary, "backups": record.Backups, "voters": voters, "standbys": standbys, "index": c.state.Index,
			}
		})
	case strings.HasPrefix(path, "/v1/stores/"):
		c.store(now, request, strings.TrimPrefix(path, "/v1/stores/"), give, effects)
	default:
		give(effects, http.StatusNotFound, controlclient.ErrorBody("no-such-path", request.Method+" "+path+" is not known", nil))
	}
}

// takeAnswer hands an answer to the operator that asked here. One of this
// controller's own is bound by its lease, as on its way to another daemon.
func (c *Controller) takeAnswer(now time.Time, from string, returned membership.ControlResponse, effects *statemachine.Effects) {
	earlier := len(effects.Responses)
	c.controlClient.HandleResponse(now, from, returned, effects)
	if from != c.settings.Self.Address || returned.Status == http.StatusServiceUnavailable {
		return
	}
	for position := earlier; position < len(effects.Responses); position++ {
		effects.Responses[position].NotAfter = c.node.LeaseEnd()
		effects.Responses[position].LateValue = membership.ControlResponse{
			Status: http.StatusServiceUnavailable, RetryAfter: comeBack,
			Body: controlclient.ErrorBody("unsettled", "this controller may not answer any more; send the same again", nil),
		}
	}
}

// confirmed answers a question only after a majority said that the epoch stands.
func (c *Controller) confirmed(now time.Time, give answer, effects *statemachine.Effects, read func() (int, any)) {
	c.node.Confirm(now, func(_ time.Time, effects *statemachine.Effects, outcome consensus.Outcome) {
		if outcome != consensus.Committed {
			give(effects, http.StatusServiceUnavailable, controlclient.ErrorBody("unconfirmed", "no majority confirmed this answer", nil))
			return
		}
		status, value := read()
		give(effects, status, value)
	}, effects)
}

// put takes an operator's configuration. Whether it comes into force is decided where
// it is applied, in the order of the log; what was decided before is told again.
func (c *Controller) put(now time.Time, through string, document []byte, give answer, effects *statemachine.Effects) {
	configuration, faults := config.Read(document)
	if len(faults) > 0 && statemachine.Mutated("accept-broken") {
		give(effects, http.StatusOK, map[string]any{"version": configuration.Version, "taken": true})
		return
	}
	if statemachine.Mutated("check-then-act") && configuration.Version > c.state.Version {
		faults = append(faults, c.state.drainFaults(configuration)...)
	}
	if len(faults) > 0 {
		c.answerConfiguration(result{outcome: Faulty, faults: faults}, give, effects)
		return
	}
	change := ConfigurationChange{Version: configuration.Version, Digest: config.DigestOf(document), Highest: c.settings.Highest, At: now, Through: through}
	outcome, settled := c.state.decided(change)
	if !settled && change.Version <= c.state.Version && !change.Highest {
		outcome, settled = Overtaken, true
	}
	if settled {
		c.confirmed(now, give, effects, func() (int, any) { return c.configurationAnswer(result{outcome: outcome}) })
		return
	}
	if change.Version > c.state.Version {
		change.Document = document
	}
	c.node.Submit(now, mustPack(Command{Configuration: &change}), c.spans.command, func(now time.Time, effects *statemachine.Effects, outcome consensus.Outcome) {
		switch outcome {
		case consensus.Rejected:
			give(effects, http.StatusServiceUnavailable, controlclient.ErrorBody("refused", "the configuration was not taken", nil))
		case consensus.Indeterminate:
			give(effects, http.StatusServiceUnavailable, controlclient.ErrorBody("unsettled", "the configuration may have been taken; send the same again", nil))
		case consensus.Committed:
			decided := c.state.result
			if decided.outcome == Taken {
				effects.Emit(logevent.ConfigurationAccepted, "version", change.Version)
			}
			c.answerNews(now, effects)
			c.timers.ArmSooner("tend", now)
			c.answerConfiguration(decided, give, effects)
		}
	}, effects)
}

func (c *Controller) answerConfiguration(decided result, give answer, effects *statemachine.Effects) {
	if decided.outcome == Faulty {
		effects.Emit(logevent.ConfigurationRejected, "faults", len(decided.faults), "first", decided.faults[0].String())
	}
	status, value := c.configurationAnswer(decided)
	give(effects, status, value)
}

// configurationAnswer is what an operator is told of a configuration that was decided.
func (c *Controller) configurationAnswer(decided result) (int, any) {
	switch {
	case decided.outcome == Faulty:
		return http.StatusBadRequest, controlclient.ErrorBody("faulty-configuration", "the configuration is faulty", decided.faults)
	case decided.outcome == OtherContent:
		return http.StatusConflict, map[string]any{"code": "same-version", "text": "this version was taken with other content", "newest": c.state.Version}
	case decided.outcome == Overtaken && !c.settings.Highest:
		return http.StatusConflict, map[string]any{"code": "older-version", "text": "a newer version was taken", "newest": c.state.Version}
	}
	// Where the highest version is the one, what is not above it changes nothing and
	// is settled.
	return http.StatusOK, map[string]any{"version": c.state.Version, "taken": true}
}

func (c *Controller) store(now time.Time, request membership.ControlRequest, rest string, give answer, effects *statemachine.Effects) {
	method := request.Method
	name, verb, _ := strings.Cut(rest, "/")
	describe := func(status int) (int, any) {
		member, found := c.state.member(name)
		if !found || member.Kind != membership.KindStore {
			return http.StatusNotFound, controlclient.ErrorBody("no-such-store", "no store is named "+name, nil)
		}
		partitions := []string{}
		for _, place := range statemachine.Sorted(c.state.Places) {
			if place.HasReplica(name) {
				partitions = append(partitions, place.Partition)
			}
		}
		return status, map[string]any{"name": name, "alive": member.Alive, "retiring": member.Retiring, "retired": member.Retired, "partitions": partitions}
	}
	switch {
	case method == http.MethodGet && verb == "":
		c.confirmed(now, give, effects, func() (int, any) { return describe(http.StatusOK) })
	case method == http.MethodPost && (verb == "retire" || verb == "return"):
		c.retire(now, Retirement{Order: request.Order, Store: name, Retiring: verb == "retire"}, give, describe, effects)
	default:
		give(effects, http.StatusNotFound, controlclient.ErrorBody("no-such-path", method+" on a store knows retire and return", nil))
	}
}

// retire takes an order to empty a store, or to use it again. Whether enough others
// are left is decided where the order is applied.
func (c *Controller) retire(now time.Time, order Retirement, give answer, describe func(status int) (int, any), effects *statemachine.Effects) {
	tooFew := controlclient.ErrorBody("too-few-stores", fmt.Sprintf("%d other stores must be alive to take the partitions", c.state.Tolerance+1), nil)
	member, found := c.state.member(order.Store)
	if !found || member.Kind != membership.KindStore {
		c.confirmed(now, give, effects, func() (int, any) {
			if status, value := describe(http.StatusOK); status == http.StatusNotFound {
				return status, value
			}
			return http.StatusServiceUnavailable, controlclient.ErrorBody("refused", "the store has just joined; send the same again", nil)
		})
		return
	}
	if member.Retiring == order.Retiring || c.state.tookOrder(order.Order) {
		c.confirmed(now, give, effects, func() (int, any) { return describe(http.StatusAccepted) })
		return
	}
	if statemachine.Mutated("check-then-act") && order.Retiring && !c.state.maySpare(order.Store) {
		give(effects, http.StatusConflict, tooFew)
		return
	}
	c.node.Submit(now, mustPack(Command{Retirement: &order}), c.spans.command, func(now time.Time, effects *statemachine.Effects, outcome consensus.Outcome) {
		switch {
		case outcome != consensus.Committed:
			give(effects, http.StatusServiceUnavailable, controlclient.ErrorBody("unsettled", "send the same again", nil))
		case c.state.result.outcome == TooFewStores:
			give(effects, http.StatusConflict, tooFew)
		default:
			c.timers.ArmSooner("tend", now)
			status, value := describe(http.StatusAccepted)
			give(effects, status, value)
		}
	}, effects)
}
