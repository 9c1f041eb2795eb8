package transport

import (
	"sync/atomic"
	"time"

	"dahlialock/internal/statemachine"
)

const (
	// pacerBurst bounds how much may be sent ahead of the link's rate, as the time that
	// the link takes to transmit it.
	pacerBurst = 20 * time.Millisecond
	// usableShare is the share of the link's rate that is available for frames; the
	// rest is for the headers of the lower layers.
	usableShare = 0.9
	// windowLimitedRate is the rate in bytes per second from which on no FlowWindow is
	// needed: at that rate the link transmits the largest window within pacerBurst.
	windowLimitedRate = maxWindow * int64(time.Second/pacerBurst)
)

// Pacer limits the sending rate to the bandwidth of the host's network link. Data that
// exceeds the bandwidth then waits in a PriorityQueue, where it can still be reordered,
// and not in the buffers of the kernel or the network. It may be used by several
// goroutines. The zero value has no limit.
type Pacer struct {
	// rate is in bytes per second, 0 for no limit.
	rate atomic.Int64
	// freeAt is when the link will have transmitted all bytes so far, in nanoseconds
	// since 1970. It never decreases.
	freeAt atomic.Int64
}

// SetRate sets the bandwidth of the link in bytes per second, 0 for no limit.
func (p *Pacer) SetRate(rate int) { p.rate.Store(int64(float64(rate) * usableShare)) }

// Spend accounts for bytes that are sent over the link.
func (p *Pacer) Spend(now time.Time, size int) {
	rate := p.rate.Load()
	if rate == 0 {
		return
	}
	cost := int64(size) * int64(time.Second) / rate
	for {
		freeAt := p.freeAt.Load()
		if p.freeAt.CompareAndSwap(freeAt, max(freeAt, now.UnixNano())+cost) {
			return
		}
	}
}

// Delay returns how long to wait before more bytes may be sent over the link, 0 if they
// may be sent now.
func (p *Pacer) Delay(now time.Time) time.Duration {
	if p.rate.Load() == 0 || statemachine.Mutated(mutationSingleClass) {
		return 0
	}
	return max(0, time.Duration(p.freeAt.Load()-now.UnixNano())-pacerBurst)
}

// RequiresAcknowledgements reports whether a receiver on this host has to acknowledge
// received bytes for the FlowWindow of the sender. It does if the host's link is slow.
func (p *Pacer) RequiresAcknowledgements() bool {
	rate := p.rate.Load()
	return rate > 0 && rate < windowLimitedRate
}
