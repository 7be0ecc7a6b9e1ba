package registry

import (
	"errors"
	"fmt"

	"wheatsaddle/internal/operr"
)

// MalformedError is a message of the list's service that cannot be read as a whole.
type MalformedError struct{ Key, Says string }

func (e *MalformedError) Error() string {
	if e.Key == "" {
		return "list: " + e.Says
	}
	return "list: " + e.Key + ": " + e.Says
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

func init() {
	operr.Register(&MalformedError{"index", "missing or not a number"}, &EntryError{3, "s-1", errors.New("name: missing")},
		&AddressError{3, "s-1", errors.New("addresses.1: not text")})
}
