package procs

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/lab/audit"
)

// Entry is a node as a list has it.
type Entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Group   int     `json:"group"`
	Status  string  `json:"status"` // active, leaving, left
	Weight  float64 `json:"weight"`
	SinceMS float64 `json:"since_ms"`
}

// ListFault is what a list's service does instead of speaking.
type ListFault int

// The faults.
const (
	ListWell   ListFault = iota
	ListSilent           // watches stand and come up, and nothing is said
	ListMute             // watches that stand say nothing ever again; those asked for anew do
	ListReset            // watches are reset, and so is each new one
	ListDown             // nobody listens
)

// List is one scheduler's list service. Each scheduler has one of its own, as its nodes' addresses are
// those of its own links.
type List interface {
	Addr() string
	Put(entries ...Entry) error // changes, told to all watches in one line
	Set(ListFault) error
	Asked() int // watches that were asked for, answered or not
	Close()
}

const (
	beatEvery = 2 * time.Second
	writeMost = 2 * time.Second
)

// list is the protocol's push: a chunked answer with one JSON object a line.
type list struct {
	told    func([]Entry)
	addr    string
	mu      sync.Mutex
	ln      net.Listener
	fault   ListFault
	index   int64
	entries map[string]Entry
	order   []string
	changes map[int64][]Entry
	watches map[net.Conn]bool
	moved   chan struct{} // closed with each change of fault or list
	asked   int
	muted   int // how often the watches that stood were muted
	closed  bool
	wg      sync.WaitGroup
}

func newList(told func([]Entry)) (*list, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &list{told: told, addr: ln.Addr().String(), entries: map[string]Entry{}, changes: map[int64][]Entry{}, watches: map[net.Conn]bool{},
		moved: make(chan struct{})}
	l.listen(ln)
	return l, nil
}

func (l *list) listen(ln net.Listener) {
	l.ln = ln
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			l.mu.Lock()
			l.asked++
			bad := l.closed || l.fault == ListReset || l.fault == ListDown
			if !bad {
				l.watches[nc] = true
				l.wg.Add(1)
			}
			l.mu.Unlock()
			if bad {
				breakConn(nc)
				continue
			}
			go func() {
				defer l.wg.Done()
				l.watch(nc)
				nc.Close()
				l.mu.Lock()
				delete(l.watches, nc)
				l.mu.Unlock()
			}()
		}
	}()
}

func breakConn(nc net.Conn) {
	if t, ok := nc.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	nc.Close()
}

// Addr implements List.
func (l *list) Addr() string { return l.addr }

// Asked implements List.
func (l *list) Asked() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.asked
}

// Put implements List.
func (l *list) Put(entries ...Entry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	for _, e := range entries {
		if _, known := l.entries[e.Name]; !known {
			l.order = append(l.order, e.Name)
		}
		l.entries[e.Name] = e
	}
	l.changes[l.index] = entries
	l.wake()
	return nil
}

func (l *list) wake() {
	close(l.moved)
	l.moved = make(chan struct{})
}

// Set implements List.
func (l *list) Set(f ListFault) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	was := l.fault
	l.fault = f
	if f == ListMute {
		l.muted++
	}
	if f == ListReset || f == ListDown {
		for nc := range l.watches {
			breakConn(nc)
		}
	}
	if f == ListDown && was != ListDown {
		l.ln.Close()
	}
	if f != ListDown && was == ListDown && !l.closed {
		ln, err := net.Listen("tcp", l.addr)
		if err != nil {
			return err
		}
		l.listen(ln)
	}
	l.wake()
	return nil
}

// Close implements List.
func (l *list) Close() {
	l.mu.Lock()
	l.closed = true
	l.ln.Close()
	for nc := range l.watches {
		nc.Close()
	}
	l.wake()
	l.mu.Unlock()
	l.wg.Wait()
}

// watch serves one watch from the version asked for.
func (l *list) watch(nc net.Conn) {
	var q fasthttp.Request
	if q.Read(bufio.NewReader(nc)) != nil {
		return
	}
	after := int64(q.URI().QueryArgs().GetUintOrZero("after"))
	head := false
	l.mu.Lock()
	muted := l.muted
	l.mu.Unlock()
	for first := true; ; {
		l.mu.Lock()
		f, moved, closed, mute := l.fault, l.moved, l.closed, muted != l.muted
		var lines [][]Entry
		full, index := first, l.index
		if full { // the whole list first, as of now
			var all []Entry
			for _, name := range l.order {
				if e := l.entries[name]; e.Status != "left" {
					all = append(all, e)
				}
			}
			lines = [][]Entry{all}
		} else {
			for i := after + 1; i <= index; i++ {
				lines = append(lines, l.changes[i])
			}
		}
		l.mu.Unlock()
		if closed || f == ListReset || f == ListDown {
			return
		}
		if f != ListSilent && !mute {
			if err := nc.SetWriteDeadline(time.Now().Add(writeMost)); err != nil {
				return
			}
			if !head {
				head = true
				if _, err := fmt.Fprint(nc, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
					return
				}
			}
			for i, entries := range lines {
				at := after + 1 + int64(i)
				if full {
					at = index
				}
				text, err := json.Marshal(map[string]any{"index": at, "snapshot": full, "endpoints": append([]Entry{}, entries...)})
				if err != nil || !chunk(nc, string(text)) {
					return
				}
				l.told(l.what(entries, full))
			}
			if len(lines) == 0 && !chunk(nc, "") {
				return
			}
			first, after = false, index
		}
		t := time.NewTimer(beatEvery)
		select {
		case <-moved:
		case <-t.C:
		}
		t.Stop()
	}
}

// what a line says; a full list also says of those that it leaves out that they have left.
func (l *list) what(entries []Entry, full bool) []Entry {
	if !full {
		return entries
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range l.order {
		if e := l.entries[name]; e.Status == "left" {
			entries = append(entries, e)
		}
	}
	return entries
}

func chunk(nc net.Conn, line string) bool {
	_, err := fmt.Fprintf(nc, "%x\r\n%s\n\r\n", len(line)+1, line)
	return err == nil
}

var words = map[string]audit.Word{"active": audit.Active, "leaving": audit.Draining, "left": audit.Gone}
