package statemachine

// Incarnation identifies one run of a process. It is drawn at random when the
// process starts, so that it also tells apart two runs of the same daemon. It has no
// order; members are ordered by another number, which rises (Member.Incarnation of
// package membership).
type Incarnation uint64

// RequestID identifies a request between processes. Links hold messages for up to
// two seconds and are dialled anew, and a restarted process counts from the
// beginning, so a number alone could name a request of an earlier incarnation.
// The zero value identifies no request.
type RequestID struct {
	_           struct{} `cbor:",toarray"`
	Incarnation Incarnation
	Number      uint64
}

// FirstRequestNumber is where an incarnation begins to number those requests that
// are too many to carry a complete RequestID each. The ranges of two successive
// incarnations overlap about once in a million restarts at a thousand requests a
// second, since links hold messages for two seconds at most.
func (i Incarnation) FirstRequestNumber() uint64 {
	if Mutated("lives-alike") {
		return 0
	}
	return uint64(uint32(i>>32) ^ uint32(i))
}

// IsSet reports whether r identifies a request.
func (r RequestID) IsSet() bool { return r.Number > 0 }

// RequestSequence issues the request identities of one incarnation.
type RequestSequence struct {
	incarnation Incarnation
	last        uint64
}

// NewRequestSequence returns a sequence that has issued nothing yet.
func NewRequestSequence(incarnation Incarnation) RequestSequence {
	if Mutated("lives-alike") {
		incarnation = 0
	}
	return RequestSequence{incarnation: incarnation}
}

// Next issues another identity.
func (s *RequestSequence) Next() RequestID {
	s.last++
	return s.Last()
}

// Last returns the identity issued last.
func (s *RequestSequence) Last() RequestID {
	return RequestID{Incarnation: s.incarnation, Number: s.last}
}

// NumberOf returns the number of a request of this incarnation; false for a request
// of any other.
func (s *RequestSequence) NumberOf(request RequestID) (uint64, bool) {
	return request.Number, request.Incarnation == s.incarnation && request.IsSet()
}
