package transport

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// requestPair accepts one more connection, on which the client has sent the beginning of a request.
func requestPair(t *testing.T, l *Listener) (*Conn, net.Conn) {
	t.Helper()
	conn, client := acceptOne(t, l)
	_, _ = io.WriteString(client, "PUT")
	if r := <-readOnce(conn); r.text != "PUT" {
		t.Fatalf("the server read %+v", r)
	}
	return conn, client
}

// waitUntilReading waits until the server waits for the rest of a request.
func waitUntilReading(conn *Conn) {
	for conn.requestRead.waitingFor(time.Now().Add(time.Second)) == 0 {
		time.Sleep(time.Millisecond)
	}
}

// Guards against clients that stop within a request and take the whole capacity: the one that has waited longest is
// interrupted, once, and only if no connection without a request can be evicted.
func TestStalledRequestIsInterruptedAtCapacity(t *testing.T) {
	l, idleConn, _ := pair(t, 3)
	l.answersInterrupted = true
	idleConn.markActive()
	idleConn.SetIdle(true)
	handled, _ := requestPair(t, l)
	stalled, client := requestPair(t, l)
	read := readOnce(stalled)
	waitUntilReading(stalled)
	now := time.Now()
	if l.evictForCapacity(now.Add(2 * stalledRequestAfter)); idleConn.phase.Load() != closing || stalled.Interrupted() {
		t.Fatal("the idle connection was not evicted, or a request was interrupted although it could be")
	}
	l.capacity = 2
	if l.evictForCapacity(now.Add(stalledRequestAfter / 2)); stalled.Interrupted() {
		t.Fatal("a request was interrupted before it had stalled for stalledRequestAfter")
	}
	l.evictForCapacity(now.Add(2 * stalledRequestAfter))
	select {
	case r := <-read:
		if !errors.Is(r.err, os.ErrDeadlineExceeded) || !stalled.Interrupted() {
			t.Fatalf("the server read %+v, want a timeout", r)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the stalled request was not interrupted")
	}
	if handled.Interrupted() {
		t.Error("a request that is handled was interrupted")
	}
	_, _ = io.WriteString(stalled, "503")
	if r := <-readOnce(client); r.text != "503" {
		t.Errorf("the client of the interrupted request read %+v", r)
	}
	if c := l.Counts(); c.Interrupted != 1 {
		t.Errorf("counts %+v, want one interrupted request", c)
	}
}

// A request whose rest arrives in time is not interrupted, and neither is one below the capacity or on a listener whose
// server does not answer interrupted requests.
func TestArrivingRequestIsNotInterrupted(t *testing.T) {
	for _, x := range []struct {
		name               string
		capacity           int
		answersInterrupted bool
	}{{"below the capacity", 5, true}, {"sessions", 1, false}} {
		t.Run(x.name, func(t *testing.T) {
			l, first, client := pair(t, x.capacity)
			l.answersInterrupted = x.answersInterrupted
			_, _ = io.WriteString(client, "PUT")
			<-readOnce(first)
			read := readOnce(first)
			waitUntilReading(first)
			l.evictForCapacity(time.Now().Add(time.Hour))
			_, _ = io.WriteString(client, " /x")
			if r := <-read; r.text != " /x" || first.Interrupted() {
				t.Errorf("the server read %+v, interrupted %v", r, first.Interrupted())
			}
		})
	}
}

// Connections are counted by state.
func TestConnCounts(t *testing.T) {
	l, idleConn, _ := pair(t, 10)
	idleConn.markActive()
	idleConn.SetIdle(true)
	reading, client := requestPair(t, l)
	requestPair(t, l)
	read := readOnce(reading)
	waitUntilReading(reading)
	time.Sleep(time.Millisecond)
	got := l.Counts()
	if got.LongestRead <= 0 {
		t.Error("the wait for the rest of a request is not counted")
	}
	got.LongestRead = 0
	if want := (ConnCounts{Reading: 1, Handling: 1, Idle: 1}); got != want {
		t.Errorf("counts %+v, want %+v", got, want)
	}
	_ = client.Close()
	<-read
}

// Guards against a client whose request was answered early and that drips the rest of it: the connection lingered for as long
// as it sent a byte now and then.
func TestLingerEndsWhileRestOfRequestDrips(t *testing.T) {
	const interval = 50 * time.Millisecond
	l, conn, client := lingeringPair(t)
	conn.DiscardInput()
	started := time.Now()
	_ = conn.Close()
	for l.OpenCount() > 0 {
		_, _ = io.WriteString(client, "x")
		time.Sleep(interval)
		if took := time.Since(started); took > discardLimits.StallTimeout+time.Second {
			t.Fatalf("the connection lingers after %v, want it closed after %v", took, discardLimits.StallTimeout)
		}
	}
}
