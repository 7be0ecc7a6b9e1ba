// Package replay reads HAR 1.2 files and access logs (common and combined) as sources of
// load for tests and rehearsals, and turns their entries into core requests. Bodies are
// filler of the recorded size: a recording may hold card data, which is not passed on.
package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"net/url"
	"regexp"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"wheatsaddle/internal/core"
	"wheatsaddle/policy"
)

const (
	fileMost = 256 << 20 // of a HAR file, which is held whole; a log is read line by line
	lineMost = 64 << 10
	bodyMost = 64 << 10
	// logTime is the time of an access log's line.
	logTime = "02/Jan/2006:15:04:05 -0700"
)

// Mapping says how recorded traffic becomes requests.
type Mapping struct {
	Classes   map[string]time.Duration // known classes and their deadlines; nil: any class
	Prefixes  map[string]string        // path prefix to class; the longest counts, else the first part of the path
	Plan      string
	Deadline  time.Duration // where the class names none
	UnitBytes float64
	MostUnits float64
	Shards    int
	Hosts     int
}

// Entry is one recorded request.
type Entry struct {
	Line    int           // of a log, or the number of a HAR entry, from 1
	At      time.Duration // after the first
	Write   bool
	URI     string
	Bytes   int
	Request core.Request
}

// Bad is a line or entry that could not be used.
type Bad struct {
	Line int
	Err  error
}

func (b Bad) Error() string { return fmt.Sprintf("line %d: %v", b.Line, b.Err) }

// Recording is what a file holds, in the order of time.
type Recording struct {
	Entries []Entry
	Bad     []Bad
}

// raw is an entry as recorded.
type raw struct {
	at           time.Time
	method, uri  string
	owner        string
	bytes        int
	plan, extent string
	info         string
	deadline     string
	retry        bool
}

// Read reads a file; a HAR file starts with a brace.
func Read(in io.Reader, m Mapping) (*Recording, error) {
	br := bufio.NewReader(in)
	for {
		b, err := br.Peek(1)
		if err != nil {
			return nil, fmt.Errorf("replay: empty file: %w", err)
		}
		switch b[0] {
		case ' ', '\t', '\r', '\n', 0xef, 0xbb, 0xbf:
			_, _ = br.Discard(1)
			continue
		case '{':
			return readHAR(br, m)
		}
		return readLog(br, m)
	}
}

// add maps one recorded entry.
func (r *Recording) add(line int, x raw, m Mapping) {
	e, err := m.entry(x)
	if err != nil {
		r.Bad = append(r.Bad, Bad{line, err})
		return
	}
	e.Line = line
	e.Request.ID = fmt.Sprintf("replay-%d", line)
	e.Request.ReceivedAt = x.at
	r.Entries = append(r.Entries, e)
}

// order sorts by time, and counts times from the first.
func (r *Recording) order() *Recording {
	slices.SortStableFunc(r.Entries, func(a, b Entry) int { return a.Request.ReceivedAt.Compare(b.Request.ReceivedAt) })
	for i := range r.Entries {
		r.Entries[i].At = r.Entries[i].Request.ReceivedAt.Sub(r.Entries[0].Request.ReceivedAt)
	}
	return r
}

func hash(text string) string {
	h := fnv.New64a()
	_, _ = io.WriteString(h, text)
	return fmt.Sprintf("%016x", h.Sum64())
}

func (m Mapping) class(path string) string {
	best, class := -1, ""
	for prefix, c := range m.Prefixes {
		if strings.HasPrefix(path, prefix) && len(prefix) > best {
			best, class = len(prefix), c
		}
	}
	if best < 0 {
		class, _, _ = strings.Cut(strings.TrimPrefix(path, "/"), "/")
	}
	return class
}

func (m Mapping) entry(x raw) (e Entry, err error) {
	switch x.method {
	case "GET", "HEAD":
	case "PUT", "POST", "PATCH":
		e.Write = true
	default:
		return e, fmt.Errorf("method %.20q is neither a read nor a write", x.method)
	}
	u, err := url.ParseRequestURI(x.uri)
	if err != nil || !strings.HasPrefix(u.Path, "/") {
		return e, fmt.Errorf("path %.60q is malformed", x.uri)
	}
	r := &e.Request
	if r.Class = m.class(u.Path); r.Class == "" {
		return e, fmt.Errorf("path %.60q names no class", x.uri)
	}
	r.Timeout = m.Deadline
	if m.Classes != nil {
		d, ok := m.Classes[r.Class]
		if !ok {
			return e, fmt.Errorf("class %.40q is unknown", r.Class)
		}
		r.Timeout = d
	}
	if x.deadline != "" {
		ms, err := strconv.ParseUint(x.deadline, 10, 31)
		if err != nil || ms == 0 {
			return e, fmt.Errorf("X-Deadline-Ms %.20q is no time", x.deadline)
		}
		r.Timeout = time.Duration(ms) * time.Millisecond
	}
	e.URI, e.Bytes = u.RequestURI(), x.bytes
	if rest, found := strings.CutPrefix(e.URI, "/"+r.Class); !found || rest != "" && rest[0] != '/' && rest[0] != '?' {
		e.URI = "/" + r.Class + e.URI // the class is the first part of the path
	}
	r.Plan, r.Key, r.ClientRetry = cmpOr(x.plan, m.Plan), cmpOr(x.extent, hash(u.Path)), x.retry
	r.Volume, r.Schedulers = hash("volume "+x.owner), max(1, m.Hosts)
	r.Units = math.Max(1, math.Ceil(float64(x.bytes)/math.Max(m.UnitBytes, 1)))
	if m.MostUnits > 0 {
		r.Units = math.Min(r.Units, m.MostUnits)
	}
	if m.Shards > 0 {
		h := fnv.New32a()
		_, _ = io.WriteString(h, r.Key)
		r.Shard = int(h.Sum32() % uint32(m.Shards))
	}
	return e, x.infoInto(&r.Request)
}

func cmpOr(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// infoInto takes what a recorded IO-Info header says.
func (x raw) infoInto(r *policy.Request) error {
	if x.info == "" {
		return nil
	}
	for _, part := range strings.Split(x.info, ",") {
		name, v, _ := strings.Cut(strings.TrimSpace(part), "=")
		var err error
		switch name {
		case "volume":
			r.Volume = v
		case "units":
			if r.Units, err = strconv.ParseFloat(v, 64); err == nil && !(r.Units > 0 && r.Units <= 1e6) {
				err = errors.New("out of range")
			}
		case "shard":
			r.Shard, err = strconv.Atoi(v)
		case "hosts":
			r.Schedulers, err = strconv.Atoi(v)
		}
		if err != nil {
			return fmt.Errorf("IO-Info: %s: %w", name, err)
		}
	}
	return nil
}

// line is the common log format, with the referer and agent of the combined one.
var line = regexp.MustCompile(`^(\S+) \S+ (\S+) \[([^\]]+)\] "([A-Z]+) (\S+)(?: HTTP/[0-9.]+)?" (\d{3}) (\d+|-)(?: "(?:[^"\\]|\\.)*" "(?:[^"\\]|\\.)*")?\s*$`)

func readLog(in *bufio.Reader, m Mapping) (*Recording, error) {
	r := &Recording{}
	sc := bufio.NewScanner(in)
	sc.Buffer(make([]byte, 0, 4096), lineMost)
	n := 0
	for sc.Scan() {
		n++
		text := sc.Text()
		if strings.TrimSpace(text) == "" {
			continue
		}
		f := line.FindStringSubmatch(text)
		if f == nil {
			r.Bad = append(r.Bad, Bad{n, errors.New("neither the common nor the combined log format")})
			continue
		}
		at, err := time.Parse(logTime, f[3])
		if err != nil {
			r.Bad = append(r.Bad, Bad{n, fmt.Errorf("time %.40q is malformed", f[3])})
			continue
		}
		x := raw{at: at, method: f[4], uri: f[5], owner: f[2]}
		if x.owner == "-" {
			x.owner = f[1]
		}
		if f[7] != "-" {
			if x.bytes, err = strconv.Atoi(f[7]); err != nil {
				r.Bad = append(r.Bad, Bad{n, fmt.Errorf("size %.30q is out of range", f[7])})
				continue
			}
		}
		r.add(n, x, m)
	}
	if err := sc.Err(); err != nil {
		return nil, fmt.Errorf("replay: line %d: %w", n+1, err)
	}
	return r.order(), nil
}

func readHAR(in io.Reader, m Mapping) (*Recording, error) {
	text, err := io.ReadAll(io.LimitReader(in, fileMost+1))
	if err != nil {
		return nil, fmt.Errorf("replay: %w", err)
	}
	if len(text) > fileMost {
		return nil, fmt.Errorf("replay: the file is over %d MiB", fileMost>>20)
	}
	if !gjson.ValidBytes(text) {
		return nil, errors.New("replay: not valid JSON")
	}
	log := gjson.GetBytes(text, "log")
	if v := log.Get("version").String(); v != "1.2" && v != "1.1" {
		return nil, fmt.Errorf("replay: log.version: %.20q is not HAR 1.2", v)
	}
	entries := log.Get("entries")
	if !entries.IsArray() {
		return nil, errors.New("replay: log.entries: missing or not a list")
	}
	r, n := &Recording{}, 0
	entries.ForEach(func(_, e gjson.Result) bool {
		n++
		x, err := harEntry(e)
		if err != nil {
			r.Bad = append(r.Bad, Bad{n, err})
			return true
		}
		r.add(n, x, m)
		return true
	})
	return r.order(), nil
}

func harEntry(e gjson.Result) (x raw, err error) {
	if x.at, err = time.Parse(time.RFC3339Nano, e.Get("startedDateTime").String()); err != nil {
		return x, fmt.Errorf("startedDateTime: %.40q is malformed", e.Get("startedDateTime").String())
	}
	q := e.Get("request")
	u, err := url.Parse(q.Get("url").String())
	if err != nil || u.Path == "" && u.Host == "" {
		return x, fmt.Errorf("request.url: %.60q is malformed", q.Get("url").String())
	}
	x.method, x.uri, x.owner = q.Get("method").String(), u.RequestURI(), u.Host
	size := e.Get("response.content.size")
	if x.method == "PUT" || x.method == "POST" || x.method == "PATCH" {
		size = q.Get("bodySize")
	}
	if size.Num > math.MaxInt32 {
		return x, fmt.Errorf("size %v is out of range", size.Num)
	}
	x.bytes = max(0, int(size.Num)) // -1: not known
	q.Get("headers").ForEach(func(_, h gjson.Result) bool {
		v := h.Get("value").String()
		switch strings.ToLower(h.Get("name").String()) {
		case "tier":
			x.plan = v
		case "io-info":
			x.info = v
		case "x-deadline-ms":
			x.deadline = v
		case "x-retry":
			x.retry = v == "1"
		case "cookie":
			for _, c := range strings.Split(v, ";") {
				if name, value, _ := strings.Cut(strings.TrimSpace(c), "="); name == "extent" {
					x.extent = value
				}
			}
		}
		return true
	})
	return x, nil
}

// HTTP appends the entry as the platform's message, under an id.
func (e *Entry) HTTP(dst []byte, id string) []byte {
	r, method := &e.Request, "GET"
	if e.Write {
		method = "PUT"
	}
	dst = fmt.Appendf(dst, "%s %s HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: %s\r\nTier: %s\r\nCookie: extent=%s\r\n"+
		"X-Deadline-Ms: %d\r\nIO-Info: volume=%s,units=%s,shard=%d,hosts=%d\r\n", method, e.URI, id, r.Plan, r.Key,
		r.Timeout.Milliseconds(), r.Volume, strconv.FormatFloat(r.Units, 'f', -1, 64), r.Shard, r.Schedulers)
	if r.ClientRetry {
		dst = append(dst, "X-Retry: 1\r\n"...)
	}
	if !e.Write {
		return append(dst, "\r\n"...)
	}
	n := min(e.Bytes, bodyMost)
	dst = fmt.Appendf(dst, "Idempotency-Key: %s\r\nContent-Length: %d\r\n\r\n", id, n)
	return append(dst, bytes.Repeat([]byte{'.'}, n)...)
}

// JSON appends the entry as one line of JSON.
func (e *Entry) JSON(dst []byte) []byte {
	r := &e.Request
	text, err := json.Marshal(map[string]any{"at_ms": e.At.Milliseconds(), "id": r.ID, "write": e.Write, "uri": e.URI, "class": r.Class,
		"plan": r.Plan, "key": r.Key, "volume": r.Volume, "units": r.Units, "shard": r.Shard, "hosts": r.Schedulers,
		"bytes": e.Bytes, "deadline_ms": r.Timeout.Milliseconds(), "retry": r.ClientRetry})
	if err != nil { // no value here can fail
		panic(err)
	}
	return append(append(dst, text...), '\n')
}

// Class sums up one class of a recording.
type Class struct {
	Name                 string
	Count, Writes        int
	Rate                 float64 // a second, over the whole recording
	Units                float64
	MeanBytes, MostBytes int
}

// Classes sums up a recording, class by class, and gives its length.
func (r *Recording) Classes() (out []Class, span time.Duration) {
	by := map[string]*Class{}
	for i := range r.Entries {
		e := &r.Entries[i]
		c := by[e.Request.Class]
		if c == nil {
			c = &Class{Name: e.Request.Class}
			by[c.Name] = c
		}
		c.Count++
		if e.Write {
			c.Writes++
		}
		c.Units += e.Request.Units
		c.MeanBytes += e.Bytes
		c.MostBytes = max(c.MostBytes, e.Bytes)
		span = max(span, e.At)
	}
	for _, c := range by {
		c.MeanBytes /= c.Count
		c.Rate = float64(c.Count) / math.Max(span.Seconds(), 1)
		out = append(out, *c)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out, span
}
