// Package kit has what the cases share: the start of the daemon by the deploy file's command, a record of what was sent,
// answered and run, and stand-ins for discovery, storage nodes and clients.
package kit

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Run is one run of a case.
type Run struct {
	Root    string // of the repository
	Dir     string // private temporary folder
	Trouble bool
	start   time.Time
	mu      sync.Mutex
	record  *os.File
	procs   []*Daemon
}

// Start opens the record in the case's folder. The arguments are the repository's root and the case's folder.
func Start() *Run {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: caseN ROOT FOLDER")
		os.Exit(NotRun)
	}
	r := &Run{Root: os.Args[1], Trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	var err error
	if r.record, err = os.Create(filepath.Join(os.Args[2], "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	if r.Dir, err = os.MkdirTemp("", "review-case-"); err != nil {
		r.Fatal("temporary folder: %v", err)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		r.Fatal("%v", <-signals)
	}()
	time.AfterFunc(110*time.Second, func() { r.Fatal("the case took too long") })
	r.Log("trouble=%v", r.Trouble)
	return r
}

// Log writes a line with the time since the start to the record.
func (r *Run) Log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.1f ms  %s\n", float64(time.Since(r.start).Microseconds())/1000, fmt.Sprintf(format, args...))
}

// Fatal ends a case that couldn't run.
func (r *Run) Fatal(format string, args ...any) {
	r.Log("NOT RUN: "+format, args...)
	fmt.Fprintf(os.Stderr, "not run: "+format+"\n", args...)
	r.End(NotRun)
}

// End ends all processes that the case started, and exits.
func (r *Run) End(code int) {
	r.mu.Lock()
	procs := r.procs
	r.mu.Unlock()
	for _, d := range procs {
		d.Kill()
	}
	os.RemoveAll(r.Dir)
	r.Log("exit %d", code)
	os.Exit(code)
}

// Verdict ends the case.
func (r *Run) Verdict(broken bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.Log("VERDICT: broken=%v: %s", broken, text)
	fmt.Printf("broken=%v: %s\n", broken, text)
	if broken {
		r.End(Broken)
	}
	r.End(Held)
}

// FreePort returns a free loopback address.
func FreePort() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// WriteJSON writes a file into the temporary folder by a rename, and returns its path.
func (r *Run) WriteJSON(name string, v any) string {
	b, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		r.Fatal("%v", err)
	}
	path := filepath.Join(r.Dir, name)
	if err := os.WriteFile(path+"~", b, 0o600); err == nil {
		err = os.Rename(path+"~", path)
	}
	if err != nil {
		r.Fatal("%v", err)
	}
	return path
}

// Daemon is one process of the daemon.
type Daemon struct {
	Cmd    *exec.Cmd
	Name   string
	Exited chan struct{}
}

// StartDaemon starts the daemon by the deploy file's run command, with more arguments, and with a private $TMPDIR.
func (r *Run) StartDaemon(name, config, args string) *Daemon {
	text, err := os.ReadFile(filepath.Join(r.Root, "deploy", "balancer.toml"))
	if err != nil {
		r.Fatal("deploy file: %v", err)
	}
	m := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(text)
	if m == nil {
		r.Fatal("the deploy file has no key run")
	}
	tmp := filepath.Join(r.Dir, "tmp-"+name)
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		r.Fatal("%v", err)
	}
	d := &Daemon{Cmd: exec.Command("/bin/sh", "-c", string(m[1])+args), Name: name, Exited: make(chan struct{})}
	d.Cmd.Dir = r.Root
	for _, e := range os.Environ() {
		if !strings.HasPrefix(e, "ROUTER_") && !strings.HasPrefix(e, "TMPDIR=") {
			d.Cmd.Env = append(d.Cmd.Env, e)
		}
	}
	d.Cmd.Env = append(d.Cmd.Env, "ROUTER_CONFIG="+config, "TMPDIR="+tmp)
	d.Cmd.Stderr, d.Cmd.Stdout = &logWriter{r, name}, &logWriter{r, name}
	if err := d.Cmd.Start(); err != nil {
		r.Fatal("start of the daemon: %v", err)
	}
	r.Log("started daemon %s, pid %d", name, d.Cmd.Process.Pid)
	go func() {
		err := d.Cmd.Wait()
		r.Log("daemon %s ended: %v", name, err)
		close(d.Exited)
	}()
	r.mu.Lock()
	r.procs = append(r.procs, d)
	r.mu.Unlock()
	return d
}

// Signal sends a signal to the daemon.
func (d *Daemon) Signal(r *Run, s syscall.Signal) {
	r.Log("signal %v to daemon %s", s, d.Name)
	_ = d.Cmd.Process.Signal(s)
}

// Kill ends the daemon and waits for its end.
func (d *Daemon) Kill() {
	_ = d.Cmd.Process.Signal(syscall.SIGCONT)
	_ = d.Cmd.Process.Kill()
	<-d.Exited
}

// MemoryMB returns the resident memory of the process, 0 if it has ended. Its anonymous part leaves out the pages of files,
// such as those of the program itself.
func (d *Daemon) MemoryMB() (resident, anonymous float64) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.Cmd.Process.Pid))
	if err != nil {
		return 0, 0
	}
	read := func(key string) float64 {
		m := regexp.MustCompile(key + `:\s+(\d+) kB`).FindSubmatch(b)
		if m == nil {
			return 0
		}
		kb, _ := strconv.ParseFloat(string(m[1]), 64)
		return kb / 1024
	}
	return read("VmRSS"), read("RssAnon")
}

type logWriter struct {
	r    *Run
	name string
}

func (w *logWriter) Write(b []byte) (int, error) {
	for _, line := range strings.Split(strings.TrimRight(string(b), "\n"), "\n") {
		w.r.Log("log of %s: %s", w.name, line)
	}
	return len(b), nil
}

// WaitReady waits until GET /health/ready is answered with 200.
func (r *Run) WaitReady(address string) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true, Proxy: nil}}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + address + "/health/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 {
				return
			}
		}
	}
	r.Fatal("the daemon at %s is not ready after 20 s", address)
}

// Endpoint is an entry of discovery's list.
type Endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMs int64   `json:"since_ms"`
}

// Discovery is an agent that pushes a list that does not change.
type Discovery struct {
	Address string
	index   int
	list    []Endpoint
}

// StartDiscovery starts the agent with a list.
func (r *Run) StartDiscovery(list []Endpoint) *Discovery {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.Fatal("%v", err)
	}
	d := &Discovery{Address: ln.Addr().String(), index: 41, list: list}
	mux := http.NewServeMux()
	mux.HandleFunc("/registry/instances", d.serve)
	go func() { _ = http.Serve(ln, mux) }()
	return d
}

// Known returns the list in discovery's form.
func (d *Discovery) Known() map[string]any {
	return map[string]any{"index": d.index, "snapshot": true, "endpoints": d.list}
}

func (d *Discovery) serve(w http.ResponseWriter, q *http.Request) {
	if q.URL.Query().Get("watch") == "" {
		_ = json.NewEncoder(w).Encode(d.Known())
		return
	}
	after, _ := strconv.Atoi(q.URL.Query().Get("after"))
	flusher := w.(http.Flusher)
	flusher.Flush()
	for {
		if d.index != after {
			b, _ := json.Marshal(d.Known())
			fmt.Fprintf(w, "%s\n", b)
			after = d.index
		} else {
			fmt.Fprint(w, "\n")
		}
		flusher.Flush()
		select {
		case <-time.After(2 * time.Second):
		case <-q.Context().Done():
			return
		}
	}
}
