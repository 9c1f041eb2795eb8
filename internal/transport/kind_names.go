package transport

import "reflect"

// kindNames has the names of message types by number, as the ctl endpoint and the log
// show them with the counters. Operators' tools depend on these names, so they don't
// change when a type is renamed.
var kindNames = map[uint16]string{
	1:   "transport.preamble",
	100: "consensus.Hello",
	101: "consensus.RecallAsk",
	102: "consensus.RecallResponse",
	103: "consensus.Prepare",
	104: "consensus.Promise",
	105: "consensus.Accept",
	106: "consensus.Accepted",
	107: "consensus.Decided",
	108: "consensus.Renew",
	109: "consensus.Grant",
	110: "consensus.Append",
	111: "consensus.AppendResponse",
	112: "consensus.Frame",
	113: "consensus.FrameResponse",
	114: "consensus.Confirm",
	115: "consensus.ConfirmResponse",
	116: "consensus.DutyAsk",
	117: "consensus.DutyResponse",
	118: "consensus.Yield",
	119: "consensus.Leave",
	120: "consensus.LeaveResponse",
	300: "membership.Ask",
	301: "membership.News",
	302: "membership.Redirect",
	303: "membership.Heartbeat",
	304: "membership.Suspicion",
	305: "membership.ConfigAsk",
	306: "membership.ConfigResponse",
	307: "membership.Farewell",
	308: "membership.PartitionComplete",
	309: "membership.ControlRequest",
	310: "membership.ControlResponse",
	311: "membership.Lagging",
	400: "overlay.Signals",
	500: "partition.Append",
	501: "partition.AppendResponse",
	502: "partition.Copy",
	503: "partition.CopyResponse",
	504: "partition.Frame",
	505: "partition.Fetch",
	506: "partition.FetchResponse",
	507: "partition.Follow",
	508: "partition.Heads",
	509: "partition.SenderAsk",
	510: "partition.SenderResponse",
	511: "partition.FetchTopics",
	512: "partition.FetchTopicsResponse",
	600: "gateway.Carry",
	601: "gateway.Pass",
	602: "gateway.RoutedCopy",
}

// KindName returns the name of a message type's number, as operators see it. If the
// number isn't in kindNames, it is the name of the Go type.
func KindName(number uint16) string {
	if name, found := kindNames[number]; found {
		return name
	}
	return typeNameOf(typeOfNumber[number])
}

func typeNameOf(kind reflect.Type) string {
	if kind == nil {
		return ""
	}
	return kind.String()
}
