package lightship

import (
	"fmt"
	"runtime"
	"time"

	"dahlialock/internal/beacon"
	"dahlialock/internal/lamp"
	"dahlialock/internal/swell"
)

// Crowd is one lantern with so many connections, each with one subscription of a
// topic for ten and one of a topic for all.
type Crowd struct {
	Connections int
	// Bytes is the memory of the lantern's machine for each connection with its two
	// subscriptions, without the socket and the task that reads it.
	Bytes float64
	// Idle is the processor time that each connection costs in a second on which it
	// only pings and is heard; Delivery that of one delivery of a message to all.
	Idle, Delivery time.Duration
	Delivered      int64
}

// MeasureCrowd fills one lantern of a small fleet.
func MeasureCrowd(seed uint64, connections int, length time.Duration) (Crowd, error) {
	crowd := Crowd{Connections: connections}
	fleet := swell.New(seed, swell.Size{Lanterns: 1, Keepers: 3, Pilots: 3, Places: 3, Delay: time.Millisecond})
	if fault := fleet.Found(1, time.Minute); fault != nil {
		return crowd, fault
	}
	fleet.Run(5 * time.Second)
	node := fleet.Node(beacon.KindLantern + "-1")
	lantern := node.Lantern()
	lantern.SetOriginsMost(connections + 1)
	before := heap()
	refused := 0
	call := func(made func(visit uint64) any) {
		fleet.Call(node, made, func(value any, _ bool) {
			if answer, fit := value.(lamp.Answer); !fit || answer.Outcome != lamp.OutcomeAccepted {
				refused++
			}
		})
	}
	// A few hundred come in each turn, as after a machine was lost.
	for number := range connections {
		origin, channel := fmt.Sprintf("origin-%d", number), uint64(number+1)
		call(func(visit uint64) any {
			return lamp.OpenChannel{Visit: visit, Channel: channel, Name: fmt.Sprintf("c%d", number), Origin: origin, Lines: true}
		})
		if number%250 == 249 {
			fleet.Run(10 * time.Millisecond)
		}
	}
	fleet.Run(time.Second)
	for number := range connections {
		origin, channel := fmt.Sprintf("origin-%d", number), uint64(number+1)
		for _, topic := range []string{fmt.Sprintf("0/few-%d", number/10), "0/all"} {
			call(func(visit uint64) any {
				return lamp.Subscribe{Visit: visit, Channel: channel, Origin: origin, Interests: []lamp.Interest{{Path: topic}}}
			})
		}
		if number%250 == 249 {
			fleet.Run(10 * time.Millisecond)
		}
	}
	fleet.Run(10 * time.Second)
	if refused > 0 {
		return crowd, fmt.Errorf("%d of %d calls were not accepted", refused, 3*connections)
	}
	crowd.Bytes = float64(heap()-before) / float64(connections)
	seconds := int(length.Seconds())
	idle := during(fleet, func() {
		for range seconds {
			for number := range connections {
				if number%5 == 0 {
					channel := uint64(number + 1)
					fleet.Tell(node, lamp.Heard{Channel: channel})
				}
			}
			fleet.Run(time.Second)
		}
	})
	crowd.Idle = idle.Roles[beacon.KindLantern].Processor / time.Duration(seconds*connections)
	delivered := lantern.Counts.Delivered
	const messages = 10
	busy := during(fleet, func() {
		for seq := range uint64(messages) {
			call(func(visit uint64) any {
				return lamp.Publish{Visit: visit, VisitName: fmt.Sprint(seq), Origin: "origin-0", Sender: "origin-0", Topic: "0/all", Seq: seq + 1, Data: make([]byte, 230)}
			})
			fleet.Run(time.Second)
		}
	})
	crowd.Delivered = int64(lantern.Counts.Delivered - delivered)
	if crowd.Delivered == 0 {
		return crowd, fmt.Errorf("nothing was delivered to %d connections", connections)
	}
	// A second's pings are not in these seconds, but the tick over all channels is.
	crowd.Delivery = busy.Roles[beacon.KindLantern].Processor / time.Duration(crowd.Delivered)
	runtime.KeepAlive(lantern)
	return crowd, nil
}
