package gateway

// timer is the key of one of the gateway's timers.
type timer int

// The timers of a gateway. Their order decides between timers that expire at the
// same moment. It is the alphabetical order of the names that the timers once had
// ("follow", "limits", "looks", "move", "pump", "routed", "stop", "tick", "verify"),
// and must stay, since recorded runs depend on it.
const (
	// timerFollow requests the high watermarks of the partitions in use.
	timerFollow timer = iota
	// timerDeadlines retries publications and fetches, and ends those whose deadline has passed.
	timerDeadlines
	// timerRefresh ends the wait for a newer configuration.
	timerRefresh
	// timerMove asks the next clients to move to other gateways.
	timerMove
	// timerDeliver delivers the pending records of all trackers at once.
	timerDeliver
	// timerRouted retries what waits for a store in routed topics.
	timerRouted
	// timerStop is the next step of a graceful shutdown.
	timerStop
	// timerTick is the periodic work of each second.
	timerTick
	// timerVerify verifies the trackers that may have missed a record.
	timerVerify
)
