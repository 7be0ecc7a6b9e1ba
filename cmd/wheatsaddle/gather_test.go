package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"wheatsaddle/internal/config"
	"wheatsaddle/internal/nodestats"
	"wheatsaddle/internal/testkit/fake/node"
	"wheatsaddle/policy"
)

const gatherSite = `{"gather":{"reads_at_once":1,"parts_most":8,"rules":{"classes":{"balance-read":{"order":[{"key":"k","type":"integer"}],
	"memory":{"bytes":1048576}%s}}}}}`

// The program gathers according to the section, applies changed rules at SIGHUP as a whole, and nothing of invalid ones;
// check-config names the key.
func TestGatherByTheSite(t *testing.T) {
	rows := &node.Rows{Seed: 1, Count: 20}
	n := node.New(node.Options{Name: "s", Rows: rows})
	defer n.Close()
	at, err := n.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	file, listen := configure(t, at.String())
	site := filepath.Join(t.TempDir(), "site.json")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(site, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	good := fmt.Sprintf(gatherSite, "")
	bad := map[string]string{
		`{"gather":{}}`: "gather",
		fmt.Sprintf(gatherSite, `,"truncate":{"top":1,"rows":1}`):                     "site: gather.rules.classes.balance-read.truncate.top",
		strings.Replace(good, "balance-read", "other", 1):                             "site: gather.rules.classes.other",
		strings.Replace(good, `"reads_at_once":1`, `"reads_at_once":64`, 1):           "site: gather.reads_at_once",
		strings.Replace(good, `"parts_most":8`, `"part_units":7`, 1):                  "site: gather.part_units",
		strings.Replace(good, `"parts_most":8`, `"token_key_file":"/none"`, 1):        "site: gather.token_key_file",
		`{"gather":{"rules_file":"/none"}}`:                                           "site: gather.rules_file",
		strings.Replace(good, `"parts_most":8`, `"again":17`, 1):                      "site: gather.again",
		strings.Replace(good, `"parts_most":8`, `"rules_file":"x","parts_most":8`, 1): "site: gather",
	}
	for text, key := range bad {
		write(text)
		if out, err := program([]string{"ROUTER_CONFIG=" + file}, "check-config", "--site", site).CombinedOutput(); err == nil || !strings.Contains(string(out), key) {
			t.Errorf("%s: %v %s", key, err, out)
		}
	}
	write(good)
	c := program([]string{"ROUTER_CONFIG=" + file}, "serve", "--site", site)
	logs, err := c.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Process.Kill() }()
	lines := bufio.NewScanner(logs)
	until := func(what ...string) {
		t.Helper()
		for lines.Scan() {
			if !slices.ContainsFunc(what, func(w string) bool { return !strings.Contains(lines.Text(), w) }) {
				return
			}
		}
		t.Fatalf("never logged: %s", what)
	}
	until("msg=serving")
	asked := 0
	ask := func() (int, string) {
		t.Helper()
		nc, err := net.Dial("tcp", listen)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		asked++
		fmt.Fprint(nc, strings.Replace(strings.Replace(read, "r1", fmt.Sprint("r", asked), 1), "\r\n\r\n", "\r\nX-Gather: 0\r\n\r\n", 1))
		r, err := http.ReadResponse(bufio.NewReader(nc), nil)
		if err != nil {
			t.Fatal(err)
		}
		defer r.Body.Close()
		text, err := io.ReadAll(r.Body)
		if err != nil || r.StatusCode != 200 {
			t.Fatalf("%v %d %s", err, r.StatusCode, text)
		}
		return strings.Count(string(text), "\n"), r.Trailer.Get("X-Gather-Result")
	}
	hup := func(text string, says ...string) {
		t.Helper()
		write(text)
		if err := c.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		until(says...)
	}
	if k, result := ask(); k != 20 || result != `{"whole":true}` {
		t.Errorf("%d rows, %s", k, result)
	}
	hup(strings.Replace(good, "balance-read", "other", 1), "reload of section gather failed", "code=config-key", "advice=")
	hup(fmt.Sprintf(gatherSite, `,"complete":{"need":"most"}`), "reload of the site's file failed", "code=config-key", "need")
	if k, _ := ask(); k != 20 {
		t.Errorf("%d rows under the rules before", k)
	}
	hup(fmt.Sprintf(gatherSite, `,"truncate":{"rows":3}`), "site's file reloaded")
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) { // the line is said just before the rules count
		if k, _ := ask(); k == 3 || time.Now().After(end) {
			if k != 3 {
				t.Errorf("%d rows under new rules", k)
			}
			break
		}
	}
}

// The order of requests follows the estimate: a shard whose node is slow is expected to take longer.
func TestExpectation(t *testing.T) {
	held, err := config.ParseSite([]byte(`{"estimate":{}}`))
	if err != nil {
		t.Fatal(err)
	}
	conf := &config.Config{Settings: policy.Settings{Shards: 3, Classes: []policy.Class{{Name: "read"}}}}
	view := func(shard int, ms float64) nodestats.View {
		return nodestats.View{Key: nodestats.Key{Node: fmt.Sprint("n", shard), StartTime: 1, Class: "read"}, Shard: shard, Origins: 2,
			Sums: nodestats.Sums{N: 50, X: 50, Y: 50 * ms, XX: 50, XY: 50 * ms, YY: 50 * ms * ms}}
	}
	known := []nodestats.View{view(0, 5), view(1, 80), view(2, 10)}
	x := newPartDurationEstimator(held.Estimate, conf, func() []nodestats.View { return known })
	if got := x.expectedMillis("read", []int{0, 1, 2}); len(got) != 3 || !(got[1] > got[2] && got[2] > got[0]) {
		t.Error(got)
	}
	if got := newPartDurationEstimator(held.Estimate, conf, func() []nodestats.View { return nil }).expectedMillis("read", []int{0}); got != nil {
		t.Error(got)
	}
}
