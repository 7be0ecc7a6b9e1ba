// Case 3: clients stop in the middle of a request and stay.
package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"review/kit"
)

const (
	badEvery = 100 * time.Millisecond // ten bad clients a second: thirty at a time, if each is closed within 3 s
	badTime  = 40 * time.Second
	owed     = 3050 * time.Millisecond // 3 s, and 50 ms as for every time limit on sockets
)

func main() {
	r := kit.Start()
	var list []kit.Endpoint
	for shard := 0; shard < 4; shard++ {
		n := r.StartNode(&kit.Node{Name: fmt.Sprintf("s-%d", shard), Shard: shard, Work: 25 * time.Millisecond}, 2)
		list = append(list, n.Endpoint())
	}
	d := r.StartDiscovery(list)
	listen := kit.FreePort()
	config := kit.Config("n0", listen, d.Address, kit.FreePort(), d.Known(), 4, 128, []kit.M{
		kit.Class("get-item", "safe", 250, 1500, 5000, 3),
		kit.Class("put-item", "keyed", 300, 1500, 2500, 2),
	})
	config["limits"] = kit.M{"cores": 1.0, "memory_mb": 128, "sockets": 576}
	n0 := r.StartDaemon("n0", r.WriteJSON("n0.json", config), "")
	r.WaitReady(listen)

	var wg sync.WaitGroup
	var served, refused, failed, lost, badClosed, badLate, badOpen atomic.Int64
	end := time.Now().Add(5*time.Second + badTime + 5*time.Second)
	for i := range 12 { // sound clients, each with one kept connection and about six requests a second
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := kit.Client{Address: listen}
			defer c.Close()
			for k := 0; time.Now().Before(end); k++ {
				id := fmt.Sprintf("a%07x%08x", i, k)
				kept := c.Open()
				a := c.Do("GET", "get-item", id, i%4, 1500, "", "")
				if a.Err != nil && kept && !errors.Is(a.Err, os.ErrDeadlineExceeded) {
					// The scheduler closed the resting connection when the request crossed: once more, on a new one.
					a = c.Do("GET", "get-item", id, i%4, 1500, "", "")
				}
				switch {
				case a.Err != nil:
					lost.Add(1)
					r.Log("client: %s got NO ANSWER within its time and 0.5 s: %v", id, a.Err)
				case a.Status == 200:
					served.Add(1)
				case a.Status == 503 || a.Status == 429:
					refused.Add(1)
				default:
					failed.Add(1)
					r.Log("client: %s failed with %d", id, a.Status)
				}
				time.Sleep(150 * time.Millisecond)
			}
		}()
	}
	time.Sleep(5 * time.Second)
	r.Log("served %d, refused %d, failed %d, no answer %d before the bad clients", served.Load(), refused.Load(), failed.Load(), lost.Load())
	for n := 0; r.Trouble && n < int(badTime/badEvery); n++ {
		time.Sleep(badEvery)
		go func() {
			nc, err := net.DialTimeout("tcp", listen, time.Second)
			if err != nil {
				r.Log("bad client %d: no connection: %v", n, err)
				return
			}
			defer nc.Close()
			// A write of 8 MiB, of which the client sends the head and 4 KiB, and then stays.
			fmt.Fprintf(nc, "PUT /put-item/x HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: bad%013x\r\nTier: plan-1\r\nCookie: extent=%016x\r\n"+
				"X-Deadline-Ms: 1500\r\nContent-Length: 8388608\r\nIdempotency-Key: bad%d\r\nIO-Info: volume=00000003b4d60021,units=1,shard=0,hosts=1\r\n\r\n%s",
				n, n, n, strings.Repeat("x", 4096))
			stopped := time.Now()
			_ = nc.SetReadDeadline(end)
			b := make([]byte, 64)
			m, err := nc.Read(b)
			after := time.Since(stopped)
			switch {
			case errors.Is(err, os.ErrDeadlineExceeded):
				badOpen.Add(1)
				r.Log("bad client %d: neither error nor close in %.1f s, until the end", n, after.Seconds())
			case after > owed:
				badLate.Add(1)
				r.Log("bad client %d: %.20q, %v after %.1f s", n, b[:m], err, after.Seconds())
			default:
				badClosed.Add(1)
				r.Log("bad client %d: %.20q, %v after %.1f s", n, b[:m], err, after.Seconds())
			}
			if err == nil {
				_, _ = io.Copy(io.Discard, nc)
			}
		}()
	}
	if !r.Trouble {
		time.Sleep(badTime)
	}
	wg.Wait()
	time.Sleep(200 * time.Millisecond)
	select {
	case <-n0.Exited:
		r.Fatal("the daemon ended")
	default:
	}
	r.Verdict(lost.Load() > 0 && badOpen.Load() > 0, "sound requests: served %d, refused %d, failed %d, NEVER ANSWERED %d; bad clients: error or close within 3 s %d, later %d, none until the end %d",
		served.Load(), refused.Load(), failed.Load(), lost.Load(), badClosed.Load(), badLate.Load(), badOpen.Load())
}
