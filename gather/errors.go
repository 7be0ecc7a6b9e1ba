package gather

import (
	"fmt"

	"wheatsaddle/internal/operr"
)

// RulesBad is the error for invalid rules. Key is the path of the invalid key.
type RulesBad struct{ Key, Why string }

func (e *RulesBad) Error() string { return fmt.Sprintf("gather: rules: %s: %s", e.Key, e.Why) }

// Code implements operr.Coded.
func (*RulesBad) Code() string { return "gather-rules-bad" }

// Advice implements operr.Coded.
func (*RulesBad) Advice() string {
	return "correct the key that the error names; docs/gather.md has each key with an example"
}

// PartsBad is the error for a list of parts that cannot be merged, because it is empty, names a part twice or needs too much
// memory, and for a part that is not in the list.
type PartsBad struct{ Part, Why string }

func (e *PartsBad) Error() string { return fmt.Sprintf("gather: part %q: %s", e.Part, e.Why) }

// Code implements operr.Coded.
func (*PartsBad) Code() string { return "gather-parts-bad" }

// Advice implements operr.Coded.
func (*PartsBad) Advice() string { return "name each part once, or raise memory in the class's rules" }

// CopiesOver is the error for a copy of a part over the limit of copies in the rules. None of its data was accepted.
type CopiesOver struct {
	Part  string
	Limit int
}

func (e *CopiesOver) Error() string {
	return fmt.Sprintf("gather: part %q: more than %d copies", e.Part, e.Limit)
}

// Code implements operr.Coded.
func (*CopiesOver) Code() string { return "gather-copies-over" }

// Advice implements operr.Coded.
func (*CopiesOver) Advice() string {
	return "send fewer copies of a part, or raise copies in the rules"
}

// Full is the error for a piece that is larger than the part's free memory. None of it was accepted, and it may be added again
// after Next.
type Full struct {
	Part          string
	Offered, Room int // bytes
}

func (e *Full) Error() string {
	return fmt.Sprintf("gather: part %q: %d bytes offered, room for %d", e.Part, e.Offered, e.Room)
}

// Code implements operr.Coded.
func (*Full) Code() string { return "gather-full" }

// Advice implements operr.Coded.
func (*Full) Advice() string {
	return "send no more than Want allows, or raise memory.bytes in the rules"
}

// RecordBad is the error for an unreadable record. The part is truncated before it.
type RecordBad struct {
	Part     string
	Position int64 // of the record in the part, from 0
	Why      string
}

func (e *RecordBad) Error() string {
	return fmt.Sprintf("gather: part %q: record %d: %s", e.Part, e.Position, e.Why)
}

// Code implements operr.Coded.
func (*RecordBad) Code() string { return "gather-record-bad" }

// Advice implements operr.Coded.
func (*RecordBad) Advice() string {
	return "look at the record on its shard, or correct the key's type in the rules"
}

// Unsorted is the error for a record that sorts before its predecessor. The part is in conflict and truncated before it.
type Unsorted struct {
	Part     string
	Position int64
}

func (e *Unsorted) Error() string {
	return fmt.Sprintf("gather: part %q: record %d is not in the rules' order", e.Part, e.Position)
}

// Code implements operr.Coded.
func (*Unsorted) Code() string { return "gather-unsorted" }

// Advice implements operr.Coded.
func (*Unsorted) Advice() string {
	return "let the shard sort by the rules' keys; for text, by the same locale and version"
}

// Diverged is the error for a copy of a part that differs from another copy. The copy is ignored from then on.
type Diverged struct {
	Part string
	Copy int
	At   int64 // bytes from the start; the first difference is at or before it
}

func (e *Diverged) Error() string {
	return fmt.Sprintf("gather: part %q: copy %d differs from the others within the first %d bytes", e.Part, e.Copy, e.At)
}

// Code implements operr.Coded.
func (*Diverged) Code() string { return "gather-diverged" }

// Advice implements operr.Coded.
func (*Diverged) Advice() string {
	return "compare the replicas of the shard; read again with one of them"
}

// Never is the reason of a part that was dropped without any data, if the caller gave no other.
type Never struct{ Part string }

func (e *Never) Error() string {
	return fmt.Sprintf("gather: part %q: given up", e.Part)
}

// Code implements operr.Coded.
func (*Never) Code() string { return "gather-never" }

// Advice implements operr.Coded.
func (*Never) Advice() string { return "look at the shard, or lower complete in the rules" }

// Limited is the end of a copy that stopped at its row limit, so the part may have more rows: End(part, copy, &Limited{}).
type Limited struct{}

func (*Limited) Error() string { return "gather: the part stopped at the rows it was asked for" }

// Code implements operr.Coded.
func (*Limited) Code() string { return "gather-limited" }

// Advice implements operr.Coded.
func (*Limited) Advice() string { return "none needed: Want asks for more where more is needed" }

// GroupOver is the error for a group of duplicates that exceeds the memory. The merge ends before it.
type GroupOver struct {
	Key                   string
	Rows, Bytes           int
	RowsLimit, BytesLimit int
}

func (e *GroupOver) Error() string {
	return fmt.Sprintf("gather: duplicates of %s: %d rows, %d bytes; limits %d, %d", e.Key, e.Rows, e.Bytes, e.RowsLimit, e.BytesLimit)
}

// Code implements operr.Coded.
func (*GroupOver) Code() string { return "gather-group-over" }

// Advice implements operr.Coded.
func (*GroupOver) Advice() string {
	return "raise memory in the rules, or let fewer rows have the same key"
}

// RowOver is the error for a first row that is larger than truncate.bytes, so that no page could ever hold it.
type RowOver struct{ Bytes, Limit int64 }

func (e *RowOver) Error() string {
	return fmt.Sprintf("gather: a row of %d bytes, truncate.bytes is %d", e.Bytes, e.Limit)
}

// Code implements operr.Coded.
func (*RowOver) Code() string { return "gather-row-over" }

// Advice implements operr.Coded.
func (*RowOver) Advice() string { return "raise truncate.bytes in the rules" }

// Incomplete is the error of a merge that ended before a row for which too few parts were read.
type Incomplete struct{ Parts, Lost, Need int }

func (e *Incomplete) Error() string {
	return fmt.Sprintf("gather: %d of %d parts missing or cut, %d needed", e.Lost, e.Parts, e.Need)
}

// Code implements operr.Coded.
func (*Incomplete) Code() string { return "gather-incomplete" }

// Advice implements operr.Coded.
func (*Incomplete) Advice() string {
	return "go on with the token when the named parts are back, or lower complete in the rules"
}

// TokenBad is the error for a token that was made elsewhere or was changed.
type TokenBad struct{ Why string }

func (e *TokenBad) Error() string { return "gather: token: " + e.Why }

// Code implements operr.Coded.
func (*TokenBad) Code() string { return "gather-token-bad" }

// Advice implements operr.Coded.
func (*TokenBad) Advice() string { return "begin again without a token" }

// TokenRules is the error for a token that was made under other rules.
type TokenRules struct{ Made, Have string }

func (e *TokenRules) Error() string {
	return fmt.Sprintf("gather: token: made under rules %s, these are %s", e.Made, e.Have)
}

// Code implements operr.Coded.
func (*TokenRules) Code() string { return "gather-token-rules" }

// Advice implements operr.Coded.
func (*TokenRules) Advice() string {
	return "begin again without a token: the rules have changed since"
}

func init() {
	operr.Register(&RulesBad{}, &PartsBad{}, &CopiesOver{}, &Full{}, &RecordBad{}, &Unsorted{}, &Diverged{}, &Never{},
		&Limited{}, &Told{}, &GroupOver{}, &RowOver{}, &Incomplete{}, &TokenBad{}, &TokenRules{})
}
