package admin

import (
	"fmt"

	"wheatsaddle/internal/exclusion"
	"wheatsaddle/internal/operr"
)

// ErrUnknownNode reports a node id that was never in the endpoint list.
var ErrUnknownNode = exclusion.ErrUnknownNode

// UnknownPathError reports a path without a call.
type UnknownPathError struct{ Path string }

// Error implements error.
func (e *UnknownPathError) Error() string { return "no such call: " + e.Path }

// Code implements operr.Coded.
func (e *UnknownPathError) Code() string { return "operator-call" }

// Advice implements operr.Coded.
func (e *UnknownPathError) Advice() string {
	return "The calls are /api/ready, /api/telemetry, /api/exclude and /api/include."
}

// MethodError reports a call with a method that its path does not allow.
type MethodError struct{ Path, Method, Allowed string }

// Error implements error.
func (e *MethodError) Error() string { return e.Path + " is called with " + e.Allowed }

// Code implements operr.Coded.
func (e *MethodError) Code() string { return "operator-method" }

// Advice implements operr.Coded.
func (e *MethodError) Advice() string {
	return "Call it again with " + e.Allowed + "; nothing was changed."
}

// BodyTooLongError reports a request whose body exceeds the limit of its call.
type BodyTooLongError struct {
	Path     string
	MaxBytes int
}

// Error implements error.
func (e *BodyTooLongError) Error() string {
	return fmt.Sprintf("%s: a body of over %d bytes", e.Path, e.MaxBytes)
}

// Code implements operr.Coded.
func (e *BodyTooLongError) Code() string { return "operator-body" }

// Advice implements operr.Coded.
func (e *BodyTooLongError) Advice() string {
	return "Send no body where the call has none; a question for an estimate may be as long as estimate.bytes_most of the site's file."
}

// EstimatesBusyError reports that the maximum number of estimates is in progress.
type EstimatesBusyError struct{}

// Error implements error.
func (e *EstimatesBusyError) Error() string { return "other estimates are being made" }

// Code implements operr.Coded.
func (e *EstimatesBusyError) Code() string { return "operator-occupied" }

// Advice implements operr.Coded.
func (e *EstimatesBusyError) Advice() string {
	return "Ask again in a second; estimate.at_once of the site's file says how many are made at a time."
}

// NotReadyError reports that this process is not ready for clients.
type NotReadyError struct{}

// Error implements error.
func (e *NotReadyError) Error() string { return "not ready" }

// Code implements operr.Coded.
func (e *NotReadyError) Code() string { return "operator-not-ready" }

// Advice implements operr.Coded.
func (e *NotReadyError) Advice() string {
	return "Ask again in a second: the process waits for the list, or is stopping. If it stays so, read its log for what it waits for."
}

// NodeIDError reports a call that does not name exactly one node by a valid id.
type NodeIDError struct{ Count int }

// Error implements error.
func (e *NodeIDError) Error() string {
	return "who: one storage node id is wanted, as in ?who=s-5be2a07c"
}

// Code implements operr.Coded.
func (e *NodeIDError) Code() string { return "operator-who" }

// Advice implements operr.Coded.
func (e *NodeIDError) Advice() string {
	return "Name one storage node by its id as the list has it, in ?who=; one call a node. Nothing was changed."
}

// MalformedRequestError reports a request that could not be read, or whose head is too long.
type MalformedRequestError struct{ Err error }

// Error implements error.
func (e *MalformedRequestError) Error() string { return "the call cannot be read: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *MalformedRequestError) Unwrap() error { return e.Err }

// Code implements operr.Coded.
func (e *MalformedRequestError) Code() string { return "operator-unreadable" }

// Advice implements operr.Coded.
func (e *MalformedRequestError) Advice() string {
	return "Send an HTTP/1.1 request with a head of 4 KiB at most, without a body, within 0.7 s."
}

func init() {
	operr.Register(&UnknownPathError{"/api/drain"}, &MethodError{"/api/exclude", "GET", "PUT"}, &NotReadyError{}, &BodyTooLongError{"/api/ready", 1024}, &EstimatesBusyError{}, &NodeIDError{}, &MalformedRequestError{smallBufferError{}})
}

// smallBufferError is the cause in the registered example of a MalformedRequestError.
type smallBufferError struct{}

func (smallBufferError) Error() string { return "small read buffer" }
