package transport

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
)

// acceptErrors are errors of accept(2) after which it may succeed again: "an error was already pending on the new socket", a lack of
// something, and a firewall's rule.
var acceptErrors = []syscall.Errno{
	syscall.ENETDOWN, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP,
	syscall.ENETUNREACH, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM, syscall.ECONNABORTED,
	syscall.EINTR, syscall.ETIMEDOUT, syscall.ENOSR, syscall.EAGAIN,
}

// Guards against a front, an admin endpoint or a metrics endpoint that ends because one accept failed.
func TestAcceptIsRepeatedAfterEachTransientError(t *testing.T) {
	permanent := errors.New("not transient")
	for name, wrap := range map[string]func(net.Listener) net.Listener{
		"clients": func(ln net.Listener) net.Listener { return Limit(ln, 1) }, "operators": RetryAccept,
	} {
		for _, errno := range acceptErrors {
			ln := wrap(&failingListener{errs: []error{&net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", errno)}, permanent}})
			if _, err := ln.Accept(); !errors.Is(err, permanent) {
				t.Errorf("%s: after %v Accept returned %v, want that it is repeated", name, errno, err)
			}
		}
	}
}
