package consensus

import (
	"cmp"
	"slices"
	"time"

	"dahlialock/internal/statemachine"
)

// mayBootstrap reports whether this controller may propose the first epoch.
func (n *Node) mayBootstrap() bool {
	return n.settings.ClusterSize > 0 || len(n.hardState.Founders) > 0
}

// recordFounders persists the addresses of the founders if this controller is one of them, so
// that it continues to bootstrap the cluster if it is restarted with other settings before the
// first epoch is decided.
func (n *Node) recordFounders(effects *statemachine.Effects) {
	if !n.blank || !n.settings.Bootstrap || n.settings.ClusterSize > 0 || len(n.hardState.Founders) > 0 ||
		!slices.Contains(n.settings.Seeds, n.settings.Self.Address) {
		return
	}
	n.hardState.Founders = slices.Compact(slices.Sorted(slices.Values(n.settings.Seeds)))
	n.persistHardState(effects, nil)
}

// initialVoters returns the known voters of the first epoch, and whether the list is complete:
// all of them have sent a Hello and are blank. If any other controller is not blank, a cluster
// already exists, and the list is not complete.
func (n *Node) initialVoters() ([]Controller, bool) {
	voters := []Controller{n.identity()}
	for address, known := range statemachine.Sorted(n.discovery.peers) {
		switch {
		case !known.hello.Blank:
			return nil, false
		case n.settings.ClusterSize > 0:
			if known.hello.ClusterSize != n.settings.ClusterSize {
				return nil, false
			}
			voters = append(voters, known.hello.Self)
		case slices.Contains(n.hardState.Founders, address):
			voters = append(voters, known.hello.Self)
		}
	}
	expected := len(n.hardState.Founders)
	if n.settings.ClusterSize > 0 {
		expected = n.settings.ClusterSize
	}
	return voters, len(voters) == expected
}

// tryBootstrap proposes the first epoch once all founders have sent a Hello. It needs every
// founder, so that a founder whose disk was lost can't help to create a second cluster.
func (n *Node) tryBootstrap(now time.Time, effects *statemachine.Effects) {
	if n.election.attempt != nil || !n.mayBootstrap() {
		return
	}
	voters, complete := n.initialVoters()
	if !complete {
		return
	}
	sortByName(voters)
	// Of the voters that have recorded that they are founders, the first by name proposes.
	for _, voter := range voters {
		if voter.SameAs(n.settings.Self) {
			break
		}
		if known := n.discovery.peers[voter.Address]; known.hello.Founder || n.settings.ClusterSize > 0 {
			return
		}
	}
	n.startBallot(now, Record{
		Epoch:   1,
		Primary: n.settings.Self.Name,
		Backups: n.initialBackups(voters),
		Voters:  voters,
	}, effects)
}

// initialBackups chooses the backups of the first epoch, in different zones if possible.
func (n *Node) initialBackups(voters []Controller) []string {
	var chosen []string
	for len(chosen) < min(max(1, n.requiredBackups()), len(voters)-1) {
		var others []Controller
		for _, voter := range voters {
			if !voter.SameAs(n.settings.Self) && !slices.Contains(chosen, voter.Name) {
				others = append(others, voter)
			}
		}
		chosen = append(chosen, n.inEmptiestZone(voters, others, chosen).Name)
	}
	return chosen
}

func sortByName(controllers []Controller) {
	slices.SortFunc(controllers, func(left, right Controller) int {
		return cmp.Compare(left.Name, right.Name)
	})
}
