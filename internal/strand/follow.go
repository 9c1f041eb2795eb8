// Fetching and following: what lanterns lack, and how they learn that they lack
// it.
package strand

import (
	"slices"
	"strings"
	"time"

	"dahlialock/internal/chart"
	"dahlialock/internal/helm"
)

func (keeper *Keeper) onFetch(from string, fetch Fetch, effects *helm.Effects) {
	keeper.Counts.Fetches++
	strand, found := keeper.strands[fetch.Strand]
	answer := FetchReturn{Strand: fetch.Strand, Visit: fetch.Visit}
	if !keeper.Ready() || !found || !keeper.isFirst(strand) || strand.firstSince != strand.place.Epoch {
		effects.Send(from, answer)
		return
	}
	answer.Ready = true
	answer.Epoch, answer.Base, answer.Head = strand.place.Epoch, strand.log.Base, strand.accepted
	answer.Until = strand.accepted
	var candidates []Record
	if chart.IsShared(fetch.Strand) {
		answer.Gone = strand.log.gone(fetch.After, fetch.Topics, fetch.Prefixes)
	}
	if len(fetch.Prefixes) == 0 && chart.IsShared(fetch.Strand) {
		candidates = strand.log.of(fetch.Topics, fetch.After, strand.accepted)
	} else {
		candidates = strand.log.after(fetch.After)
	}
	size := 0
	for _, record := range candidates {
		if record.Offset > strand.accepted {
			break
		}
		if record.Bare || !Matches(record.Topic, fetch.Topics, fetch.Prefixes) || slices.Contains(fetch.Skip, record.Offset) {
			continue
		}
		if len(answer.Records) == fetchLimit || size > fetchBytes {
			answer.Until = record.Offset - 1
			break
		}
		size += len(record.Data)
		answer.Records = append(answer.Records, record)
	}
	keeper.Counts.FetchRecords += uint64(len(answer.Records))
	effects.Send(from, answer)
}

// onSenderAsk tells where a sender's newest messages are among the strands that
// this keeper is first for, so that a sender that moved keeps its order.
func (keeper *Keeper) onSenderAsk(now time.Time, from string, ask SenderAsk, effects *helm.Effects) {
	answer := SenderReturn{Visit: ask.Visit, Ready: keeper.Ready()}
	for _, name := range ask.Strands {
		strand, found := keeper.strands[name]
		if !found || !keeper.isFirst(strand) || strand.firstSince != strand.place.Epoch {
			answer.Ready = false
			continue
		}
		sender, known := strand.log.Senders[ask.Sender]
		if !known {
			continue
		}
		answer.LastSeq = max(answer.LastSeq, sender.LastSeq)
		for _, memory := range sender.Recent {
			age := now.Sub(memory.At)
			records := strand.log.after(memory.Offset - 1)
			if age > 2*TrailFor || memory.Offset <= strand.log.Base || len(records) == 0 {
				continue
			}
			answer.Recent = append(answer.Recent, Recent{
				Mark: Mark{Strand: NumberIn(name), Offset: memory.Offset, Topic: records[0].Topic}, Seq: memory.Seq, Age: age,
			})
		}
	}
	effects.Send(from, answer)
}

func (keeper *Keeper) onFollow(now time.Time, from string, follow Follow, effects *helm.Effects) {
	present, found := keeper.followers[from]
	if !found {
		present = &follower{}
		keeper.followers[from] = present
	}
	present.strands, present.until = follow.Strands, now.Add(followFor)
	present.told = map[string]told{}
	for position, name := range follow.Strands {
		if chart.IsShared(name) && position < len(follow.From) {
			present.told[name] = told{offset: follow.From[position]}
		}
	}
	keeper.tellHeads(now, from, true, effects)
}

// tellHeads tells a follower what moved since it was told; one that just asked
// is told of every strand.
func (keeper *Keeper) tellHeads(now time.Time, address string, every bool, effects *helm.Effects) {
	present, found := keeper.followers[address]
	if !found || now.After(present.until) || len(present.strands) == 0 {
		delete(keeper.followers, address)
		return
	}
	var heads Heads
	for _, name := range present.strands {
		strand, held := keeper.strands[name]
		if !held || !keeper.isFirst(strand) || strand.firstSince != strand.place.Epoch {
			continue
		}
		earlier := present.told[name]
		latest := told{epoch: strand.place.Epoch, offset: strand.accepted}
		head := Head{Strand: name, Epoch: latest.epoch, Offset: latest.offset}
		if earlier == latest && !every {
			continue
		}
		if chart.IsShared(name) {
			head.From = min(earlier.offset, strand.accepted)
			for topic, offset := range helm.Sorted(strand.log.moved(head.From, strand.accepted)) {
				head.Topics = append(head.Topics, TopicHead{Topic: chart.TopicNumber(topic), Offset: offset})
			}
			if len(head.Topics) == 0 && earlier.epoch == latest.epoch && !every {
				// Passing messages only, of which nothing can be fetched.
				continue
			}
		}
		present.told[name] = latest
		heads.Heads = append(heads.Heads, head)
	}
	if len(heads.Heads) > 0 {
		keeper.Counts.HeadsOut++
		effects.Send(address, heads)
	}
}

func (keeper *Keeper) trim(now time.Time) {
	keeper.timers.Arm("trim", now.Add(trimEvery))
	for name, strand := range helm.Sorted(keeper.strands) {
		space, _, _ := strings.Cut(name, "~")
		holding := keeper.config.Spaces[space].Holding
		if chart.IsShared(name) {
			holding = keeper.sharedHolding(now)
		}
		if helm.Mutated("short-history") {
			strand.log.trim(now, -HistoryMargin+time.Second)
			continue
		}
		strand.log.trimTo(now, max(holding, chart.DefaultHolding), max(seqMemory, 3*keeper.props.Redeliver))
	}
}
