// Package settings reads a daemon's settings, from a file, from flags, or both
// with the flags first. All faults are listed together. A running daemon takes
// changed settings at a signal and without one; what names the daemon or its
// addresses can't change while it runs, and settings with any fault leave the
// old ones in force.
package settings

import (
	"flag"
	"fmt"
	"maps"
	"math"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fastjson"

	"dahlialock/internal/config"
)

var (
	namespace = errorx.NewNamespace("settings")
	// ErrorSettings lists all that is wrong with settings.
	ErrorSettings = namespace.NewType("faulty")
)

// Impairment is what a trial imposes on links, by prefix of the other's address.
type Impairment struct {
	Delays          map[string]time.Duration
	Loss            map[string]float64
	Partitioned     []string
	OutboundBlocked []string
	InboundBlocked  []string
	DiskDelay       time.Duration
}

// Settings are a daemon's settings.
type Settings struct {
	Name           string
	Kind           string
	Address        string
	ControlAddress string
	ClientAddress  string
	Zone           string
	Seeds          []string
	DataDir        string
	AgentAddress   string
	GatewayAddress string
	Controllers    int
	Key            string
	MaxSessions    int
	LogLevel       logrus.Level
	Impairment     Impairment
	// SeedsPort replaces the port of each seed if it is above 0; Seeds has it.
	SeedsPort int
	// Bootstrap lets the seeds found the fleet if no number of controllers does.
	Bootstrap bool
	// Tolerance is how many machines with a disk may be lost at one time.
	Tolerance        int
	Timeouts         Timeouts
	ClientProtocol   string
	AdmissionMode    string
	VersionPolicy    string
	OperatorProtocol string
	// Compression tells which turns between daemons are packed.
	Compression string
	// TrafficInterval is how often what crossed the daemon's links is logged by kind, 0 for
	// never.
	TrafficInterval time.Duration
	// MemoryBytes is how many bytes the process may use, 0 for no bound.
	MemoryBytes int64
	// LinkBytesPerSecond is how many bytes a second the machine's link takes, 0 if nobody says.
	LinkBytesPerSecond int
}

// Timeouts are the times that daemons hold each other and their callers to.
type Timeouts struct {
	Contact     time.Duration
	Acknowledge time.Duration
	CatchUp     time.Duration
	Drain       time.Duration
	Grace       time.Duration
	Apply       time.Duration
	RevertSlack time.Duration
	Recovery    time.Duration
	Ping        time.Duration
	Resume      time.Duration
	Redeliver   time.Duration
	Presence    time.Duration
}

// DefaultTimeouts hold where settings say nothing else.
func DefaultTimeouts() Timeouts {
	return Timeouts{
		Contact: 4 * time.Second, Acknowledge: 5 * time.Second, CatchUp: 4100 * time.Millisecond, Drain: 3 * time.Second,
		Grace: 6 * time.Second, Apply: 3 * time.Second, RevertSlack: 250 * time.Millisecond, Recovery: 12 * time.Second,
		Ping: 2 * time.Second, Resume: 2 * time.Second, Redeliver: 10 * time.Second, Presence: 5 * time.Second,
	}
}

// Words that settings choose between.
const (
	ClientProtocolJSON   = "json"
	ClientProtocolLines  = "lines"
	AdmissionToken       = "token"
	AdmissionOpen        = "open"
	VersionsStrict       = "strict"
	VersionsHighest      = "highest"
	OperatorProtocolJSON = "json"
	CompressionNone      = "none"
	CompressionFar       = "far"
)

// operatorForms are the forms in which operators may speak to a daemon.
// Channels of a gateway if nobody says how many, and the descriptors that it
// keeps for itself.
const (
	defaultOrigins  = 2000
	descriptorsKept = 400
)

var operatorForms = []string{OperatorProtocolJSON}

// MustRegisterOperatorProtocol lets settings choose one more form for operators; an
// adapter calls it as its package starts. A clash stops the process.
func MustRegisterOperatorProtocol(form string) {
	if slices.Contains(operatorForms, form) {
		panic("settings: form of operators registered twice: " + form)
	}
	operatorForms = append(operatorForms, form)
}

var keys = []string{
	"name", "address", "ctl", "caller", "zone", "seeds", "data", "agent", "gateway", "controllers", "key", "origins_most", "log_level",
	"seeds_port", "bootstrap", "tolerance", "bounds", "callers", "admission", "versions", "memory", "operators", "compression", "descriptors", "tolerance_zones",
	"link", "traffic",
}

// Loader is where settings come from.
type Loader struct {
	kind  string
	path  string
	flags map[string]string
	trial bool
	seen  content
}

// ParseFlags declares the flags of a daemon and reads them.
func ParseFlags(kind string, arguments []string) (*Loader, error) {
	source := &Loader{kind: kind, flags: map[string]string{}}
	set := flag.NewFlagSet(kind, flag.ContinueOnError)
	set.Func("settings", "settings `file` in JSON; flags go before it", func(value string) error {
		source.path = value
		return nil
	})
	set.BoolVar(&source.trial, "trial", false, "allow the setting trial, which delays and cuts links; for trials only")
	for _, key := range keys {
		set.Func(strings.ReplaceAll(key, "_", "-"), "the setting "+key+"; lists are separated by commas", func(value string) error {
			source.flags[key] = value
			return nil
		})
	}
	if err := set.Parse(arguments); err != nil {
		return nil, err
	}
	if set.NArg() > 0 {
		return nil, ErrorSettings.New("unknown argument %q", set.Arg(0))
	}
	return source, nil
}

// Path is the settings file, if there is one.
func (s *Loader) Path() string { return s.path }

// Load gives the present settings, or an error that lists every fault.
func (s *Loader) Load() (Settings, error) {
	document := []byte("{}")
	if s.path != "" {
		body, err := os.ReadFile(s.path)
		s.seen = content{body: string(body), missing: err != nil}
		if err != nil {
			return Settings{}, ErrorSettings.Wrap(err, "reading %s", s.path)
		}
		document = body
	}
	return s.check(document)
}

func (s *Loader) check(document []byte) (Settings, error) {
	var walk config.Reader
	value, whole := walk.Parse(document)
	settings := Settings{Kind: s.kind}
	if whole {
		s.walk(&walk, value, &settings)
	}
	if len(walk.Faults) == 0 {
		return settings, nil
	}
	var lines []string
	for _, fault := range walk.Faults {
		lines = append(lines, fault.String())
	}
	slices.Sort(lines)
	return Settings{}, ErrorSettings.New("%s", strings.Join(lines, "; "))
}

func (s *Loader) walk(walk *config.Reader, value *fastjson.Value, settings *Settings) {
	known := keys
	if s.trial {
		known = append(slices.Clone(keys), "trial")
	}
	members := walk.Object("$", value, known...)
	s.overlayFlags(members)
	wanted := func(name string) string {
		if members[name] == nil {
			walk.Report("$."+name, "missing", "%s is wanted", name)
			return ""
		}
		return walk.Text("$."+name, members[name], "")
	}
	address := func(name string, needed bool) string {
		if members[name] == nil && !needed {
			return ""
		}
		text := wanted(name)
		if members[name] != nil {
			checkAddress(walk, "$."+name, text)
		}
		return text
	}
	settings.Name = wanted("name")
	if members["name"] != nil && !config.ValidName(settings.Name) {
		walk.Report("$.name", "bad-name", "%q is not a fit name", settings.Name)
	}
	settings.Zone = wanted("zone")
	if members["zone"] != nil && !config.ValidName(settings.Zone) {
		walk.Report("$.zone", "bad-name", "%q is not a fit name", settings.Zone)
	}
	settings.Address = address("address", true)
	settings.ControlAddress = address("ctl", true)
	settings.ClientAddress = address("caller", s.kind == "gateway")
	settings.AgentAddress = address("agent", s.kind == "gateway")
	settings.GatewayAddress = address("gateway", s.kind == "agent")
	seeds := walk.List("$.seeds", members["seeds"], 16)
	if s.kind != "gateway" && len(seeds) == 0 {
		walk.Report("$.seeds", "missing", "seeds are wanted: addresses of up to three other daemons")
	}
	settings.SeedsPort = int(walk.Integer("$.seeds_port", members["seeds_port"], 0, 0, 65535))
	for position, item := range seeds {
		path := fmt.Sprintf("$.seeds[%d]", position)
		seed := walk.Text(path, item, "")
		checkAddress(walk, path, seed)
		settings.Seeds = append(settings.Seeds, withPort(seed, settings.SeedsPort))
	}
	stores := s.kind == "store" || s.kind == "controller"
	settings.DataDir = walk.Text("$.data", members["data"], "")
	if stores && settings.DataDir == "" {
		walk.Report("$.data", "missing", "a data folder is wanted")
	}
	settings.Controllers = int(walk.Integer("$.controllers", members["controllers"], 5, 0, 15))
	if settings.Controllers != 0 && (settings.Controllers%2 == 0 || settings.Controllers < 3) {
		walk.Report("$.controllers", "out-of-range", "an odd number from 3 is wanted, or 0 if the seeds found the fleet")
	}
	settings.Bootstrap = walk.Bool("$.bootstrap", members["bootstrap"], false)
	settings.Tolerance = int(walk.Integer("$.tolerance", members["tolerance"], 1, 0, 3))
	// Copies lie in different zones, so that who may lose zones needs as
	// many copies as who may lose machines.
	settings.Tolerance = max(settings.Tolerance, int(walk.Integer("$.tolerance_zones", members["tolerance_zones"], 0, 0, 3)))
	settings.Timeouts = readBounds(walk, members["bounds"])
	settings.ClientProtocol = walk.Choice("$.callers", members["callers"], ClientProtocolJSON, ClientProtocolJSON, ClientProtocolLines)
	settings.AdmissionMode = walk.Choice("$.admission", members["admission"], AdmissionToken, AdmissionToken, AdmissionOpen)
	settings.VersionPolicy = walk.Choice("$.versions", members["versions"], VersionsStrict, VersionsStrict, VersionsHighest)
	settings.OperatorProtocol = walk.Choice("$.operators", members["operators"], OperatorProtocolJSON, operatorForms...)
	settings.Compression = walk.Choice("$.compression", members["compression"], CompressionNone, CompressionNone, CompressionFar)
	settings.TrafficInterval = walk.Duration("$.traffic", members["traffic"], 0, 0, trafficMost)
	settings.MemoryBytes = readMemory(walk, "$.memory", members["memory"])
	settings.LinkBytesPerSecond = readLink(walk, "$.link", members["link"])
	settings.Key = walk.Text("$.key", members["key"], "")
	if s.kind == "gateway" && settings.AdmissionMode == AdmissionToken && len(settings.Key) < 16 {
		walk.Report("$.key", "missing", "a key of 16 characters or more is wanted, the same on all gateways")
	}
	// Where only the descriptors are told, callers may have what is left of them
	// beside the daemon's own files and links.
	most := int64(defaultOrigins)
	if descriptors := walk.Integer("$.descriptors", members["descriptors"], 0, 0, 1<<24); descriptors > 0 {
		most = max(1, (descriptors-descriptorsKept)*4/5)
	}
	settings.MaxSessions = int(walk.Integer("$.origins_most", members["origins_most"], most, 1, 1<<20))
	level, err := logrus.ParseLevel(walk.Text("$.log_level", members["log_level"], "info"))
	if err != nil {
		walk.Report("$.log_level", "out-of-range", "%s", err.Error())
	}
	settings.LogLevel = level
	settings.Impairment = readTrial(walk, members["trial"])
}

// overlayFlags puts what flags gave over what the file says.
func (s *Loader) overlayFlags(members map[string]*fastjson.Value) {
	var arena fastjson.Arena
	for key, text := range s.flags {
		switch key {
		case "controllers", "origins_most", "seeds_port", "tolerance", "descriptors", "tolerance_zones":
			members[key] = arena.NewNumberString(text)
		case "bootstrap":
			members[key] = flagTruth(&arena, text)
		case "bounds":
			table := arena.NewObject()
			for _, item := range strings.Split(text, ",") {
				name, length, _ := strings.Cut(item, "=")
				table.Set(name, arena.NewString(length))
			}
			members[key] = table
		case "seeds":
			list := arena.NewArray()
			for position, item := range strings.Split(text, ",") {
				list.SetArrayItem(position, arena.NewString(item))
			}
			members[key] = list
		default:
			members[key] = arena.NewString(text)
		}
	}
}

func checkAddress(walk *config.Reader, path, text string) {
	host, port, err := net.SplitHostPort(text)
	if err != nil || net.ParseIP(host) == nil || port == "" || port == "0" {
		walk.Report(path, "bad-address", "%q is not an IP number with a port", text)
	}
}

// withPort gives an address another port, if there is one to give.
func withPort(address string, port int) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil || port == 0 {
		return address
	}
	return net.JoinHostPort(host, strconv.Itoa(port))
}

func flagTruth(arena *fastjson.Arena, text string) *fastjson.Value {
	switch text {
	case "true":
		return arena.NewTrue()
	case "false":
		return arena.NewFalse()
	}
	return arena.NewString(text)
}

const (
	boundLeast  = time.Millisecond
	boundMost   = 10 * time.Minute
	trafficMost = time.Hour
	memoryLeast = 16 << 20
	memoryMost  = 1 << 44
)

func readBounds(walk *config.Reader, value *fastjson.Value) Timeouts {
	bounds := DefaultTimeouts()
	if value == nil {
		return bounds
	}
	places := map[string]*time.Duration{
		"contact": &bounds.Contact, "acknowledge": &bounds.Acknowledge, "catch_up": &bounds.CatchUp, "drain": &bounds.Drain,
		"grace": &bounds.Grace, "apply": &bounds.Apply, "revert_slack": &bounds.RevertSlack, "recovery": &bounds.Recovery,
		"ping": &bounds.Ping, "resume": &bounds.Resume, "redeliver": &bounds.Redeliver, "presence": &bounds.Presence,
	}
	known := slices.Sorted(maps.Keys(places))
	members := walk.Object("$.bounds", value, known...)
	for _, name := range known {
		*places[name] = walk.Duration("$.bounds."+name, members[name], *places[name], boundLeast, boundMost)
	}
	return bounds
}

var memoryUnits = []struct {
	name  string
	bytes int64
}{
	{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"kB", 1e3}, {"MB", 1e6}, {"GB", 1e9}, {"B", 1},
}

// readMemory reads a number of bytes, or a text such as "284MB".
func readMemory(walk *config.Reader, path string, value *fastjson.Value) int64 {
	if value == nil || value.Type() != fastjson.TypeString {
		return walk.Integer(path, value, 0, memoryLeast, memoryMost)
	}
	text := walk.Text(path, value, "")
	number, unit := text, int64(1)
	for _, each := range memoryUnits {
		if trimmed, found := strings.CutSuffix(text, each.name); found {
			number, unit = trimmed, each.bytes
			break
		}
	}
	count, err := strconv.ParseInt(number, 10, 64)
	if err != nil {
		walk.Report(path, "wrong-type", "%q is not a number of bytes such as \"284MB\"", text)
		return 0
	}
	if count < 0 || count > memoryMost/unit || count*unit < memoryLeast {
		walk.Report(path, "out-of-range", "%s is not between 16MiB and 16384GiB", text)
		return 0
	}
	return count * unit
}

// linkUnits are the bits a second of a unit.
var linkUnits = []struct {
	name string
	bits float64
}{
	{"kbit/s", 1e3}, {"Mbit/s", 1e6}, {"Gbit/s", 1e9},
}

const (
	linkLeast = 10_000
	linkMost  = 1 << 40
)

// readLink reads a text such as "2.6Mbit/s", and gives bytes a second.
func readLink(walk *config.Reader, path string, value *fastjson.Value) int {
	text := walk.Text(path, value, "")
	if text == "" {
		return 0
	}
	for _, each := range linkUnits {
		number, found := strings.CutSuffix(text, each.name)
		if !found {
			continue
		}
		count, err := strconv.ParseFloat(number, 64)
		bytes := count * each.bits / 8
		switch {
		case err != nil:
		case bytes >= linkLeast && bytes <= linkMost:
			return int(bytes)
		default:
			walk.Report(path, "out-of-range", "%s is not between 80kbit/s and 8796Gbit/s", text)
			return 0
		}
	}
	walk.Report(path, "wrong-type", "%q is not a rate such as \"2.6Mbit/s\"", text)
	return 0
}

// MemoryLimit is the bound to give Go's collector: four fifths of what the
// process may use, as the rest goes to what the collector does not count, or
// no bound.
func (s Settings) MemoryLimit() int64 {
	if s.MemoryBytes == 0 {
		return math.MaxInt64
	}
	return s.MemoryBytes / 5 * 4
}

func readTrial(walk *config.Reader, value *fastjson.Value) Impairment {
	trial := Impairment{Delays: map[string]time.Duration{}, Loss: map[string]float64{}}
	if value == nil {
		return trial
	}
	members := walk.Object("$.trial", value, "delays", "loss", "cuts", "mutes", "deaf", "disk")
	each := func(name string, check func(path, prefix string, item *fastjson.Value)) {
		if members[name] == nil {
			return
		}
		table, err := members[name].Object()
		if err != nil {
			walk.Report("$.trial."+name, "wrong-type", "an object is wanted")
			return
		}
		table.Visit(func(key []byte, item *fastjson.Value) { check("$.trial."+name+"."+string(key), string(key), item) })
	}
	each("delays", func(path, prefix string, item *fastjson.Value) {
		trial.Delays[prefix] = walk.Duration(path, item, 0, 0, time.Minute)
	})
	each("loss", func(path, prefix string, item *fastjson.Value) {
		trial.Loss[prefix] = walk.Float(path, item, 0, 0, 1)
	})
	for name, list := range map[string]*[]string{"cuts": &trial.Partitioned, "mutes": &trial.OutboundBlocked, "deaf": &trial.InboundBlocked} {
		for position, item := range walk.List("$.trial."+name, members[name], 256) {
			*list = append(*list, walk.Text(fmt.Sprintf("$.trial.%s[%d]", name, position), item, ""))
		}
	}
	trial.DiskDelay = walk.Duration("$.trial.disk", members["disk"], 0, 0, time.Minute)
	return trial
}

// ImmutableChanges tells what can't change while a daemon runs and yet differs. What only
// a start reads, such as the seeds, may change at any time.
func ImmutableChanges(before, after Settings) []string {
	var differ []string
	for name, same := range map[string]bool{
		"name": before.Name == after.Name, "address": before.Address == after.Address, "ctl": before.ControlAddress == after.ControlAddress,
		"caller": before.ClientAddress == after.ClientAddress, "zone": before.Zone == after.Zone, "data": before.DataDir == after.DataDir,
		"agent": before.AgentAddress == after.AgentAddress, "gateway": before.GatewayAddress == after.GatewayAddress, "controllers": before.Controllers == after.Controllers,
		"key": before.Key == after.Key, "callers": before.ClientProtocol == after.ClientProtocol, "admission": before.AdmissionMode == after.AdmissionMode,
		"versions": before.VersionPolicy == after.VersionPolicy, "operators": before.OperatorProtocol == after.OperatorProtocol,
		"compression": before.Compression == after.Compression,
	} {
		if !same {
			differ = append(differ, name)
		}
	}
	slices.Sort(differ)
	return differ
}
