// The operators' command line. It talks to any daemon's ctl address and gets
// the same result from each; its exit codes are for scripts.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/google/subcommands"

	"dahlialock/internal/caller"
	"dahlialock/internal/chart"
	"dahlialock/internal/mooring"
	"dahlialock/internal/portolan"
)

// Exit codes: 0 done; 1 no daemon answered or it can't tell yet, try again;
// 2 the command line is wrong; 3 refused for good.
const (
	exitAgain   = subcommands.ExitStatus(1)
	exitUsage   = subcommands.ExitUsageError
	exitRefused = subcommands.ExitStatus(3)
)

type shared struct {
	control string
	raw     bool
	wait    time.Duration
}

func (shared *shared) declare(set *flag.FlagSet) {
	set.StringVar(&shared.control, "ctl", os.Getenv("DAHLIALOCK_CTL"), "`address` of any daemon's ctl, or several with commas between; DAHLIALOCK_CTL if not given")
	set.BoolVar(&shared.raw, "json", false, "print the answer as JSON")
	set.DurationVar(&shared.wait, "wait", 0, "try again for so `long` while the fleet can't answer")
}

type answered struct {
	status int
	body   []byte
}

// ask sends a request to the first daemon that answers, and again for as long
// as was allowed.
func (shared *shared) ask(method, path string, body []byte) (answered, error) {
	if shared.control == "" {
		return answered{}, fmt.Errorf("no daemon given: use -ctl or DAHLIALOCK_CTL")
	}
	limit := time.Now().Add(shared.wait)
	for {
		var last error
		var final answered
		for _, address := range strings.Split(shared.control, ",") {
			got, fault := once(method, "http://"+address+path, body)
			if fault != nil {
				last = fault
				continue
			}
			last, final = nil, got
			if got.status != http.StatusServiceUnavailable {
				return got, nil
			}
		}
		if !time.Now().Before(limit) {
			return final, last
		}
		time.Sleep(250 * time.Millisecond)
	}
}

func once(method, location string, body []byte) (answered, error) {
	request, fault := http.NewRequest(method, location, bytes.NewReader(body))
	if fault != nil {
		return answered{}, fault
	}
	client := &http.Client{Timeout: 5 * time.Second}
	response, fault := client.Do(request)
	if fault != nil {
		return answered{}, fault
	}
	defer func() { _ = response.Body.Close() }()
	read, fault := io.ReadAll(response.Body)
	return answered{status: response.StatusCode, body: read}, fault
}

// finish prints an answer and gives the exit code.
func (shared *shared) finish(got answered, fault error, show func(value map[string]any)) subcommands.ExitStatus {
	if fault != nil {
		fmt.Fprintf(os.Stderr, "dahlialock: %v\n", fault)
		return exitAgain
	}
	var value map[string]any
	decoder := json.NewDecoder(bytes.NewReader(got.body))
	decoder.UseNumber()
	if fault := decoder.Decode(&value); fault != nil {
		fmt.Fprintf(os.Stderr, "dahlialock: status %d with a body that can't be read: %v\n", got.status, fault)
		return exitAgain
	}
	if shared.raw {
		fmt.Print(string(got.body))
	}
	if got.status < 300 {
		if !shared.raw {
			show(value)
		}
		return subcommands.ExitSuccess
	}
	if !shared.raw {
		fmt.Fprintf(os.Stderr, "dahlialock: %v: %v\n", value["code"], value["text"])
		if faults, found := value["faults"].([]any); found {
			for _, each := range faults {
				if fault, matches := each.(map[string]any); matches {
					fmt.Fprintf(os.Stderr, "  %v: %v\n", fault["path"], fault["text"])
				}
			}
		}
		if newest, found := value["newest"]; found {
			fmt.Fprintf(os.Stderr, "  the newest version is %v\n", newest)
		}
	}
	if got.status == http.StatusServiceUnavailable {
		return exitAgain
	}
	return exitRefused
}

// command is one subcommand made of a few functions.
type command struct {
	shared
	name, synopsis, usage string
	flags                 func(set *flag.FlagSet)
	run                   func(command *command, arguments []string) subcommands.ExitStatus
}

func (command *command) Name() string     { return command.name }
func (command *command) Synopsis() string { return command.synopsis }
func (command *command) Usage() string {
	return command.name + " " + command.usage + "\n  " + command.synopsis + "\n"
}
func (command *command) SetFlags(set *flag.FlagSet) {
	command.declare(set)
	if command.flags != nil {
		command.flags(set)
	}
}
func (command *command) Execute(_ context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return command.run(command, set.Args())
}

func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

func usageError(command *command) subcommands.ExitStatus {
	fmt.Fprint(os.Stderr, command.Usage())
	return exitUsage
}

func text(value any) string {
	if value == nil {
		return "-"
	}
	return fmt.Sprint(value)
}

func table(rows []any, columns ...string) {
	widths := make([]int, len(columns))
	lines := [][]string{columns}
	for _, row := range rows {
		members, _ := row.(map[string]any)
		line := make([]string, len(columns))
		for position, column := range columns {
			line[position] = text(members[column])
		}
		lines = append(lines, line)
	}
	for _, line := range lines {
		for position, cell := range line {
			widths[position] = max(widths[position], len(cell))
		}
	}
	for _, line := range lines {
		for position, cell := range line {
			fmt.Printf("%-*s  ", widths[position], cell)
		}
		fmt.Println()
	}
}

func rowsOf(value any) []any {
	rows, _ := value.([]any)
	return rows
}

var topologyFile string

func topologyFlag(set *flag.FlagSet) {
	set.StringVar(&topologyFile, "topology", "", "a GraphViz or GeoJSON `file` with the localities and links of the configuration")
}

// readConfiguration reads a configuration, and the topology that goes into it.
func readConfiguration(name string) ([]byte, subcommands.ExitStatus) {
	document, fault := readFile(name)
	if fault != nil {
		fmt.Fprintf(os.Stderr, "dahlialock: %v\n", fault)
		return nil, exitUsage
	}
	if topologyFile == "" {
		return document, subcommands.ExitSuccess
	}
	text, fault := readFile(topologyFile)
	if fault != nil {
		fmt.Fprintf(os.Stderr, "dahlialock: %v\n", fault)
		return nil, exitUsage
	}
	topology, fault := portolan.Read(text)
	if fault == nil {
		document, fault = topology.Into(document)
	}
	if fault != nil {
		fmt.Fprintf(os.Stderr, "dahlialock: %s: %v\n", topologyFile, fault)
		return nil, exitRefused
	}
	return document, subcommands.ExitSuccess
}

func checkConfiguration(command *command, arguments []string) subcommands.ExitStatus {
	if len(arguments) != 1 {
		return usageError(command)
	}
	document, status := readConfiguration(arguments[0])
	if status != subcommands.ExitSuccess {
		return status
	}
	configuration, faults := chart.Read(document)
	if command.raw {
		packed, _ := json.Marshal(map[string]any{"version": configuration.Version, "faults": faults})
		fmt.Println(string(packed))
	}
	if len(faults) == 0 {
		if !command.raw {
			fmt.Printf("version %d with %d spaces is fine\n", configuration.Version, len(configuration.Spaces))
		}
		return subcommands.ExitSuccess
	}
	if !command.raw {
		for _, fault := range faults {
			fmt.Fprintf(os.Stderr, "  %s\n", fault)
		}
	}
	return exitRefused
}

func putConfiguration(command *command, arguments []string) subcommands.ExitStatus {
	if len(arguments) != 1 {
		return usageError(command)
	}
	document, status := readConfiguration(arguments[0])
	if status != subcommands.ExitSuccess {
		return status
	}
	got, fault := command.ask(http.MethodPut, "/v1/configuration", document)
	return command.finish(got, fault, func(value map[string]any) { fmt.Printf("version %v taken\n", value["version"]) })
}

func getConfiguration(command *command, arguments []string) subcommands.ExitStatus {
	if len(arguments) != 0 {
		return usageError(command)
	}
	got, fault := command.ask(http.MethodGet, "/v1/configuration", nil)
	return command.finish(got, fault, func(map[string]any) {
		var whole struct {
			Configuration json.RawMessage `json:"configuration"`
		}
		if json.Unmarshal(got.body, &whole) == nil {
			fmt.Println(string(whole.Configuration))
		}
	})
}

func cohort(command *command, arguments []string) subcommands.ExitStatus {
	if len(arguments) != 0 {
		return usageError(command)
	}
	got, fault := command.ask(http.MethodGet, "/v1/cohort", nil)
	return command.finish(got, fault, func(value map[string]any) {
		loads, _ := value["loads"].(map[string]any)
		for _, row := range rowsOf(value["members"]) {
			member := row.(map[string]any)
			if load, found := loads[text(member["name"])].(map[string]any); found && member["kind"] == "lantern" {
				member["origins"] = load["Origins"]
			}
		}
		table(rowsOf(value["members"]), "name", "kind", "locality", "alive", "resting", "retiring", "retired", "origins", "ctl", "caller")
	})
}

func placement(command *command, arguments []string) subcommands.ExitStatus {
	if len(arguments) != 0 {
		return usageError(command)
	}
	got, fault := command.ask(http.MethodGet, "/v1/placement", nil)
	return command.finish(got, fault, func(value map[string]any) {
		table(rowsOf(value["strands"]), "strand", "epoch", "first", "understudy", "complete")
	})
}

func epochs(command *command, arguments []string) subcommands.ExitStatus {
	if len(arguments) != 0 {
		return usageError(command)
	}
	got, fault := command.ask(http.MethodGet, "/v1/epochs", nil)
	return command.finish(got, fault, func(value map[string]any) {
		table([]any{value}, "epoch", "primary", "backups", "index", "roster", "standbys")
	})
}

func self(command *command, arguments []string) subcommands.ExitStatus {
	if len(arguments) != 0 {
		return usageError(command)
	}
	got, fault := command.ask(http.MethodGet, "/v1/self", nil)
	return command.finish(got, fault, func(value map[string]any) {
		var names []string
		for name := range value {
			names = append(names, name)
		}
		sort.Strings(names)
		for _, name := range names {
			packed, _ := json.Marshal(value[name])
			fmt.Printf("%-10s %s\n", name, packed)
		}
	})
}

func keeper(command *command, arguments []string) subcommands.ExitStatus {
	if len(arguments) != 2 {
		return usageError(command)
	}
	verb, name := arguments[0], arguments[1]
	show := func(value map[string]any) {
		table([]any{value}, "name", "alive", "retiring", "retired", "strands")
	}
	switch verb {
	case "show":
		got, fault := command.ask(http.MethodGet, "/v1/keepers/"+name, nil)
		return command.finish(got, fault, show)
	case "return":
		got, fault := command.ask(http.MethodPost, "/v1/keepers/"+name+"/return", nil)
		return command.finish(got, fault, show)
	case "retire":
		return retire(command, name, show)
	}
	return usageError(command)
}

// retire returns only when every strand has two synced copies elsewhere.
func retire(command *command, name string, show func(value map[string]any)) subcommands.ExitStatus {
	limit := time.Now().Add(max(command.wait, 30*time.Second))
	asked := false
	for {
		method, path := http.MethodGet, "/v1/keepers/"+name
		if !asked {
			method, path = http.MethodPost, path+"/retire"
		}
		got, fault := command.ask(method, path, nil)
		late := !time.Now().Before(limit)
		if fault != nil || got.status == http.StatusServiceUnavailable {
			if late {
				return command.finish(got, fault, show)
			}
			time.Sleep(250 * time.Millisecond)
			continue
		}
		if got.status >= 300 {
			return command.finish(got, fault, show)
		}
		asked = true
		var value struct {
			Retired bool `json:"retired"`
		}
		if json.Unmarshal(got.body, &value) == nil && value.Retired {
			return command.finish(got, nil, show)
		}
		if late {
			command.finish(got, nil, show)
			fmt.Fprintf(os.Stderr, "dahlialock: %s is not retired yet; its strands are still being copied\n", name)
			return exitAgain
		}
		time.Sleep(250 * time.Millisecond)
	}
}

var (
	key, origin, address, space, topic, prefix, cursor string
	seq                                                uint64
	count                                              int
)

func callerFlags(set *flag.FlagSet) {
	set.StringVar(&key, "key", os.Getenv("DAHLIALOCK_KEY"), "the fleet's `key`; DAHLIALOCK_KEY if not given")
	set.StringVar(&origin, "origin", "operator", "`name` of the origin")
	set.StringVar(&address, "caller", "", "a lantern's caller `address`")
	set.StringVar(&space, "space", "", "`name` of the space")
	set.StringVar(&topic, "topic", "", "`path` of the topic")
	set.StringVar(&prefix, "prefix", "", "`path` of the prefix; all topics of the space if empty and no topic is given")
	set.StringVar(&cursor, "cursor", "", "`place` to resume")
	set.Uint64Var(&seq, "seq", 0, "the `seq`; the present time if not given")
	set.IntVar(&count, "count", 0, "end after so `many` messages; 0 is never")
}

func token(command *command, arguments []string) subcommands.ExitStatus {
	if len(arguments) != 1 || key == "" || !chart.FitName(arguments[0]) {
		return usageError(command)
	}
	fmt.Println(mooring.Token([]byte(key), arguments[0]))
	return subcommands.ExitSuccess
}

func publish(command *command, arguments []string) subcommands.ExitStatus {
	if len(arguments) != 1 || key == "" || address == "" || !json.Valid([]byte(arguments[0])) {
		return usageError(command)
	}
	if seq == 0 {
		seq = uint64(time.Now().UnixNano())
	}
	client := &caller.Caller{Token: mooring.Token([]byte(key), origin), HTTP: caller.NewClient("")}
	within, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	answer, fault := client.Publish(within, address, space, topic, seq, json.RawMessage(arguments[0]))
	if fault != nil {
		fmt.Fprintf(os.Stderr, "dahlialock: %v\n", fault)
		return exitAgain
	}
	packed, _ := json.Marshal(answer)
	fmt.Println(string(packed))
	switch {
	case answer.Status == http.StatusOK:
		return subcommands.ExitSuccess
	case answer.RetryAfterMs > 0:
		return exitAgain
	}
	return exitRefused
}

func listen(command *command, arguments []string) subcommands.ExitStatus {
	if len(arguments) != 0 || key == "" || address == "" || space == "" && cursor == "" {
		return usageError(command)
	}
	client := &caller.Caller{Token: mooring.Token([]byte(key), origin), HTTP: caller.NewClient("")}
	var wanted []caller.Subscription
	if cursor == "" {
		wanted = []caller.Subscription{{Space: space, Topic: &topic}}
		if topic == "" {
			wanted = []caller.Subscription{{Space: space, Prefix: &prefix}}
		}
	}
	seen := 0
	for {
		channel, fault := client.Open(context.Background(), address)
		if fault != nil {
			fmt.Fprintf(os.Stderr, "dahlialock: %v\n", fault)
			return exitAgain
		}
		answer, fault := client.Subscribe(context.Background(), channel, wanted, cursor)
		if fault != nil || answer.Status != http.StatusOK {
			fmt.Fprintf(os.Stderr, "dahlialock: %s %s %v\n", answer.Code, answer.Text, fault)
			return exitRefused
		}
		cursor, wanted = answer.Cursor, nil
		fmt.Fprintf(os.Stderr, "listening at %s in %s\n", channel.Hello.Daemon, channel.Hello.Locality)
		for event := range channel.Events {
			if event.Cursor != "" {
				cursor = event.Cursor
			}
			switch event.Event {
			case "ping":
				_ = client.Pong(context.Background(), channel)
			case "move":
				address = event.To
			case "message":
				event.Cursor = ""
				packed, _ := json.Marshal(event)
				fmt.Println(string(packed))
				if seen++; seen == count {
					channel.Close()
					return subcommands.ExitSuccess
				}
			}
			if event.Event == "move" || event.Event == "gone" {
				break
			}
		}
		channel.Close()
	}
}

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, each := range []*command{
		{name: "check", usage: "[-topology T] FILE", synopsis: "check a configuration here, without any daemon", flags: topologyFlag, run: checkConfiguration},
		{name: "put", usage: "[-ctl A] [-topology T] FILE", synopsis: "put a configuration in force", flags: topologyFlag, run: putConfiguration},
		{name: "get", usage: "[-ctl A]", synopsis: "read the configuration back", run: getConfiguration},
		{name: "cohort", usage: "[-ctl A]", synopsis: "list the daemons", run: cohort},
		{name: "placement", usage: "[-ctl A]", synopsis: "list where each strand is kept", run: placement},
		{name: "epochs", usage: "[-ctl A]", synopsis: "tell the pilots' epoch, primary and backup", run: epochs},
		{name: "self", usage: "[-ctl A]", synopsis: "tell the counters of the one daemon asked", run: self},
		{name: "keeper", usage: "[-ctl A] show|retire|return NAME", synopsis: "show a keeper, empty and retire it, or take it back", run: keeper},
		{name: "token", usage: "-key K ORIGIN", synopsis: "make the token of an origin", flags: callerFlags, run: token},
		{name: "publish", usage: "-key K -caller A -origin O -space S -topic T JSON", synopsis: "publish one message", flags: callerFlags, run: publish},
		{name: "listen", usage: "-key K -caller A -origin O -space S [-topic T | -prefix P]", synopsis: "print the messages of a topic or prefix", flags: callerFlags, run: listen},
	} {
		subcommands.Register(each, "")
	}
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
