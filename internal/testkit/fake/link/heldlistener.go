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
	maxFillers     = 16              // connects that setHeld makes to fill the accept queue before it gives up
	fillTimeout    = 2 * time.Second // of one of these connects
)

// heldListener is a listening socket that can be held. While it is held, its accept queue is full, so that connects neither
// succeed nor fail. The connections that setHeld dials fill the queue.
type heldListener struct {
	ln          *net.TCPListener
	mu          sync.Mutex
	held        bool
	heldBack    atomic.Int32  // connections that accept has taken off the queue and holds back
	released    chan struct{} // closed while the listener is not held
	fillers     []net.Conn
	fillerAddrs map[string]bool // local addresses of the connections that fill the queue
	staleAddrs  map[string]bool // remote addresses of the connections that were in the queue at the release, in the format of /proc/net/tcp
}

func newHeldListener(at string) (*heldListener, error) {
	ln, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	h := &heldListener{ln: ln.(*net.TCPListener), released: make(chan struct{}), fillerAddrs: map[string]bool{}, staleAddrs: map[string]bool{}}
	close(h.released)
	return h, nil
}

func (h *heldListener) addr() string { return h.ln.Addr().String() }

func (h *heldListener) setBacklog(n int) (err error) {
	raw, err := h.ln.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), n) }); err != nil {
		return err
	}
	return listenErr
}

// setHeld fills the accept queue, or releases it. It returns EBUSY if the queue is not full after maxFillers connects.
func (h *heldListener) setHeld(on bool) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if on == h.held {
		return nil
	}
	h.held = on
	if !on {
		for _, nc := range h.fillers {
			nc.Close()
		}
		h.fillers = nil
		// A party's connection that was established before the queue was full is reset after the release: its dialer
		// has considered it open all the time, while a held connect must not succeed before the release.
		for _, state := range []string{established, closeWait} {
			for _, s := range findSockets(h.ln.Addr(), 1, state) {
				if !s.owned {
					h.staleAddrs[s.peer] = true
				}
			}
		}
		close(h.released)
		return h.setBacklog(defaultBacklog)
	}
	h.released = make(chan struct{})
	if err := h.setBacklog(0); err != nil {
		return err
	}
	for range maxFillers { // until accept holds back one connection and one is in the queue
		if sockets := findSockets(h.ln.Addr(), 1, listening); h.heldBack.Load() > 0 && len(sockets) == 1 && sockets[0].queued {
			return nil
		}
		nc, err := net.DialTimeout("tcp", h.addr(), fillTimeout)
		if err != nil {
			continue
		}
		h.fillers = append(h.fillers, nc)
		h.fillerAddrs[nc.LocalAddr().String()] = true
		for end := time.Now().Add(fillTimeout); h.heldBack.Load() == 0 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	}
	return syscall.EBUSY
}

// accept returns the next connection once the listener is not held. It resets the connections that filled the queue and
// those that were established while the listener was held.
func (h *heldListener) accept(done <-chan struct{}) (net.Conn, error) {
	for {
		nc, err := h.ln.Accept()
		if err != nil {
			return nil, err
		}
		h.heldBack.Add(1)
		h.mu.Lock()
		released, filler := h.released, h.fillerAddrs[nc.RemoteAddr().String()] // a connection that fills the queue is kept until the release
		held, peer := h.held, procNetAddr(nc.RemoteAddr())
		stale := h.staleAddrs[peer] || held
		delete(h.fillerAddrs, nc.RemoteAddr().String())
		delete(h.staleAddrs, peer)
		h.mu.Unlock()
		select {
		case <-released:
			h.heldBack.Add(-1)
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

func (h *heldListener) close() {
	h.ln.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, nc := range h.fillers {
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
	owned  bool // the socket has an inode; a connection that has not been accepted yet has none
}

// findSockets returns the sockets in a state that have an address in a column: 1 for the local, 2 for the remote address.
func findSockets(addr net.Addr, column int, state string) (all []socket) {
	hexAddr := procNetAddr(addr)
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return nil
	}
	defer func() { _ = f.Close() }()
	for sc := bufio.NewScanner(f); sc.Scan(); {
		fields := strings.Fields(sc.Text())
		if len(fields) < 10 || fields[column] != hexAddr || fields[3] != state {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		all = append(all, socket{peer: fields[2], queued: strings.Trim(queue, "0") != "", owned: fields[9] != "0"})
	}
	return all
}

// procNetAddr formats an IPv4 address like /proc/net/tcp. It returns "" for an IPv6 address.
func procNetAddr(addr net.Addr) string {
	tcpAddr := addr.(*net.TCPAddr)
	ip := tcpAddr.IP.To4()
	if ip == nil {
		return ""
	}
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], tcpAddr.Port)
}

// PendingConnects returns how many connects to the link's address are in progress.
func (l *Link) PendingConnects() int { return len(findSockets(l.tcp[0].ln.Addr(), 2, synSent)) }
