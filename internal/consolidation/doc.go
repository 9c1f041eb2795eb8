// Package consolidation decides which gateways rest while there is little traffic, and
// where the sessions of a resting gateway go.
//
// A [Planner] runs as a singleton role: the primary controller owns one and calls
// [Planner.Plan] on each reconciliation that has no command to submit, while it holds the
// role's lease. Plan takes an [Observation] of the fleet and returns directives for the
// gateways, also for those that the operators drain. It has no I/O, no
// clock and no randomness. Package balancing spreads the sessions over the gateways that
// stay awake.
//
// The planner rests the gateway whose rest saves most, by the operators' weights for
// processor time (of an awake gateway and of the record copies that it receives) and for
// bytes between zones. Loads are rates of observed counters. Distances are round trips
// that the gateways measured, with the configured links as the default.
//
// The planner promises that
//   - it rests no gateway unless the awake ones could then serve all sessions after the loss
//     of any one zone; so in a fleet of one zone none rests,
//   - nothing is rested before the fleet was quiet for the configured time, and only one
//     gateway after each such time,
//   - gateways are woken well before the awake ones are full,
//   - no choice is made on outdated reports: they leave the chosen set as it is.
package consolidation
