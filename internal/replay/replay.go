// Package replay reads HAR 1.2 files and access logs (common and combined format) and converts their entries to core
// requests, as a source of load for tests and rehearsals. Bodies are filler of the recorded size, because a recording may
// contain card data, which must not be passed on.
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
	maxHARBytes  = 256 << 20 // size of a HAR file, which is read into memory at once; a log is read line by line
	maxLineBytes = 64 << 10
	maxBodyBytes = 64 << 10
	// logTimeLayout is the layout of the time in an access log's line.
	logTimeLayout = "02/Jan/2006:15:04:05 -0700"
)

// Mapping defines how recorded traffic is converted to requests.
type Mapping struct {
	Classes   map[string]time.Duration // known classes and their deadlines; nil: any class
	Prefixes  map[string]string        // path prefix to class; the longest match applies, else the first part of the path
	Plan      string                   // of requests without a recorded plan
	Deadline  time.Duration            // if Classes is nil and none was recorded
	UnitBytes float64                  // bytes of one unit of work
	MaxUnits  float64                  // maximum units of a request; 0: no maximum
	Shards    int                      // number of shards over which keys are distributed
	Hosts     int                      // number of hosts through which a volume's requests are sent
}

// Entry is one recorded request.
type Entry struct {
	Line    int           // line of a log, or number of a HAR entry, from 1
	At      time.Duration // since the first entry
	Write   bool
	URI     string
	Bytes   int
	Request core.Request
}

// InvalidLine is a line of a log or an entry of a HAR file that could not be converted.
type InvalidLine struct {
	Line int
	Err  error
}

func (b InvalidLine) Error() string { return fmt.Sprintf("line %d: %v", b.Line, b.Err) }

// Recording has the entries of a file in order of time, and its invalid lines.
type Recording struct {
	Entries      []Entry
	InvalidLines []InvalidLine
}

// recordedRequest is a request as recorded, before its conversion.
type recordedRequest struct {
	at          time.Time
	method, uri string
	owner       string // determines the volume: a log's user or else client address, or the host of a HAR entry's URL
	bytes       int
	plan, key   string
	ioInfo      string
	deadline    string
	retry       bool
}

// Read reads a HAR file, which starts with a brace, or an access log.
func Read(in io.Reader, m Mapping) (*Recording, error) {
	br := bufio.NewReader(in)
	for {
		b, err := br.Peek(1)
		if err != nil {
			return nil, fmt.Errorf("replay: file is empty or not readable: %w", err)
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

// addEntry converts one recorded request and adds it to the entries or the invalid lines.
func (r *Recording) addEntry(line int, recorded recordedRequest, m Mapping) {
	e, err := m.newEntry(recorded)
	if err != nil {
		r.InvalidLines = append(r.InvalidLines, InvalidLine{line, err})
		return
	}
	e.Line = line
	e.Request.ID = fmt.Sprintf("replay-%d", line)
	e.Request.ReceivedAt = recorded.at
	r.Entries = append(r.Entries, e)
}

// sortByTime sorts the entries by time, and sets their times since the first.
func (r *Recording) sortByTime() *Recording {
	slices.SortStableFunc(r.Entries, func(a, b Entry) int { return a.Request.ReceivedAt.Compare(b.Request.ReceivedAt) })
	for i := range r.Entries {
		r.Entries[i].At = r.Entries[i].Request.ReceivedAt.Sub(r.Entries[0].Request.ReceivedAt)
	}
	return r
}

func hexHash(text string) string {
	h := fnv.New64a()
	_, _ = io.WriteString(h, text)
	return fmt.Sprintf("%016x", h.Sum64())
}

func (m Mapping) classOf(path string) string {
	longest, class := -1, ""
	for prefix, c := range m.Prefixes {
		if strings.HasPrefix(path, prefix) && len(prefix) > longest {
			longest, class = len(prefix), c
		}
	}
	if longest < 0 {
		class, _, _ = strings.Cut(strings.TrimPrefix(path, "/"), "/")
	}
	return class
}

func (m Mapping) newEntry(recorded recordedRequest) (e Entry, err error) {
	switch recorded.method {
	case "GET", "HEAD":
	case "PUT", "POST", "PATCH":
		e.Write = true
	default:
		return e, fmt.Errorf("method %.20q is neither a read nor a write", recorded.method)
	}
	u, err := url.ParseRequestURI(recorded.uri)
	if err != nil || !strings.HasPrefix(u.Path, "/") {
		return e, fmt.Errorf("path %.60q is malformed", recorded.uri)
	}
	request := &e.Request
	if request.Class = m.classOf(u.Path); request.Class == "" {
		return e, fmt.Errorf("path %.60q has no class", recorded.uri)
	}
	request.Timeout = m.Deadline
	if m.Classes != nil {
		deadline, ok := m.Classes[request.Class]
		if !ok {
			return e, fmt.Errorf("class %.40q is unknown", request.Class)
		}
		request.Timeout = deadline
	}
	if recorded.deadline != "" {
		ms, err := strconv.ParseUint(recorded.deadline, 10, 31)
		if err != nil || ms == 0 {
			return e, fmt.Errorf("X-Deadline-Ms %.20q is not a number of milliseconds above 0", recorded.deadline)
		}
		request.Timeout = time.Duration(ms) * time.Millisecond
	}
	e.URI, e.Bytes = u.RequestURI(), recorded.bytes
	if suffix, found := strings.CutPrefix(e.URI, "/"+request.Class); !found || suffix != "" && suffix[0] != '/' && suffix[0] != '?' {
		e.URI = "/" + request.Class + e.URI // the platform's paths begin with the class
	}
	request.Plan, request.Key, request.ClientRetry = firstNonEmpty(recorded.plan, m.Plan), firstNonEmpty(recorded.key, hexHash(u.Path)), recorded.retry
	request.Volume, request.Schedulers = hexHash("volume "+recorded.owner), max(1, m.Hosts)
	request.Units = math.Max(1, math.Ceil(float64(recorded.bytes)/math.Max(m.UnitBytes, 1)))
	if m.MaxUnits > 0 {
		request.Units = math.Min(request.Units, m.MaxUnits)
	}
	if m.Shards > 0 {
		h := fnv.New32a()
		_, _ = io.WriteString(h, request.Key)
		request.Shard = int(h.Sum32() % uint32(m.Shards))
	}
	return e, recorded.applyIOInfo(&request.Request)
}

func firstNonEmpty(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// applyIOInfo applies the fields of a recorded IO-Info header to the request.
func (x recordedRequest) applyIOInfo(r *policy.Request) error {
	if x.ioInfo == "" {
		return nil
	}
	for _, part := range strings.Split(x.ioInfo, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		var err error
		switch name {
		case "volume":
			r.Volume = value
		case "units":
			if r.Units, err = strconv.ParseFloat(value, 64); err == nil && !(r.Units > 0 && r.Units <= 1e6) {
				err = errors.New("out of range")
			}
		case "shard":
			r.Shard, err = strconv.Atoi(value)
		case "hosts":
			r.Schedulers, err = strconv.Atoi(value)
		}
		if err != nil {
			return fmt.Errorf("IO-Info: %s: %w", name, err)
		}
	}
	return nil
}

// logLinePattern matches the common log format and the combined one, which adds the referer and the user agent.
var logLinePattern = regexp.MustCompile(`^(\S+) \S+ (\S+) \[([^\]]+)\] "([A-Z]+) (\S+)(?: HTTP/[0-9.]+)?" (\d{3}) (\d+|-)(?: "(?:[^"\\]|\\.)*" "(?:[^"\\]|\\.)*")?\s*$`)

func readLog(in *bufio.Reader, m Mapping) (*Recording, error) {
	recording := &Recording{}
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	lineNumber := 0
	for scanner.Scan() {
		lineNumber++
		text := scanner.Text()
		if strings.TrimSpace(text) == "" {
			continue
		}
		fields := logLinePattern.FindStringSubmatch(text)
		if fields == nil {
			recording.InvalidLines = append(recording.InvalidLines, InvalidLine{lineNumber, errors.New("neither the common nor the combined log format")})
			continue
		}
		at, err := time.Parse(logTimeLayout, fields[3])
		if err != nil {
			recording.InvalidLines = append(recording.InvalidLines, InvalidLine{lineNumber, fmt.Errorf("time %.40q is malformed", fields[3])})
			continue
		}
		recorded := recordedRequest{at: at, method: fields[4], uri: fields[5], owner: fields[2]}
		if recorded.owner == "-" {
			recorded.owner = fields[1]
		}
		if fields[7] != "-" {
			if recorded.bytes, err = strconv.Atoi(fields[7]); err != nil {
				recording.InvalidLines = append(recording.InvalidLines, InvalidLine{lineNumber, fmt.Errorf("size %.30q is out of range", fields[7])})
				continue
			}
		}
		recording.addEntry(lineNumber, recorded, m)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("replay: line %d: %w", lineNumber+1, err)
	}
	return recording.sortByTime(), nil
}

func readHAR(in io.Reader, m Mapping) (*Recording, error) {
	text, err := io.ReadAll(io.LimitReader(in, maxHARBytes+1))
	if err != nil {
		return nil, fmt.Errorf("replay: %w", err)
	}
	if len(text) > maxHARBytes {
		return nil, fmt.Errorf("replay: the HAR file is larger than %d MiB", maxHARBytes>>20)
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
	recording, entryNumber := &Recording{}, 0
	entries.ForEach(func(_, e gjson.Result) bool {
		entryNumber++
		recorded, err := parseHAREntry(e)
		if err != nil {
			recording.InvalidLines = append(recording.InvalidLines, InvalidLine{entryNumber, err})
			return true
		}
		recording.addEntry(entryNumber, recorded, m)
		return true
	})
	return recording.sortByTime(), nil
}

func parseHAREntry(e gjson.Result) (recorded recordedRequest, err error) {
	if recorded.at, err = time.Parse(time.RFC3339Nano, e.Get("startedDateTime").String()); err != nil {
		return recorded, fmt.Errorf("startedDateTime: %.40q is malformed", e.Get("startedDateTime").String())
	}
	request := e.Get("request")
	u, err := url.Parse(request.Get("url").String())
	if err != nil || u.Path == "" && u.Host == "" {
		return recorded, fmt.Errorf("request.url: %.60q is malformed", request.Get("url").String())
	}
	recorded.method, recorded.uri, recorded.owner = request.Get("method").String(), u.RequestURI(), u.Host
	size := e.Get("response.content.size")
	if recorded.method == "PUT" || recorded.method == "POST" || recorded.method == "PATCH" {
		size = request.Get("bodySize")
	}
	if size.Num > math.MaxInt32 {
		return recorded, fmt.Errorf("size %v is out of range", size.Num)
	}
	recorded.bytes = max(0, int(size.Num)) // -1: unknown
	request.Get("headers").ForEach(func(_, h gjson.Result) bool {
		v := h.Get("value").String()
		switch strings.ToLower(h.Get("name").String()) {
		case "tier":
			recorded.plan = v
		case "io-info":
			recorded.ioInfo = v
		case "x-deadline-ms":
			recorded.deadline = v
		case "x-retry":
			recorded.retry = v == "1"
		case "cookie":
			for _, c := range strings.Split(v, ";") {
				if name, value, _ := strings.Cut(strings.TrimSpace(c), "="); name == "extent" {
					recorded.key = value
				}
			}
		}
		return true
	})
	return recorded, nil
}

// AppendHTTP appends the entry as an HTTP request of the platform with the given request id.
func (e *Entry) AppendHTTP(dst []byte, id string) []byte {
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
	bodyBytes := min(e.Bytes, maxBodyBytes)
	dst = fmt.Appendf(dst, "Idempotency-Key: %s\r\nContent-Length: %d\r\n\r\n", id, bodyBytes)
	return append(dst, bytes.Repeat([]byte{'.'}, bodyBytes)...)
}

// AppendJSON appends the entry as one line of JSON.
func (e *Entry) AppendJSON(dst []byte) []byte {
	r := &e.Request
	text, err := json.Marshal(map[string]any{"at_ms": e.At.Milliseconds(), "id": r.ID, "write": e.Write, "uri": e.URI, "class": r.Class,
		"plan": r.Plan, "key": r.Key, "volume": r.Volume, "units": r.Units, "shard": r.Shard, "hosts": r.Schedulers,
		"bytes": e.Bytes, "deadline_ms": r.Timeout.Milliseconds(), "retry": r.ClientRetry})
	if err != nil { // these values always encode
		panic(err)
	}
	return append(append(dst, text...), '\n')
}

// ClassSummary has the totals of one class of a recording.
type ClassSummary struct {
	Name                string
	Count, Writes       int
	Rate                float64 // requests per second over the whole recording
	Units               float64
	MeanBytes, MaxBytes int
}

// SummarizeClasses returns the totals of each class and the duration of the recording.
func (r *Recording) SummarizeClasses() (classes []ClassSummary, duration time.Duration) {
	summaries := map[string]*ClassSummary{}
	for i := range r.Entries {
		e := &r.Entries[i]
		c := summaries[e.Request.Class]
		if c == nil {
			c = &ClassSummary{Name: e.Request.Class}
			summaries[c.Name] = c
		}
		c.Count++
		if e.Write {
			c.Writes++
		}
		c.Units += e.Request.Units
		c.MeanBytes += e.Bytes
		c.MaxBytes = max(c.MaxBytes, e.Bytes)
		duration = max(duration, e.At)
	}
	for _, c := range summaries {
		c.MeanBytes /= c.Count
		c.Rate = float64(c.Count) / math.Max(duration.Seconds(), 1)
		classes = append(classes, *c)
	}
	sort.Slice(classes, func(i, j int) bool { return classes[i].Name < classes[j].Name })
	return classes, duration
}
