// A fixed handful of seeds of every scenario, judged by the oracle, and the
// proof that a seed is one run: the same seed gives the same trace.
package swell

import (
	"fmt"
	"hash/fnv"
	"testing"

	"gotest.tools/v3/assert"
)

func TestSeedsAreReproducible(t *testing.T) {
	scenario, found := Find("pairs")
	assert.Assert(t, found)
	var sums [2]uint64
	var lines [2][]string
	for round := range 2 {
		sum := fnv.New64a()
		Run(scenario, 3, Small, func(line string) {
			_, _ = fmt.Fprintln(sum, line)
			lines[round] = append(lines[round], line)
		})
		sums[round] = sum.Sum64()
	}
	for position := range lines[0] {
		if position >= len(lines[1]) || lines[0][position] != lines[1][position] {
			t.Fatalf("the runs part at line %d: %q and %q", position, lines[0][position], lines[1][position])
		}
	}
	assert.Equal(t, sums[0], sums[1])
}
