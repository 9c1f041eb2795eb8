package settings

import (
	"math"
	"slices"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"
)

var (
	namespace = errorx.NewNamespace("settings")
	// ErrorSettings is the type of the errors that list the faults of settings.
	ErrorSettings = namespace.NewType("faulty")
)

// Settings are a daemon's settings. The comment of a field gives its key in the
// settings file, unless the key is the field's name in lower case with the words
// separated by "_".
type Settings struct {
	Name string
	// Kind is the kind of the daemon, as in membership.Member.
	Kind string
	Zone string

	// Address is the address for other daemons, ControlAddress ("ctl") the one for
	// operators and ClientAddress ("caller") the one for clients of a gateway.
	Address        string
	ControlAddress string
	ClientAddress  string
	// AgentAddress ("agent") is the address of a gateway's agent, GatewayAddress
	// ("gateway") the address of an agent's gateway.
	AgentAddress   string
	GatewayAddress string

	// Seeds are addresses of controllers. If SeedsPort is above 0, it replaces their
	// ports.
	Seeds     []string
	SeedsPort int
	// Controllers is the number of controllers that create the cluster together, or 0 if the
	// controllers at the addresses in Seeds create it.
	Controllers int
	// Bootstrap allows these controllers to create the cluster if Controllers is 0.
	Bootstrap bool
	// Tolerance is how many machines with a disk may be lost at the same time.
	Tolerance int

	// DataDir ("data") is the directory that the process locks and writes to.
	DataDir string
	// Key is the secret that all gateways share and with which clients' tokens are signed.
	Key string

	// ClientProtocol ("callers") and AdmissionMode ("admission") are used by gateways.
	ClientProtocol ClientProtocol
	AdmissionMode  AdmissionMode
	// VersionPolicy ("versions") is used by the primary controller, OperatorProtocol
	// ("operators") by every daemon's ctl.
	VersionPolicy    VersionPolicy
	OperatorProtocol OperatorProtocol
	// Compression selects the batches of messages between daemons that are compressed.
	Compression Compression

	// MaxSessions ("origins_most") is how many sessions a gateway accepts.
	MaxSessions int
	// MemoryBytes ("memory") is how much memory the process may use, 0 for no bound.
	MemoryBytes int64
	// LinkBytesPerSecond ("link") is the bandwidth of the machine's network link, 0 if
	// it is unknown.
	LinkBytesPerSecond int

	Timeouts Timeouts
	LogLevel logrus.Level
	// TrafficInterval ("traffic") is the interval at which the traffic of links is logged
	// by message kind, 0 for never.
	TrafficInterval time.Duration
	// Impairment ("trial") is empty unless the flag -trial is given.
	Impairment Impairment
}

// Timeouts are the time limits that daemons observe themselves and expect other
// daemons to observe ("bounds"). The daemons use Contact, Acknowledge, Grace, Apply, Ping
// and Redeliver; the others are only validated.
type Timeouts struct {
	// Contact is how long a daemon must have been able to reach more than half of the
	// controllers to count as connected. Controllers derive from it the time without
	// heartbeats after which a member counts as failed.
	Contact time.Duration
	// Acknowledge bounds the time to acknowledge a configuration while the
	// controllers have a primary.
	Acknowledge time.Duration
	// CatchUp is how long a machine still counts as lost after it has returned.
	CatchUp time.Duration
	// Drain bounds the time from the request to stop until the process ends, and Grace is
	// the time after which a process that hasn't ended is killed.
	Drain time.Duration
	Grace time.Duration
	// Apply bounds the time from the acknowledgement of a configuration until it has
	// taken effect on all daemons.
	Apply time.Duration
	// RevertSlack is how long effects of an older configuration may still be observed
	// after an effect of a newer one has been observed.
	RevertSlack time.Duration
	// Recovery bounds the time from the return of lost machines until the service works.
	Recovery time.Duration
	// Ping is the time without traffic after which a client is pinged.
	Ping time.Duration
	// Resume is the time within which a disconnected client reconnects.
	Resume time.Duration
	// Redeliver is how long a resent publication is recognized as a duplicate.
	Redeliver time.Duration
	// Presence is how long a client must be present or absent before subscriber counts
	// reflect it.
	Presence time.Duration
}

// DefaultTimeouts returns the timeouts that apply if the settings contain none.
func DefaultTimeouts() Timeouts {
	return Timeouts{
		Contact:     4 * time.Second,
		Acknowledge: 5 * time.Second,
		CatchUp:     4100 * time.Millisecond,
		Drain:       3 * time.Second,
		Grace:       6 * time.Second,
		Apply:       3 * time.Second,
		RevertSlack: 250 * time.Millisecond,
		Recovery:    12 * time.Second,
		Ping:        2 * time.Second,
		Resume:      2 * time.Second,
		Redeliver:   10 * time.Second,
		Presence:    5 * time.Second,
	}
}

// Impairment describes the faults that a test injects into a daemon's links and disk.
// Links are selected by prefixes of the other daemon's address.
type Impairment struct {
	// Delays are the delays added to outgoing frames, by prefix.
	Delays map[string]time.Duration
	// Loss is the probability, 0 to 1, that a frame is delayed like a lost and
	// retransmitted one, by prefix.
	Loss map[string]float64
	// Partitioned ("cuts"), OutboundBlocked ("mutes") and InboundBlocked ("deaf") are the
	// prefixes of links that drop frames in both directions, outgoing frames only, and
	// incoming frames only.
	Partitioned     []string
	OutboundBlocked []string
	InboundBlocked  []string
	// DiskDelay ("disk") is the delay added to each write to the disk.
	DiskDelay time.Duration
}

// ClientProtocol is the protocol between a gateway and its clients.
type ClientProtocol string

// Protocols for clients.
const (
	ClientProtocolJSON  ClientProtocol = "json"
	ClientProtocolLines ClientProtocol = "lines"
)

// AdmissionMode is how a gateway authenticates clients.
type AdmissionMode string

// Modes of admission: by a token made with the key, or without authentication.
const (
	AdmissionToken AdmissionMode = "token"
	AdmissionOpen  AdmissionMode = "open"
)

// VersionPolicy determines the response to a configuration whose version is lower than
// the current one and has not been received before.
type VersionPolicy string

// Policies for older versions: they are rejected, or acknowledged without effect.
const (
	VersionPolicyStrict  VersionPolicy = "strict"
	VersionPolicyHighest VersionPolicy = "highest"
)

// Compression selects the batches of messages between daemons that are compressed.
type Compression string

// Choices of compression: no batches, or those to daemons in other zones.
const (
	CompressionNone      Compression = "none"
	CompressionCrossZone Compression = "far"
)

// OperatorProtocol is the protocol between operators and a daemon's ctl.
type OperatorProtocol string

// OperatorProtocolJSON is the built-in protocol.
const OperatorProtocolJSON OperatorProtocol = "json"

// operatorProtocols are the built-in and the registered protocols for operators.
var operatorProtocols = []OperatorProtocol{OperatorProtocolJSON}

// MustRegisterOperatorProtocol adds a protocol that settings may select. The package of
// the protocol's adapter calls it from init. It panics if the name is already registered.
func MustRegisterOperatorProtocol(protocol OperatorProtocol) {
	if slices.Contains(operatorProtocols, protocol) {
		panic("settings: operator protocol registered twice: " + string(protocol))
	}
	operatorProtocols = append(operatorProtocols, protocol)
}

// MemoryLimit returns the limit in bytes for Go's garbage collector: four fifths of the
// memory that the process may use, since the collector doesn't account for all memory of
// the process. It returns math.MaxInt64 if the memory is not bounded.
func (s Settings) MemoryLimit() int64 {
	if s.MemoryBytes == 0 {
		return math.MaxInt64
	}
	return s.MemoryBytes / 5 * 4
}

// ImmutableChanges returns the sorted keys of settings that differ but can't change while
// a daemon runs. Settings that are only read at startup, such as the seeds, may change at
// any time.
func ImmutableChanges(before, after Settings) []string {
	var changed []string
	for key, same := range map[string]bool{
		"address":     before.Address == after.Address,
		"admission":   before.AdmissionMode == after.AdmissionMode,
		"agent":       before.AgentAddress == after.AgentAddress,
		"caller":      before.ClientAddress == after.ClientAddress,
		"callers":     before.ClientProtocol == after.ClientProtocol,
		"compression": before.Compression == after.Compression,
		"controllers": before.Controllers == after.Controllers,
		"ctl":         before.ControlAddress == after.ControlAddress,
		"data":        before.DataDir == after.DataDir,
		"gateway":     before.GatewayAddress == after.GatewayAddress,
		"key":         before.Key == after.Key,
		"name":        before.Name == after.Name,
		"operators":   before.OperatorProtocol == after.OperatorProtocol,
		"versions":    before.VersionPolicy == after.VersionPolicy,
		"zone":        before.Zone == after.Zone,
	} {
		if !same {
			changed = append(changed, key)
		}
	}
	slices.Sort(changed)
	return changed
}
