package membership

import (
	"encoding/json"
	"slices"
)

// Placement is the assignment of one partition to stores in one epoch of the partition.
type Placement struct {
	Partition string   `json:"partition"`
	Epoch     uint64   `json:"epoch"`
	Leader    string   `json:"first"`
	Followers []string `json:"followers"`
	// Complete is set once all followers have every record that the leader has.
	Complete bool `json:"complete"`
	// InSync lists the replicas that have every acknowledged record (see Member.ReplicaID).
	InSync []string `json:"safe"`
}

// MarshalJSON adds the first follower under the separate key "follower". Operators' tools use
// that key from the time when a partition had a single follower.
func (p Placement) MarshalJSON() ([]byte, error) {
	type plain Placement
	follower := ""
	if len(p.Followers) > 0 {
		follower = p.Followers[0]
	}
	return json.Marshal(struct {
		plain
		Follower string `json:"follower"`
	}{plain: plain(p), Follower: follower})
}

// HasReplica reports whether a store is the partition's leader or one of its followers.
func (p Placement) HasReplica(store string) bool {
	return p.Leader == store || slices.Contains(p.Followers, store)
}
