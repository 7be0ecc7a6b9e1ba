package discovery

import (
	"errors"
	"fmt"

	"wheatsaddle/internal/operr"
)

// MalformedError reports a message of the list service that could not be decoded.
type MalformedError struct{ Key, Reason string }

// Error implements error.
func (e *MalformedError) Error() string {
	if e.Key == "" {
		return "list: " + e.Reason
	}
	return "list: " + e.Key + ": " + e.Reason
}

// Code implements operr.Coded.
func (e *MalformedError) Code() string { return "list-malformed" }

// Advice implements operr.Coded.
func (e *MalformedError) Advice() string {
	return "Check what the list service sends (or the configuration's key known). The last valid list stays in use."
}

// EntryError reports an invalid entry of the list. The entry is ignored, and the other entries are applied.
type EntryError struct {
	Index int
	Name  string
	Err   error
}

// Error implements error.
func (e *EntryError) Error() string {
	return fmt.Sprintf("list: endpoints.%d (%.40q): %v", e.Index, e.Name, e.Err)
}

// Unwrap returns the cause.
func (e *EntryError) Unwrap() error { return e.Err }

// Code implements operr.Coded.
func (e *EntryError) Code() string { return "list-entry" }

// Advice implements operr.Coded.
func (e *EntryError) Advice() string {
	return "Correct the entry in the list service. Until then a node that is already listed keeps its last valid entry, and a new node is not used."
}

// AddressError reports an invalid address of an entry. The address is ignored, and the entry's other addresses are used.
type AddressError struct {
	Index int
	Name  string
	Err   error
}

// Error implements error.
func (e *AddressError) Error() string {
	return fmt.Sprintf("list: endpoints.%d (%.40q): %v", e.Index, e.Name, e.Err)
}

// Unwrap returns the cause.
func (e *AddressError) Unwrap() error { return e.Err }

// Code implements operr.Coded.
func (e *AddressError) Code() string { return "list-address" }

// Advice implements operr.Coded.
func (e *AddressError) Advice() string {
	return "Correct the address in the list service. Until then only the node's other addresses are used."
}

// CallRejectedError reports a call that the list service answered with a status other than 200.
type CallRejectedError struct{ Status int }

// Error implements error.
func (e *CallRejectedError) Error() string { return fmt.Sprintf("watch: status %d", e.Status) }

// Code implements operr.Coded.
func (e *CallRejectedError) Code() string { return "list-refused" }

// Advice implements operr.Coded.
func (e *CallRejectedError) Advice() string {
	return "Check why the list service rejects calls (load, path, permissions). The last list stays in use until a call succeeds."
}

// WatchSilentError reports that a watch received no message within its silence timeout.
type WatchSilentError struct{}

// Error implements error.
func (e *WatchSilentError) Error() string { return "watch: silent" }

// Code implements operr.Coded.
func (e *WatchSilentError) Code() string { return "list-silent" }

// Advice implements operr.Coded.
func (e *WatchSilentError) Advice() string {
	return "Check whether the list service runs and is reachable from this machine. Another call is made while the silent one stays open, and the last list stays in use."
}

// CallError reports a call to the list service that could not connect or whose connection ended.
type CallError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *CallError) Error() string { return fmt.Sprintf("watch: %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// Code implements operr.Coded.
func (e *CallError) Code() string { return "list-call" }

// Advice implements operr.Coded.
func (e *CallError) Advice() string {
	return "Check whether the list service runs at the address and is reachable from this machine. The call is retried, and the last list stays in use."
}

func init() {
	operr.Register(&CallRejectedError{503}, &WatchSilentError{}, &CallError{"127.0.0.1:7000", errors.New("connection refused")})
	operr.Register(&MalformedError{"index", "missing or not a number"}, &EntryError{3, "s-1", errors.New("name: missing")},
		&AddressError{3, "s-1", errors.New("addresses.1: not text")})
}
