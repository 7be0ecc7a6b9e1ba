package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// playLimits has a scheduler with 96 MB read its configuration again by SIGHUP while clients write bodies of 32 MB. With the disruption
// the file is broken: it lacks the key limits. Over its memory limit the scheduler is killed, which is a crash.
func playLimits(r *rig) (broken bool, err error) {
	const memoryMB, clients = 96, 40
	n := &node{readPiece: 64 << 10, readEvery: 30 * time.Millisecond, work: 35 * time.Millisecond}
	e, err := r.startNode(n)
	if err != nil {
		return false, err
	}
	listen, err1 := freeAddress()
	discovery, err2 := r.startDiscovery([]entry{e})
	for _, err := range []error{err1, err2} {
		if err != nil {
			return false, err
		}
	}
	p, err := r.startDaemon(config{name: "n1", listen: listen, discovery: discovery, known: []entry{e}, settings: settings("cell"), memoryMB: memoryMB})
	if err != nil {
		return false, err
	}
	load := r.startBodies(listen, clients)
	defer load.end()
	peak, reloaded := 0, false
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		kb, err := residentKB(p.cmd.Process.Pid)
		if err != nil {
			return false, err
		}
		peak = max(peak, kb)
		if kb > memoryMB<<10 {
			r.record.printf("platform: the scheduler holds %d kB, over its limit of %d kB, and is killed (%d bodies answered)", kb, memoryMB<<10, load.answered.Load())
			_ = p.cmd.Process.Signal(syscall.SIGKILL)
			return true, nil
		}
		if !reloaded && time.Until(end) < 17*time.Second {
			reloaded = true
			r.record.printf("so far the scheduler has held at most %d kB of %d kB", peak, memoryMB<<10)
			if err := r.reload(p, r.trouble); err != nil {
				return false, err
			}
		}
	}
	r.record.printf("the scheduler has held at most %d kB of %d kB (%d bodies answered)", peak, memoryMB<<10, load.answered.Load())
	return false, nil
}

// bodies are clients that write long bodies.
type bodies struct {
	next, answered atomic.Int64
	stop           chan struct{}
}

// startBodies starts clients that write bodies of nearly the longest size, 32 MB, again and again.
func (r *rig) startBodies(address string, clients int) *bodies {
	const size = 30 << 20 // 31.5 MB
	b := &bodies{stop: make(chan struct{})}
	for range clients {
		go func() {
			for {
				select {
				case <-b.stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				if put(address, b.next.Add(1), size) == nil {
					b.answered.Add(1)
				}
			}
		}()
	}
	r.record.printf("clients: %d write bodies of %d MiB, again and again", clients, size>>20)
	return b
}

func (b *bodies) end() { close(b.stop) }

// reload replaces the configuration file and sends SIGHUP. A broken file lacks the key limits.
func (r *rig) reload(p *process, broken bool) error {
	path := filepath.Join(r.dir, p.name+".json")
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var content map[string]any
	if err := json.Unmarshal(text, &content); err != nil {
		return err
	}
	what := "the same file again"
	if broken {
		delete(content, "limits")
		what = "a file without the key limits"
	}
	changed, err := r.writeJSON("next.json", content)
	if err != nil {
		return err
	}
	if err := os.Rename(changed, path); err != nil {
		return err
	}
	r.record.printf("platform: SIGHUP with %s", what)
	return p.cmd.Process.Signal(syscall.SIGHUP)
}

// put writes one body and waits for its answer.
func put(address string, number int64, size int) error {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(30 * time.Second))
	_, err = fmt.Fprintf(c, "PUT /record/object HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: %016x\r\nIdempotency-Key: k-%d\r\nTier: plan-1\r\n"+
		"Cookie: extent=%016x\r\nX-Deadline-Ms: 1500\r\nContent-Length: %d\r\nIO-Info: volume=00000003b4d60021,units=6,shard=0,hosts=1\r\n\r\n",
		number, number, number, size)
	if err != nil {
		return err
	}
	piece := make([]byte, 64<<10)
	for sent := 0; sent < size; sent += len(piece) {
		if _, err := c.Write(piece); err != nil {
			return err
		}
	}
	_, _, err = readHead(bufio.NewReader(c))
	return err
}

// residentKB returns the resident memory of a process without the pages of its files.
func residentKB(pid int) (int, error) {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	defer func() { _ = f.Close() }()
	text, err := io.ReadAll(f)
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			return strconv.Atoi(strings.Fields(rest)[0])
		}
	}
	return 0, fmt.Errorf("process %d has ended", pid)
}
