package consolidation

import (
	"time"

	"dahlialock/internal/membership"
)

const (
	// rateInterval is the minimum time between two loads from which a rate is computed.
	rateInterval = time.Second
	// rateSmoothing is the weight of the newest rate in the moving average.
	rateSmoothing = 0.3
)

// loadRate computes smoothed rates from the cumulative counters in one gateway's loads.
type loadRate struct {
	// at and load are the time and the counters of the last update.
	at   time.Time
	load membership.Load
	// initialized is set once a rate has been computed.
	initialized bool
	// delivered and copies are deliveries and received record copies per second.
	delivered float64
	copies    float64
	// processor is the processor time used, in seconds per second.
	processor float64
}

// restarted reports whether counters have decreased, which happens when a gateway restarts.
func (r *loadRate) restarted(load membership.Load) bool {
	return load.Delivered < r.load.Delivered || load.ProcessorTime < r.load.ProcessorTime
}

// update updates the rates from the newest counters, unless the last update is too recent.
func (r *loadRate) update(reportedAt time.Time, load membership.Load) {
	elapsed := reportedAt.Sub(r.at)
	if elapsed < rateInterval {
		return
	}
	seconds := elapsed.Seconds()
	updated := loadRate{
		at:          reportedAt,
		load:        load,
		initialized: true,
		delivered:   float64(load.Delivered-r.load.Delivered) / seconds,
		copies:      float64(load.ForwardedMessages-r.load.ForwardedMessages) / seconds,
		processor:   (load.ProcessorTime - r.load.ProcessorTime).Seconds() / seconds,
	}
	if r.initialized {
		updated.delivered = smoothed(r.delivered, updated.delivered)
		updated.copies = smoothed(r.copies, updated.copies)
		updated.processor = smoothed(r.processor, updated.processor)
	}
	*r = updated
}

// smoothed returns the exponential moving average after one more value.
func smoothed(average, newest float64) float64 {
	return average + rateSmoothing*(newest-average)
}
