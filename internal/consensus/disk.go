// What a controller keeps on its disk: entries that last before anything that
// follows from them is said, and from time to time the whole.

package consensus

import (
	"time"

	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

func (w *Node) write(effects *statemachine.Effects, entry diskEntry, then continuation) {
	w.token++
	w.synced[w.token] = then
	packed := transport.MustMarshal(entry)
	w.logBytes += len(packed)
	effects.Writes = append(effects.Writes, statemachine.Write{Token: w.token, Entries: [][]byte{packed}})
}

func (w *Node) saveDurable(effects *statemachine.Effects, then continuation) {
	copied := w.durable
	w.write(effects, diskEntry{Durable: &copied}, func(now time.Time, effects *statemachine.Effects) {
		w.diskComplete, w.diskEpoch = copied.CompleteEpoch, copied.Record.Epoch
		if then != nil {
			then(now, effects)
		}
	})
}

// writeState puts the whole state on the disk. No command is put after it before
// it is there.
func (w *Node) writeState(state []byte, effects *statemachine.Effects) {
	index := w.index
	w.restoring++
	w.write(effects, diskEntry{Index: index, State: state}, func(time.Time, *statemachine.Effects) {
		w.restoring--
		w.diskIndex = index
	})
}

// Synced goes on with what waited for the disk.
func (w *Node) Synced(now time.Time, token uint64, effects *statemachine.Effects) {
	then, found := w.synced[token]
	if !found {
		return
	}
	delete(w.synced, token)
	if then != nil {
		then(now, effects)
	}
	w.keepLogShort(effects)
}
