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
	largeNodes   = 1024
	largeMemory  = 64 // MB
	largeSockets = 192
)

// manyNodes is one listener that stands for any number of nodes, and counts requests.
func manyNodes(t *testing.T) (address string, came *atomic.Int64) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	came = &atomic.Int64{}
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
					came.Add(1)
					fmt.Fprint(nc, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
			}()
		}
	}()
	return ln.Addr().String(), came
}

// entries are those of n nodes, one for each shard, at one address.
func entries(name, address string, status discovery.Status, n int) (list []discovery.Entry) {
	for i := range n {
		list = append(list, discovery.Entry{Name: fmt.Sprintf("%s-%04d", name, i), Address: address, Group: i, Status: status, Weight: 1})
	}
	return list
}

// The daemon as one of 1,024 schedulers of 1,024 nodes, with fewer descriptors than nodes: it serves every shard, accepts a
// list in which half of the nodes are replaced, ignores its invalid entries, and stays within its limits of memory and
// descriptors.
func TestThousandNodes(t *testing.T) {
	old, oldCame := manyNodes(t)
	next, nextCame := manyNodes(t)
	disco, err := discovery.New(discovery.Options{Index: 2})
	if err != nil {
		t.Fatal(err)
	}
	defer disco.Close()
	all := entries("s", old, discovery.Active, largeNodes)
	disco.Put(all...)
	listen, file := freeAddress(t), filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1f","limits":{"cores":1,"memory_mb":%d,"sockets":%d},
"known":%s,
"settings":{"fleet-size":1024,"ceilings":{"max-attempts":4,"may-cancel":true},
"extra":{"usual-units":2,"largest":6,"slots-total":%d},
"profiles":[{"name":"balance-read","goal-time":30000,"deadline":60000,"repeat":"safe","worth":3}],
"contracts":[{"name":"basic","reservation":1000,"usual-rate":1000}]}}`,
		listen, disco.Addr(), largeMemory, largeSockets, discovery.List{Index: 1, Full: true, Entries: all}.Text(false), largeNodes)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var log strings.Builder
	c := program([]string{"ROUTER_CONFIG=" + file})
	c.Stderr = &log
	nc := upAt(t, c, listen)
	br, serial, descriptors := bufio.NewReader(nc), 0, 0
	ask := func(shard int) {
		t.Helper()
		serial++
		q := strings.Replace(read, "r1", fmt.Sprint("q", serial), 1)
		_, _ = io.WriteString(nc, strings.Replace(q, "shard=0", fmt.Sprint("shard=", shard), 1))
		var r fasthttp.Response
		if err := r.Read(br); err != nil || r.StatusCode() != 200 || string(r.Body()) != "ok" {
			t.Fatalf("shard %d: %v %d %q", shard, err, r.StatusCode(), r.Body())
		}
		if serial%16 == 0 {
			if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", c.Process.Pid)); err == nil {
				descriptors = max(descriptors, len(open))
			}
		}
	}
	for i := range largeNodes {
		ask(i)
	}
	if n := oldCame.Load(); n < largeNodes {
		t.Errorf("%d requests came to the nodes", n)
	}
	// Half are replaced; a name without an address, a repeated entry and one without a shard change nothing else.
	half := largeNodes / 2
	changes := append(entries("r", next, discovery.Active, half), entries("s", old, discovery.Left, half)...)
	twice := append(entries("r", next, discovery.Active, 1), changes[0])
	index := disco.Put(append(changes, discovery.Entry{Name: "s-0900", Address: "nowhere", Group: 900, Status: discovery.Active},
		discovery.Entry{Name: "s-0901", Address: old, Group: -7, Status: discovery.Active})...)
	for disco.Say(string(discovery.List{Index: index, Entries: twice}.Text(false))) == 0 {
		time.Sleep(time.Millisecond) // the watch is not open yet
	}
	for nextCame.Load() == 0 {
		ask(half - 1) // until the list has been taken: what is said may come before what is put
	}
	before := nextCame.Load()
	for i := range largeNodes {
		ask(i)
	}
	if n := nextCame.Load() - before; n != int64(half) {
		t.Errorf("%d requests came to the %d replacements", n, half)
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	fields := strings.Fields(rest)
	if kb, err := strconv.Atoi(fields[0]); err != nil || kb > largeMemory<<10 {
		t.Errorf("%s kB at most, %d MB allowed: %v", fields[0], largeMemory, err)
	}
	if descriptors == 0 || descriptors > largeSockets {
		t.Errorf("%d descriptors of %d", descriptors, largeSockets)
	}
	t.Logf("memory at most %s kB, %d descriptors", fields[0], descriptors)
	nc.Close()
	if err := c.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := c.Wait(); err != nil {
		t.Errorf("%v\n%s", err, log.String())
	}
	if n := strings.Count(log.String(), "invalid entry of the endpoint list ignored"); n != 2 {
		t.Errorf("%d entries were logged as ignored, want 2:\n%s", n, log.String())
	}
}
