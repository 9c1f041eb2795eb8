package config_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"dahlialock/internal/config"
	"dahlialock/internal/storedforms"
)

// byKey returns the parsed value of each key of a configuration, one line per key.
func byKey(read config.Configuration) []string {
	lines := []string{
		fmt.Sprint("version ", read.Version), fmt.Sprint("drains ", read.Draining), fmt.Sprint("zones ", read.Zones),
		fmt.Sprintf("annex %q", read.Annotation), fmt.Sprint("subscriptions_each ", read.SubscriptionsPerSession),
		fmt.Sprint("economy.enabled ", read.Consolidation.Enabled),
		fmt.Sprint("economy.processor_weight ", read.Consolidation.ProcessorWeight),
		fmt.Sprint("economy.traffic_weight ", read.Consolidation.TrafficWeight),
		fmt.Sprint("economy.origins_each ", read.Consolidation.SessionsPerGateway),
		fmt.Sprint("economy.spare_gateways ", read.Consolidation.SpareGateways),
		fmt.Sprint("economy.quiet_for ", read.Consolidation.StabilizationWindow),
	}
	for _, link := range read.Links {
		lines = append(lines, fmt.Sprint("links from ", link.From, " to ", link.To, " delay ", link.Delay))
	}
	for _, route := range read.Routes {
		lines = append(lines, fmt.Sprint("routes prefix ", route.Prefix, " space ", route.Space))
	}
	for _, name := range slices.Sorted(maps.Keys(read.Spaces)) {
		lines = append(lines, spaceByKey(read.Spaces[name])...)
	}
	return lines
}

func spaceByKey(space config.Space) []string {
	return []string{
		fmt.Sprint("spaces.name ", space.Name), fmt.Sprint("spaces.promise ", space.Retention),
		fmt.Sprint("spaces.order ", space.Order), fmt.Sprint("spaces.holding ", space.RetentionTime),
		fmt.Sprint("spaces.tolerance ", space.Tolerance), fmt.Sprint("spaces.limits.data_bytes ", space.DataBytes),
		fmt.Sprint("spaces.limits.publications_per_second ", space.PublicationsPerSecond),
		fmt.Sprint("spaces.publishers ", space.Publishers), fmt.Sprint("spaces.subscribers ", space.Subscribers),
		fmt.Sprint("spaces.answer_within ", space.ResponseTimeout), fmt.Sprint("spaces.urgency ", space.Priority),
		fmt.Sprint("spaces.partitions ", space.Partitions()),
	}
}

// documents are a minimal document, one with every key, one with the other values of
// order, and faulty ones.
var documents = []string{
	`{"version": 1, "spaces": [{"name": "orders", "promise": "kept"}, {"name": "pulse", "promise": "passing"}]}`,
	`{"version": 9, "spaces": [{"name": "readings", "promise": "kept", "order": "topic", "holding": "40s", "tolerance": 1,
		"limits": {"data_bytes": 99, "publications_per_second": 7}, "publishers": ["a"], "subscribers": ["b*"],
		"answer_within": "2s", "urgency": 3}],
		"economy": {"enabled": true, "processor_weight": 2, "traffic_weight": 3, "origins_each": 4, "spare_gateways": 5,
		"quiet_for": "6s"}, "drains": ["gateway-1"], "zones": ["east", "west"],
		"links": [{"from": "east", "to": "west", "delay": "7ms"}],
		"routes": [{"prefix": "reading.", "space": "readings"}], "annex": "as sent", "subscriptions_each": 8}`,
	`{"version": 2, "spaces": [{"name": "board", "promise": "kept", "order": "channel"},
		{"name": "orders", "promise": "kept", "order": "sender"}]}`,
	`{}`,
	`{"version": 0, "version": 1, "no": 1, "spaces": [{"no": 1, "limits": {"no": 1}, "promise": "x", "order": "x"},
		{"name": "a b", "promise": "passing", "order": "channel", "holding": "1s", "tolerance": 1}, {"name": 3}],
		"economy": {"no": 1}, "zones": ["x", "x"], "links": [{"no": 1}, {"from": "n", "to": "m", "delay": "1s"}],
		"routes": [{"no": 1}, {"prefix": "", "space": "nobody"}], "drains": 3, "annex": 4, "subscriptions_each": "x"}`,
	`{"version": 1, "spaces": []} 1`,
}

func TestReadKeepsKeysAndDefaults(t *testing.T) {
	var lines []string
	for index, document := range documents {
		lines = append(lines, fmt.Sprintf("document %d, digest %x", index+1, config.DigestOf([]byte(document))))
		read, faults := config.Read([]byte(document))
		if len(faults) == 0 {
			lines = append(lines, byKey(read)...)
		}
		var faulty []string
		for _, fault := range faults {
			faulty = append(faulty, "faulty at "+fault.Path+", code "+string(fault.Code))
		}
		slices.Sort(faulty)
		lines = append(lines, faulty...)
	}
	storedforms.Compare(t, "forms.txt", lines)
}

func TestSharedPartitionKeepsNames(t *testing.T) {
	var lines []string
	for _, topic := range []string{"", "a", "reading.1", "reading.2", "a/b/c", "ø"} {
		lines = append(lines, fmt.Sprintf("%q number %d, partition %s",
			topic, config.TopicHash(topic), config.SharedPartition(topic)))
	}
	storedforms.Compare(t, "forms-partitions.txt", lines)
}
