package transport

import (
	"hash/fnv"
	"strings"
	"time"
)

const (
	// retransmissionDelay is the delay of a frame that an Impairment treats as lost. It
	// simulates the retransmission by TCP.
	retransmissionDelay = 200 * time.Millisecond
	// lossScale is the resolution of loss probabilities.
	lossScale = 100_000
)

// Impairment is the set of network faults that are injected into links for a trial. The
// links are selected by prefixes of the peer's address.
type Impairment struct {
	// Delays are added to each frame that is sent. Loss is the probability, 0 to 1,
	// that a frame is delayed as by a TCP retransmission.
	Delays map[string]time.Duration
	Loss   map[string]float64
	// Partitioned links drop frames in both directions, OutboundBlocked and
	// InboundBlocked links in one direction.
	Partitioned     []string
	OutboundBlocked []string
	InboundBlocked  []string
}

// isEmpty reports whether the impairment has no effect.
func (i *Impairment) isEmpty() bool {
	return len(i.Delays)+len(i.Loss)+len(i.Partitioned)+len(i.OutboundBlocked)+len(i.InboundBlocked) == 0
}

func (i *Impairment) blocksOutbound(address string) bool {
	return hasAnyPrefix(address, i.Partitioned) || hasAnyPrefix(address, i.OutboundBlocked)
}

func (i *Impairment) blocksInbound(address string) bool {
	return hasAnyPrefix(address, i.Partitioned) || hasAnyPrefix(address, i.InboundBlocked)
}

// delay returns the delay of a frame to an address. Whether the frame counts as lost
// depends on a hash of its bytes. If several prefixes of Delays match, an arbitrary one
// of them applies; if several prefixes of Loss match, each may add a retransmission.
func (i *Impairment) delay(address string, frame []byte) time.Duration {
	var delay time.Duration
	for prefix, length := range i.Delays {
		if strings.HasPrefix(address, prefix) {
			delay = length
		}
	}
	for prefix, probability := range i.Loss {
		if strings.HasPrefix(address, prefix) {
			sum := fnv.New32a()
			_, _ = sum.Write(frame)
			if float64(sum.Sum32()%lossScale) < probability*lossScale {
				delay += retransmissionDelay
			}
		}
	}
	return delay
}

func hasAnyPrefix(address string, prefixes []string) bool {
	for _, prefix := range prefixes {
		if strings.HasPrefix(address, prefix) {
			return true
		}
	}
	return false
}

// SetImpairment replaces the current impairment. It may be called at any time.
func (t *Transport) SetImpairment(impairment Impairment) {
	t.impairment.Store(&impairment)
}

// blocksOutbound reports whether nothing may be sent to an address.
func (t *Transport) blocksOutbound(address string) bool {
	return t.impairment.Load().blocksOutbound(address)
}
