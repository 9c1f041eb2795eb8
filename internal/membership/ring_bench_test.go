package membership

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkSetView measures SetView, which computes the watchers of every member.
func BenchmarkSetView(b *testing.B) {
	for _, size := range []int{100, 1000, 4300} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			view := map[string]Member{}
			for number := range size {
				name := fmt.Sprintf("store-%d", number)
				view[name] = Member{
					Name:    name,
					Kind:    KindStore,
					Address: name + ":1",
					Zone:    fmt.Sprintf("zone-%d", number%3),
					Alive:   true,
				}
			}
			detector := NewFailureDetector(view["store-1"])
			now := time.Unix(1_700_000_000, 0)
			detector.Start(now)
			for b.Loop() {
				detector.SetView(now, view, 1)
			}
		})
	}
}
