package discovery

import (
	"fmt"
	"net"

	"wheatsaddle/internal/operr"
)

// BadOption reports an option that is out of bounds.
type BadOption struct {
	Option string
	Value  any
}

func (e *BadOption) Error() string {
	return fmt.Sprintf("discovery: option %s: %v is out of bounds", e.Option, e.Value)
}

// Code implements operr.Coded.
func (e *BadOption) Code() string { return "discovery-option" }

// Advice implements operr.Coded.
func (e *BadOption) Advice() string { return "use values of 0 or more and one of the named modes" }

// NoListener reports an address that could not be opened.
type NoListener struct {
	Caller string // empty: the address shared by all callers
	Err    error
}

func (e *NoListener) Error() string {
	return fmt.Sprintf("discovery: open address for caller %q: %v", e.Caller, e.Err)
}

func (e *NoListener) Unwrap() error { return e.Err }

// Code implements operr.Coded.
func (e *NoListener) Code() string { return "discovery-listener" }

// Advice implements operr.Coded.
func (e *NoListener) Advice() string {
	return "check that loopback ports and file descriptors are available and that the service was not closed"
}

// TooManyCallers reports a request for an address beyond the limit Options.Callers.
type TooManyCallers struct{ Max int }

func (e *TooManyCallers) Error() string {
	return fmt.Sprintf("discovery: more than %d callers", e.Max)
}

// Code implements operr.Coded.
func (e *TooManyCallers) Code() string { return "discovery-callers" }

// Advice implements operr.Coded.
func (e *TooManyCallers) Advice() string { return "raise Options.Callers" }

func init() {
	operr.Register(&BadOption{Option: "Queue", Value: -1}, &NoListener{Caller: "n1", Err: net.ErrClosed}, &TooManyCallers{Max: 4096})
}
