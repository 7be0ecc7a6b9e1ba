package admin

import (
	"fmt"

	"wheatsaddle/internal/exclusion"
	"wheatsaddle/internal/operr"
)

// ErrUnknown says that an id was never listed: the call is owed a no, and nothing changes.
var ErrUnknown = exclusion.ErrUnknownNode

// NoCall is a path that the endpoint does not have.
type NoCall struct{ Path string }

func (e *NoCall) Error() string { return "no such call: " + e.Path }

// Code implements operr.Coded.
func (e *NoCall) Code() string { return "operator-call" }

// Advice implements operr.Coded.
func (e *NoCall) Advice() string {
	return "The calls are /api/ready, /api/telemetry, /api/exclude and /api/include."
}

// WrongMethod is a call with another method than its own.
type WrongMethod struct{ Path, Method, Want string }

func (e *WrongMethod) Error() string { return e.Path + " is called with " + e.Want }

// Code implements operr.Coded.
func (e *WrongMethod) Code() string { return "operator-method" }

// Advice implements operr.Coded.
func (e *WrongMethod) Advice() string {
	return "Call it again with " + e.Want + "; nothing was changed."
}

// TooLong is a call whose body is longer than it may be.
type TooLong struct {
	Path string
	Most int // bytes
}

func (e *TooLong) Error() string { return fmt.Sprintf("%s: a body of over %d bytes", e.Path, e.Most) }

// Code implements operr.Coded.
func (e *TooLong) Code() string { return "operator-body" }

// Advice implements operr.Coded.
func (e *TooLong) Advice() string {
	return "Send no body where the call has none; a question for an estimate may be as long as estimate.bytes_most of the site's file."
}

// Occupied says that as many estimates as are allowed are being made.
type Occupied struct{}

func (e *Occupied) Error() string { return "other estimates are being made" }

// Code implements operr.Coded.
func (e *Occupied) Code() string { return "operator-occupied" }

// Advice implements operr.Coded.
func (e *Occupied) Advice() string {
	return "Ask again in a second; estimate.at_once of the site's file says how many are made at a time."
}

// NotReady says that this process is not ready for clients.
type NotReady struct{}

func (e *NotReady) Error() string { return "not ready" }

// Code implements operr.Coded.
func (e *NotReady) Code() string { return "operator-not-ready" }

// Advice implements operr.Coded.
func (e *NotReady) Advice() string {
	return "Ask again in a second: the process waits for the list, or is stopping. If it stays so, read its log for what it waits for."
}

// NoID is a call that names no storage node, or several.
type NoID struct{ Given int }

func (e *NoID) Error() string { return "who: one storage node id is wanted, as in ?who=s-5be2a07c" }

// Code implements operr.Coded.
func (e *NoID) Code() string { return "operator-who" }

// Advice implements operr.Coded.
func (e *NoID) Advice() string {
	return "Name one storage node by its id as the list has it, in ?who=; one call a node. Nothing was changed."
}

// Unreadable is a call that is no HTTP request of the size that calls have.
type Unreadable struct{ Err error }

func (e *Unreadable) Error() string { return "the call cannot be read: " + e.Err.Error() }

// Unwrap gives the reader's word.
func (e *Unreadable) Unwrap() error { return e.Err }

// Code implements operr.Coded.
func (e *Unreadable) Code() string { return "operator-unreadable" }

// Advice implements operr.Coded.
func (e *Unreadable) Advice() string {
	return "Send an HTTP/1.1 request with a head of 4 KiB at most, without a body, within 0.7 s."
}

func init() {
	operr.Register(&NoCall{"/api/drain"}, &WrongMethod{"/api/exclude", "GET", "PUT"}, &NotReady{}, &TooLong{"/api/ready", 1024}, &Occupied{}, &NoID{}, &Unreadable{errLong{}})
}

type errLong struct{}

func (errLong) Error() string { return "small read buffer" }
