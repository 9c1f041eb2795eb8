package partition

// PartitionStatus is the status of one partition on a store.
type PartitionStatus struct {
	// Epoch is the placement's epoch. Complete is set if its followers have caught up.
	Epoch    uint64 `json:"epoch"`
	Leader   bool   `json:"first"`
	Complete bool   `json:"complete"`
	// The log has the records after Base up to LastOffset. Those up to HighWatermark are known to
	// be accepted.
	Base          uint64 `json:"base"`
	LastOffset    uint64 `json:"head"`
	HighWatermark uint64 `json:"accepted"`
	// Serving is set if the store leads the partition and currently accepts messages.
	Serving bool `json:"serving"`
}

// Partitions returns the status of every replica by partition, for ctl and for the simulator's
// checks.
func (s *Store) Partitions() map[string]PartitionStatus {
	statuses := map[string]PartitionStatus{}
	for name, partition := range s.replicas {
		lastOffset, _ := partition.log.end()
		leader := s.isLeader(partition)
		statuses[name] = PartitionStatus{
			Epoch:         partition.placement.Epoch,
			Leader:        leader,
			Complete:      partition.placement.Complete,
			Base:          partition.log.BaseOffset,
			LastOffset:    lastOffset,
			HighWatermark: partition.highWatermark,
			Serving:       s.Ready() && leader && partition.placement.Complete && partition.established(),
		}
	}
	return statuses
}
