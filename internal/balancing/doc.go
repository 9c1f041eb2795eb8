// Package balancing distributes client sessions over the gateways of a zone in
// proportion to the capacity of each gateway.
//
// The platform sends new clients to whichever gateway started to listen first, and
// clients stay connected for long, so an uneven distribution does not correct itself.
// A [Balancer] compares the number of sessions of each gateway with the gateway's fair
// share and directs overloaded gateways to move sessions to named targets at a bounded
// rate. Where a zone is almost full, sessions are spread over all zones.
//
// The primary controller owns the balancer. While it holds the lease of the singleton role
// for consolidation (named "economy"), it calls [Balancer.Plan] on each reconciliation that
// has no command to submit, with the loads that the gateways reported last. Plan has no I/O,
// no clock and no randomness. Hysteresis (a gateway starts to move sessions well above its
// fair share and stops close to it) keeps the fleet from oscillating on reports that are
// a second old. Balancing is independent of consolidation, which decides how many
// gateways are awake.
package balancing
