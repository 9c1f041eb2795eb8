package partition

import "strings"

// timer is the key of one of the store's timers. Timers that expire at the same time run in the
// order of their keys, and recorded runs depend on that order: the numbers at the beginning of
// the keys must keep it.
type timer string

const (
	timerReplicate        timer = "1 replicate"
	timerDrain            timer = "3 drain"
	timerProbeDisk        timer = "4 probe disk"
	timerReportReplicated timer = "5 report replicated"
	timerRetention        timer = "6 retention"

	// highWatermarksPrefix is the prefix of the keys of subscribers' timers; the address follows
	// it.
	highWatermarksPrefix = "2 high watermarks "
)

// highWatermarksTimer returns the timer that sends high watermarks to a subscriber.
func highWatermarksTimer(address string) timer { return timer(highWatermarksPrefix + address) }

// subscriber returns the address of the subscriber that a timer belongs to.
func (t timer) subscriber() (address string, found bool) {
	return strings.CutPrefix(string(t), highWatermarksPrefix)
}
