// Package controller is the control plane of the cluster: the state machine of the
// daemons that keep the configuration, the membership and the placement of partitions.
//
// Several controllers run, and one of them, the primary, acts for all. A [Controller]
// builds on a [consensus.Node], which elects the primary, replicates the log of commands
// to the backups and grants the lease under which the primary acts. The package promises
// that
//   - the control state ([State]) changes only by commands ([Command]) that the log has
//     committed, in the order of the log, with the same result on every replica,
//   - the primary checks its lease at each step, and every response carries the lease's
//     end as its deadline, so that a controller that was suspended says nothing after its
//     successor has begun,
//   - an operator's order that was acknowledged stays in force, and no configuration
//     version is ever confirmed with two contents.
//
// While a controller is primary it
//   - serves views: each daemon polls with the index that it has, and the poll stays
//     pending until the state changes (views.go),
//   - detects failures from the daemons' suspicions and from its own polls (failures.go,
//     acknowledgement.go) and slow disks from the stores' reports (slowdisk.go),
//   - reconciles: it turns what was observed into one command at a time, and plans the
//     placements of partitions (reconcile.go, placement.go),
//   - carries out operators' requests (requests.go, configuration_requests.go,
//     store_requests.go),
//   - rests idle gateways and balances sessions under the lease of the economy role
//     (economy.go).
//
// A Controller is driven as every [statemachine.Machine]: the host calls it from a single
// goroutine with messages, commands and ticks, and carries out the effects that it
// returns. It has no I/O, no clock and no randomness of its own.
package controller
