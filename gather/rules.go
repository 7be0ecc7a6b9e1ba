package gather

import (
	"bytes"
	"crypto/sha256"
	_ "embed"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/collate"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// Schema is the JSON Schema (draft 2020-12) of rules by class; one class's is $defs/rules in it.
//
//go:embed rules.schema.json
var Schema []byte

// Rules say how the parts of one class of reads become one result. They come from ParseRules or
// ParseClasses and are not changed afterwards; several merges may use them at once.
type Rules struct {
	Records    Records    `json:"records"`
	Order      []Key      `json:"order"`
	Duplicates Duplicates `json:"duplicates"`
	Truncate   Truncate   `json:"truncate"`
	Complete   Complete   `json:"complete"`
	Memory     Memory     `json:"memory"`
	Copies     int        `json:"copies"`    // copies of one part under way at once, default 8
	Conflicts  int        `json:"conflicts"` // conflicts named by key, default 100; all are counted

	hash [16]byte
}

// Records is the form of rows in a part.
type Records struct {
	Form     string `json:"form"`      // "json-lines" (default) or "length-prefixed"
	MaxBytes int    `json:"max_bytes"` // of one record, default 64 KiB
}

// Key is one field of the order.
type Key struct {
	Key       string `json:"key"`       // dotted names; in length-prefixed records the number of the field
	Type      string `json:"type"`      // bytes, integer (64 bits), decimal, time (RFC 3339), text
	Locale    string `json:"locale"`    // of text: a BCP 47 tag, with collation options in -u-
	Equal     string `json:"equal"`     // of text: equal by "bytes" (default) or by "locale"
	Direction string `json:"direction"` // "ascending" (default) or "descending"
	Absent    string `json:"absent"`    // rows without it "first" or "last" (default), in either direction
}

// Duplicates are rows with equal keys.
type Duplicates struct {
	Keep    string   `json:"keep"`    // all (default), first, last, highest, agree
	By      int      `json:"by"`      // equal in how many keys of the order; default all of them
	Parts   int      `json:"parts"`   // of agree: parts that must hold the same row
	Version *Version `json:"version"` // of highest
}

// Version is the field that the highest row is chosen by; a row without it is the lowest.
type Version struct {
	Key  string `json:"key"`
	Type string `json:"type"`
}

// Truncate is where the result ends; 0 is no limit.
type Truncate struct {
	Offset int   `json:"offset"` // rows passed over first
	Rows   int   `json:"rows"`   // rows after them; the parts are read as far as needed
	Top    int   `json:"top"`    // the same, and the parts are asked for no more
	Bytes  int64 `json:"bytes"`  // sum of the rows' bytes
}

// Complete is how many parts must have been read as far as a row for it to go out.
type Complete struct {
	Need  string `json:"need"`  // all (default), at-least, best-effort
	Parts int    `json:"parts"` // of at-least
}

// Memory bounds what one merge holds. A part has an equal share of Bytes and duplicates have one more.
type Memory struct {
	Rows  int `json:"rows"`  // rows decoded at once, default 65536
	Bytes int `json:"bytes"` // bytes that wait and rows of a group, default 64 MiB
}

// ParseRules reads the rules of one class. The error is a *RulesBad that names the key.
func ParseRules(text []byte) (*Rules, error) {
	return parse("", text)
}

// ParseClasses reads rules by class: {"classes": {"listing": {...}, ...}}.
func ParseClasses(text []byte) (map[string]*Rules, error) {
	if err := check("", text); err != nil {
		return nil, err
	}
	var all struct{ Classes map[string]json.RawMessage }
	if err := json.Unmarshal(text, &all); err != nil {
		return nil, &RulesBad{"(text)", err.Error()}
	}
	rules := map[string]*Rules{}
	for _, name := range sortedNames(all.Classes) {
		r, err := parse("classes."+name+".", all.Classes[name])
		if err != nil {
			return nil, err
		}
		rules[name] = r
	}
	return rules, nil
}

func sortedNames(m map[string]json.RawMessage) []string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

func parse(at string, text []byte) (*Rules, error) {
	if err := check("#/$defs/rules", text); err != nil {
		return nil, err
	}
	r := &Rules{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, &RulesBad{at + "(text)", err.Error()}
	}
	r.defaults()
	if key, why := r.nonsense(); why != "" {
		return nil, &RulesBad{at + key, why}
	}
	text, err := json.Marshal(r)
	if err != nil {
		return nil, &RulesBad{at + "(text)", err.Error()}
	}
	// Another version of the collation tables is another order.
	sum := sha256.Sum256(append(text, "gather 1 "+collate.CLDRVersion+" "+collate.UnicodeVersion...))
	copy(r.hash[:], sum[:])
	return r, nil
}

func check(fragment string, text []byte) error {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return &RulesBad{"(text)", "not valid JSON: " + err.Error()}
	}
	form, err := jsonschema.UnmarshalJSON(bytes.NewReader(Schema))
	if err != nil {
		return err
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("wheatsaddle:gather", form); err != nil {
		return err
	}
	s, err := c.Compile("wheatsaddle:gather" + fragment)
	if err != nil {
		return err
	}
	err = s.Validate(doc)
	var v *jsonschema.ValidationError
	if !errors.As(err, &v) {
		return err
	}
	for len(v.Causes) > 0 {
		v = v.Causes[0]
	}
	key := strings.Join(v.InstanceLocation, ".")
	if key == "" {
		key = "(text)"
	}
	return &RulesBad{key, v.ErrorKind.LocalizedString(message.NewPrinter(language.English))}
}

func (r *Rules) defaults() {
	or(&r.Records.Form, "json-lines")
	or(&r.Records.MaxBytes, 64<<10)
	for i := range r.Order {
		or(&r.Order[i].Direction, "ascending")
		or(&r.Order[i].Absent, "last")
	}
	or(&r.Duplicates.Keep, "all")
	or(&r.Complete.Need, "all")
	or(&r.Memory.Rows, 1<<16)
	or(&r.Memory.Bytes, 64<<20)
	or(&r.Copies, 8)
	or(&r.Conflicts, 100)
}

func or[T comparable](to *T, def T) {
	var zero T
	if *to == zero {
		*to = def
	}
}

// nonsense finds what a schema cannot say.
func (r *Rules) nonsense() (key, why string) {
	seen := map[string]bool{}
	for i := range r.Order {
		k, at := &r.Order[i], fmt.Sprintf("order.%d.", i)
		if why := r.field(k.Key); why != "" {
			return at + "key", why
		}
		if seen[k.Key] {
			return at + "key", fmt.Sprintf("%q is in the order twice", k.Key)
		}
		seen[k.Key] = true
		if k.Type != "text" {
			if k.Locale != "" {
				return at + "locale", "only text has one"
			}
			if k.Equal != "" {
				return at + "equal", "only text has one"
			}
			continue
		}
		or(&k.Equal, "bytes")
		tag, err := language.Parse(k.Locale)
		if k.Locale == "" || err != nil {
			return at + "locale", fmt.Sprintf("%q is not a BCP 47 tag, e.g. \"sv\"; text needs one", k.Locale)
		}
		base, _ := tag.Base()
		if tag != language.Und && !slices.ContainsFunc(collate.Supported(), func(t language.Tag) bool {
			b, _ := t.Base()
			return b == base
		}) && base.String() != "en" {
			return at + "locale", fmt.Sprintf("%q has no collation; \"und\" is the root's", k.Locale)
		}
	}
	d := &r.Duplicates
	switch {
	case d.By > len(r.Order):
		return "duplicates.by", fmt.Sprintf("%d keys, the order has %d", d.By, len(r.Order))
	case d.By > 0 && d.Keep == "all":
		return "duplicates.by", "has no meaning where all are kept"
	case (d.Parts > 0) != (d.Keep == "agree"):
		return "duplicates.parts", "keep agree needs it, and no other has it"
	case (d.Version != nil) != (d.Keep == "highest"):
		return "duplicates.version", "keep highest needs it, and no other has it"
	}
	if d.By == 0 && d.Keep != "all" {
		d.By = len(r.Order)
	}
	if d.Version != nil {
		if why := r.field(d.Version.Key); why != "" {
			return "duplicates.version.key", why
		}
		if slices.ContainsFunc(r.Order[:d.By], func(k Key) bool { return k.Key == d.Version.Key }) {
			return "duplicates.version.key", "duplicates are equal in it: it cannot choose among them"
		}
	}
	switch {
	case r.Truncate.Rows > 0 && r.Truncate.Top > 0:
		return "truncate.top", "rows is given too; one of them"
	case (r.Complete.Parts > 0) != (r.Complete.Need == "at-least"):
		return "complete.parts", "at-least needs it, and no other has it"
	case r.Memory.Bytes < 4*r.Records.MaxBytes:
		return "memory.bytes", fmt.Sprintf("%d is under four records of records.max_bytes (%d)", r.Memory.Bytes, r.Records.MaxBytes)
	}
	return "", ""
}

func (r *Rules) field(name string) string {
	if r.Records.Form == "length-prefixed" {
		if n, err := strconv.Atoi(name); err != nil || n < 0 || n > 255 || strconv.Itoa(n) != name {
			return fmt.Sprintf("%q is not the number of a field, 0 to 255", name)
		}
	}
	return ""
}

// Hash names the rules: equal for texts that mean the same. Tokens and partial results carry it.
func (r *Rules) Hash() string { return hex.EncodeToString(r.hash[:]) }

// limit is the number of rows of a page; 0 is no limit.
func (r *Rules) limit() int { return r.Truncate.Rows + r.Truncate.Top }

func (r *Rules) grouped() bool { return r.Duplicates.Keep != "all" }
