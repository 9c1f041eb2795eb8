package decisionlog

// Step is the kind of a decision. Its text is served at ctl.
type Step string

// Steps of a gateway, in the order of a publication's path, and of a store.
const (
	// StepRefresh: a policy had the view refreshed before it decided.
	StepRefresh Step = "look"
	// StepRejected: a policy rejected a request.
	StepRejected Step = "refused"
	// StepAdmitted: all policies admitted a publication.
	StepAdmitted Step = "judged"
	// StepAppend: a publication was sent to the leader of its partition.
	StepAppend Step = "append"
	// StepAccepted: a store acknowledged a record, which all its replicas have.
	StepAccepted Step = "accepted"
	// StepNotAppended: a store rejected an append.
	StepNotAppended Step = "not-kept"
	// StepAppended: a gateway received the response to an append.
	StepAppended Step = "kept"
	// StepFannedOut: copies were sent to the gateways of subscribers.
	StepFannedOut Step = "fanned-out"
	// StepResponded: a request was responded to.
	StepResponded Step = "answered"
	// StepWaiting: a record waits for those before it.
	StepWaiting Step = "waits"
	// StepRepaired: a record that was missing was fetched.
	StepRepaired Step = "repaired"
	// StepDelivered: a message was delivered to a session.
	StepDelivered Step = "delivered"

	// StepSubscribing: a subscription waits for the overlay.
	StepSubscribing Step = "joining"
	// StepSessionOpened, StepSessionClosed and StepSessionMoved are of a session;
	// one is moved to another gateway.
	StepSessionOpened Step = "channel-opened"
	StepSessionClosed Step = "channel-closed"
	StepSessionMoved  Step = "moved"
	// StepConfiguration: a configuration came into force on a gateway.
	StepConfiguration Step = "configuration"
)
