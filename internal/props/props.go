// Package props reads a daemon's settings, from a file, from flags, or both
// with the flags first. All faults are listed together. A running daemon takes
// changed settings at a signal and without one; what names the daemon or its
// addresses can't change while it runs, and settings with any fault leave the
// old ones in force.
package props

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

	"dahlialock/internal/chart"
)

var (
	namespace = errorx.NewNamespace("props")
	// ErrorProps lists all that is wrong with settings.
	ErrorProps = namespace.NewType("faulty")
)

// Trial is what a trial imposes on links, by prefix of the other's address.
type Trial struct {
	Delays map[string]time.Duration
	Loss   map[string]float64
	Cuts   []string
	Mutes  []string
	Deaf   []string
	Disk   time.Duration
}

// Props are a daemon's settings.
type Props struct {
	Name        string
	Kind        string
	Address     string
	Control     string
	Caller      string
	Locality    string
	Seeds       []string
	Data        string
	Tender      string
	Lantern     string
	Pilots      int
	Key         string
	OriginsMost int
	LogLevel    logrus.Level
	Trial       Trial
	// SeedsPort replaces the port of each seed if it is above 0; Seeds has it.
	SeedsPort int
	// Bootstrap lets the seeds found the fleet if no number of pilots does.
	Bootstrap bool
	// Tolerance is how many machines with a disk may be lost at one time.
	Tolerance int
	Bounds    Bounds
	Callers   string
	Admission string
	Versions  string
	Operators string
	// Compression tells which turns between daemons are packed.
	Compression string
	// Memory is how many bytes the process may use, 0 for no bound.
	Memory int64
}

// Bounds are the times that daemons hold each other and their callers to.
type Bounds struct {
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

// DefaultBounds hold where settings say nothing else.
func DefaultBounds() Bounds {
	return Bounds{
		Contact: 4 * time.Second, Acknowledge: 5 * time.Second, CatchUp: 4100 * time.Millisecond, Drain: 3 * time.Second,
		Grace: 6 * time.Second, Apply: 3 * time.Second, RevertSlack: 250 * time.Millisecond, Recovery: 12 * time.Second,
		Ping: 2 * time.Second, Resume: 2 * time.Second, Redeliver: 10 * time.Second, Presence: 5 * time.Second,
	}
}

// Words that settings choose between.
const (
	CallersJSON     = "json"
	CallersLines    = "lines"
	AdmissionToken  = "token"
	AdmissionOpen   = "open"
	VersionsStrict  = "strict"
	VersionsHighest = "highest"
	OperatorsJSON   = "json"
	CompressionNone = "none"
	CompressionFar  = "far"
)

// operatorForms are the forms in which operators may speak to a daemon.
// Channels of a lantern if nobody says how many, and the descriptors that it
// keeps for itself.
const (
	defaultOrigins  = 2000
	descriptorsKept = 400
)

var operatorForms = []string{OperatorsJSON}

// MustRegisterOperators lets settings choose one more form for operators; an
// adapter calls it as its package starts. A clash stops the process.
func MustRegisterOperators(form string) {
	if slices.Contains(operatorForms, form) {
		panic("props: form of operators registered twice: " + form)
	}
	operatorForms = append(operatorForms, form)
}

var keys = []string{
	"name", "address", "ctl", "caller", "locality", "seeds", "data", "tender", "lantern", "pilots", "key", "origins_most", "log_level",
	"seeds_port", "bootstrap", "tolerance", "bounds", "callers", "admission", "versions", "memory", "operators", "compression", "descriptors", "tolerance_localities",
}

// Source is where settings come from.
type Source struct {
	kind  string
	path  string
	flags map[string]string
	trial bool
	seen  content
}

// FromFlags declares the flags of a daemon and reads them.
func FromFlags(kind string, arguments []string) (*Source, error) {
	source := &Source{kind: kind, flags: map[string]string{}}
	set := flag.NewFlagSet(kind, flag.ContinueOnError)
	set.Func("props", "settings `file` in JSON; flags go before it", func(value string) error {
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
	if fault := set.Parse(arguments); fault != nil {
		return nil, fault
	}
	if set.NArg() > 0 {
		return nil, ErrorProps.New("unknown argument %q", set.Arg(0))
	}
	return source, nil
}

// Path is the settings file, if there is one.
func (source *Source) Path() string { return source.path }

// Read gives the present settings, or an error that lists every fault.
func (source *Source) Read() (Props, error) {
	document := []byte("{}")
	if source.path != "" {
		body, fault := os.ReadFile(source.path)
		source.seen = content{body: string(body), missing: fault != nil}
		if fault != nil {
			return Props{}, ErrorProps.Wrap(fault, "reading %s", source.path)
		}
		document = body
	}
	return source.check(document)
}

func (source *Source) check(document []byte) (Props, error) {
	var walk chart.Reader
	value, whole := walk.Parse(document)
	props := Props{Kind: source.kind}
	if whole {
		source.walk(&walk, value, &props)
	}
	if len(walk.Faults) == 0 {
		return props, nil
	}
	var lines []string
	for _, fault := range walk.Faults {
		lines = append(lines, fault.String())
	}
	slices.Sort(lines)
	return Props{}, ErrorProps.New("%s", strings.Join(lines, "; "))
}

func (source *Source) walk(walk *chart.Reader, value *fastjson.Value, props *Props) {
	known := keys
	if source.trial {
		known = append(slices.Clone(keys), "trial")
	}
	members := walk.Object("$", value, known...)
	var arena fastjson.Arena
	for key, text := range source.flags {
		switch key {
		case "pilots", "origins_most", "seeds_port", "tolerance", "descriptors", "tolerance_localities":
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
	props.Name = wanted("name")
	if members["name"] != nil && !chart.FitName(props.Name) {
		walk.Report("$.name", "bad-name", "%q is not a fit name", props.Name)
	}
	props.Locality = wanted("locality")
	if members["locality"] != nil && !chart.FitName(props.Locality) {
		walk.Report("$.locality", "bad-name", "%q is not a fit name", props.Locality)
	}
	props.Address = address("address", true)
	props.Control = address("ctl", true)
	props.Caller = address("caller", source.kind == "lantern")
	props.Tender = address("tender", source.kind == "lantern")
	props.Lantern = address("lantern", source.kind == "tender")
	seeds := walk.List("$.seeds", members["seeds"], 16)
	if source.kind != "lantern" && len(seeds) == 0 {
		walk.Report("$.seeds", "missing", "seeds are wanted: addresses of up to three other daemons")
	}
	props.SeedsPort = int(walk.Whole("$.seeds_port", members["seeds_port"], 0, 0, 65535))
	for position, item := range seeds {
		path := fmt.Sprintf("$.seeds[%d]", position)
		seed := walk.Text(path, item, "")
		checkAddress(walk, path, seed)
		props.Seeds = append(props.Seeds, withPort(seed, props.SeedsPort))
	}
	stores := source.kind == "keeper" || source.kind == "pilot"
	props.Data = walk.Text("$.data", members["data"], "")
	if stores && props.Data == "" {
		walk.Report("$.data", "missing", "a data folder is wanted")
	}
	props.Pilots = int(walk.Whole("$.pilots", members["pilots"], 5, 0, 15))
	if props.Pilots != 0 && (props.Pilots%2 == 0 || props.Pilots < 3) {
		walk.Report("$.pilots", "out-of-range", "an odd number from 3 is wanted, or 0 if the seeds found the fleet")
	}
	props.Bootstrap = walk.Truth("$.bootstrap", members["bootstrap"], false)
	props.Tolerance = int(walk.Whole("$.tolerance", members["tolerance"], 1, 0, 3))
	// Copies lie in different localities, so that who may lose localities needs as
	// many copies as who may lose machines.
	props.Tolerance = max(props.Tolerance, int(walk.Whole("$.tolerance_localities", members["tolerance_localities"], 0, 0, 3)))
	props.Bounds = readBounds(walk, members["bounds"])
	props.Callers = walk.Choice("$.callers", members["callers"], CallersJSON, CallersJSON, CallersLines)
	props.Admission = walk.Choice("$.admission", members["admission"], AdmissionToken, AdmissionToken, AdmissionOpen)
	props.Versions = walk.Choice("$.versions", members["versions"], VersionsStrict, VersionsStrict, VersionsHighest)
	props.Operators = walk.Choice("$.operators", members["operators"], OperatorsJSON, operatorForms...)
	props.Compression = walk.Choice("$.compression", members["compression"], CompressionNone, CompressionNone, CompressionFar)
	props.Memory = readMemory(walk, "$.memory", members["memory"])
	props.Key = walk.Text("$.key", members["key"], "")
	if source.kind == "lantern" && props.Admission == AdmissionToken && len(props.Key) < 16 {
		walk.Report("$.key", "missing", "a key of 16 characters or more is wanted, the same on all lanterns")
	}
	// Where only the descriptors are told, callers may have what is left of them
	// beside the daemon's own files and links.
	most := int64(defaultOrigins)
	if descriptors := walk.Whole("$.descriptors", members["descriptors"], 0, 0, 1<<24); descriptors > 0 {
		most = max(1, (descriptors-descriptorsKept)*4/5)
	}
	props.OriginsMost = int(walk.Whole("$.origins_most", members["origins_most"], most, 1, 1<<20))
	level, fault := logrus.ParseLevel(walk.Text("$.log_level", members["log_level"], "info"))
	if fault != nil {
		walk.Report("$.log_level", "out-of-range", "%s", fault.Error())
	}
	props.LogLevel = level
	props.Trial = readTrial(walk, members["trial"])
}

func checkAddress(walk *chart.Reader, path, text string) {
	host, port, fault := net.SplitHostPort(text)
	if fault != nil || net.ParseIP(host) == nil || port == "" || port == "0" {
		walk.Report(path, "bad-address", "%q is not an IP number with a port", text)
	}
}

// withPort gives an address another port, if there is one to give.
func withPort(address string, port int) string {
	host, _, fault := net.SplitHostPort(address)
	if fault != nil || port == 0 {
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
	memoryLeast = 16 << 20
	memoryMost  = 1 << 44
)

func readBounds(walk *chart.Reader, value *fastjson.Value) Bounds {
	bounds := DefaultBounds()
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
func readMemory(walk *chart.Reader, path string, value *fastjson.Value) int64 {
	if value == nil || value.Type() != fastjson.TypeString {
		return walk.Whole(path, value, 0, memoryLeast, memoryMost)
	}
	text := walk.Text(path, value, "")
	number, unit := text, int64(1)
	for _, each := range memoryUnits {
		if trimmed, found := strings.CutSuffix(text, each.name); found {
			number, unit = trimmed, each.bytes
			break
		}
	}
	count, fault := strconv.ParseInt(number, 10, 64)
	if fault != nil {
		walk.Report(path, "wrong-type", "%q is not a number of bytes such as \"284MB\"", text)
		return 0
	}
	if count < 0 || count > memoryMost/unit || count*unit < memoryLeast {
		walk.Report(path, "out-of-range", "%s is not between 16MiB and 16384GiB", text)
		return 0
	}
	return count * unit
}

// MemoryLimit is the bound to give Go's collector: four fifths of what the
// process may use, as the rest goes to what the collector does not count, or
// no bound.
func (props Props) MemoryLimit() int64 {
	if props.Memory == 0 {
		return math.MaxInt64
	}
	return props.Memory / 5 * 4
}

func readTrial(walk *chart.Reader, value *fastjson.Value) Trial {
	trial := Trial{Delays: map[string]time.Duration{}, Loss: map[string]float64{}}
	if value == nil {
		return trial
	}
	members := walk.Object("$.trial", value, "delays", "loss", "cuts", "mutes", "deaf", "disk")
	each := func(name string, check func(path, prefix string, item *fastjson.Value)) {
		if members[name] == nil {
			return
		}
		table, fault := members[name].Object()
		if fault != nil {
			walk.Report("$.trial."+name, "wrong-type", "an object is wanted")
			return
		}
		table.Visit(func(key []byte, item *fastjson.Value) { check("$.trial."+name+"."+string(key), string(key), item) })
	}
	each("delays", func(path, prefix string, item *fastjson.Value) {
		trial.Delays[prefix] = walk.Duration(path, item, 0, 0, time.Minute)
	})
	each("loss", func(path, prefix string, item *fastjson.Value) {
		trial.Loss[prefix] = walk.Fraction(path, item, 0, 0, 1)
	})
	for name, list := range map[string]*[]string{"cuts": &trial.Cuts, "mutes": &trial.Mutes, "deaf": &trial.Deaf} {
		for position, item := range walk.List("$.trial."+name, members[name], 256) {
			*list = append(*list, walk.Text(fmt.Sprintf("$.trial.%s[%d]", name, position), item, ""))
		}
	}
	trial.Disk = walk.Duration("$.trial.disk", members["disk"], 0, 0, time.Minute)
	return trial
}

// Fixed tells what can't change while a daemon runs and yet differs. What only
// a start reads, such as the seeds, may change at any time.
func Fixed(before, after Props) []string {
	var differ []string
	for name, same := range map[string]bool{
		"name": before.Name == after.Name, "address": before.Address == after.Address, "ctl": before.Control == after.Control,
		"caller": before.Caller == after.Caller, "locality": before.Locality == after.Locality, "data": before.Data == after.Data,
		"tender": before.Tender == after.Tender, "lantern": before.Lantern == after.Lantern, "pilots": before.Pilots == after.Pilots,
		"key": before.Key == after.Key, "callers": before.Callers == after.Callers, "admission": before.Admission == after.Admission,
		"versions": before.Versions == after.Versions, "operators": before.Operators == after.Operators,
		"compression": before.Compression == after.Compression,
	} {
		if !same {
			differ = append(differ, name)
		}
	}
	slices.Sort(differ)
	return differ
}
