// Sextant explains why a visit or a message went where it went: it asks every
// daemon of the cohort for the decisions that it recorded, puts them in order,
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

	"dahlialock/internal/beacon"
	"dahlialock/internal/soundings"
)

const (
	exitUnknown = 1
	exitUsage   = 2
	exitSilent  = 3
)

type options struct {
	control, visit, message, origin string
	raw                             bool
	limit                           time.Duration
}

type report struct {
	Decisions  []soundings.Entry `json:"decisions"`
	Asked      []string          `json:"asked"`
	NotLearned []string          `json:"not_learned"`
}

func main() {
	var options options
	flag.StringVar(&options.control, "ctl", os.Getenv("DAHLIALOCK_CTL"), "`address` of any daemon's ctl, or several with commas between")
	flag.StringVar(&options.visit, "visit", "", "`id` of a visit, as its answer's Visit-Id named it")
	flag.StringVar(&options.message, "message", "", "a message as `space/sender/seq`")
	flag.StringVar(&options.origin, "origin", "", "`name` of an origin")
	flag.BoolVar(&options.raw, "json", false, "print as JSON")
	flag.DurationVar(&options.limit, "limit", 2*time.Second, "how `long` to wait for each daemon")
	flag.Parse()
	if options.control == "" || flag.NArg() > 0 || options.visit == "" && options.message == "" && options.origin == "" {
		fmt.Fprintln(os.Stderr, "sextant: -ctl and one of -visit, -message, -origin are wanted")
		flag.Usage()
		os.Exit(exitUsage)
	}
	os.Exit(run(options, os.Stdout, os.Stderr))
}

func get(limit time.Duration, location string, value any) error {
	client := http.Client{Timeout: limit}
	response, fault := client.Get(location)
	if fault != nil {
		return fault
	}
	defer func() { _ = response.Body.Close() }()
	body, fault := io.ReadAll(response.Body)
	if fault != nil {
		return fault
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", response.StatusCode, strings.TrimSpace(string(body)))
	}
	return json.Unmarshal(body, value)
}

func run(options options, out, complaints io.Writer) int {
	var cohort struct {
		Members []beacon.Member `json:"members"`
	}
	var last error
	for _, address := range strings.Split(options.control, ",") {
		if last = get(3*time.Second, "http://"+address+"/v1/cohort", &cohort); last == nil {
			break
		}
	}
	var found report
	if last != nil {
		// Without a primary the daemons that were named can still be asked.
		found.NotLearned = append(found.NotLearned, "the cohort: "+last.Error())
		for _, address := range strings.Split(options.control, ",") {
			cohort.Members = append(cohort.Members, beacon.Member{Name: address, Control: address, Alive: true})
		}
	}
	found.gather(options, cohort.Members)
	if options.visit != "" && options.message == "" {
		// A visit names its message, which other daemons know it by.
		for _, entry := range found.Decisions {
			if entry.Message != "" && entry.Visit == options.visit {
				options.message = entry.Message
			}
		}
		if options.message != "" {
			found.Decisions, found.Asked = nil, nil
			found.NotLearned = found.NotLearned[:0]
			found.gather(options, cohort.Members)
		}
	}
	if options.raw {
		packed, fault := json.MarshalIndent(found, "", "  ")
		if fault != nil {
			fmt.Fprintln(complaints, "sextant:", fault)
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
	fmt.Fprintf(complaints, "sextant: no daemon that answered knows of %s\n", strings.Join(slices.DeleteFunc([]string{options.visit, options.message, options.origin}, func(text string) bool { return text == "" }), ", "))
	return exitUnknown
}

func (report *report) gather(options options, members []beacon.Member) {
	query := url.Values{}
	for name, value := range map[string]string{"visit": options.visit, "message": options.message, "origin": options.origin} {
		if value != "" {
			query.Set(name, value)
		}
	}
	type answer struct {
		name    string
		entries []soundings.Entry
		fault   error
	}
	answers := make(chan answer)
	for _, member := range members {
		go func() {
			var value struct {
				Decisions []soundings.Entry `json:"decisions"`
			}
			fault := get(options.limit, "http://"+member.Control+"/v1/decisions?"+query.Encode(), &value)
			answers <- answer{name: member.Name, entries: value.Decisions, fault: fault}
		}()
	}
	for range members {
		got := <-answers
		if got.fault != nil {
			report.NotLearned = append(report.NotLearned, got.name+": "+got.fault.Error())
			continue
		}
		report.Asked = append(report.Asked, got.name)
		report.Decisions = append(report.Decisions, got.entries...)
	}
	sort.Strings(report.Asked)
	sort.Strings(report.NotLearned)
	slices.SortStableFunc(report.Decisions, func(left, right soundings.Entry) int { return cmp.Compare(left.At.UnixNano(), right.At.UnixNano()) })
}

func (report *report) print(out io.Writer) {
	for _, entry := range report.Decisions {
		names := make([]string, 0, len(entry.Detail))
		for name := range entry.Detail {
			names = append(names, name)
		}
		sort.Strings(names)
		var details []string
		for _, name := range names {
			packed, fault := json.Marshal(entry.Detail[name])
			if fault != nil {
				packed = []byte(fault.Error())
			}
			details = append(details, name+"="+string(packed))
		}
		subject := entry.Message
		if subject == "" {
			subject = entry.Visit
		}
		fmt.Fprintf(out, "%s  %-10s %-14s %-28s %-12s %s\n", entry.At.Format("15:04:05.000000"), entry.Daemon, entry.Step, subject, entry.Origin, strings.Join(details, " "))
	}
	fmt.Fprintf(out, "asked %d daemons\n", len(report.Asked))
	for _, line := range report.NotLearned {
		fmt.Fprintf(out, "could not learn from %s\n", line)
	}
}
