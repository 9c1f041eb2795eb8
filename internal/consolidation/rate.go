package consolidation

import (
	"time"

	"dahlialock/internal/membership"
)

const (
	// rateInterval is the least time between two loads from which a rate is computed.
	rateInterval = time.Second
	// rateSmoothing is the weight of the newest rate in the moving average.
	rateSmoothing = 0.3
)

// loadRate turns the running counters of one gateway's loads into smoothed rates.
type loadRate struct {
	// at and load are the time and the counters of the last update.
	at   time.Time
	load membership.Load
	// known is set once a first rate was computed.
	known bool
	// delivered and copies are deliveries and received record copies a second.
	delivered float64
	copies    float64
	// processor is the processor time used, in seconds a second.
	processor float64
}

// restarted reports whether counters went down, as those of a restarted gateway do.
func (r *loadRate) restarted(load membership.Load) bool {
	return load.Delivered < r.load.Delivered || load.ProcessorTime < r.load.ProcessorTime
}

// update takes the newest counters into the rates, unless the last update is too recent.
func (r *loadRate) update(reportedAt time.Time, load membership.Load) {
	elapsed := reportedAt.Sub(r.at)
	if elapsed < rateInterval {
		return
	}
	seconds := elapsed.Seconds()
	updated := loadRate{
		at:        reportedAt,
		load:      load,
		known:     true,
		delivered: float64(load.Delivered-r.load.Delivered) / seconds,
		copies:    float64(load.ForwardedMessages-r.load.ForwardedMessages) / seconds,
		processor: (load.ProcessorTime - r.load.ProcessorTime).Seconds() / seconds,
	}
	if r.known {
		updated.delivered = smoothed(r.delivered, updated.delivered)
		updated.copies = smoothed(r.copies, updated.copies)
		updated.processor = smoothed(r.processor, updated.processor)
	}
	*r = updated
}

// smoothed is the exponential moving average after one more value.
func smoothed(average, newest float64) float64 {
	return average + rateSmoothing*(newest-average)
}
