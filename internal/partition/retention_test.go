package partition

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/config"
	"dahlialock/internal/membership"
)

func TestStoreKeepsLongerRetentionThatWasTakenBack(t *testing.T) {
	self := membership.Member{Name: "store", Kind: membership.KindStore, Address: "store"}
	store, err := New(Settings{Self: self, Seeds: []string{"controller"}, NewDisk: "disk"}, nil, nil)
	assert.NilError(t, err)
	apply := func(now time.Time, body []byte) {
		store.view.Document = body
		store.applyConfiguration(now)
	}
	assert.Equal(t, store.sharedRetention(at(0)).records, config.DefaultRetentionTime)
	apply(at(0), document(1, `{"name": "a", "promise": "kept", "order": "topic", "holding": "90s"}, `+
		`{"name": "b", "promise": "kept", "order": "channel", "holding": "5m"}`))
	assert.Equal(t, store.sharedRetention(at(0)).records, 90*time.Second)
	apply(at(10), document(2, `{"name": "a", "promise": "kept", "order": "topic", "holding": "20s"}`))
	assert.Equal(t, store.sharedRetention(at(11)).records, 90*time.Second, "after the retention was shortened")
	apply(at(20), document(3, ``))
	assert.Equal(t, store.sharedRetention(at(309)).records, 90*time.Second, "after the space was removed")
	assert.Equal(t, store.sharedRetention(at(311)).records, config.DefaultRetentionTime)
}

func TestStoreKeepsLongerTailSpanThatWasTakenBack(t *testing.T) {
	self := membership.Member{Name: "store", Kind: membership.KindStore, Address: "store"}
	store, err := New(Settings{Self: self, Seeds: []string{"controller"}, NewDisk: "disk"}, nil, nil)
	assert.NilError(t, err)
	apply := func(now time.Time, version int, promise, responseTimeout string) {
		store.view.Document = document(version, fmt.Sprintf(
			`{"name": "a", "promise": %q, "order": "topic", "holding": "90s", "answer_within": %q}`,
			promise, responseTimeout))
		store.applyConfiguration(now)
	}
	spanAt := func(now time.Time) time.Duration { return store.sharedRetention(now).tailSpan }
	assert.Equal(t, spanAt(at(0)), tailSpan(minResponseTimeout))
	apply(at(0), 1, "kept", "4s")
	assert.Equal(t, spanAt(at(0)), tailSpan(4*time.Second))
	apply(at(10), 2, "kept", "1500ms")
	assert.Equal(t, spanAt(at(11)), tailSpan(4*time.Second), "after the timeout was shortened")
	assert.Equal(t, spanAt(at(311)), tailSpan(1500*time.Millisecond))
	apply(at(400), 3, "kept", "10m")
	assert.Equal(t, spanAt(at(400)), tailSpan(90*time.Second), "the retention is the limit")
}
