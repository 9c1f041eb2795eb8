package gateway

import "dahlialock/internal/partition"

// Codes of replies and of final events: why a request was not accepted, or a session ended. The values
// are part of the client protocol, and docs/api.md lists them. A store's code (see partition) is passed on
// in the answer to a publication.
const (
	// CodeStopping means that this daemon is shutting down.
	CodeStopping = "stopping"
	// CodeBehind means that another daemon has a newer configuration than this one.
	CodeBehind = "behind"
	// CodeUnconfirmed means that this daemon can't confirm that its configuration is the newest.
	CodeUnconfirmed = "unconfirmed"
	// CodeBusy rejects a session that the link of this machine can't serve yet.
	CodeBusy = "busy"
	// CodeFull rejects a session beyond the maximum number of sessions.
	CodeFull = "full"
	// CodeMoved means that the session was asked to move to another gateway.
	CodeMoved = "moved"
	// CodeNoSuchSession means that the session of the request is not open at this gateway.
	CodeNoSuchSession = "no-such-channel"

	// CodeNoSuchSpace means that no space, or no route, of the configuration matches the request.
	CodeNoSuchSpace = "no-such-space"
	// CodeSpaceRemoved ends a subscription whose space was removed.
	CodeSpaceRemoved = "space-removed"
	// CodeNotAllowed means that the space does not permit the client to publish or subscribe.
	CodeNotAllowed = "not-allowed"
	// CodeWrongSender rejects a publication under the name of another client.
	CodeWrongSender = "wrong-sender"
	// CodeBadTopic rejects a malformed topic.
	CodeBadTopic = "bad-topic"
	// CodeBadSequence rejects a sequence number below 1.
	CodeBadSequence = "bad-seq"
	// CodeSequenceReused and CodeSequenceStale reject a sequence number that was used for another message,
	// or that can't be accepted any more since a later one of the sender is.
	CodeSequenceReused = partition.CodeSequenceReused
	CodeSequenceStale  = partition.CodeSequenceStale
	// CodeTooLarge rejects a publication with too much data.
	CodeTooLarge = "too-large"

	// CodeRateExceeded means that the publication rate of the space is used up.
	CodeRateExceeded = "too-many"
	// CodeQueueFull means that too many publications of the sender wait.
	CodeQueueFull = "queue-full"
	// CodeEarlierUnaccepted means that an earlier publication of the sender has no accepted answer.
	CodeEarlierUnaccepted = "earlier-refused"
	// CodeNoAnswer means that no store has answered in time.
	CodeNoAnswer = "no-answer"
	// CodeNotPlaced means that the partitions of the space have no leaders yet.
	CodeNotPlaced = "not-placed"
	// CodePartitionMoving means that a partition of the space changes its leader.
	CodePartitionMoving = "partition-moving"
	// CodeOverlayUnstable means that the overlay doesn't know the destinations for certain.
	CodeOverlayUnstable = "no-neighbours"

	// CodeOneTopic rejects a request for several routed topics.
	CodeOneTopic = "one-topic"
	// CodeSubscriptionUnderway means that the same subscription is being taken up.
	CodeSubscriptionUnderway = "underway"
	// CodeUnsubscribed ends a subscription that was not confirmed before the client unsubscribed.
	CodeUnsubscribed = "unsubscribed"
	// CodeTooManySubscriptions rejects a subscription beyond the limit of the session.
	CodeTooManySubscriptions = "too-many-subscriptions"
	// CodeBadCursor rejects a cursor that is forged, damaged or of another layout.
	CodeBadCursor = "bad-cursor"
	// CodeOtherClient rejects a cursor that belongs to another client.
	CodeOtherClient = "other-origin"
	// CodeCursorExpired means that records after the cursor have expired.
	CodeCursorExpired = "place-lost"
)
