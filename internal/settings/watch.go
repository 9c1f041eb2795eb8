package settings

import (
	"os"
	"path/filepath"
	"time"

	"github.com/fsnotify/fsnotify"
)

// pollInterval is how often the file is read where the system can't notify of
// changes.
const pollInterval = time.Second

// fileState is what a settings file contained when it was read. States are
// compared to see whether a file has changed, so that one that stays missing or
// faulty is reported once; whether a content is valid is up to Load.
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

// Watch returns a channel that receives whenever the settings file may have
// changed since it was loaded, for as long as the process runs. It uses the
// system's notifications, or polls where there are none.
func (l *Loader) Watch() <-chan struct{} {
	if l.path == "" {
		return make(chan struct{})
	}
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		return l.Poll(time.NewTicker(pollInterval).C)
	}
	// The directory is watched, since editors replace the file.
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

// Poll is Watch by reading the file at each tick, until the channel of ticks is
// closed. A change is one from the last load before the call, or from the tick before.
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

// notify sends unless a notification is already pending.
func notify(changed chan<- struct{}) {
	select {
	case changed <- struct{}{}:
	default:
	}
}
