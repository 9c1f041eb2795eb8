package decisionlog

// Step is the kind of a decision. Its text is served at ctl.
type Step string

// Steps of a gateway, in the order of a publication's path, and of a store.
const (
	// StepRefresh: a policy requested a newer view before it decided.
	StepRefresh Step = "look"
	// StepRejected: a policy rejected a request.
	StepRejected Step = "refused"
	// StepAdmitted: all policies admitted a publication.
	StepAdmitted Step = "judged"
	// StepAppend: a publication was sent to the leader of its partition.
	StepAppend Step = "append"
	// StepAccepted: a store acknowledged a record that all its replicas have.
	StepAccepted Step = "accepted"
	// StepNotAppended: a store rejected an append.
	StepNotAppended Step = "not-kept"
	// StepAppended: a gateway received the response to an append.
	StepAppended Step = "kept"
	// StepFannedOut: copies of a record were sent to the gateways of its subscribers.
	StepFannedOut Step = "fanned-out"
	// StepResponded: the response to a request was sent.
	StepResponded Step = "answered"
	// StepWaiting: a record waits for earlier records.
	StepWaiting Step = "waits"
	// StepRepaired: a missing record was fetched.
	StepRepaired Step = "repaired"
	// StepDelivered: a message was delivered to a session.
	StepDelivered Step = "delivered"

	// StepSubscribing: a subscription waits for the overlay.
	StepSubscribing Step = "joining"
	// StepSessionOpened, StepSessionClosed and StepSessionMoved: a session was opened,
	// closed, or moved to another gateway.
	StepSessionOpened Step = "channel-opened"
	StepSessionClosed Step = "channel-closed"
	StepSessionMoved  Step = "moved"
	// StepConfiguration: a configuration took effect on a gateway.
	StepConfiguration Step = "configuration"
)
