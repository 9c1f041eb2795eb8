package scaletest

import (
	"fmt"
	"runtime"
	"time"

	"dahlialock/internal/gateway"
	"dahlialock/internal/membership"
	"dahlialock/internal/simulator"
)

// Crowd is one gateway with so many connections, each with one subscription of a
// topic for ten and one of a topic for all.
type Crowd struct {
	Connections int
	// Bytes is the memory of the gateway's machine for each connection with its two
	// subscriptions, without the socket and the task that reads it.
	Bytes float64
	// Idle is the processor time that each connection costs in a second on which it
	// only pings and is heard; Delivery that of one delivery of a message to all.
	Idle, Delivery time.Duration
	Delivered      int64
}

// MeasureCrowd fills one gateway of a small fleet.
func MeasureCrowd(seed uint64, connections int, length time.Duration) (Crowd, error) {
	crowd := Crowd{Connections: connections}
	fleet := simulator.New(seed, simulator.Size{Gateways: 1, Stores: 3, Controllers: 3, Places: 3, Delay: time.Millisecond})
	if err := fleet.Found(1, time.Minute); err != nil {
		return crowd, err
	}
	fleet.Run(5 * time.Second)
	node := fleet.Node(membership.KindGateway + "-1")
	machine := node.Gateway()
	machine.SetOriginsMost(connections + 1)
	before := heap()
	refused := 0
	call := func(made func(request uint64) any) {
		fleet.Call(node, made, func(value any, _ bool) {
			if answer, fit := value.(gateway.Answer); !fit || answer.Outcome != gateway.OutcomeAccepted {
				refused++
			}
		})
	}
	// A few hundred come in each turn, as after a machine was lost.
	for number := range connections {
		origin, channel := fmt.Sprintf("origin-%d", number), uint64(number+1)
		call(func(request uint64) any {
			return gateway.OpenChannel{Request: request, Channel: channel, Name: fmt.Sprintf("c%d", number), Origin: origin, Lines: true}
		})
		if number%250 == 249 {
			fleet.Run(10 * time.Millisecond)
		}
	}
	fleet.Run(time.Second)
	for number := range connections {
		origin, channel := fmt.Sprintf("origin-%d", number), uint64(number+1)
		for _, topic := range []string{fmt.Sprintf("0/few-%d", number/10), "0/all"} {
			call(func(request uint64) any {
				return gateway.Subscribe{Request: request, Channel: channel, Origin: origin, Interests: []gateway.Interest{{Path: topic}}}
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
					fleet.Tell(node, gateway.Heard{Channel: channel})
				}
			}
			fleet.Run(time.Second)
		}
	})
	crowd.Idle = idle.Roles[membership.KindGateway].Processor / time.Duration(seconds*connections)
	delivered := machine.Counts.Delivered
	const messages = 10
	busy := during(fleet, func() {
		for seq := range uint64(messages) {
			call(func(request uint64) any {
				return gateway.Publish{Request: request, RequestName: fmt.Sprint(seq), Origin: "origin-0", Sender: "origin-0", Topic: "0/all", Seq: seq + 1, Data: make([]byte, 230)}
			})
			fleet.Run(time.Second)
		}
	})
	crowd.Delivered = int64(machine.Counts.Delivered - delivered)
	if crowd.Delivered == 0 {
		return crowd, fmt.Errorf("nothing was delivered to %d connections", connections)
	}
	// A second's pings are not in these seconds, but the tick over all channels is.
	crowd.Delivery = busy.Roles[membership.KindGateway].Processor / time.Duration(crowd.Delivered)
	runtime.KeepAlive(machine)
	return crowd, nil
}
