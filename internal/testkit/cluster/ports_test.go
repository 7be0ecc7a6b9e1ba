package cluster

import (
	"errors"
	"net"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
)

// A process that is being started holds, between fork and exec, a copy of every descriptor, also of a
// listener that this program has just closed. A free address is one that nobody listened on before.
func TestFreeAddressWhileProcessesStart(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	done := make(chan struct{})
	for range 4 {
		wg.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				if err := exec.Command(self, "-test.run=^$").Run(); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	for range 100 {
		at, err := FreeAddress()
		if err != nil {
			t.Error(err)
			break
		}
		ln, err := net.Listen("tcp", at)
		if err != nil {
			t.Error(err)
			break
		}
		ln.Close()
	}
	close(done)
	wg.Wait()
}

// No connection and no other party that asks for any port gets one that was handed out.
func TestFreeAddressStaysReserved(t *testing.T) {
	at, err := FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	a, err := net.ResolveTCPAddr("tcp4", at)
	if err != nil {
		t.Fatal(err)
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = syscall.Close(fd) }()
	if err = syscall.Bind(fd, &syscall.SockaddrInet4{Port: a.Port, Addr: [4]byte(a.IP.To4())}); !errors.Is(err, syscall.EADDRINUSE) {
		t.Error("bound: ", err)
	}
	if _, err = net.Dial("tcp", at); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Error("dialled: ", err)
	}
}
