// A primary that hears nobody and is heard by all: it must let another take over, and
// go on itself where none can.
package consensus

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// deafPrimary makes the primary deaf and gives how long it takes until another one
// serves; the old one then comes back and must agree.
func deafPrimary(t trial, seed uint64, tolerance int) time.Duration {
	t.Helper()
	bench := settledFleet(t, seed, tolerance)
	primary := bench.named(bench.serving().watch.Record().Primary)
	primary.deaf = true
	bench.run(2 * time.Second)
	took := bench.until(6*time.Second, "another serves", func() bool { return bench.serving() != nil && bench.serving() != primary })
	bench.submit(4 * time.Second)
	primary.deaf = false
	bench.until(8*time.Second, "the deaf one learns of it", func() bool {
		return primary.watch.Record().Epoch == bench.serving().watch.Record().Epoch
	})
	bench.submit(4 * time.Second)
	return took
}

func TestADeafPrimaryLetsAnotherTakeOver(t *testing.T) {
	for tolerance := 1; tolerance <= 2; tolerance++ {
		for seed := range uint64(8) {
			t.Run(fmt.Sprint(tolerance, "-", seed), func(t *testing.T) {
				t.Parallel()
				deafPrimary(t, seed, tolerance)
			})
		}
	}
}

// Where all backups are gone for longer than any quiet, the primary serves soon after
// it hears the witnesses again: it must not wait for a takeover that nobody can do.
func TestADeafPrimaryGoesOnWhereNobodyCanTakeOver(t *testing.T) {
	for seed := range uint64(8) {
		bench := settledFleet(t, seed, 1)
		record := bench.serving().watch.Record()
		primary, backup := bench.named(record.Primary), bench.named(record.Backups[0])
		backup.kill()
		primary.deaf = true
		bench.run(20 * time.Second)
		primary.deaf = false
		took := bench.until(8*time.Second, "the primary serves again", func() bool { return bench.serving() == primary })
		assert.Check(t, took < 6*time.Second, "seed %d: %s", seed, took)
		backup.start()
		bench.submit(8 * time.Second)
	}
}
