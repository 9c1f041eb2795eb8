// Package props reads a daemon's settings, from a file, from flags, or both
// with the flags first. All faults are listed together. A running daemon takes
// changed settings at a signal and without one; what names the daemon or its
// addresses can't change while it runs, and settings with any fault leave the
// old ones in force.
package props

import (
	"flag"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/fsnotify/fsnotify"
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
}

var keys = []string{
	"name", "address", "ctl", "caller", "locality", "seeds", "data", "tender", "lantern", "pilots", "key", "origins_most", "log_level",
}

// Source is where settings come from.
type Source struct {
	kind  string
	path  string
	flags map[string]string
	trial bool
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
		case "pilots", "origins_most":
			members[key] = arena.NewNumberString(text)
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
	for position, item := range seeds {
		path := fmt.Sprintf("$.seeds[%d]", position)
		seed := walk.Text(path, item, "")
		checkAddress(walk, path, seed)
		props.Seeds = append(props.Seeds, seed)
	}
	stores := source.kind == "keeper" || source.kind == "pilot"
	props.Data = walk.Text("$.data", members["data"], "")
	if stores && props.Data == "" {
		walk.Report("$.data", "missing", "a data folder is wanted")
	}
	props.Pilots = int(walk.Whole("$.pilots", members["pilots"], 5, 3, 15))
	if props.Pilots%2 == 0 {
		walk.Report("$.pilots", "out-of-range", "an odd number is wanted")
	}
	props.Key = walk.Text("$.key", members["key"], "")
	if source.kind == "lantern" && len(props.Key) < 16 {
		walk.Report("$.key", "missing", "a key of 16 characters or more is wanted, the same on all lanterns")
	}
	props.OriginsMost = int(walk.Whole("$.origins_most", members["origins_most"], 2000, 1, 1<<20))
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

// Fixed tells what can't change while a daemon runs and yet differs.
func Fixed(before, after Props) []string {
	var differ []string
	for name, same := range map[string]bool{
		"name": before.Name == after.Name, "address": before.Address == after.Address, "ctl": before.Control == after.Control,
		"caller": before.Caller == after.Caller, "locality": before.Locality == after.Locality, "data": before.Data == after.Data,
		"tender": before.Tender == after.Tender, "lantern": before.Lantern == after.Lantern, "pilots": before.Pilots == after.Pilots,
		"key": before.Key == after.Key, "seeds": slices.Equal(before.Seeds, after.Seeds),
	} {
		if !same {
			differ = append(differ, name)
		}
	}
	slices.Sort(differ)
	return differ
}

// Watch tells on a channel whenever the settings file may have changed.
func (source *Source) Watch() (<-chan struct{}, error) {
	changed := make(chan struct{}, 1)
	if source.path == "" {
		return changed, nil
	}
	watcher, fault := fsnotify.NewWatcher()
	if fault != nil {
		return nil, ErrorProps.Wrap(fault, "watching %s", source.path)
	}
	if fault := watcher.Add(filepath.Dir(source.path)); fault != nil {
		return nil, ErrorProps.Wrap(fault, "watching %s", source.path)
	}
	go func() {
		for event := range watcher.Events {
			if filepath.Base(event.Name) != filepath.Base(source.path) || event.Op == fsnotify.Chmod {
				continue
			}
			select {
			case changed <- struct{}{}:
			default:
			}
		}
	}()
	return changed, nil
}
