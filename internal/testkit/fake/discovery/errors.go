package discovery

import (
	"fmt"
	"net"

	"wheatsaddle/internal/operr"
)

// BadOption is an option that means nothing.
type BadOption struct {
	Option string
	Value  any
}

func (e *BadOption) Error() string {
	return fmt.Sprintf("discovery: option %s: %v is out of its bounds", e.Option, e.Value)
}

// Code is stable.
func (e *BadOption) Code() string { return "discovery-option" }

// Advice is what can be done now.
func (e *BadOption) Advice() string { return "take no figure below 0 and one of the modes named" }

// NoListener is an address that could not be had.
type NoListener struct {
	Caller string // "": the one that all may use
	Err    error
}

func (e *NoListener) Error() string {
	return fmt.Sprintf("discovery: address for %q: %v", e.Caller, e.Err)
}

func (e *NoListener) Unwrap() error { return e.Err }

// Code is stable.
func (e *NoListener) Code() string { return "discovery-listener" }

// Advice is what can be done now.
func (e *NoListener) Advice() string {
	return "look for free ports and descriptors on loopback, and at whether the service was closed"
}

// TooManyCallers is a name over the bound of callers.
type TooManyCallers struct{ Most int }

func (e *TooManyCallers) Error() string {
	return fmt.Sprintf("discovery: more than %d callers", e.Most)
}

// Code is stable.
func (e *TooManyCallers) Code() string { return "discovery-callers" }

// Advice is what can be done now.
func (e *TooManyCallers) Advice() string { return "raise Options.Callers" }

func init() {
	operr.Register(&BadOption{Option: "Queue", Value: -1}, &NoListener{Caller: "n1", Err: net.ErrClosed}, &TooManyCallers{Most: 4096})
}
