package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// startCuttingNode starts a node that closes each connection once it has a request. The request may have run.
func startCuttingNode(t *testing.T) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				var request fasthttp.Request
				_ = request.Read(bufio.NewReader(nc)) // the connection is closed in any case
				_ = nc.Close()
			}()
		}
	}()
	return ln.Addr().String()
}

// Guards against a process that replaces another one and rejects a repeat of what may have run there, though nodes will have forgotten the run
// when it is repeated again.
func TestReplacedProcessPassesPossibleRunsOn(t *testing.T) {
	t.Parallel()
	const window = 3 * time.Second
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	passed, err := ln.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = passed.Close() })
	folder, node := t.TempDir(), startCuttingNode(t)
	start := func() *daemon {
		d := newDaemon(t, daemonOptions{node: node, deadline: 10000})
		d.folder, d.passedSocket, d.listen = folder, passed, ln.Addr().String()
		d.editFile([2]string{`"repeat":"safe"`, fmt.Sprintf(`"repeat":"keyed","key-scope":"all","memory-span":%d`, window.Milliseconds())},
			[2]string{`"max-attempts":2`, `"max-attempts":1`})
		d.startAndWait()
		return d
	}
	send := func(d *daemon, id, key string) int {
		c := d.dial()
		defer c.Close()
		text := strings.Replace(readRequest, "X-Request-Id: r1", "X-Request-Id: "+id+"\r\nIdempotency-Key: "+key, 1)
		_, err := io.WriteString(c, text)
		d.must(err)
		code, _, err := c.readResponse()
		d.must(err)
		return code
	}
	former := start()
	sentAt := time.Now()
	if code := send(former, "first", "k"); code != fasthttp.StatusServiceUnavailable {
		t.Fatalf("the former process answered %d to a request whose repeat is discarded", code)
	}
	next := start()
	former.signal(syscall.SIGTERM)
	next.awaitLog("possible runs of the other process are known", 1)
	former.awaitExit()
	time.Sleep(time.Until(sentAt.Add(window - 250*time.Millisecond))) // a further repeat would come after the window
	if code := send(next, "repeat", "k"); code != fasthttp.StatusBadGateway {
		t.Errorf("the next process answered %d to the repeat, want 502", code)
	}
	if code := send(next, "other", "j"); code != fasthttp.StatusServiceUnavailable {
		t.Errorf("the next process answered %d to a request that is no repeat, want 503", code)
	}
	next.signal(syscall.SIGTERM)
	next.awaitExit()
}
