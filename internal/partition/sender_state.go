package partition

import (
	"time"

	"dahlialock/internal/statemachine"
)

// handleSenderStateRequest tells where a sender's newest messages are among the partitions that
// this store is first for, so that a sender that moved keeps its order.
func (s *Store) handleSenderStateRequest(now time.Time, from string, ask SenderStateRequest, effects *statemachine.Effects) {
	answer := SenderStateResponse{RequestID: ask.RequestID, Ready: s.Ready()}
	for _, name := range ask.Partitions {
		partition, found := s.replicas[name]
		if !found || !s.isLeader(partition) || partition.servingEpoch != partition.placement.Epoch {
			answer.Ready = false
			continue
		}
		sender, known := partition.log.Senders[ask.Sender]
		if !known {
			continue
		}
		answer.LastSeq = max(answer.LastSeq, sender.LastSeq)
		for _, memory := range sender.Window {
			age := now.Sub(memory.AppendedAt)
			records := partition.log.recordsAfter(memory.Offset - 1)
			if age > 2*DependencyWindow || memory.Offset <= partition.log.BaseOffset || len(records) == 0 {
				continue
			}
			answer.RecentMessages = append(answer.RecentMessages, RecentMessage{
				Position: MessagePosition{Partition: NumberOf(name), Offset: memory.Offset, Topic: records[0].Topic}, Seq: memory.Seq, Age: age,
			})
		}
	}
	effects.Send(from, answer)
}
