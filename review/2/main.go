// Case 2: bodies above 64 KiB, together far beyond the memory limit.
package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"review/kit"
)

const (
	memoryMB   = 128 // with 1,024 descriptors, as in the operators' small example of a configuration
	deadlineMs = 4000
	writers    = 8
	bodySize   = 1 << 20
	bodyPause  = 8 * time.Millisecond // after each 64 KiB: 8 MB a second
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
	config := kit.Config("n0", listen, d.Address, kit.FreePort(), d.Known(), 4, memoryMB, []kit.M{
		kit.Class("get-item", "safe", 250, 1500, 5000, 3),
		kit.Class("put-file", "keyed", 1200, deadlineMs, 4000, 1),
	})
	n0 := r.StartDaemon("n0", r.WriteJSON("n0.json", config), "")
	r.WaitReady(listen)

	// The platform: a scheduler over its memory limit is killed. What counts here is the anonymous part alone, which is less
	// than any account that adds the pages of files, $TMPDIR or the kernel's buffers.
	stop := make(chan bool)
	var peak, peakResident float64
	var killed atomic.Bool
	go func() {
		last := time.Now()
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			resident, anonymous := n0.MemoryMB()
			peak, peakResident = max(peak, anonymous), max(peakResident, resident)
			if time.Since(last) > 500*time.Millisecond {
				last = time.Now()
				r.Log("platform: resident %.1f MB, of these anonymous %.1f MB, limit %d MB", resident, anonymous, memoryMB)
			}
			if anonymous > memoryMB && !killed.Load() {
				killed.Store(true)
				r.Log("platform: anonymous memory %.1f MB is over the limit of %d MB: killed", anonymous, memoryMB)
				n0.Signal(r, syscall.SIGKILL)
				return
			}
		}
	}()

	end := time.Now().Add(20 * time.Second)
	var wg sync.WaitGroup
	var served, refused, failed, lost atomic.Int64
	count := func(id string, a kit.Answer) {
		switch {
		case a.Err != nil:
			lost.Add(1)
			r.Log("client: %s got no answer: %v", id, a.Err)
		case a.Status == 200:
			served.Add(1)
			r.Log("client: %s served", id)
		case a.Status == 503 || a.Status == 429:
			refused.Add(1)
			r.Log("client: %s refused", id)
		default:
			failed.Add(1)
			r.Log("client: %s failed with %d", id, a.Status)
		}
	}
	running := func() bool { return time.Now().Before(end) && !killed.Load() }
	for i := range writers { // each writes one file after the other
		wg.Add(1)
		go func() {
			defer wg.Done()
			size := 2 << 10
			if r.Trouble {
				size = bodySize
			}
			piece := strings.Repeat("x", min(size, 64<<10))
			c := kit.Client{Address: listen}
			defer c.Close()
			for k := 0; running(); k++ {
				id := fmt.Sprintf("b%07x%08x", i, k)
				a := c.DoBody("PUT", "put-file", id, i%4, deadlineMs, size, "Idempotency-Key: key-"+id+"\r\n", func(nc net.Conn) error {
					for sent := 0; sent < size; sent += len(piece) {
						if _, err := io.WriteString(nc, piece); err != nil {
							return err
						}
						if r.Trouble {
							time.Sleep(bodyPause)
						}
					}
					return nil
				})
				count(id, a)
				if !r.Trouble {
					time.Sleep(250 * time.Millisecond)
				}
			}
		}()
	}
	for i := range 4 { // the usual reads of other clients
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := kit.Client{Address: listen}
			defer c.Close()
			for k := 0; running(); k++ {
				id := fmt.Sprintf("a%07x%08x", i, k)
				count(id, c.Do("GET", "get-item", id, i, 1500, "", ""))
				time.Sleep(40 * time.Millisecond)
			}
		}()
	}
	wg.Wait()
	close(stop)
	if !killed.Load() {
		select {
		case <-n0.Exited:
			r.Fatal("the daemon ended by itself")
		default:
		}
	}
	r.Verdict(killed.Load(), "killed for memory %v; peak %.1f MB anonymous, %.1f MB resident, limit %d MB; served %d, refused %d, failed %d, without an answer %d",
		killed.Load(), peak, peakResident, memoryMB, served.Load(), refused.Load(), failed.Load(), lost.Load())
}
