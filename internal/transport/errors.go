package transport

import (
	"errors"
	"fmt"
	"net"
	"syscall"

	"wheatsaddle/internal/operr"
)

// ErrInUse is what errors.Is asks for.
var ErrInUse error = &InUse{}

// InUse says that somebody answers, or is about to, where the program was to listen.
type InUse struct {
	Address string
	Err     error // the system's word; nil: a live socket file or its lock
}

func (e *InUse) Error() string {
	if e.Err != nil {
		return e.Err.Error()
	}
	return "somebody listens there"
}

// Is makes every InUse ErrInUse.
func (e *InUse) Is(other error) bool { return other == ErrInUse }

// Unwrap gives the system's word.
func (e *InUse) Unwrap() error { return e.Err }

// Code implements operr.Coded.
func (e *InUse) Code() string { return "sock-in-use" }

// Advice implements operr.Coded.
func (e *InUse) Advice() string {
	return "Find who listens at " + e.Address + " (ss -xltnp) and end it, or give this program another address; an earlier process of it may still be stopping."
}

// ListenError is an address at which the system does not let the program listen.
type ListenError struct {
	Address string
	Err     error
}

func (e *ListenError) Error() string { return e.Err.Error() }

// Unwrap gives the system's word.
func (e *ListenError) Unwrap() error { return e.Err }

// Code implements operr.Coded.
func (e *ListenError) Code() string { return "sock-listen" }

// Advice implements operr.Coded.
func (e *ListenError) Advice() string {
	return "See that " + e.Address + " is an address of this machine, or a path whose folder the program's user may write and that no other file has."
}

// PassedError is an inherited descriptor that is no listening TCP socket.
type PassedError struct {
	Name string // as the variable has it
	Says string
	Err  error
}

func (e *PassedError) Error() string {
	text := fmt.Sprintf("passed socket %q: %s", e.Name, e.Says)
	switch {
	case e.Err != nil && e.Says == "":
		text += e.Err.Error()
	case e.Err != nil:
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap gives the system's word.
func (e *PassedError) Unwrap() error { return e.Err }

// Code implements operr.Coded.
func (e *PassedError) Code() string { return "sock-passed" }

// Advice implements operr.Coded.
func (e *PassedError) Advice() string {
	return "Have the platform pass a listening TCP socket at the descriptor that ROUTER_PASSED_SOCKET names, or unset it: the program then binds listen itself."
}

// EndedError is a listener that has closed while it was to go on, or did not close well.
type EndedError struct {
	Front   string
	Address string
	Err     error
}

func (e *EndedError) Error() string { return fmt.Sprintf("%s at %s: %v", e.Front, e.Address, e.Err) }

// Unwrap gives the system's word.
func (e *EndedError) Unwrap() error { return e.Err }

// Code implements operr.Coded.
func (e *EndedError) Code() string { return "sock-ended" }

// Advice implements operr.Coded.
func (e *EndedError) Advice() string {
	return "Nothing is accepted at " + e.Address + " any more: start the program again, and see its descriptors and memory if it comes again."
}

// ListenTCP listens on host:port.
func ListenTCP(address string) (net.Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, listenError(address, err)
	}
	return plainListener{ln}, nil
}

// listenError is the system's word on a listen, with its code.
func listenError(address string, err error) error {
	var c operr.Coded
	switch {
	case errors.As(err, &c):
		return err
	case errors.Is(err, syscall.EADDRINUSE):
		return &InUse{address, err}
	}
	return &ListenError{address, err}
}

func init() {
	operr.Register(&InUse{Address: "127.0.0.1:80"}, &ListenError{"/run/c.sock", errors.New("/run/c.sock: is there and is no socket")},
		&PassedError{Name: "4", Says: "descriptor 4 is no stream socket"}, &EndedError{"http", "127.0.0.1:80", errors.New("accept: too many open files")})
}
