// Package agent is the state machine of the daemon that runs beside each gateway.
//
// An Agent holds the connections to the controllers and serves its gateway over
// loopback. It keeps a view for itself, relays its gateway's view requests to the
// primary and the updates back, and forwards operators' requests, also those of other
// daemons that cannot reach a controller. When both are stopped together, the agent ends
// after its gateway, so that the gateway's view stays confirmed while the gateway drains.
package agent
