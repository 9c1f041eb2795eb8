package consensus

import (
	"time"

	"dahlialock/internal/statemachine"
)

// roles are the singleton roles other than the primary's.
type roles struct {
	// granted are the leases that this controller granted as a voter, by role.
	granted map[string]roleGrant
	// leases are those that this controller may hold, by role.
	leases map[string]*RoleLease
}

// roleGrant is a lease of a role that a voter granted.
type roleGrant struct {
	holder string
	until  time.Time
}

func newRoles() roles {
	return roles{granted: map[string]roleGrant{}, leases: map[string]*RoleLease{}}
}

// RoleLease is a controller's lease of a singleton role that need not be the primary's. It
// is granted by a majority of the voters, and lasts nine tenths of LeaseDuration from when it
// was requested. Its holder checks Valid before each act.
type RoleLease struct {
	role string
	// request is the newest one, made at requestedAt.
	request     statemachine.RequestID
	requestedAt time.Time
	// quorum is how many voters have to grant it, and granters the names of those that did.
	quorum   int
	granters map[string]bool
	until    time.Time
}

// NewRoleLease registers a role that this controller may come to hold, once for each role.
func (n *Node) NewRoleLease(role string) *RoleLease {
	lease := &RoleLease{role: role, granters: map[string]bool{}}
	n.roles.leases[role] = lease
	return lease
}

// Valid reports whether this controller holds the role at this moment.
func (rl *RoleLease) Valid(now time.Time) bool {
	return now.Before(rl.until)
}

func (rl *RoleLease) newRequest(now time.Time, request statemachine.RequestID, quorum int) RoleLeaseRequest {
	rl.request, rl.requestedAt, rl.quorum = request, now, quorum
	rl.granters = map[string]bool{}
	return RoleLeaseRequest{Role: rl.role, Request: rl.request}
}

func (rl *RoleLease) countGrant(name string, request statemachine.RequestID) {
	if name == "" || request != rl.request {
		return
	}
	rl.granters[name] = true
	if len(rl.granters) >= rl.quorum {
		rl.until = rl.requestedAt.Add(usableLease)
	}
}

// RequestRoleLease asks the voters for the lease of a role, or to extend it. Nothing is
// repeated: who wants the role calls this well within each lease. Only a voter can have it.
func (n *Node) RequestRoleLease(now time.Time, lease *RoleLease, effects *statemachine.Effects) {
	if !n.isVoter() {
		return
	}
	request := lease.newRequest(now, n.requests.Next(), n.hardState.Record.Majority())
	for _, voter := range n.hardState.Record.Voters {
		if voter.Name == n.settings.Self.Name {
			n.handleRoleLeaseRequest(now, voter.Address, request, effects)
		} else {
			effects.Send(voter.Address, request)
		}
	}
}

func (n *Node) handleRoleLeaseRequest(
	now time.Time, from string, request RoleLeaseRequest, effects *statemachine.Effects,
) {
	name := n.voterNameAt(from)
	if !n.isVoter() || name == "" || n.acceptedSuccessor() {
		return
	}
	present := n.roles.granted[request.Role]
	response := RoleLeaseResponse{Role: request.Role, Request: request.Request}
	// A voter that was restarted has forgotten whom it granted a role, and a new one does
	// not know whom the others did.
	if now.Before(n.voter.uncertainUntil) || present.holder != name && now.Before(present.until) {
		response.Holder = present.holder
	} else {
		n.roles.granted[request.Role] = roleGrant{holder: name, until: now.Add(LeaseDuration)}
		response.Granted, response.Holder = true, name
	}
	n.deliver(now, from, response, effects)
}

func (n *Node) handleRoleLeaseResponse(from string, response RoleLeaseResponse) {
	if lease, found := n.roles.leases[response.Role]; found && response.Granted {
		lease.countGrant(n.voterNameAt(from), response.Request)
	}
}
