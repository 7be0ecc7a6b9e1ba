package gossip

import (
	"errors"
	"fmt"

	"wheatsaddle/internal/operr"
)

var errUnspecifiedAddress = errors.New("the address is unspecified (all addresses of this machine), and peers.advertise does not set the one that other processes reach")

// ListenError reports an address on which the process cannot listen for other processes.
type ListenError struct {
	Address string
	Err     error
}

func (e *ListenError) Error() string { return fmt.Sprintf("peers: listen on %s: %v", e.Address, e.Err) }
func (e *ListenError) Unwrap() error { return e.Err }

// Code returns the stable identifier.
func (e *ListenError) Code() string { return "peers-listen" }

// Advice tells the operator what to do.
func (e *ListenError) Advice() string {
	return "set peers.listen to an IP address of this machine and a port that is free for UDP and TCP; for 0.0.0.0 or [::], set peers.advertise to the address that others reach"
}

// ForbiddenError reports that the platform forbids communication between processes.
type ForbiddenError struct{}

func (e *ForbiddenError) Error() string {
	return "peers: the site's file has a section peers, but the platform's settings forbid it (ceilings.peers)"
}

// Code returns the stable identifier.
func (e *ForbiddenError) Code() string { return "peers-forbidden" }

// Advice tells the operator what to do.
func (e *ForbiddenError) Advice() string {
	return "remove the section peers from the site's file, or have the platform set ceilings.peers to true"
}

// KeyError reports a key file without a valid key.
type KeyError struct {
	File string
	Err  error
}

func (e *KeyError) Error() string { return fmt.Sprintf("peers: key_file %s: %v", e.File, e.Err) }
func (e *KeyError) Unwrap() error { return e.Err }

// Code returns the stable identifier.
func (e *KeyError) Code() string { return "peers-key" }

// Advice tells the operator what to do.
func (e *KeyError) Advice() string {
	return "write 32, 48 or 64 hexadecimal digits into the file, the same for every process"
}

var _ = register()

func register() bool {
	operr.Register(&ListenError{}, &ForbiddenError{}, &KeyError{})
	return true
}
