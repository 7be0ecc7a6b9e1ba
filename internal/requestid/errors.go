package requestid

import (
	"errors"

	"wheatsaddle/internal/operr"
)

// JournalError reports that owned ids are not shared with the other process of a handover.
type JournalError struct {
	Folder string
	Err    error
}

// Error implements error.
func (e *JournalError) Error() string { return "request ids in " + e.Folder + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *JournalError) Unwrap() error { return e.Err }

// Code implements operr.Coded.
func (e *JournalError) Code() string { return "ids-not-shared" }

// Advice implements operr.Coded.
func (e *JournalError) Advice() string {
	return "Check the permissions and the space of " + e.Folder + ", and that both processes use it. Until it works, a request that may not be repeated is rejected while another process is there, and ids are shared again when it works."
}

func init() {
	operr.Register(&JournalError{"/run/balancer/tmp", errors.New("no space left on device")})
}
