package iscsi

import (
	"errors"
	"fmt"

	"wheatsaddle/internal/operr"
)

var errTargetSilent = errors.New("the storage target stopped responding")

// ConnectionDroppedError reports that the initiator closed its connection to a storage target because of what the target did.
type ConnectionDroppedError struct {
	Target string
	Err    error
}

func (e *ConnectionDroppedError) Error() string {
	return fmt.Sprintf("storage target %s: %v", e.Target, e.Err)
}

// Unwrap returns the cause.
func (e *ConnectionDroppedError) Unwrap() error { return e.Err }

// Code implements operr.Coded.
func (e *ConnectionDroppedError) Code() string { return "iscsi-dropped" }

// Advice implements operr.Coded.
func (e *ConnectionDroppedError) Advice() string {
	return "Check the storage target's own log and the network path to it. The program reconnects by itself; commands in flight on the connection have failed."
}

// CacheInDoubtError reports that the last session with a storage target has ended while the target may have had writes in its cache only.
type CacheInDoubtError struct{ Target string }

func (e *CacheInDoubtError) Error() string {
	return fmt.Sprintf("storage target %s: writes that it has acknowledged and not synchronized may be lost", e.Target)
}

// Code implements operr.Coded.
func (e *CacheInDoubtError) Code() string { return "iscsi-cache-in-doubt" }

// Advice implements operr.Coded.
func (e *CacheInDoubtError) Advice() string {
	return "Check whether the storage target has restarted. Each initiator with such a write gets HARDWARE ERROR for its next SYNCHRONIZE CACHE, once."
}

// SessionPanicError reports a panic in one session, which is a fault of this program.
type SessionPanicError struct{ Value string }

func (e *SessionPanicError) Error() string { return "iscsi session panicked: " + e.Value }

// Code implements operr.Coded.
func (e *SessionPanicError) Code() string { return "iscsi-panicked" }

// Advice implements operr.Coded.
func (e *SessionPanicError) Advice() string {
	return "Report the stack in the log, as this is a fault of the program. Only this session has ended, and its initiator can log in again."
}

func init() {
	operr.Register(&ConnectionDroppedError{"st-1", errProtocol}, &CacheInDoubtError{"st-1"}, &SessionPanicError{"index out of range"})
}
