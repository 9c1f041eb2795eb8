package partition

// Partitions tells of every partition held here, for ctl and the simulator's checks.
func (s *Store) Partitions() map[string]PartitionStatus {
	statuses := map[string]PartitionStatus{}
	for name, partition := range s.replicas {
		head, _ := partition.log.end()
		statuses[name] = PartitionStatus{
			Epoch: partition.placement.Epoch, Leader: s.isLeader(partition), Complete: partition.placement.Complete,
			Base: partition.log.BaseOffset, LastOffset: head, HighWatermark: partition.highWatermark,
			Serving: s.Ready() && s.isLeader(partition) && partition.placement.Complete && partition.servingEpoch == partition.placement.Epoch,
		}
	}
	return statuses
}

// PartitionStatus is one partition as a store sees it.
type PartitionStatus struct {
	Epoch         uint64 `json:"epoch"`
	Leader        bool   `json:"first"`
	Complete      bool   `json:"complete"`
	Base          uint64 `json:"base"`
	LastOffset    uint64 `json:"head"`
	HighWatermark uint64 `json:"accepted"`
	// Serving says that the store accepts messages at present.
	Serving bool `json:"serving"`
}
