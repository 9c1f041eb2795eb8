package settings

import (
	"flag"
	"os"
	"slices"
	"strings"

	"github.com/valyala/fastjson"

	"dahlialock/internal/config"
)

// keys are the keys of a settings file. With dashes in place of "_" they are the flags.
var keys = []string{
	"name", "address", "ctl", "caller", "zone", "seeds", "data", "agent", "gateway", "controllers", "key",
	"origins_most", "log_level", "seeds_port", "bootstrap", "tolerance", "bounds", "callers", "admission", "versions",
	"memory", "operators", "compression", "descriptors", "tolerance_zones", "link", "traffic",
}

// impairmentKey is a further key, which is known only if the flag -trial is given.
const impairmentKey = "trial"

// Loader loads the settings of a daemon from the file and the flags of its command line.
// It is not safe for concurrent use.
type Loader struct {
	kind string
	// path is the path of the settings file, empty if there is none.
	path string
	// flags holds the values of the given flags, by key.
	flags           map[string]string
	allowImpairment bool
	// loaded is the state of the file when it was last loaded. Poll compares with it first.
	loaded fileState
}

// ParseFlags parses the command line of a daemon. The error is flag.ErrHelp if
// the command line requests the usage.
func ParseFlags(kind string, arguments []string) (*Loader, error) {
	loader := &Loader{kind: kind, flags: map[string]string{}}
	flags := flag.NewFlagSet(kind, flag.ContinueOnError)
	flags.StringVar(&loader.path, "settings", "", "settings `file` in JSON; flags take precedence")
	flags.BoolVar(&loader.allowImpairment, "trial", false,
		"allow the setting trial, which injects faults into links and the disk; for tests only")
	for _, key := range keys {
		usage := "the setting " + key + "; lists are separated by commas"
		flags.Func(strings.ReplaceAll(key, "_", "-"), usage, func(text string) error {
			loader.flags[key] = text
			return nil
		})
	}
	if err := flags.Parse(arguments); err != nil {
		return nil, err
	}
	if flags.NArg() > 0 {
		return nil, ErrorSettings.New("unknown argument %q", flags.Arg(0))
	}
	return loader, nil
}

// Load reads the current settings and checks them. The error is of type ErrorSettings and
// lists every fault.
func (l *Loader) Load() (Settings, error) {
	document := []byte("{}")
	if l.path != "" {
		body, err := os.ReadFile(l.path)
		l.loaded = fileState{body: string(body), missing: err != nil}
		if err != nil {
			return Settings{}, ErrorSettings.Wrap(err, "reading %s", l.path)
		}
		document = body
	}
	return l.parse(document)
}

func (l *Loader) parse(document []byte) (Settings, error) {
	parser := parser{kind: l.kind}
	var settings Settings
	if value, valid := parser.Parse(document); valid {
		parser.members = parser.Object("$", value, l.knownKeys()...)
		l.applyFlags(parser.members)
		settings = parser.settings()
	}
	if len(parser.Faults) == 0 {
		return settings, nil
	}
	return Settings{}, ErrorSettings.New("%s", strings.Join(sortedTexts(parser.Faults), "; "))
}

func (l *Loader) knownKeys() []string {
	if l.allowImpairment {
		return append(slices.Clone(keys), impairmentKey)
	}
	return keys
}

func sortedTexts(faults []config.Fault) []string {
	texts := make([]string, 0, len(faults))
	for _, fault := range faults {
		texts = append(texts, fault.String())
	}
	slices.Sort(texts)
	return texts
}

// applyFlags replaces members of the settings file by the values of flags, converted to
// the types that the file has.
func (l *Loader) applyFlags(members map[string]*fastjson.Value) {
	var arena fastjson.Arena
	for key, text := range l.flags {
		members[key] = flagValue(&arena, key, text)
	}
}

func flagValue(arena *fastjson.Arena, key, text string) *fastjson.Value {
	switch key {
	case "controllers", "origins_most", "seeds_port", "tolerance", "descriptors", "tolerance_zones":
		return arena.NewNumberString(text)
	case "bootstrap":
		return flagBool(arena, text)
	case "bounds":
		return flagTimeouts(arena, text)
	case "seeds":
		list := arena.NewArray()
		for index, item := range strings.Split(text, ",") {
			list.SetArrayItem(index, arena.NewString(item))
		}
		return list
	}
	return arena.NewString(text)
}

// flagBool returns the value of a flag as a boolean. A text that is neither true nor false
// stays a string, which the parser reports as a fault.
func flagBool(arena *fastjson.Arena, text string) *fastjson.Value {
	switch text {
	case "true":
		return arena.NewTrue()
	case "false":
		return arena.NewFalse()
	}
	return arena.NewString(text)
}

// flagTimeouts returns an object from a text such as "contact=4s,ping=2s".
func flagTimeouts(arena *fastjson.Arena, text string) *fastjson.Value {
	object := arena.NewObject()
	for _, item := range strings.Split(text, ",") {
		name, duration, _ := strings.Cut(item, "=")
		object.Set(name, arena.NewString(duration))
	}
	return object
}
