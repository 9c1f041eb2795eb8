// Package controlclient forwards operators' requests to the primary controller, so that
// every daemon gives operators the same answer.
//
// A ControlClient is a state machine owned by the daemon that the operator asked. It
// sends the request to the controller that it takes for the primary and follows
// redirects. Where a response is slow it hedges: it sends the same request to further
// controllers and to relays, which are daemons that may reach a controller that this
// one cannot. The first response of a controller that may act counts; the primary
// recognizes repeated requests by their Order.
//
// A client gives up before the operator does. A request that certainly had no effect is
// rejected, with the pause until a retry; one that may have had an effect is answered as
// unsettled. Both have the status 503.
package controlclient
