package transport

import (
	"hash/fnv"
	"strings"
	"time"
)

const (
	// retransmissionDelay is that of a frame which an Impairment loses: TCP would
	// deliver it late.
	retransmissionDelay = 200 * time.Millisecond
	// lossScale is the resolution of the probabilities of loss.
	lossScale = 100_000
)

// Impairment is what a trial imposes on links. The links are chosen by prefixes
// of the other daemon's address.
type Impairment struct {
	// Delays are added to what is sent. Loss is the probability, 0 to 1, that a
	// frame is delayed as by a retransmission.
	Delays map[string]time.Duration
	Loss   map[string]float64
	// Partitioned links drop frames in both directions, OutboundBlocked and
	// InboundBlocked links in one.
	Partitioned     []string
	OutboundBlocked []string
	InboundBlocked  []string
}

// none reports whether nothing is imposed.
func (i *Impairment) none() bool {
	return len(i.Delays)+len(i.Loss)+len(i.Partitioned)+len(i.OutboundBlocked)+len(i.InboundBlocked) == 0
}

func (i *Impairment) blocksOutbound(address string) bool {
	return hasAnyPrefix(address, i.Partitioned) || hasAnyPrefix(address, i.OutboundBlocked)
}

func (i *Impairment) blocksInbound(address string) bool {
	return hasAnyPrefix(address, i.Partitioned) || hasAnyPrefix(address, i.InboundBlocked)
}

// delay returns by how much a frame to an address is delayed. Whether it is lost
// follows from a hash of its bytes. Where several prefixes of Delays match, any one
// of them counts; where several of Loss match, each may add a retransmission.
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

// SetImpairment replaces the impairment. It may be called at any time.
func (t *Transport) SetImpairment(impairment Impairment) {
	t.impairment.Store(&impairment)
}

// blocksOutbound reports whether nothing may be sent to an address.
func (t *Transport) blocksOutbound(address string) bool {
	return t.impairment.Load().blocksOutbound(address)
}
