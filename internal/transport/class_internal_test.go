package transport

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestClassExpiredForInterestAndCatchUpOnly(t *testing.T) {
	for class := range classCount {
		assert.Equal(t, class.Expired(maxQueueTime[ClassCatchUp]+time.Millisecond), class >= ClassInterest, "class %d", class)
	}
	assert.Assert(t, !ClassInterest.Expired(maxQueueTime[ClassInterest]))
}
