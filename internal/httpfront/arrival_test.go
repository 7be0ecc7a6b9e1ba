package httpfront

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// Guards against a request's time that begins only when the server gets to it: requests that wait behind others on their connection are
// answered seconds after their time, and are sent to nodes with a time that their clients do not have.
func TestPipelinedRequestsCountTheirTimeFromArrival(t *testing.T) {
	const (
		deadline    = 300 * time.Millisecond
		answerSlack = 550 * time.Millisecond // after the deadline
		toldSlack   = 150 * time.Millisecond
		serviceTime = 20 * time.Millisecond
	)
	for _, x := range []struct {
		name     string
		requests int
		pause    time.Duration // between two writes; 0: all requests are sent in one write
		body     int           // bytes
	}{
		{"in one write", 100, 0, 5}, {"in quick writes", 100, 2 * time.Millisecond, 5}, {"with long bodies", 60, 0, 800}, {"more than a buffer", 300, 0, 5},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex // guards sentAt
			sentAt := map[string]time.Time{}
			var f *frontHarness
			f = newFront(t, func(nc net.Conn) bool {
				q := f.last.Load()
				mu.Lock()
				left := deadline - time.Since(sentAt[string(q.Header.Peek("X-Request-Id"))])
				mu.Unlock()
				told, err := strconv.Atoi(string(q.Header.Peek("X-Deadline-Ms")))
				if told := time.Duration(told) * time.Millisecond; err != nil || told > left+toldSlack {
					t.Errorf("a node was told %v when the client had %v left", told, left)
				}
				time.Sleep(serviceTime)
				return respondWith(okResponse)(nc)
			})
			nc, err := net.Dial("tcp", f.address)
			if err != nil {
				t.Fatal(err)
			}
			defer nc.Close()
			text := func(i int) (id, request string) {
				id = fmt.Sprintf("%016x", i+1)
				request = strings.NewReplacer("9b1f03aa5c7e2d41", id, "60000", strconv.Itoa(int(deadline.Milliseconds())),
					"k1", fmt.Sprint("k", i), "Content-Length: 5", fmt.Sprint("Content-Length: ", x.body), "hello", strings.Repeat("x", x.body)).Replace(validRequest)
				return id, request
			}
			go func() {
				var all strings.Builder
				for i := range x.requests {
					id, request := text(i)
					mu.Lock()
					sentAt[id] = time.Now()
					mu.Unlock()
					all.WriteString(request)
					if x.pause > 0 {
						_, _ = io.WriteString(nc, request)
						time.Sleep(x.pause)
					}
				}
				if x.pause == 0 {
					_, _ = io.WriteString(nc, all.String())
				}
			}()
			br := bufio.NewReader(nc)
			served := 0
			for i := range x.requests {
				r := &fasthttp.Response{}
				if err := r.Read(br); err != nil {
					t.Fatalf("request %d: %v", i, err)
				}
				id, _ := text(i)
				mu.Lock()
				took := time.Since(sentAt[id])
				mu.Unlock()
				if took > deadline+answerSlack {
					t.Errorf("request %d was answered with %d after %v", i, r.StatusCode(), took)
				}
				if r.StatusCode() == fasthttp.StatusOK {
					served++
				}
			}
			if served == 0 {
				t.Error("no request was served")
			}
		})
	}
}
