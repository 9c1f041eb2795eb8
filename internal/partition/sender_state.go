package partition

import (
	"time"

	"dahlialock/internal/statemachine"
)

// handleSenderStateRequest answers with the positions of a sender's newest messages in the
// partitions that this store leads, so that the messages of a sender stay in order after it has
// moved to another gateway.
func (s *Store) handleSenderStateRequest(
	now time.Time, from string, request SenderStateRequest, effects *statemachine.Effects,
) {
	response := SenderStateResponse{RequestID: request.RequestID, Ready: s.Ready()}
	for _, name := range request.Partitions {
		partition, found := s.replicas[name]
		if !found || !s.isLeader(partition) || !partition.established() {
			response.Ready = false
			continue
		}
		sender, known := partition.log.Senders[request.Sender]
		if !known {
			continue
		}
		response.LastSeq = max(response.LastSeq, sender.LastSeq)
		response.RecentMessages = append(response.RecentMessages, partition.log.recentMessages(now, sender)...)
	}
	effects.Send(from, response)
}

// recentMessages returns the positions of a sender's messages that may be dependencies of its
// next ones.
func (l *log) recentMessages(now time.Time, sender *senderState) []RecentMessage {
	var recent []RecentMessage
	for _, entry := range sender.Window {
		age := now.Sub(entry.AppendedAt)
		record, retained := l.recordAt(entry.Offset)
		if age > 2*DependencyWindow || !retained {
			continue
		}
		recent = append(recent, RecentMessage{
			Position: MessagePosition{
				Partition: NumberOf(l.Name),
				Offset:    entry.Offset,
				Topic:     record.Topic,
			},
			Seq: entry.Seq,
			Age: age,
		})
	}
	return recent
}
