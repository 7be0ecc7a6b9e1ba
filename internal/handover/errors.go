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
	return "Give the program a $TMPDIR that its user may write, the same for all processes of the scheduler (" + e.Path +
		"): until then two processes beside each other both accept, each with its host's whole part of each limit."
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
	return "Nothing, while the old process is to serve on. To go over to this one send the old one SIGTERM, and SIGKILL if it does not end in its time; who has " +
		e.Path + " open (lslocks, fuser) is it."
}

func init() {
	operr.Register(&NoLockError{"/tmp/wheatsaddle-accept-127.0.0.1:80.lock", fmt.Errorf("open /tmp/wheatsaddle-accept-127.0.0.1:80.lock: %w", syscall.EROFS)},
		&LongWaitError{"/tmp/wheatsaddle-accept-127.0.0.1:80.lock", 10 * time.Second})
}
