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
	// ErrorSettings is the type of errors that list what is wrong with settings.
	ErrorSettings = namespace.NewType("faulty")
)

// Settings are a daemon's settings. Each field has the key of the settings file
// in its comment where that isn't the field's name in lower case, with words
// separated by "_".
type Settings struct {
	Name string
	// Kind is that of the daemon, as in membership.Member.
	Kind string
	Zone string

	// Address is for other daemons, ControlAddress ("ctl") for operators and
	// ClientAddress ("caller") for clients of a gateway.
	Address        string
	ControlAddress string
	ClientAddress  string
	// AgentAddress ("agent") is of a gateway's agent, GatewayAddress ("gateway")
	// of an agent's gateway.
	AgentAddress   string
	GatewayAddress string

	// Seeds are addresses of controllers, with SeedsPort in place of their own
	// ports if that is above 0.
	Seeds     []string
	SeedsPort int
	// Controllers is how many controllers are to found the cluster together, 0 if the seeds are.
	Controllers int
	// Bootstrap allows the seeds to found the cluster if Controllers is 0.
	Bootstrap bool
	// Tolerance is how many machines with a disk may be lost at one time.
	Tolerance int

	// DataDir ("data") is the directory that one process locks and writes to.
	DataDir string
	// Key is the secret that all gateways share: clients' tokens are made with it.
	Key string

	// ClientProtocol ("callers") and AdmissionMode ("admission") are of gateways.
	ClientProtocol ClientProtocol
	AdmissionMode  AdmissionMode
	// VersionPolicy ("versions") takes effect at the primary controller, OperatorProtocol
	// ("operators") at every daemon's ctl.
	VersionPolicy    VersionPolicy
	OperatorProtocol OperatorProtocol
	// Compression is which batches of messages between daemons are compressed.
	Compression Compression

	// MaxSessions ("origins_most") is how many sessions a gateway accepts.
	MaxSessions int
	// MemoryBytes ("memory") is how much the process may use, 0 for no bound.
	MemoryBytes int64
	// LinkBytesPerSecond ("link") is the bandwidth of the machine's link, 0 if
	// it isn't known.
	LinkBytesPerSecond int

	Timeouts Timeouts
	LogLevel logrus.Level
	// TrafficInterval ("traffic") is how often the traffic of links is logged by
	// kind, 0 for never.
	TrafficInterval time.Duration
	// Impairment ("trial") is empty unless the flag -trial allows it.
	Impairment Impairment
}

// Timeouts are the bounds in time that daemons keep, and by which they judge
// each other ("bounds").
type Timeouts struct {
	// Contact is for how long a daemon must have reached more than half of the
	// controllers to count as in touch. Controllers derive from it after which
	// silence a member counts as failed.
	Contact time.Duration
	// Acknowledge bounds the time to acknowledge a configuration while the
	// controllers have a primary.
	Acknowledge time.Duration
	// CatchUp is how long a machine that returned still counts as lost.
	CatchUp time.Duration
	// Drain bounds the time from a request to stop to the end of the process,
	// and Grace is after how long a process that hasn't ended is killed.
	Drain time.Duration
	Grace time.Duration
	// Apply bounds the time from a configuration's acknowledgement until it is
	// in force on all daemons.
	Apply time.Duration
	// RevertSlack is how long an older configuration may still show after the
	// effect of a newer one was seen.
	RevertSlack time.Duration
	// Recovery is within what time the service works again once lost machines are back.
	Recovery time.Duration
	// Ping is after how long without traffic a client is pinged.
	Ping time.Duration
	// Resume is within how long a client that was cut off comes back.
	Resume time.Duration
	// Redeliver is for how long a resent publication is recognized as one.
	Redeliver time.Duration
	// Presence is how long a client is present or away before counts show it.
	Presence time.Duration
}

// DefaultTimeouts returns the timeouts of settings that name none.
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

// Impairment is what a trial imposes on a daemon's links and disk. Links are
// chosen by prefixes of the other daemon's address.
type Impairment struct {
	// Delays are added to what is sent, by prefix.
	Delays map[string]time.Duration
	// Loss is the probability, 0 to 1, that a frame is delayed as by a
	// retransmission, by prefix.
	Loss map[string]float64
	// Partitioned links ("cuts") drop frames in both directions, those of
	// OutboundBlocked ("mutes") and InboundBlocked ("deaf") in one.
	Partitioned     []string
	OutboundBlocked []string
	InboundBlocked  []string
	// DiskDelay ("disk") is added to each write to the disk.
	DiskDelay time.Duration
}

// ClientProtocol is the protocol that a gateway speaks with clients.
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

// VersionPolicy is how a configuration is answered whose version is below the
// one in force and was never seen.
type VersionPolicy string

// Policies for older versions: they are rejected, or acknowledged without effect.
const (
	VersionPolicyStrict  VersionPolicy = "strict"
	VersionPolicyHighest VersionPolicy = "highest"
)

// Compression is which batches of messages between daemons are compressed.
type Compression string

// Choices of compression: none, or what goes to daemons of other zones.
const (
	CompressionNone Compression = "none"
	CompressionFar  Compression = "far"
)

// OperatorProtocol is the form in which operators speak to a daemon's ctl.
type OperatorProtocol string

// OperatorProtocolJSON is the protocol of the daemons themselves.
const OperatorProtocolJSON OperatorProtocol = "json"

// operatorProtocols are the registered protocols for operators.
var operatorProtocols = []OperatorProtocol{OperatorProtocolJSON}

// MustRegisterOperatorProtocol adds a protocol that settings may choose; the
// package of its adapter calls it from init. It panics if the name is taken.
func MustRegisterOperatorProtocol(protocol OperatorProtocol) {
	if slices.Contains(operatorProtocols, protocol) {
		panic("settings: operator protocol registered twice: " + string(protocol))
	}
	operatorProtocols = append(operatorProtocols, protocol)
}

// MemoryLimit returns the limit in bytes for Go's collector: four fifths of
// what the process may use, as the collector doesn't count all of it, or no
// limit.
func (s Settings) MemoryLimit() int64 {
	if s.MemoryBytes == 0 {
		return math.MaxInt64
	}
	return s.MemoryBytes / 5 * 4
}

// ImmutableChanges returns the sorted keys of settings that differ but can't
// change while a daemon runs. What is only read at the start, such as the
// seeds, may change at any time.
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
