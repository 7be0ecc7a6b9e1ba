package transport

import (
	"errors"
	"fmt"
	"syscall"

	"wheatsaddle/internal/operr"
)

// ErrInUse matches each InUseError by errors.Is.
var ErrInUse error = &InUseError{}

// InUseError reports that another process listens at the address or is about to.
type InUseError struct {
	Address string
	Err     error // the system's error; nil if the socket file or its lock is in use
}

func (e *InUseError) Error() string {
	if e.Err != nil {
		return e.Err.Error()
	}
	return "another process listens at the address"
}

// Is matches ErrInUse.
func (e *InUseError) Is(other error) bool { return other == ErrInUse }

// Unwrap returns the cause.
func (e *InUseError) Unwrap() error { return e.Err }

// Code implements operr.Coded.
func (e *InUseError) Code() string { return "sock-in-use" }

// Advice implements operr.Coded.
func (e *InUseError) Advice() string {
	return "Find the process that listens at " + e.Address + " (ss -xltnp) and stop it, or configure another address. An earlier process of this program may still be shutting down."
}

// ListenError reports that listening at the address failed for another reason than its use by another process.
type ListenError struct {
	Address string
	Err     error
}

func (e *ListenError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// Code implements operr.Coded.
func (e *ListenError) Code() string { return "sock-listen" }

// Advice implements operr.Coded.
func (e *ListenError) Advice() string {
	return "Check that " + e.Address + " is an address of this machine, or a path that no other file has, in a directory that the program's user may write to."
}

// InheritedSocketError reports an inherited descriptor that is not a listening TCP socket.
type InheritedSocketError struct {
	Name    string // value of the environment variable
	Problem string
	Err     error
}

func (e *InheritedSocketError) Error() string {
	text := fmt.Sprintf("passed socket %q: %s", e.Name, e.Problem)
	switch {
	case e.Err != nil && e.Problem == "":
		text += e.Err.Error()
	case e.Err != nil:
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *InheritedSocketError) Unwrap() error { return e.Err }

// Code implements operr.Coded.
func (e *InheritedSocketError) Code() string { return "sock-passed" }

// Advice implements operr.Coded.
func (e *InheritedSocketError) Advice() string {
	return "Have the platform pass a listening TCP socket at the descriptor that ROUTER_PASSED_SOCKET names, or unset the variable: the program then binds the address in the setting listen itself."
}

// ListenerEndedError reports that a listener ended unexpectedly, or that its close failed.
type ListenerEndedError struct {
	Front   string
	Address string
	Err     error
}

func (e *ListenerEndedError) Error() string {
	return fmt.Sprintf("%s at %s: %v", e.Front, e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *ListenerEndedError) Unwrap() error { return e.Err }

// Code implements operr.Coded.
func (e *ListenerEndedError) Code() string { return "sock-ended" }

// Advice implements operr.Coded.
func (e *ListenerEndedError) Advice() string {
	return "Connections to " + e.Address + " are no longer accepted: restart the program, and check its use of descriptors and memory if the error comes back."
}

// listenError wraps an error of listening in a type with a code.
func listenError(address string, err error) error {
	var c operr.Coded
	switch {
	case errors.As(err, &c):
		return err
	case errors.Is(err, syscall.EADDRINUSE):
		return &InUseError{address, err}
	}
	return &ListenError{address, err}
}

func init() {
	operr.Register(&InUseError{Address: "127.0.0.1:80"}, &ListenError{"/run/c.sock", errors.New("/run/c.sock: exists and is not a socket")},
		&InheritedSocketError{Name: "4", Problem: "descriptor 4 is not a stream socket"}, &ListenerEndedError{"http", "127.0.0.1:80", errors.New("accept: too many open files")})
}
