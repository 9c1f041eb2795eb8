package transport

import "testing"

// A peer that dials a process as it starts may name itself before that process has a
// dialling side.
func TestAPeerMayNameItselfBeforeTheDiallingSideStands(_ *testing.T) {
	(&Transport{}).present("10.0.0.1:7200")
}
