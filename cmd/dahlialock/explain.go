// The subcommand explain: it shows how a request or a message was routed. It collects the
// decisions that every daemon of the cluster recorded, sorts them by time, and lists the
// daemons that did not answer. An id without any recorded decision is an error.

package main

import (
	"cmp"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/google/subcommands"

	"dahlialock/internal/decisionlog"
	"dahlialock/internal/membership"
)

// Exit codes of explain: 1 no daemon that answered has a decision about it; 3 no daemon answered.
const (
	exitUnknown  = subcommands.ExitStatus(1)
	exitNoAnswer = subcommands.ExitStatus(3)
)

// clusterTimeout is how long explain waits for the list of members.
const clusterTimeout = 3 * time.Second

// explainOptions holds what to explain, and which daemons to query.
type explainOptions struct {
	control, request, message, client string
	raw                               bool
	timeout                           time.Duration
}

// explanation holds the decisions of the daemons that answered, sorted by time.
type explanation struct {
	Decisions  []decisionlog.Entry `json:"decisions"`
	Asked      []string            `json:"asked"`
	NotLearned []string            `json:"not_learned"`
}

func explainCommand() *command {
	var options explainOptions
	return &command{
		name: "explain", synopsis: "show how a request or a message was routed, and why",
		usage: "-ctl ADDRESS (-visit ID | -message SPACE/SENDER/SEQ | -origin NAME)",
		flags: func(set *flag.FlagSet) {
			set.StringVar(&options.request, "visit", "", "`id` of a request, as its answer's Visit-Id named it")
			set.StringVar(&options.message, "message", "", "a message as `space/sender/seq`")
			set.StringVar(&options.client, "origin", "", "`name` of a client")
			set.DurationVar(&options.timeout, "limit", 2*time.Second, "how `long` to wait for each daemon")
		},
		run: func(command *command, arguments []string) subcommands.ExitStatus {
			options.control, options.raw = command.control, command.raw
			nothing := options.request == "" && options.message == "" && options.client == ""
			if options.control == "" || len(arguments) > 0 || nothing {
				return usageError(command)
			}
			return explain(options, os.Stdout, os.Stderr)
		},
	}
}

func get(timeout time.Duration, location string, value any) error {
	client := http.Client{Timeout: timeout}
	response, err := client.Get(location)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", response.StatusCode, strings.TrimSpace(string(body)))
	}
	return json.Unmarshal(body, value)
}

// explain prints the recorded decisions and returns the exit code.
func explain(options explainOptions, out, complaints io.Writer) subcommands.ExitStatus {
	found := collect(options)
	if err := found.write(options.raw, out); err != nil {
		_, _ = fmt.Fprintln(complaints, "dahlialock: explain:", err)
		return exitNoAnswer
	}
	switch {
	case len(found.Decisions) > 0:
		return subcommands.ExitSuccess
	case len(found.Asked) == 0:
		_, _ = fmt.Fprintln(complaints, "dahlialock: explain: no daemon answered")
		return exitNoAnswer
	}
	asked := slices.DeleteFunc([]string{options.request, options.message, options.client}, func(text string) bool { return text == "" })
	_, _ = fmt.Fprintf(complaints, "dahlialock: explain: no daemon that answered knows of %s\n", strings.Join(asked, ", "))
	return exitUnknown
}

// collect queries all members. If the decisions about a request name a message, it queries them
// again with that message.
func collect(options explainOptions) explanation {
	members, err := clusterMembers(options.control)
	var found explanation
	if err != nil {
		found.NotLearned = append(found.NotLearned, "the cluster: "+err.Error())
	}
	found.query(options, members)
	if options.request == "" || options.message != "" {
		return found
	}
	for _, entry := range found.Decisions {
		if entry.Message != "" && entry.Request == options.request {
			options.message = entry.Message
		}
	}
	if options.message == "" {
		return found
	}
	found.Decisions, found.Asked = nil, nil
	found.NotLearned = found.NotLearned[:0]
	found.query(options, members)
	return found
}

// clusterMembers returns the members from the first given daemon that answers. If none does,
// as when the controllers have no primary, it returns the given daemons themselves, which
// can still be queried, together with the error.
func clusterMembers(control string) ([]membership.Member, error) {
	var cluster struct {
		Members []membership.Member `json:"members"`
	}
	var last error
	addresses := strings.Split(control, ",")
	for _, address := range addresses {
		if last = get(clusterTimeout, "http://"+address+"/v1/cluster", &cluster); last == nil {
			return cluster.Members, nil
		}
	}
	for _, address := range addresses {
		cluster.Members = append(cluster.Members, membership.Member{Name: address, ControlAddress: address, Alive: true})
	}
	return cluster.Members, last
}

func (e *explanation) query(options explainOptions, members []membership.Member) {
	query := url.Values{}
	for name, value := range map[string]string{"visit": options.request, "message": options.message, "origin": options.client} {
		if value != "" {
			query.Set(name, value)
		}
	}
	type answer struct {
		name    string
		entries []decisionlog.Entry
		err     error
	}
	answers := make(chan answer)
	for _, member := range members {
		go func() {
			var value struct {
				Decisions []decisionlog.Entry `json:"decisions"`
			}
			err := get(options.timeout, "http://"+member.ControlAddress+"/v1/decisions?"+query.Encode(), &value)
			answers <- answer{name: member.Name, entries: value.Decisions, err: err}
		}()
	}
	for range members {
		got := <-answers
		if got.err != nil {
			e.NotLearned = append(e.NotLearned, got.name+": "+got.err.Error())
			continue
		}
		e.Asked = append(e.Asked, got.name)
		e.Decisions = append(e.Decisions, got.entries...)
	}
	sort.Strings(e.Asked)
	sort.Strings(e.NotLearned)
	slices.SortStableFunc(e.Decisions, func(left, right decisionlog.Entry) int { return cmp.Compare(left.At.UnixNano(), right.At.UnixNano()) })
}

// write prints the explanation, as JSON or as a line for each decision.
func (e *explanation) write(raw bool, out io.Writer) error {
	if !raw {
		return e.print(out)
	}
	packed, err := json.MarshalIndent(e, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, string(packed))
	return err
}

func (e *explanation) print(out io.Writer) error {
	for _, entry := range e.Decisions {
		names := make([]string, 0, len(entry.Detail))
		for name := range entry.Detail {
			names = append(names, name)
		}
		sort.Strings(names)
		var details []string
		for _, name := range names {
			packed, err := json.Marshal(entry.Detail[name])
			if err != nil {
				packed = []byte(err.Error())
			}
			details = append(details, name+"="+string(packed))
		}
		subject := entry.Message
		if subject == "" {
			subject = entry.Request
		}
		_, err := fmt.Fprintf(out, "%s  %-10s %-14s %-28s %-12s %s\n", entry.At.Format("15:04:05.000000"), entry.Daemon, entry.Step, subject, entry.Client, strings.Join(details, " "))
		if err != nil {
			return err
		}
	}
	if _, err := fmt.Fprintf(out, "asked %d daemons\n", len(e.Asked)); err != nil {
		return err
	}
	for _, line := range e.NotLearned {
		if _, err := fmt.Fprintf(out, "could not learn from %s\n", line); err != nil {
			return err
		}
	}
	return nil
}
