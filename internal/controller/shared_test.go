// Shared partitions against a model: senders that publish on several topics at
// once, with a few messages under way on each, kept and passing ones, under the
// same troubles as a single partition. What was accepted for a topic, sender and
// seq has one offset for ever, is never appended twice and is told again to
// whoever resends it; what was turned away, or passed over by a later one of the
// same sender and topic, is never seen; and whoever follows the heads knows each
// topic's newest message.
package controller

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/config"
	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
)

const (
	sharedConfig = `{"version": 1, "spaces": [{"name": "readings", "promise": "kept", "order": "topic"}, {"name": "alarms", "promise": "passing", "order": "topic"}],
		"routes": [{"prefix": "reading.", "space": "readings"}, {"prefix": "alarm.", "space": "alarms"}]}`
	sharedSenders = 4
	sharedTopics  = 6
	underWay      = 3
)

type publication struct {
	seq     uint64
	tries   int
	refused int
	busy    bool
}

// line is what one sender publishes on one topic.
type line struct {
	topic, sender string
	bare          bool
	seq           uint64
	pending       []*publication
}

func (l *line) name(seq uint64) string {
	return fmt.Sprintf("%s %s/%d", l.topic, l.sender, seq)
}

type sharedYard struct {
	*yard
	lines    []*line
	asked    map[uint64]func(partition.AppendResponse)
	accepted map[string]uint64
	newest   map[string]uint64
	offsets  map[string]string
	never    map[string]bool
	fetches  map[uint64]partition.FetchResponse
	heads    map[string]uint64
	moved    map[uint64]uint64
}

func (sy *sharedYard) append(line *line, seq uint64, then func(partition.AppendResponse)) {
	sy.requests++
	sy.asked[sy.requests] = then
	name := config.SharedPartition(line.topic)
	request := partition.Append{Partition: name, RequestID: sy.requests, Topic: line.topic, Sender: line.sender, Seq: seq, OffsetOnly: line.bare}
	if !line.bare {
		request.Data = []byte(line.name(seq))
	}
	sy.send("gateway", statemachine.Send{To: sy.state.Places[name].Leader, Message: request})
}

func (sy *sharedYard) publish(line *line) {
	sy.after(time.Duration(10+sy.random.IntN(80))*time.Millisecond, func() { sy.publish(line) })
	if sy.calm {
		return
	}
	if len(line.pending) < underWay {
		line.seq += 1 + sy.random.Uint64N(3)
		line.pending = append(line.pending, &publication{seq: line.seq})
	}
	for _, item := range line.pending {
		if !item.busy {
			sy.try(line, item)
		}
	}
}

func (sy *sharedYard) try(line *line, item *publication) {
	item.tries++
	item.busy = true
	try := item.tries
	sy.append(line, item.seq, func(answer partition.AppendResponse) { sy.answered(line, item, answer) })
	sy.after(700*time.Millisecond, func() {
		if item.tries == try {
			item.busy = false
		}
	})
}

func (sy *sharedYard) answered(line *line, item *publication, answer partition.AppendResponse) {
	name := line.name(item.seq)
	item.busy = false
	end := func() {
		for position, other := range line.pending {
			if other == item {
				line.pending = append(line.pending[:position:position], line.pending[position+1:]...)
				return
			}
		}
	}
	switch answer.Outcome {
	case partition.OutcomeAccepted:
		sy.noteAccepted(line, item.seq, answer)
		end()
	case partition.OutcomeRejected:
		if answer.Code == "old-seq" {
			_, had := sy.accepted[name]
			assert.Assert(sy.t, !had, "%s was accepted and then told old-seq", name)
			sy.never[name] = true
			end()
			return
		}
		assert.Assert(sy.t, answer.RetryAfter > 0 && answer.Code != "seq-reused", "%s was told %s", name, answer.Code)
		item.refused++
		if item.refused == item.tries {
			sy.never[name] = true
			end()
		}
	}
}

func (sy *sharedYard) noteAccepted(line *line, seq uint64, answer partition.AppendResponse) {
	name, offset := line.name(seq), answer.Record.Offset
	assert.Assert(sy.t, !sy.never[name], "%s was turned away and is accepted", name)
	if earlier, had := sy.accepted[name]; had {
		assert.Assert(sy.t, earlier == offset, "%s was accepted at %d and again at %d", name, earlier, offset)
	}
	spot := fmt.Sprintf("%s %d", config.SharedPartition(line.topic), offset)
	other, taken := sy.offsets[spot]
	assert.Assert(sy.t, !taken || other == name, "offset %s was given to %s and to %s", spot, other, name)
	sy.accepted[name], sy.offsets[spot] = offset, name
	key := line.topic + line.sender
	sy.newest[key] = max(sy.newest[key], seq)
}

func (sy *sharedYard) hear(from string, message any) {
	switch body := message.(type) {
	case partition.AppendResponse:
		if then, found := sy.asked[body.RequestID]; found {
			delete(sy.asked, body.RequestID)
			then(body)
		}
	case partition.FetchResponse:
		if body.Ready {
			sy.fetches[body.RequestID] = body
		}
	case partition.HighWatermarks:
		for _, head := range body.HighWatermarks {
			if head.From > sy.heads[head.Partition] {
				continue
			}
			sy.heads[head.Partition] = max(sy.heads[head.Partition], head.Offset)
			for _, topic := range head.Topics {
				sy.moved[topic.TopicHash] = max(sy.moved[topic.TopicHash], topic.Offset)
			}
		}
	}
}

func (sy *sharedYard) follow() {
	sy.after(2*time.Second, sy.follow)
	follows := map[string]partition.SubscribeHighWatermarks{}
	for name, place := range statemachine.Sorted(sy.state.Places) {
		follow := follows[place.Leader]
		follow.Partitions, follow.KnownOffsets = append(follow.Partitions, name), append(follow.KnownOffsets, sy.heads[name])
		follows[place.Leader] = follow
	}
	for first, follow := range statemachine.Sorted(follows) {
		sy.send("gateway", statemachine.Send{To: first, Message: follow})
	}
}

func (sy *sharedYard) fetch(topic string) []partition.Record {
	var got []partition.Record
	name := config.SharedPartition(topic)
	for after := uint64(0); ; {
		sy.requests++
		sy.send("gateway", statemachine.Send{To: sy.state.Places[name].Leader, Message: partition.Fetch{Partition: name, RequestID: sy.requests, After: after, Topics: []string{topic}}})
		sy.run(200 * time.Millisecond)
		answer, found := sy.fetches[sy.requests]
		assert.Assert(sy.t, found, "the first of %s does not answer", name)
		assert.Assert(sy.t, !answer.Expired, "nothing may be gone yet")
		got = append(got, answer.Records...)
		if after = answer.Until; after >= answer.HighWatermark {
			return got
		}
	}
}

func newSharedYard(t *testing.T, seed uint64, stores, tolerance int) *sharedYard {
	yard := &sharedYard{
		yard: &yard{
			t: t, random: rand.New(rand.NewPCG(seed, 0x5ea)), state: newState(), wipedAt: -time.Minute, inOrder: map[string]time.Duration{}, lags: map[string]lag{},
		},
		asked: map[uint64]func(partition.AppendResponse){}, accepted: map[string]uint64{}, newest: map[string]uint64{}, offsets: map[string]string{},
		never: map[string]bool{}, fetches: map[uint64]partition.FetchResponse{}, heads: map[string]uint64{}, moved: map[uint64]uint64{},
	}
	yard.told, yard.single = yard.hear, tolerance == 0
	yard.apply(Command{Configuration: configured(1, sharedConfig), Tolerance: &tolerance})
	for number := range stores {
		store := &store{yard: yard.yard, name: fmt.Sprintf("store-%d", number)}
		yard.stores = append(yard.stores, store)
		yard.after(time.Duration(yard.random.IntN(200))*time.Millisecond, store.start)
	}
	yard.after(time.Second, yard.tend)
	for topic := range sharedTopics {
		for sender := range sharedSenders {
			line := &line{topic: fmt.Sprintf("reading.%d", topic), sender: fmt.Sprintf("sender-%d", sender)}
			if topic%3 == 2 {
				line.topic, line.bare = fmt.Sprintf("alarm.%d", topic), true
			}
			yard.lines = append(yard.lines, line)
			yard.after(2*time.Second, func() { yard.publish(line) })
		}
	}
	yard.after(2*time.Second, yard.follow)
	return yard
}

// settle ends all troubles, and lets the stores lose power all at once.
func (sy *sharedYard) settle() {
	sy.calm, sy.loss = true, 0
	for _, store := range sy.stores {
		store.kill()
	}
	sy.run(500 * time.Millisecond)
	for _, store := range sy.stores {
		store.start()
	}
	sy.run(9 * time.Second)
	assert.Assert(sy.t, sy.whole(), "not whole after nine quiet seconds: %+v", sy.state.Places)
}

// judge compares what the stores hold at the end with what they told.
func (sy *sharedYard) judge() {
	held := map[string]uint64{}
	newest := map[string]uint64{}
	for _, line := range sy.lines {
		if newest[line.topic] > 0 || line.bare {
			continue
		}
		last := map[string]uint64{}
		prior := uint64(0)
		for _, record := range sy.fetch(line.topic) {
			name := fmt.Sprintf("%s %s/%d", record.Topic, record.Sender, record.Seq)
			assert.Assert(sy.t, string(record.Data) == name, "%s holds %q", name, record.Data)
			assert.Assert(sy.t, held[name] == 0, "%s is kept twice", name)
			assert.Assert(sy.t, !sy.never[name], "%s was turned away and is kept", name)
			assert.Assert(sy.t, record.Seq > last[record.Sender], "%s after seq %d", name, last[record.Sender])
			assert.Assert(sy.t, record.PreviousInTopic == prior, "%s names %d before it, not %d", name, record.PreviousInTopic, prior)
			held[name], last[record.Sender], prior = record.Offset, record.Seq, record.Offset
		}
		newest[line.topic] = max(prior, 1)
		assert.Assert(sy.t, sy.moved[config.TopicHash(line.topic)] == prior, "followers know %d of %s, which is at %d", sy.moved[config.TopicHash(line.topic)], line.topic, prior)
	}
	sy.asked = map[uint64]func(partition.AppendResponse){}
	for _, line := range sy.lines {
		for seq := range sy.newest[line.topic+line.sender] {
			name := line.name(seq)
			offset, had := sy.accepted[name]
			assert.Assert(sy.t, !had || line.bare || held[name] == offset, "%s was accepted at %d and is at %d", name, offset, held[name])
			if seq%7 != 0 && !had {
				continue
			}
			sy.append(line, seq, func(answer partition.AppendResponse) {
				switch {
				case had:
					assert.Assert(sy.t, answer.Outcome == partition.OutcomeAccepted && answer.Duplicate, "%s was accepted at %d and is now answered %+v", name, offset, answer)
					sy.noteAccepted(line, seq, answer)
				case answer.Outcome == partition.OutcomeAccepted:
					// It was under way when the troubles began, and nobody was told.
					assert.Assert(sy.t, answer.Duplicate && !sy.never[name], "%s is appended below a later one", name)
				default:
					assert.Assert(sy.t, answer.Outcome == partition.OutcomeRejected && answer.Code == "old-seq", "%s is answered %+v", name, answer)
				}
			})
		}
	}
	sy.run(time.Second)
	assert.Assert(sy.t, len(sy.asked) == 0, "%d resends were not answered", len(sy.asked))
	assert.Assert(sy.t, len(sy.accepted) > 1000, "only %d were accepted", len(sy.accepted))
}

// ail brings about trouble with one disk: it is slow, hangs, or refuses.
func (sy *sharedYard) ail() {
	sy.after(time.Duration(3000+sy.random.IntN(5000))*time.Millisecond, sy.ail)
	if sy.calm {
		return
	}
	store := sy.stores[sy.random.IntN(len(sy.stores))]
	length := time.Duration(500+sy.random.IntN(4000)) * time.Millisecond
	switch sy.random.IntN(3) {
	case 0:
		store.slow = time.Duration(20+sy.random.IntN(200)) * time.Millisecond
	case 1:
		store.hung = sy.now + length
	case 2:
		store.hung, store.full = sy.now+length, true
		sy.after(0, store.refuse)
	}
	sy.after(length, func() { store.slow, store.full = 0, false })
}

func TestSharedPartitionsAgainstAModel(t *testing.T) {
	for seed := range uint64(16) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			tolerance := int(seed % 4)
			yard := newSharedYard(t, seed, tolerance+3, tolerance)
			yard.after(4*time.Second, yard.trouble)
			if seed%8 < 4 {
				yard.after(5*time.Second, yard.ail)
			}
			yard.run(40 * time.Second)
			yard.settle()
			yard.judge()
		})
	}
}

// A retired store is taken away the moment it is done, disk and all, and that is
// no loss: another store's disk may be lost right after.
func TestNothingIsLostAfterAStoreIsRetired(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			tolerance := 1 + int(seed%3)
			yard := newSharedYard(t, 100+seed, tolerance+3, tolerance)
			yard.run(15 * time.Second)
			retiring := yard.stores[seed%uint64(len(yard.stores))]
			yard.apply(Command{Retirement: &Retirement{Store: retiring.name, Retiring: true}})
			assert.Equal(t, yard.state.result.outcome, Taken)
			began := yard.now
			for !yard.state.Members[retiring.name].Retired {
				yard.run(10 * time.Millisecond)
				assert.Assert(t, yard.now-began < 3*time.Second, "not done after three seconds")
			}
			t.Logf("done after %s", yard.now-began)
			retiring.kill()
			retiring.frame, retiring.entries = nil, nil
			for step := range tolerance {
				lost := yard.stores[(seed+1+uint64(step))%uint64(len(yard.stores))]
				lost.kill()
				lost.frame, lost.entries = nil, nil
			}
			yard.run(2 * time.Second)
			yard.calm = true
			yard.stores = slices.DeleteFunc(yard.stores, func(store *store) bool { return store == retiring })
			for _, store := range yard.stores {
				store.start()
			}
			yard.run(8 * time.Second)
			assert.Assert(t, yard.whole(), "not whole after eight quiet seconds: %+v", yard.state.Places)
			yard.judge()
		})
	}
}
