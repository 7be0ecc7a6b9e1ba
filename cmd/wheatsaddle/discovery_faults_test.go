package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/testkit/fake/discovery"
)

// listGuard is how long a test waits for an expected event.
const listGuard = 30 * time.Second

// probe requests a path on a connection of its own; 0: no answer.
func probe(address, path string) int {
	nc, err := net.Dial("tcp", address)
	if err != nil {
		return 0
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(listGuard))
	fmt.Fprintf(nc, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path)
	var r fasthttp.Response
	if r.Read(bufio.NewReader(nc)) != nil {
		return 0
	}
	return r.StatusCode()
}

// waitFor waits for a condition.
func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(listGuard); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: did not come", what)
		}
	}
}

// tornLists answers each request with half a list, and closes.
func tornLists(t *testing.T) (address string, calls *atomic.Int64) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	calls = &atomic.Int64{}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			if (&fasthttp.Request{}).Read(bufio.NewReader(nc)) == nil {
				half := `{"index":7,"snapshot":true,"endpoints":[{"name":"s","sta`
				fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(half), half)
				calls.Add(1)
			}
			nc.Close()
		}
	}()
	return ln.Addr().String(), calls
}

// A process becomes ready with discovery refusing connections, rejecting requests, resetting them, silent, or sending an
// incomplete list: with and without the section start, with and without a cached list, with a watch and with polls. The
// bound is that of coldstart's Settings.ReadyMost and of maxListWait, which are under 6 s.
func TestReadyWithoutDiscovery(t *testing.T) {
	faults := map[string]discovery.Fault{"down": {Shut: true}, "refusing": {Refuse: true}, "reset": {Reset: true}, "silent": {Silent: true},
		"down agent": {Down: true}}
	for name := range faults {
		f := faults[name]
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, err := discovery.New(discovery.Options{Index: 40})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(s.Close)
			if err := s.Set(f); err != nil {
				t.Fatal(err)
			}
			checkReadyWith(t, s.Addr(), f.Silent, func() bool { return f.Shut || s.Counts().Came > 0 })
			if n := s.Counts().Served; n > 0 {
				t.Errorf("%d lists were served", n)
			}
		})
	}
	t.Run("torn", func(t *testing.T) {
		t.Parallel()
		address, calls := tornLists(t)
		checkReadyWith(t, address, true, func() bool { return calls.Load() > 0 })
	})
}

// checkReadyWith starts a process of each kind with a list service, one after another, until it is ready; bare: also one
// without a cached list, which waits longer.
func checkReadyWith(t *testing.T, address string, bare bool, reached func() bool) {
	kinds := []struct{ section, ask, held bool }{{false, false, true}, {true, false, true}}
	if bare {
		kinds = append(kinds, struct{ section, ask, held bool }{true, true, false})
	}
	for _, x := range kinds {
		file, listen := configure(t, "127.0.0.1:1")
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		admin := freeAddress(t)
		changed := strings.Replace(string(text), `"seed":`, fmt.Sprintf(`"operator":%q,"seed":`, admin), 1)
		if x.ask {
			changed = strings.Replace(changed, `"settings":{`, `"settings":{"membership-mode":"ask",`, 1)
		}
		if !x.held {
			from, to := strings.Index(changed, `"known":`), strings.Index(changed, `"settings":`)
			changed = changed[:from] + changed[to:]
		}
		if err := os.WriteFile(file, []byte(changed), 0o600); err != nil {
			t.Fatal(err)
		}
		args := []string{"serve"}
		if x.section {
			site := filepath.Join(t.TempDir(), "site.json")
			if err := os.WriteFile(site, []byte(`{"start":{"list_priced":true}}`), 0o600); err != nil {
				t.Fatal(err)
			}
			args = append(args, "--site", site)
		}
		c := program([]string{"ROUTER_CONFIG=" + file, "ROUTER_DISCOVERY=" + address}, args...)
		began := time.Now()
		upAt(t, c, listen)
		waitFor(t, "ready for clients", func() bool { return probe(listen, "/health/ready") == 200 })
		waitFor(t, "ready for operators", func() bool { return probe(admin, "/api/ready") == 200 })
		t.Logf("section %v, asked %v, held %v: ready after %v", x.section, x.ask, x.held, time.Since(began).Round(100*time.Millisecond))
		waitFor(t, "a call at discovery", reached)
		if err := c.Process.Kill(); err != nil {
			t.Error(err)
		}
		_ = c.Wait() // it was killed
	}
}

const (
	fewDescriptors = 96
	fewNodes       = 64
)

// While clients, with and without requests, and nodes hold all descriptors that they may, the connection to discovery still gets
// one when discovery is back, and so does the readiness probe.
func TestDiscoveryAndProbeGetDescriptors(t *testing.T) {
	node, err := net.Listen("tcp", "127.0.0.1:0") // it takes requests and answers none
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	disco, err := discovery.New(discovery.Options{Index: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer disco.Close()
	if err := disco.Set(discovery.Fault{Shut: true}); err != nil {
		t.Fatal(err)
	}
	listen, file := freeAddress(t), filepath.Join(t.TempDir(), "config.json")
	known := discovery.List{Index: 1, Full: true, Entries: entries("s", node.Addr().String(), discovery.Active, fewNodes)}
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1f","limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":%s,
"settings":{"fleet-size":1,"ceilings":{"max-attempts":1},"extra":{"usual-units":2,"largest":6,"slots-total":%d},
"profiles":[{"name":"balance-read","goal-time":30000,"deadline":60000,"repeat":"safe","worth":3}],
"contracts":[{"name":"basic","reservation":100000,"usual-rate":100000}]}}`, listen, disco.Addr(), known.Text(false), fewNodes)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	c := program([]string{"ROUTER_CONFIG=" + file})
	limited := exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0"`, fewDescriptors), c.Path)
	limited.Env = c.Env
	upAt(t, limited, listen)
	open := func() int {
		all, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", limited.Process.Pid))
		return len(all)
	}
	dial := func() net.Conn {
		nc, err := net.Dial("tcp", listen)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		return nc
	}
	for i := range fewNodes { // each request has a node of its own, which holds it
		q := strings.Replace(read, "r1", fmt.Sprint("q", i), 1)
		_, _ = io.WriteString(dial(), strings.Replace(q, "shard=0", fmt.Sprint("shard=", i), 1))
	}
	sockets := fewDescriptors - reservedDescriptors
	clients := clientConns(sockets, fewDescriptors)
	waitFor(t, "clients and nodes hold all that they may", func() bool { return open() >= sockets })
	for range 2 * fewDescriptors {
		dial()
	}
	t.Logf("%d descriptors of %d are open, %d may be clients'", open(), fewDescriptors, clients)
	if err := disco.Up(); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "a watch", func() bool { return disco.Counts().Open == 1 })
	if n := open(); n < sockets {
		t.Errorf("%d descriptors are open: the test did not reach its crossing", n)
	}
	waitFor(t, "an answer to the probe", func() bool { return probe(listen, "/health/ready") == 200 })
}
