// Every visit passes policies: plug-ins behind one interface, in a fixed order.
// A policy lets a visit pass, refuses it with its final answer, or asks for one
// look at the news before it judges again.
package lamp

import (
	"fmt"
	"strings"
	"time"

	"dahlialock/internal/helm"
)

// Judged is a visit as the policies see it.
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
	Lantern *Lantern
}

// Verdict is what a policy says.
type Verdict struct {
	Pass   bool
	Look   bool
	Answer Answer
}

var pass = Verdict{Pass: true}

// Policy judges visits.
type Policy interface {
	Name() string
	Judge(now time.Time, visit *Judged) Verdict
}

func standardPolicies() []Policy {
	return []Policy{servingPolicy{}, senderPolicy{}, topicPolicy{}, spacePolicy{}, rightsPolicy{}, sizePolicy{}, newRatePolicy()}
}

// judge asks all policies in turn; look is called where news may help.
func (lantern *Lantern) judge(now time.Time, visit *Judged, visitName string, retry func(now time.Time, effects *helm.Effects), answer func(Answer)) bool {
	visit.Lantern = lantern
	for _, policy := range lantern.policies {
		verdict := policy.Judge(now, visit)
		if verdict.Pass {
			continue
		}
		if verdict.Look && !visit.Looked {
			lantern.ring.Record(now, visitName, "", visit.Origin, "look", "policy", policy.Name(), "space", visit.Space)
			lantern.look(now, retry)
			return false
		}
		lantern.ring.Record(now, visitName, lantern.messageOf(visit), visit.Origin, "refused", "policy", policy.Name(), "code", verdict.Answer.Code)
		answer(verdict.Answer)
		return false
	}
	return true
}

type servingPolicy struct{}

func (servingPolicy) Name() string { return "serving" }

func (servingPolicy) Judge(now time.Time, visit *Judged) Verdict {
	lantern := visit.Lantern
	switch {
	case lantern.stopping && !(visit.Routed && lantern.servesOn(now)):
		return Verdict{Answer: refused(503, "stopping", "this daemon is stopping", comeBackSoon)}
	case lantern.behind > lantern.follower.Version:
		return Verdict{Look: true, Answer: refused(503, "behind", "this daemon is catching up with the configuration", comeBackSoon)}
	case !lantern.Confirmed(now):
		return Verdict{Answer: refused(503, "unconfirmed", "this daemon can't confirm its configuration", comeBackLater)}
	}
	return pass
}

type senderPolicy struct{}

func (senderPolicy) Name() string { return "sender" }

func (senderPolicy) Judge(_ time.Time, visit *Judged) Verdict {
	if visit.Kind == "publish" && visit.Sender != visit.Origin {
		return Verdict{Answer: refused(403, "wrong-sender", "an origin publishes under its own name only", 0)}
	}
	return pass
}

type topicPolicy struct{}

func (topicPolicy) Name() string { return "topic" }

func (topicPolicy) Judge(_ time.Time, visit *Judged) Verdict {
	if visit.Routed {
		if visit.Kind == "publish" && !FitRouted(visit.Topic) || len(visit.Paths) > 0 && !FitRouted(visit.Paths[0].Path) {
			return Verdict{Answer: refused(400, "bad-topic", "a routed topic is a name without blanks", 0)}
		}
		return pass
	}
	if visit.Kind == "publish" && !FitTopic(visit.Topic) {
		return Verdict{Answer: refused(400, "bad-topic", "a topic is a path of parts that are not empty", 0)}
	}
	for _, interest := range visit.Paths {
		if !FitTopic(interest.Path) && !(interest.Wide && interest.Path == "") {
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

func (spacePolicy) Judge(_ time.Time, visit *Judged) Verdict {
	for _, name := range visit.spaces() {
		if _, found := visit.Lantern.spaces[name]; !found {
			return Verdict{Look: true, Answer: refused(404, "no-such-space", fmt.Sprintf("no space is named %q", name), 0)}
		}
	}
	return pass
}

func (visit *Judged) spaces() []string {
	if visit.Kind == "publish" {
		return []string{visit.Space}
	}
	var names []string
	for _, interest := range visit.Paths {
		names = append(names, interest.Space)
	}
	return names
}

type rightsPolicy struct{}

func (rightsPolicy) Name() string { return "rights" }

func (rightsPolicy) Judge(_ time.Time, visit *Judged) Verdict {
	for _, name := range visit.spaces() {
		space := visit.Lantern.spaces[name].space
		if visit.Kind == "publish" && !space.MayPublish(visit.Sender) || visit.Kind == "subscribe" && !space.MaySubscribe(visit.Origin) {
			return Verdict{Answer: refused(403, "not-allowed", fmt.Sprintf("the space %q does not let this origin %s", name, visit.Kind), 0)}
		}
	}
	return pass
}

type sizePolicy struct{}

func (sizePolicy) Name() string { return "size" }

func (sizePolicy) Judge(_ time.Time, visit *Judged) Verdict {
	if visit.Kind != "publish" {
		return pass
	}
	if most := visit.Lantern.spaces[visit.Space].space.DataBytes; len(visit.Data) > most {
		return Verdict{Answer: refused(413, "too-large", fmt.Sprintf("%d bytes are more than %d", len(visit.Data), most), 0)}
	}
	if visit.Seq == 0 {
		return Verdict{Answer: refused(400, "bad-seq", "a seq begins at 1", 0)}
	}
	return pass
}

// ratePolicy lets a space's publications pass at the rate it allows, counted
// on this lantern in whole seconds.
type ratePolicy struct {
	second map[string]int64
	count  map[string]int
}

func newRatePolicy() *ratePolicy {
	return &ratePolicy{second: map[string]int64{}, count: map[string]int{}}
}

func (*ratePolicy) Name() string { return "rate" }

func (policy *ratePolicy) Judge(now time.Time, visit *Judged) Verdict {
	if visit.Kind != "publish" {
		return pass
	}
	most := visit.Lantern.spaces[visit.Space].space.PerSecond
	if most == 0 {
		return pass
	}
	if second := now.Unix(); policy.second[visit.Space] != second {
		policy.second[visit.Space], policy.count[visit.Space] = second, 0
	}
	if policy.count[visit.Space] >= most {
		back := now.Truncate(time.Second).Add(time.Second).Sub(now)
		return Verdict{Answer: refused(429, "too-many", "the space's rate is used up", back)}
	}
	policy.count[visit.Space]++
	return pass
}
