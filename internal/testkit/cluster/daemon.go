package cluster

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Build gives the path of the built daemon: beside this program, or built into dir where this is run
// from its source.
func Build(ctx context.Context, dir string) (string, error) {
	if me, err := os.Executable(); err == nil {
		beside := filepath.Join(filepath.Dir(me), "wheatsaddle")
		if info, err := os.Stat(beside); err == nil && info.Mode().IsRegular() && info.Mode()&0o111 != 0 {
			return beside, nil
		}
	}
	built := filepath.Join(dir, "wheatsaddle")
	c := exec.CommandContext(ctx, "go", "build", "-o", built, "wheatsaddle/cmd/wheatsaddle")
	if out, err := c.CombinedOutput(); err != nil {
		return "", &NoDaemon{Err: err, Output: string(out)}
	}
	return built, nil
}

// Config is one daemon's configuration; Settings are the platform's.
type Config struct {
	Name, Listen, Discovery string
	Operator                string // the operators' address; "": none
	Seed                    uint64
	MemoryMB                int
	Known                   []Entry
	Index                   int64 // version of Known; 0: 1
	Settings                map[string]any
}

// Write writes it as the daemon reads it.
func (c Config) Write(file string) error {
	text, err := json.Marshal(map[string]any{
		"name": c.Name, "listen": c.Listen, "discovery": c.Discovery, "operator": c.Operator, "seed": fmt.Sprintf("%x", c.Seed),
		"limits":   map[string]any{"cores": 1, "memory_mb": c.MemoryMB, "sockets": 1024},
		"known":    map[string]any{"index": max(c.Index, 1), "snapshot": true, "endpoints": append([]Entry{}, c.Known...)},
		"settings": c.Settings})
	if err != nil {
		return err
	}
	return os.WriteFile(file, text, 0o600)
}

// Ports of daemons are below those that the kernel gives to connections (ip_local_port_range), so
// that no connection takes one between two starts. They come in blocks, each of which one program at a
// time holds, by the name of a socket that nobody connects to, until it ends: two that run beside each
// other never give the same port.
const portFrom, portTo, portBlock = 20000, 32000, 50

var ports struct {
	sync.Mutex
	blocks []int
	names  []net.Listener
	next   int
}

// claim takes one more block. The lock is held.
func claim() bool {
	const all = (portTo - portFrom) / portBlock
	for k := range all {
		block := (os.Getpid()*61 + len(ports.blocks) + k) % all // programs begin apart
		if ln, err := net.Listen("unix", fmt.Sprintf("@wheatsaddle-ports-%d", block)); err == nil {
			ports.blocks, ports.names = append(ports.blocks, block), append(ports.names, ln)
			return true
		}
	}
	return false
}

// FreeAddress is a loopback address that nobody listens on and no connection takes. It stays bound, without
// a listener, until this program ends: who listens there with SO_REUSEADDR, as Go does, gets it. It was
// never listened on either: a listener that is closed stays with each process that is just being
// started, between fork and exec, and who listens there meanwhile is refused.
func FreeAddress() (string, error) {
	ports.Lock()
	defer ports.Unlock()
	for range portTo - portFrom {
		if ports.next >= len(ports.blocks)*portBlock && !claim() {
			break
		}
		port := portFrom + ports.blocks[ports.next/portBlock]*portBlock + ports.next%portBlock
		ports.next++
		err := hold(port)
		if err == nil {
			return fmt.Sprint("127.0.0.1:", port), nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return "", err
		}
	}
	return "", &NoDaemon{Err: syscall.EADDRINUSE}
}

// hold binds a port of 127.0.0.1 for good.
func hold(port int) error {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return os.NewSyscallError("socket", err)
	}
	if err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}})
	}
	if err != nil {
		_ = syscall.Close(fd)
	}
	return os.NewSyscallError("bind", err)
}

// Proc is one process of the daemon, started again as often as it is asked for.
type Proc struct {
	Name, Listen   string
	daemon, config string
	log            string
	args, env      []string
	passed         *os.File     // the clients' listening socket, inherited as descriptor 3; nil: the daemon binds
	adminAddress   string       // of a daemon with a passed socket: where it says that it is ready
	lines          func([]byte) // told of what it writes, line by line; nil: nobody
	mu             sync.Mutex
	cmd            *exec.Cmd
	ended          chan struct{} // closed when cmd has ended; its error is then in err
	err            error
	starts         int // how often cmd was started
}

// NewProc makes a process that is not started; its log goes to a file.
func NewProc(daemon, config, log, name, listen string, args ...string) *Proc {
	return &Proc{Name: name, Listen: listen, daemon: daemon, config: config, log: log, args: args}
}

// Start starts it. It ends with this program, however that ends.
func (p *Proc) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	c := exec.Command(p.daemon, p.args...)
	c.Env = append(os.Environ(), "ROUTER_CONFIG="+p.config, "TMPDIR="+filepath.Dir(p.config))
	if p.passed != nil {
		c.ExtraFiles, c.Env = []*os.File{p.passed}, append(c.Env, "ROUTER_PASSED_SOCKET=3")
	}
	c.Env = append(c.Env, p.env...)
	c.Stdout, c.Stderr = out, out
	if p.lines != nil {
		both := &lined{out: p.log, line: p.lines}
		c.Stdout, c.Stderr = both, both
	}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return &NoDaemon{Err: err}
	}
	ended := make(chan struct{})
	p.cmd, p.ended, p.err = c, ended, nil
	p.starts++
	go func() {
		err := c.Wait()
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(ended)
	}()
	return nil
}

// Starts is how often the process has been started.
func (p *Proc) Starts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// lined tells of what a process writes line by line, and keeps it in its log.
type lined struct {
	out  string
	line func([]byte)
	rest []byte
}

func (l *lined) Write(p []byte) (int, error) {
	l.rest = append(l.rest, p...)
	for {
		i := bytes.IndexByte(l.rest, '\n')
		if i < 0 {
			break
		}
		l.line(l.rest[:i])
		l.rest = l.rest[i+1:]
	}
	f, err := os.OpenFile(l.out, os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return 0, err
	}
	defer func() { _ = f.Close() }()
	return f.Write(p)
}

// Signal sends it a signal.
func (p *Proc) Signal(s syscall.Signal) error {
	p.mu.Lock()
	c := p.cmd
	p.mu.Unlock()
	if c == nil {
		return os.ErrProcessDone
	}
	return c.Process.Signal(s)
}

// Alive says whether the process has not ended.
func (p *Proc) Alive() bool {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return false
	}
	select {
	case <-ended:
		return false
	default:
		return true
	}
}

// End waits for the process to end and says how it did.
func (p *Proc) End(ctx context.Context) error {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return nil
	}
	select {
	case <-ended:
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.err
	case <-ctx.Done():
		return fmt.Errorf("%s has not ended: %w", p.Name, ctx.Err())
	}
}

// Reap ends what is left of it.
func (p *Proc) Reap() {
	if p.Alive() {
		_ = p.Signal(syscall.SIGKILL) // also where it is stopped
		_ = p.End(context.Background())
	}
}

// CPU is the processor time of a process that has ended.
func (p *Proc) CPU() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.ProcessState == nil {
		return 0
	}
	return p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
}

// Log is what it has written, of all its starts.
func (p *Proc) Log() string {
	text, _ := os.ReadFile(p.log)
	return string(text)
}

// Ready asks the process itself, past all links.
func (p *Proc) Ready() error {
	if !p.Alive() {
		return os.ErrProcessDone
	}
	at, path := p.Listen, "/health/ready"
	if p.passed != nil { // it may wait for its turn there
		at, path = p.adminAddress, "/api/ready"
	}
	nc, err := net.DialTimeout("tcp", at, time.Second)
	if err != nil {
		return err
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(time.Second))
	if _, err := io.WriteString(nc, "GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		return err
	}
	line, err := bufio.NewReader(nc).ReadString('\n')
	if err == nil && !strings.Contains(line, " 200 ") {
		err = errors.New(strings.TrimSpace(line))
	}
	return err
}
