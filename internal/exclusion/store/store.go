// Package store keeps the book of exclusions in a file that all processes of one scheduler
// share: in $TMPDIR, which outlives a process replacement. A write goes to a file beside and is
// renamed over the old one, so that a reader finds the old whole file or the new one; writers
// take an flock of a file of its own. A file that cannot be read whole, is of another
// scheduler's name or of another version is ignored, and says why.
package store

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"wheatsaddle/internal/exclusion"
	"wheatsaddle/internal/interleave/sync"
)

const (
	version          = 1
	maxFileSize      = 1 << 20
	lockPollInterval = 2 * time.Millisecond
	maxLockAttempts  = 150 // 300 ms
)

// Store is the file of one scheduler's book.
type Store struct {
	Path     string
	Name     string // the scheduler's name, the same in all its processes
	lastSeen fs.FileInfo
	pid      int // 0: the process's
}

// InFolder is the store of a scheduler in a folder.
func InFolder(dir, name string) *Store {
	return &Store{Path: filepath.Join(dir, "wheatsaddle-exclusions.json"), Name: name}
}

type file struct {
	Version int    `json:"version"`
	Name    string `json:"name"`
	exclusion.State
}

// Read reads the book; a missing file is an empty book.
func (s *Store) Read() (exclusion.State, error) {
	empty := exclusion.State{Excluded: map[string]float64{}, Included: map[string]float64{}}
	sync.Point("open", s.Path)
	f, err := os.Open(s.Path)
	if errors.Is(err, fs.ErrNotExist) {
		return empty, nil
	}
	if err != nil {
		return empty, &FileError{s.Path, err}
	}
	defer f.Close()
	if info, err := f.Stat(); err == nil {
		s.lastSeen = info
	}
	sync.Point("read", s.Path)
	text, err := io.ReadAll(io.LimitReader(f, maxFileSize+1))
	if err != nil {
		return empty, &FileError{s.Path, err}
	}
	if len(text) > maxFileSize {
		return empty, &ForeignFileError{s.Path, fmt.Sprintf("over %d bytes", maxFileSize)}
	}
	var got file
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&got); err != nil {
		return empty, &ForeignFileError{s.Path, fmt.Sprintf("torn or not JSON (%v)", err)}
	}
	switch {
	case got.Version != version:
		return empty, &ForeignFileError{s.Path, fmt.Sprintf("version %d, this program reads %d", got.Version, version)}
	case got.Name != s.Name:
		return empty, &ForeignFileError{s.Path, fmt.Sprintf("of scheduler %q, this one is %q", got.Name, s.Name)}
	}
	for what, m := range map[string]map[string]float64{"excluded": got.Excluded, "included": got.Included} {
		for id, at := range m {
			if id == "" || math.IsNaN(at) || math.IsInf(at, 0) || at < 0 {
				return empty, &ForeignFileError{s.Path, fmt.Sprintf("%s: %q at %v", what, id, at)}
			}
		}
	}
	if got.Excluded == nil {
		got.Excluded = empty.Excluded
	}
	if got.Included == nil {
		got.Included = empty.Included
	}
	return got.State, nil
}

// Write replaces the book whole.
func (s *Store) Write(st exclusion.State) error {
	text, err := json.Marshal(file{Version: version, Name: s.Name, State: st})
	if err != nil {
		return &FileError{s.Path, err}
	}
	beside := s.Path + fmt.Sprintf(".%d~", cmp.Or(s.pid, os.Getpid()))
	sync.Point("create", beside)
	f, err := os.OpenFile(beside, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return &FileError{s.Path, err}
	}
	sync.Point("write", beside)
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err == nil {
		sync.Point("rename", s.Path)
		err = os.Rename(beside, s.Path)
	}
	if err != nil {
		os.Remove(beside)
		return &FileError{s.Path, err}
	}
	sync.Point("stat", s.Path)
	if info, err := os.Stat(s.Path); err == nil {
		s.lastSeen = info
	}
	return nil
}

// Changed says whether the file is another than the one last read or written here. A file
// that has gone is no change: the book held stays.
func (s *Store) Changed() bool {
	sync.Point("stat", s.Path)
	info, err := os.Stat(s.Path)
	if err != nil {
		return false
	}
	return s.lastSeen == nil || !os.SameFile(info, s.lastSeen) || !info.ModTime().Equal(s.lastSeen.ModTime()) || info.Size() != s.lastSeen.Size()
}

// Lock takes the writers' lock, waiting a little for another process; the func gives it back.
func (s *Store) Lock() (func(), error) {
	f, err := os.OpenFile(s.Path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, &FileError{s.Path, err}
	}
	for left := maxLockAttempts; ; left-- {
		sync.Point("flock", s.Path+".lock")
		err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return func() {
				sync.Point("unlock", s.Path+".lock")
				f.Close()
			}, nil
		}
		if !errors.Is(err, syscall.EWOULDBLOCK) || left == 0 {
			f.Close()
			return nil, &FileError{s.Path, fmt.Errorf("%s.lock: %w", s.Path, err)}
		}
		sync.PauseFor("unlock", s.Path+".lock", lockPollInterval)
	}
}
