// Package membership holds what every daemon knows of the cluster: its members, the
// placements of partitions, and which of the members monitor each other.
//
// The primary controller decides the view; each change of it has a rising index. The
// messages by which daemons obtain the view and report what they observe stand in
// messages.go. Three state machines use them:
//
//   - ViewClient keeps a daemon's copy of the view up to date by long polls of the
//     primary controller. It never goes back to an older view.
//   - FailureDetector sends heartbeats to the members that the Ring names as the
//     daemon's watchers, and reports to the controllers which of the members that it
//     watches itself have fallen silent. The controllers decide who is lost.
//   - Ring derives the watchers of every member from the view alone, so that all
//     daemons with the same view agree without talking to each other.
//
// The daemons' own machines (gateway, store, controller, agent) own these parts, pass
// them their messages and call Tick.
package membership
