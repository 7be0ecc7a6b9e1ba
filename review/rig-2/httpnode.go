package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrived is one request as a storage node received it.
type arrived struct {
	id       string
	at       time.Time // of its last byte
	deadline int       // X-Deadline-Ms
}

// node is a storage node. It takes one connection's requests one by one, and all connections side by side.
type node struct {
	record *record
	work   time.Duration // of one request
	// A body is read in pieces of readPiece bytes, each readEvery; 0: at once.
	readPiece int64
	readEvery time.Duration
	// respond writes the answer to a request; nil: a short one that names the request.
	respond func(c net.Conn, id string) error

	ln   net.Listener
	mu   sync.Mutex
	runs []arrived
}

// startNode starts a storage node of shard 0.
func (r *rig) startNode(n *node) (entry, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return entry{}, err
	}
	n.record, n.ln = r.record, ln
	r.closers = append(r.closers, func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go n.serve(c)
		}
	}()
	return entry{Name: "s-0", Address: ln.Addr().String(), Zone: "a", Type: "m", Status: "active", Weight: 1}, nil
}

func (n *node) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		_, header, err := readHead(r)
		if err != nil {
			return
		}
		size, _ := strconv.Atoi(header.Get("Content-Length"))
		if err := n.readBody(r, int64(size)); err != nil {
			return
		}
		a := arrived{id: header.Get("X-Request-Id"), at: time.Now()}
		a.deadline, _ = strconv.Atoi(header.Get("X-Deadline-Ms"))
		n.mu.Lock()
		n.runs = append(n.runs, a)
		n.mu.Unlock()
		time.Sleep(n.work)
		if n.respond != nil {
			err = n.respond(c, a.id)
		} else {
			_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(a.id), a.id)
		}
		if err != nil {
			return
		}
	}
}

// readBody reads a body and drops it.
func (n *node) readBody(r io.Reader, size int64) error {
	for n.readPiece > 0 && size > n.readPiece {
		if _, err := io.CopyN(io.Discard, r, n.readPiece); err != nil {
			return err
		}
		size -= n.readPiece
		time.Sleep(n.readEvery)
	}
	_, err := io.CopyN(io.Discard, r, size)
	return err
}

// ran returns the requests that the node has run.
func (n *node) ran() []arrived {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]arrived{}, n.runs...)
}

// readHead reads the head of a message.
func readHead(r *bufio.Reader) (line string, header textproto.MIMEHeader, err error) {
	t := textproto.NewReader(r)
	if line, err = t.ReadLine(); err != nil {
		return line, nil, err
	}
	header, err = t.ReadMIMEHeader()
	return line, header, err
}

// get encodes a read of shard 0.
func get(class, id string, deadlineMS int) string {
	return fmt.Sprintf("GET /%s/object HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: %s\r\nTier: plan-1\r\nCookie: extent=7f3a9c21e0b4d655\r\n"+
		"X-Deadline-Ms: %d\r\nIO-Info: volume=00000003b4d60021,units=2,shard=0,hosts=1\r\n\r\n", class, id, deadlineMS)
}

// readBody reads a body by its length or in chunks, and returns its size. whole is false if it was cut.
func readBody(r *bufio.Reader, header textproto.MIMEHeader) (size int64, whole bool) {
	if !strings.EqualFold(header.Get("Transfer-Encoding"), "chunked") {
		length, err := strconv.ParseInt(header.Get("Content-Length"), 10, 64)
		if err != nil {
			return 0, false
		}
		size, err = io.CopyN(io.Discard, r, length)
		return size, err == nil
	}
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return size, false
		}
		length, err := strconv.ParseInt(strings.TrimSpace(line), 16, 64)
		if err != nil {
			return size, false
		}
		n, err := io.CopyN(io.Discard, r, length)
		size += n
		if err != nil {
			return size, false
		}
		if _, err := r.ReadString('\n'); err != nil {
			return size, false
		}
		if length == 0 {
			return size, true
		}
	}
}

// startOne starts a scheduler before one storage node, and returns the address for clients.
func (r *rig) startOne(n *node) (*process, string, error) {
	e, err1 := r.startNode(n)
	listen, err2 := freeAddress()
	discovery, err3 := r.startDiscovery([]entry{e})
	for _, err := range []error{err1, err2, err3} {
		if err != nil {
			return nil, "", err
		}
	}
	p, err := r.startDaemon(config{name: "n1", listen: listen, discovery: discovery, known: []entry{e}, settings: settings("cell")})
	return p, listen, err
}
