// What a view costs its taker: the watchers of every member are asked for.
package membership

import (
	"fmt"
	"testing"
	"time"
)

func BenchmarkTakeView(b *testing.B) {
	for _, size := range []int{100, 1000, 4300} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			view := map[string]Member{}
			for number := range size {
				name := fmt.Sprintf("store-%d", number)
				view[name] = Member{Name: name, Kind: KindStore, Address: name + ":1", Zone: fmt.Sprintf("zone-%d", number%3), Alive: true}
			}
			pulse := NewFailureDetector(view["store-1"])
			now := time.Unix(1_700_000_000, 0)
			pulse.Start(now)
			for b.Loop() {
				pulse.SetView(now, view, "store-0:1", 1)
			}
		})
	}
}
