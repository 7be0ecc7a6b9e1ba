// Command simhost runs many schedulers for the simulator. It reads batches of events from standard input
// and writes the resulting actions to standard output. Warnings go to standard error. A malformed line
// ends the program with exit code 1. An instance that fails is reported to the simulator as broken.
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

const readBufferBytes = 64 << 10 // does not limit the length of a line

func main() {
	if err := newServer(os.Stderr).serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// server holds the running instances, the numbered node lists and the current batch.
type server struct {
	instances map[string]*policy.Scheduler
	lists     map[int][]policy.Node
	warnings  io.Writer
	batch     batch
}

// batch collects the events of each instance until the simulator ends the batch.
type batch struct {
	clock         float64         // ms
	jobs          []*job          // in order of creation
	jobByInstance map[string]*job // the jobs that still accept events
	reply         []byte
}

// job holds the events of one instance in a batch. An instance that is killed and started again within
// a batch has two jobs.
type job struct {
	instance  string
	scheduler *policy.Scheduler // nil: the instance was killed within this batch
	events    []policy.Event
}

func newServer(warnings io.Writer) *server {
	return &server{
		instances: map[string]*policy.Scheduler{},
		lists:     map[int][]policy.Node{},
		warnings:  warnings,
		batch:     batch{jobByInstance: map[string]*job{}},
	}
}

// serve answers batches until the end of the input. A malformed line is an error.
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

// handleLine applies one line to the batch. After the last line of a batch it writes the reply.
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
		return s.answerBatch(out)
	}
	return nil
}

func (s *server) start(line simwire.Line) {
	scheduler, err := policy.New(line.Settings, line.Seed)
	if err != nil {
		s.batch.reply = simwire.EncodeInstanceFailure(s.batch.reply, line.Instance, err.Error())
		return
	}
	s.instances[line.Instance] = scheduler
	s.batch.addJob(line.Instance, scheduler)
}

// kill ends an instance, and drops its events of this batch.
func (s *server) kill(instance string) {
	delete(s.instances, instance)
	if j := s.batch.jobByInstance[instance]; j != nil {
		j.scheduler = nil
		delete(s.batch.jobByInstance, instance)
	}
}

// addEvent adds an event to the job of its instance. If the instance is not running, it drops the event
// and writes a warning.
func (s *server) addEvent(line simwire.Line) {
	j := s.batch.jobByInstance[line.Instance]
	if j == nil {
		scheduler := s.instances[line.Instance]
		if scheduler == nil {
			fmt.Fprintf(s.warnings, "simhost: dropped %s for instance %q, which is not running\n", line.Word, line.Instance)
			return
		}
		j = s.batch.addJob(line.Instance, scheduler)
	}
	if line.HasList {
		line.Event.Nodes = s.lists[line.ListID]
	}
	j.events = append(j.events, line.Event)
}

// answerBatch runs the jobs of the batch, writes the reply and starts the next batch.
func (s *server) answerBatch(out io.Writer) error {
	b := &s.batch
	for _, j := range b.jobs {
		b.reply = j.run(b.clock, b.reply)
	}
	b.reply = append(b.reply, simwire.ReplyEnd...)
	if _, err := out.Write(b.reply); err != nil {
		return err
	}
	b.jobs, b.reply = b.jobs[:0], b.reply[:0]
	clear(b.jobByInstance)
	return nil
}

func (b *batch) addJob(instance string, scheduler *policy.Scheduler) *job {
	j := &job{instance: instance, scheduler: scheduler}
	b.jobByInstance[instance] = j
	b.jobs = append(b.jobs, j)
	return j
}

// run passes the events to the scheduler and appends its actions to the reply. If the scheduler panics,
// the reply reports the instance as broken instead.
func (j *job) run(clock float64, reply []byte) (result []byte) {
	if j.scheduler == nil {
		return reply
	}
	defer func() {
		if p := recover(); p != nil {
			result = simwire.EncodeInstanceFailure(reply, j.instance, fmt.Sprint(p))
		}
	}()
	result = reply
	for _, a := range j.scheduler.Step(clock, j.events, nil) {
		result = simwire.Encode(result, j.instance, a)
	}
	return result
}
