package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"unsafe"
)

const floodSockets = 96

// setDescriptorLimit limits the descriptors of a process.
func setDescriptorLimit(t *testing.T, pid int, most uint64) {
	t.Helper()
	limit := syscall.Rlimit{Cur: most, Max: most}
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), syscall.RLIMIT_NOFILE, uintptr(unsafe.Pointer(&limit)), 0, 0, 0)
	if errno != 0 {
		t.Fatal(errno)
	}
}

// listOf serves a list of one node, and watches without changes.
func listOf(t *testing.T, at, node string) {
	t.Helper()
	ln, err := net.Listen("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, `{"index":5,"snapshot":true,"endpoints":[{"name":"next","address":%q,"group":0,"status":"active","weight":1,"since_ms":0}]}`+"\n", node)
		if r.URL.Query().Has("watch") {
			w.(http.Flusher).Flush()
			select {
			case <-done:
			case <-r.Context().Done():
			}
		}
	})}
	go func() { _ = s.Serve(ln) }() // ends with the server
	t.Cleanup(func() { close(done); _ = s.Close() })
}

// Idle clients, several times the number of descriptors, connect while discovery is down. The readiness probe is answered,
// discovery is reached when it is back, and the node that only its list names is dialled.
func TestIdleClientsFillDescriptors(t *testing.T) {
	known, next := storageNode(t), storageNode(t)
	close(known.release)
	close(next.release)
	service := freeAddress(t)
	d := daemonOf(t, conf{node: known.address, discovery: service, deadline: 60000})
	d.edit([2]string{`"sockets":256`, fmt.Sprintf(`"sockets":%d`, floodSockets)})
	d.up()
	setDescriptorLimit(t, d.cmd.Process.Pid, floodSockets)
	for range 4 * floodSockets {
		d.dial()
	}
	const probe = "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"
	d.request(d.dial(), probe, 200)
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid))
	if err != nil || len(open) < floodSockets/4 {
		t.Fatalf("the clients do not fill their part of the descriptors: %d open, %v", len(open), err)
	}
	if len(open) > floodSockets*3/4 {
		t.Errorf("%d of %d descriptors are open: none are left for discovery and nodes", len(open), floodSockets)
	}
	d.request(d.dial(), read, 200)
	listOf(t, service, next.address)
	for i := 0; len(next.came) == 0; i++ {
		d.request(d.dial(), strings.Replace(read, "r1", fmt.Sprint("r", 2+i), 1), 200)
		if len(known.came) == cap(known.came) {
			<-known.came
		}
	}
	d.request(d.dial(), probe, 200)
}
