package iscsi

import (
	"errors"
	"fmt"

	"wheatsaddle/internal/operr"
)

var errSilent = errors.New("silent")

// Dropped is the connection to a storage target that was given up for what the target did.
type Dropped struct {
	Target string
	Err    error
}

func (e *Dropped) Error() string { return fmt.Sprintf("storage target %s: %v", e.Target, e.Err) }

// Unwrap gives what it did.
func (e *Dropped) Unwrap() error { return e.Err }

// Code implements operr.Coded.
func (e *Dropped) Code() string { return "iscsi-dropped" }

// Advice implements operr.Coded.
func (e *Dropped) Advice() string {
	return "See the storage target's own log and the way to it; it is dialled again, and what was out to it counts as failed."
}

// Panicked is a fault of this program in one session.
type Panicked struct{ Says string }

func (e *Panicked) Error() string { return "iscsi session panicked: " + e.Says }

// Code implements operr.Coded.
func (e *Panicked) Code() string { return "iscsi-panicked" }

// Advice implements operr.Coded.
func (e *Panicked) Advice() string {
	return "Report the stack in the log: it is a fault of the program. The one session has ended and its initiator logs in again; the others go on."
}

func init() {
	operr.Register(&Dropped{"st-1", errBroken}, &Panicked{"index out of range"})
}
