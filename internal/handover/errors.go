package handover

import (
	"fmt"
	"syscall"
	"time"

	"wheatsaddle/internal/operr"
)

// NoLockError reports that no lock is available: the process accepts without one.
type NoLockError struct {
	Path string
	Err  error
}

func (e *NoLockError) Error() string {
	return fmt.Sprintf("no lock for the clients' socket: %v", e.Err)
}

// Unwrap returns the operating system's error.
func (e *NoLockError) Unwrap() error { return e.Err }

// Code implements operr.Coded.
func (e *NoLockError) Code() string { return "handover-no-lock" }

// Advice implements operr.Coded.
func (e *NoLockError) Advice() string {
	return "Set $TMPDIR to a directory that the program's user may write, the same for all processes of the scheduler (" + e.Path +
		"). Until then, two processes at the same time both accept, each with the scheduler's whole quota of each limit."
}

// LongWaitError reports a long wait for the clients' socket.
type LongWaitError struct {
	Path  string
	Since time.Duration
}

func (e *LongWaitError) Error() string {
	return fmt.Sprintf("another process has accepted on the clients' socket for %v; this one waits", e.Since)
}

// Code implements operr.Coded.
func (e *LongWaitError) Code() string { return "handover-waits" }

// Advice implements operr.Coded.
func (e *LongWaitError) Advice() string {
	return "Nothing, if the other process is to continue to serve. To replace it by this one, send it SIGTERM, and SIGKILL if it does not end in time; it is the one that has " +
		e.Path + " open (see lslocks or fuser)."
}

func init() {
	operr.Register(&NoLockError{"/tmp/wheatsaddle-accept-127.0.0.1:80.lock", fmt.Errorf("open /tmp/wheatsaddle-accept-127.0.0.1:80.lock: %w", syscall.EROFS)},
		&LongWaitError{"/tmp/wheatsaddle-accept-127.0.0.1:80.lock", 10 * time.Second})
}
