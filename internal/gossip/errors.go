package gossip

import (
	"errors"
	"fmt"

	"wheatsaddle/internal/operr"
)

var errUnspecifiedAddress = errors.New("it means every address of this machine, and peers.advertise does not name the one that the others reach")

// ListenError reports an address at which the process cannot listen for its peers.
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
	return "give peers.listen an IP address of this machine and a port that is free for UDP and TCP; with 0.0.0.0 or [::] set peers.advertise to the one that the others reach"
}

// ForbiddenError reports that the platform forbids communication between processes.
type ForbiddenError struct{}

func (e *ForbiddenError) Error() string {
	return "peers: the site's file has the section, but the platform's settings forbid it (ceilings.peers)"
}

// Code returns the stable identifier.
func (e *ForbiddenError) Code() string { return "peers-forbidden" }

// Advice tells the operator what to do.
func (e *ForbiddenError) Advice() string {
	return "take the section peers out of the site's file, or have the platform set ceilings.peers to true"
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
	return "put 32, 48 or 64 hexadecimal digits into the file, the same at every process"
}

var _ = register()

func register() bool {
	operr.Register(&ListenError{}, &ForbiddenError{}, &KeyError{})
	return true
}
