package main

import (
	"bufio"
	"fmt"
	"io"
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

// daemon is the program as a process of its own, with the lines of its log.
type daemon struct {
	t            *testing.T
	cmd          *exec.Cmd
	file, listen string
	admin        string // address of the admin endpoint
	mu           sync.Mutex
	lines        []string
	more         chan struct{} // a line was logged
	ended        chan struct{} // its log has ended
}

// conf is a configuration of a daemon in a test.
type conf struct {
	node, discovery string // empty: nothing listens there
	deadline        int    // of the class, ms
}

// daemonOf makes a daemon that is not started, and its file.
func daemonOf(t *testing.T, c conf) *daemon {
	t.Helper()
	d := &daemon{t: t, more: make(chan struct{}, 1), ended: make(chan struct{}), admin: freeAddress(t)}
	if c.node == "" {
		c.node = "127.0.0.1:1"
	}
	d.file, d.listen = configure(t, c.node)
	d.edit([2]string{`"name":"n0"`, fmt.Sprintf(`"name":"n0","operator":%q`, d.admin)},
		[2]string{`"goal-time":30000,"deadline":60000`, fmt.Sprintf(`"goal-time":%d,"deadline":%d`, c.deadline, c.deadline)})
	if c.discovery != "" {
		d.write(regexp.MustCompile(`"discovery":"[^"]*"`).ReplaceAllString(d.text(), fmt.Sprintf(`"discovery":%q`, c.discovery)))
	}
	return d
}

func (d *daemon) text() string {
	d.t.Helper()
	text, err := os.ReadFile(d.file)
	d.must(err)
	return string(text)
}

func (d *daemon) write(text string) {
	d.t.Helper()
	d.must(os.WriteFile(d.file, []byte(text), 0o600))
}

// edit puts texts in place of others in the file; each must be there.
func (d *daemon) edit(pairs ...[2]string) {
	d.t.Helper()
	text := d.text()
	for _, p := range pairs {
		if !strings.Contains(text, p[0]) {
			d.t.Fatalf("the file has no %s", p[0])
		}
		text = strings.Replace(text, p[0], p[1], 1)
	}
	d.write(text)
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
	d.cmd = program([]string{"ROUTER_CONFIG=" + d.file, "TMPDIR=" + d.t.TempDir()})
	out, err := d.cmd.StderrPipe()
	d.must(err)
	d.must(d.cmd.Start())
	d.t.Cleanup(func() { _ = d.cmd.Process.Kill(); <-d.ended })
	go func() {
		defer close(d.ended)
		for lines := bufio.NewScanner(out); lines.Scan(); {
			d.mu.Lock()
			d.lines = append(d.lines, lines.Text())
			d.mu.Unlock()
			select {
			case d.more <- struct{}{}:
			default:
			}
		}
	}()
}

// up starts the program and waits until it serves.
func (d *daemon) up() {
	d.t.Helper()
	d.start()
	d.awaitLog("msg=serving", 1)
}

// awaitLog waits until a number of log lines contain a text, and returns the last of them.
func (d *daemon) awaitLog(what string, times int) string {
	d.t.Helper()
	for ended := false; ; {
		n, last := d.count(what)
		if n >= times {
			return last
		}
		if ended {
			d.t.Fatalf("it ended and never logged: %s\n%s", what, strings.Join(d.lines, "\n"))
		}
		select {
		case <-d.more:
		case <-d.ended:
			ended = true
		}
	}
}

func (d *daemon) count(what string) (n int, last string) {
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

// exits waits for the end of the program, which must have exit code 0.
func (d *daemon) exits() {
	d.t.Helper()
	<-d.ended
	if err := d.cmd.Wait(); err != nil {
		d.t.Errorf("%v\n%s", err, strings.Join(d.lines, "\n"))
	}
}

// status waits until a line of /proc/PID/status matches.
func (d *daemon) status(form string) {
	d.t.Helper()
	want := regexp.MustCompile("(?m)" + form)
	for {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
		d.must(err)
		if want.Match(text) {
			return
		}
		time.Sleep(time.Millisecond)
	}
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
	in *bufio.Reader
}

// answer reads one answer: its code and body.
func (c client) answer() (int, string, error) {
	var r fasthttp.Response
	err := r.Read(c.in)
	return r.StatusCode(), string(r.Body()), err
}

// request sends a request and checks the code of its response.
func (d *daemon) request(c client, text string, code int) {
	d.t.Helper()
	_, err := io.WriteString(c, text)
	d.must(err)
	if got, body, err := c.answer(); err != nil || got != code {
		d.t.Errorf("%v, %d %s, want %d", err, got, body, code)
	}
}

// get requests a path of the admin endpoint.
func (d *daemon) get(path string) (int, string) {
	d.t.Helper()
	r, err := http.Get("http://" + d.admin + path)
	d.must(err)
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	d.must(err)
	return r.StatusCode, string(body)
}

// pipe puts a named pipe in the file's place: a read of it waits in the daemon until the test writes.
func (d *daemon) pipe() {
	d.t.Helper()
	beside := filepath.Join(d.t.TempDir(), "pipe")
	d.must(syscall.Mkfifo(beside, 0o600))
	d.must(os.Rename(beside, d.file))
}

// reads returns once the daemon reads the pipe; what is written to it is the file.
func (d *daemon) reads() *os.File {
	d.t.Helper()
	f, err := os.OpenFile(d.file, os.O_WRONLY, 0)
	d.must(err)
	return f
}

// storage is a stand-in node that holds each answer until it is released.
type storage struct {
	address string
	came    chan string // the head of each request
	release chan struct{}
}

func storageNode(t *testing.T) *storage {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	s := &storage{ln.Addr().String(), make(chan string, 64), make(chan struct{})}
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

func (s *storage) serve(nc net.Conn) {
	defer nc.Close()
	var q fasthttp.Request
	for br := bufio.NewReader(nc); q.Read(br) == nil; {
		s.came <- q.Header.String()
		<-s.release
		fmt.Fprint(nc, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}
