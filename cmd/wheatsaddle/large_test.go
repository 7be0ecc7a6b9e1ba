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
)

const (
	largeNodes   = 1024
	largeMemory  = 64 // MB
	largeSockets = 192
)

// manyNodes is one listener that stands for any number of nodes, and counts what comes.
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

// entries are those of nodes from a shard on, at one address.
func entries(name, address, status string, from, to int) string {
	var list []string
	for i := from; i < to; i++ {
		list = append(list, fmt.Sprintf(`{"name":"%s-%04d","address":%q,"group":%d,"status":%q,"weight":1,"since_ms":0}`,
			name, i, address, i, status))
	}
	return strings.Join(list, ",")
}

// The daemon as one of 1,024 schedulers of 1,024 nodes, with fewer descriptors than nodes: it serves
// every shard, takes a list in which half of the nodes are replaced, passes over what is wrong in it,
// and stays under its limits of memory and descriptors.
func TestThousandNodes(t *testing.T) {
	old, oldCame := manyNodes(t)
	next, nextCame := manyNodes(t)
	disco, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer disco.Close()
	lines := make(chan string, 4)
	go func() {
		nc, err := disco.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		var q fasthttp.Request
		if q.Read(bufio.NewReader(nc)) != nil {
			return
		}
		fmt.Fprint(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for beat := time.Tick(time.Second); ; {
			text := "\n"
			select {
			case line, ok := <-lines:
				if !ok {
					return
				}
				text = line + "\n"
			case <-beat:
			}
			if _, err := fmt.Fprintf(nc, "%x\r\n%s\r\n", len(text), text); err != nil {
				return
			}
		}
	}()
	defer close(lines)
	lines <- `{"index":2,"snapshot":true,"endpoints":[` + entries("s", old, "active", 0, largeNodes) + `]}`
	listen, file := freeAddress(t), filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1f","limits":{"cores":1,"memory_mb":%d,"sockets":%d},
"known":{"index":1,"snapshot":true,"endpoints":[%s]},
"settings":{"fleet-size":1024,"ceilings":{"max-attempts":4,"may-cancel":true},
"extra":{"usual-units":2,"largest":6,"slots-total":%d},
"profiles":[{"name":"balance-read","goal-time":30000,"deadline":60000,"repeat":"safe","worth":3}],
"contracts":[{"name":"basic","reservation":1000,"usual-rate":1000}]}}`,
		listen, disco.Addr(), largeMemory, largeSockets, entries("s", old, "active", 0, largeNodes), largeNodes)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var log strings.Builder
	c := program([]string{"ROUTER_CONFIG=" + file})
	c.Stderr = &log
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	defer c.Process.Kill()
	var nc net.Conn
	for nc == nil {
		if nc, err = net.Dial("tcp", listen); err != nil {
			time.Sleep(10 * time.Millisecond) // not up yet
		}
	}
	defer nc.Close()
	br, serial, descriptors := bufio.NewReader(nc), 0, 0
	ask := func(shard int) {
		t.Helper()
		serial++
		q := strings.Replace(read, "r1", fmt.Sprint("q", serial), 1)
		io.WriteString(nc, strings.Replace(q, "shard=0", fmt.Sprint("shard=", shard), 1))
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
	// Half are replaced; a name without an address, an entry twice and one of no shard change nothing else.
	half := largeNodes / 2
	lines <- `{"index":3,"snapshot":false,"endpoints":[` + entries("r", next, "active", 0, half) + "," +
		entries("s", old, "left", 0, half) + "," + entries("r", next, "active", 0, 1) +
		`,{"name":"s-0900","address":"nowhere","group":900,"status":"active"},{"name":"s-0901","address":"` + old +
		`","group":-7,"status":"active"}]}`
	for nextCame.Load() == 0 {
		ask(0) // until the list has been taken
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
	if n := strings.Count(log.String(), "list entry left out"); n != 2 {
		t.Errorf("%d entries were named as left out, want 2:\n%s", n, log.String())
	}
}
