package gossip

import (
	"errors"
	"fmt"

	"wheatsaddle/internal/operr"
)

var errNoOne = errors.New("it stands for every address of this machine, and peers.advertise does not say which the others reach")

// NoListen is an address on which the process cannot listen for peers.
type NoListen struct {
	Address string
	Err     error
}

func (e *NoListen) Error() string { return fmt.Sprintf("peers: listen on %s: %v", e.Address, e.Err) }
func (e *NoListen) Unwrap() error { return e.Err }

// Code is stable.
func (e *NoListen) Code() string { return "peers-listen" }

// Advice is for the operator.
func (e *NoListen) Advice() string {
	return "give peers.listen an IP address of this machine and a port that is free for UDP and TCP; with 0.0.0.0 or [::] set peers.advertise to the one that the others reach"
}

// Forbidden says that the platform does not let processes talk to each other.
type Forbidden struct{}

func (e *Forbidden) Error() string {
	return "peers: the site's file names the section, but the platform's settings forbid it (ceilings.peers)"
}

// Code is stable.
func (e *Forbidden) Code() string { return "peers-forbidden" }

// Advice is for the operator.
func (e *Forbidden) Advice() string {
	return "take the section peers out of the site's file, or have the platform set ceilings.peers to true"
}

// BadKey is a key file that holds no key.
type BadKey struct {
	File string
	Err  error
}

func (e *BadKey) Error() string { return fmt.Sprintf("peers: key_file %s: %v", e.File, e.Err) }
func (e *BadKey) Unwrap() error { return e.Err }

// Code is stable.
func (e *BadKey) Code() string { return "peers-key" }

// Advice is for the operator.
func (e *BadKey) Advice() string {
	return "put 32, 48 or 64 hexadecimal digits into the file, the same ones at every process"
}

var _ = register()

func register() bool {
	operr.Register(&NoListen{}, &Forbidden{}, &BadKey{})
	return true
}
