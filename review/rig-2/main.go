// Command rig-2 plays the cases of the second review. It starts the daemon as a separate process, with stand-ins for clients, storage
// and discovery on loopback addresses.
//
//	rig-2 CASE FOLDER
//
// It writes FOLDER/record.txt and exits with 1 if the case's rule was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 in the environment it plays the case without its disruption.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// cases are the cases by name. Each reports whether its rule was broken.
var cases = map[string]func(*rig) (broken bool, err error){
	"busy":     playBusy,
	"flush":    playFlush,
	"pipeline": playPipeline,
	"restart":  playRestart,
	"limits":   playLimits,
	"replace":  playReplace,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit code.
func play(name, folder string) int {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	r := &rig{record: &record{file: file, start: time.Now()}, trouble: os.Getenv("TROUBLE") != "0"}
	if r.dir, err = os.MkdirTemp("", "rig-2-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	r.record.printf("case %s, disruption %v", name, r.trouble)
	broken, err := cases[name](r)
	r.stop()
	code := 0
	switch {
	case err != nil:
		r.record.printf("result: could not run: %v", err)
		code = 2
	case broken:
		r.record.printf("result: the rule was broken")
		code = 1
	default:
		r.record.printf("result: the rule held")
	}
	if err := file.Close(); err != nil {
		return 2
	}
	return code
}

// record is the record of a case, with the time since its start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%7.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	fmt.Print(line)
	_, _ = r.file.WriteString(line) // an error shows at its close
}

// rig is what one case runs on.
type rig struct {
	record  *record
	dir     string
	trouble bool
	procs   []*process
	closers []func()
}

// writeJSON writes a file into the rig's folder and returns its path.
func (r *rig) writeJSON(name string, content any) (string, error) {
	text, err := json.Marshal(content)
	if err != nil {
		return "", err
	}
	path := filepath.Join(r.dir, name)
	return path, os.WriteFile(path, text, 0o600)
}

// waitFor calls try until it succeeds, for a time at most.
func waitFor(limit time.Duration, try func() error) error {
	end := time.Now().Add(limit)
	for {
		err := try()
		if err == nil || time.Now().After(end) {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// stop ends all that the case started. A scheduler that has ended by itself shows in the record.
func (r *rig) stop() {
	for _, p := range r.procs {
		if !p.alive() {
			r.record.printf("scheduler %s had ended by itself: %v", p.name, p.cmd.ProcessState)
		}
		p.end()
	}
	for _, f := range r.closers {
		f()
	}
	for _, p := range r.procs {
		r.record.printf("log of %s:\n%s", p.name, p.log())
	}
	_ = os.RemoveAll(r.dir)
}

// startDiscovery starts a stand-in for the discovery agent, which serves one list that does not change.
func (r *rig) startDiscovery(entries []entry) (string, error) {
	address, err := freeAddress()
	if err != nil {
		return "", err
	}
	list, err := json.Marshal(map[string]any{"index": 2, "snapshot": true, "endpoints": append([]entry{}, entries...)})
	if err != nil {
		return "", err
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	r.closers = append(r.closers, func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serveList(c, string(list)+"\n")
		}
	}()
	return address, nil
}

// serveList answers one call for the list. A watch gets an empty line every 2 s.
func serveList(c net.Conn, list string) {
	defer c.Close()
	b := make([]byte, 4096)
	n, err := c.Read(b)
	if err != nil {
		return
	}
	if !strings.Contains(string(b[:n]), "watch=1") {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(list), list)
		return
	}
	chunk := func(text string) error {
		_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
		return err
	}
	fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	for err = chunk(list); err == nil; err = chunk("\n") {
		time.Sleep(2 * time.Second)
	}
}
