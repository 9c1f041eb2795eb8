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

// retentionPolicy is how long the records of a partition are kept.
type retentionPolicy struct {
	// records is the minimum age at which a record is dropped.
	records time.Duration
	// tailSpan distinguishes the superseded records of a tail (see tailLimits).
	tailSpan time.Duration
}

// longest returns the policy that keeps all records that either policy keeps.
func (p retentionPolicy) longest(other retentionPolicy) retentionPolicy {
	return retentionPolicy{records: max(p.records, other.records), tailSpan: max(p.tailSpan, other.tailSpan)}
}

// supersededRetention is the policy of an earlier configuration that kept records for longer, and
// the time until which it stays in effect.
type supersededRetention struct {
	policy    retentionPolicy
	expiresAt time.Time
}

// sharedRetentionOf returns the policy of a configuration for shared partitions: they retain
// records for the longest retention of all durable spaces that are ordered by topic.
func sharedRetentionOf(configuration config.Configuration) retentionPolicy {
	policy := retentionPolicy{records: config.DefaultRetentionTime}
	longestTimeout := minResponseTimeout
	for _, space := range configuration.Spaces {
		longestTimeout = max(longestTimeout, space.ResponseTimeout)
		if space.Order == config.OrderTopic && space.Retention == config.Durable {
			policy.records = max(policy.records, space.RetentionTime)
		}
	}
	policy.tailSpan = tailSpan(min(longestTimeout, policy.records))
	return policy
}

// applyConfiguration applies the configuration of the view.
func (s *Store) applyConfiguration(now time.Time) {
	// Faults are ignored: the controllers only put documents without faults in force.
	s.configuration, _ = config.Read(s.view.Document)
	policy := sharedRetentionOf(s.configuration)
	if policy.longest(s.retention) != policy {
		s.supersededRetentions = append(s.supersededRetentions, supersededRetention{
			policy:    s.retention,
			expiresAt: now.Add(max(s.retention.records, minSupersededRetention)),
		})
	}
	s.retention = policy
}

// sharedRetention returns the current policy of shared partitions, without the margin that expire
// adds.
func (s *Store) sharedRetention(now time.Time) retentionPolicy {
	s.supersededRetentions = slices.DeleteFunc(s.supersededRetentions, func(superseded supersededRetention) bool {
		return now.After(superseded.expiresAt)
	})
	policy := s.retention.longest(sharedRetentionOf(config.Configuration{}))
	for _, superseded := range s.supersededRetentions {
		policy = policy.longest(superseded.policy)
	}
	return policy
}

// applyRetention drops the records that are older than the retention of their space, or than
// config.DefaultRetentionTime if that is longer, plus the margin that expire adds.
func (s *Store) applyRetention(now time.Time) {
	s.timers.Arm(timerRetention, now.Add(retentionInterval))
	for name, partition := range statemachine.Sorted(s.replicas) {
		space, _, _ := strings.Cut(name, "~")
		policy := retentionPolicy{records: max(s.configuration.Spaces[space].RetentionTime, config.DefaultRetentionTime)}
		if config.IsShared(name) {
			policy = s.sharedRetention(now)
		}
		if statemachine.Mutated("short-history") {
			partition.log.expire(now, retentionPolicy{records: -retentionMargin + time.Second, tailSpan: noTail}, dedupWindow)
			continue
		}
		window := max(dedupWindow, 3*s.settings.RedeliveryWindow)
		partition.log.expire(now, policy, window)
	}
	s.limitTails(now, s.sharedRetention(now).tailSpan)
}
