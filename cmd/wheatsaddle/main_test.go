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
	"wheatsaddle/internal/testkit/cluster"
	"wheatsaddle/policy"
)

// TestMain lets the test binary run as the program itself, so that tests can send it signals and check its exit code.
func TestMain(m *testing.M) {
	if os.Getenv("WHEATSADDLE_AS_PROGRAM") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

func programCommand(env []string, args ...string) *exec.Cmd {
	c := exec.Command(os.Args[0], args...)
	c.Env = append([]string{"WHEATSADDLE_AS_PROGRAM=1"}, env...)
	return c
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := cluster.FreeAddress() // no other test and no connection gets the same port
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// writeConfig writes a configuration with one cached node and returns its path and the address for clients.
func writeConfig(t *testing.T, node string) (file, listen string) {
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

const readRequest = "GET /balance-read/x HTTP/1.1\r\nHost: o\r\nX-Request-Id: r1\r\nTier: basic\r\nCookie: extent=7f3a9c21e0b4d655\r\n" +
	"X-Deadline-Ms: 50000\r\nIO-Info: volume=00000003b4d60021,units=2,shard=0,hosts=1\r\n\r\n"

// startAndDial starts the program and connects to it once it accepts connections. The program and the connection end with
// the test.
func startAndDial(t *testing.T, c *exec.Cmd, listen string) net.Conn {
	t.Helper()
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Process.Kill() }) // the process may have ended already
	for {
		nc, err := net.Dial("tcp", listen)
		if err == nil {
			t.Cleanup(func() { nc.Close() })
			return nc
		}
		time.Sleep(10 * time.Millisecond) // the program is not listening yet
	}
}

// While discovery is down the program serves the cached list. After SIGTERM it answers the open requests, serves the open
// connections while new ones are rejected, and exits with code 0.
func TestShutdownAnswersOpenRequests(t *testing.T) {
	node, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	received, release := make(chan bool, 1), make(chan bool)
	go func() {
		clientConn, err := node.Accept()
		if err != nil {
			return
		}
		defer clientConn.Close()
		var q fasthttp.Request
		for br := bufio.NewReader(clientConn); q.Read(br) == nil; {
			received <- true
			<-release
			fmt.Fprint(clientConn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}()
	file, listen := writeConfig(t, node.Addr().String())
	var log bytes.Buffer
	cmd := programCommand([]string{"ROUTER_CONFIG=" + file})
	cmd.Stderr = &log
	clientConn := startAndDial(t, cmd, listen)
	fmt.Fprint(clientConn, readRequest)
	<-received
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	close(release)
	var response fasthttp.Response
	br := bufio.NewReader(clientConn)
	for i := range 2 {
		if err := response.Read(br); err != nil || response.StatusCode() != 200 || string(response.Body()) != "ok" {
			t.Errorf("response %d: error %v, status %d, body %q", i, err, response.StatusCode(), response.Body())
		}
		if i == 0 {
			for other, err := net.Dial("tcp", listen); err == nil; other, err = net.Dial("tcp", listen) {
				other.Close() // the program still accepts connections
				time.Sleep(10 * time.Millisecond)
			}
			fmt.Fprint(clientConn, strings.Replace(readRequest, "r1", "r2", 1))
		}
	}
	clientConn.Close()
	if err := cmd.Wait(); err != nil {
		t.Errorf("the program did not exit with code 0: %v\n%s", err, log.String())
	}
}

// The iSCSI front listens at the address in its file, keeps running after a reload, and stops with the program.
func TestServeISCSI(t *testing.T) {
	file, listen := writeConfig(t, "127.0.0.1:1")
	iscsiListen, iscsiFile := freeAddress(t), filepath.Join(t.TempDir(), "iscsi.json")
	text := fmt.Sprintf(`{"listen":%q,"storage":[{"name":"st","address":"127.0.0.1:1","target":"iqn.st","group":0}],
"targets":[{"name":"iqn.t","luns":[{"lun":0,"group":0,"volume":"00000000000a0000","plan":"basic","blocks":8,"read_only":true,
"rules":[{"command":"read","class":"balance-read"}]}]}]}`, iscsiListen)
	if err := os.WriteFile(iscsiFile, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var log bytes.Buffer
	cmd := programCommand([]string{"ROUTER_CONFIG=" + file}, "serve", "--iscsi", iscsiFile)
	cmd.Stderr = &log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = cmd.Process.Kill() }() // the process may have ended already
	for _, address := range []string{listen, iscsiListen} {
		nc, err := net.Dial("tcp", address)
		for ; err != nil; nc, err = net.Dial("tcp", address) {
			time.Sleep(10 * time.Millisecond) // the program is not listening yet
		}
		t.Cleanup(func() { nc.Close() })
		fmt.Fprintf(nc, "%048d\r\n\r\n", 7) // neither HTTP nor an iSCSI login: the program must answer or close, and not crash
		_, _ = nc.Read(make([]byte, 1))
	}
	for _, s := range []os.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		if err := cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("the program did not exit with code 0: %v\n%s", err, log.String())
	}
}

// A reload uses the address of discovery in the file, not the environment's at the start. It changes nothing if the file is
// invalid, and logs the changed keys that need a restart.
func TestReloadAppliesFile(t *testing.T) {
	file, _ := writeConfig(t, "127.0.0.1:1")
	env := func(k string) string {
		return map[string]string{"ROUTER_CONFIG": file, "ROUTER_DISCOVERY": "127.0.0.1:1"}[k]
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	current, err := config.Load(env)
	if err != nil {
		t.Fatal(err)
	}
	memoryBefore := current.MemoryMB
	log, hook := logtest.NewNullLogger()
	discovery := ""
	setDiscoveryAddress := func(_ context.Context, address string) bool { discovery = address; return true }
	reconfigure := func(policy.Settings) error { t.Error("unchanged settings were applied again"); return nil }
	for _, x := range []struct{ from, to, want string }{
		{`"sockets":256`, `"sockets":"x"`, "limits.sockets"}, {`"index":1`, `"index":"x"`, "known"}, {`"discovery":"`, `"discovery":7,"was":"`, "discovery"},
		{`"max-attempts":2`, `"max-attempts":0`, "max-attempts"}, {`}]}}`, `}]}`, "JSON"},
	} {
		invalid := bytes.Replace(text, []byte(x.from), []byte(x.to), 1)
		invalid = bytes.Replace(invalid, []byte(`"memory_mb":192`), []byte(`"memory_mb":64`), 1)
		if err := os.WriteFile(file, invalid, 0o600); err != nil {
			t.Fatal(err)
		}
		if got, accepted := (&reloader{env: env, setDiscoveryAddress: setDiscoveryAddress, reconfigure: reconfigure, log: log}).reload(context.Background(), current); accepted || got != current || discovery != "" || current.MemoryMB != memoryBefore {
			t.Errorf("invalid file with %s was applied: discovery %q", x.to, discovery)
		}
		if e := hook.LastEntry(); e == nil || e.Data["code"] == nil || e.Data["advice"] == nil || !strings.Contains(fmt.Sprint(e.Data["error"]), x.want) {
			t.Errorf("log of invalid file with %s: %+v", x.to, e)
		}
	}
	text = bytes.Replace(text, []byte(`"sockets":256`), []byte(`"sockets":512`), 1)
	text = bytes.Replace(text, []byte(`"memory_mb":192`), []byte(`"memory_mb":128`), 1)
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	hook.Reset()
	got, accepted := (&reloader{env: env, setDiscoveryAddress: setDiscoveryAddress, reconfigure: reconfigure, log: log}).reload(context.Background(), current)
	if !accepted || discovery == "" || discovery == "127.0.0.1:1" || got.Discovery != discovery || got.MemoryMB != 128 || got.Sockets != 256 {
		t.Errorf("discovery %q, configuration %+v", discovery, got)
	}
	if e := hook.AllEntries(); len(e) != 2 || e[0].Data["keys"] != "limits.sockets" {
		t.Errorf("log of the reload, which must name limits.sockets as a key that needs a restart: %+v", e)
	}
}

// The descriptor limit is the configured one, or the process's own limit if that is lower.
func TestDescriptorLimit(t *testing.T) {
	if n := descriptorLimit(8); n != 8 {
		t.Errorf("limit %d, want the configured 8", n)
	}
	if n := descriptorLimit(1 << 40); n >= 1<<40 {
		t.Errorf("limit %d exceeds the limit of the process", n)
	}
}

// Each command ends with the expected exit code and prints the expected text, for valid and for invalid arguments and files.
func TestCommands(t *testing.T) {
	file, listen := writeConfig(t, "127.0.0.1:1")
	invalid := filepath.Join(t.TempDir(), "bad.json")
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(invalid, bytes.Replace(text, []byte(`"sockets":256`), []byte(`"sockets":"x"`), 1), 0o600); err != nil {
		t.Fatal(err)
	}
	occupied, err := net.Listen("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	defer occupied.Close()
	for _, x := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"version"}, 0, version},
		{[]string{"serve", file}, 1, "bind: address already in use\ncode: sock-in-use\nadvice: "},
		{[]string{"check-config", file}, 0, "good: 1 classes, 1 plans, 1 known nodes"},
		{[]string{"check-config", invalid}, 1, "limits.sockets: \"x\" is not a number of at least 64\ncode: config-key\nadvice: Set limits.sockets to "},
		{[]string{"check-config"}, 1, "ROUTER_CONFIG"},
		{[]string{"serve", "--iscsi", invalid}, 1, "ROUTER_CONFIG"},
		{[]string{"check-config", "--iscsi", "../../deploy/iscsi.json", file}, 1, "iscsi.targets.0.luns.0.plan"},
		{[]string{"replay", "../../internal/replay/testdata/access.log"}, 0, "balance-read"},
		{[]string{"replay", "--config", file, "../../internal/replay/testdata/access.log"}, 0, "line 8: class \"new-record\" is unknown"},
		{[]string{"replay", "--plan", "basic", "--out", "-", "--as", "http", "../../internal/replay/testdata/small.har"}, 0, "PUT /new-record/cards/9?v=2 HTTP/1.1"},
		{[]string{"replay", "--config", file, "--out", "-", "../../internal/replay/testdata/access.log"}, 0, `"plan":"basic"`},
		{[]string{"replay", "--out", "-", "../../internal/replay/testdata/access.log"}, 1, "code: replay-plan"},
		{[]string{"replay", "--plan", "basic", "--out", "-", "../../internal/replay/testdata/small.har"}, 0, `"at_ms":250`},
		{[]string{"replay", "none"}, 1, "none"},
	} {
		c := programCommand(nil, x.args...)
		out, _ := c.CombinedOutput()
		if code := c.ProcessState.ExitCode(); code != x.code || !strings.Contains(string(out), x.want) {
			t.Errorf("command %v: exit code %d, output\n%s", x.args, code, out)
		}
	}
}

// The site's file adds a Unix socket for clients. At the start an invalid file is an error before anything is served; at a
// reload it changes nothing.
func TestSiteFile(t *testing.T) {
	node, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	file, listen := writeConfig(t, node.Addr().String())
	dir := t.TempDir()
	socketPath, siteFile := filepath.Join(dir, "c.sock"), filepath.Join(dir, "site.json")
	writeSite := func(text string) {
		t.Helper()
		if err := os.WriteFile(siteFile, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	metricsListen := freeAddress(t)
	valid := fmt.Sprintf(`{"addresses":{"delay_ms":100},"metrics":{"address":%q},"listen":{"http":[{"address":%q,"mode":"0640"}]}}`, metricsListen, "unix:"+socketPath)
	writeSite(`{"addresses":{"delay_ms":1}}`)
	for _, args := range [][]string{{"check-config", "--site", siteFile}, {"serve", "--site", siteFile}} {
		if out, err := programCommand([]string{"ROUTER_CONFIG=" + file}, args...).CombinedOutput(); err == nil ||
			!strings.Contains(string(out), "site: addresses.delay_ms") {
			t.Errorf("command %v with an invalid site's file: want an error with the key, got %v %s", args, err, out)
		}
	}
	if out, err := programCommand(nil, "schema").Output(); err != nil || !bytes.Equal(out, config.SiteSchema) {
		t.Errorf("command schema did not print the schema of the site's file: %v", err)
	}
	writeSite(valid)
	cmd := programCommand([]string{"ROUTER_CONFIG=" + file}, "serve", "--site", siteFile)
	logs, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = cmd.Process.Kill() }() // the process may have ended already
	lines := bufio.NewScanner(logs)
	awaitLog := func(what string) {
		t.Helper()
		for lines.Scan() {
			if strings.Contains(lines.Text(), what) {
				return
			}
		}
		t.Fatalf("the log ended without: %s", what)
	}
	awaitLog("msg=serving")
	for _, to := range [][2]string{{"unix", socketPath}, {"tcp", listen}} {
		nc, err := net.Dial(to[0], to[1])
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(nc, "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
		var r fasthttp.Response
		if err := r.Read(bufio.NewReader(nc)); err != nil || r.StatusCode() != 200 {
			t.Errorf("readiness at %v: error %v, status %d", to, err, r.StatusCode())
		}
		nc.Close()
	}
	if _, body, err := fasthttp.Get(nil, "http://"+metricsListen+"/metrics"); err != nil || !strings.Contains(string(body), "wheatsaddle_info{") {
		t.Errorf("no wheatsaddle_info in the metrics: %v %s", err, body)
	}
	if info, err := os.Lstat(socketPath); err != nil || info.Mode().Perm() != 0o640 {
		t.Errorf("socket file %v, error %v, want mode 0640", info, err)
	}
	for _, x := range [][2]string{{`{"addresses":{"delay_ms":1}}`, "reload of the site's file failed"}, {`{"addresses":{"delay_ms":50}}`, "delay_ms"},
		{strings.Replace(valid, "100", "200", 1), "site's file reloaded"}} {
		writeSite(x[0])
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		awaitLog(x[1])
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for lines.Scan() {
	}
	if err := cmd.Wait(); err != nil {
		t.Error(err)
	}
	if _, err := os.Lstat(socketPath); err == nil {
		t.Error("the socket file still exists after the exit")
	}
}
