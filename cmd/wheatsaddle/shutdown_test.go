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

// The computed time of a signal depends on the heartbeats before it. Times are in ms.
func TestStallDetector(t *testing.T) {
	origin := time.Now()
	at := func(ms int) time.Time { return origin.Add(time.Duration(ms) * time.Millisecond) }
	for _, x := range []struct {
		name          string
		heartbeats    []int
		arrived, sent int
	}{
		{"no stall", []int{100, 200}, 250, 250},
		{"a heartbeat a little late", []int{100, 220}, 250, 250},
		{"signal right after a stall", []int{100, 900}, 901, 100},
		{"signal before the heartbeat after a stall", []int{100}, 900, 100},
		{"signal long after a stall", []int{100, 900, 1000}, 1050, 1050},
		{"second stall right after the first", []int{100, 900, 1300}, 1301, 100},
		{"second stall later", []int{100, 900, 1000, 1400}, 1401, 1000},
	} {
		detector := stallDetector{lastHeartbeat: origin}
		for _, ms := range x.heartbeats {
			detector.heartbeat(at(ms))
		}
		if got := detector.signalSentAt(at(x.arrived)); !got.Equal(at(x.sent)) {
			t.Errorf("%s: sent at %v, want %d ms", x.name, got.Sub(origin), x.sent)
		}
	}
}

// A stall before the goroutine that awaits the signal first runs is detected too.
func TestStallBeforeFirstHeartbeat(t *testing.T) {
	signals := make(chan os.Signal, 1)
	signals <- syscall.SIGTERM
	log, _ := logtest.NewNullLogger()
	started := time.Now().Add(-time.Second)
	termination := awaitTermination(signals, started, log)
	<-termination.received
	if !termination.sentAt.Equal(started) {
		t.Errorf("sent %v after the start, want 0: the process was stalled since the start", termination.sentAt.Sub(started))
	}
}

// The shutdown of a process that gets SIGTERM while it is stopped is timed from the signal, not from when the process
// continues, because the platform sends SIGKILL at a time after the signal.
func TestTerminationWhileStopped(t *testing.T) {
	d := newDaemon(t, daemonOptions{deadline: 300})
	d.startAndWait()
	idle := d.dial()
	d.request(idle, "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n", 200)
	d.signal(syscall.SIGSTOP)
	d.awaitProcStatus(`^State:\sT`)
	d.signal(syscall.SIGTERM)
	sentAt := time.Now()
	for time.Since(sentAt) < time.Second { // the process stays stopped
		time.Sleep(10 * time.Millisecond)
	}
	stalled := time.Since(sentAt)
	d.signal(syscall.SIGCONT)
	line := d.awaitLog("termination signal received", 1)
	var delay time.Duration
	if m := regexp.MustCompile(`delay_ms=(\d+)`).FindStringSubmatch(line); m != nil {
		delay, _ = time.ParseDuration(m[1] + "ms")
	}
	if delay < stalled-time.Millisecond { // the log has rounded milliseconds
		t.Errorf("the process was stopped for %v after the signal, but the logged delay is shorter: %s", stalled, line)
	}
	d.awaitExit()
	if _, err := idle.reader.ReadByte(); err != io.EOF {
		t.Error(err)
	}
}

// A program that gets SIGTERM while it reads the configuration ends with exit code 0 and accepts no connection.
func TestTerminationDuringStart(t *testing.T) {
	d := newDaemon(t, daemonOptions{deadline: 300})
	text := d.readFile()
	d.replaceFileWithPipe()
	d.start()
	file := d.awaitFileRead()
	d.signal(syscall.SIGTERM)
	d.awaitLog("termination signal received", 1)
	_, err := io.WriteString(file, text)
	d.must(err)
	d.must(file.Close())
	d.awaitExit()
	if n, _ := d.countLog("msg=serving"); n > 0 {
		t.Error("the program served clients")
	}
}

// A program that gets SIGTERM several times during a reload serves its open connections and ends with exit code 0.
func TestTerminationDuringReload(t *testing.T) {
	node := newBlockingNode(t)
	close(node.release)
	d := newDaemon(t, daemonOptions{node: node.address, deadline: 2000})
	d.startAndWait()
	c := d.dial()
	d.replaceFileWithPipe()
	d.signal(syscall.SIGHUP)
	file := d.awaitFileRead()
	defer func() { _ = file.Close() }()
	d.signal(syscall.SIGTERM)
	d.awaitLog("msg=stopping ", 1)
	for range 3 {
		d.signal(syscall.SIGTERM)
		d.awaitProcStatus(`^ShdPnd:\s0+$`)
	}
	d.request(c, readRequest, 200)
	c.Close()
	d.awaitExit()
}

// At the shutdown an idle connection is closed without a response, and a request that is still arriving is rejected. A
// second SIGTERM changes nothing.
func TestShutdownEndsEachKindOfConnection(t *testing.T) {
	node := newBlockingNode(t)
	d := newDaemon(t, daemonOptions{node: node.address, deadline: 300})
	d.startAndWait()
	putRequest := strings.Replace(readRequest, "GET", "PUT", 1)
	unused, idle, head, body, chunks := d.dial(), d.dial(), d.dial(), d.dial(), d.dial()
	d.request(idle, "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n", 200)
	for c, text := range map[client]string{
		head:   readRequest[:len(readRequest)/2],
		body:   strings.Replace(putRequest, "\r\n\r\n", "\r\nContent-Length: 9\r\n\r\nhalf", 1),
		chunks: strings.Replace(putRequest, "\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", 1),
	} {
		_, err := io.WriteString(c, text)
		d.must(err)
	}
	d.signal(syscall.SIGTERM)
	d.awaitLog("msg=stopping ", 1)
	d.signal(syscall.SIGTERM)
	for name, c := range map[string]client{"unused": unused, "idle": idle} {
		if _, err := c.reader.ReadByte(); err != io.EOF {
			t.Errorf("%s connection: read %v, want EOF without a response", name, err)
		}
	}
	for name, c := range map[string]client{"incomplete header": head, "incomplete body": body, "incomplete chunks": chunks} {
		code, text, err := c.readResponse()
		if err != nil || code != 503 {
			t.Errorf("%s: error %v, response %d %s, want 503", name, err, code, text)
		}
		if _, err := c.reader.ReadByte(); err != io.EOF {
			t.Errorf("%s: read %v after the response, want EOF", name, err)
		}
	}
	d.awaitExit()
	if n := len(node.requests); n > 0 {
		t.Errorf("%d requests reached the node", n)
	}
}

// A request that still waits for its node shortly before SIGKILL gets its final response before the program ends, and so
// does one that arrived on another connection long after the signal.
func TestUnansweredRequestsGetFinalResponse(t *testing.T) {
	t.Parallel()
	node := newBlockingNode(t)
	d := newDaemon(t, daemonOptions{node: node.address, deadline: 60000})
	d.editFile([2]string{`"repeat":"safe"`, `"repeat":"unsafe"`}) // an idempotent request would be cancelled and retried
	d.startAndWait()
	waiting, idle := d.dial(), d.dial()
	d.request(idle, "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n", 200)
	_, err := io.WriteString(waiting, readRequest)
	d.must(err)
	<-node.requests
	d.signal(syscall.SIGTERM)
	for other, err := net.Dial("tcp", d.listen); err == nil; other, err = net.Dial("tcp", d.listen) {
		other.Close() // the program still accepts connections
		time.Sleep(10 * time.Millisecond)
	}
	_, err = io.WriteString(idle, strings.Replace(readRequest, "r1", "r2", 1))
	d.must(err)
	<-node.requests
	for name, c := range map[string]client{"request before the signal": waiting, "request after the signal": idle} {
		code, text, err := c.readResponse()
		if err != nil || code != 502 || text != string(core.CauseNotServed) {
			t.Errorf("%s: error %v, response %d %s, want 502 with CauseNotServed", name, err, code, text)
		}
		if _, err := c.reader.ReadByte(); err != io.EOF {
			t.Errorf("%s: read %v after the response, want EOF", name, err)
		}
	}
	d.awaitExit()
}

// The grace period is computed from the settings at the time of the signal, not from those of the start.
func TestGracePeriodOfReloadedSettings(t *testing.T) {
	d := newDaemon(t, daemonOptions{deadline: 300})
	d.startAndWait()
	d.editFile([2]string{`"deadline":300`, `"deadline":1100`})
	d.signal(syscall.SIGHUP)
	d.awaitLog("configuration reloaded", 1)
	d.signal(syscall.SIGTERM)
	if line := d.awaitLog("msg=stopping ", 1); !strings.HasSuffix(line, " grace_ms=1800") {
		t.Error(line)
	}
	d.awaitExit()
}
