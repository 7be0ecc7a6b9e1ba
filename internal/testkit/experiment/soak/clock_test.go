package soak

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"wheatsaddle/internal/testkit/fake/pacednode"
	"wheatsaddle/internal/testkit/steppedclock"
)

const (
	stepAfter     = 3 * time.Second
	silentBefore  = 300 * time.Millisecond // they are not old enough to give way before the step
	silentConns   = 900                    // nearly all that 1,024 descriptors allow
	newClients    = 200                    // at the same time
	newClientWork = 300 * time.Millisecond
)

// Guards against silent connections that keep out new clients after the wall clock was stepped back: how long a connection rests is a
// span of real time.
func TestSilentConnectionsGiveWayAfterAClockStep(t *testing.T) {
	for name, offset := range map[string]time.Duration{"back": -time.Hour, "forward": time.Hour} {
		t.Run(name, func(t *testing.T) {
			stepped, err := steppedclock.Build(t.Context(), t.TempDir(), "wheatsaddle/cmd/wheatsaddle")
			if err != nil {
				t.Fatal(err)
			}
			started := time.Now()
			d := start(t, Options{Daemon: stepped, Objective: 250 * time.Millisecond, Deadline: time.Second,
				Env: []string{steppedclock.Environment([]steppedclock.Step{{After: stepAfter, Offset: offset}})}})
			time.Sleep(time.Until(started.Add(stepAfter - silentBefore)))
			for range silentConns {
				nc, err := net.Dial("tcp", d.Listen)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { _ = nc.Close() })
			}
			time.Sleep(time.Until(started.Add(stepAfter + time.Second)))
			var clients sync.WaitGroup
			for i := range newClients {
				r := Request{ID: fmt.Sprint("new-", i), Class: ClassRead, Deadline: time.Second, Script: pacednode.Script{Size: 10, Work: newClientWork}}
				clients.Go(func() {
					if o := d.Send(r); !o.Complete {
						t.Errorf("client %d after the step: %+v", i, o)
					}
				})
			}
			clients.Wait()
		})
	}
}
