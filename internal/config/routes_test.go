// Routes: the longest prefix decides, and what can't lead anywhere is refused.
package config

import (
	"math/rand/v2"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const routed = `{"version":3,"annex":"as sent","subscriptions_each":7,
 "spaces":[{"name":"a","promise":"kept","order":"topic","holding":"20s","urgency":2},{"name":"b","promise":"passing","order":"topic"},
  {"name":"c","promise":"kept"}],
 "routes":[{"prefix":"x.","space":"a"},{"prefix":"x.y","space":"b"},{"prefix":"z","space":"a"}]}`

func TestLongestPrefixDecides(t *testing.T) {
	configuration, faults := Read([]byte(routed))
	assert.Equal(t, len(faults), 0)
	assert.Equal(t, configuration.Annotation, "as sent")
	assert.Equal(t, configuration.SubscriptionsPerSession, 7)
	assert.Equal(t, configuration.Spaces["a"].Priority, 2)
	assert.Equal(t, configuration.Spaces["a"].Partitions(), 0)
	for topic, wanted := range map[string]string{"x.1": "a", "x.y1": "b", "x.y": "b", "z": "a", "x": "", "y": "", "": ""} {
		space, found := configuration.SpaceForTopic(topic)
		assert.Equal(t, space, wanted, "topic %q", topic)
		assert.Equal(t, found, wanted != "")
	}
}

func TestRoutesAgainstAnChecker(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	word := func(most int) string {
		var text strings.Builder
		for range random.IntN(most) {
			text.WriteByte("ab."[random.IntN(3)])
		}
		return text.String()
	}
	for range 300 {
		configuration := Configuration{}
		prefixes := map[string]string{}
		for range 1 + random.IntN(8) {
			prefixes[word(5)] = word(3)
		}
		var reader Reader
		document := []string{}
		spaces := map[string]Space{}
		for prefix, space := range prefixes {
			spaces[space] = Space{Order: OrderTopic}
			document = append(document, `{"prefix":"`+prefix+`","space":"`+space+`"}`)
		}
		value, whole := reader.Parse([]byte("[" + strings.Join(document, ",") + "]"))
		assert.Assert(t, whole)
		configuration.Routes = reader.routes("$", value, spaces)
		assert.Equal(t, len(reader.Faults), 0, "%v", reader.Faults)
		topic := word(8)
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

func TestFaultyRoutesAreRefused(t *testing.T) {
	for change, code := range map[string]string{
		`"prefix":"z"|"prefix":"x."`:      "duplicate-prefix",
		`"prefix":"z"|"prefix":"z z"`:     "bad-prefix",
		`"z","space":"a"|"z","space":"q"`: "dangling-name",
		`"z","space":"a"|"z","space":"c"`: "clash",
		`"z","space":"a"|"z"`:             "missing",
		`"urgency":2|"urgency":-2`:        "out-of-range",
	} {
		before, after, _ := strings.Cut(change, "|")
		assert.Assert(t, strings.Contains(routed, before))
		_, faults := Read([]byte(strings.Replace(routed, before, after, 1)))
		assert.Equal(t, len(faults), 1, "%s: %v", change, faults)
		assert.Equal(t, faults[0].Code, code)
	}
}

func TestSharedPartitionsAreSpread(t *testing.T) {
	count := map[string]int{}
	for number := range 3200 {
		name := SharedPartition("topic." + strings.Repeat("k", number%7) + string(rune('a'+number%26)) + string(rune('0'+number%10)) + string(rune(0x100+number)))
		assert.Assert(t, IsShared(name))
		count[name]++
	}
	assert.Equal(t, len(count), SharedPartitions)
}
