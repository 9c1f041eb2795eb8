package fairway

import (
	"time"

	"dahlialock/internal/helm"
)

func (fairway *Fairway) Tell(now time.Time, plane, topic string, count int, effects *helm.Effects) {}
func (fairway *Fairway) Reach(now time.Time, plane, topic string, then func(now time.Time, effects *helm.Effects, settled bool), effects *helm.Effects) {
	if then != nil {
		then(now, effects, true)
	}
}
func (fairway *Fairway) Listeners(plane, topic string) []string { return nil }
func (fairway *Fairway) Presence(plane, topic string) int       { return 0 }
