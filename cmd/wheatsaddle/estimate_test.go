package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/tidwall/gjson"

	"wheatsaddle/internal/admin"
	"wheatsaddle/internal/config"
	"wheatsaddle/internal/nodestats"
	"wheatsaddle/policy"
)

// With the section estimate of the site's file, the admin endpoint answers with an estimate for the classes, shards and
// limits of the configuration, and rejects an unknown class. Without the section there is no handler.
func TestEstimateCall(t *testing.T) {
	site, err := config.ParseSite([]byte(`{"estimate":{"price_late":2}}`))
	if err != nil {
		t.Fatal(err)
	}
	conf := &config.Config{Settings: policy.Settings{Shards: 2, Classes: []policy.Class{{Name: "read"}},
		Plans: []policy.Plan{{Name: "gold", RateLimit: 10, LimitBurst: 1}, {Name: "open"}}}}
	view := nodestats.View{Key: nodestats.Key{Node: "n", StartTime: 1, Class: "read"}, Shard: 1,
		Sums: nodestats.Sums{N: 10, X: 10, Y: 200, XX: 10, XY: 200, YY: 4100}, Origins: 2}
	handler := newEstimateHandler(site.Estimate, conf, func() []nodestats.View { return []nodestats.View{view} })
	log := logrus.New()
	log.SetOutput(io.Discard)
	endpoint := &admin.Endpoint{Estimate: handler, Log: log}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = endpoint.Serve(ln) }() // ends with the listener
	defer func() { _ = endpoint.Close() }()
	post := func(body string) (int, string) {
		nc, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		nc.SetDeadline(time.Now().Add(10 * time.Second))
		fmt.Fprintf(nc, "POST /api/estimate HTTP/1.1\r\nHost: op\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(text)
	}
	code, text := post(`{"deadline_ms":100,"plans":[{"name":"a","limit":"gold","root":{"work":{"shard":1,"class":"read","units":2}}}]}`)
	if code != 200 || gjson.Get(text, "plans.0.held_ms").Num != 100 || gjson.Get(text, "plans.0.rests_on.origins").Num != 2 ||
		gjson.Get(text, "plans.0.mean_ms").Num < 105 {
		t.Errorf("estimate: status %d, body %s", code, text)
	}
	code, text = post(`{"plans":[{"name":"a","root":{"all":[{"work":{"shard":1,"class":"erase","units":2}}]}}]}`)
	if code != 400 || gjson.Get(text, "code").Str != "cost-unknown-name" || gjson.Get(text, "error").Str != `plans.0.root.all.0.work: no class "erase"` {
		t.Errorf("unknown class: status %d, body %s", code, text)
	}
	if newEstimateHandler((&config.Site{}).Estimate, conf, nil) != nil {
		t.Error("a handler exists without the section")
	}
}
