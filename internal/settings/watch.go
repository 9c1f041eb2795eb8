// How a daemon notices that its settings file has changed. The system's notices
// of changes are used where there are any. Where there are none, the file's
// content is looked at each second, and a change is told when the content
// differs from what was seen last: a file that stays missing or faulty is told
// once. Whether a content is any good is judged by Read alone.

package settings

import (
	"os"
	"path/filepath"
	"time"

	"github.com/fsnotify/fsnotify"
)

const lookEvery = time.Second

// content is what a settings file held when it was looked at.
type content struct {
	body    string
	missing bool
}

func look(path string) content {
	body, err := os.ReadFile(path)
	if err != nil {
		return content{missing: true}
	}
	return content{body: string(body)}
}

// Watch tells on a channel whenever the settings file may have changed since it
// was read. There is always a way, so that the error is nil.
func (s *Loader) Watch() (<-chan struct{}, error) {
	if s.path == "" {
		return make(chan struct{}), nil
	}
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		return s.Poll(time.NewTicker(lookEvery).C), nil
	}
	if err := watcher.Add(filepath.Dir(s.path)); err != nil {
		_ = watcher.Close()
		return s.Poll(time.NewTicker(lookEvery).C), nil
	}
	changed := make(chan struct{}, 1)
	go func() {
		for event := range watcher.Events {
			if filepath.Base(event.Name) == filepath.Base(s.path) && event.Op != fsnotify.Chmod {
				tell(changed)
			}
		}
	}()
	return changed, nil
}

// Poll tells the same by looking at the file's content at each tick.
func (s *Loader) Poll(ticks <-chan time.Time) <-chan struct{} {
	changed := make(chan struct{}, 1)
	path, seen := s.path, s.seen
	go func() {
		for range ticks {
			if now := look(path); now != seen {
				seen = now
				tell(changed)
			}
		}
	}()
	return changed
}

func tell(changed chan<- struct{}) {
	select {
	case changed <- struct{}{}:
	default:
	}
}
