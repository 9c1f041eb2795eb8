package settings

import (
	"os"
	"path/filepath"
	"time"

	"github.com/fsnotify/fsnotify"
)

// pollInterval is the interval at which the file is read if the system can't notify of
// changes.
const pollInterval = time.Second

// fileState is the content of a settings file at the time of a read. States are compared
// to detect changes, so a file that stays missing or faulty is reported once. Load checks
// whether the content is valid.
type fileState struct {
	body    string
	missing bool
}

func readFile(path string) fileState {
	body, err := os.ReadFile(path)
	if err != nil {
		return fileState{missing: true}
	}
	return fileState{body: string(body)}
}

// Watch returns a channel that receives a value whenever the settings file may have
// changed since it was loaded, for as long as the process runs. It uses the system's
// file notifications, or polls if they are not available.
func (l *Loader) Watch() <-chan struct{} {
	if l.path == "" {
		return make(chan struct{})
	}
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		return l.Poll(time.NewTicker(pollInterval).C)
	}
	// The directory is watched, since editors replace the file instead of writing to it.
	if err := watcher.Add(filepath.Dir(l.path)); err != nil {
		_ = watcher.Close()
		return l.Poll(time.NewTicker(pollInterval).C)
	}
	changed := make(chan struct{}, 1)
	go func() {
		for event := range watcher.Events {
			if filepath.Base(event.Name) == filepath.Base(l.path) && event.Op != fsnotify.Chmod {
				notify(changed)
			}
		}
	}()
	return changed
}

// Poll does the same as Watch by reading the file at each tick, until the channel of ticks
// is closed. At the first tick it compares the file with the state of the last load before
// the call, then with the state at the previous tick.
func (l *Loader) Poll(ticks <-chan time.Time) <-chan struct{} {
	changed := make(chan struct{}, 1)
	path, last := l.path, l.loaded
	go func() {
		for range ticks {
			if current := readFile(path); current != last {
				last = current
				notify(changed)
			}
		}
	}()
	return changed
}

// notify sends a notification unless one is already pending.
func notify(changed chan<- struct{}) {
	select {
	case changed <- struct{}{}:
	default:
	}
}
