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
	operr.Register(&ConnectionDroppedError{"st-1", errProtocol}, &SessionPanicError{"index out of range"})
}
