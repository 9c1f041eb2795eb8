// The disk of a keeper: what a step logs goes out as one write, and a frame that
// stands for all of it when the log has grown long.
package strand

import (
	"time"

	"dahlialock/internal/flare"
	"dahlialock/internal/helm"
)

func (keeper *Keeper) replay(packed []byte) error {
	var entry diskEntry
	if fault := flare.Unmarshal(packed, &entry); fault != nil {
		return fault
	}
	if entry.Disk != "" {
		keeper.disk = entry.Disk
	}
	if entry.Strand == "" {
		return nil
	}
	if entry.Drop {
		delete(keeper.strands, entry.Strand)
		return nil
	}
	strand, found := keeper.strands[entry.Strand]
	if !found {
		strand = newHeld(newLog(entry.Strand))
		keeper.strands[entry.Strand] = strand
	}
	if entry.Frame != nil {
		return flare.Unmarshal(entry.Frame, strand.reset())
	}
	if head, _ := strand.log.head(); entry.Record != nil && entry.Record.Offset == head+1 {
		strand.log.add(*entry.Record)
	}
	return nil
}

func (strand *held) reset() *log {
	strand.log = newLog(strand.log.Name)
	return strand.log
}

func (keeper *Keeper) log(entry diskEntry, after afterSync) {
	packed := flare.MustMarshal(entry)
	keeper.entries = append(keeper.entries, packed)
	keeper.logBytes += len(packed)
	if after != nil {
		keeper.afters = append(keeper.afters, after)
	}
}

// flush ends a step: what was logged goes to the disk as one write, and what
// was appended goes to the understudies as one copy a strand.
func (keeper *Keeper) flush(now time.Time, effects *helm.Effects) {
	for name := range helm.Sorted(keeper.dirty) {
		if strand, found := keeper.strands[name]; found {
			keeper.copy(now, strand, effects)
		}
	}
	clear(keeper.dirty)
	if len(keeper.entries) == 0 {
		afters := keeper.afters
		keeper.afters = nil
		if writing, found := keeper.pending[keeper.token]; found {
			writing.afters = append(writing.afters, afters...)
			return
		}
		keeper.since = now
		for _, after := range afters {
			after(now, effects)
		}
		return
	}
	keeper.write(now, keeper.afters, helm.Write{Entries: keeper.entries}, effects)
	keeper.entries, keeper.afters = nil, nil
	if keeper.logBytes > keeper.logLimit {
		keeper.checkpoint(now, effects)
	}
}

func (keeper *Keeper) write(now time.Time, afters []afterSync, write helm.Write, effects *helm.Effects) {
	keeper.token++
	keeper.Counts.Writes++
	keeper.pending[keeper.token] = &batch{since: now, afters: afters}
	write.Token = keeper.token
	effects.Writes = append(effects.Writes, write)
	keeper.timers.ArmSooner("copy", now.Add(copyEvery))
}

func (keeper *Keeper) checkpoint(now time.Time, effects *helm.Effects) {
	keeper.logBytes = 0
	frame := diskFrame{Disk: keeper.disk, Strands: map[string]*log{}}
	size := 0
	for name, strand := range keeper.strands {
		frame.Strands[name] = strand.log.snapshot()
		for _, record := range strand.log.Records {
			size += len(record.Data)
		}
	}
	// The log may grow as long as the frame that would take its place.
	keeper.logLimit = max(frameLogLimit, size)
	keeper.write(now, nil, helm.Write{Pack: func() []byte { return flare.MustMarshal(frame) }}, effects)
}

func (keeper *Keeper) onSynced(now time.Time, token uint64, effects *helm.Effects) {
	written, found := keeper.pending[token]
	if !found {
		return
	}
	delete(keeper.pending, token)
	keeper.refused = false
	keeper.ownDelay = smooth(keeper.ownDelay, now.Sub(written.since))
	keeper.since = written.since
	for _, after := range written.afters {
		after(now, effects)
	}
}

// onDiskRefused is told again and again while the disk takes no write: nothing
// is lost of what it has, but this keeper can accept nothing more.
func (keeper *Keeper) onDiskRefused(now time.Time, effects *helm.Effects) {
	keeper.refused = true
	for _, strand := range helm.Sorted(keeper.strands) {
		if keeper.isFirst(strand) {
			keeper.giveUp(strand, "disk-refuses", effects)
		}
	}
	keeper.tellLagging(now, effects)
}

// probe writes a little while this keeper is taken for ailing, and so has no
// other writes to tell by whether its disk is well again.
func (keeper *Keeper) probe(now time.Time) {
	if !keeper.follower.Members[keeper.props.Self.Name].Ailing {
		return
	}
	keeper.timers.Arm("probe", now.Add(probeEvery))
	if len(keeper.pending) == 0 {
		keeper.log(diskEntry{Disk: keeper.disk}, nil)
	}
}

// oldestWrite is for how long the disk has owed the oldest write.
func (keeper *Keeper) oldestWrite(now time.Time) time.Duration {
	var oldest time.Duration
	for _, written := range keeper.pending {
		oldest = max(oldest, now.Sub(written.since))
	}
	return oldest
}
