// Sextant explains why a request or a message went where it went: it asks every
// daemon of the cluster for the decisions that it recorded, puts them in order,
// and says what it could not learn. An id that nobody knows is an error.
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

	"dahlialock/internal/decisionlog"
	"dahlialock/internal/membership"
)

const (
	exitUnknown = 1
	exitUsage   = 2
	exitSilent  = 3
)

type options struct {
	control, request, message, origin string
	raw                               bool
	limit                             time.Duration
}

type report struct {
	Decisions  []decisionlog.Entry `json:"decisions"`
	Asked      []string            `json:"asked"`
	NotLearned []string            `json:"not_learned"`
}

func main() {
	var options options
	flag.StringVar(&options.control, "ctl", os.Getenv("DAHLIALOCK_CTL"), "`address` of any daemon's ctl, or several with commas between")
	flag.StringVar(&options.request, "visit", "", "`id` of a visit, as its answer's Visit-Id named it")
	flag.StringVar(&options.message, "message", "", "a message as `space/sender/seq`")
	flag.StringVar(&options.origin, "origin", "", "`name` of an origin")
	flag.BoolVar(&options.raw, "json", false, "print as JSON")
	flag.DurationVar(&options.limit, "limit", 2*time.Second, "how `long` to wait for each daemon")
	flag.Parse()
	if options.control == "" || flag.NArg() > 0 || options.request == "" && options.message == "" && options.origin == "" {
		fmt.Fprintln(os.Stderr, "sextant: -ctl and one of -visit, -message, -origin are wanted")
		flag.Usage()
		os.Exit(exitUsage)
	}
	os.Exit(run(options, os.Stdout, os.Stderr))
}

func get(limit time.Duration, location string, value any) error {
	client := http.Client{Timeout: limit}
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

func run(options options, out, complaints io.Writer) int {
	var cluster struct {
		Members []membership.Member `json:"members"`
	}
	var last error
	for _, address := range strings.Split(options.control, ",") {
		if last = get(3*time.Second, "http://"+address+"/v1/cluster", &cluster); last == nil {
			break
		}
	}
	var found report
	if last != nil {
		// Without a primary the daemons that were named can still be asked.
		found.NotLearned = append(found.NotLearned, "the cluster: "+last.Error())
		for _, address := range strings.Split(options.control, ",") {
			cluster.Members = append(cluster.Members, membership.Member{Name: address, Control: address, Alive: true})
		}
	}
	found.gather(options, cluster.Members)
	if options.request != "" && options.message == "" {
		// A request names its message, which other daemons know it by.
		for _, entry := range found.Decisions {
			if entry.Message != "" && entry.Request == options.request {
				options.message = entry.Message
			}
		}
		if options.message != "" {
			found.Decisions, found.Asked = nil, nil
			found.NotLearned = found.NotLearned[:0]
			found.gather(options, cluster.Members)
		}
	}
	if options.raw {
		packed, err := json.MarshalIndent(found, "", "  ")
		if err != nil {
			fmt.Fprintln(complaints, "sextant:", err)
			return exitSilent
		}
		fmt.Fprintln(out, string(packed))
	} else {
		found.print(out)
	}
	switch {
	case len(found.Decisions) > 0:
		return 0
	case len(found.Asked) == 0:
		fmt.Fprintln(complaints, "sextant: no daemon answered")
		return exitSilent
	}
	fmt.Fprintf(complaints, "sextant: no daemon that answered knows of %s\n", strings.Join(slices.DeleteFunc([]string{options.request, options.message, options.origin}, func(text string) bool { return text == "" }), ", "))
	return exitUnknown
}

func (r *report) gather(options options, members []membership.Member) {
	query := url.Values{}
	for name, value := range map[string]string{"visit": options.request, "message": options.message, "origin": options.origin} {
		if value != "" {
			query.Set(name, value)
		}
	}
	type answer struct {
		name    string
		entries []decisionlog.Entry
		fault   error
	}
	answers := make(chan answer)
	for _, member := range members {
		go func() {
			var value struct {
				Decisions []decisionlog.Entry `json:"decisions"`
			}
			err := get(options.limit, "http://"+member.Control+"/v1/decisions?"+query.Encode(), &value)
			answers <- answer{name: member.Name, entries: value.Decisions, fault: err}
		}()
	}
	for range members {
		got := <-answers
		if got.fault != nil {
			r.NotLearned = append(r.NotLearned, got.name+": "+got.fault.Error())
			continue
		}
		r.Asked = append(r.Asked, got.name)
		r.Decisions = append(r.Decisions, got.entries...)
	}
	sort.Strings(r.Asked)
	sort.Strings(r.NotLearned)
	slices.SortStableFunc(r.Decisions, func(left, right decisionlog.Entry) int { return cmp.Compare(left.At.UnixNano(), right.At.UnixNano()) })
}

func (r *report) print(out io.Writer) {
	for _, entry := range r.Decisions {
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
		fmt.Fprintf(out, "%s  %-10s %-14s %-28s %-12s %s\n", entry.At.Format("15:04:05.000000"), entry.Daemon, entry.Step, subject, entry.Origin, strings.Join(details, " "))
	}
	fmt.Fprintf(out, "asked %d daemons\n", len(r.Asked))
	for _, line := range r.NotLearned {
		fmt.Fprintf(out, "could not learn from %s\n", line)
	}
}
