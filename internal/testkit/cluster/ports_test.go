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

// Between fork and exec, a process that is being started holds a copy of every descriptor, even of a listener that
// this program has just closed. So FreeAddress must return addresses on which this program never listened.
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
		addr, err := FreeAddress()
		if err != nil {
			t.Error(err)
			break
		}
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			t.Error(err)
			break
		}
		ln.Close()
	}
	close(done)
	wg.Wait()
}

// An address that FreeAddress returned stays reserved: no other socket can bind it without SO_REUSEADDR, and connecting to it
// fails.
func TestFreeAddressStaysReserved(t *testing.T) {
	addr, err := FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	a, err := net.ResolveTCPAddr("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = syscall.Close(fd) }()
	if err = syscall.Bind(fd, &syscall.SockaddrInet4{Port: a.Port, Addr: [4]byte(a.IP.To4())}); !errors.Is(err, syscall.EADDRINUSE) {
		t.Error("bind to the reserved address did not fail with EADDRINUSE: ", err)
	}
	if _, err = net.Dial("tcp", addr); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Error("dial of the reserved address did not fail with ECONNREFUSED: ", err)
	}
}
