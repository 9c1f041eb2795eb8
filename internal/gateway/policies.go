// Every request passes policies: plug-ins behind one interface, in a fixed order.
// A policy lets a request pass, refuses it with its final answer, or asks for one
// look at the news before it judges again.

package gateway

import (
	"fmt"
	"strings"
	"time"

	"dahlialock/internal/statemachine"
)

// Judged is a request as the policies see it.
type Judged struct {
	Kind   string
	Origin string
	Sender string
	Space  string
	Paths  []Interest
	Topic  string
	Seq    uint64
	Data   []byte
	Looked bool
	// Routed tells that the space was found by the routes: its topics are plain
	// names.
	Routed  bool
	Gateway *Gateway
}

// Verdict is what a policy says.
type Verdict struct {
	Pass   bool
	Look   bool
	Answer Answer
}

var pass = Verdict{Pass: true}

// Policy judges requests.
type Policy interface {
	Name() string
	Judge(now time.Time, request *Judged) Verdict
}

func standardPolicies() []Policy {
	return []Policy{servingPolicy{}, senderPolicy{}, topicPolicy{}, spacePolicy{}, rightsPolicy{}, sizePolicy{}, newRatePolicy()}
}

// judge asks all policies in turn; look is called where news may help.
func (g *Gateway) judge(now time.Time, request *Judged, requestName string, retry func(now time.Time, effects *statemachine.Effects), answer func(Answer)) bool {
	request.Gateway = g
	for _, policy := range g.policies {
		verdict := policy.Judge(now, request)
		if verdict.Pass {
			continue
		}
		if verdict.Look && !request.Looked {
			g.ring.Record(now, requestName, "", request.Origin, "look", "policy", policy.Name(), "space", request.Space)
			g.look(now, retry)
			return false
		}
		g.ring.Record(now, requestName, g.messageOf(request), request.Origin, "refused", "policy", policy.Name(), "code", verdict.Answer.Code)
		answer(verdict.Answer)
		return false
	}
	return true
}

type servingPolicy struct{}

func (servingPolicy) Name() string { return "serving" }

func (servingPolicy) Judge(now time.Time, request *Judged) Verdict {
	gateway := request.Gateway
	switch {
	case gateway.stopping && (!request.Routed || !gateway.servesOn(now)):
		return Verdict{Answer: refused(503, "stopping", "this daemon is stopping", comeBackSoon)}
	case gateway.behind > gateway.follower.Version:
		return Verdict{Look: true, Answer: refused(503, "behind", "this daemon is catching up with the configuration", comeBackSoon)}
	case !gateway.Confirmed(now):
		return Verdict{Answer: refused(503, "unconfirmed", "this daemon can't confirm its configuration", comeBackLater)}
	}
	return pass
}

type senderPolicy struct{}

func (senderPolicy) Name() string { return "sender" }

func (senderPolicy) Judge(_ time.Time, request *Judged) Verdict {
	if request.Kind == "publish" && request.Sender != request.Origin {
		return Verdict{Answer: refused(403, "wrong-sender", "an origin publishes under its own name only", 0)}
	}
	return pass
}

type topicPolicy struct{}

func (topicPolicy) Name() string { return "topic" }

func (topicPolicy) Judge(_ time.Time, request *Judged) Verdict {
	if request.Routed {
		if request.Kind == "publish" && !FitRouted(request.Topic) || len(request.Paths) > 0 && !FitRouted(request.Paths[0].Path) {
			return Verdict{Answer: refused(400, "bad-topic", "a routed topic is a name without blanks", 0)}
		}
		return pass
	}
	if request.Kind == "publish" && !FitTopic(request.Topic) {
		return Verdict{Answer: refused(400, "bad-topic", "a topic is a path of parts that are not empty", 0)}
	}
	for _, interest := range request.Paths {
		if !FitTopic(interest.Path) && (!interest.Wide || interest.Path != "") {
			return Verdict{Answer: refused(400, "bad-topic", "a topic is a path of parts that are not empty", 0)}
		}
	}
	return pass
}

// FitRouted tells whether a name may be a routed topic.
func FitRouted(name string) bool {
	if name == "" || len(name) > 256 {
		return false
	}
	for _, letter := range name {
		if letter < 0x21 || letter == 0x7f || letter == 0xfffd {
			return false
		}
	}
	return true
}

// FitTopic tells whether a path may be a topic.
func FitTopic(path string) bool {
	if path == "" || len(path) > 256 || strings.HasPrefix(path, "/") || strings.HasSuffix(path, "/") || strings.Contains(path, "//") {
		return false
	}
	for _, letter := range path {
		if letter < 0x21 || letter == 0x7f || letter == 0xfffd {
			return false
		}
	}
	return strings.Count(path, "/") < 16
}

type spacePolicy struct{}

func (spacePolicy) Name() string { return "space" }

func (spacePolicy) Judge(_ time.Time, request *Judged) Verdict {
	for _, name := range request.spaces() {
		if _, found := request.Gateway.spaces[name]; !found {
			return Verdict{Look: true, Answer: refused(404, "no-such-space", fmt.Sprintf("no space is named %q", name), 0)}
		}
	}
	return pass
}

func (j *Judged) spaces() []string {
	if j.Kind == "publish" {
		return []string{j.Space}
	}
	var names []string
	for _, interest := range j.Paths {
		names = append(names, interest.Space)
	}
	return names
}

type rightsPolicy struct{}

func (rightsPolicy) Name() string { return "rights" }

func (rightsPolicy) Judge(_ time.Time, request *Judged) Verdict {
	for _, name := range request.spaces() {
		space := request.Gateway.spaces[name].space
		if request.Kind == "publish" && !space.MayPublish(request.Sender) || request.Kind == "subscribe" && !space.MaySubscribe(request.Origin) {
			return Verdict{Answer: refused(403, "not-allowed", fmt.Sprintf("the space %q does not let this origin %s", name, request.Kind), 0)}
		}
	}
	return pass
}

type sizePolicy struct{}

func (sizePolicy) Name() string { return "size" }

func (sizePolicy) Judge(_ time.Time, request *Judged) Verdict {
	if request.Kind != "publish" {
		return pass
	}
	if most := request.Gateway.spaces[request.Space].space.DataBytes; len(request.Data) > most {
		return Verdict{Answer: refused(413, "too-large", fmt.Sprintf("%d bytes are more than %d", len(request.Data), most), 0)}
	}
	if request.Seq == 0 {
		return Verdict{Answer: refused(400, "bad-seq", "a seq begins at 1", 0)}
	}
	return pass
}

// ratePolicy lets a space's publications pass at the rate it allows, counted
// on this gateway in whole seconds.
type ratePolicy struct {
	second map[string]int64
	count  map[string]int
}

func newRatePolicy() *ratePolicy {
	return &ratePolicy{second: map[string]int64{}, count: map[string]int{}}
}

func (*ratePolicy) Name() string { return "rate" }

func (rp *ratePolicy) Judge(now time.Time, request *Judged) Verdict {
	if request.Kind != "publish" {
		return pass
	}
	most := request.Gateway.spaces[request.Space].space.PublicationsPerSecond
	if most == 0 {
		return pass
	}
	if second := now.Unix(); rp.second[request.Space] != second {
		rp.second[request.Space], rp.count[request.Space] = second, 0
	}
	if rp.count[request.Space] >= most {
		back := now.Truncate(time.Second).Add(time.Second).Sub(now)
		return Verdict{Answer: refused(429, "too-many", "the space's rate is used up", back)}
	}
	rp.count[request.Space]++
	return pass
}
