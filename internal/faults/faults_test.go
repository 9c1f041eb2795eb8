// A formatted schedule parses to the same schedule, a drawn schedule has no clashing faults,
// and shortening ends with the faults that cause the failure.
package faults

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestStormsReadBackAndShorten(t *testing.T) {
	for seed := range uint64(200) {
		schedule := Draw(rand.New(rand.NewPCG(seed, 1)), Names, 30*time.Second, 12)
		read, err := Parse(Format(schedule))
		assert.NilError(t, err)
		assert.Equal(t, Format(read), Format(schedule))
		for position, left := range schedule {
			for _, right := range schedule[position+1:] {
				assert.Assert(t, !Clashes(left.Name, right.Name) || !overlap(left, right), "%s and %s", left, right)
			}
		}
		if len(schedule) < 3 {
			continue
		}
		needed := []Fault{schedule[0], schedule[2]}
		short := Shorten(schedule, func(schedule []Fault) bool {
			return slices.Contains(schedule, needed[0]) && slices.Contains(schedule, needed[1])
		})
		assert.Equal(t, Format(short), Format(needed))
	}
	for _, wrong := range []string{"no-such@1s+1s#1", "resets@x+1s#1", "resets@1s", "resets@1s+1s#-1"} {
		_, err := Parse(wrong)
		assert.Assert(t, err != nil, wrong)
	}
}
