package gateway

// publicationReply returns the answer that a client gets to a publication. A rejection that invites a
// retry promises that the message was not appended and never will be, and the client then sends it under a
// new sequence number. A gateway that turns a publication away for the moment can't promise that: an
// earlier attempt with the same number may have reached a store over another connection, from another
// gateway or from an earlier run of either, and may still be accepted. Only the leader's log decides
// (CodeSequenceStale). Until it does, the outcome is unsettled.
func publicationReply(reply Reply) Reply {
	if reply.Outcome == OutcomeRejected && reply.RetryAfter > 0 {
		reply.Outcome = OutcomeUnsettled
	}
	return reply
}
