package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// daemon is the program running as a separate process, with the lines of its log.
type daemon struct {
	t            *testing.T
	cmd          *exec.Cmd
	file, listen string
	admin        string   // address of the admin endpoint
	folder       string   // $TMPDIR; empty: one of its own
	passedSocket *os.File // nil: it binds its socket
	mu           sync.Mutex
	lines        []string
	lineLogged   chan struct{} // a line was logged
	logEnded     chan struct{} // closed at the end of the log
}

// daemonOptions configures a daemon.
type daemonOptions struct {
	node, discovery string // empty: nothing listens there
	deadline        int    // of the class, ms
}

// newDaemon writes the configuration of a daemon, which is not started yet.
func newDaemon(t *testing.T, opt daemonOptions) *daemon {
	t.Helper()
	d := &daemon{t: t, lineLogged: make(chan struct{}, 1), logEnded: make(chan struct{}), admin: freeAddress(t)}
	if opt.node == "" {
		opt.node = "127.0.0.1:1"
	}
	d.file, d.listen = writeConfig(t, opt.node)
	d.editFile([2]string{`"name":"n0"`, fmt.Sprintf(`"name":"n0","operator":%q`, d.admin)},
		[2]string{`"goal-time":30000,"deadline":60000`, fmt.Sprintf(`"goal-time":%d,"deadline":%d`, opt.deadline, opt.deadline)})
	if opt.discovery != "" {
		d.writeFile(regexp.MustCompile(`"discovery":"[^"]*"`).ReplaceAllString(d.readFile(), fmt.Sprintf(`"discovery":%q`, opt.discovery)))
	}
	return d
}

func (d *daemon) readFile() string {
	d.t.Helper()
	text, err := os.ReadFile(d.file)
	d.must(err)
	return string(text)
}

func (d *daemon) writeFile(text string) {
	d.t.Helper()
	d.must(os.WriteFile(d.file, []byte(text), 0o600))
}

// editFile replaces texts in the configuration file, each of which must occur.
func (d *daemon) editFile(pairs ...[2]string) {
	d.t.Helper()
	text := d.readFile()
	for _, p := range pairs {
		if !strings.Contains(text, p[0]) {
			d.t.Fatalf("the configuration does not contain %s", p[0])
		}
		text = strings.Replace(text, p[0], p[1], 1)
	}
	d.writeFile(text)
}

func (d *daemon) must(err error) {
	d.t.Helper()
	if err != nil {
		d.t.Fatal(err)
	}
}

// start starts the program; it ends with the test.
func (d *daemon) start() {
	d.t.Helper()
	if d.folder == "" {
		d.folder = d.t.TempDir()
	}
	d.cmd = programCommand([]string{"ROUTER_CONFIG=" + d.file, "TMPDIR=" + d.folder})
	if d.passedSocket != nil {
		d.cmd.ExtraFiles = []*os.File{d.passedSocket}
		d.cmd.Env = append(d.cmd.Env, "ROUTER_PASSED_SOCKET=3")
	}
	out, err := d.cmd.StderrPipe()
	d.must(err)
	d.must(d.cmd.Start())
	d.t.Cleanup(func() { _ = d.cmd.Process.Kill(); <-d.logEnded })
	go func() {
		defer close(d.logEnded)
		for lines := bufio.NewScanner(out); lines.Scan(); {
			d.mu.Lock()
			d.lines = append(d.lines, lines.Text())
			d.mu.Unlock()
			select {
			case d.lineLogged <- struct{}{}:
			default:
			}
		}
	}()
}

// startAndWait starts the program and waits until it serves clients.
func (d *daemon) startAndWait() {
	d.t.Helper()
	d.start()
	d.awaitLog("msg=serving", 1)
}

// awaitLog waits until a number of log lines contain a text, and returns the last of them.
func (d *daemon) awaitLog(what string, times int) string {
	d.t.Helper()
	for ended := false; ; {
		n, last := d.countLog(what)
		if n >= times {
			return last
		}
		if ended {
			d.t.Fatalf("the program ended without logging: %s\n%s", what, strings.Join(d.lines, "\n"))
		}
		select {
		case <-d.lineLogged:
		case <-d.logEnded:
			ended = true
		}
	}
}

func (d *daemon) countLog(what string) (n int, last string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, line := range d.lines {
		if strings.Contains(line, what) {
			n, last = n+1, line
		}
	}
	return n, last
}

func (d *daemon) signal(s syscall.Signal) {
	d.t.Helper()
	d.must(d.cmd.Process.Signal(s))
}

// awaitExit waits for the end of the program, which must have exit code 0.
func (d *daemon) awaitExit() {
	d.t.Helper()
	<-d.logEnded
	if err := d.cmd.Wait(); err != nil {
		d.t.Errorf("the program did not exit with code 0: %v\n%s", err, strings.Join(d.lines, "\n"))
	}
}

// awaitProcStatus waits until a line of /proc/PID/status matches.
func (d *daemon) awaitProcStatus(pattern string) {
	d.t.Helper()
	expected := regexp.MustCompile("(?m)" + pattern)
	for {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
		d.must(err)
		if expected.Match(text) {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// awaitIdle waits for an instant at which every thread of the program sleeps, so that the Go runtime has delivered all signals
// that were sent before. A thread that slept in two readings without a context switch between them slept in between, and all
// threads are read once before any is read again.
func (d *daemon) awaitIdle() {
	d.t.Helper()
	for {
		before, idleBefore := d.threadSwitches()
		after, idleAfter := d.threadSwitches()
		if idleBefore && idleAfter && maps.Equal(before, after) {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

var contextSwitches = regexp.MustCompile(`(?m)^\w*ctxt_switches:.*$`)

// threadSwitches returns the lines of each thread's status that count its context switches, and whether all threads sleep.
func (d *daemon) threadSwitches() (switches map[string]string, idle bool) {
	d.t.Helper()
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/status", d.cmd.Process.Pid))
	d.must(err)
	switches, idle = map[string]string{}, len(files) > 0
	for _, file := range files {
		text, err := os.ReadFile(file)
		d.must(err)
		switches[file] = strings.Join(contextSwitches.FindAllString(string(text), -1), " ")
		idle = idle && strings.Contains(string(text), "\nState:\tS")
	}
	return switches, idle
}

// dial connects a client.
func (d *daemon) dial() client {
	d.t.Helper()
	nc, err := net.Dial("tcp", d.listen)
	d.must(err)
	d.t.Cleanup(func() { nc.Close() })
	return client{nc, bufio.NewReader(nc)}
}

type client struct {
	net.Conn
	reader *bufio.Reader
}

// readResponse reads a response and returns its status code and body.
func (c client) readResponse() (int, string, error) {
	var r fasthttp.Response
	err := r.Read(c.reader)
	return r.StatusCode(), string(r.Body()), err
}

// request sends a request and checks the status code of its response.
func (d *daemon) request(c client, text string, code int) {
	d.t.Helper()
	_, err := io.WriteString(c, text)
	d.must(err)
	if got, body, err := c.readResponse(); err != nil || got != code {
		d.t.Errorf("error %v, response %d %s, want %d", err, got, body, code)
	}
}

// getAdmin requests a path of the admin endpoint.
func (d *daemon) getAdmin(path string) (int, string) {
	d.t.Helper()
	r, err := http.Get("http://" + d.admin + path)
	d.must(err)
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	d.must(err)
	return r.StatusCode, string(body)
}

// replaceFileWithPipe replaces the configuration file with a named pipe, so that the daemon blocks while reading it until the
// test writes.
func (d *daemon) replaceFileWithPipe() {
	d.t.Helper()
	pipe := filepath.Join(d.t.TempDir(), "pipe")
	d.must(syscall.Mkfifo(pipe, 0o600))
	d.must(os.Rename(pipe, d.file))
}

// awaitFileRead returns once the daemon is reading the pipe. The daemon reads what is written to the returned file.
func (d *daemon) awaitFileRead() *os.File {
	d.t.Helper()
	f, err := os.OpenFile(d.file, os.O_WRONLY, 0)
	d.must(err)
	return f
}

// checkFileNotRead checks that the daemon is idle and doesn't have the pipe open.
func (d *daemon) checkFileNotRead() {
	d.t.Helper()
	d.awaitIdle()
	f, err := os.OpenFile(d.file, os.O_WRONLY|syscall.O_NONBLOCK, 0)
	if !errors.Is(err, syscall.ENXIO) { // a pipe without a reader
		d.t.Errorf("the program still reads the configuration file (opening the pipe: %v, want ENXIO)", err)
	}
	if err == nil {
		d.must(f.Close())
	}
}

// blockingNode is a fake node that delays its responses until release is closed or receives a value for each.
type blockingNode struct {
	address  string
	requests chan string // the header of each request
	release  chan struct{}
}

func newBlockingNode(t *testing.T) *blockingNode {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	s := &blockingNode{ln.Addr().String(), make(chan string, 64), make(chan struct{})}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(nc)
		}
	}()
	return s
}

func (s *blockingNode) serve(nc net.Conn) {
	defer nc.Close()
	var q fasthttp.Request
	for br := bufio.NewReader(nc); q.Read(br) == nil; {
		s.requests <- q.Header.String()
		<-s.release
		fmt.Fprint(nc, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}
