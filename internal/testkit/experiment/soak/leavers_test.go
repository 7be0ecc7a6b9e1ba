package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"
)

const leaverWork = 150 * time.Millisecond

// Guards against an id that runs again after its client has left, and against attempts for clients that have left.
func TestIDsRunOnceAndLeaversAreDropped(t *testing.T) {
	d := start(t, Options{Objective: 500 * time.Millisecond, Deadline: leaverDeadline})
	report(t, Leavers{Repeats: 40, Pipelines: 20, Pipelined: 40}.Play(d, "leaver", leaverWork))
}

// Guards against an id that runs at both processes of an upgrade, in either order: its client leaves one and sends it to the other.
func TestIDsRunOnceOverAnUpgrade(t *testing.T) {
	d := start(t, Options{Objective: 500 * time.Millisecond, Deadline: leaverDeadline, PassedSocket: true})
	var kept []net.Conn // connections to the old process
	const repeats = 20
	for range repeats {
		nc, err := net.Dial("tcp", d.Listen)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = nc.Close() })
		kept = append(kept, nc)
	}
	classes := []string{ClassRead, ClassWrite, ClassKeyed}
	request := func(order string, i int) Request {
		return leaverRequest(fmt.Sprintf("upgrade-%s-%d", order, i), classes[i%len(classes)], i%d.Shards(), leaverWork)
	}
	for i := range repeats {
		d.sendAndLeave(request("old-new", i))
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	old, err := d.Replace(ctx)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(old.KillAndWait)
	for i := range repeats {
		if o := d.Send(request("old-new", i)); o.Code == 0 {
			t.Errorf("old-new-%d: no answer, %v", i, o.Err)
		}
	}
	for i, nc := range kept {
		r := request("new-old", i)
		d.sendAndLeave(r)
		_ = nc.SetDeadline(time.Now().Add(5 * time.Second))
		_, _ = io.WriteString(nc, r.head()+string(make([]byte, r.Body)))
		_, _ = bufio.NewReader(nc).ReadString('\n') // the old process may have closed the connection
	}
	var broken breaches
	d.checkRunOnce("upgrade-", &broken)
	report(t, broken.all)
}
