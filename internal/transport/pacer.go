package transport

import (
	"sync/atomic"
	"time"

	"dahlialock/internal/statemachine"
)

const (
	// pacerBurst is how far ahead of its time bytes may be given to the link.
	pacerBurst = 20 * time.Millisecond
	// usableShare is the part of the link's rate that is for the bytes of frames;
	// the rest is for what the layers below add.
	usableShare = 0.9
	// windowLimitedRate is the rate in bytes a second from which on a FlowWindow isn't
	// needed: at that rate the link takes the largest window within pacerBurst.
	windowLimitedRate = maxWindow * int64(time.Second/pacerBurst)
)

// Pacer limits what is given to the machine's link to its bandwidth, so that
// what the link can't take yet waits in a PriorityQueue, where it can still be
// reordered, and not in the buffers below. It may be used by several goroutines.
// The zero value has no limit.
type Pacer struct {
	// rate is in bytes a second, 0 for no limit.
	rate atomic.Int64
	// freeAt is when the link will have taken all it was given, in nanoseconds
	// since 1970. It never goes back.
	freeAt atomic.Int64
}

// SetRate sets the bytes a second that the link takes, 0 for no limit.
func (p *Pacer) SetRate(rate int) { p.rate.Store(int64(float64(rate) * usableShare)) }

// Spend accounts for bytes that are given to the link.
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

// Delay returns how long nothing more may be given to the link, 0 if it may at
// once.
func (p *Pacer) Delay(now time.Time) time.Duration {
	if p.rate.Load() == 0 || statemachine.Mutated(mutationSingleClass) {
		return 0
	}
	return max(0, time.Duration(p.freeAt.Load()-now.UnixNano())-pacerBurst)
}

// RequiresAcknowledgements reports whether a receiver on this machine's link is
// to acknowledge what it receives, for the FlowWindow of the sender.
func (p *Pacer) RequiresAcknowledgements() bool {
	rate := p.rate.Load()
	return rate > 0 && rate < windowLimitedRate
}
