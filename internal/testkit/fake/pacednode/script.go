// Package pacednode is a fake storage node that reads requests and writes responses at a pace which each request sets in its
// query. It speaks HTTP/1.1 over TCP, answers every complete request with 200, and records each attempt that it received:
// when it began, when its last byte came, and how much of the response the scheduler accepted.
//
// It has no queue, no limits and no shards of its own; fake/node has those.
package pacednode

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Framing is how a response states its end.
type Framing string

// The framings.
const (
	Length  Framing = "length"
	Chunked Framing = "chunked"
	Close   Framing = "close" // neither a length nor chunks: the end of the connection ends the response
)

// Pattern is how a response body is written over Script.Duration.
type Pattern string

// The patterns.
const (
	Steady   Pattern = "steady"    // in small pieces at equal intervals
	Lumps    Pattern = "lumps"     // in a few large pieces at equal intervals
	LateBody Pattern = "late-body" // the head at once, the whole body after Duration
	Stops    Pattern = "stops"     // the head and half of the body at once, and nothing more
	Rhythm   Pattern = "rhythm"    // with the rests that Script.HeadRest, BodyRest and Rests give
)

const (
	steadyInterval = 20 * time.Millisecond
	lumpCount      = 5
)

// Script tells a node how to handle one request. The zero value is a small response at once.
type Script struct {
	ReadRate int           // bytes of the request body per second; 0: as fast as it arrives
	Work     time.Duration // from the last byte of the request to the first byte of the response
	Size     int           // bytes of the response body
	Framing  Framing       // "": Length
	Pattern  Pattern       // "": the whole response at once
	Duration time.Duration // from the first byte of the response to its last
	// ReadRests are rests in the read of the request body, which they cut into equal pieces. The first comes after the first piece.
	ReadRests []time.Duration
	HeadRest  time.Duration   // in the middle of the response's head
	BodyRest  time.Duration   // between the head and the first byte of the body; 0: both come at once
	Rests     []time.Duration // between equal lumps of the body
	// Early answers after the first piece of the request body; the rest of it is read after the answer.
	Early bool
}

// ResponseTime returns the time from the last byte of the request to the last byte of the response.
func (s Script) ResponseTime() time.Duration {
	if s.Pattern != Rhythm {
		return s.Work + s.Duration
	}
	return s.FirstByteTime() + sum(s.Rests)
}

// FirstByteTime returns the time from the last byte of the request to the first byte of the response's body.
func (s Script) FirstByteTime() time.Duration {
	if s.Pattern != Rhythm {
		return s.Work
	}
	return s.Work + s.HeadRest + s.BodyRest
}

// ReadTime returns how long the node takes to read a request body of a size.
func (s Script) ReadTime(size int) time.Duration {
	if s.ReadRate > 0 {
		return time.Duration(size) * time.Second / time.Duration(s.ReadRate)
	}
	return sum(s.ReadRests)
}

func sum(rests []time.Duration) (total time.Duration) {
	for _, rest := range rests {
		total += rest
	}
	return total
}

// Query returns the script as the query of a request's path, beside the shard that other fakes read.
func (s Script) Query(shard int) string {
	query := fmt.Sprintf("shard=%d&readrate=%d&work=%s&size=%d&framing=%s&pattern=%s&duration=%s",
		shard, s.ReadRate, s.Work, s.Size, s.Framing, s.Pattern, s.Duration)
	if len(s.ReadRests) > 0 {
		query += "&readrests=" + formatRests(s.ReadRests)
	}
	if s.Pattern == Rhythm {
		query += fmt.Sprintf("&headrest=%s&bodyrest=%s&rests=%s", s.HeadRest, s.BodyRest, formatRests(s.Rests))
	}
	if s.Early {
		query += "&early=1"
	}
	return query
}

// formatRests returns rests as a list that parseRests reads.
func formatRests(rests []time.Duration) string {
	var texts []string
	for _, rest := range rests {
		texts = append(texts, rest.String())
	}
	return strings.Join(texts, ",")
}

// parseRests reads a list of rests. Malformed ones are 0.
func parseRests(list string) (rests []time.Duration) {
	if list == "" {
		return nil
	}
	for _, text := range strings.Split(list, ",") {
		rest, _ := time.ParseDuration(text)
		rests = append(rests, rest)
	}
	return rests
}

// parseScript returns the script of a query. Keys that are absent or malformed have their zero value.
func parseScript(query url.Values) Script {
	s := Script{Framing: Framing(query.Get("framing")), Pattern: Pattern(query.Get("pattern"))}
	s.ReadRate, _ = strconv.Atoi(query.Get("readrate"))
	s.Size, _ = strconv.Atoi(query.Get("size"))
	s.Work, _ = time.ParseDuration(query.Get("work"))
	s.Duration, _ = time.ParseDuration(query.Get("duration"))
	s.HeadRest, _ = time.ParseDuration(query.Get("headrest"))
	s.BodyRest, _ = time.ParseDuration(query.Get("bodyrest"))
	s.Rests, s.ReadRests = parseRests(query.Get("rests")), parseRests(query.Get("readrests"))
	s.Early = query.Get("early") != ""
	if s.Framing == "" {
		s.Framing = Length
	}
	return s
}

// pieces returns the sizes of the pieces that a body is written in, and the pause before each but the first. The pauses of a rhythm
// are its Rests.
func (s Script) pieces() (sizes []int, pause time.Duration) {
	count := 1
	if s.Pattern == Rhythm {
		count = len(s.Rests) + 1
	}
	switch {
	case s.Size == 0 || s.Duration <= 0 || s.Pattern == Rhythm:
	case s.Pattern == Steady:
		count = max(2, int(s.Duration/steadyInterval))
	case s.Pattern == Lumps:
		count = lumpCount
	}
	for i := range count {
		sizes = append(sizes, s.Size*(i+1)/count-s.Size*i/count)
	}
	if count > 1 && s.Pattern != Rhythm {
		pause = s.Duration / time.Duration(count-1)
	}
	return sizes, pause
}
