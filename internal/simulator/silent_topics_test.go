package simulator

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/membership"
	"dahlialock/internal/partition"
)

// Times of a run in which topics fall silent and are resumed after their first messages have
// expired.
const (
	silentTopicCount = 24
	// secondMessageAfter is the time from the subscriptions to the second messages, and
	// resumedAfter that from there to the resumption: the first messages have expired then, and
	// the second ones are young.
	secondMessageAfter = 65 * time.Second
	resumedAfter       = 10 * time.Second
)

// silentTopics is a run of a publisher and a subscriber at different gateways.
type silentTopics struct {
	run               *Simulation
	publisher, reader *TopicClient
	publishingGateway *Node
	topics            []string
}

// startSilentTopics starts a fleet in which the subscriber's gateway knows all partitions from
// subscriptions to other topics.
func startSilentTopics(seed uint64) *silentTopics {
	run, _ := prepareTopics(seed, Small, 0, nil)
	gateways := run.Nodes(membership.KindGateway)
	silent := &silentTopics{run: run, publishingGateway: gateways[0]}
	var others []string
	for number := range 4 * silentTopicCount {
		others = append(others, fmt.Sprintf("board.other.%d", number))
	}
	for number := range silentTopicCount {
		silent.topics = append(silent.topics, fmt.Sprintf("board.silent.%d", number))
	}
	run.AddTopicClient("other", 0, others...).fixedGateway = gateways[1]
	silent.publisher = run.AddTopicClient("publisher", 0)
	silent.publisher.fixedGateway = gateways[0]
	silent.reader = run.AddTopicClient("reader", 0)
	silent.reader.fixedGateway = gateways[1]
	run.Run(5 * time.Second)
	return silent
}

func (st *silentTopics) publish() {
	for _, topic := range st.topics {
		st.publisher.publish(topic)
	}
}

func (st *silentTopics) subscribe() {
	for _, topic := range st.topics {
		st.reader.addTopic(topic)
	}
}

// limitMemory leaves the stores so little memory that most superseded records are discarded when they
// expire, but no others.
func (st *silentTopics) limitMemory() {
	for _, store := range st.run.Nodes(membership.KindStore) {
		store.Machine.(*partition.Store).SetMemoryBytes(scarceMemory)
	}
}

// resume ends the reader's connection. After the first messages have expired and second ones were
// published, the reader and new clients resume from its cursors. It returns the violations of the run.
func (st *silentTopics) resume(t trial) []string {
	t.Helper()
	return st.resumeAfter(t, func() { st.run.Run(resumedAfter) })
}

// resumeAfter does the same, and calls meanwhile between the second messages and the resumption.
func (st *silentTopics) resumeAfter(t trial, meanwhile func()) []string {
	t.Helper()
	run := st.run
	for _, topic := range st.topics {
		assert.Assert(t, st.reader.topics[topic].cursor != "", "%s has no cursor", topic)
	}
	st.reader.DisconnectFor(true, time.Hour)
	run.Run(secondMessageAfter)
	st.publish()
	meanwhile()
	st.reader.schedule(0)
	run.resumeSavedCursors("taker")
	run.Run(3 * time.Second)
	run.Checker.CheckAllDelivered(run.Now)
	return run.Checker.Violations()
}

// acceptedBeforeSubscription resumes cursors of subscriptions that began right after a message of
// their topics was accepted.
func acceptedBeforeSubscription(t trial, seed uint64) []string {
	t.Helper()
	silent := startSilentTopics(seed)
	silent.publish()
	accepted := func() bool { return len(silent.publisher.outbox) == 0 }
	assert.Assert(t, silent.run.RunUntil(time.Second, accepted), "seed %d", seed)
	silent.subscribe()
	silent.run.Run(100 * time.Millisecond)
	return silent.resume(t)
}

// sentBeforeSubscription resumes cursors of subscriptions that were confirmed while the gateway with
// the publisher was suspended, which then passed on the messages that it had received before.
func sentBeforeSubscription(t trial, seed uint64) []string {
	t.Helper()
	silent := startSilentTopics(seed)
	silent.publishingGateway.Freeze()
	silent.publish()
	silent.run.Run(10 * time.Millisecond)
	silent.subscribe()
	silent.run.Run(200 * time.Millisecond)
	for _, topic := range silent.topics {
		assert.Assert(t, silent.reader.topics[topic].confirmed, "seed %d: %s is not confirmed", seed, topic)
	}
	silent.publishingGateway.Thaw()
	silent.run.Run(100 * time.Millisecond)
	assert.Equal(t, len(silent.publisher.outbox), 0)
	return silent.resume(t)
}

// wipedAfterExpiry resumes cursors after each store in turn has lost its disk, so that the tails of the
// topics have gone through snapshots to new replicas, and each leader has changed.
func wipedAfterExpiry(t trial, seed uint64) []string {
	t.Helper()
	silent := startSilentTopics(seed)
	run := silent.run
	silent.publish()
	accepted := func() bool { return len(silent.publisher.outbox) == 0 }
	assert.Assert(t, run.RunUntil(time.Second, accepted), "seed %d", seed)
	silent.subscribe()
	run.Run(100 * time.Millisecond)
	return silent.resumeAfter(t, func() {
		run.Run(time.Second)
		for _, store := range run.Nodes(membership.KindStore) {
			store.Kill()
			store.Wipe()
			run.Run(time.Second)
			store.Start()
			run.Run(replacedWithin)
		}
	})
}

// reportsMissing resumes cursors of subscriptions that were requested while their gateway had been cut
// off from the stores for longer than a tail spans. The stores don't keep superseded records.
// It returns also whether the subscriptions were confirmed before the links were restored.
func reportsMissing(t trial, seed uint64) (violations []string, confirmed bool) {
	t.Helper()
	silent := startSilentTopics(seed)
	silent.limitMemory()
	run, reading := silent.run, silent.run.Nodes(membership.KindGateway)[1]
	silent.reader.ignoreRejections = true
	for _, store := range run.Nodes(membership.KindStore) {
		run.CutLink(store, reading)
		run.CutLink(reading, store)
	}
	silent.publish()
	run.Run(longerThanTailSpan)
	silent.publish()
	run.Run(100 * time.Millisecond)
	silent.subscribe()
	run.Run(100 * time.Millisecond)
	for _, topic := range silent.topics {
		confirmed = confirmed || silent.reader.topics[topic].confirmed
	}
	run.Heal()
	run.Run(3 * time.Second)
	return silent.resume(t), confirmed
}

// acknowledgementsLost resumes cursors before two messages on each topic that were appended, and whose
// acknowledgements never reached the publisher, since its connection was reset.
func acknowledgementsLost(t trial, seed uint64) []string {
	t.Helper()
	silent := startSilentTopics(seed)
	run := silent.run
	silent.subscribe()
	run.Run(100 * time.Millisecond)
	silent.reader.DisconnectFor(true, time.Hour)
	for range 2 {
		accepted := run.Checker.Accepted
		silent.publish()
		run.Run(cutAfter)
		silent.publisher.DisconnectFor(true, awayAfterCut)
		run.Run(longerThanTailSpan)
		assert.Equal(t, run.Checker.Accepted, accepted, "seed %d", seed)
	}
	return silent.resume(t)
}

const (
	silentTopicSeeds = 4
	// cutAfter is the time in which a publication reaches its gateway, but no answer comes back, and
	// awayAfterCut longer than a publisher tries to send a message.
	cutAfter           = 3 * time.Millisecond
	awayAfterCut       = 2 * time.Second
	longerThanTailSpan = 14 * time.Second
	// scarceMemory is the memory in bytes of a store that discards superseded records.
	scarceMemory = 64 << 10
	// replacedWithin is the time in which a store that lost its disk has all its replicas again.
	replacedWithin = 8 * time.Second
)

// A cursor must not be rejected because of a message that was accepted before its subscription.
func TestCursorIsResumedThoughMessageAcceptedBeforeHasExpired(t *testing.T) {
	for seed := range uint64(silentTopicSeeds) {
		assert.Equal(t, fmt.Sprint(acceptedBeforeSubscription(t, seed)), "[]", "seed %d", seed)
	}
}

// A cursor must not be rejected because of messages that were never acknowledged to their publisher: it is
// not known whether any subscription has to receive them.
func TestCursorIsResumedThoughUnacknowledgedMessagesHaveExpired(t *testing.T) {
	for seed := range uint64(silentTopicSeeds) {
		assert.Equal(t, fmt.Sprint(acknowledgementsLost(t, seed)), "[]", "seed %d", seed)
	}
}

// A cursor must not be rejected because of a message that was sent before its subscription's OK
// and accepted after it.
func TestCursorIsResumedThoughMessageSentBeforeHasExpired(t *testing.T) {
	for seed := range uint64(silentTopicSeeds) {
		assert.Equal(t, fmt.Sprint(sentBeforeSubscription(t, seed)), "[]", "seed %d", seed)
	}
}

// The cursor of a subscription must not lie far before messages that were accepted earlier because its
// gateway missed the leaders' reports: their tails don't reach back that far.
func TestCursorIsResumedThoughReportsWereMissing(t *testing.T) {
	for seed := range uint64(silentTopicSeeds) {
		violations, confirmed := reportsMissing(t, seed)
		assert.Assert(t, !confirmed, "seed %d", seed)
		assert.Equal(t, fmt.Sprint(violations), "[]", "seed %d", seed)
	}
}

// Tails survive the loss of every store's disk, one after the other.
func TestCursorIsResumedThoughStoresWereWiped(t *testing.T) {
	for seed := range uint64(silentTopicSeeds) {
		assert.Equal(t, fmt.Sprint(wipedAfterExpiry(t, seed)), "[]", "seed %d", seed)
	}
}
