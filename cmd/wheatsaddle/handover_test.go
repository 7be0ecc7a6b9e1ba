package main

import (
	"fmt"
	"net"
	"testing"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"wheatsaddle/internal/config"
	"wheatsaddle/internal/handover"
)

// Who binds its own socket shares nothing: no gate, no lock, no goroutine. A wait that is long is told with what to do.
func TestShare(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	log, hook := logtest.NewNullLogger()
	if s := share(&config.Config{}, ln, log); s != nil || s.door() != nil {
		t.Fatal("shared without a passed socket")
	}
	(*shared)(nil).run(nil, nil)
	s := share(&config.Config{Passed: "3"}, ln, log)
	s.do(handover.Action{Do: handover.Warn})
	if e := hook.LastEntry(); e == nil || e.Data["code"] != "handover-waits" || e.Data["advice"] == nil {
		t.Errorf("%+v", e)
	}
	if got := s.do(handover.Action{Do: handover.Try}); len(got) != 1 || got[0].Kind != handover.Had {
		t.Errorf("%+v", got)
	}
	other := share(&config.Config{Passed: "3"}, ln, log)
	if got := other.do(handover.Action{Do: handover.Try}); fmt.Sprint(got) != fmt.Sprint([]handover.Event{{Kind: handover.Held}}) {
		t.Errorf("%+v", got)
	}
	s.do(handover.Action{Do: handover.Release})
	if got := other.do(handover.Action{Do: handover.Try}); got[0].Kind != handover.Had {
		t.Errorf("%+v", got)
	}
	other.do(handover.Action{Do: handover.Release})
}
