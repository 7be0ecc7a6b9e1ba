// Package store stores an operator's exclusions in a file that all processes of one scheduler share. The file is in $TMPDIR,
// so it survives the replacement of a process.
//
// Invariants:
//
//   - A reader finds either the complete old file or the complete new one, since a write creates another file and renames it.
//   - Writers exclude each other by an flock on a separate file.
//   - A file that is incomplete, of another scheduler or of another version is ignored, with a *ForeignFileError.
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
	maxFileSize      = 1 << 20 // bytes
	lockPollInterval = 2 * time.Millisecond
	maxLockAttempts  = 150 // 300 ms at lockPollInterval
)

// Store is the file of one scheduler. It must be used by one goroutine at a time.
type Store struct {
	Path     string
	Name     string      // the scheduler's name, the same in all its processes
	lastSeen fs.FileInfo // of the file that was last read or written
	pid      int         // for the name of the temporary file; 0: the pid of this process
}

// InDirectory returns the store of a scheduler in a directory.
func InDirectory(dir, name string) *Store {
	return &Store{Path: filepath.Join(dir, "wheatsaddle-exclusions.json"), Name: name}
}

// file is the stored format.
type file struct {
	Version int    `json:"version"`
	Name    string `json:"name"`
	exclusion.State
}

// Read reads the state. If the file does not exist, the state is empty.
func (s *Store) Read() (exclusion.State, error) {
	empty := exclusion.State{Excluded: map[string]float64{}, Included: map[string]float64{}}
	data, err := s.readFile()
	if errors.Is(err, fs.ErrNotExist) {
		return empty, nil
	}
	if err != nil {
		s.lastSeen = nil // it was not read, so it counts as changed
		return empty, &FileError{s.Path, err}
	}
	state, problem := s.parse(data)
	if problem != "" {
		return empty, &ForeignFileError{s.Path, problem}
	}
	if state.Excluded == nil {
		state.Excluded = empty.Excluded
	}
	if state.Included == nil {
		state.Included = empty.Included
	}
	return state, nil
}

// readFile reads the file, up to one byte more than maxFileSize, so that parse detects a longer file.
func (s *Store) readFile() ([]byte, error) {
	sync.Step("open", s.Path)
	f, err := os.Open(s.Path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // closing a file that was only read loses no data
	if info, err := f.Stat(); err == nil {
		s.lastSeen = info
	}
	sync.Step("read", s.Path)
	return io.ReadAll(io.LimitReader(f, maxFileSize+1))
}

// parse parses the content of a file, or returns why it is not a valid state of this scheduler.
func (s *Store) parse(data []byte) (state exclusion.State, problem string) {
	if len(data) > maxFileSize {
		return state, fmt.Sprintf("over %d bytes", maxFileSize)
	}
	var stored file
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&stored); err != nil {
		return state, fmt.Sprintf("torn or not JSON (%v)", err)
	}
	switch {
	case stored.Version != version:
		return state, fmt.Sprintf("version %d, this program reads %d", stored.Version, version)
	case stored.Name != s.Name:
		return state, fmt.Sprintf("of scheduler %q, this one is %q", stored.Name, s.Name)
	}
	for field, times := range map[string]map[string]float64{"excluded": stored.Excluded, "included": stored.Included} {
		for id, at := range times {
			if id == "" || math.IsNaN(at) || math.IsInf(at, 0) || at < 0 {
				return state, fmt.Sprintf("%s: %q at %v", field, id, at)
			}
		}
	}
	return stored.State, ""
}

// Write replaces the file. If that fails, the old file remains.
func (s *Store) Write(state exclusion.State) error {
	data, err := json.Marshal(file{Version: version, Name: s.Name, State: state})
	if err != nil {
		return &FileError{s.Path, err}
	}
	tempPath := s.Path + fmt.Sprintf(".%d~", cmp.Or(s.pid, os.Getpid()))
	sync.Step("create", tempPath)
	f, err := os.OpenFile(tempPath, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return &FileError{s.Path, err}
	}
	if err := s.replace(f, data); err != nil {
		_ = os.Remove(tempPath) // the write error is the one to report
		return &FileError{s.Path, err}
	}
	sync.Step("stat", s.Path)
	if info, err := os.Stat(s.Path); err == nil {
		s.lastSeen = info
	}
	return nil
}

// replace writes, syncs and closes the temporary file, and renames it.
func (s *Store) replace(f *os.File, data []byte) error {
	sync.Step("write", f.Name())
	_, err := f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		sync.Step("rename", s.Path)
		err = os.Rename(f.Name(), s.Path)
	}
	return err
}

// Changed reports whether the file differs from the one that was last read or written here. A missing file is no change.
func (s *Store) Changed() bool {
	sync.Step("stat", s.Path)
	info, err := os.Stat(s.Path)
	if err != nil {
		return false
	}
	return s.lastSeen == nil || !os.SameFile(info, s.lastSeen) || !info.ModTime().Equal(s.lastSeen.ModTime()) || info.Size() != s.lastSeen.Size()
}

// Lock acquires the writers' lock. It waits for up to 300 ms for another process. The returned function releases the lock.
func (s *Store) Lock() (func(), error) {
	f, err := os.OpenFile(s.Path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, &FileError{s.Path, err}
	}
	for attemptsLeft := maxLockAttempts; ; attemptsLeft-- {
		sync.Step("flock", s.Path+".lock")
		err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return func() {
				sync.Step("unlock", s.Path+".lock")
				_ = f.Close() // closing the file releases the flock
			}, nil
		}
		if !errors.Is(err, syscall.EWOULDBLOCK) || attemptsLeft == 0 {
			_ = f.Close()
			return nil, &FileError{s.Path, fmt.Errorf("%s.lock: %w", s.Path, err)}
		}
		sync.PauseFor("unlock", s.Path+".lock", lockPollInterval)
	}
}
