package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"wheatsaddle/internal/config"
	"wheatsaddle/internal/core"
	"wheatsaddle/policy"
)

// If package policy rejects the settings, nothing else in the file is applied.
func TestReloadRejectedByPolicyAppliesNothing(t *testing.T) {
	file, _ := writeConfig(t, "127.0.0.1:1")
	env := singleVariableEnv("ROUTER_CONFIG", file)
	current, err := config.Load(env)
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	next := strings.NewReplacer(`"max-attempts":2`, `"max-attempts":3`, `"memory_mb":192`, `"memory_mb":64`, current.Discovery, "127.0.0.1:2").Replace(string(text))
	if err := os.WriteFile(file, []byte(next), 0o600); err != nil {
		t.Fatal(err)
	}
	log, hook := logtest.NewNullLogger()
	calls := ""
	setDiscoveryAddress := func(context.Context, string) bool { calls += "discovery "; return true }
	for _, x := range []struct {
		err   error
		calls string
	}{{errors.New("no"), "reconfigure "}, {nil, "reconfigure discovery "}} {
		calls = ""
		reconfigure := func(policy.Settings) error { calls += "reconfigure "; return x.err }
		got, accepted := (&reloader{env: env, setDiscoveryAddress: setDiscoveryAddress, reconfigure: reconfigure, log: log}).reload(context.Background(), current)
		if calls != x.calls || accepted != (x.err == nil) {
			t.Errorf("settings error %v: calls %s, accepted %v", x.err, calls, accepted)
		}
		if x.err != nil && (got != current || hook.LastEntry().Data["code"] == nil) {
			t.Errorf("rejected settings: configuration %+v, log %+v", got, hook.LastEntry())
		}
		if x.err == nil && (got.MemoryMB != 64 || got.Discovery != "127.0.0.1:2" || got.Settings.MaxAttempts != 3) {
			t.Errorf("configuration after the reload: %+v", got)
		}
	}
}

// A process that starts together with its fleet still uses the reduced slow start of nodes after a reload.
func TestReloadKeepsReducedSlowStart(t *testing.T) {
	log, _ := logtest.NewNullLogger()
	set := starterConfig().Settings
	set.SlowStartUnits = 100
	for _, enabled := range []bool{false, true} {
		starter, err := newStarter(&config.SiteStart{Enabled: enabled, ListCallsPerSecond: 40}, starterConfig(), nil, log)
		if err != nil {
			t.Fatal(err)
		}
		co, err := core.New(core.Options{Settings: starter.reduceSlowStart(set), Log: log})
		if err != nil {
			t.Fatal(err)
		}
		before := co.Settings().SlowStartUnits
		if err := starter.reconfigure(co)(set); err != nil || co.Settings().SlowStartUnits != before || (before == set.SlowStartUnits) == enabled {
			t.Errorf("section enabled %v: %v, slow start %v of %v units, %v after the reload", enabled, err, before, set.SlowStartUnits, co.Settings().SlowStartUnits)
		}
		co.Stop()
	}
}

// Settings of the watch and of the connections to nodes, which only a restart applies, are among the logged keys.
func TestChangedRestartKeys(t *testing.T) {
	current, next := &config.Config{}, &config.Config{ListMode: "ask", HandshakePrice: 1}
	next.Settings.ListStalenessBound = 1
	if keys := fmt.Sprint(changedRestartKeys(current, next)); keys != "[settings.membership-mode settings.rules.ask-within settings.prices.handshake]" {
		t.Error(keys)
	}
}

const classStart = `{"name":"balance-read"`

// settingsChanges are changes of the settings that are applied while a request is in flight.
var settingsChanges = []struct {
	name  string
	pairs [][2]string
	after int // status code of the same request when it is sent after the change
}{
	{"class renamed", [][2]string{{classStart, `{"name":"renamed"`}}, 404},
	{"class reordered behind another", [][2]string{{classStart, `{"name":"first","goal-time":50,"deadline":60,"repeat":"unsafe","worth":9},` + classStart}}, 200},
	{"class removed", [][2]string{{classStart, `{"name":"other"`}, {`"repeat":"safe"`, `"repeat":"unsafe"`}}, 404},
	{"different effect", [][2]string{{`"repeat":"safe"`, `"repeat":"keyed","key-scope":"cell","memory-span":1000`}}, 400},
	{"different deadline", [][2]string{{`"deadline":20000`, `"deadline":25000`}}, 200},
	{"plan renamed", [][2]string{{`"name":"basic"`, `"name":"renamed"`}}, 404},
	{"plan reordered behind another", [][2]string{{`{"name":"basic"`, `{"name":"first","reservation":1,"usual-rate":1,"cap":1,"burst":1},{"name":"basic"`}}, 200},
	{"different rate limit", [][2]string{{`"usual-rate":1000`, `"usual-rate":1000,"cap":1000,"burst":1000`}}, 200},
}

// A request that is in flight when the settings change is answered under the old settings; a later one under the new.
func TestReloadDuringRequest(t *testing.T) {
	for _, x := range settingsChanges {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			node := newBlockingNode(t)
			d := newDaemon(t, daemonOptions{node: node.address, deadline: 20000})
			d.startAndWait()
			c := d.dial()
			_, err := io.WriteString(c, readRequest)
			d.must(err)
			<-node.requests
			d.editFile(x.pairs...)
			d.signal(syscall.SIGHUP)
			d.awaitLog("configuration reloaded", 1)
			close(node.release)
			if code, text, err := c.readResponse(); err != nil || code != 200 || text != "ok" {
				t.Errorf("request in flight: error %v, response %d %s, want 200 ok", err, code, text)
			}
			d.request(d.dial(), strings.Replace(readRequest, "r1", "r2", 1), x.after)
		})
	}
}

// SIGHUPs that arrive while a reload is reading the file cause exactly one further reload, which follows the first. A file
// that is incomplete, unreadable, or has invalid settings together with a new address of discovery changes nothing and
// counts as an error.
func TestConcurrentAndInvalidReloads(t *testing.T) {
	newDiscovery, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer newDiscovery.Close()
	connected := make(chan bool, 16)
	go func() {
		for nc, err := newDiscovery.Accept(); err == nil; nc, err = newDiscovery.Accept() {
			nc.Close()
			connected <- true
		}
	}()
	d := newDaemon(t, daemonOptions{deadline: 1000})
	d.startAndWait()
	valid := d.readFile()
	awaitReloads := func(accepted, invalid int) {
		t.Helper()
		want := fmt.Sprintf(`"loads":%d,"load_errors":%d`, accepted, invalid)
		for code, text := d.getAdmin("/api/telemetry"); !strings.Contains(text, want); code, text = d.getAdmin("/api/telemetry") {
			if code != 200 || strings.Contains(text, fmt.Sprintf(`"loads":%d`, accepted+1)) || strings.Contains(text, fmt.Sprintf(`"load_errors":%d`, invalid+1)) {
				t.Fatalf("the telemetry must have %s: response %d %s", want, code, text)
			}
		}
	}
	invalid := strings.Replace(valid, `"max-attempts":2`, `"max-attempts":0`, 1)
	invalid = strings.Replace(invalid, `"discovery":"`, fmt.Sprintf(`"discovery":%q,"was":"`, newDiscovery.Addr()), 1)
	d.writeFile(invalid)
	d.signal(syscall.SIGHUP)
	d.awaitLog("reload of the configuration failed", 1)
	awaitReloads(0, 1)
	d.must(os.Remove(d.file))
	d.signal(syscall.SIGHUP)
	d.awaitLog("reload of the configuration failed", 2)
	awaitReloads(0, 2)
	d.writeFile(valid)
	d.replaceFileWithPipe()
	d.signal(syscall.SIGHUP)
	first := d.awaitFileRead()
	for range 2 {
		d.signal(syscall.SIGHUP)
		d.awaitProcStatus(`^ShdPnd:\s0+$`)
		d.awaitIdle() // a signal delivered only after the next reload has begun would cause another reload, as it must
	}
	_, err = io.WriteString(first, valid)
	d.must(err)
	d.must(first.Close())
	d.awaitLog("configuration reloaded", 1)
	second := d.awaitFileRead()
	_, err = io.WriteString(second, valid[:len(valid)/2])
	d.must(err)
	d.must(second.Close())
	d.awaitLog("reload of the configuration failed", 3)
	awaitReloads(1, 3)
	d.checkFileNotRead()
	if len(connected) > 0 {
		t.Error("the address of discovery was taken from a rejected file")
	}
	d.must(os.Remove(d.file))
	d.writeFile(strings.Replace(valid, `"discovery":"`, fmt.Sprintf(`"discovery":%q,"was":"`, newDiscovery.Addr()), 1))
	d.signal(syscall.SIGHUP)
	<-connected // an accepted file changes the address
	awaitReloads(2, 3)
	d.signal(syscall.SIGTERM)
	d.awaitExit()
}

// A SIGHUP during the start does not end the process, and is handled once the process serves clients.
func TestReloadDuringStart(t *testing.T) {
	d := newDaemon(t, daemonOptions{deadline: 300})
	valid := d.readFile()
	d.replaceFileWithPipe()
	d.start()
	file := d.awaitFileRead()
	d.signal(syscall.SIGHUP)
	d.awaitProcStatus(`^ShdPnd:\s0+$`)
	_, err := io.WriteString(file, valid)
	d.must(err)
	d.must(file.Close())
	d.awaitLog("msg=serving", 1)
	again := d.awaitFileRead()
	_, err = io.WriteString(again, strings.Replace(valid, `"memory_mb":192`, `"memory_mb":128`, 1))
	d.must(err)
	d.must(again.Close())
	if line := d.awaitLog("configuration reloaded", 1); !strings.Contains(line, "memory_mb=128") {
		t.Error(line)
	}
	d.signal(syscall.SIGTERM)
	d.awaitExit()
}
