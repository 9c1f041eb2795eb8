package transport

import "testing"

func TestKindCountersCountByName(t *testing.T) {
	sums := newKindCounters()
	sums.add(preamble{}, 12)
	sums.add(preamble{}, 30)
	sums.add("no message", 99)
	counts := sums.counts()
	if len(counts) != 1 || counts["transport.preamble"] != (KindCount{Messages: 2, Bytes: 42}) {
		t.Fatalf("counted %v", counts)
	}
}
