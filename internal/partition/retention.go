package partition

import (
	"slices"
	"strings"
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/statemachine"
)

const (
	// retentionInterval is how often expired records are dropped.
	retentionInterval = 5 * time.Second
	// minSupersededRetention is the minimum time for which a longer retention stays in effect
	// after the configuration reduced it, so that a space that is removed and added again finds
	// its records.
	minSupersededRetention = 5 * time.Minute
)

// supersededRetention is a longer retention of an earlier configuration, and the time until which
// it stays in effect.
type supersededRetention struct {
	retention time.Duration
	expiresAt time.Time
}

// applyConfiguration applies the configuration of the view. Shared partitions retain records for
// the longest retention of all durable spaces that are ordered by topic.
func (s *Store) applyConfiguration(now time.Time) {
	// Faults are ignored: the controllers only put documents without faults in force.
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
			expiresAt: now.Add(max(s.retention, minSupersededRetention)),
		})
	}
	s.retention = longest
}

// sharedRetention returns the current retention of shared partitions, without the margin that
// expire adds.
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

// applyRetention drops the records that are older than the retention of their space, or than
// config.DefaultRetentionTime if that is longer, plus the margin that expire adds.
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
