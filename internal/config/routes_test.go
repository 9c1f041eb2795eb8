package config

import (
	"math/rand/v2"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const routedDocument = `{"version":3,"annex":"as sent","subscriptions_each":7,
 "spaces":[{"name":"a","promise":"kept","order":"topic","holding":"20s","urgency":2},
  {"name":"b","promise":"passing","order":"topic"},{"name":"c","promise":"kept"}],
 "routes":[{"prefix":"x.","space":"a"},{"prefix":"x.y","space":"b"},{"prefix":"z","space":"a"}]}`

func TestSpaceForTopicPrefersTheLongestPrefix(t *testing.T) {
	configuration, faults := Read([]byte(routedDocument))
	assert.Equal(t, len(faults), 0)
	assert.Equal(t, configuration.Annotation, "as sent")
	assert.Equal(t, configuration.SubscriptionsPerSession, 7)
	assert.Equal(t, configuration.Spaces["a"].Priority, 2)
	assert.Equal(t, configuration.Spaces["a"].Partitions(), 0)
	for topic, wanted := range map[string]string{
		"x.1":  "a",
		"x.y1": "b",
		"x.y":  "b",
		"z":    "a",
		"x":    "",
		"y":    "",
		"":     "",
	} {
		space, found := configuration.SpaceForTopic(topic)
		assert.Equal(t, space, wanted, "topic %q", topic)
		assert.Equal(t, found, wanted != "")
	}
}

func TestSpaceForTopicAgainstLinearSearch(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	randomText := func(maximum int) string {
		var text strings.Builder
		for range random.IntN(maximum) {
			text.WriteByte("ab."[random.IntN(3)])
		}
		return text.String()
	}
	for range 300 {
		configuration := Configuration{}
		prefixes := map[string]string{}
		for range 1 + random.IntN(8) {
			prefixes[randomText(5)] = randomText(3)
		}
		var reader Reader
		document := []string{}
		spaces := map[string]Space{}
		for prefix, space := range prefixes {
			spaces[space] = Space{Order: OrderTopic}
			document = append(document, `{"prefix":"`+prefix+`","space":"`+space+`"}`)
		}
		value, valid := reader.Parse([]byte("[" + strings.Join(document, ",") + "]"))
		assert.Assert(t, valid)
		configuration.Routes = reader.routes("$", value, spaces)
		assert.Equal(t, len(reader.Faults), 0, "%v", reader.Faults)
		topic := randomText(8)
		wanted, longest := "", -1
		for prefix, space := range prefixes {
			if strings.HasPrefix(topic, prefix) && len(prefix) > longest {
				wanted, longest = space, len(prefix)
			}
		}
		space, found := configuration.SpaceForTopic(topic)
		assert.Equal(t, found, longest >= 0)
		assert.Equal(t, space, wanted)
	}
}

func TestReadReportsFaultyRoutes(t *testing.T) {
	for change, code := range map[string]FaultCode{
		`"prefix":"z"|"prefix":"x."`:      FaultDuplicatePrefix,
		`"prefix":"z"|"prefix":"z z"`:     FaultBadPrefix,
		`"z","space":"a"|"z","space":"q"`: FaultDanglingName,
		`"z","space":"a"|"z","space":"c"`: FaultConflict,
		`"z","space":"a"|"z"`:             FaultMissing,
		`"urgency":2|"urgency":-2`:        FaultOutOfRange,
	} {
		before, after, _ := strings.Cut(change, "|")
		assert.Assert(t, strings.Contains(routedDocument, before))
		_, faults := Read([]byte(strings.Replace(routedDocument, before, after, 1)))
		assert.Equal(t, len(faults), 1, "%s: %v", change, faults)
		assert.Equal(t, faults[0].Code, code)
	}
}

func TestSharedPartitionSpreadsTopics(t *testing.T) {
	count := map[string]int{}
	for number := range 3200 {
		letter, digit, accent := string(rune('a'+number%26)), string(rune('0'+number%10)), string(rune(0x100+number))
		name := SharedPartition("topic." + strings.Repeat("k", number%7) + letter + digit + accent)
		assert.Assert(t, IsShared(name))
		count[name]++
	}
	assert.Equal(t, len(count), SharedPartitions)
}
