// A small fleet of real processes, as a new user and the platform would meet
// it: started, configured, used, given bad input, reloaded, stopped.
package fleet

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

	"dahlialock/internal/caller"
	"dahlialock/internal/mooring"
)

const wide = 60 * time.Second

type bench struct {
	t        *testing.T
	fleet    *Fleet
	binaries string
}

func newBench(t *testing.T) *bench {
	t.Helper()
	binaries := t.TempDir()
	build := exec.Command("go", "build", "-o", binaries, "../../cmd/...")
	output, fault := build.CombinedOutput()
	assert.NilError(t, fault, "%s", output)
	deployment := Deployments["small"]
	deployment.Port = 24500
	running, fault := New(deployment, t.TempDir(), binaries)
	assert.NilError(t, fault)
	assert.NilError(t, running.StartAll())
	t.Cleanup(running.StopAll)
	assert.NilError(t, running.WaitReady(wide, running.Names()...))
	return &bench{t: t, fleet: running, binaries: binaries}
}

// command runs one of our programs and gives its exit code and output.
func (bench *bench) command(name string, arguments ...string) (int, string) {
	command := exec.Command(filepath.Join(bench.binaries, name), arguments...)
	output, fault := command.CombinedOutput()
	var exit *exec.ExitError
	if fault != nil && !errors.As(fault, &exit) {
		bench.t.Fatal(fault)
	}
	return command.ProcessState.ExitCode(), string(output)
}

func (bench *bench) file(text string) string {
	path := filepath.Join(bench.t.TempDir(), "file.json")
	assert.NilError(bench.t, os.WriteFile(path, []byte(text), 0o644))
	return path
}

func (bench *bench) origin(name string) *caller.Caller {
	return &caller.Caller{Token: mooring.Token([]byte(Key), name), HTTP: caller.NewClient("")}
}

// next reads a channel's events up to one of a kind.
func next(t *testing.T, channel *caller.Channel, kind string) caller.Event {
	t.Helper()
	limit := time.After(wide)
	for {
		select {
		case event, open := <-channel.Events:
			assert.Assert(t, open, "the channel ended before %s", kind)
			if event.Event == kind {
				return event
			}
		case <-limit:
			t.Fatalf("no %s came", kind)
		}
	}
}

const configuration = `{"version": %d, "spaces": [{"name": "boards", "promise": "kept"}, {"name": "decisions", "promise": "kept", "order": "channel"},
 {"name": "cursors", "promise": "passing", "publishers": ["ada"], "limits": {"data_bytes": 50}}]}`

// A released daemon holds no way to take a mechanism away.
func (bench *bench) released() {
	t := bench.t
	names := map[string]bool{}
	question := regexp.MustCompile(`helm\.Mutated\("([a-z-]+)"\)`)
	assert.NilError(t, filepath.WalkDir("..", func(path string, _ os.DirEntry, fault error) error {
		if fault != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return fault
		}
		body, fault := os.ReadFile(path)
		for _, found := range question.FindAllStringSubmatch(string(body), -1) {
			names[found[1]] = true
		}
		return fault
	}))
	assert.Assert(t, len(names) > 10, "%v", names)
	for _, program := range []string{"lantern", "tender", "keeper", "pilot"} {
		body, fault := os.ReadFile(filepath.Join(bench.binaries, program))
		assert.NilError(t, fault)
		for name := range names {
			assert.Assert(t, !bytes.Contains(body, []byte(name)), "%s holds %s", program, name)
		}
	}
}

func TestAFleetOfProcesses(t *testing.T) {
	bench := newBench(t)
	daemons := bench.fleet.Daemons
	control := func(name string) string { return daemons[name].Control }
	bench.released()

	// Configurations through different daemons.
	code, output := bench.command("dahlialock", "check", bench.file(`{"version":1,"spaces":[{"name":"a"}],"x":1}`))
	assert.Equal(t, code, 3, output)
	assert.Assert(t, strings.Contains(output, "$.x") && strings.Contains(output, "$.spaces[0].promise"), output)
	code, output = bench.command("dahlialock", "put", "-wait", "20s", "-ctl", control("lantern-1"), bench.file(fmt.Sprintf(configuration, 2)))
	assert.Equal(t, code, 0, output)
	code, output = bench.command("dahlialock", "put", "-ctl", control("tender-2"), bench.file(fmt.Sprintf(configuration, 2)))
	assert.Equal(t, code, 0, "the same again: %s", output)
	code, output = bench.command("dahlialock", "put", "-ctl", control("keeper-1"), bench.file(fmt.Sprintf(configuration, 1)))
	assert.Equal(t, code, 3, "an older one: %s", output)
	for _, name := range bench.fleet.Names() {
		code, output = bench.command("dahlialock", "get", "-json", "-ctl", control(name))
		assert.Equal(t, code, 0, output)
		var got struct{ Version int }
		assert.NilError(t, json.Unmarshal([]byte(output), &got))
		assert.Equal(t, got.Version, 2, "read at %s", name)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, name := range []string{"lantern-1", "lantern-2", "lantern-3"} {
			self, fault := daemons[name].Self()
			if fault != nil || self["version"] != 2.0 {
				return poll.Continue("%s has not the version yet", name)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(wide))

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

func (bench *bench) messagesCross() {
	t, within := bench.t, context.Background()
	reader, writer := bench.origin("bob"), bench.origin("ada")
	channel, fault := reader.Open(within, bench.fleet.Daemons["lantern-3"].Caller)
	assert.NilError(t, fault)
	defer channel.Close()
	prefix, topic := "project1", "project1/x"
	answer, fault := reader.Subscribe(within, channel, []caller.Subscription{
		{Space: "boards", Prefix: &prefix}, {Space: "decisions", Prefix: new(string)}, {Space: "cursors", Topic: &topic},
	}, "")
	assert.NilError(t, fault)
	assert.Equal(t, answer.Status, 200, "%+v", answer)
	at := bench.fleet.Daemons["lantern-1"].Caller
	for seq, space := range []string{"boards", "decisions", "cursors"} {
		answer, fault = writer.Publish(within, at, space, topic, uint64(seq+1), map[string]int{"n": seq})
		assert.NilError(t, fault)
		assert.Equal(t, answer.Outcome, "accepted", "%+v", answer)
		event := next(t, channel, "message")
		assert.Equal(t, event.Space, space)
		assert.Equal(t, string(event.Data), fmt.Sprintf(`{"n":%d}`, seq))
	}
	again, fault := writer.Publish(within, at, "boards", topic, 1, map[string]int{"n": 0})
	assert.NilError(t, fault)
	assert.Assert(t, again.Outcome == "accepted" && again.Again, "%+v", again)

	code, output := bench.command("sextant", "-ctl", bench.fleet.Daemons["keeper-2"].Control, "-message", "boards/ada/1")
	assert.Equal(t, code, 0, output)
	for _, step := range []string{"judged", "append", "accepted", "fanned-out", "delivered"} {
		assert.Assert(t, strings.Contains(output, " "+step+" "), "sextant does not tell of %s:\n%s", step, output)
	}
	code, output = bench.command("sextant", "-ctl", bench.fleet.Daemons["keeper-2"].Control, "-visit", "nobody-knows-1")
	assert.Equal(t, code, 1, output)

	// One copy for each destination daemon, however many subscribe there.
	for number := range 4 {
		more := bench.origin(fmt.Sprintf("more-%d", number))
		other, fault := more.Open(within, bench.fleet.Daemons["lantern-3"].Caller)
		assert.NilError(t, fault)
		defer other.Close()
		answer, fault = more.Subscribe(within, other, []caller.Subscription{{Space: "boards", Topic: &topic}}, "")
		assert.NilError(t, fault)
		assert.Equal(t, answer.Status, 200)
	}
	copies := func() float64 {
		self, fault := bench.fleet.Daemons["lantern-1"].Self()
		assert.NilError(t, fault)
		return self["counters"].(map[string]any)["lantern"].(map[string]any)["CopiesOut"].(float64)
	}
	before := copies()
	answer, fault = writer.Publish(within, at, "boards", topic, 10, 1)
	assert.NilError(t, fault)
	assert.Equal(t, answer.Outcome, "accepted")
	next(t, channel, "message")
	assert.Equal(t, copies()-before, 1.0)
}

func (bench *bench) badInput() {
	t := bench.t
	address := bench.fleet.Daemons["lantern-2"].Caller
	post := func(path, token, body string) (int, string, string) {
		request, fault := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
		assert.NilError(t, fault)
		if token != "" {
			request.Header.Set("Authorization", "Bearer "+token)
		}
		response, fault := http.DefaultClient.Do(request)
		assert.NilError(t, fault)
		defer func() { _ = response.Body.Close() }()
		text, fault := io.ReadAll(response.Body)
		assert.NilError(t, fault)
		var value struct {
			Code    string
			Outcome string
		}
		assert.NilError(t, json.Unmarshal(text, &value), "%s", text)
		assert.Equal(t, value.Outcome, "refused", "%s", text)
		return response.StatusCode, value.Code, string(text)
	}
	ada, bob := mooring.Token([]byte(Key), "ada"), mooring.Token([]byte(Key), "bob")
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
	origin := bench.origin("ada")
	channel, fault := origin.Open(within, address)
	assert.NilError(t, fault)
	defer channel.Close()
	for cursor, wanted := range map[string]string{"AAAA": "bad-cursor", "!!!": "bad-cursor"} {
		answer, fault := origin.Subscribe(within, channel, nil, cursor)
		assert.NilError(t, fault)
		assert.Equal(t, answer.Code, wanted)
	}
	answer, fault := origin.Subscribe(within, channel, []caller.Subscription{{Space: "boards", Prefix: new(string)}}, "")
	assert.NilError(t, fault)
	other := bench.origin("bob")
	theirs, fault := other.Open(within, address)
	assert.NilError(t, fault)
	defer theirs.Close()
	stolen, fault := other.Subscribe(within, theirs, nil, answer.Cursor)
	assert.NilError(t, fault)
	assert.Equal(t, stolen.Code, "other-origin")
}

// spaces asks for one that was just added, through a daemon that may not know
// it yet, and for one that was just removed.
func (bench *bench) spaces() {
	t, within := bench.t, context.Background()
	writer := bench.origin("ada")
	with := strings.Replace(fmt.Sprintf(configuration, 3), `"spaces": [`, `"spaces": [{"name": "fresh", "promise": "passing"}, `, 1)
	code, output := bench.command("dahlialock", "put", "-wait", "20s", "-ctl", bench.fleet.Daemons["lantern-1"].Control, bench.file(with))
	assert.Equal(t, code, 0, output)
	for _, name := range []string{"lantern-3", "lantern-2", "lantern-1"} {
		answer, fault := writer.Publish(within, bench.fleet.Daemons[name].Caller, "fresh", "a/b", uint64(len(name))+uint64(time.Now().UnixNano()), 1)
		assert.NilError(t, fault)
		assert.Equal(t, answer.Outcome, "accepted", "at %s: %+v", name, answer)
	}
	code, output = bench.command("dahlialock", "put", "-wait", "20s", "-ctl", bench.fleet.Daemons["pilot-2"].Control, bench.file(fmt.Sprintf(configuration, 4)))
	assert.Equal(t, code, 0, output)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, name := range []string{"lantern-3", "lantern-2", "lantern-1"} {
			answer, fault := writer.Publish(within, bench.fleet.Daemons[name].Caller, "fresh", "a/b", uint64(time.Now().UnixNano()), 1)
			if fault != nil || answer.Code != "no-such-space" {
				return poll.Continue("%s: %v %+v", name, fault, answer)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(wide))
}

// garbage sends bytes that are no frames to every daemon's own address.
func (bench *bench) garbage() {
	t := bench.t
	for _, name := range bench.fleet.Names() {
		for _, body := range [][]byte{{0xff, 0xff, 0xff, 0xff, 1, 2, 3}, {0, 0, 0, 3, 1, 2, 3}, []byte("GET / HTTP/1.1\r\n\r\n")} {
			link, fault := net.Dial("tcp", bench.fleet.Daemons[name].Address)
			assert.NilError(t, fault)
			_, fault = link.Write(body)
			assert.NilError(t, fault)
			assert.NilError(t, link.SetReadDeadline(time.Now().Add(wide)))
			_, fault = link.Read(make([]byte, 1))
			assert.Assert(t, errors.Is(fault, io.EOF) || errors.Is(fault, syscall.ECONNRESET), "%s did not close the link: %v", name, fault)
			_ = link.Close()
		}
	}
	for _, name := range bench.fleet.Names() {
		assert.Assert(t, bench.fleet.Daemons[name].Running(), "%s ended", name)
		bench.logs(name, `"number":1020`)
	}
	assert.NilError(t, bench.fleet.WaitReady(wide, bench.fleet.Names()...))
}

func (bench *bench) logs(name, text string) {
	bench.t.Helper()
	poll.WaitOn(bench.t, func(poll.LogT) poll.Result {
		body, fault := os.ReadFile(bench.fleet.LogPath(name))
		if fault == nil && bytes.Contains(body, []byte(text)) {
			return poll.Success()
		}
		return poll.Continue("%s has not logged %s", name, text)
	}, poll.WithTimeout(wide))
}

// configurations puts what must be refused, each with the path of its fault, and
// sees that nothing has changed.
func (bench *bench) configurations() {
	t := bench.t
	for _, each := range []struct{ part, path string }{
		{`"economy": {"processor_weight": -1}`, "$.economy.processor_weight"},
		{`"economy": {"traffic_weight": 1e9}`, "$.economy.traffic_weight"},
		{`"economy": {"traffic_weight": "much"}`, "$.economy.traffic_weight"},
		{`"economy": {"origins_each": 0}`, "$.economy.origins_each"},
		{`"economy": {"spare_lanterns": 65}`, "$.economy.spare_lanterns"},
		{`"economy": {"quiet_for": "-3s"}`, "$.economy.quiet_for"},
		{`"economy": {"enabled": 1}`, "$.economy.enabled"},
		{`"economy": {"enabled": true, "enabled": false}`, "$.economy.enabled"},
		{`"drains": ["lantern-9"]`, "$.drains[0]"},
		{`"drains": ["keeper-1"]`, "$.drains[0]"},
		{`"drains": ["lantern-1", "lantern-2", "lantern-3"]`, "$.drains"},
		{`"localities": ["a"], "links": [{"from": "a", "to": "b", "delay": "1ms"}]`, "$.links[0].to"},
		{`"localities": ["a", "a"]`, "$.localities[1]"},
	} {
		body := strings.Replace(fmt.Sprintf(configuration, 900), "{", "{"+each.part+",", 1)
		code, output := bench.command("dahlialock", "put", "-wait", "20s", "-ctl", bench.fleet.Daemons["tender-3"].Control, bench.file(body))
		assert.Equal(t, code, 3, "%s: %s", each.part, output)
		assert.Assert(t, strings.Contains(output, each.path), "%s: %s", each.part, output)
	}
	code, output := bench.command("dahlialock", "get", "-wait", "20s", "-ctl", bench.fleet.Daemons["lantern-1"].Control)
	assert.Equal(t, code, 0, output)
	assert.Assert(t, !strings.Contains(output, "900"), output)
}

func (bench *bench) settings() {
	t := bench.t
	code, output := bench.command("lantern", "-name", "x y", "-address", "nowhere:1", "-locality", "a")
	assert.Equal(t, code, 64, output)
	for _, part := range []string{"$.name", "$.address", "$.ctl", "$.caller", "$.tender", "$.key"} {
		assert.Assert(t, strings.Contains(output, part), output)
	}
	// A bad edit without a signal keeps the old settings and says so; a right
	// one is taken, with a signal too.
	daemon := bench.fleet.Daemons["lantern-2"]
	swapped := func(key, value string) string {
		return strings.Replace(daemon.Settings(), fmt.Sprintf("%q: %q", key, daemon.settings[key]), fmt.Sprintf("%q: %q", key, value), 1)
	}
	for _, each := range []struct{ what, text, says string }{
		{"half written", daemon.Settings()[:100], "unexpected EOF"},
		{"another name", swapped("name", "lantern-3"), "only a restart changes name"},
		{"another locality", swapped("locality", "zone-q"), "only a restart changes locality"},
		{"an unknown key", strings.Replace(daemon.Settings(), "{", `{"frobnicate": 1,`, 1), "$.frobnicate"},
		{"empty", "", "$: EOF"},
	} {
		assert.NilError(t, bench.fleet.Edit("lantern-2", []byte(each.text)))
		bench.logs("lantern-2", each.says)
		assert.Assert(t, daemon.Ready(), each.what)
	}
	assert.NilError(t, bench.fleet.Vanish("lantern-2"))
	bench.logs("lantern-2", "no such file")
	assert.Assert(t, daemon.Ready(), "the file vanished")
	assert.NilError(t, bench.fleet.Restore("lantern-2"))
	bench.logs("lantern-2", `"why":"file"`)
	// What a trial may impose is refused on an ordinary daemon.
	code, output = bench.command("lantern", "-props", daemon.settingsPath())
	assert.Equal(t, code, 64, output)
	assert.Assert(t, strings.Contains(output, "$.trial: this key is not known"), output)
	bench.fleet.Signal("lantern-2", syscall.SIGHUP)
	bench.logs("lantern-2", `"why":"signal"`)
}

// moves stops a lantern politely: its origins are sent elsewhere and resume.
func (bench *bench) moves() {
	t, within := bench.t, context.Background()
	reader, writer := bench.origin("eve"), bench.origin("ada")
	channel, fault := reader.Open(within, bench.fleet.Daemons["lantern-2"].Caller)
	assert.NilError(t, fault)
	defer channel.Close()
	answer, fault := reader.Subscribe(within, channel, []caller.Subscription{{Space: "boards", Prefix: new(string)}}, "")
	assert.NilError(t, fault)
	assert.Equal(t, answer.Status, 200)
	bench.fleet.Signal("lantern-2", syscall.SIGTERM)
	move := next(t, channel, "move")
	assert.Assert(t, move.To != "" && move.To != channel.Address && move.Cursor != "")
	channel.Close()
	missed, fault := writer.Publish(within, bench.fleet.Daemons["lantern-1"].Caller, "boards", "project9/y", 100, "missed")
	assert.NilError(t, fault)
	assert.Equal(t, missed.Outcome, "accepted", "%+v", missed)
	resumed, fault := reader.Open(within, move.To)
	assert.NilError(t, fault)
	defer resumed.Close()
	answer, fault = reader.Subscribe(within, resumed, nil, move.Cursor)
	assert.NilError(t, fault)
	assert.Equal(t, answer.Status, 200, "%+v", answer)
	assert.Equal(t, string(next(t, resumed, "message").Data), `"missed"`)
	assert.Equal(t, bench.fleet.Daemons["lantern-2"].ExitCode(), 0)
	assert.NilError(t, bench.fleet.Start("lantern-2"))
	assert.NilError(t, bench.fleet.WaitReady(wide, "lantern-2"))
}

// damage flips a byte in the middle of a keeper's log: it is reported, put
// aside, and the copy rebuilt; what was accepted is still there for a cursor.
func (bench *bench) damage() {
	t, within := bench.t, context.Background()
	reader, writer := bench.origin("dan"), bench.origin("ada")
	channel, fault := reader.Open(within, bench.fleet.Daemons["lantern-1"].Caller)
	assert.NilError(t, fault)
	answer, fault := reader.Subscribe(within, channel, []caller.Subscription{{Space: "boards", Prefix: new(string)}}, "")
	assert.NilError(t, fault)
	assert.Equal(t, answer.Status, 200, "%+v", answer)
	channel.Close()
	for seq := range uint64(20) {
		kept, fault := writer.Publish(within, bench.fleet.Daemons["lantern-3"].Caller, "boards", fmt.Sprintf("damage/%d", seq), 200+seq, seq)
		assert.NilError(t, fault)
		assert.Equal(t, kept.Outcome, "accepted", "%+v", kept)
	}
	bench.fleet.Kill("keeper-1")
	data := filepath.Join(filepath.Dir(bench.fleet.LogPath("keeper-1")), "data")
	logs, fault := filepath.Glob(filepath.Join(data, "log-*"))
	assert.NilError(t, fault)
	assert.Assert(t, len(logs) > 0)
	for _, name := range logs {
		body, fault := os.ReadFile(name)
		assert.NilError(t, fault)
		if len(body) < 200 {
			continue
		}
		body[len(body)/3] ^= 0x5a
		assert.NilError(t, os.WriteFile(name, body, 0o644))
	}
	assert.NilError(t, bench.fleet.Start("keeper-1"))
	bench.logs("keeper-1", `"number":1041`)
	assert.NilError(t, bench.fleet.WaitReady(wide, "keeper-1"))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		again, fault := reader.Open(within, bench.fleet.Daemons["lantern-2"].Caller)
		if fault != nil {
			return poll.Continue("%v", fault)
		}
		defer again.Close()
		resumed, fault := reader.Subscribe(within, again, nil, answer.Cursor)
		if fault != nil || resumed.Status != 200 {
			return poll.Continue("%v %+v", fault, resumed)
		}
		assert.Equal(t, resumed.Missed, 20)
		return poll.Success()
	}, poll.WithTimeout(wide))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		_, output := bench.command("dahlialock", "placement", "-ctl", bench.fleet.Daemons["pilot-2"].Control)
		if strings.Contains(output, "false") || !strings.Contains(output, "true") {
			return poll.Continue("not all strands are complete")
		}
		return poll.Success()
	}, poll.WithTimeout(wide))
}

func (bench *bench) retires() {
	t := bench.t
	code, output := bench.command("dahlialock", "keeper", "-wait", "40s", "-ctl", bench.fleet.Daemons["tender-1"].Control, "retire", "keeper-2")
	assert.Equal(t, code, 0, output)
	code, output = bench.command("dahlialock", "placement", "-json", "-ctl", bench.fleet.Daemons["pilot-3"].Control)
	assert.Equal(t, code, 0, output)
	var got struct {
		Strands []struct {
			First, Understudy string
			Complete          bool
		}
	}
	assert.NilError(t, json.Unmarshal([]byte(output), &got))
	assert.Equal(t, len(got.Strands), 9)
	for _, each := range got.Strands {
		assert.Assert(t, each.Complete && each.First != "keeper-2" && each.Understudy != "keeper-2", "%+v", each)
	}
	code, output = bench.command("dahlialock", "keeper", "-ctl", bench.fleet.Daemons["tender-1"].Control, "retire", "keeper-1")
	assert.Equal(t, code, 3, "with too few left: %s", output)
	code, output = bench.command("dahlialock", "keeper", "-ctl", bench.fleet.Daemons["tender-3"].Control, "retire", "lantern-1")
	assert.Equal(t, code, 3, "no keeper: %s", output)
	code, output = bench.command("dahlialock", "keeper", "-ctl", bench.fleet.Daemons["tender-1"].Control, "retire", "keeper-9")
	assert.Equal(t, code, 3, output)
	code, output = bench.command("dahlialock", "cohort", "-ctl", "127.0.0.1:9")
	assert.Equal(t, code, 1, "nobody there: %s", output)
}
