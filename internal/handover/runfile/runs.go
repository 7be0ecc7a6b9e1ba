package runfile

import (
	"time"

	"wheatsaddle/policy"
)

// Runs is the file of the possible runs under the idempotency keys of a clients' socket.
type Runs struct{ file *file }

// NewRuns returns the file of a socket's address in a folder. The error is an *Error.
func NewRuns(folder, address string) (*Runs, error) {
	f, err := newFile(folder, "runs", address)
	if err != nil {
		return nil, err
	}
	return &Runs{f}, nil
}

// Write replaces the file. The error is an *Error.
func (r *Runs) Write(runs []policy.EarlierRun) error { return write(r.file, runs) }

// Read returns the runs whose repeats may still come, with their ages at present. The error is an *Error.
func (r *Runs) Read() (runs []policy.EarlierRun, err error) {
	stored, _, elapsed, err := read[[]policy.EarlierRun](r.file)
	milliseconds := float64(elapsed) / float64(time.Millisecond)
	for _, run := range stored {
		run.Age += milliseconds
		if run.KeepFor -= milliseconds; run.KeepFor > 0 {
			runs = append(runs, run)
		}
	}
	return runs, err
}
