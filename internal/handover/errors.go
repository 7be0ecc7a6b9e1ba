package handover

import (
	"fmt"
	"syscall"
	"time"

	"wheatsaddle/internal/operr"
)

// NoLockError reports that no lock is available, so the process accepts connections without one.
type NoLockError struct {
	Path string
	Err  error
}

func (e *NoLockError) Error() string {
	return fmt.Sprintf("lock file of the clients' socket cannot be used: %v", e.Err)
}

// Unwrap returns the operating system's error.
func (e *NoLockError) Unwrap() error { return e.Err }

// Code implements operr.Coded.
func (e *NoLockError) Code() string { return "handover-no-lock" }

// Advice implements operr.Coded.
func (e *NoLockError) Advice() string {
	return "Set $TMPDIR to a directory that the program's user may write, the same for all processes of the scheduler (" + e.Path +
		"). Until then, two processes that run at the same time both accept connections, each with the scheduler's full quota of each limit."
}

// LongWaitError reports a long wait for the clients' socket.
type LongWaitError struct {
	Path  string
	Since time.Duration
}

func (e *LongWaitError) Error() string {
	return fmt.Sprintf("this process has waited for %v for another one that accepts connections on the clients' socket", e.Since)
}

// Code implements operr.Coded.
func (e *LongWaitError) Code() string { return "handover-waits" }

// Advice implements operr.Coded.
func (e *LongWaitError) Advice() string {
	return "Nothing, if the other process is to continue to serve. To replace it by this one, send SIGTERM to the process that has " +
		e.Path + " open (see lslocks or fuser), and SIGKILL if it does not end in time."
}

func init() {
	operr.Register(&NoLockError{"/tmp/wheatsaddle-accept-127.0.0.1:80.lock", fmt.Errorf("open /tmp/wheatsaddle-accept-127.0.0.1:80.lock: %w", syscall.EROFS)},
		&LongWaitError{"/tmp/wheatsaddle-accept-127.0.0.1:80.lock", 10 * time.Second})
}
