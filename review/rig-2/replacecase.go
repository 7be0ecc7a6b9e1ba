package main

import (
	"fmt"
	"net"
	"syscall"
	"time"
)

// playReplace replaces the process of a scheduler with 192 MB as the platform does, with a passed clients' socket, while clients write
// bodies of 32 MB. The memory limit holds for both processes together. Without the disruption the process is not replaced.
func playReplace(r *rig) (broken bool, err error) {
	const memoryMB, clients = 192, 40
	n := &node{readPiece: 64 << 10, readEvery: 30 * time.Millisecond, work: 35 * time.Millisecond}
	e, err := r.startNode(n)
	if err != nil {
		return false, err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	defer ln.Close()
	passed, err := ln.(*net.TCPListener).File()
	if err != nil {
		return false, err
	}
	defer func() { _ = passed.Close() }()
	listen := ln.Addr().String()
	discovery, err := r.startDiscovery([]entry{e})
	if err != nil {
		return false, err
	}
	start := func(file string) (*process, error) {
		operator, err := freeAddress()
		if err != nil {
			return nil, err
		}
		return r.startDaemon(config{name: "n1", file: file, listen: listen, discovery: discovery, operator: operator, known: []entry{e},
			settings: settings("cell"), memoryMB: memoryMB, passed: passed})
	}
	old, err := start("old")
	if err != nil {
		return false, err
	}
	load := r.startBodies(listen, clients)
	defer load.end()
	peak := 0
	// watch samples the memory for a time. It reports whether the processes together were over the limit.
	watch := func(span time.Duration, all ...*process) (over bool) {
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			sum, detail := 0, ""
			for _, p := range all {
				kb, err := residentKB(p.cmd.Process.Pid)
				if err != nil || !p.alive() {
					continue // it has ended, as the old process may
				}
				sum += kb
				detail += fmt.Sprintf(" %d", kb)
			}
			peak = max(peak, sum)
			if sum > memoryMB<<10 && !over {
				over = true
				r.record.printf("platform: the scheduler's processes hold%s kB, together %d kB, over the limit of %d kB (%d bodies answered)",
					detail, sum, memoryMB<<10, load.answered.Load())
			}
		}
		return over
	}
	if watch(8*time.Second, old) {
		return false, fmt.Errorf("one process alone is over the limit")
	}
	r.record.printf("so far the scheduler has held at most %d kB of %d kB", peak, memoryMB<<10)
	if !r.trouble {
		broken = watch(12*time.Second, old)
		r.record.printf("the scheduler has held at most %d kB of %d kB (%d bodies answered)", peak, memoryMB<<10, load.answered.Load())
		return broken, nil
	}
	next, err := start("next")
	if err != nil {
		return false, err
	}
	r.record.printf("platform: SIGTERM to the old process")
	if err := old.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return false, err
	}
	broken = watch(3700*time.Millisecond, old, next)
	if old.alive() {
		r.record.printf("platform: SIGKILL to the old process")
		_ = old.cmd.Process.Kill()
	}
	broken = watch(5*time.Second, next) || broken
	r.record.printf("the scheduler has held at most %d kB of %d kB (%d bodies answered)", peak, memoryMB<<10, load.answered.Load())
	return broken, nil
}
