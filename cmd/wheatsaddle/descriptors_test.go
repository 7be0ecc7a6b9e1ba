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

const smallSocketLimit = 96

// setDescriptorLimit limits the descriptors of a process.
func setDescriptorLimit(t *testing.T, pid int, limit uint64) {
	t.Helper()
	rlimit := syscall.Rlimit{Cur: limit, Max: limit}
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), syscall.RLIMIT_NOFILE, uintptr(unsafe.Pointer(&rlimit)), 0, 0, 0)
	if errno != 0 {
		t.Fatal(errno)
	}
}

// serveList serves an endpoint list of one node, and answers watches without sending any changes.
func serveList(t *testing.T, at, node string) {
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

// Several times more idle clients than there are descriptors connect while discovery is down. The readiness probe is still
// answered, discovery is reached after its recovery, and a connection to the node that only its list contains is opened.
func TestIdleClientsLeaveDescriptors(t *testing.T) {
	cachedNode, listedNode := newBlockingNode(t), newBlockingNode(t)
	close(cachedNode.release)
	close(listedNode.release)
	discoveryAddress := freeAddress(t)
	d := newDaemon(t, daemonOptions{node: cachedNode.address, discovery: discoveryAddress, deadline: 60000})
	d.editFile([2]string{`"sockets":256`, fmt.Sprintf(`"sockets":%d`, smallSocketLimit)})
	d.startAndWait()
	setDescriptorLimit(t, d.cmd.Process.Pid, smallSocketLimit)
	for range 4 * smallSocketLimit {
		d.dial()
	}
	const readinessRequest = "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"
	d.request(d.dial(), readinessRequest, 200)
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid))
	if err != nil || len(open) < smallSocketLimit/4 {
		t.Fatalf("the clients do not use all descriptors that they may: %d open, %v", len(open), err)
	}
	if len(open) > smallSocketLimit*3/4 {
		t.Errorf("%d of %d descriptors are open: none are left for discovery and nodes", len(open), smallSocketLimit)
	}
	d.request(d.dial(), readRequest, 200)
	serveList(t, discoveryAddress, listedNode.address)
	for i := 0; len(listedNode.requests) == 0; i++ {
		d.request(d.dial(), strings.Replace(readRequest, "r1", fmt.Sprint("r", 2+i), 1), 200)
		if len(cachedNode.requests) == cap(cachedNode.requests) {
			<-cachedNode.requests
		}
	}
	d.request(d.dial(), readinessRequest, 200)
}
