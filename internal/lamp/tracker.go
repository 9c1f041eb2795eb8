// A tracker follows one strand for all the subscribers here. It hands messages
// over only when what they follow was handed over: the topic's message before,
// and the sender's message before wherever it is kept. What is missing is
// fetched from the strand's first. The first tells the head of the strand as it
// moves, and the tracker then verifies that it missed nothing up to there, so
// that a lost last message shows too.
package lamp

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"dahlialock/internal/chart"
	"dahlialock/internal/foghorn"
	"dahlialock/internal/helm"
	"dahlialock/internal/soundings"
	"dahlialock/internal/strand"
)

const (
	verifyEvery = time.Second
	holeAfter   = 40 * time.Millisecond
	followEvery = 2 * time.Second
	skipMost    = 2048
	knotAfter   = 8 * time.Second
	pumpAtOnce  = 64
	pumpEvery   = 20 * time.Millisecond
)

type followed struct {
	interest Interest
	holders  int
	since    uint64
}

type tracker struct {
	name      string
	space     string
	shared    bool
	interests map[Interest]*followed
	version   uint64
	verified  uint64
	began     bool
	head      uint64
	delivered map[uint64]time.Time
	held      map[uint64]strand.Record
	heldSince map[uint64]time.Time
	verifying bool
	wanted    bool
	freshAt   time.Time
	askedAt   time.Time
	full      string
}

// spaceOf takes a strand's name apart.
func spaceOf(name string) (space, full string) {
	full, _, _ = strings.Cut(name, "/")
	space, _, _ = strings.Cut(full, "~")
	return space, full
}

func (lantern *Lantern) follow(now time.Time, name string) *tracker {
	present, found := lantern.trackers[name]
	if !found {
		space, full := spaceOf(name)
		present = &tracker{
			name: name, space: space, full: full, freshAt: now, interests: map[Interest]*followed{}, delivered: map[uint64]time.Time{}, held: map[uint64]strand.Record{}, heldSince: map[uint64]time.Time{},
		}
		if state, known := lantern.spaces[space]; known {
			present.shared = state.space.Order == chart.OrderChannel
		}
		lantern.trackers[name] = present
		lantern.timers.ArmSooner("follow", now)
	}
	return present
}

func (tracker *tracker) add(interest Interest) {
	present, found := tracker.interests[interest]
	if !found {
		present = &followed{interest: interest, since: everything}
		tracker.interests[interest] = present
		tracker.version++
	}
	present.holders++
}

// remove takes one holder away and tells whether nobody is left.
func (tracker *tracker) remove(interest Interest) bool {
	present, found := tracker.interests[interest]
	if !found {
		return len(tracker.interests) == 0
	}
	present.holders--
	if present.holders == 0 {
		delete(tracker.interests, interest)
	}
	return len(tracker.interests) == 0
}

// begin notes from where on an interest is live.
func (tracker *tracker) begin(interest Interest, since uint64) {
	if present, found := tracker.interests[interest]; found && since < present.since {
		present.since = since
	}
	if !tracker.began {
		tracker.began = true
		tracker.verified = since
		tracker.head = max(tracker.head, since)
	}
}

// startOf is from where on a topic is followed live; everything if not yet.
func (tracker *tracker) startOf(topic string) (since uint64, followedAtAll bool) {
	since = everything
	for interest, present := range tracker.interests {
		if tracker.shared || interest.matches(topic) {
			followedAtAll = true
			since = min(since, present.since)
		}
	}
	return since, followedAtAll
}

// settled tells whether a message was handed over here or need not be.
func (tracker *tracker) settled(topic string, offset uint64) bool {
	if offset <= tracker.verified && tracker.began {
		return true
	}
	if _, had := tracker.delivered[offset]; had {
		return true
	}
	since, matters := tracker.startOf(topic)
	return !matters || offset <= since && since != everything
}

func (tracker *tracker) prune(now time.Time) {
	for offset := range tracker.heldSince {
		if _, waits := tracker.held[offset]; !waits {
			delete(tracker.heldSince, offset)
		}
	}
	for offset, at := range tracker.delivered {
		if offset <= tracker.verified && now.Sub(at) > verifyEvery {
			delete(tracker.delivered, offset)
		}
	}
}

// onCarry takes a kept message, and tells whether anybody here wants it.
func (lantern *Lantern) onCarry(now time.Time, carry Carry, effects *helm.Effects) bool {
	tracker, found := lantern.trackers[carry.Strand]
	if !found {
		return false
	}
	offset := carry.Record.Offset
	if _, had := tracker.delivered[offset]; had || tracker.began && offset <= tracker.verified {
		return true
	}
	if _, matters := tracker.startOf(carry.Record.Topic); !matters {
		return false
	}
	if len(tracker.held) < heldMost {
		tracker.held[offset] = carry.Record
	}
	tracker.head = max(tracker.head, offset)
	if lantern.pumpLater(now) {
		return true
	}
	lantern.pump(now, effects)
	if _, waits := tracker.held[offset]; waits && tracker.began {
		lantern.Counts.Holes++
		effects.Note(foghorn.HoleFound, "strand", carry.Strand, "offset", offset, "prior", carry.Record.Prior)
		lantern.ring.Record(now, "", soundings.MessageName(tracker.space, carry.Record.Sender, carry.Record.Seq), "", "waits",
			"strand", carry.Strand, "offset", offset, "prior", carry.Record.Prior, "before", carry.Record.Before.Marks, "verified", tracker.verified)
		tracker.wanted = true
		lantern.timers.ArmSooner("verify", now.Add(holeAfter))
		lantern.wantBefore(tracker, carry.Record)
	}
	return true
}

// wantBefore marks the strands in which something before a message is missing.
func (lantern *Lantern) wantBefore(tracker *tracker, record strand.Record) {
	for _, mark := range record.Before.Marks {
		if other, found := lantern.trackers[strandName(tracker.full, int(mark.Strand))]; found && !other.settled(mark.Topic, mark.Offset) {
			other.wanted = true
		}
	}
	for _, reach := range record.Before.Floor {
		if other, found := lantern.trackers[strandName(tracker.full, int(reach.Strand))]; found && !other.reached(reach.Offset) {
			other.wanted = true
		}
	}
}

// reached tells whether all of a strand up to an offset is settled here.
func (tracker *tracker) reached(offset uint64) bool {
	if tracker.began && offset <= tracker.verified {
		return true
	}
	for _, present := range tracker.interests {
		if present.since == everything || present.since < offset {
			return false
		}
	}
	return true
}

// fresh tells whether every strand of a space that is followed here was
// verified lately, so that nothing older than a trail can be missing.
func (lantern *Lantern) fresh(now time.Time, full string) bool {
	for _, other := range lantern.trackers {
		if other.full == full && other.began && now.Sub(other.freshAt) > strand.FreshFor {
			return false
		}
	}
	return true
}

// ripe tells whether a held message may be handed over.
func (lantern *Lantern) ripe(now time.Time, tracker *tracker, record strand.Record) bool {
	since, matters := tracker.startOf(record.Topic)
	if matters && since == everything || !tracker.began {
		return false
	}
	if helm.Mutated("no-order") {
		return true
	}
	if tracker.shared && record.Offset > 1 && !tracker.settled(record.Topic, record.Offset-1) {
		return false
	}
	if !tracker.shared && !tracker.settled(record.Topic, record.Prior) {
		return false
	}
	if tracker.shared {
		return true
	}
	// Where all is fresh nothing can be missing for long; what still waits is
	// from a sender that published out of its own order through two lanterns.
	if since, noted := tracker.heldSince[record.Offset]; noted && now.Sub(since) > knotAfter && lantern.fresh(now, tracker.full) {
		return true
	}
	for _, mark := range record.Before.Marks {
		other, found := lantern.trackers[strandName(tracker.full, int(mark.Strand))]
		if found && !(other == tracker && mark.Offset >= record.Offset) && !other.settled(mark.Topic, mark.Offset) {
			return false
		}
	}
	for _, reach := range record.Before.Floor {
		other, found := lantern.trackers[strandName(tracker.full, int(reach.Strand))]
		if found && !(other == tracker && reach.Offset >= record.Offset) && !other.reached(reach.Offset) {
			return false
		}
	}
	return lantern.fresh(now, tracker.full)
}

// waiting is a held message of a sender, with its strand.
type waiting struct {
	tracker *tracker
	record  strand.Record
}

// pumpLater tells whether so much is held that looking through all of it for
// each message would cost more than a moment's wait; then one look serves all
// that come meanwhile.
func (lantern *Lantern) pumpLater(now time.Time) bool {
	held := 0
	for _, tracker := range lantern.trackers {
		held += len(tracker.held)
	}
	if held <= pumpAtOnce {
		return false
	}
	lantern.timers.ArmSooner("pump", now.Add(pumpEvery))
	return true
}

// pumpAll is that look; what still waits then is asked for.
func (lantern *Lantern) pumpAll(now time.Time, effects *helm.Effects) {
	lantern.pump(now, effects)
	for _, tracker := range helm.Sorted(lantern.trackers) {
		if !tracker.began || len(tracker.held) == 0 {
			continue
		}
		tracker.wanted = true
		lantern.timers.ArmSooner("verify", now.Add(holeAfter))
		for _, record := range helm.Sorted(tracker.held) {
			lantern.wantBefore(tracker, record)
		}
	}
}

// pump hands over all that has become ripe, until nothing more does. Of each
// sender's held messages in a space only the one with the lowest seq may go.
func (lantern *Lantern) pump(now time.Time, effects *helm.Effects) {
	bySender := map[string][]waiting{}
	for _, tracker := range helm.Sorted(lantern.trackers) {
		for offset, record := range helm.Sorted(tracker.held) {
			if _, had := tracker.delivered[offset]; had || tracker.began && offset <= tracker.verified {
				delete(tracker.held, offset)
				continue
			}
			if _, noted := tracker.heldSince[offset]; !noted {
				tracker.heldSince[offset] = now
			}
			key := tracker.full + " " + record.Sender
			bySender[key] = append(bySender[key], waiting{tracker: tracker, record: record})
		}
	}
	for key := range bySender {
		slices.SortStableFunc(bySender[key], func(left, right waiting) int { return cmp.Compare(left.record.Seq, right.record.Seq) })
	}
	for progress := len(bySender) > 0; progress; {
		progress = false
		for key, queue := range helm.Sorted(bySender) {
			for len(queue) > 0 && lantern.ripe(now, queue[0].tracker, queue[0].record) {
				next := queue[0]
				queue = queue[1:]
				delete(next.tracker.held, next.record.Offset)
				progress = true
				lantern.deliver(now, next.tracker, next.record, effects)
			}
			bySender[key] = queue
		}
	}
}

func (lantern *Lantern) deliver(now time.Time, tracker *tracker, record strand.Record, effects *helm.Effects) {
	tracker.delivered[record.Offset] = now
	if tracker.shared && record.Offset == tracker.verified+1 {
		tracker.verified = record.Offset
	}
	state, found := lantern.spaces[tracker.space]
	if !found {
		return
	}
	for id := range helm.Sorted(state.holders(record.Topic)) {
		if channel, open := lantern.channels[id]; open {
			lantern.offer(now, id, channel, Carry{Strand: tracker.name, Record: record}, effects)
		}
	}
}

// holders lists the channels with a subscription that matches a topic exactly,
// whatever else shares the topic's square.
func (state *spaceState) holders(topic string) map[uint64]bool {
	found := map[uint64]bool{}
	if helm.Mutated("no-exact-match") {
		for _, ids := range state.topics {
			for id := range ids {
				found[id] = true
			}
		}
	}
	for id := range state.topics[topic] {
		found[id] = true
	}
	if len(state.wides) == 0 {
		return found
	}
	for end := len(topic); end >= 0; end-- {
		if end == len(topic) || end == 0 || topic[end] == '/' {
			for id := range state.wides[topic[:end]] {
				found[id] = true
			}
		}
	}
	return found
}

// onPass takes a passing message, and tells whether anybody here wants it.
func (lantern *Lantern) onPass(now time.Time, message Pass, effects *helm.Effects) bool {
	space, _ := spaceOf(message.Space + "/")
	state, found := lantern.spaces[space]
	if !found || state.name != message.Space {
		return false
	}
	if !message.Late {
		state.remember(now, message, false)
	}
	return lantern.passHere(now, state, message, effects)
}

// passHere hands a passing message to this lantern's own channels.
func (lantern *Lantern) passHere(now time.Time, state *spaceState, message Pass, effects *helm.Effects) bool {
	holders := state.holders(message.Topic)
	for id := range helm.Sorted(holders) {
		if channel, open := lantern.channels[id]; open {
			lantern.offerPass(now, id, channel, message, effects)
		}
	}
	return len(holders) > 0
}

// Verifying.

func (lantern *Lantern) onHeads(now time.Time, heads strand.Heads, effects *helm.Effects) {
	for _, head := range heads.Heads {
		if chart.IsShared(head.Strand) {
			lantern.onTopicHeads(now, head, effects)
			continue
		}
		tracker, found := lantern.trackers[head.Strand]
		if !found || head.Epoch < lantern.follower.Places[head.Strand].Epoch {
			continue
		}
		tracker.head = max(tracker.head, head.Offset)
		if tracker.began && head.Offset > tracker.verified {
			tracker.wanted = true
			lantern.timers.ArmSooner("verify", now.Add(verifyEvery/2))
		} else if tracker.began {
			tracker.freshen(lantern.followedAt)
		}
	}
	lantern.pump(now, effects)
}

func (tracker *tracker) freshen(at time.Time) {
	if at.After(tracker.freshAt) {
		tracker.freshAt = at
	}
}

func (lantern *Lantern) verifyAll(now time.Time, effects *helm.Effects) {
	for name, tracker := range helm.Sorted(lantern.trackers) {
		if !tracker.wanted || tracker.verifying || !tracker.began {
			continue
		}
		tracker.wanted = false
		lantern.verify(now, name, tracker, effects)
	}
}

func (lantern *Lantern) verify(now time.Time, name string, tracker *tracker, effects *helm.Effects) {
	if tracker.shared && tracker.head <= tracker.verified && len(tracker.held) == 0 {
		return
	}
	lantern.Counts.Verifies++
	tracker.verifying = true
	tracker.askedAt = now
	asked := &fetched{after: tracker.verified}
	for interest := range tracker.interests {
		if tracker.shared {
			asked.prefixes = []string{""}
			break
		}
		if interest.Wide {
			asked.prefixes = append(asked.prefixes, interest.Path)
		} else {
			asked.topics = append(asked.topics, interest.Path)
		}
	}
	slices.Sort(asked.topics)
	slices.Sort(asked.prefixes)
	for offset := range tracker.delivered {
		if offset > tracker.verified && len(asked.skip) < skipMost {
			asked.skip = append(asked.skip, offset)
		}
	}
	for offset := range tracker.held {
		if len(asked.skip) < skipMost {
			asked.skip = append(asked.skip, offset)
		}
	}
	slices.Sort(asked.skip)
	lantern.nextVisit++
	round := &fetch{
		tracker: name, version: tracker.version, strands: map[string]*fetched{name: asked}, records: map[string][]strand.Record{},
		limit: now.Add(subscribeLimit),
	}
	lantern.fetches[lantern.nextVisit] = round
	lantern.timers.ArmSooner("limits", round.limit)
	lantern.ask(now, lantern.nextVisit, name, asked, effects)
}

// verified takes the answer to a verification: the missing messages go the way
// of all others, and once they were handed over the strand is verified so far.
func (lantern *Lantern) verified(now time.Time, round *fetch, effects *helm.Effects) {
	tracker, found := lantern.trackers[round.tracker]
	if !found {
		return
	}
	tracker.verifying = false
	until := round.strands[round.tracker].until
	records := round.records[round.tracker]
	for _, record := range records {
		if _, had := tracker.delivered[record.Offset]; !had && record.Offset > tracker.verified {
			tracker.held[record.Offset] = record
		}
	}
	if len(records) > 0 {
		effects.Note(foghorn.HoleFilled, "strand", round.tracker, "records", len(records), "until", until)
		for _, record := range records {
			lantern.ring.Record(now, "", soundings.MessageName(tracker.space, record.Sender, record.Seq), "", "repaired", "strand", round.tracker, "offset", record.Offset)
		}
	}
	// The answer holds all of this strand up to there, so nothing within it is
	// missing; only another strand may still hold a message back.
	lantern.pump(now, effects)
	if tracker.version == round.version {
		limit := until
		for offset := range tracker.held {
			limit = min(limit, offset-1)
		}
		if limit > tracker.verified {
			tracker.verified = limit
		}
		// All up to there is here now, though some of it may have to wait.
		tracker.freshen(tracker.askedAt)
		lantern.pump(now, effects)
	}
	if tracker.version != round.version || len(tracker.held) > 0 || tracker.head > tracker.verified {
		tracker.wanted = true
		pause := verifyEvery
		if len(tracker.held) > 0 || tracker.version != round.version {
			pause = holeAfter
		}
		for _, record := range tracker.held {
			lantern.wantBefore(tracker, record)
		}
		lantern.timers.ArmSooner("verify", now.Add(pause))
	}
}

// followHeads asks the keepers that are first for the strands followed here to
// tell their heads, and asks again before they forget.
func (lantern *Lantern) followHeads(now time.Time, effects *helm.Effects) {
	byKeeper := map[string]strand.Follow{}
	lantern.followedAt = now
	add := func(name string, from uint64) {
		if address, _, found := lantern.firstOf(name); found {
			follow := byKeeper[address]
			follow.Strands, follow.From = append(follow.Strands, name), append(follow.From, from)
			byKeeper[address] = follow
		}
	}
	for name := range helm.Sorted(lantern.trackers) {
		add(name, 0)
	}
	for name := range helm.Sorted(lantern.routed.strands) {
		add(name, lantern.routed.told[name])
	}
	for address, follow := range helm.Sorted(byKeeper) {
		effects.Send(address, follow)
	}
	if len(lantern.trackers)+len(lantern.routed.strands) > 0 {
		lantern.timers.Arm("follow", now.Add(followEvery))
	}
}

// placesChanged sends what waits for a keeper to the strand's new first.
func (lantern *Lantern) placesChanged(now time.Time, effects *helm.Effects) {
	for _, item := range helm.Sorted(lantern.appends) {
		if from, known := lantern.senders[item.key]; known && now.Sub(item.sentAt) > 50*time.Millisecond {
			lantern.sendAppend(now, from, item, effects)
		}
	}
	lantern.resendRouted(now, effects)
	if len(lantern.trackers)+len(lantern.routed.strands) > 0 {
		lantern.timers.ArmSooner("follow", now)
	}
}

// TrackerStatus is one strand as it is followed here.
type TrackerStatus struct {
	Verified  uint64        `json:"verified"`
	Head      uint64        `json:"head"`
	Held      int           `json:"held"`
	Began     bool          `json:"began"`
	Verifying bool          `json:"verifying"`
	Wanted    bool          `json:"wanted"`
	Fresh     time.Duration `json:"fresh"`
	Interests int           `json:"interests"`
}

// Trackers tells of every strand followed here, for ctl and the simulator.
func (lantern *Lantern) Trackers(now time.Time) map[string]TrackerStatus {
	statuses := map[string]TrackerStatus{}
	for name, tracker := range lantern.trackers {
		statuses[name] = TrackerStatus{
			Verified: tracker.verified, Head: tracker.head, Held: len(tracker.held), Began: tracker.began, Verifying: tracker.verifying,
			Wanted: tracker.wanted, Fresh: now.Sub(tracker.freshAt), Interests: len(tracker.interests),
		}
	}
	return statuses
}
