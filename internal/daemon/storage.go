package daemon

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	"dahlialock/internal/logevent"
	"dahlialock/internal/statemachine"
	"dahlialock/internal/wal"
)

const (
	lockFileName = "lock"
	lockFileMode = 0o644
	// randomBytes is how many are drawn for a name or an incarnation.
	randomBytes = 8
)

// openDisk locks and opens the data directory; the log is nil for a daemon without
// a data directory. A damaged directory is put aside, so that the replica is rebuilt from
// others.
func (p *process) openDisk() (*wal.Log, StoredState, error) {
	stored := StoredState{
		NewDisk:     hex.EncodeToString(mustRandom()),
		Incarnation: statemachine.Incarnation(binary.BigEndian.Uint64(mustRandom())),
	}
	path := p.settings.DataDir
	if path == "" {
		return nil, stored, nil
	}
	folder, err := wal.OpenFileFolder(path)
	if err != nil {
		return nil, stored, err
	}
	if err := lockDirectory(path); err != nil {
		return nil, stored, err
	}
	log, recovered, err := p.openLog(folder)
	if errorx.IsOfType(err, wal.ErrDamaged) {
		p.logger.Report(logevent.DiskDamaged, "error", err.Error())
		if err := wal.Quarantine(folder); err != nil {
			return nil, stored, err
		}
		log, recovered, err = p.openLog(folder)
	}
	if err != nil {
		return nil, stored, err
	}
	if recovered.TornBytes > 0 {
		p.logger.Report(logevent.TornTailTruncated, "bytes", recovered.TornBytes)
	}
	stored.Snapshot, stored.Entries = recovered.Snapshot, recovered.Entries
	return log, stored, nil
}

// openLog opens the log, and retries for as long as the disk has errors.
func (p *process) openLog(folder wal.Folder) (*wal.Log, wal.Recovered, error) {
	for attempt := 0; ; attempt++ {
		log, recovered, err := wal.Open(folder)
		if !errorx.IsOfType(err, wal.ErrDisk) {
			return log, recovered, err
		}
		if attempt%diskReportEvery == 0 {
			p.logger.Report(logevent.DiskWriteFailed, "error", err.Error(), "tries", attempt+1)
		}
		time.Sleep(diskRetryInterval)
	}
}

// lockFiles are kept open for as long as the process runs, since their locks end
// with them.
var lockFiles []*os.File

// lockDirectory ensures that no other process uses a data directory.
func lockDirectory(path string) error {
	file, err := os.OpenFile(filepath.Join(path, lockFileName), os.O_RDWR|os.O_CREATE, lockFileMode)
	if err != nil {
		return err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return wal.ErrDisk.New("another process has locked %s", path)
	}
	lockFiles = append(lockFiles, file)
	return nil
}

// mustRandom returns random bytes; state machines get all their randomness as
// inputs, drawn here as the process starts.
func mustRandom() []byte {
	var body [randomBytes]byte
	if _, err := rand.Read(body[:]); err != nil {
		panic(err)
	}
	return body[:]
}
