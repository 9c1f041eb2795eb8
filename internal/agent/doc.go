// Package agent is the state machine of the daemon that runs next to each gateway.
//
// An Agent maintains the connections to the controllers and serves its gateway over
// loopback. It has a view of its own, relays its gateway's view requests to the primary
// and the updates back, and forwards operators' requests, including those of other
// daemons that cannot reach a controller. When both are stopped together, the agent ends
// after its gateway, so that the gateway's view stays confirmed while the gateway drains.
package agent
