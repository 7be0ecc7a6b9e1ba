package httpfront

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/core"
	"wheatsaddle/policy"
)

var recordCodec = flag.Bool("record", false, "write testdata/codec.txt instead of comparing with it")

// statusWords are fixed words for the recorded text, so that no rename of a status changes it.
var statusWords = map[policy.Status]string{policy.OK: "ok", policy.Errored: "errored", policy.NodeFull: "node-full", policy.Abandoned: "abandoned"}

// The codec decodes and encodes fixed messages as recorded in testdata/codec.txt: the message to the node, the part of a
// gathered read, the request to a peer, each rejection's status and text, the result of each response, and the response to the
// client.
func TestCodecIsAsRecorded(t *testing.T) {
	var out strings.Builder
	for i, text := range recordedRequests() {
		fmt.Fprintf(&out, "request %d: %s\n", i, describeRequest(t, text))
	}
	for i, text := range recordedResponses() {
		fmt.Fprintf(&out, "answer %d: %s\n", i, describeResponse(t, text))
	}
	for i, a := range []core.Answer{
		{Kind: core.Served, Payload: &nodeResponse{body: []byte("abc")}}, {Kind: core.Served, Payload: &nodeResponse{}},
		{Kind: core.Rejected}, {Kind: core.Rejected, RetryAfter: 1234567 * time.Microsecond}, {Kind: core.Failed, Cause: core.CauseInvalidRequest},
		{Kind: core.Failed, Cause: core.CauseUnknownClass}, {Kind: core.Failed, Cause: core.CauseDuplicateID},
		{Kind: core.Failed, Cause: core.CauseDeadlineExceeded}, {Kind: core.Failed, Cause: core.CauseNotServed},
	} {
		var ctx fasthttp.RequestCtx
		writeResponse(&ctx, a)
		fmt.Fprintf(&out, "to client %d: %d %q %q\n", i, ctx.Response.StatusCode(), ctx.Response.Header.Peek("Retry-After"), ctx.Response.Body())
	}
	path := filepath.Join("testdata", "codec.txt")
	if *recordCodec {
		if err := os.WriteFile(path, []byte(out.String()), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	recorded, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	got, want := strings.Split(out.String(), "\n"), strings.Split(string(recorded), "\n")
	if len(got) != len(want) {
		t.Fatalf("the codec's output has %d lines, testdata/codec.txt has %d", len(got), len(want))
	}
	for i := range got {
		if got[i] != want[i] {
			t.Errorf("line %d:\n%s\nrecorded:\n%s", i+1, got[i], want[i])
		}
	}
}

// recordedRequests returns the requests of TestInvalidRequests that the codec sees, and variants of a good one.
func recordedRequests() []string {
	requests := []string{validRequest, strings.Replace(strings.Replace(strings.TrimSuffix(validRequest, "hello"), "PUT ", "GET ", 1), "Content-Length: 5\r\n", "", 1)}
	for _, edit := range [][2]string{
		{"X-Request-Id: 9b1f03aa5c7e2d41\r\n", ""}, {"9b1f03aa5c7e2d41", strings.Repeat("9", 200)}, {"Tier: basic\r\n", ""},
		{"extent=7f3a9c21e0b4d655", "extent=7f3a"}, {"60000", "soon"}, {"60000", "-5"}, {"60000", "99999999999"}, {"60000", "0"}, {"60000", "1"},
		{"units=2,", ""}, {"units=2", "units=NaN"}, {"units=2", "units=0"}, {"units=2", "units=0.25"}, {"units=2", "units=1e7"},
		{"shard=0", "shard=-2"}, {"shard=0", "shard=-1"}, {"shard=0", "shard=x"}, {"hosts=3", "hosts=0"}, {"hosts=3", "hosts=3,hosts=4"},
		{"hosts=3", "hosts=x"}, {"volume=00000003b4d60021", "volume=xx"}, {"volume=00000003b4d60021,units=2", "units=2, volume=00000003b4d60021"},
		{"Idempotency-Key: k1\r\n", ""}, {"Idempotency-Key: k1", "Idempotency-Key: a b"}, {"PUT", "DELETE"}, {"/new-record", "/other"},
		{"PUT ", "GET "}, {"Tier: basic", "Tier: basic\r\ntier: none"}, {"X-Request-Id: 9", "X-Request-Id: 8\r\nX-Request-Id: 9"},
		{"Tier: basic", "Tier: basic\r\nX-Retry: 1"}, {"Tier: basic", "X-Other: z\r\nTier: basic"}, {"HTTP/1.1", "HTTP/1.0"}, {"HTTP/1.1", "HTTP/2.7"},
		{"Content-Length: 5", "Content-Length: 5\r\ncontent-length: 5"}, {"Content-Length: 5", "Transfer-Encoding: chunked\r\nContent-Length: 5"},
	} {
		requests = append(requests, strings.Replace(validRequest, edit[0], edit[1], 1))
	}
	return requests
}

// recordedResponses returns responses of a node with each status that the codec distinguishes, and load reports of each kind.
func recordedResponses() []string {
	const empty = "Content-Length: 0\r\n\r\n"
	responses := []string{okResponse, strings.Replace(okResponse, "\r\n\r\n", "\r\nX-Gather-Limited: 1\r\n\r\n", 1)}
	for _, status := range []string{"204 No", "400 No", "404 No", "408 No", "429 No", "500 No", "503 No", "503 No\r\nX-Not-Run: 1", "504 No\r\nX-Not-Run: 1", "500 No\r\nX-Not-Run: 1"} {
		responses = append(responses, "HTTP/1.1 "+status+"\r\n"+empty)
	}
	for _, load := range []string{"inflight=7,queue=2,util=0.61", "outstanding=7, backlog=2", "utilization=1", "util=much", "util=0.5,queue=-1", "other=1", "inflight=3,util=NaN", "util=1e99"} {
		responses = append(responses, "HTTP/1.1 200 OK\r\nX-Load: "+load+"\r\n"+empty)
	}
	for _, figure := range []string{"0", "8 5", "-3", "NaN", "1e99", "2.5"} {
		responses = append(responses, "HTTP/1.1 200 OK\r\nVolume-Load: "+figure+"\r\nOther-Hosts: "+figure+"\r\n"+empty)
	}
	return responses
}

// describeRequest describes how the codec decodes a client's request.
func describeRequest(t *testing.T, text string) string {
	t.Helper()
	var message fasthttp.Request
	if err := message.Read(bufio.NewReader(strings.NewReader(text))); err != nil {
		return fmt.Sprintf("unreadable: %q", err.Error())
	}
	r, err := decode(&message, &testBounds)
	if err != nil {
		status := 0
		var malformed *MalformedError
		if errors.As(err, &malformed) {
			status = malformed.Status
		}
		return fmt.Sprintf("rejected %d %q", status, err.Error())
	}
	part := &core.Request{Request: policy.Request{ID: "p1", Volume: r.Volume, Units: 0.5, Shard: 6, Schedulers: r.Schedulers}}
	var peer fasthttp.Request
	EncodePeerRequest(r, &peer)
	return fmt.Sprintf("%q %q %q %q %q %v %d %d %d %t to node %q part %q peer %q", r.ID, r.Class, r.Plan, r.Key, r.Volume, r.Units, r.Shard,
		r.Schedulers, r.Timeout.Milliseconds(), r.ClientRetry, r.Payload.(*nodeRequest).encode(nil, 1500*time.Millisecond),
		PartPayload(r, part, 9).(*nodeRequest).encode(nil, time.Microsecond), peer.String())
}

// describeResponse describes how the codec decodes a node's response.
func describeResponse(t *testing.T, text string) string {
	t.Helper()
	var message fasthttp.Response
	if err := message.Read(bufio.NewReader(strings.NewReader(text))); err != nil {
		t.Fatalf("fasthttp cannot read the response %q: %v", text, err)
	}
	rep := &nodeResponse{}
	r := decodeResponse(&message, rep)
	word, ok := statusWords[r.Status]
	if !ok {
		t.Fatalf("response %q: status %v has no entry in statusWords", text, r.Status)
	}
	load := "none"
	if r.Load != nil {
		load = fmt.Sprintf("%v %v %v", r.Load.Inflight, r.Load.Queue, r.Load.Util)
	}
	return fmt.Sprintf("%s invalid %t peers %v plan %v load %s limited %t reply %t", word, r.NotPerformed, r.PeerUsage, r.PlanUsage, load, rep.limited, r.Payload != nil)
}
