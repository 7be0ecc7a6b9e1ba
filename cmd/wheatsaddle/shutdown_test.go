package main

import (
	"io"
	"net"
	"os"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"wheatsaddle/internal/core"
)

// When a signal was sent, by when the process ran. Times are in ms.
func TestStallDetector(t *testing.T) {
	origin := time.Now()
	at := func(ms int) time.Time { return origin.Add(time.Duration(ms) * time.Millisecond) }
	for _, x := range []struct {
		what       string
		ran        []int
		came, sent int
	}{
		{"no stall", []int{100, 200}, 250, 250},
		{"a heartbeat a little late", []int{100, 220}, 250, 250},
		{"right after a stall", []int{100, 900}, 901, 100},
		{"before the heartbeat after a stall", []int{100}, 900, 100},
		{"after a stall that is past", []int{100, 900, 1000}, 1050, 1050},
		{"a second stall at once", []int{100, 900, 1300}, 1301, 100},
		{"a second stall later", []int{100, 900, 1000, 1400}, 1401, 1000},
	} {
		g := stallDetector{lastHeartbeat: origin}
		for _, ms := range x.ran {
			g.heartbeat(at(ms))
		}
		if got := g.signalSentAt(at(x.came)); !got.Equal(at(x.sent)) {
			t.Errorf("%s: sent at %v, want %d ms", x.what, got.Sub(origin), x.sent)
		}
	}
}

// A stall before the goroutine of the signal first runs counts too.
func TestTerminationBeforeTheFirstHeartbeat(t *testing.T) {
	signals := make(chan os.Signal, 1)
	signals <- syscall.SIGTERM
	log, _ := logtest.NewNullLogger()
	started := time.Now().Add(-time.Second)
	order := awaitTermination(signals, started, log)
	<-order.received
	if !order.sentAt.Equal(started) {
		t.Errorf("sent %v after the start, a stall covers all of that", order.sentAt.Sub(started))
	}
}

// A process that gets SIGTERM while it is stopped ends relative to the time of the signal, not to the time at which it
// continues: SIGKILL comes relative to the former.
func TestTerminationWhileStopped(t *testing.T) {
	d := daemonOf(t, conf{deadline: 300})
	d.up()
	idle := d.dial()
	d.request(idle, "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n", 200)
	d.signal(syscall.SIGSTOP)
	d.status(`^State:\sT`)
	d.signal(syscall.SIGTERM)
	sent := time.Now()
	for time.Since(sent) < time.Second { // stays stopped
		time.Sleep(10 * time.Millisecond)
	}
	stalled := time.Since(sent)
	d.signal(syscall.SIGCONT)
	line := d.awaitLog("termination signal received", 1)
	var before time.Duration
	if m := regexp.MustCompile(`delay_ms=(\d+)`).FindStringSubmatch(line); m != nil {
		before, _ = time.ParseDuration(m[1] + "ms")
	}
	if before < stalled-time.Millisecond { // rounded
		t.Errorf("stalled for %v: %s", stalled, line)
	}
	d.exits()
	if _, err := idle.in.ReadByte(); err != io.EOF {
		t.Error(err)
	}
}

// SIGTERM while the configuration is being read: the program ends with exit code 0 and has accepted no connection.
func TestTerminationDuringStart(t *testing.T) {
	d := daemonOf(t, conf{deadline: 300})
	text := d.text()
	d.pipe()
	d.start()
	file := d.reads()
	d.signal(syscall.SIGTERM)
	d.awaitLog("termination signal received", 1)
	_, err := io.WriteString(file, text)
	d.must(err)
	d.must(file.Close())
	d.exits()
	if n, _ := d.count("msg=serving"); n > 0 {
		t.Error("it served")
	}
}

// SIGTERM, several times, while a reload is under way: the program continues to serve and ends with exit code 0.
func TestTerminationDuringReload(t *testing.T) {
	node := storageNode(t)
	close(node.release)
	d := daemonOf(t, conf{node: node.address, deadline: 2000})
	d.up()
	c := d.dial()
	d.pipe()
	d.signal(syscall.SIGHUP)
	file := d.reads()
	defer func() { _ = file.Close() }()
	d.signal(syscall.SIGTERM)
	d.awaitLog("msg=stopping ", 1)
	for range 3 {
		d.signal(syscall.SIGTERM)
		d.status(`^ShdPnd:\s0+$`)
	}
	d.request(c, read, 200)
	c.Close()
	d.exits()
}

// The end of each kind of connection: an idle one is closed without a response; a request that is still arriving is
// rejected; one that waits for a node that does not answer fails. A second SIGTERM changes nothing.
func TestEndOfConnections(t *testing.T) {
	node := storageNode(t)
	d := daemonOf(t, conf{node: node.address, deadline: 300})
	d.up()
	put := strings.Replace(read, "GET", "PUT", 1)
	fresh, rests, head, body, chunks := d.dial(), d.dial(), d.dial(), d.dial(), d.dial()
	d.request(rests, "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n", 200)
	for c, text := range map[client]string{
		head:   read[:len(read)/2],
		body:   strings.Replace(put, "\r\n\r\n", "\r\nContent-Length: 9\r\n\r\nhalf", 1),
		chunks: strings.Replace(put, "\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", 1),
	} {
		_, err := io.WriteString(c, text)
		d.must(err)
	}
	d.signal(syscall.SIGTERM)
	d.awaitLog("msg=stopping ", 1)
	d.signal(syscall.SIGTERM)
	for name, c := range map[string]client{"fresh": fresh, "rests": rests} {
		if _, err := c.in.ReadByte(); err != io.EOF {
			t.Errorf("%s: %v", name, err)
		}
	}
	for name, c := range map[string]client{"half a head": head, "half a body": body, "half of the chunks": chunks} {
		code, text, err := c.answer()
		if err != nil || code != 503 {
			t.Errorf("%s: %v, %d %s", name, err, code, text)
		}
		if _, err := c.in.ReadByte(); err != io.EOF {
			t.Errorf("%s: %v", name, err)
		}
	}
	d.exits()
	if n := len(node.came); n > 0 {
		t.Errorf("%d at the node", n)
	}
}

// A request that still waits for its node shortly before SIGKILL gets its final response, and then the program ends. So
// does one that came on another connection long after the signal.
func TestOpenAtTheEnd(t *testing.T) {
	t.Parallel()
	node := storageNode(t)
	d := daemonOf(t, conf{node: node.address, deadline: 60000})
	d.edit([2]string{`"repeat":"safe"`, `"repeat":"unsafe"`}) // else it is called off and tried again
	d.up()
	waits, rests := d.dial(), d.dial()
	d.request(rests, "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n", 200)
	_, err := io.WriteString(waits, read)
	d.must(err)
	<-node.came
	d.signal(syscall.SIGTERM)
	for other, err := net.Dial("tcp", d.listen); err == nil; other, err = net.Dial("tcp", d.listen) {
		other.Close() // it still accepts
		time.Sleep(10 * time.Millisecond)
	}
	_, err = io.WriteString(rests, strings.Replace(read, "r1", "r2", 1))
	d.must(err)
	<-node.came
	for name, c := range map[string]client{"before": waits, "after": rests} {
		code, text, err := c.answer()
		if err != nil || code != 502 || text != string(core.CauseNotServed) {
			t.Errorf("%s: %v, %d %s", name, err, code, text)
		}
		if _, err := c.in.ReadByte(); err != io.EOF {
			t.Errorf("%s: %v", name, err)
		}
	}
	d.exits()
}

// The time to SIGKILL follows from the settings at the signal, not from those of the start.
func TestGraceOfReloadedSettings(t *testing.T) {
	d := daemonOf(t, conf{deadline: 300})
	d.up()
	d.edit([2]string{`"deadline":300`, `"deadline":1100`})
	d.signal(syscall.SIGHUP)
	d.awaitLog("configuration reloaded", 1)
	d.signal(syscall.SIGTERM)
	if line := d.awaitLog("msg=stopping ", 1); !strings.HasSuffix(line, " grace_ms=1800") {
		t.Error(line)
	}
	d.exits()
}
