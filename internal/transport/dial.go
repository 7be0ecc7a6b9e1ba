package transport

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"wheatsaddle/internal/address"
)

// Stream is a connection that gives access to its socket.
type Stream interface {
	net.Conn
	syscall.Conn
}

// Dial connects to one address within the given time. With an error it returns the reason that the address selector records.
func Dial(ctx context.Context, a address.Addr, within time.Duration) (Stream, address.Reason, error) {
	network, to := a.Dial()
	nc, err := (&net.Dialer{Timeout: within, KeepAlive: -1}).DialContext(ctx, network, to)
	if err != nil {
		return nil, ClassifyDialError(err, a.Family()), err
	}
	s, err := DisableSplice(nc)
	if err != nil {
		return nil, address.ReasonRefused, err
	}
	return s, 0, nil
}

var (
	resourceErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}
	familyErrors   = []error{syscall.EAFNOSUPPORT, syscall.EPROTONOSUPPORT, syscall.ESOCKTNOSUPPORT}
)

func matchesAny(err error, list []error) bool {
	for _, x := range list {
		if errors.Is(err, x) {
			return true
		}
	}
	return false
}

// ClassifyDialError returns the reason for a failed connect. For IPv6, EADDRNOTAVAIL and ENETUNREACH mean that the machine
// has no IPv6 or no route; for IPv4, EADDRNOTAVAIL means that local ports have run out. EAGAIN means that
// the backlog of a Unix socket is full (connect(2)).
func ClassifyDialError(err error, k address.Family) address.Reason {
	var timeout net.Error
	switch {
	case matchesAny(err, resourceErrors):
		return address.ReasonNoResource
	case matchesAny(err, familyErrors):
		return address.ReasonNoFamily
	case errors.Is(err, syscall.EADDRNOTAVAIL) || errors.Is(err, syscall.ENETUNREACH):
		if k == address.IPv6 {
			return address.ReasonNoFamily
		}
		if errors.Is(err, syscall.EADDRNOTAVAIL) {
			return address.ReasonNoResource
		}
		return address.ReasonRefused
	case errors.Is(err, syscall.EAGAIN) || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) ||
		errors.As(err, &timeout) && timeout.Timeout():
		return address.ReasonTimedOut
	}
	return address.ReasonRefused
}
