package scaletest

import (
	"fmt"
	"runtime"
	"time"

	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

// Rows is what a table of placements costs whoever takes it.
type Rows struct {
	Count int
	// Wire is the news that tells all of them, Memory what a follower then holds, Taking
	// the processor time of decoding and taking it.
	Wire, Memory int64
	Taking       time.Duration
}

// MeasureRows lets a follower take a view with so many placements, of two copies each.
func MeasureRows(count int) (Rows, error) {
	rows := Rows{Count: count}
	news := membership.ViewUpdate{Recipient: "gateway-1", Nonce: 1, Epoch: 1, Primary: "controller-1:1", Index: 1, Changed: true}
	for number := range count {
		first, second := fmt.Sprintf("store-%d", number%430), fmt.Sprintf("store-%d", (number+7)%430)
		news.Placements = append(news.Placements, membership.Placement{
			Partition: fmt.Sprintf("+~0/%d", number), Epoch: 1, Leader: first, Followers: []string{second}, Complete: true,
			InSync: []string{first + "@disk1", second + "@disk2"},
		})
	}
	frame, err := transport.Encode(statemachine.Meta{From: "controller-1:1"}, news)
	if err != nil {
		return rows, err
	}
	news.Placements = nil
	rows.Wire = int64(len(frame))
	follower := membership.NewViewClient(membership.Member{Name: "gateway-1"}, 0, []string{"controller-1:1"}, func() membership.Load { return membership.Load{} })
	now := time.Unix(1_700_000_000, 0)
	follower.Start(now)
	var effects statemachine.Effects
	follower.Tick(now, &effects)
	before := heap()
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var clock meter
	began := clock.Clock()
	_, message, err := transport.Decode(frame[4:])
	if err != nil {
		return rows, err
	}
	taken := follower.HandleUpdate(now, message.(membership.ViewUpdate))
	rows.Taking = clock.Clock() - began
	rows.Memory = heap() - before
	if !taken.View || len(follower.Placements) != count {
		return rows, fmt.Errorf("%d of %d placements were taken", len(follower.Placements), count)
	}
	runtime.KeepAlive(frame)
	return rows, nil
}
