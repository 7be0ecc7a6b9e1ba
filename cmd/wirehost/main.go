// Command wirehost runs many instances of the decision module on the
// simulator's wire: batches on standard input, replies on standard output.
package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"

	"wheatsaddle/choice"
	"wheatsaddle/internal/wire"
)

// host holds the running instances and the numbered lists.
type host struct {
	running map[string]*choice.Scheduler
	lists   map[int][]choice.Node
	warn    io.Writer
}

// job is one instance's part of a batch: a start with what follows it.
type job struct {
	inst   string
	mod    *choice.Scheduler
	events []choice.Event
}

func main() {
	h := &host{running: map[string]*choice.Scheduler{}, lists: map[int][]choice.Node{}, warn: os.Stderr}
	if err := h.serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}

// serve answers batches until the input ends; a malformed line is an error.
func (h *host) serve(in io.Reader, out io.Writer) error {
	rd := bufio.NewReaderSize(in, 1<<16)
	var clock float64
	var jobs []*job
	var reply []byte
	open := map[string]*job{}
	for {
		text, err := rd.ReadBytes('\n')
		if text = bytes.TrimSpace(text); len(text) > 0 {
			ln, derr := wire.Decode(text)
			if derr != nil {
				return derr
			}
			switch {
			case !ln.Known:
			case ln.Word == "ROUND":
				clock = ln.Clock
			case ln.Word == "LEDGER":
				h.lists[ln.ListID] = ln.Nodes
			case ln.Word == "UP":
				mod, nerr := choice.New(ln.Settings, ln.Seed)
				if nerr != nil {
					reply = wire.Broken(reply, ln.Instance, nerr.Error())
					break
				}
				h.running[ln.Instance] = mod
				open[ln.Instance] = &job{inst: ln.Instance, mod: mod}
				jobs = append(jobs, open[ln.Instance])
			case ln.Word == "CRASH_NOW":
				delete(h.running, ln.Instance)
				if j := open[ln.Instance]; j != nil {
					j.mod = nil
					delete(open, ln.Instance)
				}
			case ln.Word == "OVER_TO_YOU":
				for _, j := range jobs {
					reply = j.run(clock, reply)
				}
				reply = append(reply, wire.End...)
				if _, werr := out.Write(reply); werr != nil {
					return werr
				}
				jobs, reply = jobs[:0], reply[:0]
				clear(open)
			default:
				j := open[ln.Instance]
				if j == nil {
					mod := h.running[ln.Instance]
					if mod == nil {
						fmt.Fprintf(h.warn, "wirehost: %s for %q, which is not running: dropped\n", ln.Word, ln.Instance)
						break
					}
					j = &job{inst: ln.Instance, mod: mod}
					open[ln.Instance] = j
					jobs = append(jobs, j)
				}
				if ln.HasList {
					ln.Event.Nodes = h.lists[ln.ListID]
				}
				j.events = append(j.events, ln.Event)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// run steps the module; a panic in it becomes BROKEN.
func (j *job) run(clock float64, reply []byte) (res []byte) {
	if j.mod == nil {
		return reply
	}
	defer func() {
		if p := recover(); p != nil {
			res = wire.Broken(reply, j.inst, fmt.Sprint(p))
		}
	}()
	res = reply
	for _, a := range j.mod.Step(clock, j.events, nil) {
		res = wire.Encode(res, j.inst, a)
	}
	return res
}
