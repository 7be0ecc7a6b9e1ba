package httpfront

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/address"
	"wheatsaddle/internal/core"
	fakenode "wheatsaddle/internal/testkit/fake/node"
	"wheatsaddle/policy"
)

// A node allows four connections in total to three schedulers. One scheduler had connections refused during a burst. It
// closes its surplus idle connections, so that the others can connect and all three are served from then on.
func TestSchedulersShareNodeAtConnectionLimit(t *testing.T) {
	const maxConns, burst = 4, 5
	n := fakenode.New(fakenode.Options{Name: "n", MaxConns: maxConns, Workers: 2 * burst,
		ServiceTime: func(*fasthttp.Request) time.Duration { return 20 * time.Millisecond }})
	defer n.Close()
	a, err := n.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var clients []core.NodeClient
	for range 3 {
		d := dialer()
		d.ConnIdle = time.Hour // no connection is closed only for its idle time
		p := d.Connect("n", []address.Addr{a})
		defer p.Close() //nolint:gocritic // all are closed at the end of the test
		clients = append(clients, p)
	}
	sent := 0
	send := func(p core.NodeClient) chan core.Result {
		sent++
		text := strings.Replace(validRequest, "y=1", "shard=0", 1)
		a, end := attemptOf(t, strings.Replace(text, "Key: k1", fmt.Sprint("Key: k", sent), 1), inOneMinute())
		p.Send(a)
		return end
	}
	for rejected := 0; rejected < 3; { // a close without a response may have another cause once or twice
		var got []chan core.Result
		for range burst {
			got = append(got, send(clients[0]))
		}
		for _, end := range got {
			if r := <-end; r.Status != policy.OK {
				rejected++
			}
		}
	}
	for i, p := range clients {
		attempts := 0
		waitFor(t, func() bool {
			attempts++
			return (<-send(clients[0])).Status == policy.OK && (<-send(p)).Status == policy.OK
		})
		t.Logf("scheduler %d: attempts until it is served: %d", i, attempts)
	}
	for range 20 {
		for i, p := range clients {
			if r := <-send(p); r.Status != policy.OK {
				t.Fatalf("scheduler %d: attempt ended as %v", i, r.Status)
			}
		}
	}
}
