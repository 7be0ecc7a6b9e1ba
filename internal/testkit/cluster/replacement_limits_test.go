package cluster

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	longBody   = 30 << 20 // bytes
	bytesPerMB = 1_000_000
	fillTime   = 2500 * time.Millisecond // for the load to fill a process
	killAfter  = 3700 * time.Millisecond // from SIGTERM to SIGKILL, with deadlines of 3 s
	// pieceInterval is the time between two pieces of 64 KiB that a client writes, so that the clients leave processor time to the
	// processes.
	pieceInterval = 5 * time.Millisecond
	logSharing    = "limits shared between the processes of the scheduler"
	logWholeLine  = "processes=1"
)

// limitsFixture is one scheduler whose processes replace each other under load. It samples what they hold together.
type limitsFixture struct {
	t        *testing.T
	ctx      context.Context
	dir      string
	config   Config
	passed   *os.File
	mu       sync.Mutex // guards the fields below
	procs    []*Proc
	peak     held
	overAt   string // when the limit was first passed
	samples  int
	stop     chan struct{}
	ended    sync.WaitGroup
	requests atomic.Int64
	served   atomic.Int64 // small requests
	rejected atomic.Int64
	failed   atomic.Int64 // small requests that were not answered
	bodies   atomic.Int64 // long bodies that were answered
}

// longPath is the end of the path of requests that are answered with longResponse.
const longPath = "/long"

var longResponse = strings.Repeat("x", 8<<20)

// held is what the processes hold together.
type held struct{ anonymousKB, sockets int }

// slowNode reads request bodies slowly and answers everything with 200.
func slowNode(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go serveSlowly(nc)
		}
	}()
	return ln.Addr().String()
}

func serveSlowly(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	for reader := bufio.NewReader(nc); ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		for {
			_, err := io.CopyN(io.Discard, request.Body, 64<<10)
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				return
			}
			time.Sleep(30 * time.Millisecond)
		}
		body := "ok"
		if strings.HasSuffix(request.URL.Path, longPath) {
			body = longResponse
		}
		if _, err := fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
			return
		}
	}
}

func newLimitsFixture(t *testing.T, memoryMB, sockets int) *limitsFixture {
	t.Helper()
	ctx := beginScenario(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	passed, err := ln.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	discovery, err := FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	settings := Defaults(1, 0, 1)
	for _, class := range settings["profiles"].([]map[string]any) {
		class["deadline"] = 3000
	}
	f := &limitsFixture{t: t, ctx: ctx, dir: t.TempDir(), passed: passed, stop: make(chan struct{})}
	f.config = Config{Name: "n0", Listen: ln.Addr().String(), Discovery: discovery, Seed: 7, MemoryMB: memoryMB, Sockets: sockets, Settings: settings,
		Endpoints: []Entry{{Name: "s", Address: slowNode(t), Status: "active", Weight: 1}}}
	t.Cleanup(func() {
		close(f.stop)
		for _, p := range f.all() {
			p.KillAndWait()
		}
		f.ended.Wait()
		_ = passed.Close()
		_ = ln.Close()
	})
	f.background(f.sample)
	return f
}

func (f *limitsFixture) background(run func()) {
	f.ended.Add(1)
	go func() {
		defer f.ended.Done()
		run()
	}()
}

func (f *limitsFixture) all() []*Proc {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Proc(nil), f.procs...)
}

// start starts one more process and waits until it is ready.
func (f *limitsFixture) start() *Proc {
	f.t.Helper()
	admin, err := FreeAddress()
	if err != nil {
		f.t.Fatal(err)
	}
	n := len(f.all())
	config := f.config
	config.AdminAddress = admin
	file := filepath.Join(f.dir, fmt.Sprintf("config-%d.json", n))
	if err := config.Write(file); err != nil {
		f.t.Fatal(err)
	}
	p := NewProc(daemonPath, file, filepath.Join(f.dir, fmt.Sprint("log-", n)), fmt.Sprint("process ", n), config.Listen)
	p.PassSocket(f.passed, admin)
	f.mu.Lock()
	err = p.Start()
	f.procs = append(f.procs, p)
	f.mu.Unlock()
	if err != nil {
		f.t.Fatal(err)
	}
	f.await(p.Name+" is ready", func() bool { return p.Ready() == nil })
	return p
}

func (f *limitsFixture) await(what string, condition func() bool) {
	f.t.Helper()
	for !condition() {
		select {
		case <-f.ctx.Done():
			f.t.Fatalf("waited in vain: %s\n%s", what, f.logs())
		case <-time.After(pollInterval):
		}
	}
}

func (f *limitsFixture) logs() string {
	text := ""
	for _, p := range f.all() {
		log := p.Log()
		text += p.Name + ":\n" + log[max(0, len(log)-maxLogBytes):] + "\n"
	}
	return text
}

// replace replaces the old process as the platform does.
func (f *limitsFixture) replace(old *Proc) *Proc {
	f.t.Helper()
	startedAt, requests, served, rejected := time.Now(), f.requests.Load(), f.served.Load(), f.rejected.Load()
	next := f.start()
	readyAt := time.Now()
	f.terminate(old)
	f.t.Logf("ready after %v, the old process ended %v later; small requests meanwhile: %d sent, %d served, %d rejected",
		readyAt.Sub(startedAt).Round(time.Millisecond), time.Since(readyAt).Round(time.Millisecond),
		f.requests.Load()-requests, f.served.Load()-served, f.rejected.Load()-rejected)
	return next
}

// terminate sends SIGTERM, and SIGKILL to a process that has not ended in time.
func (f *limitsFixture) terminate(old *Proc) {
	f.t.Helper()
	if err := old.Signal(syscall.SIGTERM); err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(f.ctx, killAfter)
	defer cancel()
	if err := old.Wait(ctx); err != nil {
		f.t.Errorf("%s: %v", old.Name, err)
		old.KillAndWait()
	}
}

// awaitWhole waits until a process has logged that it is alone and has the whole limit.
func (f *limitsFixture) awaitWhole(p *Proc) {
	f.t.Helper()
	f.await(p.Name+" has the whole limit", func() bool {
		lines := strings.Split(p.Log(), "\n")
		for i := len(lines) - 1; i >= 0; i-- {
			if strings.Contains(lines[i], logSharing) {
				return strings.Contains(lines[i], logWholeLine) && strings.Contains(lines[i], fmt.Sprintf("sockets=%d", f.config.Sockets))
			}
		}
		return false
	})
}

// sample records what the processes hold together until the end of the test.
func (f *limitsFixture) sample() {
	start := time.Now()
	for {
		select {
		case <-f.stop:
			return
		case <-time.After(4 * time.Millisecond):
		}
		sum, detail := held{}, ""
		for _, p := range f.all() {
			if p.Alive() {
				h := readHeld(p.PID())
				sum.anonymousKB += h.anonymousKB
				sum.sockets += h.sockets
				detail += fmt.Sprintf(" %s: %d kB, %d sockets;", p.Name, h.anonymousKB, h.sockets)
			}
		}
		f.mu.Lock()
		f.samples++
		f.peak = held{max(f.peak.anonymousKB, sum.anonymousKB), max(f.peak.sockets, sum.sockets)}
		if f.overAt == "" && f.isOver(sum) {
			f.overAt = fmt.Sprintf("%v:%s", time.Since(start).Round(time.Millisecond), detail)
		}
		f.mu.Unlock()
	}
}

func (f *limitsFixture) isOver(h held) bool {
	return h.anonymousKB<<10 > f.config.MemoryMB*bytesPerMB || h.sockets > f.config.Sockets
}

// readHeld reads what a process holds; an ended process holds nothing.
func readHeld(pid int) (h held) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return h
	}
	_, rest, _ := strings.Cut(string(status), "RssAnon:")
	if fields := strings.Fields(rest); len(fields) > 0 {
		h.anonymousKB, _ = strconv.Atoi(fields[0])
	}
	descriptors, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return h
	}
	for _, descriptor := range descriptors {
		if target, err := os.Readlink(descriptor); err == nil && strings.HasPrefix(target, "socket:") {
			h.sockets++
		}
	}
	return h
}

// check fails the test if the limit was passed, or a request was lost.
func (f *limitsFixture) check() {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.t.Logf("peak %d kB and %d sockets of %d MB and %d, %d samples; %d bodies answered; of %d small requests %d served, %d rejected, %d lost",
		f.peak.anonymousKB, f.peak.sockets, f.config.MemoryMB, f.config.Sockets, f.samples, f.bodies.Load(), f.requests.Load(), f.served.Load(), f.rejected.Load(), f.failed.Load())
	for _, p := range f.procs {
		f.t.Logf("%s rejected by reason: %v", p.Name, rejections(p.Log()))
	}
	if f.overAt != "" {
		f.t.Errorf("over the limit at %s", f.overAt)
	}
	if f.served.Load() == 0 {
		f.t.Error("no small request was served")
	}
}

var (
	rejectedLine   = regexp.MustCompile(`kind=rejected.* reason=([a-z-]+)`)
	suppressedText = regexp.MustCompile(`suppressed=(\d+)`)
)

// rejections returns how many requests a process has rejected, by reason, from its log.
func rejections(log string) map[string]int {
	counts := map[string]int{}
	for _, line := range strings.Split(log, "\n") {
		if found := rejectedLine.FindStringSubmatch(line); found != nil {
			counts[found[1]]++
			if suppressed := suppressedText.FindStringSubmatch(line); suppressed != nil {
				n, _ := strconv.Atoi(suppressed[1])
				counts[found[1]] += n
			}
		}
	}
	return counts
}

// writeBodies starts clients that write long bodies, again and again.
func (f *limitsFixture) writeBodies(clients int) {
	for i := range clients {
		f.background(func() {
			for n := 0; f.pause(300 * time.Millisecond); n++ {
				if code := f.send(fmt.Sprintf("body-%d-%d", i, n), "write", longBody); code > 0 {
					f.bodies.Add(1)
				}
			}
		})
	}
}

// readSmall starts clients that send small requests, each on a connection of its own.
func (f *limitsFixture) readSmall(clients int) {
	for i := range clients {
		f.background(func() {
			for n := 0; f.pause(5 * time.Millisecond); n++ {
				f.requests.Add(1)
				switch code := f.send(fmt.Sprintf("small-%d-%d", i, n), "read", 0); {
				case code == http.StatusOK:
					f.served.Add(1)
				case code > 0:
					f.rejected.Add(1)
				default:
					f.failed.Add(1)
				}
			}
		})
	}
}

// openIdle opens connections that send nothing after one request, and opens them again when they are closed.
func (f *limitsFixture) openIdle(count int) {
	for i := range count {
		f.background(func() {
			for n := 0; f.pause(300 * time.Millisecond); n++ {
				nc, err := net.DialTimeout("tcp", f.config.Listen, time.Second)
				if err != nil {
					continue
				}
				stopped := make(chan struct{})
				go func() {
					defer close(stopped)
					_, _ = io.Copy(io.Discard, nc)
				}()
				_, _ = io.WriteString(nc, f.head(fmt.Sprintf("idle-%d-%d", i, n), "read", 0))
				select {
				case <-stopped:
				case <-f.stop:
				}
				_ = nc.Close()
				<-stopped
			}
		})
	}
}

// readSlowly starts clients that read long responses slowly, again and again.
func (f *limitsFixture) readSlowly(clients int) {
	for i := range clients {
		f.background(func() {
			for n := 0; f.pause(100 * time.Millisecond); n++ {
				nc, err := net.DialTimeout("tcp", f.config.Listen, time.Second)
				if err != nil {
					continue
				}
				_, _ = io.WriteString(nc, strings.Replace(f.head(fmt.Sprintf("long-%d-%d", i, n), "read", 0), "/object", longPath, 1))
				for err == nil && f.pause(20*time.Millisecond) {
					_ = nc.SetReadDeadline(time.Now().Add(2 * time.Second))
					_, err = io.CopyN(io.Discard, nc, 16<<10)
				}
				_ = nc.Close()
			}
		})
	}
}

// pause waits, and returns false at the end of the test.
func (f *limitsFixture) pause(d time.Duration) bool {
	select {
	case <-f.stop:
		return false
	case <-time.After(d):
		return true
	}
}

func (f *limitsFixture) head(id, class string, size int) string {
	method := "GET"
	if size > 0 {
		method = "PUT"
	}
	return fmt.Sprintf("%s /%s/object HTTP/1.1\r\nHost: o\r\nX-Request-Id: %s\r\nTier: %s\r\nCookie: extent=00000000b4d60021\r\nX-Deadline-Ms: 2500\r\n"+
		"Content-Length: %d\r\nIO-Info: volume=00000003b4d60021,units=1,shard=0,hosts=1\r\n\r\n", method, class, id, defaultPlan, size)
}

// send sends one request on a connection of its own and returns the status code; 0: no answer.
func (f *limitsFixture) send(id, class string, size int) int {
	nc, err := net.DialTimeout("tcp", f.config.Listen, 2*time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = nc.Close() }()
	_ = nc.SetDeadline(time.Now().Add(8 * time.Second))
	if _, err := io.WriteString(nc, f.head(id, class, size)); err != nil {
		return 0
	}
	piece := make([]byte, 64<<10)
	for sent := 0; sent < size; sent += len(piece) {
		if _, err := nc.Write(piece); err != nil {
			break // it may have been answered
		}
		if !f.pause(pieceInterval) {
			return 0
		}
	}
	response, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// Guards against two processes of one scheduler that each use the whole limit on memory or sockets during a replacement (review 6).
// Its load takes the machine's cores: the parallel tests of the package wait until it has ended.
func TestReplacementStaysWithinTheLimits(t *testing.T) {
	for _, x := range []struct {
		name              string
		memoryMB, sockets int
		bodies, idle      int
		slowReaders       int
		run               func(f *limitsFixture, active *Proc) *Proc // returns the process that is left
	}{
		{"a full process", 192, 1024, 40, 0, 0, (*limitsFixture).fillAndReplace},
		{"a full process at the lowest limit", 64, 256, 40, 0, 0, (*limitsFixture).fillAndReplace},
		{"a half full process", 512, 1024, 8, 0, 0, (*limitsFixture).fillAndReplace},
		{"an empty process", 128, 256, 0, 0, 0, (*limitsFixture).fillAndReplace},
		{"slow readers", 96, 512, 4, 0, 100, (*limitsFixture).fillAndReplace},
		{"idle connections at few sockets", 128, 64, 0, 200, 0, (*limitsFixture).fillAndReplace},
		{"bodies and idle connections", 96, 512, 20, 400, 0, (*limitsFixture).fillAndReplace},
		{"replacements in a row", 128, 512, 40, 50, 0, func(f *limitsFixture, active *Proc) *Proc {
			for range 3 {
				active = f.fillAndReplace(active)
			}
			return active
		}},
		{"the new process dies", 128, 512, 40, 50, 0, func(f *limitsFixture, active *Proc) *Proc {
			f.pause(fillTime)
			next := f.start()
			f.pause(time.Second)
			next.KillAndWait()
			f.awaitWhole(active)
			f.pause(time.Second)
			return f.replace(active)
		}},
		{"the old process is killed", 128, 512, 40, 50, 0, func(f *limitsFixture, active *Proc) *Proc {
			f.pause(fillTime)
			next := f.start()
			active.KillAndWait()
			return next
		}},
		{"the old process is killed while it drains", 128, 512, 40, 50, 0, func(f *limitsFixture, active *Proc) *Proc {
			f.pause(fillTime)
			next := f.start()
			_ = active.Signal(syscall.SIGTERM) // it is killed next
			f.pause(100 * time.Millisecond)
			active.KillAndWait()
			return next
		}},
		{"three processes", 192, 512, 40, 50, 0, func(f *limitsFixture, active *Proc) *Proc {
			f.pause(fillTime)
			first, second := f.start(), f.start()
			f.terminate(active)
			f.pause(time.Second)
			serving, waiting := first, second
			if !strings.Contains(first.Log(), logAccepting) {
				serving, waiting = second, first
			}
			f.terminate(serving)
			return waiting
		}},
		{"another limit in between", 192, 512, 40, 0, 0, func(f *limitsFixture, active *Proc) *Proc {
			f.pause(fillTime)
			f.mu.Lock()
			f.config.MemoryMB = 256
			f.mu.Unlock()
			next := f.start()
			f.pause(time.Second)
			f.terminate(active)
			return next
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			f := newLimitsFixture(t, x.memoryMB, x.sockets)
			defer f.check()
			active := f.start()
			f.writeBodies(x.bodies)
			f.openIdle(x.idle)
			f.readSlowly(x.slowReaders)
			f.readSmall(4)
			left := x.run(f, active)
			f.awaitWhole(left)
			served := f.served.Load()
			f.await("small requests are served", func() bool { return f.served.Load() > served+10 })
		})
	}
}

// fillAndReplace replaces a process after the load had time to fill it.
func (f *limitsFixture) fillAndReplace(active *Proc) *Proc {
	f.t.Helper()
	f.pause(fillTime)
	next := f.replace(active)
	f.awaitWhole(next)
	return next
}

// Guards against a process that stays over a lower limit: what it holds at a reload ends with the requests that hold it, at their
// deadline at the latest.
// The subtest has the cores to itself, as those of TestReplacementStaysWithinTheLimits.
func TestLowerMemoryLimitAtReload(t *testing.T) {
	t.Run("a full process", lowerMemoryLimit)
}

func lowerMemoryLimit(t *testing.T) {
	f := newLimitsFixture(t, 192, 512)
	p := f.start()
	f.writeBodies(40)
	f.readSmall(4)
	f.pause(fillTime)
	lower := f.config
	lower.MemoryMB, lower.AdminAddress = 96, p.adminAddress
	if err := lower.Write(p.config); err != nil {
		t.Fatal(err)
	}
	if before := readHeld(p.PID()).anonymousKB << 10; before < lower.MemoryMB*bytesPerMB {
		t.Fatalf("the process holds only %d bytes", before)
	}
	if err := p.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	reloadedAt, lastOver := time.Now(), time.Duration(0)
	for since := time.Duration(0); since < 2*killAfter; since = time.Since(reloadedAt) {
		if readHeld(p.PID()).anonymousKB<<10 > lower.MemoryMB*bytesPerMB {
			lastOver = since
		}
		f.pause(4 * time.Millisecond)
	}
	t.Logf("over the lower limit for %v", lastOver)
	if lastOver > killAfter {
		t.Errorf("over the lower limit until %v after the signal, want at most the longest deadline and 0.7 s", lastOver)
	}
	f.check()
}
