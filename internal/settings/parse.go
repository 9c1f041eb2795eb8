package settings

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fastjson"

	"dahlialock/internal/config"
	"dahlialock/internal/membership"
)

const (
	maxSeeds = 16
	maxPort  = 65535

	defaultControllers = 5
	minControllers     = 3
	maxControllers     = 15
	defaultTolerance   = 1
	maxTolerance       = 3

	minKeyBytes = 16

	defaultSessions = 2000
	maxSessions     = 1 << 20
	maxDescriptors  = 1 << 24
	// reservedDescriptors is the number of file descriptors reserved for a daemon's own
	// files and links.
	reservedDescriptors = 400

	minTimeout         = time.Millisecond
	maxTimeout         = 10 * time.Minute
	maxTrafficInterval = time.Hour
	maxImpairmentDelay = time.Minute
	maxImpairmentLists = 256
)

// parser reads the settings of one kind of daemon from the members of a JSON
// object, and collects the faults.
type parser struct {
	config.Reader
	kind    string
	members map[string]*fastjson.Value
}

func (p *parser) settings() Settings {
	settings := Settings{
		Name:           p.name("name"),
		Kind:           p.kind,
		Zone:           p.name("zone"),
		Address:        p.address("address", true),
		ControlAddress: p.address("ctl", true),
		ClientAddress:  p.address("caller", p.kind == membership.KindGateway),
		AgentAddress:   p.address("agent", p.kind == membership.KindGateway),
		GatewayAddress: p.address("gateway", p.kind == membership.KindAgent),
	}
	p.cluster(&settings)
	p.protocols(&settings)
	p.resources(&settings)
	settings.DataDir = p.dataDir()
	settings.Key = p.key(settings.AdmissionMode)
	settings.Timeouts = p.timeouts(p.members["bounds"])
	settings.LogLevel = p.logLevel()
	settings.TrafficInterval = p.Duration("$.traffic", p.members["traffic"], 0, 0, maxTrafficInterval)
	settings.Impairment = p.impairment(p.members[impairmentKey])
	return settings
}

// cluster reads the settings by which the daemon finds the cluster or takes part in its
// creation, and how many losses the cluster must survive.
func (p *parser) cluster(settings *Settings) {
	settings.SeedsPort = p.integer("seeds_port", 0, 0, maxPort)
	settings.Seeds = p.seeds(settings.SeedsPort)
	settings.Controllers = p.integer("controllers", defaultControllers, 0, maxControllers)
	if count := settings.Controllers; count != 0 && (count%2 == 0 || count < minControllers) {
		p.Report("$.controllers", config.FaultOutOfRange,
			"an odd number of at least 3 is required, or 0 if the seeds found the cluster")
	}
	settings.Bootstrap = p.Bool("$.bootstrap", p.members["bootstrap"], false)
	// Replicas are in different zones, so surviving the loss of a number of zones requires
	// as many replicas as surviving the loss of the same number of machines.
	settings.Tolerance = max(
		p.integer("tolerance", defaultTolerance, 0, maxTolerance),
		p.integer("tolerance_zones", 0, 0, maxTolerance),
	)
}

func (p *parser) protocols(settings *Settings) {
	settings.ClientProtocol = choice(p, "callers", ClientProtocolJSON, ClientProtocolLines)
	settings.AdmissionMode = choice(p, "admission", AdmissionToken, AdmissionOpen)
	settings.VersionPolicy = choice(p, "versions", VersionPolicyStrict, VersionPolicyHighest)
	settings.OperatorProtocol = choice(p, "operators", operatorProtocols...)
	settings.Compression = choice(p, "compression", CompressionNone, CompressionCrossZone)
}

func (p *parser) resources(settings *Settings) {
	settings.MemoryBytes = p.memory("$.memory", p.members["memory"])
	settings.LinkBytesPerSecond = p.bandwidth("$.link", p.members["link"])
	// If no number of sessions is given, four fifths of the descriptors that aren't
	// reserved may be used for sessions.
	sessions := defaultSessions
	if descriptors := p.integer("descriptors", 0, 0, maxDescriptors); descriptors > 0 {
		sessions = max(1, (descriptors-reservedDescriptors)*4/5)
	}
	settings.MaxSessions = p.integer("origins_most", sessions, 1, maxSessions)
}

// choice reads one of several strings, of which the first is the default.
func choice[Text ~string](p *parser, key string, choices ...Text) Text {
	texts := make([]string, 0, len(choices))
	for _, each := range choices {
		texts = append(texts, string(each))
	}
	return Text(p.Choice("$."+key, p.members[key], texts[0], texts...))
}

func (p *parser) integer(key string, fallback, minimum, maximum int) int {
	return int(p.Integer("$."+key, p.members[key], int64(fallback), int64(minimum), int64(maximum)))
}

// required reads a string and reports a fault if it is absent.
func (p *parser) required(key string) string {
	if p.members[key] == nil {
		p.Report("$."+key, config.FaultMissing, "%s is required", key)
		return ""
	}
	return p.Text("$."+key, p.members[key], "")
}

func (p *parser) name(key string) string {
	name := p.required(key)
	if p.members[key] != nil && !config.ValidName(name) {
		p.Report("$."+key, config.FaultBadName, "%q is not a valid name", name)
	}
	return name
}

func (p *parser) address(key string, required bool) string {
	if p.members[key] == nil && !required {
		return ""
	}
	address := p.required(key)
	if p.members[key] != nil {
		p.checkAddress("$."+key, address)
	}
	return address
}

func (p *parser) checkAddress(path, address string) {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil || port == "" || port == "0" {
		p.Report(path, config.FaultBadAddress, "%q is not an IP address with a port", address)
	}
}

func (p *parser) seeds(port int) []string {
	items := p.List("$.seeds", p.members["seeds"], maxSeeds)
	if p.kind != membership.KindGateway && len(items) == 0 {
		p.Report("$.seeds", config.FaultMissing, "seeds are required: addresses of up to three other daemons")
	}
	var seeds []string
	for index, item := range items {
		path := fmt.Sprintf("$.seeds[%d]", index)
		seed := p.Text(path, item, "")
		p.checkAddress(path, seed)
		seeds = append(seeds, withPort(seed, port))
	}
	return seeds
}

// withPort returns an address with its port replaced, or unchanged if the port is 0.
func withPort(address string, port int) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil || port == 0 {
		return address
	}
	return net.JoinHostPort(host, strconv.Itoa(port))
}

func (p *parser) dataDir() string {
	path := p.Text("$.data", p.members["data"], "")
	required := p.kind == membership.KindStore || p.kind == membership.KindController
	if required && path == "" {
		p.Report("$.data", config.FaultMissing, "a data directory is required")
	}
	return path
}

func (p *parser) key(mode AdmissionMode) string {
	key := p.Text("$.key", p.members["key"], "")
	if p.kind == membership.KindGateway && mode == AdmissionToken && len(key) < minKeyBytes {
		p.Report("$.key", config.FaultMissing, "a key of at least 16 characters is required, the same on all gateways")
	}
	return key
}

func (p *parser) logLevel() logrus.Level {
	level, err := logrus.ParseLevel(p.Text("$.log_level", p.members["log_level"], "info"))
	if err != nil {
		p.Report("$.log_level", config.FaultOutOfRange, "%s", err.Error())
	}
	return level
}

func (p *parser) timeouts(value *fastjson.Value) Timeouts {
	timeouts := DefaultTimeouts()
	if value == nil {
		return timeouts
	}
	fields := map[string]*time.Duration{
		"contact":      &timeouts.Contact,
		"acknowledge":  &timeouts.Acknowledge,
		"catch_up":     &timeouts.CatchUp,
		"drain":        &timeouts.Drain,
		"grace":        &timeouts.Grace,
		"apply":        &timeouts.Apply,
		"revert_slack": &timeouts.RevertSlack,
		"recovery":     &timeouts.Recovery,
		"ping":         &timeouts.Ping,
		"resume":       &timeouts.Resume,
		"redeliver":    &timeouts.Redeliver,
		"presence":     &timeouts.Presence,
	}
	known := slices.Sorted(maps.Keys(fields))
	members := p.Object("$.bounds", value, known...)
	for _, key := range known {
		*fields[key] = p.Duration("$.bounds."+key, members[key], *fields[key], minTimeout, maxTimeout)
	}
	return timeouts
}

func (p *parser) impairment(value *fastjson.Value) Impairment {
	impairment := Impairment{Delays: map[string]time.Duration{}, Loss: map[string]float64{}}
	if value == nil {
		return impairment
	}
	members := p.Object("$.trial", value, "delays", "loss", "cuts", "mutes", "deaf", "disk")
	p.eachMember("$.trial.delays", members["delays"], func(path, prefix string, item *fastjson.Value) {
		impairment.Delays[prefix] = p.Duration(path, item, 0, 0, maxImpairmentDelay)
	})
	p.eachMember("$.trial.loss", members["loss"], func(path, prefix string, item *fastjson.Value) {
		impairment.Loss[prefix] = p.Float(path, item, 0, 0, 1)
	})
	impairment.Partitioned = p.texts("$.trial.cuts", members["cuts"])
	impairment.OutboundBlocked = p.texts("$.trial.mutes", members["mutes"])
	impairment.InboundBlocked = p.texts("$.trial.deaf", members["deaf"])
	impairment.DiskDelay = p.Duration("$.trial.disk", members["disk"], 0, 0, maxImpairmentDelay)
	return impairment
}

// eachMember calls read with the path, key and value of each member of an object.
func (p *parser) eachMember(path string, value *fastjson.Value, read func(path, key string, item *fastjson.Value)) {
	if value == nil {
		return
	}
	object, err := value.Object()
	if err != nil {
		p.Report(path, config.FaultWrongType, "an object is required")
		return
	}
	object.Visit(func(key []byte, item *fastjson.Value) {
		read(path+"."+string(key), string(key), item)
	})
}

func (p *parser) texts(path string, value *fastjson.Value) []string {
	var texts []string
	for index, item := range p.List(path, value, maxImpairmentLists) {
		texts = append(texts, p.Text(fmt.Sprintf("%s[%d]", path, index), item, ""))
	}
	return texts
}
