package cluster

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/coldstart/snapshot"
	"wheatsaddle/internal/testkit/fake/link"
)

// The two directions between a version and the previous one.
var versionDirections = []struct {
	name           string
	writerPrevious bool // the previous version writes what this one reads; else the other way round
}{
	{"this version reads what the previous one wrote", true},
	{"the previous version reads what this one wrote", false},
}

// versionPair returns the daemon that writes and the one that reads.
func versionPair(t *testing.T, writerPrevious bool) (writer, reader string) {
	t.Helper()
	previous := previousDaemon(t)
	if writerPrevious {
		return previous, daemonPath
	}
	return daemonPath, previous
}

// A daemon that ended leaves its snapshot in a file, and the other version starts from it: without any request it opens
// connections to the nodes that the file names, except to those that have restarted since.
func TestSnapshotFileBetweenVersions(t *testing.T) {
	for _, x := range versionDirections {
		t.Run(x.name, func(t *testing.T) {
			writer, reader := versionPair(t, x.writerPrevious)
			s := newStartupFixture(t, Options{ListInConfig: true, Daemons: 1}, nil, nil, false)
			s.Proc(0).daemon = writer
			s.launchDaemons(0)
			s.startTraffic()
			s.waitServed(3 * minServed)
			stopOverlapping := s.startOverlappingTraffic()
			s.waitUntil("each node has served", func() bool {
				return !slices.ContainsFunc([]int{0, 1, 2, 3}, func(j int) bool { return s.Node(j).Counts().Executions == 0 })
			})
			stopOverlapping()
			s.waitUntil("the snapshot was written", func() bool {
				_, err := os.Stat(filepath.Join(s.Dir(0), "learned"))
				return err == nil
			})
			s.stopTraffic()
			s.stopTraffic = nil
			s.mu.Lock()
			s.listeningAt[0] = 0
			s.mu.Unlock()
			s.must(s.Terminate(0))
			s.must(s.Proc(0).Wait(s.ctx))
			s.logSnapshot(0)
			s.restartNodes(0, 2)
			var before [4]int
			for j := range before {
				before[j] = s.connsOpened(0, j)
			}
			t.Cleanup(func() {
				if t.Failed() {
					t.Logf("connections before the start: %v, at the end: %d, %d, %d, %d", before, s.connsOpened(0, 0), s.connsOpened(0, 1), s.connsOpened(0, 2), s.connsOpened(0, 3))
				}
			})
			s.Proc(0).daemon = reader
			s.launchDaemons(0)
			s.waitUntil("it has opened connections in advance", func() bool {
				return s.connsOpened(0, 1) > before[1] && s.connsOpened(0, 3) > before[3]
			})
			for _, j := range []int{0, 2} {
				if n := s.connsOpened(0, j) - before[j]; n > 0 {
					t.Errorf("%d connections were opened in advance to node %d, which has restarted", n, j)
				}
			}
			if log := s.Proc(0).Log(); strings.Contains(log, "code=snapshot-") {
				t.Errorf("the snapshot was rejected:\n%s", log)
			}
			s.finishAndAudit()
		})
	}
}

// logSnapshot logs which nodes are in a daemon's stored snapshot, with their start times.
func (s *startupFixture) logSnapshot(i int) {
	s.t.Helper()
	text, err := os.ReadFile(filepath.Join(s.Dir(i), "learned"))
	s.must(err)
	stored, err := snapshot.Parse("stored", text)
	s.must(err)
	s.Fleet.mu.Lock()
	defer s.Fleet.mu.Unlock()
	for _, n := range stored.Nodes {
		s.t.Logf("in the snapshot: %s, start time %.0f, window %v, latency %v ms", n.ID, n.StartTime, n.Window, n.Latency)
	}
	s.t.Logf("start times in the list: %v", s.startTimes)
}

// A process gets its snapshot from a process of the other version under load, while its link to the other one of that
// version is cut.
func TestSnapshotOverCutLinkBetweenVersions(t *testing.T) {
	for _, x := range versionDirections {
		t.Run(x.name, func(t *testing.T) {
			writer, reader := versionPair(t, x.writerPrevious)
			const starting, unreachable, giving = 0, 1, 2
			s := newStartupFixture(t, Options{ListInConfig: true}, nil, nil, true)
			s.Proc(starting).daemon, s.Proc(unreachable).daemon, s.Proc(giving).daemon = reader, writer, writer
			s.launchDaemons(s.allDaemons()...)
			s.startTraffic()
			file := func(i int) string { return filepath.Join(s.Dir(i), "learned") }
			s.waitEach("its startup is complete", func(i int) bool { _, err := os.Stat(file(i)); return err == nil })
			s.waitMetric("peers_members", func(_ int, v float64) bool { return v == 3 })
			s.killDaemon(starting)
			s.must(os.Remove(file(starting)))
			s.setPeerFault(link.Fault{Cut: true}, [2]int{starting, unreachable})
			s.restartNodes(0, 2)
			s.launchDaemons(starting)
			s.waitUntil("it takes the reachable daemon's snapshot", func() bool {
				return s.listens(starting) && s.metric(starting, "peers_taken_snapshots") == 1
			})
			if n := s.metric(giving, "peers_given_snapshots"); n != 1 {
				t.Errorf("daemon %d handed over %v snapshots", giving, n)
			}
			if n := s.metric(unreachable, "peers_given_snapshots"); n != 0 {
				t.Errorf("daemon %d, behind the cut link, handed over %v snapshots", unreachable, n)
			}
			s.waitServed(minServed)
			s.setPeerFault(link.Fault{}, [2]int{starting, unreachable})
			s.waitMetric("peers_members", func(_ int, v float64) bool { return v == 3 })
			s.finishAndAudit()
		})
	}
}

// recordedFiles are the settings, site and iSCSI files that have every key, in a directory of their own and with addresses
// and paths that are free on this machine.
type recordedFiles struct {
	t                     *testing.T
	ctx                   context.Context
	dir                   string
	listen, iscsi         string
	metrics, clientSocket string // paths of Unix sockets
}

func newRecordedFiles(ctx context.Context, t *testing.T, dir string) *recordedFiles {
	t.Helper()
	f := &recordedFiles{t: t, ctx: ctx, dir: dir, metrics: filepath.Join(dir, "m"), clientSocket: filepath.Join(dir, "x")}
	f.listen, f.iscsi = f.freeAddress(), f.freeAddress()
	quoted := func(address string) string { return fmt.Sprintf("%q", address) }
	f.copyFile("config.json", "127.10.0.1:8443", f.listen, "127.13.0.1:9000", f.freeAddress())
	f.copyFile("iscsi.json", `"127.0.0.1:3260"`, quoted(f.iscsi))
	f.copyFile("site.json", "testdata/recorded-files", dir, "/run/m", f.metrics, "/run/x", f.clientSocket, "/var/x", dir+"/learned",
		"/etc/key", dir+"/key", `"[::1]:80"`, quoted(f.freeAddress()), `"127.0.0.1:3261"`, quoted(f.freeAddress()),
		`"127.0.0.1:7000"`, quoted(f.freeAddress()), "127.0.0.9:7000", f.freeAddress())
	f.copyFile("rules.json", `"c"`, `"tide-look"`)
	f.copyFile("token.key")
	f.copyFile("seeds.txt")
	f.must(os.WriteFile(filepath.Join(dir, "key"), []byte(strings.Repeat("0a", 16)), 0o600))
	return f
}

func (f *recordedFiles) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *recordedFiles) freeAddress() string {
	f.t.Helper()
	address, err := FreeAddress()
	f.must(err)
	return address
}

// copyFile copies a recorded file, with texts replaced that must each occur.
func (f *recordedFiles) copyFile(name string, pairs ...string) {
	f.t.Helper()
	b, err := os.ReadFile(filepath.Join("..", "..", "config", "testdata", "recorded-files", name))
	f.must(err)
	text := string(b)
	for pair := range slices.Chunk(pairs, 2) {
		if !strings.Contains(text, pair[0]) {
			f.t.Fatalf("%s does not contain %s", name, pair[0])
		}
		text = strings.ReplaceAll(text, pair[0], pair[1])
	}
	f.must(os.WriteFile(filepath.Join(f.dir, name), []byte(text), 0o600))
}

// serve runs a daemon on the files until it has answered at each kind of listener, and returns the answers to clients and
// the names of its metrics. The daemon must exit with code 0.
func (f *recordedFiles) serve(daemon string) (responses, metricNames []string) {
	f.t.Helper()
	p := NewProc(daemon, filepath.Join(f.dir, "config.json"), filepath.Join(f.dir, "log"), "n0", f.listen,
		"--site", filepath.Join(f.dir, "site.json"), "--iscsi", filepath.Join(f.dir, "iscsi.json"))
	earlierLog := len(p.Log())
	f.must(p.Start())
	defer p.KillAndWait()
	for !strings.Contains(p.Log()[earlierLog:], "msg=serving") {
		if !p.Alive() || f.ctx.Err() != nil {
			f.t.Fatalf("%s does not serve:\n%s", daemon, p.Log()[earlierLog:])
		}
		time.Sleep(pollInterval)
	}
	responses = []string{f.request("tcp", f.listen), f.request("unix", f.clientSocket)}
	initiator, err := net.Dial("tcp", f.iscsi)
	f.must(err)
	f.must(initiator.Close())
	metricNames = f.metricNames()
	f.must(p.Signal(syscall.SIGTERM))
	if err := p.Wait(f.ctx); err != nil {
		f.t.Errorf("%s: %v\n%s", daemon, err, p.Log()[earlierLog:])
	}
	return responses, metricNames
}

// request sends a request to a client listener and describes the response.
func (f *recordedFiles) request(network, address string) string {
	f.t.Helper()
	const request = "GET /tide-look/x HTTP/1.1\r\nHost: o\r\nX-Request-Id: r1\r\nTier: fjord-town\r\nCookie: extent=7f3a9c21e0b4d655\r\n" +
		"X-Deadline-Ms: 900\r\nIO-Info: volume=00000003b4d60021,units=2,shard=0,hosts=1\r\n\r\n"
	nc, err := net.Dial(network, address)
	f.must(err)
	defer nc.Close()
	_, err = io.WriteString(nc, request)
	f.must(err)
	var r fasthttp.Response
	f.must(r.Read(bufio.NewReader(nc)))
	return fmt.Sprintf("%s: code %d, Retry-After present: %v, body %q", network, r.StatusCode(), len(r.Header.Peek("Retry-After")) > 0, r.Body())
}

var metricName = regexp.MustCompile(`(?m)^[a-z]\w*(\{[^}]*\})?`)

// metricNames returns the names of the daemon's metrics with their labels.
func (f *recordedFiles) metricNames() []string {
	f.t.Helper()
	scraper := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "unix", f.metrics)
	}}}
	r, err := scraper.Get("http://m/metrics")
	f.must(err)
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	f.must(err)
	names := metricName.FindAllString(string(text), -1)
	slices.Sort(names)
	return slices.Compact(names)
}

// addedMetrics are the metrics that the previous version lacks, in order.
var addedMetrics = []string{
	`wheatsaddle_client_connections{state="fresh"}`,
	`wheatsaddle_client_connections{state="handling"}`,
	`wheatsaddle_client_connections{state="idle"}`,
	`wheatsaddle_client_connections{state="lingering"}`,
	`wheatsaddle_client_connections{state="reading"}`,
	"wheatsaddle_client_longest_read_seconds",
	"wheatsaddle_client_requests_interrupted",
	"wheatsaddle_client_requests_timed_out",
	"wheatsaddle_core_guard_timers",
	"wheatsaddle_core_module_requests",
	"wheatsaddle_core_requests",
	"wheatsaddle_limit_memory_bytes",
	"wheatsaddle_limit_processes",
	"wheatsaddle_limit_sockets",
	"wheatsaddle_memory_account_bytes",
	`wheatsaddle_memory_bytes{kind="block_data"}`,
	`wheatsaddle_memory_bytes{kind="block_session"}`,
	`wheatsaddle_memory_bytes{kind="client_connection"}`,
	`wheatsaddle_memory_bytes{kind="gathered_read"}`,
	`wheatsaddle_memory_bytes{kind="node_connection"}`,
	`wheatsaddle_memory_bytes{kind="request"}`,
	`wheatsaddle_memory_bytes{kind="request_body"}`,
	`wheatsaddle_memory_bytes{kind="request_id"}`,
	`wheatsaddle_memory_bytes{kind="response"}`,
	`wheatsaddle_memory_bytes{kind="table"}`,
	`wheatsaddle_memory_denied{kind="block_data"}`,
	`wheatsaddle_memory_denied{kind="block_session"}`,
	`wheatsaddle_memory_denied{kind="client_connection"}`,
	`wheatsaddle_memory_denied{kind="gathered_read"}`,
	`wheatsaddle_memory_denied{kind="node_connection"}`,
	`wheatsaddle_memory_denied{kind="request"}`,
	`wheatsaddle_memory_denied{kind="request_body"}`,
	`wheatsaddle_memory_denied{kind="request_id"}`,
	`wheatsaddle_memory_denied{kind="response"}`,
	`wheatsaddle_memory_denied{kind="table"}`,
	"wheatsaddle_node_connections_unrequested_bytes",
	"wheatsaddle_request_body_memory_bytes",
	"wheatsaddle_request_body_memory_limit_bytes",
	"wheatsaddle_request_ids_evicted",
	"wheatsaddle_request_ids_owned",
	"wheatsaddle_request_ids_unpublished",
}

// eventCounters are the prefixes of the counters of events, which have a series for each reason that has occurred.
var eventCounters = []string{"wheatsaddle_request_ended{reason=", "wheatsaddle_node_connection_closed{reason=", "wheatsaddle_client_connection_closed{reason="}

// withoutEventCounters separates the names of the counters of events from the others.
func withoutEventCounters(names []string) (others, events []string) {
	for _, name := range names {
		isEvent := slices.ContainsFunc(eventCounters, func(prefix string) bool { return strings.HasPrefix(name, prefix) })
		if isEvent {
			events = append(events, name)
		} else {
			others = append(others, name)
		}
	}
	return others, events
}

// Both versions serve on the same settings, site and iSCSI files with every section: they open the same listeners, answer
// alike and have the same metrics, but for addedMetrics.
func TestRecordedFilesServeInBothVersions(t *testing.T) {
	ctx := beginScenario(t)
	previous := previousDaemon(t)
	dir, err := os.MkdirTemp("", "files") // short enough for a Unix socket's path
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	f := newRecordedFiles(ctx, t, dir)
	wantResponses, wantNames := f.serve(previous)
	responses, names := f.serve(daemonPath)
	names, events := withoutEventCounters(names)
	if !slices.ContainsFunc(events, func(name string) bool { return strings.HasPrefix(name, "wheatsaddle_request_ended{") }) {
		t.Errorf("no counter of the rejected request in %q", events)
	}
	if !strings.Contains(responses[0], "503, Retry-After present: true") || !slices.Equal(responses, wantResponses) {
		t.Errorf("responses %q, previous version %q", responses, wantResponses)
	}
	wantNames = slices.Sorted(slices.Values(append(wantNames, addedMetrics...)))
	if len(names) < 20 || !slices.Equal(names, wantNames) {
		t.Errorf("%d metrics %q, want those of the previous version and the added ones, %d %q", len(names), names, len(wantNames), wantNames)
	}
}
