// What an append costs the keepers: the first's and the understudies' part, with
// the words between them as they travel and the bytes as they go to the disk.
package strand

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/beacon"
	"dahlialock/internal/chart"
	"dahlialock/internal/flare"
	"dahlialock/internal/helm"
)

// bench runs a few keepers whose disks and links take no time.
type bench struct {
	now      time.Time
	machines map[string]*Keeper
	frames   [][2]any
	accepted int
	bytes    int
	written  int
	spent    map[string]time.Duration
}

type carried struct {
	from, to string
	frame    []byte
	token    uint64
}

func newBench(t testing.TB, copies int) *bench {
	run := &bench{now: began, machines: map[string]*Keeper{}, spent: map[string]time.Duration{}}
	news := beacon.News{Nonce: 1, Epoch: 1, Primary: "pilot", Index: 1, Version: 1, Changed: true, Document: document(1, `{"name": "a", "promise": "kept", "order": "topic"}`)}
	for number := range copies {
		news.Members = append(news.Members, beacon.Member{Name: fmt.Sprint("keeper-", number), Kind: beacon.KindKeeper, Address: fmt.Sprint("keeper-", number), Disk: "disk", Alive: true})
	}
	for number := range chart.SharedStrands {
		place := beacon.Placement{Strand: chart.SharedStrandName(number), Epoch: 1, First: news.Members[0].Name, Complete: true}
		for position, member := range news.Members {
			place.Safe = append(place.Safe, member.Holder())
			if position > 0 {
				place.Understudies = append(place.Understudies, member.Name)
			}
		}
		news.Placements = append(news.Placements, place)
	}
	for _, member := range news.Members {
		machine, fault := New(Props{Self: member, Seeds: []string{"pilot"}, NewDisk: "disk"}, nil, nil)
		assert.NilError(t, fault)
		run.machines[member.Name] = machine
		run.step(member.Name, func(effects *helm.Effects) { machine.Start(run.now, effects) })
		run.step(member.Name, func(effects *helm.Effects) { machine.Due(run.now, effects) })
		run.step(member.Name, func(effects *helm.Effects) { machine.Message(run.now, helm.Meta{From: "pilot"}, news, effects) })
	}
	run.settle()
	return run
}

// step runs a machine once, and keeps what it asks for the next round.
func (run *bench) step(name string, act func(effects *helm.Effects)) {
	began := time.Now()
	var effects helm.Effects
	act(&effects)
	for _, send := range effects.Sends {
		if _, found := run.machines[send.To]; !found {
			if answer, matches := send.Message.(AppendReturn); matches && answer.Outcome == Accepted {
				run.accepted++
				frame, _ := flare.Encode(helm.Meta{From: name, Version: 1}, send.Message)
				run.bytes += len(frame)
			}
			continue
		}
		frame, fault := flare.Encode(helm.Meta{From: name, Version: 1}, send.Message)
		if fault != nil {
			panic(fault)
		}
		run.bytes += len(frame)
		run.frames = append(run.frames, [2]any{send.To, carried{from: name, to: send.To, frame: frame}})
	}
	for _, write := range effects.Writes {
		for _, entry := range write.Entries {
			run.written += len(entry)
		}
		run.written += len(write.Frame)
		run.frames = append(run.frames, [2]any{name, carried{to: name, token: write.Token}})
	}
	run.spent[name] += time.Since(began)
}

// settle carries everything until nothing is under way.
func (run *bench) settle() {
	for len(run.frames) > 0 {
		item := run.frames[0][1].(carried)
		run.frames = run.frames[1:]
		machine := run.machines[item.to]
		run.step(item.to, func(effects *helm.Effects) {
			if item.frame == nil {
				machine.Command(run.now, helm.Synced{Token: item.token}, effects)
				return
			}
			meta, message, fault := flare.Decode(item.frame[4:])
			if fault != nil {
				panic(fault)
			}
			machine.Message(run.now, meta, message, effects)
		})
	}
}

// publish appends a few messages that arrive in one turn.
func (run *bench) publish(seq uint64, together int) {
	for number := range together {
		topic := fmt.Sprintf("reading.%d", (seq*uint64(together)+uint64(number))%1000)
		data := make([]byte, 200)
		binary.BigEndian.PutUint64(data, seq)
		frame, _ := flare.Encode(helm.Meta{From: "lantern", Version: 1}, Append{Strand: chart.SharedStrand(topic), Visit: seq, Topic: topic, Sender: "u1fx3a9c", Seq: seq + 1, Data: data})
		run.step("keeper-0", func(effects *helm.Effects) {
			meta, message, _ := flare.Decode(frame[4:])
			run.machines["keeper-0"].Message(run.now, meta, message, effects)
		})
	}
	run.settle()
	run.now = run.now.Add(3 * time.Millisecond)
	for name, machine := range run.machines {
		if due := machine.NextDue(); !due.After(run.now) {
			run.step(name, func(effects *helm.Effects) { machine.Due(run.now, effects) })
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
				b.ReportMetric(float64(run.spent["keeper-0"].Microseconds())/count, "first-µs/append")
				if copies > 1 {
					b.ReportMetric(float64(run.spent["keeper-1"].Microseconds())/count, "copy-µs/append")
				}
				b.ReportMetric(float64(run.bytes)/count, "link-B/append")
				b.ReportMetric(float64(run.written)/count, "disk-B/append")
			})
		}
	}
}
