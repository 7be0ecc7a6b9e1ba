package discovery

import (
	"errors"
	"fmt"

	"wheatsaddle/internal/operr"
)

// MalformedError reports a message of the list's service that could not be decoded.
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
	return "See what the list's service sends (or the configuration's key known); the last valid list stays in use."
}

// EntryError reports an entry of the list that was ignored; the others are applied.
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
	return "Correct the entry in the list's service; until then its node stays as last listed, and a new node is not used."
}

// AddressError reports an ignored address of an entry; the entry's other addresses are used.
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
	return "Correct the address in the list's service; until then only the node's other addresses are used."
}

// CallRejectedError reports a call for the list that the service answered with an error status.
type CallRejectedError struct{ Status int }

// Error implements error.
func (e *CallRejectedError) Error() string { return fmt.Sprintf("watch: status %d", e.Status) }

// Code implements operr.Coded.
func (e *CallRejectedError) Code() string { return "list-refused" }

// Advice implements operr.Coded.
func (e *CallRejectedError) Advice() string {
	return "See why the list's service rejects calls (load, path, permissions); the last list stays in use until a call succeeds."
}

// WatchSilentError reports that a watch sent no message within its silence timeout.
type WatchSilentError struct{}

// Error implements error.
func (e *WatchSilentError) Error() string { return "watch: silent" }

// Code implements operr.Coded.
func (e *WatchSilentError) Code() string { return "list-silent" }

// Advice implements operr.Coded.
func (e *WatchSilentError) Advice() string {
	return "See whether the list's service runs and is reachable from this machine; another call is made beside the silent one, and the last list stays in use."
}

// CallError reports a call for the list that could not connect, or whose connection ended.
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
	return "See whether the list's service runs at the address and is reachable from this machine; it is called again, and the last list stays in use."
}

func init() {
	operr.Register(&CallRejectedError{503}, &WatchSilentError{}, &CallError{"127.0.0.1:7000", errors.New("connection refused")})
	operr.Register(&MalformedError{"index", "missing or not a number"}, &EntryError{3, "s-1", errors.New("name: missing")},
		&AddressError{3, "s-1", errors.New("addresses.1: not text")})
}
