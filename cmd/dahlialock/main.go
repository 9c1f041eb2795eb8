// Dahlialock is the operators' command-line tool. It sends requests to the control address
// of any daemon; every daemon gives the same result. Scripts can rely on the exit codes.
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

	"dahlialock/internal/client"
	"dahlialock/internal/config"
	"dahlialock/internal/httpapi"
	"dahlialock/internal/topology"
)

// Exit codes: 0 success; 1 no daemon answered, or the fleet can't answer yet: retry;
// 2 the command line is wrong; 3 rejected, a retry won't help.
const (
	exitRetry   = subcommands.ExitStatus(1)
	exitUsage   = subcommands.ExitUsageError
	exitRefused = subcommands.ExitStatus(3)
)

type commonFlags struct {
	control string
	raw     bool
	wait    time.Duration
}

func (s *commonFlags) declare(set *flag.FlagSet) {
	set.StringVar(&s.control, "ctl", os.Getenv("DAHLIALOCK_CTL"), "`address` of any daemon's ctl, or several with commas between; DAHLIALOCK_CTL if not given")
	set.BoolVar(&s.raw, "json", false, "print the response as JSON")
	set.DurationVar(&s.wait, "wait", 0, "how `long` to retry while the fleet can't answer")
}

type answer struct {
	status int
	body   []byte
}

// ask sends a request to the given daemons in turn until one answers with a status other than
// 503, and retries until the time of -wait has passed.
func (s *commonFlags) ask(method, path string, body []byte) (answer, error) {
	if s.control == "" {
		return answer{}, fmt.Errorf("no daemon given: use -ctl or DAHLIALOCK_CTL")
	}
	limit := time.Now().Add(s.wait)
	for {
		var last error
		var final answer
		for _, address := range strings.Split(s.control, ",") {
			got, err := send(method, "http://"+address+path, body)
			if err != nil {
				last = err
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

func send(method, location string, body []byte) (answer, error) {
	request, err := http.NewRequest(method, location, bytes.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	caller := &http.Client{Timeout: 5 * time.Second}
	response, err := caller.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: read}, err
}

// finish prints an answer and returns the exit code.
func (s *commonFlags) finish(got answer, err error, show func(value map[string]any)) subcommands.ExitStatus {
	if err != nil {
		fmt.Fprintf(os.Stderr, "dahlialock: %v\n", err)
		return exitRetry
	}
	var value map[string]any
	decoder := json.NewDecoder(bytes.NewReader(got.body))
	decoder.UseNumber()
	if err := decoder.Decode(&value); err != nil {
		fmt.Fprintf(os.Stderr, "dahlialock: status %d with a body that can't be read: %v\n", got.status, err)
		return exitRetry
	}
	if s.raw {
		fmt.Print(string(got.body))
	}
	if got.status < 300 {
		if !s.raw {
			show(value)
		}
		return subcommands.ExitSuccess
	}
	if !s.raw {
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
		return exitRetry
	}
	return exitRefused
}

// command is a subcommand that is defined by its functions.
type command struct {
	commonFlags
	name, synopsis, usage string
	flags                 func(set *flag.FlagSet)
	run                   func(command *command, arguments []string) subcommands.ExitStatus
}

func (c *command) Name() string     { return c.name }
func (c *command) Synopsis() string { return c.synopsis }
func (c *command) Usage() string {
	return c.name + " " + c.usage + "\n  " + c.synopsis + "\n"
}

func (c *command) SetFlags(set *flag.FlagSet) {
	c.declare(set)
	if c.flags != nil {
		c.flags(set)
	}
}

func (c *command) Execute(_ context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.run(c, set.Args())
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
	set.StringVar(&topologyFile, "topology", "", "a GraphViz or GeoJSON `file` with the zones and links of the configuration")
}

// readConfiguration reads a configuration and, if -topology is given, inserts the zones and links
// of the topology file into it.
func readConfiguration(name string) ([]byte, subcommands.ExitStatus) {
	document, err := readFile(name)
	if err != nil {
		fmt.Fprintf(os.Stderr, "dahlialock: %v\n", err)
		return nil, exitUsage
	}
	if topologyFile == "" {
		return document, subcommands.ExitSuccess
	}
	text, err := readFile(topologyFile)
	if err != nil {
		fmt.Fprintf(os.Stderr, "dahlialock: %v\n", err)
		return nil, exitUsage
	}
	topology, err := topology.Read(text)
	if err == nil {
		document, err = topology.Into(document)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "dahlialock: %s: %v\n", topologyFile, err)
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
	configuration, faults := config.Read(document)
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
	got, err := command.ask(http.MethodPut, "/v1/configuration", document)
	return command.finish(got, err, func(value map[string]any) { fmt.Printf("version %v taken\n", value["version"]) })
}

func getConfiguration(command *command, arguments []string) subcommands.ExitStatus {
	if len(arguments) != 0 {
		return usageError(command)
	}
	got, err := command.ask(http.MethodGet, "/v1/configuration", nil)
	return command.finish(got, err, func(map[string]any) {
		var envelope struct {
			Configuration json.RawMessage `json:"configuration"`
		}
		if json.Unmarshal(got.body, &envelope) == nil {
			fmt.Println(string(envelope.Configuration))
		}
	})
}

func cluster(command *command, arguments []string) subcommands.ExitStatus {
	if len(arguments) != 0 {
		return usageError(command)
	}
	got, err := command.ask(http.MethodGet, "/v1/cluster", nil)
	return command.finish(got, err, func(value map[string]any) {
		loads, _ := value["loads"].(map[string]any)
		for _, row := range rowsOf(value["members"]) {
			member := row.(map[string]any)
			if load, found := loads[text(member["name"])].(map[string]any); found && member["kind"] == "gateway" {
				member["origins"] = load["Origins"]
			}
		}
		table(rowsOf(value["members"]), "name", "kind", "zone", "alive", "resting", "retiring", "retired", "origins", "ctl", "caller")
	})
}

func placement(command *command, arguments []string) subcommands.ExitStatus {
	if len(arguments) != 0 {
		return usageError(command)
	}
	got, err := command.ask(http.MethodGet, "/v1/placement", nil)
	return command.finish(got, err, func(value map[string]any) {
		table(rowsOf(value["partitions"]), "partition", "epoch", "first", "follower", "complete")
	})
}

func epochs(command *command, arguments []string) subcommands.ExitStatus {
	if len(arguments) != 0 {
		return usageError(command)
	}
	got, err := command.ask(http.MethodGet, "/v1/epochs", nil)
	return command.finish(got, err, func(value map[string]any) {
		table([]any{value}, "epoch", "primary", "backups", "index", "voters", "standbys")
	})
}

func self(command *command, arguments []string) subcommands.ExitStatus {
	if len(arguments) != 0 {
		return usageError(command)
	}
	got, err := command.ask(http.MethodGet, "/v1/self", nil)
	return command.finish(got, err, func(value map[string]any) {
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

func store(command *command, arguments []string) subcommands.ExitStatus {
	if len(arguments) != 2 {
		return usageError(command)
	}
	verb, name := arguments[0], arguments[1]
	show := func(value map[string]any) {
		table([]any{value}, "name", "alive", "retiring", "retired", "partitions")
	}
	switch verb {
	case "show":
		got, err := command.ask(http.MethodGet, "/v1/stores/"+name, nil)
		return command.finish(got, err, show)
	case "return":
		got, err := command.ask(http.MethodPost, "/v1/stores/"+name+"/return", nil)
		return command.finish(got, err, show)
	case "retire":
		return retire(command, name, show)
	}
	return usageError(command)
}

// retire requests the retirement of a store and waits until it has finished, which is when every
// partition has two replicas in sync on other stores, or until the time limit has passed.
func retire(command *command, name string, show func(value map[string]any)) subcommands.ExitStatus {
	limit := time.Now().Add(max(command.wait, 30*time.Second))
	asked := false
	for {
		method, path := http.MethodGet, "/v1/stores/"+name
		if !asked {
			method, path = http.MethodPost, path+"/retire"
		}
		got, err := command.ask(method, path, nil)
		late := !time.Now().Before(limit)
		if err != nil || got.status == http.StatusServiceUnavailable {
			if late {
				return command.finish(got, err, show)
			}
			time.Sleep(250 * time.Millisecond)
			continue
		}
		if got.status >= 300 {
			return command.finish(got, err, show)
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
			fmt.Fprintf(os.Stderr, "dahlialock: %s is not retired yet; its partitions are still being copied\n", name)
			return exitRetry
		}
		time.Sleep(250 * time.Millisecond)
	}
}

var (
	key, origin, address, space, topic, prefix, cursor string
	seq                                                uint64
	count                                              int
)

func clientFlags(set *flag.FlagSet) {
	set.StringVar(&key, "key", os.Getenv("DAHLIALOCK_KEY"), "the fleet's `key`; DAHLIALOCK_KEY if not given")
	set.StringVar(&origin, "origin", "operator", "`name` of the client")
	set.StringVar(&address, "caller", "", "`address` of a gateway for clients")
	set.StringVar(&space, "space", "", "`name` of the space")
	set.StringVar(&topic, "topic", "", "`path` of the topic")
	set.StringVar(&prefix, "prefix", "", "`path` of the prefix; all topics of the space if empty and no topic is given")
	set.StringVar(&cursor, "cursor", "", "`cursor` to resume from")
	set.Uint64Var(&seq, "seq", 0, "the `number` of the message; the current time if not given")
	set.IntVar(&count, "count", 0, "exit after so `many` messages; 0 means never")
}

func token(command *command, arguments []string) subcommands.ExitStatus {
	if len(arguments) != 1 || key == "" || !config.ValidName(arguments[0]) {
		return usageError(command)
	}
	fmt.Println(httpapi.Token([]byte(key), arguments[0]))
	return subcommands.ExitSuccess
}

func publish(command *command, arguments []string) subcommands.ExitStatus {
	if len(arguments) != 1 || key == "" || address == "" || !json.Valid([]byte(arguments[0])) {
		return usageError(command)
	}
	if seq == 0 {
		seq = uint64(time.Now().UnixNano())
	}
	caller := &client.Client{Token: httpapi.Token([]byte(key), origin), HTTP: client.NewHTTPClient("")}
	within, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	answer, err := caller.Publish(within, address, space, topic, seq, json.RawMessage(arguments[0]))
	if err != nil {
		fmt.Fprintf(os.Stderr, "dahlialock: %v\n", err)
		return exitRetry
	}
	packed, _ := json.Marshal(answer)
	fmt.Println(string(packed))
	switch {
	case answer.Status == http.StatusOK:
		return subcommands.ExitSuccess
	case answer.RetryAfterMs > 0:
		return exitRetry
	}
	return exitRefused
}

func listen(command *command, arguments []string) subcommands.ExitStatus {
	if len(arguments) != 0 || key == "" || address == "" || space == "" && cursor == "" {
		return usageError(command)
	}
	caller := &client.Client{Token: httpapi.Token([]byte(key), origin), HTTP: client.NewHTTPClient("")}
	var wanted []client.Subscription
	if cursor == "" {
		wanted = []client.Subscription{{Space: space, Topic: &topic}}
		if topic == "" {
			wanted = []client.Subscription{{Space: space, Prefix: &prefix}}
		}
	}
	seen := 0
	for {
		channel, err := caller.Open(context.Background(), address)
		if err != nil {
			fmt.Fprintf(os.Stderr, "dahlialock: %v\n", err)
			return exitRetry
		}
		answer, err := caller.Subscribe(context.Background(), channel, wanted, cursor)
		if err != nil || answer.Status != http.StatusOK {
			fmt.Fprintf(os.Stderr, "dahlialock: %s %s %v\n", answer.Code, answer.Text, err)
			return exitRefused
		}
		cursor, wanted = answer.Cursor, nil
		fmt.Fprintf(os.Stderr, "listening at %s in %s\n", channel.Hello.Daemon, channel.Hello.Zone)
		for event := range channel.Events {
			if event.Cursor != "" {
				cursor = event.Cursor
			}
			switch event.Event {
			case "ping":
				_ = caller.Pong(context.Background(), channel)
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
		{name: "check", usage: "[-topology T] FILE", synopsis: "check a configuration locally, without any daemon", flags: topologyFlag, run: checkConfiguration},
		{name: "put", usage: "[-ctl A] [-topology T] FILE", synopsis: "put a configuration in force", flags: topologyFlag, run: putConfiguration},
		{name: "get", usage: "[-ctl A]", synopsis: "read the configuration back", run: getConfiguration},
		{name: "cluster", usage: "[-ctl A]", synopsis: "list the daemons", run: cluster},
		{name: "placement", usage: "[-ctl A]", synopsis: "list the stores of each partition", run: placement},
		{name: "epochs", usage: "[-ctl A]", synopsis: "print the epoch, primary and backups of the controllers", run: epochs},
		{name: "self", usage: "[-ctl A]", synopsis: "print the counters of one daemon", run: self},
		{name: "store", usage: "[-ctl A] show|retire|return NAME", synopsis: "show a store, retire it, or return it to service", run: store},
		explainCommand(),
		{name: "token", usage: "-key K ORIGIN", synopsis: "print the token of a client", flags: clientFlags, run: token},
		{name: "publish", usage: "-key K -caller A -origin O -space S -topic T JSON", synopsis: "publish one message", flags: clientFlags, run: publish},
		{name: "listen", usage: "-key K -caller A -origin O -space S [-topic T | -prefix P]", synopsis: "print the messages of a topic or prefix", flags: clientFlags, run: listen},
	} {
		subcommands.Register(each, "")
	}
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
