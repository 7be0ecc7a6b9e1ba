// Package runfile passes the possible runs under clients' idempotency keys from a process to the one that replaces it, in a file of a
// folder that both use. The file is replaced as a whole, so a reader finds a complete one or none.
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
	"wheatsaddle/policy"
)

// clockDifference is the maximum difference between the clocks of two processes.
const clockDifference = 20 * time.Millisecond

// File is the file of a clients' socket.
type File struct {
	path  string
	clock func() time.Duration // shared by the processes
}

// contents is what the file holds.
type contents struct {
	WrittenAt time.Duration       `json:"written_at_ns"` // by the clock of the machine
	Runs      []policy.EarlierRun `json:"runs"`
}

// New returns the file of a name, such as the address of the clients' socket, in a folder. The error is an *Error.
func New(folder, name string) (*File, error) {
	path := filepath.Join(folder, "wheatsaddle-runs-"+url.PathEscape(name)+".json")
	clock, err := machineclock.New()
	if err != nil {
		return nil, &Error{path, err}
	}
	return &File{path, clock}, nil
}

// Write replaces the file. The error is an *Error.
func (f *File) Write(runs []policy.EarlierRun) error {
	data, err := json.Marshal(contents{f.clock(), runs})
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

// Read returns the runs whose repeats may still come, with their ages at present. A file that does not exist has none. The error is an
// *Error.
func (f *File) Read() ([]policy.EarlierRun, error) {
	data, err := os.ReadFile(f.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	var stored contents
	if err == nil {
		err = json.Unmarshal(data, &stored)
	}
	elapsed := f.clock() - stored.WrittenAt
	if err == nil && elapsed < -clockDifference {
		err = fmt.Errorf("written %v in the future", -elapsed)
	}
	if err != nil {
		return nil, &Error{f.path, err}
	}
	milliseconds := float64(max(elapsed, 0)+clockDifference) / float64(time.Millisecond)
	var runs []policy.EarlierRun
	for _, run := range stored.Runs {
		run.Age += milliseconds
		if run.KeepFor -= milliseconds; run.KeepFor > 0 {
			runs = append(runs, run)
		}
	}
	return runs, nil
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
	return "Check the permissions and the space of the folder of " + e.Path + ", and that both processes use it. The process that replaces another one may repeat requests that ran there, until their clients repeat them no more."
}

func init() {
	operr.Register(&Error{"/run/balancer/tmp/wheatsaddle-runs-127.0.0.1:80.json", errors.New("no space left on device")})
}
