// Checks regions by brute force: the enclosing neighbours of each peer must be those of
// the Voronoi diagram of all peers, and each peer must know every subscriber whose area
// intersects its region.
package overlay

import (
	"fmt"
	"slices"
)

func (n *network) wrongRegions(spaceName string) []string {
	var all []Peer
	for _, overlay := range n.overlays {
		if space := overlay.spaces[spaceName]; space != nil {
			for _, peer := range space.peers {
				all = append(all, peer.self)
			}
		}
	}
	var wrong []string
	for name, overlay := range n.overlays {
		space := overlay.spaces[spaceName]
		if space == nil {
			continue
		}
		for _, peer := range space.sorted() {
			region := newRegion(peer.self.At)
			for _, other := range all {
				if other.Key != peer.self.Key {
					region.clip(other.At, other.Key)
				}
			}
			expected, got := region.owners(), peer.region.owners()
			slices.SortFunc(expected, PeerKey.compare)
			slices.SortFunc(got, PeerKey.compare)
			if !slices.Equal(expected, got) {
				wrong = append(wrong, fmt.Sprintf("%s %v area %v sub %v joining %v known %d:\n  expected %v\n  got   %v", name, peer.self.Key.Number, peer.self.Area, peer.self.Subscribes, peer.joining != nil, len(peer.known), expected, got))
			}
			for _, other := range all {
				if other.Key == peer.self.Key || !other.Subscribes {
					continue
				}
				if _, known := peer.known[other.Key]; !known && region.intersects(other.Area) {
					wrong = append(wrong, fmt.Sprintf("%s %d (area %v) does not know subscriber %v (area %v)", name, peer.self.Key.Number, peer.self.Area, other.Key, other.Area))
				}
			}
		}
	}
	return wrong
}
