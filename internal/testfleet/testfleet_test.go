// Tests of a small fleet of real processes, as an operator and the platform use it: it is
// started, configured, used, sent invalid input, reloaded and stopped.
package testfleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"dahlialock/internal/client"
	"dahlialock/internal/httpapi"
)

const waitTimeout = 60 * time.Second

type fixture struct {
	t        *testing.T
	fleet    *Fleet
	binaries string
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	binaries := t.TempDir()
	build := exec.Command("go", "build", "-o", binaries, "../../cmd/...")
	output, err := build.CombinedOutput()
	assert.NilError(t, err, "%s", output)
	deployment := Deployments["small"]
	deployment.Port = 24500
	running, err := New(deployment, t.TempDir(), binaries)
	assert.NilError(t, err)
	assert.NilError(t, running.StartAll())
	t.Cleanup(running.StopAll)
	assert.NilError(t, running.WaitReady(waitTimeout, running.Names()...))
	return &fixture{t: t, fleet: running, binaries: binaries}
}

// command runs one of the built programs and returns its exit code and output.
func (f *fixture) command(name string, arguments ...string) (int, string) {
	command := exec.Command(filepath.Join(f.binaries, name), arguments...)
	output, err := command.CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		f.t.Fatal(err)
	}
	return command.ProcessState.ExitCode(), string(output)
}

func (f *fixture) file(text string) string {
	path := filepath.Join(f.t.TempDir(), "file.json")
	assert.NilError(f.t, os.WriteFile(path, []byte(text), 0o644))
	return path
}

func (f *fixture) origin(name string) *client.Client {
	return &client.Client{Token: httpapi.Token([]byte(Key), name), HTTP: client.NewHTTPClient("")}
}

// next reads events of a session until one of the given kind arrives, and returns it.
func next(t *testing.T, channel *client.Channel, kind string) client.Event {
	t.Helper()
	limit := time.After(waitTimeout)
	for {
		select {
		case event, open := <-channel.Events:
			assert.Assert(t, open, "the session ended before an event %s", kind)
			if event.Event == kind {
				return event
			}
		case <-limit:
			t.Fatalf("no event %s arrived", kind)
		}
	}
}

const configuration = `{"version": %d, "spaces": [{"name": "boards", "promise": "kept"}, {"name": "decisions", "promise": "kept", "order": "channel"},
 {"name": "cursors", "promise": "passing", "publishers": ["ada"], "limits": {"data_bytes": 50}}]}`

// noMutations checks that a release build contains no mutations, which would disable mechanisms.
func (f *fixture) noMutations() {
	t := f.t
	names := map[string]bool{}
	question := regexp.MustCompile(`statemachine\.Mutated\("([a-z-]+)"\)`)
	assert.NilError(t, filepath.WalkDir("..", func(path string, _ os.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		body, err := os.ReadFile(path)
		for _, found := range question.FindAllStringSubmatch(string(body), -1) {
			names[found[1]] = true
		}
		return err
	}))
	assert.Assert(t, len(names) > 10, "%v", names)
	for _, program := range []string{"gateway", "agent", "store", "controller"} {
		body, err := os.ReadFile(filepath.Join(f.binaries, program))
		assert.NilError(t, err)
		for name := range names {
			assert.Assert(t, !bytes.Contains(body, []byte(name)), "%s contains the mutation %s", program, name)
		}
	}
}

func TestAFleetOfProcesses(t *testing.T) {
	bench := newFixture(t)
	daemons := bench.fleet.Daemons
	control := func(name string) string { return daemons[name].Control }
	bench.noMutations()

	// Configurations through different daemons.
	code, output := bench.command("dahlialock", "check", bench.file(`{"version":1,"spaces":[{"name":"a"}],"x":1}`))
	assert.Equal(t, code, 3, output)
	assert.Assert(t, strings.Contains(output, "$.x") && strings.Contains(output, "$.spaces[0].promise"), output)
	code, output = bench.command("dahlialock", "put", "-wait", "20s", "-ctl", control("gateway-1"), bench.file(fmt.Sprintf(configuration, 2)))
	assert.Equal(t, code, 0, output)
	code, output = bench.command("dahlialock", "put", "-ctl", control("agent-2"), bench.file(fmt.Sprintf(configuration, 2)))
	assert.Equal(t, code, 0, "the same version again: %s", output)
	code, output = bench.command("dahlialock", "put", "-ctl", control("store-1"), bench.file(fmt.Sprintf(configuration, 1)))
	assert.Equal(t, code, 3, "an older version: %s", output)
	for _, name := range bench.fleet.Names() {
		code, output = bench.command("dahlialock", "get", "-json", "-ctl", control(name))
		assert.Equal(t, code, 0, output)
		var got struct{ Version int }
		assert.NilError(t, json.Unmarshal([]byte(output), &got))
		assert.Equal(t, got.Version, 2, "read at %s", name)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, name := range []string{"gateway-1", "gateway-2", "gateway-3"} {
			self, err := daemons[name].Self()
			if err != nil || self["version"] != 2.0 {
				return poll.Continue("%s does not have the version yet", name)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout))

	bench.messagesCross()
	bench.badInput()
	bench.spaces()
	bench.garbage()
	bench.configurations()
	bench.settings()
	bench.moves()
	bench.damage()
	bench.retires()
}

func (f *fixture) messagesCross() {
	t, within := f.t, context.Background()
	reader, writer := f.origin("bob"), f.origin("ada")
	channel, err := reader.Open(within, f.fleet.Daemons["gateway-3"].Caller)
	assert.NilError(t, err)
	defer channel.Close()
	prefix, topic := "project1", "project1/x"
	answer, err := reader.Subscribe(within, channel, []client.Subscription{
		{Space: "boards", Prefix: &prefix}, {Space: "decisions", Prefix: new(string)}, {Space: "cursors", Topic: &topic},
	}, "")
	assert.NilError(t, err)
	assert.Equal(t, answer.Status, 200, "%+v", answer)
	at := f.fleet.Daemons["gateway-1"].Caller
	for seq, space := range []string{"boards", "decisions", "cursors"} {
		answer, err = writer.Publish(within, at, space, topic, uint64(seq+1), map[string]int{"n": seq})
		assert.NilError(t, err)
		assert.Equal(t, answer.Outcome, "accepted", "%+v", answer)
		event := next(t, channel, "message")
		assert.Equal(t, event.Space, space)
		assert.Equal(t, string(event.Data), fmt.Sprintf(`{"n":%d}`, seq))
	}
	again, err := writer.Publish(within, at, "boards", topic, 1, map[string]int{"n": 0})
	assert.NilError(t, err)
	assert.Assert(t, again.Outcome == "accepted" && again.Again, "%+v", again)

	code, output := f.command("dahlialock", "explain", "-ctl", f.fleet.Daemons["store-2"].Control, "-message", "boards/ada/1")
	assert.Equal(t, code, 0, output)
	for _, step := range []string{"judged", "append", "accepted", "fanned-out", "delivered"} {
		assert.Assert(t, strings.Contains(output, " "+step+" "), "explain does not show the step %s:\n%s", step, output)
	}
	code, output = f.command("dahlialock", "explain", "-ctl", f.fleet.Daemons["store-2"].Control, "-visit", "nobody-knows-1")
	assert.Equal(t, code, 1, output)

	// Each destination daemon gets one copy, no matter how many of its clients subscribe.
	for number := range 4 {
		more := f.origin(fmt.Sprintf("more-%d", number))
		other, err := more.Open(within, f.fleet.Daemons["gateway-3"].Caller)
		assert.NilError(t, err)
		defer other.Close()
		answer, err = more.Subscribe(within, other, []client.Subscription{{Space: "boards", Topic: &topic}}, "")
		assert.NilError(t, err)
		assert.Equal(t, answer.Status, 200)
	}
	copies := func() float64 {
		self, err := f.fleet.Daemons["gateway-1"].Self()
		assert.NilError(t, err)
		return self["counters"].(map[string]any)["gateway"].(map[string]any)["CopiesOut"].(float64)
	}
	before := copies()
	answer, err = writer.Publish(within, at, "boards", topic, 10, 1)
	assert.NilError(t, err)
	assert.Equal(t, answer.Outcome, "accepted")
	next(t, channel, "message")
	assert.Equal(t, copies()-before, 1.0)
}

func (f *fixture) badInput() {
	t := f.t
	address := f.fleet.Daemons["gateway-2"].Caller
	post := func(path, token, body string) (int, string, string) {
		request, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
		assert.NilError(t, err)
		if token != "" {
			request.Header.Set("Authorization", "Bearer "+token)
		}
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		defer func() { _ = response.Body.Close() }()
		text, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		var value struct {
			Code    string
			Outcome string
		}
		assert.NilError(t, json.Unmarshal(text, &value), "%s", text)
		assert.Equal(t, value.Outcome, "refused", "%s", text)
		return response.StatusCode, value.Code, string(text)
	}
	ada, bob := httpapi.Token([]byte(Key), "ada"), httpapi.Token([]byte(Key), "bob")
	for _, each := range []struct {
		path, token, body string
		status            int
		code, part        string
	}{
		{"/v1/publish", "", `{}`, 401, "not-authentic", ""},
		{"/v1/publish", ada + "0", `{}`, 401, "not-authentic", ""},
		{"/v1/publish", ada, `{"space":`, 400, "malformed", "$"},
		{"/v1/publish", ada, `{"space":"boards","topic":"a","seq":1,"data":1} 2`, 400, "malformed", "$"},
		{"/v1/publish", ada, `{"space":"boards","space":"boards","topic":"a","seq":1,"data":1}`, 400, "duplicate-key", "$.space"},
		{"/v1/publish", ada, `{"space":"boards","topic":"a","seq":1,"data":1,"more":2}`, 400, "unknown-key", "$.more"},
		{"/v1/publish", ada, `{"space":"boards","topic":"a","seq":-1,"data":1}`, 400, "out-of-range", "$.seq"},
		{"/v1/publish", ada, `{"space":"boards","topic":"a","data":1}`, 400, "missing", "$.seq"},
		{"/v1/publish", ada, `{"space":"boards","topic":"/a","seq":900,"data":1}`, 400, "bad-topic", ""},
		{"/v1/publish", ada, `{"space":"nowhere","topic":"a","seq":900,"data":1}`, 404, "no-such-space", ""},
		{"/v1/publish", ada, `{"space":"boards","sender":"bob","topic":"a","seq":900,"data":1}`, 403, "wrong-sender", ""},
		{"/v1/publish", bob, `{"space":"cursors","topic":"a","seq":900,"data":1}`, 403, "not-allowed", ""},
		{"/v1/publish", ada, `{"space":"cursors","topic":"a","seq":900,"data":"` + strings.Repeat("x", 60) + `"}`, 413, "too-large", ""},
		{"/v1/publish", ada, `{"space":"boards","topic":"a","seq":900,"data":"` + strings.Repeat("x", 2<<20) + `"}`, 413, "too-large", ""},
		{"/v1/publish", ada, `{"space":"boards","topic":"project1/x","seq":1,"data":"another"}`, 409, "seq-reused", ""},
		{"/v1/subscribe", ada, `{"channel":"77","subscriptions":[{"space":"boards","topic":"a"}]}`, 404, "no-such-channel", ""},
		{"/v1/subscribe", ada, `{"channel":"77","subscriptions":[{"space":"boards"}]}`, 400, "missing", "$.subscriptions[0]"},
		{"/v1/pong", ada, `{"channel":"77"}`, 404, "no-such-channel", ""},
	} {
		status, code, text := post(each.path, each.token, each.body)
		assert.Equal(t, status, each.status, text)
		assert.Equal(t, code, each.code, text)
		assert.Assert(t, strings.Contains(text, each.part), text)
	}
	within := context.Background()
	origin := f.origin("ada")
	channel, err := origin.Open(within, address)
	assert.NilError(t, err)
	defer channel.Close()
	for cursor, wanted := range map[string]string{"AAAA": "bad-cursor", "!!!": "bad-cursor"} {
		answer, err := origin.Subscribe(within, channel, nil, cursor)
		assert.NilError(t, err)
		assert.Equal(t, answer.Code, wanted)
	}
	answer, err := origin.Subscribe(within, channel, []client.Subscription{{Space: "boards", Prefix: new(string)}}, "")
	assert.NilError(t, err)
	other := f.origin("bob")
	theirs, err := other.Open(within, address)
	assert.NilError(t, err)
	defer theirs.Close()
	stolen, err := other.Subscribe(within, theirs, nil, answer.Cursor)
	assert.NilError(t, err)
	assert.Equal(t, stolen.Code, "other-origin")
}

// spaces publishes to a space that was just added, through gateways that may not have the
// new configuration yet, and to a space that was just removed.
func (f *fixture) spaces() {
	t, within := f.t, context.Background()
	writer := f.origin("ada")
	with := strings.Replace(fmt.Sprintf(configuration, 3), `"spaces": [`, `"spaces": [{"name": "fresh", "promise": "passing"}, `, 1)
	code, output := f.command("dahlialock", "put", "-wait", "20s", "-ctl", f.fleet.Daemons["gateway-1"].Control, f.file(with))
	assert.Equal(t, code, 0, output)
	for _, name := range []string{"gateway-3", "gateway-2", "gateway-1"} {
		answer, err := writer.Publish(within, f.fleet.Daemons[name].Caller, "fresh", "a/b", uint64(len(name))+uint64(time.Now().UnixNano()), 1)
		assert.NilError(t, err)
		assert.Equal(t, answer.Outcome, "accepted", "at %s: %+v", name, answer)
	}
	code, output = f.command("dahlialock", "put", "-wait", "20s", "-ctl", f.fleet.Daemons["controller-2"].Control, f.file(fmt.Sprintf(configuration, 4)))
	assert.Equal(t, code, 0, output)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, name := range []string{"gateway-3", "gateway-2", "gateway-1"} {
			answer, err := writer.Publish(within, f.fleet.Daemons[name].Caller, "fresh", "a/b", uint64(time.Now().UnixNano()), 1)
			if err != nil || answer.Code != "no-such-space" {
				return poll.Continue("%s: %v %+v", name, err, answer)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout))
}

// garbage sends bytes that are not valid frames to the peer address of every daemon.
func (f *fixture) garbage() {
	t := f.t
	for _, name := range f.fleet.Names() {
		for _, body := range [][]byte{{0xff, 0xff, 0xff, 0xff, 1, 2, 3}, {0, 0, 0, 3, 1, 2, 3}, []byte("GET / HTTP/1.1\r\n\r\n")} {
			link, err := net.Dial("tcp", f.fleet.Daemons[name].Address)
			assert.NilError(t, err)
			_, err = link.Write(body)
			assert.NilError(t, err)
			assert.NilError(t, link.SetReadDeadline(time.Now().Add(waitTimeout)))
			_, err = link.Read(make([]byte, 1))
			assert.Assert(t, errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET), "%s did not close the connection: %v", name, err)
			_ = link.Close()
		}
	}
	for _, name := range f.fleet.Names() {
		assert.Assert(t, f.fleet.Daemons[name].Running(), "%s ended", name)
		f.logs(name, `"number":1020`)
	}
	assert.NilError(t, f.fleet.WaitReady(waitTimeout, f.fleet.Names()...))
}

func (f *fixture) logs(name, text string) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		body, err := os.ReadFile(f.fleet.LogPath(name))
		if err == nil && bytes.Contains(body, []byte(text)) {
			return poll.Success()
		}
		return poll.Continue("%s has not logged %s", name, text)
	}, poll.WithTimeout(waitTimeout))
}

// configurations puts invalid configurations, checks that each is rejected with the path
// of its error, and that the configuration in force has not changed.
func (f *fixture) configurations() {
	t := f.t
	for _, each := range []struct{ part, path string }{
		{`"economy": {"processor_weight": -1}`, "$.economy.processor_weight"},
		{`"economy": {"traffic_weight": 1e9}`, "$.economy.traffic_weight"},
		{`"economy": {"traffic_weight": "much"}`, "$.economy.traffic_weight"},
		{`"economy": {"origins_each": 0}`, "$.economy.origins_each"},
		{`"economy": {"spare_gateways": 65}`, "$.economy.spare_gateways"},
		{`"economy": {"quiet_for": "-3s"}`, "$.economy.quiet_for"},
		{`"economy": {"enabled": 1}`, "$.economy.enabled"},
		{`"economy": {"enabled": true, "enabled": false}`, "$.economy.enabled"},
		{`"drains": ["gateway-9"]`, "$.drains[0]"},
		{`"drains": ["store-1"]`, "$.drains[0]"},
		{`"drains": ["gateway-1", "gateway-2", "gateway-3"]`, "$.drains"},
		{`"zones": ["a"], "links": [{"from": "a", "to": "b", "delay": "1ms"}]`, "$.links[0].to"},
		{`"zones": ["a", "a"]`, "$.zones[1]"},
	} {
		body := strings.Replace(fmt.Sprintf(configuration, 900), "{", "{"+each.part+",", 1)
		code, output := f.command("dahlialock", "put", "-wait", "20s", "-ctl", f.fleet.Daemons["agent-3"].Control, f.file(body))
		assert.Equal(t, code, 3, "%s: %s", each.part, output)
		assert.Assert(t, strings.Contains(output, each.path), "%s: %s", each.part, output)
	}
	code, output := f.command("dahlialock", "get", "-wait", "20s", "-ctl", f.fleet.Daemons["gateway-1"].Control)
	assert.Equal(t, code, 0, output)
	assert.Assert(t, !strings.Contains(output, "900"), output)
}

func (f *fixture) settings() {
	t := f.t
	code, output := f.command("gateway", "-name", "x y", "-address", "nowhere:1", "-zone", "a")
	assert.Equal(t, code, 64, output)
	for _, part := range []string{"$.name", "$.address", "$.ctl", "$.caller", "$.agent", "$.key"} {
		assert.Assert(t, strings.Contains(output, part), output)
	}
	// After an invalid edit the daemon keeps the old settings and logs the error. A valid
	// edit is applied, both without and with a signal.
	daemon := f.fleet.Daemons["gateway-2"]
	swapped := func(key, value string) string {
		return strings.Replace(daemon.Settings(), fmt.Sprintf("%q: %q", key, daemon.settings[key]), fmt.Sprintf("%q: %q", key, value), 1)
	}
	for _, each := range []struct{ what, text, says string }{
		{"half written", daemon.Settings()[:100], "unexpected EOF"},
		{"another name", swapped("name", "gateway-3"), "only a restart changes name"},
		{"another zone", swapped("zone", "zone-q"), "only a restart changes zone"},
		{"an unknown key", strings.Replace(daemon.Settings(), "{", `{"frobnicate": 1,`, 1), "$.frobnicate"},
		{"empty", "", "$: EOF"},
	} {
		assert.NilError(t, f.fleet.ReplaceSettings("gateway-2", []byte(each.text)))
		f.logs("gateway-2", each.says)
		assert.Assert(t, daemon.Ready(), each.what)
	}
	assert.NilError(t, f.fleet.RemoveSettings("gateway-2"))
	f.logs("gateway-2", "no such file")
	assert.Assert(t, daemon.Ready(), "not ready after the settings file was removed")
	assert.NilError(t, f.fleet.RestoreSettings("gateway-2"))
	f.logs("gateway-2", `"why":"file"`)
	// A daemon without the flag -trial rejects trial settings.
	code, output = f.command("gateway", "-settings", daemon.settingsPath())
	assert.Equal(t, code, 64, output)
	assert.Assert(t, strings.Contains(output, "$.trial: this key is not known"), output)
	f.fleet.Signal("gateway-2", syscall.SIGHUP)
	f.logs("gateway-2", `"why":"signal"`)
}

// moves stops a gateway with SIGTERM: it refers its clients to another gateway, where they resume.
func (f *fixture) moves() {
	t, within := f.t, context.Background()
	reader, writer := f.origin("eve"), f.origin("ada")
	channel, err := reader.Open(within, f.fleet.Daemons["gateway-2"].Caller)
	assert.NilError(t, err)
	defer channel.Close()
	answer, err := reader.Subscribe(within, channel, []client.Subscription{{Space: "boards", Prefix: new(string)}}, "")
	assert.NilError(t, err)
	assert.Equal(t, answer.Status, 200)
	f.fleet.Signal("gateway-2", syscall.SIGTERM)
	move := next(t, channel, "move")
	assert.Assert(t, move.To != "" && move.To != channel.Address && move.Cursor != "")
	channel.Close()
	missed, err := writer.Publish(within, f.fleet.Daemons["gateway-1"].Caller, "boards", "project9/y", 100, "missed")
	assert.NilError(t, err)
	assert.Equal(t, missed.Outcome, "accepted", "%+v", missed)
	resumed, err := reader.Open(within, move.To)
	assert.NilError(t, err)
	defer resumed.Close()
	answer, err = reader.Subscribe(within, resumed, nil, move.Cursor)
	assert.NilError(t, err)
	assert.Equal(t, answer.Status, 200, "%+v", answer)
	assert.Equal(t, string(next(t, resumed, "message").Data), `"missed"`)
	assert.Equal(t, f.fleet.Daemons["gateway-2"].ExitCode(), 0)
	assert.NilError(t, f.fleet.Start("gateway-2"))
	assert.NilError(t, f.fleet.WaitReady(waitTimeout, "gateway-2"))
}

// damage corrupts a byte inside each log of a store. The store reports the damage, sets the
// data aside and rebuilds its replicas; a cursor still gets all accepted messages.
func (f *fixture) damage() {
	t, within := f.t, context.Background()
	reader, writer := f.origin("dan"), f.origin("ada")
	channel, err := reader.Open(within, f.fleet.Daemons["gateway-1"].Caller)
	assert.NilError(t, err)
	answer, err := reader.Subscribe(within, channel, []client.Subscription{{Space: "boards", Prefix: new(string)}}, "")
	assert.NilError(t, err)
	assert.Equal(t, answer.Status, 200, "%+v", answer)
	channel.Close()
	for seq := range uint64(20) {
		kept, err := writer.Publish(within, f.fleet.Daemons["gateway-3"].Caller, "boards", fmt.Sprintf("damage/%d", seq), 200+seq, seq)
		assert.NilError(t, err)
		assert.Equal(t, kept.Outcome, "accepted", "%+v", kept)
	}
	f.fleet.Kill("store-1")
	data := filepath.Join(filepath.Dir(f.fleet.LogPath("store-1")), "data")
	logs, err := filepath.Glob(filepath.Join(data, "log-*"))
	assert.NilError(t, err)
	assert.Assert(t, len(logs) > 0)
	for _, name := range logs {
		body, err := os.ReadFile(name)
		assert.NilError(t, err)
		if len(body) < 200 {
			continue
		}
		body[len(body)/3] ^= 0x5a
		assert.NilError(t, os.WriteFile(name, body, 0o644))
	}
	assert.NilError(t, f.fleet.Start("store-1"))
	f.logs("store-1", `"number":1041`)
	assert.NilError(t, f.fleet.WaitReady(waitTimeout, "store-1"))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		again, err := reader.Open(within, f.fleet.Daemons["gateway-2"].Caller)
		if err != nil {
			return poll.Continue("%v", err)
		}
		defer again.Close()
		resumed, err := reader.Subscribe(within, again, nil, answer.Cursor)
		if err != nil || resumed.Status != 200 {
			return poll.Continue("%v %+v", err, resumed)
		}
		assert.Equal(t, resumed.Missed, 20)
		return poll.Success()
	}, poll.WithTimeout(waitTimeout))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		_, output := f.command("dahlialock", "placement", "-ctl", f.fleet.Daemons["controller-2"].Control)
		if strings.Contains(output, "false") || !strings.Contains(output, "true") {
			return poll.Continue("not all partitions are complete")
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout))
}

func (f *fixture) retires() {
	t := f.t
	code, output := f.command("dahlialock", "store", "-wait", "40s", "-ctl", f.fleet.Daemons["agent-1"].Control, "retire", "store-2")
	assert.Equal(t, code, 0, output)
	code, output = f.command("dahlialock", "placement", "-json", "-ctl", f.fleet.Daemons["controller-3"].Control)
	assert.Equal(t, code, 0, output)
	var got struct {
		Partitions []struct {
			First, Follower string
			Complete        bool
		}
	}
	assert.NilError(t, json.Unmarshal([]byte(output), &got))
	assert.Equal(t, len(got.Partitions), 9)
	for _, each := range got.Partitions {
		assert.Assert(t, each.Complete && each.First != "store-2" && each.Follower != "store-2", "%+v", each)
	}
	code, output = f.command("dahlialock", "store", "-ctl", f.fleet.Daemons["agent-1"].Control, "retire", "store-1")
	assert.Equal(t, code, 3, "too few stores would remain: %s", output)
	code, output = f.command("dahlialock", "store", "-ctl", f.fleet.Daemons["agent-3"].Control, "retire", "gateway-1")
	assert.Equal(t, code, 3, "not a store: %s", output)
	code, output = f.command("dahlialock", "store", "-ctl", f.fleet.Daemons["agent-1"].Control, "retire", "store-9")
	assert.Equal(t, code, 3, output)
	code, output = f.command("dahlialock", "cluster", "-ctl", "127.0.0.1:9")
	assert.Equal(t, code, 1, "no daemon at the address: %s", output)
}
