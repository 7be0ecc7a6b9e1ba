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
	defaultBacklog = 128
	maxFillers     = 16
	fillTimeout    = 2 * time.Second
)

// heldListener is a listening socket that can be held. While it is held, its accept queue is full, so that connects neither
// succeed nor fail.
type heldListener struct {
	ln          *net.TCPListener
	mu          sync.Mutex
	held        bool
	heldBack    atomic.Int32  // connections that accept has taken off the queue and holds back
	released    chan struct{} // closed while the listener is not held
	fillers     []net.Conn
	fillerAddrs map[string]bool // local addresses of the connections that fill the queue
	staleAddrs  map[string]bool // remote addresses of the other connections that were in the queue at the release, in the format of /proc/net/tcp
}

func newHeldListener(at string) (*heldListener, error) {
	ln, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	g := &heldListener{ln: ln.(*net.TCPListener), released: make(chan struct{}), fillerAddrs: map[string]bool{}, staleAddrs: map[string]bool{}}
	close(g.released)
	return g, nil
}

func (g *heldListener) addr() string { return g.ln.Addr().String() }

func (g *heldListener) setBacklog(n int) (err error) {
	raw, err := g.ln.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), n) }); err != nil {
		return err
	}
	return listenErr
}

// setHeld fills the accept queue, or releases it.
func (g *heldListener) setHeld(on bool) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if on == g.held {
		return nil
	}
	g.held = on
	if !on {
		for _, nc := range g.fillers {
			nc.Close()
		}
		g.fillers = nil
		// A foreign connection that was established before the queue was full must not succeed after the release:
		// its dialer has considered it open all the time.
		for _, state := range []string{established, closeWait} {
			for _, s := range findSockets(g.ln.Addr(), 1, state) {
				if !s.owned {
					g.staleAddrs[s.peer] = true
				}
			}
		}
		close(g.released)
		return g.setBacklog(defaultBacklog)
	}
	g.released = make(chan struct{})
	if err := g.setBacklog(0); err != nil {
		return err
	}
	for range maxFillers { // until accept holds back one connection and one is in the queue
		if at := findSockets(g.ln.Addr(), 1, listening); g.heldBack.Load() > 0 && len(at) == 1 && at[0].queued {
			return nil
		}
		nc, err := net.DialTimeout("tcp", g.addr(), fillTimeout)
		if err != nil {
			continue
		}
		g.fillers = append(g.fillers, nc)
		g.fillerAddrs[nc.LocalAddr().String()] = true
		for end := time.Now().Add(fillTimeout); g.heldBack.Load() == 0 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	}
	return syscall.EBUSY
}

// accept returns the next connection once the listener is not held.
func (g *heldListener) accept(done <-chan struct{}) (net.Conn, error) {
	for {
		nc, err := g.ln.Accept()
		if err != nil {
			return nil, err
		}
		g.heldBack.Add(1)
		g.mu.Lock()
		released, filler := g.released, g.fillerAddrs[nc.RemoteAddr().String()] // a connection that fills the queue is kept until the release
		held, hex := g.held, procNetAddr(nc.RemoteAddr())
		stale := g.staleAddrs[hex] || held
		delete(g.fillerAddrs, nc.RemoteAddr().String())
		delete(g.staleAddrs, hex)
		g.mu.Unlock()
		select {
		case <-released:
			g.heldBack.Add(-1)
			if !filler && !stale {
				return nc, nil
			}
			resetConn(nc.(*net.TCPConn))
		case <-done:
			nc.Close()
			return nil, net.ErrClosed
		}
	}
}

func (g *heldListener) close() {
	g.ln.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, nc := range g.fillers {
		nc.Close()
	}
}

// Socket states in /proc/net/tcp (proc_net_tcp.txt of the kernel's documentation).
const (
	established = "01"
	synSent     = "02"
	closeWait   = "08"
	listening   = "0A"
)

// socket is a line of /proc/net/tcp.
type socket struct {
	peer   string
	queued bool // data waits to be read or, on a listening socket, a connection waits to be accepted
	owned  bool // a process owns the socket; false for a connection that has not been accepted yet
}

// findSockets returns the sockets in a state that have an address in a column: 1 for the local, 2 for the remote address.
func findSockets(addr net.Addr, column int, state string) (all []socket) {
	text := procNetAddr(addr)
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
		all = append(all, socket{peer: w[2], queued: strings.Trim(queue, "0") != "", owned: w[9] != "0"})
	}
	return all
}

// procNetAddr formats an IPv4 address like /proc/net/tcp.
func procNetAddr(addr net.Addr) string {
	at := addr.(*net.TCPAddr)
	ip := at.IP.To4()
	if ip == nil {
		return ""
	}
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], at.Port)
}

// PendingConnects returns how many connects to the link's address are in progress.
func (l *Link) PendingConnects() int { return len(findSockets(l.tcp[0].ln.Addr(), 2, synSent)) }
