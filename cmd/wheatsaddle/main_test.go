package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/config"
	"wheatsaddle/policy"
)

// TestMain lets the test program run as the real one, so that signals and exit codes are seen from outside.
func TestMain(m *testing.M) {
	if os.Getenv("WHEATSADDLE_AS_PROGRAM") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

func program(env []string, args ...string) *exec.Cmd {
	c := exec.Command(os.Args[0], args...)
	c.Env = append([]string{"WHEATSADDLE_AS_PROGRAM=1"}, env...)
	return c
}

func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// configure writes a configuration with one cached node.
func configure(t *testing.T, node string) (file, listen string) {
	t.Helper()
	listen, file = freeAddress(t), filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1f","limits":{"cores":1,"memory_mb":192,"sockets":256},
"known":{"index":1,"snapshot":true,"endpoints":[{"name":"s","address":%q,"group":0,"status":"active","weight":1,"since_ms":0}]},
"settings":{"fleet-size":1,"ceilings":{"max-attempts":2,"may-cancel":true},"extra":{"usual-units":2,"largest":6},
"profiles":[{"name":"balance-read","goal-time":30000,"deadline":60000,"repeat":"safe","worth":3}],
"contracts":[{"name":"basic","reservation":1000,"usual-rate":1000}]}}`, listen, freeAddress(t), node)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file, listen
}

const read = "GET /balance-read/x HTTP/1.1\r\nHost: o\r\nX-Request-Id: r1\r\nTier: basic\r\nCookie: extent=7f3a9c21e0b4d655\r\n" +
	"X-Deadline-Ms: 50000\r\nIO-Info: volume=00000003b4d60021,units=2,shard=0,hosts=1\r\n\r\n"

// upAt starts the program and connects to it once it accepts connections. Both end with the test.
func upAt(t *testing.T, c *exec.Cmd, listen string) net.Conn {
	t.Helper()
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Process.Kill() }) // it may have ended
	for {
		nc, err := net.Dial("tcp", listen)
		if err == nil {
			t.Cleanup(func() { nc.Close() })
			return nc
		}
		time.Sleep(10 * time.Millisecond) // not up yet
	}
}

// With discovery down the program serves the cached list. At SIGTERM it answers the open requests, serves the open
// connections while new ones are rejected, and exits with code 0.
func TestServeAndStop(t *testing.T) {
	node, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	came, release := make(chan bool, 1), make(chan bool)
	go func() {
		nc, err := node.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		var q fasthttp.Request
		for br := bufio.NewReader(nc); q.Read(br) == nil; {
			came <- true
			<-release
			fmt.Fprint(nc, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}()
	file, listen := configure(t, node.Addr().String())
	var log bytes.Buffer
	c := program([]string{"ROUTER_CONFIG=" + file})
	c.Stderr = &log
	nc := upAt(t, c, listen)
	fmt.Fprint(nc, read)
	<-came
	if err := c.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	close(release)
	var r fasthttp.Response
	br := bufio.NewReader(nc)
	for i := range 2 {
		if err := r.Read(br); err != nil || r.StatusCode() != 200 || string(r.Body()) != "ok" {
			t.Errorf("%d: %v %d %q", i, err, r.StatusCode(), r.Body())
		}
		if i == 0 {
			for other, err := net.Dial("tcp", listen); err == nil; other, err = net.Dial("tcp", listen) {
				other.Close() // it still accepts
				time.Sleep(10 * time.Millisecond)
			}
			fmt.Fprint(nc, strings.Replace(read, "r1", "r2", 1))
		}
	}
	nc.Close()
	if err := c.Wait(); err != nil {
		t.Errorf("%v\n%s", err, log.String())
	}
}

// The iSCSI front listens only where its file says, outlives a reload, and stops with the program.
func TestServeISCSI(t *testing.T) {
	file, listen := configure(t, "127.0.0.1:1")
	blocks, blockFile := freeAddress(t), filepath.Join(t.TempDir(), "iscsi.json")
	text := fmt.Sprintf(`{"listen":%q,"storage":[{"name":"st","address":"127.0.0.1:1","target":"iqn.st","group":0}],
"targets":[{"name":"iqn.t","luns":[{"lun":0,"group":0,"volume":"00000000000a0000","plan":"basic","blocks":8,"read_only":true,
"rules":[{"command":"read","class":"balance-read"}]}]}]}`, blocks)
	if err := os.WriteFile(blockFile, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var log bytes.Buffer
	c := program([]string{"ROUTER_CONFIG=" + file}, "serve", "--iscsi", blockFile)
	c.Stderr = &log
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Process.Kill() }() // it may have ended
	for _, address := range []string{listen, blocks} {
		nc, err := net.Dial("tcp", address)
		for ; err != nil; nc, err = net.Dial("tcp", address) {
			time.Sleep(10 * time.Millisecond) // not up yet
		}
		t.Cleanup(func() { nc.Close() })
		fmt.Fprintf(nc, "%048d\r\n\r\n", 7) // neither HTTP nor a login: an answer or a close, and no crash
		_, _ = nc.Read(make([]byte, 1))
	}
	for _, s := range []os.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		if err := c.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	if err := c.Wait(); err != nil {
		t.Errorf("%v\n%s", err, log.String())
	}
}

// A reload uses the file's discovery, not the environment's of the start, changes nothing if the file is invalid, and names the
// keys that need a restart.
func TestReload(t *testing.T) {
	file, _ := configure(t, "127.0.0.1:1")
	env := func(k string) string {
		return map[string]string{"ROUTER_CONFIG": file, "ROUTER_DISCOVERY": "127.0.0.1:1"}[k]
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	held, err := config.Load(env)
	if err != nil {
		t.Fatal(err)
	}
	before := held.MemoryMB
	log, hook := logtest.NewNullLogger()
	moved := ""
	move := func(_ context.Context, address string) bool { moved = address; return true }
	retune := func(policy.Settings) error { t.Error("retuned by equal settings"); return nil }
	for _, x := range []struct{ from, to, says string }{
		{`"sockets":256`, `"sockets":"x"`, "limits.sockets"}, {`"index":1`, `"index":"x"`, "known"}, {`"discovery":"`, `"discovery":7,"was":"`, "discovery"},
		{`"max-attempts":2`, `"max-attempts":0`, "max-attempts"}, {`}]}}`, `}]}`, "JSON"},
	} {
		bad := bytes.Replace(text, []byte(x.from), []byte(x.to), 1)
		bad = bytes.Replace(bad, []byte(`"memory_mb":192`), []byte(`"memory_mb":64`), 1)
		if err := os.WriteFile(file, bad, 0o600); err != nil {
			t.Fatal(err)
		}
		if got, taken := (&reloader{env: env, setDiscoveryAddress: move, reconfigure: retune, log: log}).reload(context.Background(), held); taken || got != held || moved != "" || held.MemoryMB != before {
			t.Errorf("%s took effect: moved %q", x.to, moved)
		}
		if e := hook.LastEntry(); e == nil || e.Data["code"] == nil || e.Data["advice"] == nil || !strings.Contains(fmt.Sprint(e.Data["error"]), x.says) {
			t.Errorf("%s: %+v", x.to, e)
		}
	}
	text = bytes.Replace(text, []byte(`"sockets":256`), []byte(`"sockets":512`), 1)
	text = bytes.Replace(text, []byte(`"memory_mb":192`), []byte(`"memory_mb":128`), 1)
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	hook.Reset()
	got, taken := (&reloader{env: env, setDiscoveryAddress: move, reconfigure: retune, log: log}).reload(context.Background(), held)
	if !taken || moved == "" || moved == "127.0.0.1:1" || got.Discovery != moved || got.MemoryMB != 128 || got.Sockets != 256 {
		t.Errorf("moved to %q, %+v", moved, got)
	}
	if e := hook.AllEntries(); len(e) != 2 || e[0].Data["keys"] != "limits.sockets" {
		t.Errorf("%+v", e)
	}
}

func TestDescriptorLimit(t *testing.T) {
	if n := descriptorLimit(8); n != 8 {
		t.Errorf("%d, the configuration says 8", n)
	}
	if n := descriptorLimit(1 << 40); n >= 1<<40 {
		t.Errorf("%d is over what the process may hold", n)
	}
}

func TestCommands(t *testing.T) {
	file, listen := configure(t, "127.0.0.1:1")
	bad := filepath.Join(t.TempDir(), "bad.json")
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(bad, bytes.Replace(text, []byte(`"sockets":256`), []byte(`"sockets":"x"`), 1), 0o600); err != nil {
		t.Fatal(err)
	}
	taken, err := net.Listen("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	for _, x := range []struct {
		args []string
		code int
		says string
	}{
		{[]string{"version"}, 0, version},
		{[]string{"serve", file}, 1, "bind: address already in use\ncode: sock-in-use\nadvice: "},
		{[]string{"check-config", file}, 0, "good: 1 classes, 1 plans, 1 known nodes"},
		{[]string{"check-config", bad}, 1, "limits.sockets: \"x\" is not a number of at least 64\ncode: config-key\nadvice: Set limits.sockets to "},
		{[]string{"check-config"}, 1, "ROUTER_CONFIG"},
		{[]string{"serve", "--iscsi", bad}, 1, "ROUTER_CONFIG"},
		{[]string{"check-config", "--iscsi", "../../deploy/iscsi.json", file}, 1, "iscsi.targets.0.luns.0.plan"},
		{[]string{"replay", "../../internal/replay/testdata/access.log"}, 0, "balance-read"},
		{[]string{"replay", "--config", file, "../../internal/replay/testdata/access.log"}, 0, "line 8: class \"new-record\" is unknown"},
		{[]string{"replay", "--plan", "basic", "--out", "-", "--as", "http", "../../internal/replay/testdata/small.har"}, 0, "PUT /new-record/cards/9?v=2 HTTP/1.1"},
		{[]string{"replay", "--config", file, "--out", "-", "../../internal/replay/testdata/access.log"}, 0, `"plan":"basic"`},
		{[]string{"replay", "--out", "-", "../../internal/replay/testdata/access.log"}, 1, "code: replay-plan"},
		{[]string{"replay", "--plan", "basic", "--out", "-", "../../internal/replay/testdata/small.har"}, 0, `"at_ms":250`},
		{[]string{"replay", "none"}, 1, "none"},
	} {
		c := program(nil, x.args...)
		out, _ := c.CombinedOutput()
		if code := c.ProcessState.ExitCode(); code != x.code || !strings.Contains(string(out), x.says) {
			t.Errorf("%v: exit %d\n%s", x.args, code, out)
		}
	}
}

// The site's file adds a Unix socket for clients. An invalid file is an error before anything starts, and changes nothing at
// a reload.
func TestSite(t *testing.T) {
	node, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	file, listen := configure(t, node.Addr().String())
	dir := t.TempDir()
	path, siteFile := filepath.Join(dir, "c.sock"), filepath.Join(dir, "site.json")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(siteFile, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	counts := freeAddress(t)
	good := fmt.Sprintf(`{"addresses":{"delay_ms":100},"metrics":{"address":%q},"listen":{"http":[{"address":%q,"mode":"0640"}]}}`, counts, "unix:"+path)
	write(`{"addresses":{"delay_ms":1}}`)
	for _, args := range [][]string{{"check-config", "--site", siteFile}, {"serve", "--site", siteFile}} {
		if out, err := program([]string{"ROUTER_CONFIG=" + file}, args...).CombinedOutput(); err == nil ||
			!strings.Contains(string(out), "site: addresses.delay_ms") {
			t.Errorf("%v: %v %s", args, err, out)
		}
	}
	if out, err := program(nil, "schema").Output(); err != nil || !bytes.Equal(out, config.SiteSchema) {
		t.Errorf("schema: %v", err)
	}
	write(good)
	c := program([]string{"ROUTER_CONFIG=" + file}, "serve", "--site", siteFile)
	logs, err := c.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Process.Kill() }() // it may have ended
	lines := bufio.NewScanner(logs)
	until := func(what string) {
		t.Helper()
		for lines.Scan() {
			if strings.Contains(lines.Text(), what) {
				return
			}
		}
		t.Fatalf("never logged: %s", what)
	}
	until("msg=serving")
	for _, to := range [][2]string{{"unix", path}, {"tcp", listen}} {
		nc, err := net.Dial(to[0], to[1])
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(nc, "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
		var r fasthttp.Response
		if err := r.Read(bufio.NewReader(nc)); err != nil || r.StatusCode() != 200 {
			t.Errorf("%v: %v %d", to, err, r.StatusCode())
		}
		nc.Close()
	}
	if _, body, err := fasthttp.Get(nil, "http://"+counts+"/metrics"); err != nil || !strings.Contains(string(body), "wheatsaddle_info{") {
		t.Errorf("counts: %v %s", err, body)
	}
	if info, err := os.Lstat(path); err != nil || info.Mode().Perm() != 0o640 {
		t.Errorf("%v %v", info, err)
	}
	for _, x := range [][2]string{{`{"addresses":{"delay_ms":1}}`, "reload of the site's file failed"}, {`{"addresses":{"delay_ms":50}}`, "delay_ms"},
		{strings.Replace(good, "100", "200", 1), "site's file reloaded"}} {
		write(x[0])
		if err := c.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		until(x[1])
	}
	if err := c.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for lines.Scan() {
	}
	if err := c.Wait(); err != nil {
		t.Error(err)
	}
	if _, err := os.Lstat(path); err == nil {
		t.Error("the socket file is left behind")
	}
}
