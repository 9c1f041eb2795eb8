package partition

import (
	"slices"
	"strings"
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/statemachine"
)

const (
	// retentionInterval is how often records are dropped.
	retentionInterval = 5 * time.Second
	// minRetentionMemory is for how long at least a longer retention counts on once it was
	// taken back, so that a space that comes again finds its records.
	minRetentionMemory = 5 * time.Minute
)

// supersededRetention is a longer retention of an earlier configuration, and until when it
// still counts.
type supersededRetention struct {
	retention time.Duration
	expiresAt time.Time
}

// applyConfiguration takes the configuration of the view. Shared partitions retain records
// for as long as any durable space that is ordered by topic asks for.
func (s *Store) applyConfiguration(now time.Time) {
	// Faults are left out: the controllers put only documents without any in force.
	s.configuration, _ = config.Read(s.view.Document)
	longest := config.DefaultRetentionTime
	for _, space := range s.configuration.Spaces {
		if space.Order == config.OrderTopic && space.Retention == config.Durable {
			longest = max(longest, space.RetentionTime)
		}
	}
	if longest < s.retention {
		s.supersededRetentions = append(s.supersededRetentions, supersededRetention{
			retention: s.retention,
			expiresAt: now.Add(max(s.retention, minRetentionMemory)),
		})
	}
	s.retention = longest
}

// sharedRetention is for how long shared partitions retain records at present, apart from the
// margin of expire.
func (s *Store) sharedRetention(now time.Time) time.Duration {
	s.supersededRetentions = slices.DeleteFunc(s.supersededRetentions, func(superseded supersededRetention) bool {
		return now.After(superseded.expiresAt)
	})
	longest := max(s.retention, config.DefaultRetentionTime)
	for _, superseded := range s.supersededRetentions {
		longest = max(longest, superseded.retention)
	}
	return longest
}

// applyRetention drops what is older than the retention of its space, or than
// config.DefaultRetentionTime if that is longer, and the margin of expire.
func (s *Store) applyRetention(now time.Time) {
	s.timers.Arm(timerRetention, now.Add(retentionInterval))
	for name, partition := range statemachine.Sorted(s.replicas) {
		space, _, _ := strings.Cut(name, "~")
		retention := s.configuration.Spaces[space].RetentionTime
		if config.IsShared(name) {
			retention = s.sharedRetention(now)
		}
		if statemachine.Mutated("short-history") {
			partition.log.expire(now, -retentionMargin+time.Second, dedupWindow)
			continue
		}
		window := max(dedupWindow, 3*s.settings.RedeliveryWindow)
		partition.log.expire(now, max(retention, config.DefaultRetentionTime), window)
	}
}
