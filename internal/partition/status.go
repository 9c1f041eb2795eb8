package partition

// PartitionStatus is one partition as a store sees it.
type PartitionStatus struct {
	// Epoch is that of the placement, and Complete whether its followers have caught up.
	Epoch    uint64 `json:"epoch"`
	Leader   bool   `json:"first"`
	Complete bool   `json:"complete"`
	// The log holds the records after Base up to LastOffset. Those up to HighWatermark are
	// accepted, as far as the store knows.
	Base          uint64 `json:"base"`
	LastOffset    uint64 `json:"head"`
	HighWatermark uint64 `json:"accepted"`
	// Serving says that the store leads the partition and accepts messages at present.
	Serving bool `json:"serving"`
}

// Partitions gives the status of every replica by partition, for ctl and for the simulator's
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
