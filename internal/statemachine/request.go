package statemachine

// Incarnation identifies one run of a process. It is chosen at random when the process
// starts, so it also distinguishes two runs of the same daemon. Incarnations have no
// order. Member.Incarnation of package membership is a different number, which increases
// with each run of a daemon.
type Incarnation uint64

// RequestID identifies a request between processes. Links buffer messages for up to
// two seconds, also while they reconnect, and a restarted process numbers its requests
// from the beginning, so a number alone could match a request of an earlier incarnation.
// The zero value identifies no request.
type RequestID struct {
	_           struct{} `cbor:",toarray"`
	Incarnation Incarnation
	Number      uint64
}

// FirstRequestNumber returns the number at which an incarnation starts to number those
// requests that contain only a number, as they are too frequent for a complete RequestID
// in each. Links buffer messages for two seconds at most, so at a thousand requests per
// second the ranges of two successive incarnations overlap about once in a million
// restarts.
func (i Incarnation) FirstRequestNumber() uint64 {
	if Mutated("lives-alike") {
		return 0
	}
	return uint64(uint32(i>>32) ^ uint32(i))
}

// IsSet reports whether r identifies a request.
func (r RequestID) IsSet() bool { return r.Number > 0 }

// RequestSequence issues the RequestIDs of one incarnation.
type RequestSequence struct {
	incarnation Incarnation
	last        uint64
}

// NewRequestSequence returns a sequence that has not issued a RequestID yet.
func NewRequestSequence(incarnation Incarnation) RequestSequence {
	if Mutated("lives-alike") {
		incarnation = 0
	}
	return RequestSequence{incarnation: incarnation}
}

// Next issues the next RequestID.
func (s *RequestSequence) Next() RequestID {
	s.last++
	return s.Last()
}

// Last returns the RequestID that was issued last.
func (s *RequestSequence) Last() RequestID {
	return RequestID{Incarnation: s.incarnation, Number: s.last}
}

// NumberOf returns the number of a request of this incarnation, or false for a request
// of another incarnation.
func (s *RequestSequence) NumberOf(request RequestID) (uint64, bool) {
	return request.Number, request.Incarnation == s.incarnation && request.IsSet()
}
