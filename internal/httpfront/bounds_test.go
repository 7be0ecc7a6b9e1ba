package httpfront

import (
	"bufio"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/core"
	"wheatsaddle/policy"
)

// Request checks, write timeouts and idempotency follow the core's current settings. A decoded request refers to the settings
// with which it was decoded.
func TestBoundsFollowCoreSettings(t *testing.T) {
	f := newFront(t, respondWith(okResponse))
	smaller := strings.Replace(validRequest, "units=2", "units=1", 1)
	if r := f.send(t, validRequest); r.StatusCode() != 200 {
		t.Fatalf("request under the first settings: status %d", r.StatusCode())
	}
	first := f.srv.bounds()
	var head fasthttp.RequestHeader
	head.SetRequestURI("/new-record/x")
	if w := f.srv.requestTimeouts(&head).WriteTimeout; w != 7*time.Second { // the deadline of a minute is over the maximum
		t.Errorf("write timeout %v under the first settings", w)
	}
	changed := testSettings()
	changed.MaxUnits, changed.Classes[1].Effect = 1, policy.Idempotent
	for i := range changed.Classes {
		changed.Classes[i].LatencyObjective, changed.Classes[i].Deadline = 2e3, 4e3
	}
	if err := f.srv.Core.Reconfigure(changed); err != nil {
		t.Fatal(err)
	}
	if r := f.send(t, validRequest); r.StatusCode() != 400 {
		t.Errorf("request over the new limit of units: status %d", r.StatusCode())
	}
	if r := f.send(t, smaller); r.StatusCode() != 200 {
		t.Errorf("request within the new limit of units: status %d", r.StatusCode())
	}
	if w := f.srv.requestTimeouts(&head).WriteTimeout; w != 4*time.Second+writeMargin {
		t.Errorf("write timeout %v after the change", w)
	}
	d := &Dialer{Idempotent: map[string]bool{"balance-read": true}}
	for _, x := range []struct {
		set        *core.Settings
		class      string
		idempotent bool
	}{{first.settings, "new-record", false}, {f.srv.bounds().settings, "new-record", true}, {first.settings, "none", false},
		{nil, "balance-read", true}, {nil, "new-record", false}} {
		r := &core.Request{Request: policy.Request{Class: x.class}, Settings: x.set}
		if d.idempotent(r) != x.idempotent {
			t.Errorf("class %s: idempotent returned %v", x.class, !x.idempotent)
		}
	}
	var m fasthttp.Request
	if err := m.Read(bufio.NewReader(strings.NewReader(validRequest))); err != nil {
		t.Fatal(err)
	}
	if r, err := decode(&m, first); err != nil || r.Settings != first.settings {
		t.Errorf("decode: error %v; request %+v does not refer to the settings it was decoded with", err, r)
	}
}
