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

// If the policy rejects the settings, nothing else of the file applies either.
func TestReloadRejectedByThePolicy(t *testing.T) {
	file, _ := configure(t, "127.0.0.1:1")
	env := singleVariableEnv("ROUTER_CONFIG", file)
	held, err := config.Load(env)
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	next := strings.NewReplacer(`"max-attempts":2`, `"max-attempts":3`, `"memory_mb":192`, `"memory_mb":64`, held.Discovery, "127.0.0.1:2").Replace(string(text))
	if err := os.WriteFile(file, []byte(next), 0o600); err != nil {
		t.Fatal(err)
	}
	log, hook := logtest.NewNullLogger()
	order := ""
	move := func(context.Context, string) bool { order += "move "; return true }
	for _, x := range []struct {
		err   error
		order string
	}{{errors.New("no"), "retune "}, {nil, "retune move "}} {
		order = ""
		retune := func(policy.Settings) error { order += "retune "; return x.err }
		got, taken := (&reloader{env: env, setDiscoveryAddress: move, reconfigure: retune, log: log}).reload(context.Background(), held)
		if order != x.order || taken != (x.err == nil) {
			t.Errorf("%v: %s, taken %v", x.err, order, taken)
		}
		if x.err != nil && (got != held || hook.LastEntry().Data["code"] == nil) {
			t.Errorf("%+v, %+v", got, hook.LastEntry())
		}
		if x.err == nil && (got.MemoryMB != 64 || got.Discovery != "127.0.0.1:2" || got.Settings.MaxAttempts != 3) {
			t.Errorf("%+v", got)
		}
	}
}

// A process that starts with its whole fleet keeps its part of the slow start budget after a reload.
func TestReloadKeepsThePartOfTheColdBudget(t *testing.T) {
	log, _ := logtest.NewNullLogger()
	set := startConf().Settings
	set.SlowStartUnits = 100
	for _, on := range []bool{false, true} {
		begin, err := newStarter(&config.SiteStart{Enabled: on, ListCallsPerSecond: 40}, startConf(), nil, log)
		if err != nil {
			t.Fatal(err)
		}
		co, err := core.New(core.Options{Settings: begin.reduceSlowStart(set), Log: log})
		if err != nil {
			t.Fatal(err)
		}
		before := co.Settings().SlowStartUnits
		if err := begin.reconfigure(co)(set); err != nil || co.Settings().SlowStartUnits != before || (before == set.SlowStartUnits) == on {
			t.Errorf("section on %v: %v, %v of %v, %v after the reload", on, err, before, set.SlowStartUnits, co.Settings().SlowStartUnits)
		}
		co.Stop()
	}
}

// Settings of the watch and of the connections to nodes, which only a restart applies, are named in the log.
func TestRestartKeys(t *testing.T) {
	held, next := &config.Config{}, &config.Config{ListMode: "ask", HandshakePrice: 1}
	next.Settings.PollWithin = 1
	if keys := fmt.Sprint(changedRestartKeys(held, next)); keys != "[settings.membership-mode settings.rules.ask-within settings.prices.handshake]" {
		t.Error(keys)
	}
}

const classHead = `{"name":"balance-read"`

// changed are settings that arrive while a request is in flight, by how they change its class and plan.
var changed = []struct {
	name  string
	pairs [][2]string
	after int // code of the same request, sent after the change
}{
	{"class renamed", [][2]string{{classHead, `{"name":"renamed"`}}, 404},
	{"class reordered behind another", [][2]string{{classHead, `{"name":"first","goal-time":50,"deadline":60,"repeat":"unsafe","worth":9},` + classHead}}, 200},
	{"class removed", [][2]string{{classHead, `{"name":"other"`}, {`"repeat":"safe"`, `"repeat":"unsafe"`}}, 404},
	{"another effect", [][2]string{{`"repeat":"safe"`, `"repeat":"keyed","key-scope":"cell","memory-span":1000`}}, 400},
	{"another deadline", [][2]string{{`"deadline":20000`, `"deadline":25000`}}, 200},
	{"plan renamed", [][2]string{{`"name":"basic"`, `"name":"renamed"`}}, 404},
	{"plan reordered behind another", [][2]string{{`{"name":"basic"`, `{"name":"first","reservation":1,"usual-rate":1,"cap":1,"burst":1},{"name":"basic"`}}, 200},
	{"another limit", [][2]string{{`"usual-rate":1000`, `"usual-rate":1000,"cap":1000,"burst":1000`}}, 200},
}

// A request that is in flight when the settings change is answered under the old ones; the next of its kind under the new.
func TestReloadUnderARequest(t *testing.T) {
	for _, x := range changed {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			node := storageNode(t)
			d := daemonOf(t, conf{node: node.address, deadline: 20000})
			d.up()
			c := d.dial()
			_, err := io.WriteString(c, read)
			d.must(err)
			<-node.came
			d.edit(x.pairs...)
			d.signal(syscall.SIGHUP)
			d.awaitLog("configuration reloaded", 1)
			close(node.release)
			if code, text, err := c.answer(); err != nil || code != 200 || text != "ok" {
				t.Errorf("%v, %d %s", err, code, text)
			}
			d.request(d.dial(), strings.Replace(read, "r1", "r2", 1), x.after)
		})
	}
}

// Of three SIGHUPs at once, while the first reload reads the file, one more reload follows, and never two at a time. A file
// that is incomplete, unreadable, or has invalid settings beside a new address of discovery changes nothing, and counts
// as an error.
func TestConcurrentAndInvalidReloads(t *testing.T) {
	moved, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer moved.Close()
	came := make(chan bool, 16)
	go func() {
		for nc, err := moved.Accept(); err == nil; nc, err = moved.Accept() {
			nc.Close()
			came <- true
		}
	}()
	d := daemonOf(t, conf{deadline: 1000})
	d.up()
	good := d.text()
	loads := func(taken, bad int) {
		t.Helper()
		want := fmt.Sprintf(`"loads":%d,"load_errors":%d`, taken, bad)
		for code, text := d.get("/api/telemetry"); !strings.Contains(text, want); code, text = d.get("/api/telemetry") {
			if code != 200 || strings.Contains(text, fmt.Sprintf(`"loads":%d`, taken+1)) || strings.Contains(text, fmt.Sprintf(`"load_errors":%d`, bad+1)) {
				t.Fatalf("want %s: %d %s", want, code, text)
			}
		}
	}
	bad := strings.Replace(good, `"max-attempts":2`, `"max-attempts":0`, 1)
	bad = strings.Replace(bad, `"discovery":"`, fmt.Sprintf(`"discovery":%q,"was":"`, moved.Addr()), 1)
	d.write(bad)
	d.signal(syscall.SIGHUP)
	d.awaitLog("reload of the configuration failed", 1)
	loads(0, 1)
	d.must(os.Remove(d.file))
	d.signal(syscall.SIGHUP)
	d.awaitLog("reload of the configuration failed", 2)
	loads(0, 2)
	d.write(good)
	d.pipe()
	d.signal(syscall.SIGHUP)
	first := d.reads()
	for range 2 {
		d.signal(syscall.SIGHUP)
		d.status(`^ShdPnd:\s0+$`)
	}
	_, err = io.WriteString(first, good)
	d.must(err)
	d.must(first.Close())
	d.awaitLog("configuration reloaded", 1)
	second := d.reads()
	_, err = io.WriteString(second, good[:len(good)/2])
	d.must(err)
	d.must(second.Close())
	d.awaitLog("reload of the configuration failed", 3)
	loads(1, 3)
	if len(came) > 0 {
		t.Error("discovery moved by a file that was not taken")
	}
	d.must(os.Remove(d.file))
	d.write(strings.Replace(good, `"discovery":"`, fmt.Sprintf(`"discovery":%q,"was":"`, moved.Addr()), 1))
	d.signal(syscall.SIGHUP)
	<-came // it moves by one that is
	loads(2, 3)
	d.signal(syscall.SIGTERM)
	d.exits()
}

// A SIGHUP during the start does not end the process, and is handled once it serves.
func TestReloadDuringStart(t *testing.T) {
	d := daemonOf(t, conf{deadline: 300})
	good := d.text()
	d.pipe()
	d.start()
	file := d.reads()
	d.signal(syscall.SIGHUP)
	d.status(`^ShdPnd:\s0+$`)
	_, err := io.WriteString(file, good)
	d.must(err)
	d.must(file.Close())
	d.awaitLog("msg=serving", 1)
	again := d.reads()
	_, err = io.WriteString(again, strings.Replace(good, `"memory_mb":192`, `"memory_mb":128`, 1))
	d.must(err)
	d.must(again.Close())
	if line := d.awaitLog("configuration reloaded", 1); !strings.Contains(line, "memory_mb=128") {
		t.Error(line)
	}
	d.signal(syscall.SIGTERM)
	d.exits()
}
