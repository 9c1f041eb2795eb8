package controller

import (
	"net/http"
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/consensus"
	"dahlialock/internal/controlclient"
	"dahlialock/internal/logevent"
	"dahlialock/internal/statemachine"
)

// configurationAccepted is the response to a configuration that is acknowledged.
type configurationAccepted struct {
	Accepted bool `json:"taken"`
	// Version is the version in force, which may be higher than the acknowledged one.
	Version uint64 `json:"version"`
}

// configurationConflict is the response to a configuration that conflicts with one that
// was accepted before.
type configurationConflict struct {
	Code errorCode `json:"code"`
	// NewestVersion is the version in force.
	NewestVersion uint64 `json:"newest"`
	Text          string `json:"text"`
}

// putConfiguration handles an operator's configuration. Whether it is put into force is decided
// when its command is applied, in log order. If the outcome has been decided before, the
// response repeats it and no command is submitted.
func (c *Controller) putConfiguration(
	now time.Time, from string, document []byte, responder responder, effects *statemachine.Effects,
) {
	configuration, faults := config.Read(document)
	if len(faults) > 0 && statemachine.Mutated("accept-broken") {
		responder.respond(okResponse(configurationAccepted{Accepted: true, Version: configuration.Version}), effects)
		return
	}
	if statemachine.Mutated("check-then-act") && configuration.Version > c.state.Version {
		faults = append(faults, c.state.drainFaults(configuration)...)
	}
	if len(faults) > 0 {
		c.respondConfiguration(orderResult{outcome: InvalidConfiguration, faults: faults}, responder, effects)
		return
	}
	change := ConfigurationChange{
		Version:     configuration.Version,
		Digest:      config.DigestOf(document),
		HighestWins: c.settings.HighestWins,
		ReceivedAt:  now,
		ForwardedBy: from,
	}
	if outcome, decided := c.decidedBefore(change); decided {
		read := func() response { return c.configurationResponse(orderResult{outcome: outcome}) }
		c.respondConfirmed(now, responder, read, effects)
		return
	}
	if change.Version > c.state.Version {
		change.Document = document
	}
	c.submitConfiguration(now, change, responder, effects)
}

// decidedBefore returns the outcome of a configuration if it is already determined by the control
// state, so that no command is necessary.
func (c *Controller) decidedBefore(change ConfigurationChange) (Outcome, bool) {
	if outcome, found := c.state.recordedOutcome(change); found {
		return outcome, true
	}
	if change.Version <= c.state.Version && !change.HighestWins {
		return Superseded, true
	}
	return 0, false
}

func (c *Controller) submitConfiguration(
	now time.Time, change ConfigurationChange, responder responder, effects *statemachine.Effects,
) {
	done := func(now time.Time, effects *statemachine.Effects, outcome consensus.Outcome) {
		switch outcome {
		case consensus.Rejected:
			rejected := unavailableResponse(codeRefused, "the configuration was not taken")
			responder.respond(rejected, effects)
		case consensus.Indeterminate:
			indeterminate := unavailableResponse(
				codeIndeterminate, "the configuration may have been taken; send the same again")
			responder.respond(indeterminate, effects)
		case consensus.Committed:
			result := c.state.result
			if result.outcome == Accepted {
				effects.Emit(logevent.ConfigurationAccepted, "version", change.Version)
			}
			c.answerPolls(now, effects)
			c.timers.ArmSooner(timerReconcile, now)
			c.respondConfiguration(result, responder, effects)
		}
	}
	command := encodeCommand(Command{Configuration: &change})
	c.node.Submit(now, command, c.timeouts.command, done, effects)
}

func (c *Controller) respondConfiguration(result orderResult, responder responder, effects *statemachine.Effects) {
	if result.outcome == InvalidConfiguration {
		effects.Emit(
			logevent.ConfigurationRejected, "faults", len(result.faults), "first_fault", result.faults[0].String())
	}
	responder.respond(c.configurationResponse(result), effects)
}

// configurationResponse returns the response to a configuration whose outcome was decided.
func (c *Controller) configurationResponse(result orderResult) response {
	switch {
	case result.outcome == InvalidConfiguration:
		return response{
			status: http.StatusBadRequest,
			body: controlclient.ErrorBody(
				string(codeInvalidConfiguration), "the configuration is faulty", result.faults),
		}
	case result.outcome == ContentConflict:
		return c.conflictResponse(codeSameVersion, "this version was taken with other content")
	case result.outcome == Superseded && !c.settings.HighestWins:
		return c.conflictResponse(codeOlderVersion, "a newer version was taken")
	}
	// With HighestWins, a version below the one in force is acknowledged without effect.
	return okResponse(configurationAccepted{Accepted: true, Version: c.state.Version})
}

func (c *Controller) conflictResponse(code errorCode, text string) response {
	return jsonResponse(http.StatusConflict, configurationConflict{
		Code:          code,
		NewestVersion: c.state.Version,
		Text:          text,
	})
}
