package lightship

import (
	"fmt"
	"runtime"
	"time"

	"dahlialock/internal/beacon"
	"dahlialock/internal/flare"
	"dahlialock/internal/helm"
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
	news := beacon.News{For: "lantern-1", Nonce: 1, Epoch: 1, Primary: "pilot-1:1", Index: 1, Changed: true}
	for number := range count {
		first, second := fmt.Sprintf("keeper-%d", number%430), fmt.Sprintf("keeper-%d", (number+7)%430)
		news.Placements = append(news.Placements, beacon.Placement{
			Strand: fmt.Sprintf("+~0/%d", number), Epoch: 1, First: first, Understudies: []string{second}, Complete: true,
			Safe: []string{first + "@disk1", second + "@disk2"},
		})
	}
	frame, fault := flare.Encode(helm.Meta{From: "pilot-1:1"}, news)
	if fault != nil {
		return rows, fault
	}
	news.Placements = nil
	rows.Wire = int64(len(frame))
	follower := beacon.NewFollower(beacon.Member{Name: "lantern-1"}, []string{"pilot-1:1"}, func() beacon.Load { return beacon.Load{} })
	now := time.Unix(1_700_000_000, 0)
	follower.Start(now)
	var effects helm.Effects
	follower.Due(now, &effects)
	before := heap()
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var clock meter
	began := clock.Clock()
	_, message, fault := flare.Decode(frame[4:])
	if fault != nil {
		return rows, fault
	}
	taken := follower.Take(now, message.(beacon.News))
	rows.Taking = clock.Clock() - began
	message = nil
	rows.Memory = heap() - before
	if !taken.View || len(follower.Places) != count {
		return rows, fmt.Errorf("%d of %d placements were taken", len(follower.Places), count)
	}
	runtime.KeepAlive(frame)
	return rows, nil
}
