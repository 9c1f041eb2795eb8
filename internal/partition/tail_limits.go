package partition

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/statemachine"
)

const (
	// defaultMemoryBytes is the memory that a store whose memory is not limited is assumed to have.
	defaultMemoryBytes = 256 << 20
	// historyShare is the share of the memory that all records of shared partitions may take: the
	// retained and the expired ones. Expired records may always take minTailShare, and superseded
	// ones never more: writing a checkpoint delays the appends behind it.
	historyShare = 4
	minTailShare = 32
	// recordOverheadBytes is what a record takes in memory beside its data.
	recordOverheadBytes = 256
)

// tailLimits bound the bytes of the expired records that a store keeps, in all partitions together.
//
// A record is superseded if a later one of its topic has expired that was appended more than the tail
// span after it: a subscription that lacks the first is most likely rejected rightly, for the second.
// For any other record that is unknown. Superseded records are therefore discarded first.
type tailLimits struct {
	superseded int
	total      int
}

// tailLimitsOf returns the limits of a store with a memory limit, 0 if it has none, whose retained
// records take a number of bytes.
func tailLimitsOf(memoryBytes int64, retainedBytes int) tailLimits {
	if memoryBytes == 0 {
		memoryBytes = defaultMemoryBytes
	}
	least := int(memoryBytes / minTailShare)
	return tailLimits{superseded: least, total: max(least, int(memoryBytes/historyShare)-retainedBytes)}
}

// memoryBytes returns about how much memory a record takes.
func (r *Record) memoryBytes() int { return recordOverheadBytes + len(r.Data) }

// retainedBytes returns the memory that the records which have not expired take.
func (l *log) retainedBytes() int {
	total := 0
	for position := range l.Records {
		total += l.Records[position].memoryBytes()
	}
	return total
}

// oldestIsSuperseded reports whether the oldest record of the tail is superseded.
func (t topicTail) oldestIsSuperseded(span time.Duration) bool {
	newest := t.Records[len(t.Records)-1]
	return newest.AppendedAt.Sub(t.Records[0].AppendedAt) > span
}

// tailBytes returns the memory that the records in the tails of a log take, and the part of the
// superseded ones.
func (l *log) tailBytes(span time.Duration) (total, superseded int) {
	for _, tail := range l.Tails {
		newest := tail.Records[len(tail.Records)-1].AppendedAt
		for position := range tail.Records {
			size := tail.Records[position].memoryBytes()
			total += size
			if newest.Sub(tail.Records[position].AppendedAt) > span {
				superseded += size
			}
		}
	}
	return total, superseded
}

// limitTails discards expired records of shared partitions until their tails are within the limits
// that follow from the store's memory.
func (s *Store) limitTails(now time.Time, span time.Duration) {
	var logs []*log
	retained := 0
	for name, partition := range statemachine.Sorted(s.replicas) {
		if config.IsShared(name) {
			logs = append(logs, partition.log)
			retained += partition.log.retainedBytes()
		}
	}
	discardExcess(now, logs, span, tailLimitsOf(s.settings.MemoryBytes, retained))
}

// discardExcess discards expired records of the logs until their tails are within the limits.
func discardExcess(now time.Time, logs []*log, span time.Duration, limits tailLimits) {
	total, superseded := 0, 0
	for _, each := range logs {
		logTotal, logSuperseded := each.tailBytes(span)
		total += logTotal
		superseded += logSuperseded
	}
	excess := max(superseded-limits.superseded, min(superseded, total-limits.total))
	total -= discard(now, logs, span, true, excess)
	discard(now, logs, span, false, total-limits.total)
}

// tailKey names a tail.
type tailKey struct {
	log   *log
	topic string
}

// discardCandidate is the oldest record of a tail. Only the oldest one is ever discarded, so that all
// readable records of a topic follow its discarded ones.
type discardCandidate struct {
	tailKey
	// cost is the product of the record's size and age. Discarding by cost gives each record an
	// equal share of memory over time, so that large messages don't displace small ones.
	cost int64
}

// discardQueue is a heap with the most expensive candidate at the front.
type discardQueue []discardCandidate

func (q discardQueue) Len() int { return len(q) }

func (q discardQueue) Less(left, right int) bool {
	return cmp.Or(
		cmp.Compare(q[right].cost, q[left].cost),
		cmp.Compare(q[left].log.Name, q[right].log.Name),
		cmp.Compare(q[left].topic, q[right].topic),
	) < 0
}

func (q discardQueue) Swap(left, right int) { q[left], q[right] = q[right], q[left] }

// Push implements heap.Interface.
func (q *discardQueue) Push(candidate any) { *q = append(*q, candidate.(discardCandidate)) }

// Pop implements heap.Interface.
func (q *discardQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// discard discards expired records, the most expensive ones first, until that has freed the given
// number of bytes. It returns how many it has freed, which are fewer if there are no more records, or, with
// supersededOnly, no more superseded ones.
func discard(now time.Time, logs []*log, span time.Duration, supersededOnly bool, bytes int) (freed int) {
	if bytes <= 0 {
		return 0
	}
	var queue discardQueue
	for _, each := range logs {
		for topic, tail := range each.Tails {
			if !supersededOnly || tail.oldestIsSuperseded(span) {
				queue = append(queue, newDiscardCandidate(now, each, topic))
			}
		}
	}
	heap.Init(&queue)
	shortened := map[tailKey]bool{}
	for freed < bytes && len(queue) > 0 {
		next := heap.Pop(&queue).(discardCandidate)
		freed += next.log.discardOldest(next.topic)
		shortened[next.tailKey] = true
		tail, remaining := next.log.Tails[next.topic]
		if remaining && (!supersededOnly || tail.oldestIsSuperseded(span)) {
			heap.Push(&queue, newDiscardCandidate(now, next.log, next.topic))
		}
	}
	for key := range shortened {
		key.log.releaseDiscarded(key.topic)
	}
	return freed
}

func newDiscardCandidate(now time.Time, log *log, topic string) discardCandidate {
	oldest := &log.Tails[topic].Records[0]
	age := max(0, now.Sub(oldest.AppendedAt).Milliseconds())
	return discardCandidate{tailKey: tailKey{log: log, topic: topic}, cost: int64(oldest.memoryBytes()) * age}
}

// discardOldest discards the oldest record in the tail of a topic, and returns its size.
func (l *log) discardOldest(topic string) int {
	tail := l.Tails[topic]
	oldest := &tail.Records[0]
	size := oldest.memoryBytes()
	tail.Discarded = positionOf(*oldest)
	tail.Records = tail.Records[1:]
	l.Tails[topic] = tail
	if len(tail.Records) == 0 {
		// ExpiredTopics has the same position.
		delete(l.Tails, topic)
	}
	return size
}

// releaseDiscarded copies the tail of a topic, if it has one left, so that the memory of the records
// discarded from it is freed. Clones of the log may still read the old slice.
func (l *log) releaseDiscarded(topic string) {
	if tail, found := l.Tails[topic]; found {
		tail.Records = slices.Clone(tail.Records)
		l.Tails[topic] = tail
	}
}
