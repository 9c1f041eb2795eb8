// Identities of requests between processes. Links hold messages for up to two
// seconds and dial anew, and a process that is started again counts from the
// beginning, so that a number alone may name a request of an earlier life of the
// same process. A request is named by the life that asks and a number in it.

package statemachine

// Life names one run of a process. It is drawn at random when the process starts.
type Life uint64

// RequestID names a request so that no request of another life, be it of the same
// daemon or of another one, has the same name. The zero value names none.
type RequestID struct {
	_      struct{} `cbor:",toarray"`
	Life   Life
	Number uint64
}

// FirstNumber is where a life begins to number requests of which there are so many
// that a whole RequestID in each would cost too much. The numbers of two lives that
// follow one another lie apart but for once in about a million restarts at a
// thousand requests a second, since links hold messages for two seconds at most.
func (l Life) FirstNumber() uint64 {
	if Mutated("lives-alike") {
		return 0
	}
	return uint64(uint32(l>>32) ^ uint32(l))
}

// Named tells whether it names a request.
func (r RequestID) Named() bool { return r.Number > 0 }

// Requests names the requests of one life.
type Requests struct {
	life Life
	last uint64
}

// NewRequests begins to name the requests of a life.
func NewRequests(life Life) Requests {
	if Mutated("lives-alike") {
		life = 0
	}
	return Requests{life: life}
}

// Next names another request.
func (r *Requests) Next() RequestID {
	r.last++
	return r.Last()
}

// Last is the newest request that was named.
func (r *Requests) Last() RequestID {
	return RequestID{Life: r.life, Number: r.last}
}

// Own gives the number of a request of this life; false for any other request.
func (r *Requests) Own(request RequestID) (uint64, bool) {
	return request.Number, request.Life == r.life && request.Named()
}
