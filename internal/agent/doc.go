// Package agent is the state machine of the daemon that runs beside each gateway.
//
// An Agent holds the connections to the controllers and serves its gateway over
// loopback. It keeps a view for itself, relays its gateway's view requests to the
// primary and the updates back, and forwards operators' requests, also those of other
// daemons that cannot reach a controller. When it is stopped together with its gateway,
// it ends after it, so that the gateway's view stays confirmed while it drains.
package agent
