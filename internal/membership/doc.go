// Package membership implements the cluster view of a daemon: the members of the cluster, the
// placements of partitions, and the failure detection between members.
//
// The primary controller decides the view, and assigns a higher index to each change of it.
// The messages with which daemons obtain the view and report failures are in messages.go.
// The package has these parts:
//
//   - ViewClient keeps a daemon's copy of the view up to date by long polls of the
//     primary controller. It never replaces a view with an older one.
//   - FailureDetector sends heartbeats to the daemon's watchers, which the Ring determines,
//     and reports to the controllers the members that the daemon watches and that have
//     sent no heartbeat within their timeout. The controllers decide which members are lost.
//   - Ring computes the watchers of every member from the view alone, so that all daemons
//     with the same view agree without communication.
//
// ViewClient and FailureDetector are state machines without I/O. The state machines of the
// daemons (gateway, store, controller, agent) own them, pass them their messages and call
// Tick.
package membership
