package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// entry is an entry of discovery's list.
type entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

// config is what a scheduler is told.
type config struct {
	name, listen, discovery, operator string
	known                             []entry
	settings                          map[string]any
	memoryMB                          int      // 0: 192
	file                              string   // name of the configuration and log files; "": that of the scheduler
	passed                            *os.File // the clients' listening socket; nil: the process binds its own
}

// write writes the configuration file into the rig's folder.
func (r *rig) write(c config) (string, error) {
	if c.file == "" {
		c.file = c.name
	}
	if c.memoryMB == 0 {
		c.memoryMB = 192
	}
	return r.writeJSON(c.file+".json", map[string]any{
		"name": c.name, "listen": c.listen, "discovery": c.discovery, "operator": c.operator, "seed": "1",
		"limits":   map[string]any{"cores": 1, "memory_mb": c.memoryMB, "sockets": 1024},
		"known":    map[string]any{"index": 1, "snapshot": true, "endpoints": append([]entry{}, c.known...)},
		"settings": c.settings})
}

// process is one process of the daemon.
type process struct {
	name    string
	cmd     *exec.Cmd
	ended   chan struct{}
	logFile string
}

// startDaemon starts a scheduler by the run command of the deploy file, with further arguments, and waits until it is ready.
func (r *rig) startDaemon(c config, args ...string) (*process, error) {
	path, err := r.write(c)
	if err != nil {
		return nil, err
	}
	root, err := repository()
	if err != nil {
		return nil, err
	}
	p := &process{name: c.name, ended: make(chan struct{}), logFile: strings.TrimSuffix(path, ".json") + ".log"}
	out, err := os.Create(p.logFile)
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	p.cmd = exec.Command("/bin/sh", append([]string{"-c", `exec bin/wheatsaddle "$@"`, "run"}, args...)...)
	p.cmd.Dir = root
	p.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+path, "TMPDIR="+r.dir)
	ask, call := c.listen, "/health/ready"
	if c.passed != nil { // another process may still accept from the socket
		p.cmd.ExtraFiles, p.cmd.Env = []*os.File{c.passed}, append(p.cmd.Env, "ROUTER_PASSED_SOCKET=3")
		ask, call = c.operator, "/api/ready"
	}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	r.procs = append(r.procs, p)
	if err := waitFor(10*time.Second, func() error { return ready(ask, call) }); err != nil {
		return nil, fmt.Errorf("%s is not ready: %w: %s", c.name, err, p.log())
	}
	r.record.printf("scheduler %s is ready", c.name)
	return p, nil
}

// repository returns the root of the repository, two folders above this program.
func repository() (string, error) {
	self, err := os.Executable()
	return filepath.Dir(filepath.Dir(self)), err
}

// ready asks a scheduler by a call at an address whether it is ready.
func ready(address, call string) error {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	if _, err := io.WriteString(c, "GET "+call+" HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		return err
	}
	line, err := bufio.NewReader(c).ReadString('\n')
	if err == nil && !strings.Contains(line, " 200 ") {
		err = errors.New(strings.TrimSpace(line))
	}
	return err
}

func (p *process) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// end ends the process: SIGTERM, and SIGKILL after the longest deadline of the platform and more.
func (p *process) end() {
	if !p.alive() {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(6 * time.Second):
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
}

// log returns the end of what the process has written.
func (p *process) log() string {
	text, _ := os.ReadFile(p.logFile)
	return string(text[max(0, len(text)-20000):])
}
