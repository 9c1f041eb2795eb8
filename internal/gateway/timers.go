package gateway

// timer is the key of one of the gateway's timers.
type timer int

// The timers of a gateway. Timers that expire at the same time run in the order of
// these constants. It is the alphabetical order of earlier names of the timers
// ("follow", "limits", "looks", "move", "pump", "routed", "stop", "tick", "verify"),
// and must not change, since recorded runs depend on it.
const (
	// timerHighWatermarks subscribes to the high watermarks of the partitions in use.
	timerHighWatermarks timer = iota
	// timerDeadlines retries publications and fetches, and ends those whose deadline has passed.
	timerDeadlines
	// timerRefresh ends the wait of requests for a newer configuration.
	timerRefresh
	// timerMove asks the next clients to move to other gateways.
	timerMove
	// timerDeliver delivers the pending records of all trackers that are ready.
	timerDeliver
	// timerRouted retries the requests of routed topics to stores.
	timerRouted
	// timerStop runs the next step of a graceful shutdown.
	timerStop
	// timerTick runs the periodic work of each second.
	timerTick
	// timerVerify verifies the trackers that may miss a record.
	timerVerify
)
