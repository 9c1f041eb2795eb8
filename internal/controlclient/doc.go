// Package controlclient forwards operators' requests to the primary controller, so that
// every daemon gives operators the same answer.
//
// A ControlClient is a state machine owned by the daemon that received the operator's request.
// It sends the request to the controller that it believes to be the primary and follows
// redirects. If a response is slow it hedges: it sends the same request to further
// controllers and to relays, which are daemons that may reach a controller that this
// one cannot. The first response of a controller that can serve the request is final; the
// primary recognizes repeated requests by their Order.
//
// A client's deadline is earlier than that of the operator. A request that certainly had no
// effect is rejected with a retry delay; one that may have had an effect is answered with the
// code "unsettled". Both responses have the status 503.
package controlclient
