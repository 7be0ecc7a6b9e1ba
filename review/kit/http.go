package kit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Node is a storage node with a number of cores. It answers a request after its work with a body that names the request's id.
type Node struct {
	Name    string
	Address string
	Shard   int
	Work    time.Duration
	// SpoilEvery: every so many answers of the node are sent a second time, SpoilAfter later. 0: none.
	SpoilEvery int64
	SpoilAfter time.Duration
	run        *Run
	cores      chan struct{}
	answers    atomic.Int64
	mu         sync.Mutex
	runs       map[string]int
	Spoilt     atomic.Int64
}

// StartNode starts a storage node.
func (r *Run) StartNode(n *Node, cores int) *Node {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.Fatal("%v", err)
	}
	n.run, n.Address, n.cores, n.runs = r, ln.Addr().String(), make(chan struct{}, cores), map[string]int{}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go n.serve(nc)
		}
	}()
	return n
}

// Endpoint returns the node's entry of the list.
func (n *Node) Endpoint() Endpoint {
	return Endpoint{Name: n.Name, Address: n.Address, Zone: "zone-1", Type: "kind-1", Group: n.Shard, Status: "active", Weight: 1}
}

// Runs returns how often the node ran a request.
func (n *Node) Runs(id string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.runs[id]
}

func (n *Node) serve(nc net.Conn) {
	defer nc.Close()
	var writing sync.Mutex // whole answers are written one after the other
	br := bufio.NewReader(nc)
	for {
		q, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		id := q.Header.Get("X-Request-Id")
		n.cores <- struct{}{}
		time.Sleep(n.Work)
		<-n.cores
		n.mu.Lock()
		n.runs[id]++
		n.mu.Unlock()
		body := fmt.Sprintf("data of request %s by %s", id, n.Name)
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		writing.Lock()
		_, err = io.WriteString(nc, answer)
		writing.Unlock()
		n.run.Log("node %s ran and answered %s on %s", n.Name, id, nc.RemoteAddr())
		if err != nil {
			return
		}
		if number := n.answers.Add(1); n.SpoilEvery > 0 && number%n.SpoilEvery == 0 {
			time.AfterFunc(n.SpoilAfter, func() {
				writing.Lock()
				_, err := io.WriteString(nc, answer)
				writing.Unlock()
				n.Spoilt.Add(1)
				n.run.Log("node %s sent the answer to %s a second time on %s (error %v)", n.Name, id, nc.RemoteAddr(), err)
			})
		}
	}
}

// Client is a client's connection to a scheduler. It opens a new one when the scheduler has closed the last.
type Client struct {
	Address string
	nc      net.Conn
	br      *bufio.Reader
}

// Answer is what a client got.
type Answer struct {
	Status int
	Body   string
	Err    error
}

// Do sends a request and waits for its answer, for the deadline and 500 ms more. more are further header lines.
func (c *Client) Do(method, class, id string, shard, deadlineMs int, body, more string) Answer {
	return c.DoBody(method, class, id, shard, deadlineMs, len(body), more, func(nc net.Conn) error {
		_, err := io.WriteString(nc, body)
		return err
	})
}

// DoBody is Do with a body of a given size that write sends.
func (c *Client) DoBody(method, class, id string, shard, deadlineMs, size int, more string, write func(net.Conn) error) Answer {
	if c.nc == nil {
		nc, err := net.Dial("tcp", c.Address)
		if err != nil {
			return Answer{Err: err}
		}
		c.nc, c.br = nc, bufio.NewReader(nc)
	}
	length := ""
	if method == "PUT" {
		length = fmt.Sprintf("Content-Length: %d\r\n", size)
	}
	_ = c.nc.SetDeadline(time.Now().Add(30 * time.Second))
	_, err := fmt.Fprintf(c.nc, "%s /%s/x HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: %s\r\nTier: plan-1\r\nCookie: extent=%016x\r\nX-Deadline-Ms: %d\r\n%s%s"+
		"IO-Info: volume=00000003b4d60021,units=1,shard=%d,hosts=1\r\n\r\n", method, class, id, shard, deadlineMs, length, more, shard)
	if err == nil && size > 0 {
		err = write(c.nc)
	}
	if err != nil {
		c.Close()
		return Answer{Err: err}
	}
	_ = c.nc.SetDeadline(time.Now().Add(time.Duration(deadlineMs+500) * time.Millisecond))
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		c.Close()
		return Answer{Err: err}
	}
	b, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil || resp.Close {
		c.Close()
	}
	return Answer{Status: resp.StatusCode, Body: string(b), Err: err}
}

// Close closes the client's connection.
func (c *Client) Close() {
	if c.nc != nil {
		c.nc.Close()
		c.nc = nil
	}
}

// Open reports whether the client has a connection.
func (c *Client) Open() bool { return c.nc != nil }
