package discovery

import (
	"errors"
	"fmt"

	"wheatsaddle/internal/operr"
)

// MalformedError is a message of the list's service that cannot be read as a whole.
type MalformedError struct{ Key, Reason string }

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
	return "See what the list's service sends (or what known of the configuration holds); the list as last held counts until a good one comes."
}

// EntryError is an entry of the list that is left out; the others count.
type EntryError struct {
	Index int
	Name  string
	Err   error
}

func (e *EntryError) Error() string {
	return fmt.Sprintf("list: endpoints.%d (%.40q): %v", e.Index, e.Name, e.Err)
}

// Unwrap gives the key and its fault.
func (e *EntryError) Unwrap() error { return e.Err }

// Code implements operr.Coded.
func (e *EntryError) Code() string { return "list-entry" }

// Advice implements operr.Coded.
func (e *EntryError) Advice() string {
	return "Have the entry corrected in the list's service; until then the node counts as it was held, and a new one gets nothing."
}

// AddressError is an address that is left out of an entry; the entry's others count.
type AddressError struct {
	Index int
	Name  string
	Err   error
}

func (e *AddressError) Error() string {
	return fmt.Sprintf("list: endpoints.%d (%.40q): %v", e.Index, e.Name, e.Err)
}

// Unwrap gives the address and its fault.
func (e *AddressError) Unwrap() error { return e.Err }

// Code implements operr.Coded.
func (e *AddressError) Code() string { return "list-address" }

// Advice implements operr.Coded.
func (e *AddressError) Advice() string {
	return "Have the address corrected in the list's service; until then the node is reached by its other addresses alone."
}

// CallRejectedError is a call for the list that was turned away by word: the service can be overbooked.
type CallRejectedError struct{ Status int }

func (e *CallRejectedError) Error() string { return fmt.Sprintf("watch: status %d", e.Status) }

// Code implements operr.Coded.
func (e *CallRejectedError) Code() string { return "list-refused" }

// Advice implements operr.Coded.
func (e *CallRejectedError) Advice() string {
	return "See why the list's service turns calls away (its load, the path, its rights); the list as last held counts until it takes one."
}

// WatchSilentError is a watch that has said nothing for longer than its beats are apart.
type WatchSilentError struct{}

func (e *WatchSilentError) Error() string { return "watch: silent" }

// Code implements operr.Coded.
func (e *WatchSilentError) Code() string { return "list-silent" }

// Advice implements operr.Coded.
func (e *WatchSilentError) Advice() string {
	return "See whether the list's service runs and what is between it and this host; another call is out beside the silent one, and the list as last held counts."
}

// CallError is a call for the list that never came up, or whose connection ended.
type CallError struct {
	Address string
	Err     error
}

func (e *CallError) Error() string { return fmt.Sprintf("watch: %s: %v", e.Address, e.Err) }

// Unwrap gives the system's word.
func (e *CallError) Unwrap() error { return e.Err }

// Code implements operr.Coded.
func (e *CallError) Code() string { return "list-call" }

// Advice implements operr.Coded.
func (e *CallError) Advice() string {
	return "See whether the list's service runs at the address and is reached from this host; it is asked again, and the list as last held counts meanwhile."
}

func init() {
	operr.Register(&CallRejectedError{503}, &WatchSilentError{}, &CallError{"127.0.0.1:7000", errors.New("connection refused")})
	operr.Register(&MalformedError{"index", "missing or not a number"}, &EntryError{3, "s-1", errors.New("name: missing")},
		&AddressError{3, "s-1", errors.New("addresses.1: not text")})
}
