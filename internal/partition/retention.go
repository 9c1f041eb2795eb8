package partition

import (
	"slices"
	"strings"
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/statemachine"
)

func (s *Store) applyRetention(now time.Time) {
	s.timers.Arm("trim", now.Add(retentionInterval))
	for name, partition := range statemachine.Sorted(s.replicas) {
		space, _, _ := strings.Cut(name, "~")
		holding := s.configuration.Spaces[space].Holding
		if config.IsShared(name) {
			holding = s.sharedRetention(now)
		}
		if statemachine.Mutated("short-history") {
			partition.log.expireDefault(now, -RetentionMargin+time.Second)
			continue
		}
		partition.log.expire(now, max(holding, config.DefaultHolding), max(dedupWindow, 3*s.settings.RedeliveryWindow))
	}
}

// supersededRetention is how long messages were held by a configuration that is no
// longer in force, and until when that still counts.
type supersededRetention struct {
	retention time.Duration
	expiresAt time.Time
}

// applyConfiguration notes for how long shared partitions hold their messages: as
// long as any routed space in force asks for, and as any that was in force when
// a message came that may still be asked for.
func (s *Store) applyConfiguration(now time.Time) {
	s.configuration, _ = config.Read(s.view.Document)
	longest := config.DefaultHolding
	for _, space := range s.configuration.Spaces {
		if space.Order == config.OrderTopic && space.Retention == config.Durable {
			longest = max(longest, space.Holding)
		}
	}
	if longest < s.retention {
		s.supersededRetentions = append(s.supersededRetentions, supersededRetention{retention: s.retention, expiresAt: now.Add(max(s.retention, minRetentionMemory))})
	}
	s.retention = longest
}

// sharedRetention is how long shared partitions hold their messages at present.
func (s *Store) sharedRetention(now time.Time) time.Duration {
	s.supersededRetentions = slices.DeleteFunc(s.supersededRetentions, func(past supersededRetention) bool { return now.After(past.expiresAt) })
	longest := max(s.retention, config.DefaultHolding)
	for _, past := range s.supersededRetentions {
		longest = max(longest, past.retention)
	}
	return longest
}
