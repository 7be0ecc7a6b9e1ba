package nodestats

import (
	"encoding/binary"
	"math"
	"slices"
	"time"
)

const (
	countScale  = 64      // units of a bin's count in a message
	maxBinCount = 1 << 34 // of a bin, in units
	maxLoad     = 1e9     // of a window or a queue
	maxAgeMs    = 1 << 40 // of a cell
)

// wireCell is a cell in a message.
type wireCell struct {
	id   cellID
	seq  uint64
	age  time.Duration // rounded up to milliseconds in a message
	body []byte
}

func (c *wireCell) append(b []byte) []byte {
	b = binary.AppendUvarint(b, c.seq)
	b = binary.AppendUvarint(b, uint64((max(c.age, 0)+time.Millisecond-1)/time.Millisecond))
	b = appendName(appendName(b, c.id.node), c.id.class)
	return append(binary.AppendUvarint(b, uint64(len(c.body))), c.body...)
}

func (d *decoder) cell() wireCell {
	c := wireCell{seq: d.uint(maxSequence), age: time.Duration(d.uint(maxAgeMs)) * time.Millisecond}
	c.id = cellID{d.name(), d.name()}
	c.body = d.take(int(d.uint(maxMessageBytes)))
	if d.problem == "" {
		d.problem = c.id.check(c.body)
	}
	return c
}

// decodeCells decodes a complete message of cells, or returns an error. The cells do not refer to the message's memory.
func decodeCells(message []byte) (origin string, incarnation uint64, cells []wireCell, err error) {
	if len(message) > maxMessageBytes {
		return "", 0, nil, &DecodeError{"message is too long"}
	}
	d, err := openMessage(message, kindCells)
	if err != nil {
		return "", 0, nil, err
	}
	origin, incarnation = d.name(), d.uint(maxSequence)
	if origin == "" {
		d.fail("the origin has no name")
	}
	for len(d.rest) > 0 && d.problem == "" {
		cells = append(cells, d.cell())
	}
	if d.problem != "" {
		return "", 0, nil, &DecodeError{d.problem}
	}
	for i := range cells {
		cells[i].body = slices.Clone(cells[i].body)
	}
	return origin, incarnation, cells, nil
}

// check returns a description of the problem with a cell's body, or an empty string if the body is valid.
func (id cellID) check(body []byte) string {
	d := &decoder{rest: body}
	switch {
	case id.node == "" && id.class == "":
		if d.int(); len(d.rest) > 0 {
			d.fail("a list version is too long")
		}
	case id.node == "":
		d.fail("a class has no node")
	case id.class == "":
		d.int() // the start time
		d.health()
	default:
		var stats classStats
		d.classStats(&stats)
	}
	return d.problem
}

// encode returns the body of a cell that contains a node's health.
func (h Health) encode(startTime int64) []byte {
	b := binary.AppendVarint(nil, startTime)
	b = appendName(b, h.Type)
	b = binary.AppendVarint(b, int64(h.Shard))
	warmingUp := byte(0)
	if h.WarmingUp {
		warmingUp = 1
	}
	return appendFloat(appendFloat(append(b, warmingUp), h.Window), h.Queue)
}

// health decodes a node's health, which follows its start time.
func (d *decoder) health() Health {
	h := Health{Type: d.name(), Shard: int(d.int()), WarmingUp: d.byte() != 0}
	h.Window, h.Queue = d.float(maxLoad), d.float(maxLoad)
	if len(d.rest) > 0 {
		d.fail("a node's health is too long")
	}
	return h
}

// encode returns the body of a cell that contains the statistics of a class.
func (c *classStats) encode() []byte {
	b := binary.AppendVarint(nil, c.startTime)
	for _, d := range [...]*decayedCounts{&c.long, &c.short} {
		for _, v := range d.fields() {
			b = appendFloat(b, *v)
		}
	}
	last := 0
	for i, n := range c.bins {
		if count := min(uint64(math.Round(n*countScale)), maxBinCount); count > 0 {
			b = binary.AppendUvarint(b, uint64(i-last))
			b = binary.AppendUvarint(b, count)
			last = i
		}
	}
	return b
}

// classStats decodes the statistics of a class into stats. The caller provides the memory, since the value is large.
func (d *decoder) classStats(stats *classStats) {
	*stats = classStats{startTime: d.int()}
	for _, counts := range [...]*decayedCounts{&stats.long, &stats.short} {
		for _, v := range counts.fields() {
			*v = d.float(maxSum)
		}
	}
	total := d.bins(&stats.bins)
	if !stats.long.sums.plausible() || !stats.short.sums.plausible() || !stats.short.isPartOf(&stats.long) ||
		total > stats.short.sums.N*1.01+2 { // bins are rounded
		d.fail("sums are inconsistent")
	}
}

// bins decodes latency bins and returns their sum.
func (d *decoder) bins(bins *[numBins]float64) (total float64) {
	at := 0
	for first := true; len(d.rest) > 0; first = false {
		step := d.uint(numBins - 1)
		if step == 0 && !first || at+int(step) >= numBins {
			d.fail("bins are out of order")
			return total
		}
		at += int(step)
		bins[at] = float64(d.uint(maxBinCount)) / countScale
		total += bins[at]
	}
	return total
}

// plausible reports whether some observations can have these sums, apart from rounding (Cauchy-Schwarz inequality).
func (s Sums) plausible() bool {
	const slack = 1 + 1e-6
	return s.X*s.X <= s.N*s.XX*slack && s.Y*s.Y <= s.N*s.YY*slack && s.XY*s.XY <= s.XX*s.YY*slack
}
