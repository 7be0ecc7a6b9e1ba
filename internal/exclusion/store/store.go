// Package store keeps the excludes of an operator in a file that all processes of one scheduler share, in $TMPDIR, which
// outlives the replacement of a process.
//
// Invariants:
//
//   - A reader finds the old file or the new one, complete: a write goes to another file, which is renamed.
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
	maxLockAttempts  = 150 // 300 ms at this interval
)

// Store is the file of one scheduler. It must be used by one goroutine at a time.
type Store struct {
	Path     string
	Name     string      // the scheduler's name, the same in all its processes
	lastSeen fs.FileInfo // of the file last read or written
	pid      int         // in the name of the temporary file; 0: the process's
}

// InFolder returns the store of a scheduler in a directory.
func InFolder(dir, name string) *Store {
	return &Store{Path: filepath.Join(dir, "wheatsaddle-exclusions.json"), Name: name}
}

// file is the stored form.
type file struct {
	Version int    `json:"version"`
	Name    string `json:"name"`
	exclusion.State
}

// Read reads the state. Without a file it is empty.
func (s *Store) Read() (exclusion.State, error) {
	empty := exclusion.State{Excluded: map[string]float64{}, Included: map[string]float64{}}
	data, err := s.readFile()
	if errors.Is(err, fs.ErrNotExist) {
		return empty, nil
	}
	if err != nil {
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

// readFile reads the file, up to one byte more than it may have.
func (s *Store) readFile() ([]byte, error) {
	sync.Point("open", s.Path)
	f, err := os.Open(s.Path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // it was only read
	if info, err := f.Stat(); err == nil {
		s.lastSeen = info
	}
	sync.Point("read", s.Path)
	return io.ReadAll(io.LimitReader(f, maxFileSize+1))
}

// parse reads the state from a file's bytes, or says why they do not hold one of this scheduler.
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

// Write replaces the file. If it fails, the old file stays.
func (s *Store) Write(state exclusion.State) error {
	data, err := json.Marshal(file{Version: version, Name: s.Name, State: state})
	if err != nil {
		return &FileError{s.Path, err}
	}
	tempPath := s.Path + fmt.Sprintf(".%d~", cmp.Or(s.pid, os.Getpid()))
	sync.Point("create", tempPath)
	f, err := os.OpenFile(tempPath, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return &FileError{s.Path, err}
	}
	if err := s.replace(f, data); err != nil {
		_ = os.Remove(tempPath) // the first error counts
		return &FileError{s.Path, err}
	}
	sync.Point("stat", s.Path)
	if info, err := os.Stat(s.Path); err == nil {
		s.lastSeen = info
	}
	return nil
}

// replace writes and closes the temporary file, and renames it.
func (s *Store) replace(f *os.File, data []byte) error {
	sync.Point("write", f.Name())
	_, err := f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		sync.Point("rename", s.Path)
		err = os.Rename(f.Name(), s.Path)
	}
	return err
}

// Changed reports whether the file is another than the one last read or written here. A missing file is no change.
func (s *Store) Changed() bool {
	sync.Point("stat", s.Path)
	info, err := os.Stat(s.Path)
	if err != nil {
		return false
	}
	return s.lastSeen == nil || !os.SameFile(info, s.lastSeen) || !info.ModTime().Equal(s.lastSeen.ModTime()) || info.Size() != s.lastSeen.Size()
}

// Lock takes the writers' lock. It waits for another process for up to 300 ms. The func releases the lock.
func (s *Store) Lock() (func(), error) {
	f, err := os.OpenFile(s.Path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, &FileError{s.Path, err}
	}
	for attemptsLeft := maxLockAttempts; ; attemptsLeft-- {
		sync.Point("flock", s.Path+".lock")
		err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return func() {
				sync.Point("unlock", s.Path+".lock")
				_ = f.Close() // which releases the flock
			}, nil
		}
		if !errors.Is(err, syscall.EWOULDBLOCK) || attemptsLeft == 0 {
			_ = f.Close()
			return nil, &FileError{s.Path, fmt.Errorf("%s.lock: %w", s.Path, err)}
		}
		sync.PauseFor("unlock", s.Path+".lock", lockPollInterval)
	}
}
