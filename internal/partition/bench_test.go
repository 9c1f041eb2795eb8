// What an append costs the stores: the first's and the followers' part, with
// the words between them as they travel and the bytes as they go to the disk.
package partition

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/config"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

// bench runs a few stores whose disks and links take no time.
type bench struct {
	now      time.Time
	machines map[string]*Store
	frames   [][2]any
	accepted int
	bytes    int
	written  int
	spent    map[string]time.Duration
	// thin holds what goes to some machines until their links let it through.
	thin    map[string]*thinLink
	arrived bool
}

type carried struct {
	from, to string
	frame    []byte
	token    uint64
}

func newBench(t testing.TB, copies int) *bench {
	run := &bench{now: began, machines: map[string]*Store{}, spent: map[string]time.Duration{}}
	news := membership.ViewUpdate{Nonce: 1, Epoch: 1, Primary: "controller", Index: 1, Version: 1, Changed: true, Document: document(1, `{"name": "a", "promise": "kept", "order": "topic"}`)}
	for number := range copies {
		news.Members = append(news.Members, membership.Member{Name: fmt.Sprint("store-", number), Kind: membership.KindStore, Address: fmt.Sprint("store-", number), Disk: "disk", Alive: true})
	}
	for number := range config.SharedPartitions {
		place := membership.Placement{Partition: config.SharedPartitionName(number), Epoch: 1, Leader: news.Members[0].Name, Complete: true}
		for position, member := range news.Members {
			place.InSync = append(place.InSync, member.ReplicaID())
			if position > 0 {
				place.Followers = append(place.Followers, member.Name)
			}
		}
		news.Placements = append(news.Placements, place)
	}
	for _, member := range news.Members {
		machine, err := New(Settings{Self: member, Seeds: []string{"controller"}, NewDisk: "disk"}, nil, nil)
		assert.NilError(t, err)
		run.machines[member.Name] = machine
		run.step(member.Name, func(effects *statemachine.Effects) { machine.Start(run.now, effects) })
		run.step(member.Name, func(effects *statemachine.Effects) { machine.Tick(run.now, effects) })
		run.step(member.Name, func(effects *statemachine.Effects) {
			machine.HandleMessage(run.now, statemachine.Meta{From: "controller"}, news, effects)
		})
	}
	run.settle()
	return run
}

// step runs a machine once, and keeps what it asks for the next round.
func (b *bench) step(name string, act func(effects *statemachine.Effects)) {
	began := time.Now()
	var effects statemachine.Effects
	act(&effects)
	for _, send := range effects.Sends {
		if _, found := b.machines[send.To]; !found {
			if answer, matches := send.Message.(AppendResponse); matches && answer.Outcome == OutcomeAccepted {
				b.accepted++
				frame, _ := transport.Encode(statemachine.Meta{From: name, Version: 1}, send.Message)
				b.bytes += len(frame)
			}
			continue
		}
		frame, err := transport.Encode(statemachine.Meta{From: name, Version: 1}, send.Message)
		if err != nil {
			panic(err)
		}
		b.bytes += len(frame)
		b.frames = append(b.frames, [2]any{send.To, carried{from: name, to: send.To, frame: frame}})
	}
	for _, write := range effects.Writes {
		for _, entry := range write.Entries {
			b.written += len(entry)
		}
		b.written += len(write.Snapshot)
		b.frames = append(b.frames, [2]any{name, carried{to: name, token: write.Token}})
	}
	b.spent[name] += time.Since(began)
}

// settle carries everything until nothing is under way.
func (b *bench) settle() {
	for len(b.frames) > 0 {
		item := b.frames[0][1].(carried)
		b.frames = b.frames[1:]
		if link, thin := b.thin[item.to]; thin && item.frame != nil && !b.arrived {
			link.hold(item)
			continue
		}
		b.arrived = false
		machine := b.machines[item.to]
		b.step(item.to, func(effects *statemachine.Effects) {
			if item.frame == nil {
				machine.HandleCommand(b.now, statemachine.Synced{Token: item.token}, effects)
				return
			}
			meta, message, err := transport.Decode(item.frame[4:])
			if err != nil {
				panic(err)
			}
			machine.HandleMessage(b.now, meta, message, effects)
		})
	}
}

// publish appends a few messages that arrive in one turn.
func (b *bench) publish(seq uint64, together int) {
	for number := range together {
		topic := fmt.Sprintf("reading.%d", (seq*uint64(together)+uint64(number))%1000)
		data := make([]byte, 200)
		binary.BigEndian.PutUint64(data, seq)
		frame, _ := transport.Encode(statemachine.Meta{From: "gateway", Version: 1}, Append{Partition: config.SharedPartition(topic), RequestID: seq, Topic: topic, Sender: "u1fx3a9c", Seq: seq + 1, Data: data})
		b.step("store-0", func(effects *statemachine.Effects) {
			meta, message, _ := transport.Decode(frame[4:])
			b.machines["store-0"].HandleMessage(b.now, meta, message, effects)
		})
	}
	b.settle()
	b.now = b.now.Add(3 * time.Millisecond)
	for name, machine := range b.machines {
		if due := machine.NextTick(); !due.After(b.now) {
			b.step(name, func(effects *statemachine.Effects) { machine.Tick(b.now, effects) })
		}
	}
}

func BenchmarkAppend(b *testing.B) {
	for _, copies := range []int{1, 2, 3} {
		for _, together := range []int{1, 8} {
			b.Run(fmt.Sprintf("copies-%d/together-%d", copies, together), func(b *testing.B) {
				run := newBench(b, copies)
				run.accepted, run.bytes, run.written = 0, 0, 0
				run.spent = map[string]time.Duration{}
				b.ReportAllocs()
				b.ResetTimer()
				for seq := range b.N {
					run.publish(uint64(seq), together)
				}
				b.StopTimer()
				assert.Equal(b, run.accepted, b.N*together)
				count := float64(run.accepted)
				b.ReportMetric(float64(run.spent["store-0"].Microseconds())/count, "first-µs/append")
				if copies > 1 {
					b.ReportMetric(float64(run.spent["store-1"].Microseconds())/count, "copy-µs/append")
				}
				b.ReportMetric(float64(run.bytes)/count, "link-B/append")
				b.ReportMetric(float64(run.written)/count, "disk-B/append")
			})
		}
	}
}
