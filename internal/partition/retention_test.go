package partition

import (
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
	assert.Equal(t, store.sharedRetention(at(0)), config.DefaultRetentionTime)
	apply(at(0), document(1, `{"name": "a", "promise": "kept", "order": "topic", "holding": "90s"}, `+
		`{"name": "b", "promise": "kept", "order": "channel", "holding": "5m"}`))
	assert.Equal(t, store.sharedRetention(at(0)), 90*time.Second)
	apply(at(10), document(2, `{"name": "a", "promise": "kept", "order": "topic", "holding": "20s"}`))
	assert.Equal(t, store.sharedRetention(at(11)), 90*time.Second, "after the retention was shortened")
	apply(at(20), document(3, ``))
	assert.Equal(t, store.sharedRetention(at(309)), 90*time.Second, "after the space was removed")
	assert.Equal(t, store.sharedRetention(at(311)), config.DefaultRetentionTime)
}
