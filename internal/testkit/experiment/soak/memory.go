package soak

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// memorySampleInterval is the time between two readings of a process's memory.
const memorySampleInterval = 5 * time.Millisecond

// Memory is the resident memory of a process, in bytes.
type Memory struct {
	Resident  int64
	Anonymous int64 // the resident memory without the pages of files
}

// readMemory returns the memory of a process; zero if it has ended.
func readMemory(pid int) (m Memory) {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return m
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		key, value, _ := strings.Cut(lines.Text(), ":")
		kilobytes, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
		switch key {
		case "VmRSS":
			m.Resident = kilobytes << 10
		case "RssAnon":
			m.Anonymous = kilobytes << 10
		}
	}
	return m
}

// memoryPeak records the highest memory of a deployment's processes, over restarts.
type memoryPeak struct {
	mu   sync.Mutex // guards peak
	peak Memory
	stop chan struct{}
	done sync.WaitGroup
}

// watchMemory begins to record.
func (d *Deployment) watchMemory() *memoryPeak {
	p := &memoryPeak{stop: make(chan struct{})}
	p.done.Go(func() {
		for {
			p.record(readMemory(d.process().PID()))
			select {
			case <-p.stop:
				return
			case <-time.After(memorySampleInterval):
			}
		}
	})
	return p
}

func (p *memoryPeak) record(m Memory) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peak.Resident, p.peak.Anonymous = max(p.peak.Resident, m.Resident), max(p.peak.Anonymous, m.Anonymous)
}

// end ends the record and returns the peak.
func (p *memoryPeak) end() Memory {
	close(p.stop)
	p.done.Wait()
	return p.peak
}
