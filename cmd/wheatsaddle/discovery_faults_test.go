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

// awaitTimeout is the maximum time that a test waits for an expected event.
const awaitTimeout = 30 * time.Second

// getStatus requests a path on a new connection and returns the status code; 0: there was no response.
func getStatus(address, path string) int {
	nc, err := net.Dial("tcp", address)
	if err != nil {
		return 0
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(awaitTimeout))
	fmt.Fprintf(nc, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path)
	var r fasthttp.Response
	if r.Read(bufio.NewReader(nc)) != nil {
		return 0
	}
	return r.StatusCode()
}

// waitFor waits for a condition.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(awaitTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// serveIncompleteLists answers each request with half a list and closes the connection.
func serveIncompleteLists(t *testing.T) (address string, calls *atomic.Int64) {
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

// A process becomes ready although discovery refuses connections, rejects requests, resets connections, does not respond or
// sends an incomplete list: with and without the section start, with and without a cached list, with a watch and with polls.
// The time is bounded by coldstart's Settings.ReadyDeadline and by maxListWait, which are both under 6 s.
func TestReadyWithoutDiscovery(t *testing.T) {
	faults := map[string]discovery.Fault{"no listener": {StopListening: true}, "requests rejected": {RejectCalls: true}, "connections reset": {Reset: true}, "silent": {Silent: true},
		"agent down": {Down: true}}
	for name := range faults {
		fault := faults[name]
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			service, err := discovery.New(discovery.Options{Index: 40})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(service.Close)
			if err := service.SetFault(fault); err != nil {
				t.Fatal(err)
			}
			checkBecomesReady(t, service.Addr(), fault.Silent, func() bool { return fault.StopListening || service.Counts().Conns > 0 })
			if n := service.Counts().Served; n > 0 {
				t.Errorf("discovery served %d lists despite its fault", n)
			}
		})
	}
	t.Run("incomplete list", func(t *testing.T) {
		t.Parallel()
		address, calls := serveIncompleteLists(t)
		checkBecomesReady(t, address, true, func() bool { return calls.Load() > 0 })
	})
}

// checkBecomesReady starts a process of each variant with a list service, one after another, and waits until it is ready.
// withoutCachedList adds a process without a cached list, which waits longer.
func checkBecomesReady(t *testing.T, address string, withoutCachedList bool, reached func() bool) {
	variants := []struct{ section, polls, cached bool }{{false, false, true}, {true, false, true}}
	if withoutCachedList {
		variants = append(variants, struct{ section, polls, cached bool }{true, true, false})
	}
	for _, x := range variants {
		file, listen := writeConfig(t, "127.0.0.1:1")
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		admin := freeAddress(t)
		changed := strings.Replace(string(text), `"seed":`, fmt.Sprintf(`"operator":%q,"seed":`, admin), 1)
		if x.polls {
			changed = strings.Replace(changed, `"settings":{`, `"settings":{"membership-mode":"ask",`, 1)
		}
		if !x.cached {
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
		c := programCommand([]string{"ROUTER_CONFIG=" + file, "ROUTER_DISCOVERY=" + address}, args...)
		startedAt := time.Now()
		startAndDial(t, c, listen)
		waitFor(t, "ready for clients", func() bool { return getStatus(listen, "/health/ready") == 200 })
		waitFor(t, "ready for operators", func() bool { return getStatus(admin, "/api/ready") == 200 })
		t.Logf("section %v, polls %v, cached list %v: ready after %v", x.section, x.polls, x.cached, time.Since(startedAt).Round(100*time.Millisecond))
		waitFor(t, "a request at discovery", reached)
		if err := c.Process.Kill(); err != nil {
			t.Error(err)
		}
		_ = c.Wait() // it was killed
	}
}

const (
	smallDescriptorLimit = 96
	nodesOfSmallLimit    = 64
)

// While clients, with and without requests, and nodes use all descriptors that they may, a connection to discovery can still
// be opened when discovery has recovered, and the readiness probe is answered.
func TestDescriptorsLeftForDiscoveryAndReadiness(t *testing.T) {
	node, err := net.Listen("tcp", "127.0.0.1:0") // connections to it can be opened, but requests are never answered
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	fakeDiscovery, err := discovery.New(discovery.Options{Index: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer fakeDiscovery.Close()
	if err := fakeDiscovery.SetFault(discovery.Fault{StopListening: true}); err != nil {
		t.Fatal(err)
	}
	listen, file := freeAddress(t), filepath.Join(t.TempDir(), "config.json")
	cachedList := discovery.List{Index: 1, Full: true, Entries: listEntries("s", node.Addr().String(), discovery.Active, nodesOfSmallLimit)}
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1f","limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":%s,
"settings":{"fleet-size":1,"ceilings":{"max-attempts":1},"extra":{"usual-units":2,"largest":6,"slots-total":%d},
"profiles":[{"name":"balance-read","goal-time":30000,"deadline":60000,"repeat":"safe","worth":3}],
"contracts":[{"name":"basic","reservation":100000,"usual-rate":100000}]}}`, listen, fakeDiscovery.Addr(), cachedList.Text(false), nodesOfSmallLimit)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	c := programCommand([]string{"ROUTER_CONFIG=" + file})
	cmd := exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0"`, smallDescriptorLimit), c.Path)
	cmd.Env = c.Env
	startAndDial(t, cmd, listen)
	openDescriptors := func() int {
		all, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", cmd.Process.Pid))
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
	for i := range nodesOfSmallLimit { // each request has a different node, which does not answer
		q := strings.Replace(readRequest, "r1", fmt.Sprint("q", i), 1)
		_, _ = io.WriteString(dial(), strings.Replace(q, "shard=0", fmt.Sprint("shard=", i), 1))
	}
	sockets := smallDescriptorLimit - reservedDescriptors
	clients := clientConns(sockets, smallDescriptorLimit)
	waitFor(t, "clients and nodes to use all descriptors that they may", func() bool { return openDescriptors() >= sockets })
	for range 2 * smallDescriptorLimit {
		dial()
	}
	t.Logf("%d of %d descriptors are open, clients may use %d", openDescriptors(), smallDescriptorLimit, clients)
	if err := fakeDiscovery.ClearFaults(); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "a watch", func() bool { return fakeDiscovery.Counts().Open == 1 })
	if n := openDescriptors(); n < sockets {
		t.Errorf("%d descriptors are open: the descriptors were not exhausted", n)
	}
	waitFor(t, "an answer to the probe", func() bool { return getStatus(listen, "/health/ready") == 200 })
}
