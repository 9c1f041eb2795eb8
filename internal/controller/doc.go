// Package controller is the control plane of the cluster: the state machine of the
// daemons that keep the configuration, the membership and the placement of partitions.
//
// A cluster runs several controllers, of which one at a time is the primary. A [Controller]
// builds on a [consensus.Node], which elects the primary, replicates the log of commands
// to the backups and grants the lease under which the primary acts. The package guarantees
// that
//   - the control state ([State]) changes only by commands ([Command]) that were committed
//     to the log, applied in log order, with the same result on every replica,
//   - the primary checks its lease at each step, and every response has the lease's end as
//     its deadline, so that a controller that resumes after a suspension sends no response
//     after a new primary has been elected,
//   - an operator's order that was acknowledged stays in force, and no configuration
//     version is ever acknowledged with two different contents.
//
// While a controller is primary it
//   - serves views: each daemon sends a long poll with the index of its view, and the poll
//     stays pending until the state changes (views.go),
//   - detects failed members from the daemons' suspicions and from missing polls
//     (failures.go, acknowledgement.go) and slow disks from the stores' reports (slowdisk.go),
//   - reconciles the control state with its observations, one command at a time, and plans
//     the placements of partitions (reconcile.go, placement.go),
//   - executes operators' requests (requests.go, configuration_requests.go,
//     store_requests.go),
//   - puts idle gateways to rest and balances sessions under the lease of the economy role
//     (economy.go).
//
// A Controller is driven like every [statemachine.Machine]: the host calls it from a single
// goroutine with messages, commands and ticks, and performs the effects that it returns. It
// does no I/O and uses no clock or random source.
package controller
