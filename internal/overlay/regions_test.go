// Checks regions by brute force: the enclosing neighbours of each peer must be those of
// the Voronoi diagram of all peers, and each peer must know every subscriber whose area
// meets its region.
package overlay

import (
	"fmt"
	"slices"
)

func (n *net) wrongRegions(space string) []string {
	var all []Peer
	for _, part := range n.parts {
		if here := part.spaces[space]; here != nil {
			for _, peer := range here.peers {
				all = append(all, peer.self)
			}
		}
	}
	var wrong []string
	for name, part := range n.parts {
		here := part.spaces[space]
		if here == nil {
			continue
		}
		for _, peer := range here.sorted() {
			region := newRegion(peer.self.At)
			for _, other := range all {
				if other.Key != peer.self.Key {
					region.clip(other.At, other.Key)
				}
			}
			truth, got := region.owners(), peer.region.owners()
			slices.SortFunc(truth, PeerKey.compare)
			slices.SortFunc(got, PeerKey.compare)
			if !slices.Equal(truth, got) {
				wrong = append(wrong, fmt.Sprintf("%s %v area %v sub %v joining %v known %d:\n  truth %v\n  got   %v", name, peer.self.Key.Number, peer.self.Area, peer.self.Subscribes, peer.joining != nil, len(peer.known), truth, got))
			}
			for _, other := range all {
				if other.Key == peer.self.Key || !other.Subscribes {
					continue
				}
				if _, known := peer.known[other.Key]; !known && region.meets(other.Area) {
					wrong = append(wrong, fmt.Sprintf("%s %d (area %v) does not know subscriber %v (area %v)", name, peer.self.Key.Number, peer.self.Area, other.Key, other.Area))
				}
			}
		}
	}
	return wrong
}
