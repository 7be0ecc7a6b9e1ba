// Package runfile passes what may have run, and may yet, from a process to the one that replaces it, in files of a folder that both use. A
// file is replaced as a whole, so a reader finds a complete one or none.
package runfile

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"net/url"
	"os"
	"path/filepath"
	"time"

	"wheatsaddle/internal/machineclock"
	"wheatsaddle/internal/operr"
)

// clockDifference is the maximum difference between the clocks of two processes.
const clockDifference = 20 * time.Millisecond

// file is one file.
type file struct {
	path  string
	clock func() time.Duration // shared by the processes
}

// envelope is what a file holds.
type envelope[T any] struct {
	WrittenAt time.Duration `json:"written_at_ns"` // by the clock of the machine
	Contents  T             `json:"contents"`
}

// newFile returns the file of a kind and a name, such as the address of a socket, in a folder.
func newFile(folder, kind, name string) (*file, error) {
	path := filepath.Join(folder, "wheatsaddle-"+kind+"-"+url.PathEscape(name)+".json")
	clock, err := machineclock.New()
	if err != nil {
		return nil, &Error{path, err}
	}
	return &file{path, clock}, nil
}

// write replaces a file. The error is an *Error.
func write[T any](f *file, contents T) error {
	data, err := json.Marshal(envelope[T]{f.clock(), contents})
	if err != nil {
		return &Error{f.path, err}
	}
	temporary, err := os.CreateTemp(filepath.Dir(f.path), filepath.Base(f.path)+".*")
	if err != nil {
		return &Error{f.path, err}
	}
	_, writeErr := temporary.Write(data)
	err = errors.Join(writeErr, temporary.Close())
	if err == nil {
		err = os.Rename(temporary.Name(), f.path)
	}
	if err != nil {
		return &Error{f.path, errors.Join(err, os.Remove(temporary.Name()))}
	}
	return nil
}

// read returns the contents of a file, and how long ago it was written at least and at most. A file that does not exist has none. The error
// is an *Error.
func read[T any](f *file) (contents T, minAge, maxAge time.Duration, err error) {
	data, err := os.ReadFile(f.path)
	if errors.Is(err, fs.ErrNotExist) {
		return contents, 0, 0, nil
	}
	var stored envelope[T]
	if err == nil {
		err = json.Unmarshal(data, &stored)
	}
	elapsed := f.clock() - stored.WrittenAt
	if err == nil && elapsed < -clockDifference {
		err = fmt.Errorf("written %v in the future", -elapsed)
	}
	if err != nil {
		return contents, 0, 0, &Error{f.path, err}
	}
	return stored.Contents, max(elapsed-clockDifference, 0), max(elapsed, 0) + clockDifference, nil
}

// Error reports that possible runs are not passed on.
type Error struct {
	Path string
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return "possible runs in " + e.Path + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Code implements operr.Coded.
func (e *Error) Code() string { return "runs-not-shared" }

// Advice implements operr.Coded.
func (e *Error) Advice() string {
	return "Check the permissions and the space of the folder of " + e.Path + ", and that both processes use it. The process that replaces another one may repeat requests that ran there, or confirm that writes of initiators that are still outstanding have no further effect."
}

func init() {
	operr.Register(&Error{"/run/balancer/tmp/wheatsaddle-runs-127.0.0.1:80.json", errors.New("no space left on device")})
}
