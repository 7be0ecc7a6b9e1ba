package gathers

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"
)

// lateAnswerWait is how long a client waits beyond the deadline, so that a late answer is recognized as late.
const lateAnswerWait = 500 * time.Millisecond

// rowTimes are the arrival times of an answer's rows, relative to the time at which the read was due.
type rowTimes struct {
	arrivals []rowArrival
	end      time.Duration
}

// rowArrival is the number of rows received up to a time.
type rowArrival struct {
	rows int
	at   time.Duration
}

// timeOfRows returns the time at which the given number of rows had been received; ok is false if fewer were.
func (t *rowTimes) timeOfRows(rows int) (at time.Duration, ok bool) {
	for _, m := range t.arrivals {
		if m.rows >= rows {
			return m.at, true
		}
	}
	return 0, false
}

// readClient sends gathered reads. Each has its own connection, so that the HTTP client resends none of them.
type readClient struct {
	http     *http.Client
	plan     string
	hosts    int
	deadline time.Duration
}

func newReadClient(plan string, hosts int, deadline time.Duration) *readClient {
	return &readClient{plan: plan, hosts: hosts, deadline: deadline,
		http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, ReadBufferSize: 64 << 10}}}
}

// send sends a read to one process and receives the response. An error means that the response is incomplete or invalid;
// the rows received before it are in the answer.
func (c *readClient) send(ctx context.Context, to string, q gatheredRead, seq uint64, due time.Time) (a answer, t rowTimes, err error) {
	ctx, stop := context.WithDeadline(ctx, due.Add(c.deadline+lateAnswerWait))
	defer stop()
	left := time.Until(due.Add(c.deadline))
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/%s/x", to, q.class), nil)
	if err != nil {
		return a, t, err
	}
	for name, value := range map[string]string{"X-Request-Id": q.id, "Tier": c.plan, "Cookie": fmt.Sprintf("extent=%016x", seq),
		"X-Deadline-Ms": strconv.FormatInt(max(1, left.Milliseconds()), 10),
		"IO-Info":       fmt.Sprintf("volume=%016x,units=1,shard=%d,hosts=%d", seq%7+1, q.shards[0], c.hosts),
		"X-Gather":      formatShards(q.shards)} {
		r.Header.Set(name, value)
	}
	if q.token != "" {
		r.Header.Set("X-Gather-Token", q.token)
	}
	resp, err := c.http.Do(r)
	defer func() { t.end = time.Since(due) }()
	if err != nil {
		return a, t, err
	}
	defer resp.Body.Close()
	a.statusCode = resp.StatusCode
	var text []byte
	piece := make([]byte, 64<<10)
	rows := 0
	for err == nil {
		var n int
		n, err = resp.Body.Read(piece)
		if n > 0 {
			rows += bytes.Count(piece[:n], []byte("\n"))
			t.arrivals = append(t.arrivals, rowArrival{rows, time.Since(due)})
			text = append(text, piece[:n]...)
		}
	}
	if a.statusCode != http.StatusOK {
		err := a.parseResult(string(text))
		return a, t, err
	}
	if !errors.Is(err, io.EOF) {
		text = text[:bytes.LastIndexByte(text, '\n')+1]
	}
	for line := range bytes.Lines(text) {
		a.rows = append(a.rows, bytes.TrimSuffix(line, []byte("\n")))
	}
	if !errors.Is(err, io.EOF) {
		return a, t, err
	}
	err = a.parseResult(resp.Trailer.Get("X-Gather-Result"))
	return a, t, err
}

// parseResult parses the result: the trailer, or the body of a response with another status than 200.
func (a *answer) parseResult(text string) error {
	if !gjson.Valid(text) {
		return fmt.Errorf("invalid gather result: %.80q", text)
	}
	g := gjson.Parse(text)
	a.finished, a.whole = true, g.Get("whole").Bool()
	for _, key := range []string{"missing", "cut", "conflict"} {
		for _, v := range g.Get(key).Array() {
			a.incompleteShards = append(a.incompleteShards, int(v.Int()))
		}
	}
	a.conflicts, a.truncated, a.token, a.errorCode = int(g.Get("conflicts").Int()), g.Get("truncated").Str, g.Get("token").Str, g.Get("code").Str
	return nil
}

// formatShards formats a sorted list of shards as in the X-Gather header, such as 0-3,5.
func formatShards(shards []int) string {
	var all []string
	for from, to := 0, 0; from < len(shards); from = to + 1 {
		for to = from; to+1 < len(shards) && shards[to+1] == shards[to]+1; to++ {
		}
		if text := strconv.Itoa(shards[from]); to == from {
			all = append(all, text)
		} else {
			all = append(all, fmt.Sprint(text, "-", shards[to]))
		}
	}
	return strings.Join(all, ",")
}
