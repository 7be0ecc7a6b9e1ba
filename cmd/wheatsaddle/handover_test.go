package main

import (
	"bufio"
	"fmt"
	"net"
	"testing"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/config"
	"wheatsaddle/internal/handover"
	"wheatsaddle/internal/httpfront"
	"wheatsaddle/policy"
)

// A process that binds its own socket has no gate, lock or goroutine for a handover. Only one process has the lock of a
// passed socket at a time, and a long wait for it is logged with advice.
func TestPassedSocketLock(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	log, hook := logtest.NewNullLogger()
	if s := newPassedSocket(&config.Config{}, ln, log); s != nil || s.acceptGate() != nil {
		t.Fatal("handover without a passed socket")
	}
	(*passedSocket)(nil).run(nil, nil)
	s := newPassedSocket(&config.Config{InheritedSocket: "3"}, ln, log)
	s.execute(handover.Action{Kind: handover.WarnLongWait})
	if e := hook.LastEntry(); e == nil || e.Data["code"] != "handover-waits" || e.Data["advice"] == nil {
		t.Errorf("log of the long wait: %+v", e)
	}
	if got := s.execute(handover.Action{Kind: handover.TryLock}); len(got) != 1 || got[0].Kind != handover.LockAcquired {
		t.Errorf("the first process did not get the free lock: %+v", got)
	}
	other := newPassedSocket(&config.Config{InheritedSocket: "3"}, ln, log)
	if got := other.execute(handover.Action{Kind: handover.TryLock}); fmt.Sprint(got) != fmt.Sprint([]handover.Event{{Kind: handover.LockBusy}}) {
		t.Errorf("the lock of the other process was not reported as busy: %+v", got)
	}
	s.execute(handover.Action{Kind: handover.ReleaseLock})
	if got := other.execute(handover.Action{Kind: handover.TryLock}); got[0].Kind != handover.LockAcquired {
		t.Errorf("the other process did not get the released lock: %+v", got)
	}
	other.execute(handover.Action{Kind: handover.ReleaseLock})
}

// No connection is accepted before the process has the lock or after it closed the listener, and open connections are
// answered and closed.
func TestPassedSocketAcceptsOnlyWithLock(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log, _ := logtest.NewNullLogger()
	s := newPassedSocket(&config.Config{InheritedSocket: "3"}, ln, log)
	s.front = httpfront.NewServer(nil, policy.Settings{}, 4, log)
	served := make(chan error, 1)
	go func() { served <- s.front.Serve(s.acceptGate().Wrap(ln), 4) }()
	clientConn, err := net.Dial("tcp", ln.Addr().String()) // stays in the accept queue
	if err != nil {
		t.Fatal(err)
	}
	defer clientConn.Close()
	br := bufio.NewReader(clientConn)
	for _, closes := range []bool{false, true} {
		if closes {
			s.execute(handover.Action{Kind: handover.CloseListener})
			if late, err := net.Dial("tcp", ln.Addr().String()); err == nil {
				late.Close()
				t.Error("a connection was accepted after the listener was closed")
			}
		} else {
			s.execute(handover.Action{Kind: handover.Accept})
		}
		fmt.Fprint(clientConn, "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
		var r fasthttp.Response
		if err := r.Read(br); err != nil || r.StatusCode() != 200 || r.ConnectionClose() != closes {
			t.Errorf("response: error %v, status %d, closes the connection: %v", err, r.StatusCode(), r.ConnectionClose())
		}
	}
	if err := s.front.Shutdown(t.Context()); err != nil {
		t.Error(err)
	}
	t.Logf("the front ended: %v", <-served)
}
