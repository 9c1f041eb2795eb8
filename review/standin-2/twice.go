package main

import (
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"time"
)

// twice kills all machines that count at once, several times, while clients publish one message at a time for each topic.
func twice(root, folder string, trouble bool, stores time.Duration, cores []time.Duration) {
	f := up(root, folder)
	var topics []string
	for t := range 40 {
		topics = append(topics, fmt.Sprintf("d.%d", t))
	}
	var clients []*client
	for n := range 60 {
		clients = append(clients, newClient(f, fmt.Sprintf("u%d", n), topics[n%40], topics[(n+7)%40]))
	}
	time.Sleep(3 * time.Second)
	stop := make(chan bool)
	var wait sync.WaitGroup
	for n, c := range clients {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(60+rand.Intn(80)) * time.Millisecond):
				}
				first := rand.Intn(len(topics))
				for part := range 3 {
					c.publish(topics[(first+11*part)%len(topics)], fmt.Sprintf("m%d-%d-%d", n, k, part), 60+rand.Intn(300))
				}
			}
		}()
	}
	counted := append(append([]*machine(nil), f.of("storage")...), f.of("core")...)
	for round, later := range cores {
		time.Sleep(2 * time.Second)
		burst(clients, topics, round)
		if trouble {
			record("round %d: all machines that count are killed at once; stores start again after %s, controllers after %s", round+1, stores, later)
			time.Sleep(time.Duration(6+3*round) * time.Millisecond)
			killed := time.Now()
			var all sync.WaitGroup
			for _, m := range counted {
				all.Add(1)
				go func() {
					defer all.Done()
					f.killMachine(m)
					if m.class == "storage" {
						time.Sleep(stores)
					} else {
						time.Sleep(later)
					}
					f.startMachine(m)
				}()
			}
			all.Wait()
			time.Sleep(8 * time.Second)
			first := time.Now()
			for _, c := range clients {
				c.mutex.Lock()
				for _, m := range c.sent {
					if m.acked.After(killed.Add(100*time.Millisecond)) && m.acked.Before(first) {
						first = m.acked
					}
				}
				c.mutex.Unlock()
			}
			record("the first acknowledgement came %s after the kill", first.Sub(killed).Round(time.Millisecond))
		} else {
			time.Sleep(8 * time.Second)
		}
		time.Sleep(4 * time.Second)
	}
	close(stop)
	wait.Wait()
	time.Sleep(5 * time.Second)
	for _, c := range clients {
		c.mutex.Lock()
	}
	report(clients, "ORDER")
}

// burst has all clients send at once, each to ten topics.
func burst(clients []*client, topics []string, round int) {
	for n, c := range clients {
		go func() {
			for part := range 10 {
				c.publish(topics[(n+part*4)%len(topics)], fmt.Sprintf("b%d-%d-%d", round, n, part), 200)
			}
		}()
	}
}

// report writes what was sent, answered and delivered, and ends the run: with 1 if the rule was broken.
func report(clients []*client, rule string) {
	broken := judge(clients, time.Now())
	count := 0
	sent, acked, got, answers := 0, 0, 0, map[string]int{}
	for _, c := range clients {
		for _, m := range c.sent {
			sent++
			if !m.acked.IsZero() {
				acked++
			}
			for _, answer := range m.tries {
				answers[answer]++
			}
		}
		for _, s := range c.subs {
			got += len(s.deliveries)
		}
	}
	record("%d messages, %d acknowledged, %d deliveries; numbers by outcome %v", sent, acked, got, answers)
	record("%d numbers were answered RETRY and arrived all the same", len(promises))
	shown := 0
	for number, story := range promises {
		if shown++; shown <= 20 {
			record("number %s: %s", number, story)
		}
	}
	for _, each := range broken {
		if strings.HasPrefix(each, rule+": ") {
			count++
			if count <= 40 {
				record("%s", each)
			}
		} else {
			record("another rule: %s", each)
		}
	}
	record("%s was broken %d times", rule, count)
	if count > 0 {
		leave(1)
	}
	leave(0)
}
