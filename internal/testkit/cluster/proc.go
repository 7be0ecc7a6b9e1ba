package cluster

import (
	"bufio"
	"bytes"
	"cmp"
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

// Build returns the path of the daemon. It uses the one in the directory of this program if there is one,
// and otherwise builds the daemon from source into dir.
func Build(ctx context.Context, dir string) (string, error) {
	if self, err := os.Executable(); err == nil {
		sibling := filepath.Join(filepath.Dir(self), "wheatsaddle")
		if info, err := os.Stat(sibling); err == nil && info.Mode().IsRegular() && info.Mode()&0o111 != 0 {
			return sibling, nil
		}
	}
	built := filepath.Join(dir, "wheatsaddle")
	c := exec.CommandContext(ctx, "go", "build", "-o", built, "wheatsaddle/cmd/wheatsaddle")
	if out, err := c.CombinedOutput(); err != nil {
		return "", &DaemonError{Err: err, Output: string(out)}
	}
	return built, nil
}

// Config is the configuration of one daemon. Settings holds the platform's settings.
type Config struct {
	Name, Listen, Discovery string
	AdminAddress            string // of the admin endpoint; "": none
	Seed                    uint64
	MemoryMB                int
	Sockets                 int     // 0: 1024
	Endpoints               []Entry // the endpoint list until the discovery service has sent one
	ListVersion             int64   // version of Endpoints; 0: 1
	Settings                map[string]any
}

const defaultSockets = 1024

// Write writes the configuration file in the format that the daemon reads.
func (c Config) Write(file string) error {
	text, err := json.Marshal(map[string]any{
		"name": c.Name, "listen": c.Listen, "discovery": c.Discovery, "operator": c.AdminAddress, "seed": fmt.Sprintf("%x", c.Seed),
		"limits":   map[string]any{"cores": 1, "memory_mb": c.MemoryMB, "sockets": cmp.Or(c.Sockets, defaultSockets)},
		"known":    map[string]any{"index": max(c.ListVersion, 1), "snapshot": true, "endpoints": append([]Entry{}, c.Endpoints...)},
		"settings": c.Settings})
	if err != nil {
		return err
	}
	return os.WriteFile(file, text, 0o600)
}

// The ports of daemons are below the kernel's ephemeral port range (ip_local_port_range), so that no
// connection takes a port between two starts of a daemon. Ports are allocated in blocks. A program locks
// each of its blocks by binding an abstract Unix socket until it ends, so two programs that run at the
// same time never use the same port.
const firstPort, endPort, portsPerBlock = 20000, 32000, 50

var ports struct {
	sync.Mutex
	blocks []int          // the claimed blocks
	locks  []net.Listener // of the claimed blocks
	next   int            // index of the next port to reserve, counted over the claimed blocks
}

// claimPortBlock locks one more block of ports. It returns false if none is free. The caller holds the mutex of ports.
func claimPortBlock() bool {
	const blockCount = (endPort - firstPort) / portsPerBlock
	for k := range blockCount {
		block := (os.Getpid()*61 + len(ports.blocks) + k) % blockCount // programs start their search at different blocks
		if ln, err := net.Listen("unix", fmt.Sprintf("@wheatsaddle-ports-%d", block)); err == nil {
			ports.blocks, ports.locks = append(ports.blocks, block), append(ports.locks, ln)
			return true
		}
	}
	return false
}

// FreeAddress reserves a loopback address on which no process listens and which no connection takes. It stays
// bound without a listener until this program ends, so a process that sets SO_REUSEADDR, as Go does, can
// listen on it. FreeAddress itself never listens on the address: a process between fork and exec would
// hold a copy of a closed listener, and listening on the address would fail until its exec.
func FreeAddress() (string, error) {
	ports.Lock()
	defer ports.Unlock()
	for range endPort - firstPort {
		if ports.next >= len(ports.blocks)*portsPerBlock && !claimPortBlock() {
			break
		}
		port := firstPort + ports.blocks[ports.next/portsPerBlock]*portsPerBlock + ports.next%portsPerBlock
		ports.next++
		err := bindPort(port)
		if err == nil {
			return fmt.Sprint("127.0.0.1:", port), nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return "", err
		}
	}
	return "", &DaemonError{Err: syscall.EADDRINUSE}
}

// bindPort binds a port of 127.0.0.1 until this program ends.
func bindPort(port int) error {
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

// Proc is one process of the daemon, which can be started repeatedly.
type Proc struct {
	Name, Listen   string
	daemon, config string
	logFile        string
	args, env      []string
	passedSocket   *os.File     // the client listening socket, inherited as descriptor 3; nil: the daemon binds its own
	adminAddress   string       // where a daemon with a passed socket reports readiness
	onLine         func([]byte) // called with each line of output; may be nil
	mu             sync.Mutex
	cmd            *exec.Cmd
	exited         chan struct{} // closed once cmd has exited; exitErr then holds its error
	exitErr        error
	starts         int
}

// NewProc returns a process that is not started yet. Its output is appended to logFile.
func NewProc(binary, config, logFile, name, listen string, args ...string) *Proc {
	return &Proc{Name: name, Listen: listen, daemon: binary, config: config, logFile: logFile, args: args}
}

// Start starts the process. The kernel kills it when this program ends in any way.
func (p *Proc) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	c := exec.Command(p.daemon, p.args...)
	c.Env = append(os.Environ(), "ROUTER_CONFIG="+p.config, "TMPDIR="+filepath.Dir(p.config))
	if p.passedSocket != nil {
		c.ExtraFiles, c.Env = []*os.File{p.passedSocket}, append(c.Env, "ROUTER_PASSED_SOCKET=3")
	}
	c.Env = append(c.Env, p.env...)
	c.Stdout, c.Stderr = out, out
	if p.onLine != nil {
		output := &lineWriter{logFile: p.logFile, onLine: p.onLine}
		c.Stdout, c.Stderr = output, output
	}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return &DaemonError{Err: err}
	}
	ended := make(chan struct{})
	p.cmd, p.exited, p.exitErr = c, ended, nil
	p.starts++
	go func() {
		err := c.Wait()
		p.mu.Lock()
		p.exitErr = err
		p.mu.Unlock()
		close(ended)
	}()
	return nil
}

// Starts returns how often the process has been started.
func (p *Proc) Starts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// lineWriter calls a function with each line that a process writes, and appends the output to its log file.
type lineWriter struct {
	logFile     string
	onLine      func([]byte)
	partialLine []byte
}

func (l *lineWriter) Write(p []byte) (int, error) {
	l.partialLine = append(l.partialLine, p...)
	for {
		i := bytes.IndexByte(l.partialLine, '\n')
		if i < 0 {
			break
		}
		l.onLine(l.partialLine[:i])
		l.partialLine = l.partialLine[i+1:]
	}
	f, err := os.OpenFile(l.logFile, os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return 0, err
	}
	defer func() { _ = f.Close() }()
	return f.Write(p)
}

// Signal sends the process a signal.
func (p *Proc) Signal(s syscall.Signal) error {
	p.mu.Lock()
	c := p.cmd
	p.mu.Unlock()
	if c == nil {
		return os.ErrProcessDone
	}
	return c.Process.Signal(s)
}

// Alive reports whether the process has been started and has not exited.
func (p *Proc) Alive() bool {
	p.mu.Lock()
	ended := p.exited
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

// Wait waits until the process has exited and returns its exit error. If the process was never started, it returns nil
// immediately.
func (p *Proc) Wait(ctx context.Context) error {
	p.mu.Lock()
	ended := p.exited
	p.mu.Unlock()
	if ended == nil {
		return nil
	}
	select {
	case <-ended:
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.exitErr
	case <-ctx.Done():
		return fmt.Errorf("%s has not exited: %w", p.Name, ctx.Err())
	}
}

// KillAndWait kills the process if it is alive and waits until it has exited.
func (p *Proc) KillAndWait() {
	if p.Alive() {
		_ = p.Signal(syscall.SIGKILL) // also ends a suspended process
		_ = p.Wait(context.Background())
	}
}

// CPU returns the processor time of a process that has exited.
func (p *Proc) CPU() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.ProcessState == nil {
		return 0
	}
	return p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
}

// Log returns the output of all starts.
func (p *Proc) Log() string {
	text, _ := os.ReadFile(p.logFile)
	return string(text)
}

// Ready queries the process directly, without any link, and returns nil if it reports that it is ready.
func (p *Proc) Ready() error {
	if !p.Alive() {
		return os.ErrProcessDone
	}
	address, path := p.Listen, "/health/ready"
	if p.passedSocket != nil { // on that socket another process may still accept the connections
		address, path = p.adminAddress, "/api/ready"
	}
	nc, err := net.DialTimeout("tcp", address, time.Second)
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

// PID returns the process id of the last start, 0 before the first.
func (p *Proc) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// AddEnv adds variables to the environment of the next starts.
func (p *Proc) AddEnv(variables ...string) { p.env = append(p.env, variables...) }

// PassSocket makes the process inherit a clients' listening socket, as at a process handover. It reports readiness at its admin
// endpoint. It is called before Start.
func (p *Proc) PassSocket(socket *os.File, adminAddress string) {
	p.passedSocket, p.adminAddress = socket, adminAddress
}
