package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/testkit/fake/discovery"
)

const (
	manyNodesCount    = 1024
	manyNodesMemoryMB = 64
	manyNodesSockets  = 192
)

// serveManyNodes starts one listener that serves as any number of nodes, and counts its requests.
func serveManyNodes(t *testing.T) (address string, requests *atomic.Int64) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	requests = &atomic.Int64{}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				var q fasthttp.Request
				for br := bufio.NewReader(nc); q.Read(br) == nil; {
					requests.Add(1)
					fmt.Fprint(nc, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
			}()
		}
	}()
	return ln.Addr().String(), requests
}

// listEntries returns the list entries of n nodes, one for each shard, at one address.
func listEntries(name, address string, status discovery.Status, n int) (entries []discovery.Entry) {
	for i := range n {
		entries = append(entries, discovery.Entry{Name: fmt.Sprintf("%s-%04d", name, i), Address: address, Group: i, Status: status, Weight: 1})
	}
	return entries
}

// One of 1,024 schedulers of 1,024 nodes, with fewer descriptors than nodes, serves every shard, accepts a list in which half
// of the nodes are replaced, ignores the list's invalid entries, and stays within its memory and descriptor limits.
func TestThousandNodes(t *testing.T) {
	oldNodes, oldRequests := serveManyNodes(t)
	newNodes, newRequests := serveManyNodes(t)
	fakeDiscovery, err := discovery.New(discovery.Options{Index: 2})
	if err != nil {
		t.Fatal(err)
	}
	defer fakeDiscovery.Close()
	all := listEntries("s", oldNodes, discovery.Active, manyNodesCount)
	fakeDiscovery.Put(all...)
	listen, file := freeAddress(t), filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1f","limits":{"cores":1,"memory_mb":%d,"sockets":%d},
"known":%s,
"settings":{"fleet-size":1024,"ceilings":{"max-attempts":4,"may-cancel":true},
"extra":{"usual-units":2,"largest":6,"slots-total":%d},
"profiles":[{"name":"balance-read","goal-time":30000,"deadline":60000,"repeat":"safe","worth":3}],
"contracts":[{"name":"basic","reservation":1000,"usual-rate":1000}]}}`,
		listen, fakeDiscovery.Addr(), manyNodesMemoryMB, manyNodesSockets, discovery.List{Index: 1, Full: true, Entries: all}.Text(false), manyNodesCount)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var log strings.Builder
	cmd := programCommand([]string{"ROUTER_CONFIG=" + file})
	cmd.Stderr = &log
	nc := startAndDial(t, cmd, listen)
	br, requestCount, descriptors := bufio.NewReader(nc), 0, 0
	sendRequest := func(shard int) {
		t.Helper()
		requestCount++
		q := strings.Replace(readRequest, "r1", fmt.Sprint("q", requestCount), 1)
		_, _ = io.WriteString(nc, strings.Replace(q, "shard=0", fmt.Sprint("shard=", shard), 1))
		var r fasthttp.Response
		if err := r.Read(br); err != nil || r.StatusCode() != 200 || string(r.Body()) != "ok" {
			t.Fatalf("request for shard %d: error %v, status %d, body %q", shard, err, r.StatusCode(), r.Body())
		}
		if requestCount%16 == 0 {
			if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", cmd.Process.Pid)); err == nil {
				descriptors = max(descriptors, len(open))
			}
		}
	}
	for i := range manyNodesCount {
		sendRequest(i)
	}
	if n := oldRequests.Load(); n < manyNodesCount {
		t.Errorf("the nodes received only %d requests, fewer than one for each shard", n)
	}
	// Half of the nodes are replaced. An entry with an invalid address and one with an invalid shard are logged and ignored,
	// and a duplicate entry changes nothing.
	half := manyNodesCount / 2
	changes := append(listEntries("r", newNodes, discovery.Active, half), listEntries("s", oldNodes, discovery.Left, half)...)
	duplicate := append(listEntries("r", newNodes, discovery.Active, 1), changes[0])
	index := fakeDiscovery.Put(append(changes, discovery.Entry{Name: "s-0900", Address: "nowhere", Group: 900, Status: discovery.Active},
		discovery.Entry{Name: "s-0901", Address: oldNodes, Group: -7, Status: discovery.Active})...)
	for fakeDiscovery.InjectLine(string(discovery.List{Index: index, Entries: duplicate}.Text(false))) == 0 {
		time.Sleep(time.Millisecond) // until the watch is open
	}
	for newRequests.Load() == 0 {
		sendRequest(half - 1) // until the new list is applied: the line of InjectLine may arrive before the changes of Put
	}
	before := newRequests.Load()
	for i := range manyNodesCount {
		sendRequest(i)
	}
	if n := newRequests.Load() - before; n != int64(half) {
		t.Errorf("%d requests reached the %d new nodes, want one for each", n, half)
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	fields := strings.Fields(rest)
	if kb, err := strconv.Atoi(fields[0]); err != nil || kb > manyNodesMemoryMB<<10 {
		t.Errorf("peak memory %s kB, %d MB allowed: %v", fields[0], manyNodesMemoryMB, err)
	}
	if descriptors == 0 || descriptors > manyNodesSockets {
		t.Errorf("at most %d descriptors were open, limit %d", descriptors, manyNodesSockets)
	}
	t.Logf("peak memory %s kB, at most %d descriptors", fields[0], descriptors)
	nc.Close()
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("the program did not exit with code 0: %v\n%s", err, log.String())
	}
	if n := strings.Count(log.String(), "invalid entry of the endpoint list ignored"); n != 2 {
		t.Errorf("%d entries were logged as ignored, want 2:\n%s", n, log.String())
	}
}
