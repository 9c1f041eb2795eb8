// Package consolidation decides which gateways rest while there is little traffic, and
// to which gateways their sessions move. A resting gateway has no sessions and polls the
// controllers at a low rate.
//
// A [Planner] runs as a singleton role: the primary controller owns one and calls
// [Planner.Plan] on each reconciliation that has no command to submit, while it holds the
// role's lease. Plan takes an [Observation] of the fleet and returns directives for the
// gateways, including those that the operators drain. It has no I/O, no clock and no
// randomness. Package balancing distributes the sessions over the gateways that stay
// awake.
//
// The planner chooses the gateway that saves the most by resting, by the operators'
// weights for processor time (of an awake gateway and of the record copies that it
// receives) and for bytes between zones. Loads are rates of observed counters. Distances
// are round trips that the gateways measured, with the configured links as the default.
//
// The planner guarantees that
//   - it rests a gateway only if the remaining awake ones can serve all sessions after the
//     loss of any one zone; in a fleet of one zone no gateway rests,
//   - it rests a gateway only after the load has been low for the configured
//     stabilization window, and only one gateway per window,
//   - it wakes gateways well before the awake ones are full,
//   - it decides nothing on outdated reports: the set of resting gateways then stays as
//     it is.
package consolidation
