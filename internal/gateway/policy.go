package gateway

import (
	"fmt"
	"strings"
	"time"

	"dahlialock/internal/statemachine"
)

// RequestKind is the operation that a request asks for.
type RequestKind string

// Kinds of requests that the policies evaluate.
const (
	RequestPublish   RequestKind = "publish"
	RequestSubscribe RequestKind = "subscribe"
	RequestCount     RequestKind = "count"
)

// PolicyRequest is the part of a request that the policies evaluate.
type PolicyRequest struct {
	Kind   RequestKind
	Client string
	Sender string
	Space  string
	// Paths are the interests of a subscription.
	Paths []Interest
	Topic string
	Seq   uint64
	Data  []byte
	// Refreshed is set if the configuration has already been refreshed for this request.
	Refreshed bool
	// Routed is set if the space was found by the routes. Its topics are plain names, not paths.
	Routed bool
	// Gateway is the gateway that evaluates the request.
	Gateway *Gateway
}

// Verdict is the decision of a policy.
type Verdict struct {
	Allowed bool
	// NeedsRefresh is set if the configuration must be refreshed before the rejection is final.
	NeedsRefresh bool
	// Reply is the answer if the request is not allowed.
	Reply Reply
}

var allowed = Verdict{Allowed: true}

// Policy evaluates requests. Policies run in a fixed order; evaluation stops at the first policy that
// does not allow the request.
type Policy interface {
	Name() string
	Evaluate(now time.Time, request *PolicyRequest) Verdict
}

// standardPolicies returns the policies of a gateway, in the order of their evaluation.
func standardPolicies() []Policy {
	return []Policy{
		servingPolicy{},
		senderPolicy{},
		topicPolicy{},
		spacePolicy{},
		rightsPolicy{},
		sizePolicy{},
		newRatePolicy(),
	}
}

// authorize evaluates the policies in order and reports whether all of them allow the request. It
// calls answer if a policy rejects the request. If a newer configuration may change the decision, it
// refreshes the configuration and calls retry.
func (g *Gateway) authorize(
	now time.Time,
	request *PolicyRequest,
	requestName string,
	retry func(now time.Time, effects *statemachine.Effects),
	answer func(Reply),
) bool {
	request.Gateway = g
	for _, policy := range g.policies {
		verdict := policy.Evaluate(now, request)
		if verdict.Allowed {
			continue
		}
		if verdict.NeedsRefresh && !request.Refreshed {
			g.ring.Record(now, requestName, "", request.Client, "look", "policy", policy.Name(), "space", request.Space)
			g.refreshThen(now, retry)
			return false
		}
		g.ring.Record(now, requestName, g.messageNameOf(request), request.Client, "refused",
			"policy", policy.Name(),
			"code", verdict.Reply.Code,
		)
		answer(verdict.Reply)
		return false
	}
	return true
}

// servingPolicy rejects requests while the gateway must not serve.
type servingPolicy struct{}

func (servingPolicy) Name() string { return "serving" }

func (servingPolicy) Evaluate(now time.Time, request *PolicyRequest) Verdict {
	gateway := request.Gateway
	switch {
	case gateway.stopping && (!request.Routed || !gateway.servesWhileStopping(now)):
		return Verdict{Reply: rejectedReply(503, CodeStopping, "this daemon is stopping", retryShortDelay)}
	case gateway.newerVersion > gateway.viewClient.Version:
		return Verdict{
			NeedsRefresh: true,
			Reply:        rejectedReply(503, CodeBehind, "this daemon is catching up with the configuration", retryShortDelay),
		}
	case !gateway.Confirmed(now):
		return Verdict{
			Reply: rejectedReply(503, CodeUnconfirmed, "this daemon can't confirm its configuration", retryLongDelay),
		}
	}
	return allowed
}

// senderPolicy rejects publications under the name of another client.
type senderPolicy struct{}

func (senderPolicy) Name() string { return "sender" }

func (senderPolicy) Evaluate(_ time.Time, request *PolicyRequest) Verdict {
	if request.Kind == RequestPublish && request.Sender != request.Client {
		return Verdict{Reply: rejectedReply(403, CodeWrongSender, "a client may publish only under its own name", 0)}
	}
	return allowed
}

// topicPolicy rejects malformed topics.
type topicPolicy struct{}

func (topicPolicy) Name() string { return "topic" }

func (topicPolicy) Evaluate(_ time.Time, request *PolicyRequest) Verdict {
	if request.Routed {
		if request.Kind == RequestPublish && !ValidRoutedTopic(request.Topic) ||
			len(request.Paths) > 0 && !ValidRoutedTopic(request.Paths[0].Path) {
			return Verdict{Reply: rejectedReply(400, CodeBadTopic, "a routed topic must be a name without blanks", 0)}
		}
		return allowed
	}
	if request.Kind == RequestPublish && !ValidTopic(request.Topic) {
		return Verdict{Reply: rejectedReply(400, CodeBadTopic, "a topic must be a path of non-empty parts", 0)}
	}
	for _, interest := range request.Paths {
		if !ValidTopic(interest.Path) && (!interest.Prefix || interest.Path != "") {
			return Verdict{Reply: rejectedReply(400, CodeBadTopic, "a topic must be a path of non-empty parts", 0)}
		}
	}
	return allowed
}

// ValidRoutedTopic reports whether a name may be a routed topic: up to 256 bytes without blanks and
// control characters.
func ValidRoutedTopic(name string) bool {
	if name == "" || len(name) > 256 {
		return false
	}
	for _, character := range name {
		if character < 0x21 || character == 0x7f || character == 0xfffd {
			return false
		}
	}
	return true
}

// ValidTopic reports whether a path may be a topic: up to 256 bytes and 16 non-empty parts,
// without blanks and control characters.
func ValidTopic(path string) bool {
	if path == "" || len(path) > 256 || strings.HasPrefix(
		path,
		"/",
	) || strings.HasSuffix(path, "/") || strings.Contains(path, "//") {
		return false
	}
	for _, character := range path {
		if character < 0x21 || character == 0x7f || character == 0xfffd {
			return false
		}
	}
	return strings.Count(path, "/") < 16
}

// spacePolicy rejects requests for spaces that are not in the configuration, after a refresh.
type spacePolicy struct{}

func (spacePolicy) Name() string { return "space" }

func (spacePolicy) Evaluate(_ time.Time, request *PolicyRequest) Verdict {
	for _, name := range request.spaces() {
		if _, found := request.Gateway.spaces[name]; !found {
			return Verdict{
				NeedsRefresh: true,
				Reply:        rejectedReply(404, CodeNoSuchSpace, fmt.Sprintf("no space is named %q", name), 0),
			}
		}
	}
	return allowed
}

// spaces returns the names of the spaces of the request.
func (pr *PolicyRequest) spaces() []string {
	if pr.Kind == RequestPublish {
		return []string{pr.Space}
	}
	var names []string
	for _, interest := range pr.Paths {
		names = append(names, interest.Space)
	}
	return names
}

// rightsPolicy rejects clients that the space does not permit to publish or subscribe.
type rightsPolicy struct{}

func (rightsPolicy) Name() string { return "rights" }

func (rightsPolicy) Evaluate(_ time.Time, request *PolicyRequest) Verdict {
	for _, name := range request.spaces() {
		space := request.Gateway.spaces[name].space
		if request.Kind == RequestPublish && !space.MayPublish(request.Sender) ||
			request.Kind == RequestSubscribe && !space.MaySubscribe(request.Client) {
			return Verdict{
				Reply: rejectedReply(
					403,
					CodeNotAllowed,
					fmt.Sprintf("the space %q does not let this origin %s", name, request.Kind),
					0,
				),
			}
		}
	}
	return allowed
}

// sizePolicy rejects publications with too much data or with a sequence below 1.
type sizePolicy struct{}

func (sizePolicy) Name() string { return "size" }

func (sizePolicy) Evaluate(_ time.Time, request *PolicyRequest) Verdict {
	if request.Kind != RequestPublish {
		return allowed
	}
	if maxBytes := request.Gateway.spaces[request.Space].space.DataBytes; len(request.Data) > maxBytes {
		return Verdict{
			Reply: rejectedReply(413, CodeTooLarge, fmt.Sprintf("%d bytes exceed the limit %d", len(request.Data), maxBytes), 0),
		}
	}
	if request.Seq == 0 {
		return Verdict{Reply: rejectedReply(400, CodeBadSequence, "seq must be at least 1", 0)}
	}
	return allowed
}

// ratePolicy limits the publications per second to each space. They are counted per gateway and per
// second of the clock.
type ratePolicy struct {
	second map[string]int64
	count  map[string]int
}

func newRatePolicy() *ratePolicy {
	return &ratePolicy{second: map[string]int64{}, count: map[string]int{}}
}

func (*ratePolicy) Name() string { return "rate" }

func (rp *ratePolicy) Evaluate(now time.Time, request *PolicyRequest) Verdict {
	if request.Kind != RequestPublish {
		return allowed
	}
	maxRate := request.Gateway.spaces[request.Space].space.PublicationsPerSecond
	if maxRate == 0 {
		return allowed
	}
	if second := now.Unix(); rp.second[request.Space] != second {
		rp.second[request.Space], rp.count[request.Space] = second, 0
	}
	if rp.count[request.Space] >= maxRate {
		retryAfter := now.Truncate(time.Second).Add(time.Second).Sub(now)
		return Verdict{Reply: rejectedReply(429, CodeRateExceeded, "the space's rate is used up", retryAfter)}
	}
	rp.count[request.Space]++
	return allowed
}
