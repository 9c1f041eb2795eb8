// A Tenure is one pilot's hold on a single duty that is not the primary's own,
// such as the economy. It is granted by a majority of the roster, counted from
// the moment of asking with a tenth off, and checked before every act.
package watchbill

import (
	"time"
)

// Tenure is the asker's side of a duty.
type Tenure struct {
	duty    string
	nonce   uint64
	askedAt time.Time
	need    int
	givers  map[string]bool
	until   time.Time
}

// NewTenure registers a duty that this pilot may come to hold.
func (watch *Watch) NewTenure(duty string) *Tenure {
	tenure := &Tenure{duty: duty, givers: map[string]bool{}}
	watch.tenures[duty] = tenure
	return tenure
}

func (tenure *Tenure) ask(now time.Time, need int) DutyAsk {
	tenure.nonce++
	tenure.askedAt, tenure.need = now, need
	tenure.givers = map[string]bool{}
	return DutyAsk{Duty: tenure.duty, Nonce: tenure.nonce}
}

func (tenure *Tenure) given(name string, nonce uint64) {
	if name == "" || nonce != tenure.nonce {
		return
	}
	tenure.givers[name] = true
	if len(tenure.givers) >= tenure.need {
		tenure.until = tenure.askedAt.Add(TenureLength * 9 / 10)
	}
}

// Held tells whether the duty may be done at this moment.
func (tenure *Tenure) Held(now time.Time) bool {
	return now.Before(tenure.until)
}
