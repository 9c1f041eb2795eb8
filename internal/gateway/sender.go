package gateway

import (
	"cmp"
	"slices"
	"time"

	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
)

// senderKey identifies a sender within a space.
type senderKey struct {
	space  string
	sender string
}

// acceptedEphemeral is an ephemeral message of a sender that was accepted within
// ephemeralSeqRetention. The digest of its content distinguishes a retry from another message with
// the same sequence.
type acceptedEphemeral struct {
	digest uint64
	at     time.Time
}

// sender is the state of one sender in one space.
type sender struct {
	// queue are the publications of the sender in order; the first one is being processed.
	queue []*publication
	// lastSeq is the highest accepted sequence that this gateway knows.
	lastSeq uint64
	// lookedUp is set once the stores have reported lastSeq and the dependencies.
	lookedUp bool
	// dependencies are the messages of the sender that were accepted within the dependency window.
	dependencies []dependency
	// arrived is when the sender first published through this gateway or last skipped a sequence. A
	// skipped sequence may mean that it published through another gateway in between.
	arrived time.Time
	// recent are the recent ephemeral messages, by sequence.
	recent map[uint64]acceptedEphemeral
	// blocked is the sequence that was not accepted and must be sent again before later ones, 0 if
	// there is none. It expires blockDuration after blockedAt.
	blocked   uint64
	blockedAt time.Time
	// lastUse is when the sender last published; its state is dropped after senderIdleTimeout.
	lastUse time.Time
}

// dependency is a message that was accepted within partition.DependencyWindow. The next messages of its
// sender depend on it.
type dependency struct {
	position partition.MessagePosition
	seq      uint64
	at       time.Time
}

// currentDependencies returns the dependencies of the sender's next message, and drops expired ones. It
// lists the newest partition.MaxDependencies messages; the older ones are combined into one floor for each
// partition.
func (s *sender) currentDependencies(now time.Time) partition.Dependencies {
	s.dependencies = slices.DeleteFunc(
		s.dependencies,
		func(each dependency) bool { return now.Sub(each.at) > partition.DependencyWindow },
	)
	var result partition.Dependencies
	older := max(0, len(s.dependencies)-partition.MaxDependencies)
	floors := map[uint8]uint64{}
	for _, each := range s.dependencies[:older] {
		floors[each.position.Partition] = max(floors[each.position.Partition], each.position.Offset)
	}
	for number, offset := range statemachine.Sorted(floors) {
		result.Floor = append(result.Floor, partition.PartitionOffset{Partition: number, Offset: offset})
	}
	for _, each := range s.dependencies[older:] {
		result.Messages = append(result.Messages, each.position)
	}
	return result
}

// senderLookup is a pending request to the stores of a space for the newest messages of a sender.
type senderLookup struct {
	key senderKey
	// outstanding is how many stores have not responded. responded has an entry for each store that the
	// request was sent to, which is true once the store has responded.
	outstanding int
	responded   map[string]bool
	// ready is set as long as all responses came from stores that are the leaders of their partitions.
	ready bool
	// lastSeq and recent are the combined results of the responses.
	lastSeq uint64
	recent  []partition.RecentMessage
	// deadline is when the lookup is dropped.
	deadline time.Time
}

// lookUpSender requests the newest messages of a sender from all leaders of the partitions of a space.
func (g *Gateway) lookUpSender(now time.Time, state *spaceState, item *publication, effects *statemachine.Effects) {
	byStore := map[string][]string{}
	for number := range state.space.Partitions() {
		name := partitionName(state.name, number)
		address, _, found := g.leaderOf(name)
		if !found {
			g.viewClient.PollNow(now)
			g.finishPublication(
				now,
				item,
				rejectedReply(503, CodeNotPlaced, "the space's partitions are not placed yet", retryLongDelay),
				effects,
			)
			return
		}
		byStore[address] = append(byStore[address], name)
	}
	g.lastRequest++
	lookup := &senderLookup{
		key:         item.key,
		outstanding: len(byStore),
		responded:   map[string]bool{},
		ready:       true,
		deadline:    item.deadline,
	}
	g.senderLookups[g.lastRequest] = lookup
	for address, names := range statemachine.Sorted(byStore) {
		lookup.responded[address] = false
		effects.Send(address, partition.SenderStateRequest{
			RequestID:  g.lastRequest,
			Partitions: names,
			Sender:     item.request.Sender,
		})
	}
}

// handleSenderResponse handles the response of a store to a sender lookup. Further responses of the same
// store are ignored.
func (g *Gateway) handleSenderResponse(
	now time.Time,
	store string,
	response partition.SenderStateResponse,
	effects *statemachine.Effects,
) {
	lookup, found := g.senderLookups[response.RequestID]
	if !found {
		return
	}
	if responded, requested := lookup.responded[store]; (!requested || responded) && !statemachine.Mutated("any-answer") {
		return
	}
	lookup.responded[store] = true
	lookup.outstanding--
	lookup.ready = lookup.ready && response.Ready
	lookup.lastSeq = max(lookup.lastSeq, response.LastSeq)
	lookup.recent = append(lookup.recent, response.RecentMessages...)
	if lookup.outstanding > 0 {
		return
	}
	delete(g.senderLookups, response.RequestID)
	senderState, known := g.senders[lookup.key]
	if !known || len(senderState.queue) == 0 {
		return
	}
	if !lookup.ready {
		g.viewClient.PollNow(now)
		g.finishPublication(
			now,
			senderState.queue[0],
			rejectedReply(503, CodePartitionMoving, "a partition of the space is being taken over", retryLongDelay),
			effects,
		)
		return
	}
	senderState.lookedUp, senderState.lastSeq, senderState.dependencies = true, lookup.lastSeq, nil
	slices.SortFunc(
		lookup.recent,
		func(left, right partition.RecentMessage) int { return cmp.Compare(left.Seq, right.Seq) },
	)
	for _, each := range lookup.recent {
		senderState.dependencies = append(senderState.dependencies, dependency{
			position: each.Position,
			seq:      each.Seq,
			at:       now.Add(-each.Age / 2),
		})
	}
	g.startNextPublication(now, senderState, effects)
}

// sortedSenders iterates over the senders with queued publications, sorted by space and name.
func (g *Gateway) sortedSenders() func(yield func(senderKey, *sender) bool) {
	return func(yield func(senderKey, *sender) bool) {
		byName := map[string]senderKey{}
		for key, senderState := range g.senders {
			if len(senderState.queue) > 0 {
				byName[key.space+" "+key.sender] = key
			}
		}
		for _, key := range statemachine.Sorted(byName) {
			if senderState, found := g.senders[key]; found && !yield(key, senderState) {
				return
			}
		}
	}
}

// sendersOf returns the senders of a space, by name.
func (g *Gateway) sendersOf(space string) map[string]*sender {
	found := map[string]*sender{}
	for key, sender := range g.senders {
		if key.space == space {
			found[key.sender] = sender
		}
	}
	return found
}
