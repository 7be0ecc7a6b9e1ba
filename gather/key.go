package gather

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math"
	"strconv"
	"time"
	"unicode/utf8"
	"unsafe"

	"github.com/tidwall/gjson"
	"golang.org/x/text/collate"
	"golang.org/x/text/language"
)

// A sort key is the concatenation of the order's fields, encoded so that bytes.Compare gives the rules' order: one byte for
// absent or present, then a self-terminating encoding, whose bits are inverted for a descending order.
const (
	absentFirst = 1
	present     = 2
	absentLast  = 3
)

// decoder reads the keys of rows. Each merge has its own, because collators cannot be shared.
type decoder struct {
	r            *Rules
	collators    []*collate.Collator
	collateBuf   collate.Buffer
	fields       []field // of a length-prefixed record
	fieldNumbers []int   // for each key the number of its field
}

func newDecoder(r *Rules) *decoder {
	d := &decoder{r: r, collators: make([]*collate.Collator, len(r.Order)), fieldNumbers: make([]int, len(r.Order)+1)}
	for i, k := range r.Order {
		if k.Type == "text" {
			d.collators[i] = collate.New(language.MustParse(k.Locale))
		}
		if r.Records.Form == "length-prefixed" {
			d.fieldNumbers[i], _ = strconv.Atoi(k.Key)
		}
	}
	if v := r.Duplicates.Version; v != nil && r.Records.Form == "length-prefixed" {
		d.fieldNumbers[len(r.Order)], _ = strconv.Atoi(v.Key)
	}
	return d
}

type field struct {
	text string
	set  bool
}

type valueForm uint8

const (
	formAbsent valueForm = iota
	formNumber           // JSON number
	formText             // JSON string
	formField            // field of a length-prefixed record: any type as text
	formOther
)

func stringView(b []byte) string { return unsafe.String(unsafe.SliceData(b), len(b)) }

// key appends the row's sort key to dst. group is the length of its prefix by which duplicates are equal.
func (d *decoder) key(dst, row []byte) (key []byte, group int, why string) {
	if d.r.Records.Form == "json-lines" {
		if s := bytes.TrimLeft(row, " \t"); len(s) == 0 || s[0] != '{' || !gjson.Valid(stringView(row)) {
			return dst, 0, "not a JSON object"
		}
	} else if why = d.splitFields(row); why != "" {
		return dst, 0, why
	}
	start := len(dst)
	for i := range d.r.Order {
		k := &d.r.Order[i]
		s, f := d.value(row, k.Key, i)
		if dst, why = d.encode(dst, k, i, s, f); why != "" {
			return dst, 0, fmt.Sprintf("key %s: %s", k.Key, why)
		}
		if i+1 == d.r.Duplicates.By {
			group = len(dst) - start
		}
	}
	return dst, group, ""
}

// version appends the row's version in a form that sorts by the rules.
func (d *decoder) version(dst, row []byte) ([]byte, string) {
	v := d.r.Duplicates.Version
	if d.r.Records.Form == "length-prefixed" {
		if why := d.splitFields(row); why != "" {
			return dst, why
		}
	}
	s, f := d.value(row, v.Key, len(d.r.Order))
	dst, why := d.encode(dst, &Key{Type: v.Type, Absent: "first"}, 0, s, f)
	if why != "" {
		why = fmt.Sprintf("version %s: %s", v.Key, why)
	}
	return dst, why
}

func (d *decoder) value(row []byte, path string, i int) (string, valueForm) {
	if d.r.Records.Form == "length-prefixed" {
		if n := d.fieldNumbers[i]; n < len(d.fields) && d.fields[n].set {
			return d.fields[n].text, formField
		}
		return "", formAbsent
	}
	switch v := gjson.Get(stringView(row), path); v.Type {
	case gjson.Null:
		return "", formAbsent
	case gjson.Number:
		return v.Raw, formNumber
	case gjson.String:
		return v.Str, formText
	default:
		return "", formOther
	}
}

// splitFields finds the fields of a length-prefixed record. Each is a uvarint, 0 for absent or 1 + its length, and its bytes.
func (d *decoder) splitFields(row []byte) string {
	d.fields = d.fields[:0]
	for len(row) > 0 {
		n, width := binary.Uvarint(row)
		if width <= 0 || n > uint64(len(row)-width)+1 {
			return "a field goes over the record's end"
		}
		row = row[width:]
		if n == 0 {
			d.fields = append(d.fields, field{})
			continue
		}
		d.fields = append(d.fields, field{stringView(row[:n-1]), true})
		row = row[n-1:]
	}
	return ""
}

func (d *decoder) encode(dst []byte, k *Key, i int, s string, f valueForm) ([]byte, string) {
	if f == formAbsent {
		if k.Absent == "first" {
			return append(dst, absentFirst), ""
		}
		return append(dst, absentLast), ""
	}
	dst = append(dst, present)
	start := len(dst)
	why := ""
	number, text := f == formNumber || f == formField, f == formText || f == formField
	switch {
	case k.Type == "integer" && number:
		n, err := strconv.ParseInt(s, 10, 64)
		if err != nil {
			return dst, fmt.Sprintf("%.40q is not an integer of 64 bits", s)
		}
		dst = binary.BigEndian.AppendUint64(dst, uint64(n)^1<<63)
	case k.Type == "decimal" && (number || text):
		dst, why = appendDecimal(dst, s)
	case k.Type == "time" && text:
		t, err := time.Parse(time.RFC3339Nano, s)
		if err != nil {
			return dst, fmt.Sprintf("%.40q is not a time of RFC 3339", s)
		}
		dst = binary.BigEndian.AppendUint64(dst, uint64(t.Unix())^1<<63)
		dst = binary.BigEndian.AppendUint32(dst, uint32(t.Nanosecond()))
	case k.Type == "bytes" && text:
		dst = appendBytes(dst, s)
	case k.Type == "text" && text:
		if !utf8.ValidString(s) {
			return dst, "text that is not UTF-8"
		}
		d.collateBuf.Reset()
		dst = appendBytes(dst, stringView(d.collators[i].KeyFromString(&d.collateBuf, s)))
		if k.Equal == "bytes" {
			dst = appendBytes(dst, s)
		}
	default:
		why = "is not of type " + k.Type
	}
	if k.Direction == "descending" {
		for j := start; j < len(dst); j++ {
			dst[j] = ^dst[j]
		}
	}
	return dst, why
}

// appendBytes encodes a zero byte as 0 255 and ends with 0 1, so that a shorter string sorts before a longer one.
func appendBytes(dst []byte, s string) []byte {
	for i := 0; i < len(s); i++ {
		if dst = append(dst, s[i]); s[i] == 0 {
			dst = append(dst, 255)
		}
	}
	return append(dst, 0, 1)
}

// appendDecimal encodes the sign, the power of ten of 0.ddd, the digits without leading and trailing zeros, and a
// terminator, with inverted bits if the number is negative. 1.0 and 1.00 are equal, as are 0 and -0.
func appendDecimal(dst []byte, s string) ([]byte, string) {
	message := fmt.Sprintf
	text, negative := s, false
	if len(s) > 0 && s[0] == '-' {
		negative, s = true, s[1:]
	}
	start := len(dst)
	dst = append(dst, 0x81, 0, 0, 0, 0)
	digits, point, exp, end := 0, -1, 0, len(dst)
	i := 0
	for ; i < len(s); i++ {
		switch c := s[i]; {
		case c >= '0' && c <= '9':
			digits++
			if len(dst) == start+5 && c == '0' {
				exp-- // a leading zero
				continue
			}
			if dst = append(dst, c-'0'+1); c != '0' {
				end = len(dst)
			}
			continue
		case c == '.' && point < 0 && digits > 0:
			point = digits
			continue
		case (c == 'e' || c == 'E') && digits > 0 && i+1 < len(s):
			e, err := strconv.Atoi(s[i+1:])
			if err != nil || e > 1<<29 || e < -1<<29 {
				return dst[:start], message("%.40q is not a decimal with a power of ten under 2^29", text)
			}
			exp += e
			i = len(s)
		default:
			return dst[:start], message("%.40q is not a decimal", text)
		}
	}
	if digits == 0 || point == digits {
		return dst[:start], message("%.40q is not a decimal", text)
	}
	if point < 0 {
		point = digits
	}
	if dst = dst[:end]; end == start+5 {
		return append(dst[:start], 0x80), ""
	}
	binary.BigEndian.PutUint32(dst[start+1:], uint32(int64(exp)+int64(point)+math.MaxInt32))
	dst = append(dst, 0)
	if negative {
		for j := start; j < len(dst); j++ {
			dst[j] = ^dst[j]
		}
	}
	return dst, ""
}

// AppendRow appends a row to dst as a record in the rules' form.
func (r *Rules) AppendRow(dst, row []byte) []byte {
	if r.Records.Form == "length-prefixed" {
		dst = binary.BigEndian.AppendUint32(dst, uint32(len(row)))
		return append(dst, row...)
	}
	return append(append(dst, row...), '\n')
}

// AppendField appends a field to a row of a length-prefixed record: numbers and times as text, nil for absent.
func AppendField(row, value []byte) []byte {
	if value == nil {
		return append(row, 0)
	}
	return append(binary.AppendUvarint(row, uint64(len(value))+1), value...)
}

// describeKey returns the row's keys in readable form.
func (d *decoder) describeKey(row []byte) string {
	if d.r.Records.Form == "length-prefixed" && d.splitFields(row) != "" {
		return "?"
	}
	var b []byte
	for i := range d.r.Order[:max(d.r.Duplicates.By, 1)] {
		if i > 0 {
			b = append(b, ' ')
		}
		s, f := d.value(row, d.r.Order[i].Key, i)
		b = append(append(b, d.r.Order[i].Key...), '=')
		switch f {
		case formAbsent:
			b = append(b, '-')
		case formNumber:
			b = append(b, s...)
		default:
			b = strconv.AppendQuote(b, s)
		}
	}
	return string(b)
}
