// Identities of requests between processes. Links hold messages for up to two
// seconds and dial anew, and a process that is started again counts from the
// beginning, so that a number alone may name a request of an earlier life of the
// same process. A request is named by the life that asks and a number in it.

package statemachine

// Incarnation names one run of a process. It is drawn at random when the process starts.
type Incarnation uint64

// RequestID names a request so that no request of another life, be it of the same
// daemon or of another one, has the same name. The zero value names none.
type RequestID struct {
	_           struct{} `cbor:",toarray"`
	Incarnation Incarnation
	Number      uint64
}

// FirstRequestNumber is where a life begins to number requests of which there are so many
// that a whole RequestID in each would cost too much. The numbers of two lives that
// follow one another lie apart but for once in about a million restarts at a
// thousand requests a second, since links hold messages for two seconds at most.
func (l Incarnation) FirstRequestNumber() uint64 {
	if Mutated("lives-alike") {
		return 0
	}
	return uint64(uint32(l>>32) ^ uint32(l))
}

// IsSet tells whether it names a request.
func (r RequestID) IsSet() bool { return r.Number > 0 }

// RequestSequence names the requests of one life.
type RequestSequence struct {
	incarnation Incarnation
	last        uint64
}

// NewRequestSequence begins to name the requests of a life.
func NewRequestSequence(incarnation Incarnation) RequestSequence {
	if Mutated("lives-alike") {
		incarnation = 0
	}
	return RequestSequence{incarnation: incarnation}
}

// Next names another request.
func (r *RequestSequence) Next() RequestID {
	r.last++
	return r.Last()
}

// Last is the newest request that was named.
func (r *RequestSequence) Last() RequestID {
	return RequestID{Incarnation: r.incarnation, Number: r.last}
}

// NumberOf gives the number of a request of this life; false for any other request.
func (r *RequestSequence) NumberOf(request RequestID) (uint64, bool) {
	return request.Number, request.Incarnation == r.incarnation && request.IsSet()
}
