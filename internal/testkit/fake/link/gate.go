package link

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	backlogOpen = 128
	fillMost    = 16
	fillWait    = 2 * time.Second
)

// gate is a listening socket that can be held: its queue is then full, so that connects neither
// come up nor fail.
type gate struct {
	ln    *net.TCPListener
	mu    sync.Mutex
	held  bool
	hand  atomic.Int32  // connections that accept has in hand
	free  chan struct{} // closed while connections are taken
	fill  []net.Conn
	own   map[string]bool // addresses of the connections that fill the queue
	early map[string]bool // ... of those in the queue when it was opened again, in the kernel's form
}

func openGate(at string) (*gate, error) {
	ln, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	g := &gate{ln: ln.(*net.TCPListener), free: make(chan struct{}), own: map[string]bool{}, early: map[string]bool{}}
	close(g.free)
	return g, nil
}

func (g *gate) addr() string { return g.ln.Addr().String() }

func (g *gate) backlog(n int) (err error) {
	raw, err := g.ln.SyscallConn()
	if err != nil {
		return err
	}
	var in error
	if err := raw.Control(func(fd uintptr) { in = syscall.Listen(int(fd), n) }); err != nil {
		return err
	}
	return in
}

// hold fills the queue, or takes again what comes.
func (g *gate) hold(on bool) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if on == g.held {
		return nil
	}
	g.held = on
	if !on {
		for _, nc := range g.fill {
			nc.Close()
		}
		g.fill = nil
		// One that slipped in before the queue was full is no late one: its dialer thinks it is up.
		for _, state := range []string{established, closeWait} {
			for _, s := range sockets(g.ln.Addr(), 1, state) {
				if !s.owned {
					g.early[s.peer] = true
				}
			}
		}
		close(g.free)
		return g.backlog(backlogOpen)
	}
	g.free = make(chan struct{})
	if err := g.backlog(0); err != nil {
		return err
	}
	for range fillMost { // one that accept has in hand, one in the queue
		if at := sockets(g.ln.Addr(), 1, listening); g.hand.Load() > 0 && len(at) == 1 && at[0].queue {
			return nil
		}
		nc, err := net.DialTimeout("tcp", g.addr(), fillWait)
		if err != nil {
			continue
		}
		g.fill = append(g.fill, nc)
		g.own[nc.LocalAddr().String()] = true
		for end := time.Now().Add(fillWait); g.hand.Load() == 0 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	}
	return syscall.EBUSY
}

// accept takes the next connection, once none is held.
func (g *gate) accept(done <-chan struct{}) (net.Conn, error) {
	for {
		nc, err := g.ln.Accept()
		if err != nil {
			return nil, err
		}
		g.hand.Add(1)
		g.mu.Lock()
		free, own := g.free, g.own[nc.RemoteAddr().String()] // one that fills the queue stays until then
		held, hex := g.held, inHex(nc.RemoteAddr())
		early := g.early[hex] || held
		delete(g.own, nc.RemoteAddr().String())
		delete(g.early, hex)
		g.mu.Unlock()
		select {
		case <-free:
			g.hand.Add(-1)
			if !own && !early {
				return nc, nil
			}
			broken(nc.(*net.TCPConn))
		case <-done:
			nc.Close()
			return nil, net.ErrClosed
		}
	}
}

func (g *gate) close() {
	g.ln.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, nc := range g.fill {
		nc.Close()
	}
}

// States of a socket in /proc/net/tcp (proc_net_tcp.txt of the kernel).
const (
	established = "01"
	synSent     = "02"
	closeWait   = "08"
	listening   = "0A"
)

// socket is a line of /proc/net/tcp.
type socket struct {
	peer  string
	queue bool // something waits to be read or, of one that listens, to be accepted
	owned bool // a process has it; one that was not accepted yet is nobody's
}

// sockets are those in a state with an address in a column: 1 their own, 2 their peer's.
func sockets(addr net.Addr, column int, state string) (all []socket) {
	text := inHex(addr)
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return nil
	}
	defer func() { _ = f.Close() }()
	for sc := bufio.NewScanner(f); sc.Scan(); {
		w := strings.Fields(sc.Text())
		if len(w) < 10 || w[column] != text || w[3] != state {
			continue
		}
		_, queue, _ := strings.Cut(w[4], ":")
		all = append(all, socket{peer: w[2], queue: strings.Trim(queue, "0") != "", owned: w[9] != "0"})
	}
	return all
}

// inHex is an IPv4 address as the kernel's table has it.
func inHex(addr net.Addr) string {
	at := addr.(*net.TCPAddr)
	ip := at.IP.To4()
	if ip == nil {
		return ""
	}
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], at.Port)
}

// Waiting is how many connects to the link's address are on their way and have not come up.
func (l *Link) Waiting() int { return len(sockets(l.tcp[0].ln.Addr(), 2, synSent)) }
