package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// The limits of the rule on final answers: half a second after the request's time, and 50 ms of the rules on sockets.
const answerSlack = 550 * time.Millisecond

// playPipeline has a client send many requests at once on one connection, each with 1.5 s. Without the disruption it sends them one at
// a time. Each has to be answered by its time and half a second.
func playPipeline(r *rig) (broken bool, err error) {
	const requests, deadline = 100, 1500
	n := &node{work: 35 * time.Millisecond}
	_, address, err := r.startOne(n)
	if err != nil {
		return false, err
	}
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(60 * time.Second))
	id := func(i int) string { return fmt.Sprintf("%016x", 0x1b1f03aa5c7e0000+int64(i)) }
	var sentAt [requests]time.Time
	send := func(from, to int) error {
		var all strings.Builder
		for i := from; i < to; i++ {
			all.WriteString(get("read", id(i), deadline))
			sentAt[i] = time.Now()
		}
		_, err := c.Write([]byte(all.String()))
		return err
	}
	if r.trouble {
		if err := send(0, requests); err != nil {
			return false, err
		}
		r.record.printf("client: %d requests sent at once", requests)
	}
	lost, reader := 0, bufio.NewReader(c)
	for i := range requests {
		if !r.trouble {
			if err := send(i, i+1); err != nil {
				return false, err
			}
		}
		line, header, err := readHead(reader)
		if err != nil {
			r.record.printf("client: request %s and those after it have no answer: %v", id(i), err)
			return true, nil
		}
		if _, whole := readBody(reader, header); !whole {
			return false, fmt.Errorf("answer to %s: cut", id(i))
		}
		took := time.Since(sentAt[i])
		verdict := ""
		if took > deadline*time.Millisecond+answerSlack {
			lost++
			verdict = ", lost"
		}
		r.record.printf("client: request %s answered with %q after %d ms%s", id(i), line, took.Milliseconds(), verdict)
	}
	late := 0
	for _, a := range n.ran() {
		for i := range requests {
			if left := deadline - int(a.at.Sub(sentAt[i]).Milliseconds()); a.id == id(i) && a.deadline > max(left, 0)+200 {
				late++
				r.record.printf("storage node: request %s arrived with X-Deadline-Ms %d, and %d ms were left to its client", a.id, a.deadline, left)
			}
		}
	}
	r.record.printf("%d of %d requests answered more than 0.55 s after their time; %d attempts told a time that was over 0.2 s too long", lost, requests, late)
	return lost > 0, nil
}

// playRestart has a client read a long answer, which the storage node gives steadily, and sends SIGTERM meanwhile; SIGKILL comes 20 s
// after it. The answer may not be cut off by a scheduler that ends before SIGKILL.
func playRestart(r *rig) (broken bool, err error) {
	const size, piece, pieceEvery = 8 << 20, 64 << 10, 62500 * time.Microsecond // 1 MiB a second
	var given atomic.Int64
	n := &node{work: 30 * time.Millisecond, respond: func(c net.Conn, id string) error {
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size); err != nil {
			return err
		}
		for sent := 0; sent < size; sent += piece {
			if _, err := c.Write(make([]byte, piece)); err != nil {
				r.record.printf("storage node: the answer to %s was cut off after %d of %d bytes: %v", id, sent, size, err)
				return err
			}
			given.Add(piece)
			time.Sleep(pieceEvery)
		}
		r.record.printf("storage node: has given the whole answer to %s", id)
		return nil
	}}
	p, address, err := r.startOne(n)
	if err != nil {
		return false, err
	}
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(40 * time.Second))
	if _, err := fmt.Fprint(c, get("bulk", "9b1f03aa5c7e2d41", 4000)); err != nil {
		return false, err
	}
	r.record.printf("client: read 9b1f03aa5c7e2d41 sent, with 4 s to its first bytes")
	killed := make(chan struct{})
	if r.trouble {
		time.AfterFunc(time.Second, func() {
			r.record.printf("platform: SIGTERM")
			_ = p.cmd.Process.Signal(syscall.SIGTERM)
		})
		time.AfterFunc(21*time.Second, func() {
			close(killed)
			_ = p.cmd.Process.Kill()
		})
	}
	reader := bufio.NewReader(c)
	line, header, err := readHead(reader)
	if err != nil {
		return false, err
	}
	r.record.printf("client: answer begins with %q", line)
	got, whole := readBody(reader, header)
	r.record.printf("client: %d of %d bytes, whole %v; the storage node has given %d", got, size, whole, given.Load())
	select {
	case <-killed:
		return false, fmt.Errorf("SIGKILL came before the answer's end")
	case <-time.After(300 * time.Millisecond):
	}
	r.record.printf("scheduler alive: %v", p.alive())
	return !whole, nil
}
