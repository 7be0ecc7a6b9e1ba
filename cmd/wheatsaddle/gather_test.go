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

const gatherSiteFormat = `{"gather":{"reads_at_once":1,"parts_most":8,"rules":{"classes":{"balance-read":{"order":[{"key":"k","type":"integer"}],
	"memory":{"bytes":1048576}%s}}}}}`

// The program gathers reads according to the section, and applies changed rules at SIGHUP completely or, if they are invalid,
// not at all. check-config names the invalid key.
func TestGatherSectionAndReload(t *testing.T) {
	rows := &node.Rows{Seed: 1, RowsPerShard: 20}
	n := node.New(node.Options{Name: "s", Rows: rows})
	defer n.Close()
	at, err := n.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	file, listen := writeConfig(t, at.String())
	site := filepath.Join(t.TempDir(), "site.json")
	writeSite := func(text string) {
		t.Helper()
		if err := os.WriteFile(site, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	valid := fmt.Sprintf(gatherSiteFormat, "")
	invalid := map[string]string{
		`{"gather":{}}`: "gather",
		fmt.Sprintf(gatherSiteFormat, `,"truncate":{"top":1,"rows":1}`):                "site: gather.rules.classes.balance-read.truncate.top",
		strings.Replace(valid, "balance-read", "other", 1):                             "site: gather.rules.classes.other",
		strings.Replace(valid, `"reads_at_once":1`, `"reads_at_once":64`, 1):           "site: gather.reads_at_once",
		strings.Replace(valid, `"parts_most":8`, `"part_units":7`, 1):                  "site: gather.part_units",
		strings.Replace(valid, `"parts_most":8`, `"token_key_file":"/none"`, 1):        "site: gather.token_key_file",
		`{"gather":{"rules_file":"/none"}}`:                                            "site: gather.rules_file",
		strings.Replace(valid, `"parts_most":8`, `"again":17`, 1):                      "site: gather.again",
		strings.Replace(valid, `"parts_most":8`, `"rules_file":"x","parts_most":8`, 1): "site: gather",
	}
	for text, key := range invalid {
		writeSite(text)
		if out, err := programCommand([]string{"ROUTER_CONFIG=" + file}, "check-config", "--site", site).CombinedOutput(); err == nil || !strings.Contains(string(out), key) {
			t.Errorf("invalid %s: check-config ended with error %v, output %s", key, err, out)
		}
	}
	writeSite(valid)
	cmd := programCommand([]string{"ROUTER_CONFIG=" + file}, "serve", "--site", site)
	logs, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = cmd.Process.Kill() }()
	lines := bufio.NewScanner(logs)
	awaitLog := func(what ...string) {
		t.Helper()
		for lines.Scan() {
			if !slices.ContainsFunc(what, func(w string) bool { return !strings.Contains(lines.Text(), w) }) {
				return
			}
		}
		t.Fatalf("not logged: %s", what)
	}
	awaitLog("msg=serving")
	requestCount := 0
	gatherRows := func() (int, string) {
		t.Helper()
		nc, err := net.Dial("tcp", listen)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		requestCount++
		fmt.Fprint(nc, strings.Replace(strings.Replace(readRequest, "r1", fmt.Sprint("r", requestCount), 1), "\r\n\r\n", "\r\nX-Gather: 0\r\n\r\n", 1))
		r, err := http.ReadResponse(bufio.NewReader(nc), nil)
		if err != nil {
			t.Fatal(err)
		}
		defer r.Body.Close()
		text, err := io.ReadAll(r.Body)
		if err != nil || r.StatusCode != 200 {
			t.Fatalf("gathered read: error %v, status %d, body %s", err, r.StatusCode, text)
		}
		return strings.Count(string(text), "\n"), r.Trailer.Get("X-Gather-Result")
	}
	reload := func(text string, want ...string) {
		t.Helper()
		writeSite(text)
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		awaitLog(want...)
	}
	if k, result := gatherRows(); k != 20 || result != `{"whole":true}` {
		t.Errorf("%d rows, result %s, want 20 and a complete read", k, result)
	}
	reload(strings.Replace(valid, "balance-read", "other", 1), "reload of section gather failed", "code=config-key", "advice=")
	reload(fmt.Sprintf(gatherSiteFormat, `,"complete":{"need":"most"}`), "reload of the site's file failed", "code=config-key", "need")
	if k, _ := gatherRows(); k != 20 {
		t.Errorf("%d rows after rejected reloads, want the 20 of the previous rules", k)
	}
	reload(fmt.Sprintf(gatherSiteFormat, `,"truncate":{"rows":3}`), "site's file reloaded")
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) { // the line is logged shortly before the rules are applied
		if k, _ := gatherRows(); k == 3 || time.Now().After(end) {
			if k != 3 {
				t.Errorf("%d rows under the new rules, want 3", k)
			}
			break
		}
	}
}

// A part at a shard whose node is slow is expected to take longer, which determines the order of requests.
func TestPartDurationEstimates(t *testing.T) {
	site, err := config.ParseSite([]byte(`{"estimate":{}}`))
	if err != nil {
		t.Fatal(err)
	}
	conf := &config.Config{Settings: policy.Settings{Shards: 3, Classes: []policy.Class{{Name: "read"}}}}
	view := func(shard int, ms float64) nodestats.View {
		return nodestats.View{Key: nodestats.Key{Node: fmt.Sprint("n", shard), StartTime: 1, Class: "read"}, Shard: shard, Origins: 2,
			Sums: nodestats.Sums{N: 50, X: 50, Y: 50 * ms, XX: 50, XY: 50 * ms, YY: 50 * ms * ms}}
	}
	observed := []nodestats.View{view(0, 5), view(1, 80), view(2, 10)}
	estimator := newPartDurationEstimator(site.Estimate, conf, func() []nodestats.View { return observed })
	if got := estimator.expectedMillis("read", []int{0, 1, 2}); len(got) != 3 || !(got[1] > got[2] && got[2] > got[0]) {
		t.Error(got)
	}
	if got := newPartDurationEstimator(site.Estimate, conf, func() []nodestats.View { return nil }).expectedMillis("read", []int{0}); got != nil {
		t.Error(got)
	}
}
