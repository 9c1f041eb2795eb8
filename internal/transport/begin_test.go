// What comes in before all of a transport stands.

package transport

import "testing"

// Whoever starts at the same time may name itself as soon as the listener stands, and
// before the dialling loop does.
func TestAPeerMayNameItselfBeforeTheDiallingLoopStands(_ *testing.T) {
	opening := &Transport{tended: map[string]*link{}}
	opening.present("127.0.0.1:1")
}
