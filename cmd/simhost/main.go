// Command simhost runs many instances of the decision module for the simulator: it reads batches of
// events on standard input and writes the actions on standard output. Warnings go to standard
// error. A malformed line ends it with exit code 1; an instance that fails is reported as broken.
package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"

	"wheatsaddle/internal/simwire"
	"wheatsaddle/policy"
)

const readBufferBytes = 64 << 10 // longer lines are read as well

func main() {
	if err := newServer(os.Stderr).serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// server holds the running instances, the numbered node lists and the current batch.
type server struct {
	running  map[string]*policy.Scheduler
	lists    map[int][]policy.Node
	warnings io.Writer
	batch    batch
}

// batch collects the events of each instance until the simulator hands over.
type batch struct {
	clock float64         // ms
	jobs  []*job          // in the order in which their instances were first named
	open  map[string]*job // of jobs, by instance
	reply []byte
}

// job is one instance's events of a batch. An instance that is killed and started again within one
// batch has two jobs.
type job struct {
	instance  string
	scheduler *policy.Scheduler // nil: it was killed within this batch
	events    []policy.Event
}

func newServer(warnings io.Writer) *server {
	return &server{
		running:  map[string]*policy.Scheduler{},
		lists:    map[int][]policy.Node{},
		warnings: warnings,
		batch:    batch{open: map[string]*job{}},
	}
}

// serve answers batches until the input ends. A malformed line is an error.
func (s *server) serve(in io.Reader, out io.Writer) error {
	reader := bufio.NewReaderSize(in, readBufferBytes)
	for {
		text, readErr := reader.ReadBytes('\n')
		if text = bytes.TrimSpace(text); len(text) > 0 {
			if err := s.handleLine(text, out); err != nil {
				return err
			}
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}

// handleLine applies one line to the batch. The last line of a batch has it answered.
func (s *server) handleLine(text []byte, out io.Writer) error {
	line, err := simwire.Decode(text)
	if err != nil {
		return err
	}
	switch line.Kind {
	case simwire.UnknownLine:
	case simwire.BatchStart:
		s.batch.clock = line.Clock
	case simwire.NodeList:
		s.lists[line.ListID] = line.Nodes
	case simwire.InstanceStart:
		s.start(line)
	case simwire.InstanceKill:
		s.kill(line.Instance)
	case simwire.InstanceEvent:
		s.addEvent(line)
	case simwire.BatchEnd:
		return s.answer(out)
	}
	return nil
}

func (s *server) start(line simwire.Line) {
	scheduler, err := policy.New(line.Settings, line.Seed)
	if err != nil {
		s.batch.reply = simwire.EncodeBroken(s.batch.reply, line.Instance, err.Error())
		return
	}
	s.running[line.Instance] = scheduler
	s.batch.addJob(line.Instance, scheduler)
}

// kill ends an instance, and drops what it has not answered yet.
func (s *server) kill(instance string) {
	delete(s.running, instance)
	if j := s.batch.open[instance]; j != nil {
		j.scheduler = nil
		delete(s.batch.open, instance)
	}
}

// addEvent adds an event to its instance's job. If the instance does not run, the event is dropped
// with a warning.
func (s *server) addEvent(line simwire.Line) {
	j := s.batch.open[line.Instance]
	if j == nil {
		scheduler := s.running[line.Instance]
		if scheduler == nil {
			fmt.Fprintf(s.warnings, "simhost: %s for %q, which is not running: dropped\n", line.Word, line.Instance)
			return
		}
		j = s.batch.addJob(line.Instance, scheduler)
	}
	if line.HasList {
		line.Event.Nodes = s.lists[line.ListID]
	}
	j.events = append(j.events, line.Event)
}

// answer runs the batch's jobs, writes the reply and begins the next batch.
func (s *server) answer(out io.Writer) error {
	b := &s.batch
	for _, j := range b.jobs {
		b.reply = j.run(b.clock, b.reply)
	}
	b.reply = append(b.reply, simwire.End...)
	if _, err := out.Write(b.reply); err != nil {
		return err
	}
	b.jobs, b.reply = b.jobs[:0], b.reply[:0]
	clear(b.open)
	return nil
}

func (b *batch) addJob(instance string, scheduler *policy.Scheduler) *job {
	j := &job{instance: instance, scheduler: scheduler}
	b.open[instance] = j
	b.jobs = append(b.jobs, j)
	return j
}

// run steps the scheduler and appends its actions to the reply. If the scheduler panics, its instance
// is reported as broken instead.
func (j *job) run(clock float64, reply []byte) (res []byte) {
	if j.scheduler == nil {
		return reply
	}
	defer func() {
		if p := recover(); p != nil {
			res = simwire.EncodeBroken(reply, j.instance, fmt.Sprint(p))
		}
	}()
	res = reply
	for _, a := range j.scheduler.Step(clock, j.events, nil) {
		res = simwire.Encode(res, j.instance, a)
	}
	return res
}
