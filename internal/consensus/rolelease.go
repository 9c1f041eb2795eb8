package consensus

import (
	"time"

	"dahlialock/internal/statemachine"
)

// roles is the state of the leases of singleton roles other than the primary's.
type roles struct {
	// granted are the leases that this controller granted as a voter, by role.
	granted map[string]roleGrant
	// leases are the leases that this controller may hold, by role.
	leases map[string]*RoleLease
}

// roleGrant is a lease of a role that this voter granted.
type roleGrant struct {
	holder string
	until  time.Time
}

func newRoles() roles {
	return roles{granted: map[string]roleGrant{}, leases: map[string]*RoleLease{}}
}

// RoleLease is a controller's lease of a singleton role. The holder need not be the primary. The
// lease is granted by a majority of the voters, and lasts nine tenths of LeaseDuration from when
// it was requested. Its holder must check Valid before each action in the role.
type RoleLease struct {
	role string
	// request is the newest request, which was made at requestedAt.
	request     statemachine.RequestID
	requestedAt time.Time
	// quorum is how many voters have to grant the request, and granters the names of the voters
	// that have granted it.
	quorum   int
	granters map[string]bool
	until    time.Time
}

// NewRoleLease registers a role that this controller may hold. It is called once per role.
func (n *Node) NewRoleLease(role string) *RoleLease {
	lease := &RoleLease{role: role, granters: map[string]bool{}}
	n.roles.leases[role] = lease
	return lease
}

// Valid reports whether this controller holds the role at the given time.
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

// RequestRoleLease asks the voters to grant or extend the lease of a role. Requests are not
// retried: to keep a role, call this well before the lease expires. Only a voter can hold a
// role.
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
	// A voter that was restarted does not know which roles it granted, and a new voter does not
	// know which roles the others granted.
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
