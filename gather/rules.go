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

// Schema is the JSON Schema (draft 2020-12) of rules by class. The rules of one class are $defs/rules in it.
//
//go:embed rules.schema.json
var Schema []byte

// Rules say how the parts of one class of reads become one result. They are made by ParseRules or
// ParseClasses and must not be changed afterwards. Several merges may use them at once.
type Rules struct {
	Records    Records    `json:"records"`
	Order      []Key      `json:"order"`
	Duplicates Duplicates `json:"duplicates"`
	Truncate   Truncate   `json:"truncate"`
	Complete   Complete   `json:"complete"`
	Memory     Memory     `json:"memory"`
	Copies     int        `json:"copies"`    // concurrent copies of one part, default 8
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
	By      int      `json:"by"`      // number of keys of the order that must be equal; default all
	Parts   int      `json:"parts"`   // of agree: number of parts that must have the same row
	Version *Version `json:"version"` // of highest
}

// Version is the field by which the highest row is chosen. A row without it is the lowest.
type Version struct {
	Key  string `json:"key"`
	Type string `json:"type"`
}

// Truncate limits the result; 0 is no limit.
type Truncate struct {
	Offset int   `json:"offset"` // rows skipped first
	Rows   int   `json:"rows"`   // rows after the offset; the parts are read as far as needed
	Top    int   `json:"top"`    // like rows, but also limits what the parts are asked for
	Bytes  int64 `json:"bytes"`  // total bytes of the rows
}

// Complete is the number of parts that must have been read as far as a row before it is returned.
type Complete struct {
	Need  string `json:"need"`  // all (default), at-least, best-effort
	Parts int    `json:"parts"` // of at-least
}

// Memory limits the data that one merge buffers. Each part has an equal share of Bytes, and duplicates have one more.
type Memory struct {
	Rows  int `json:"rows"`  // decoded rows, default 65536
	Bytes int `json:"bytes"` // buffered bytes and rows of a group, default 64 MiB
}

// ParseRules parses the rules of one class. The error is a *RulesBad that names the key.
func ParseRules(text []byte) (*Rules, error) {
	return parseRules("", text)
}

// ParseClasses parses rules by class: {"classes": {"listing": {...}, ...}}.
func ParseClasses(text []byte) (map[string]*Rules, error) {
	if err := validateSchema("", text); err != nil {
		return nil, err
	}
	var all struct{ Classes map[string]json.RawMessage }
	if err := json.Unmarshal(text, &all); err != nil {
		return nil, &RulesBad{"(text)", err.Error()}
	}
	rules := map[string]*Rules{}
	for _, name := range sortedNames(all.Classes) {
		r, err := parseRules("classes."+name+".", all.Classes[name])
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

func parseRules(prefix string, text []byte) (*Rules, error) {
	if err := validateSchema("#/$defs/rules", text); err != nil {
		return nil, err
	}
	r := &Rules{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, &RulesBad{prefix + "(text)", err.Error()}
	}
	r.defaults()
	if key, why := r.validate(); why != "" {
		return nil, &RulesBad{prefix + key, why}
	}
	text, err := json.Marshal(r)
	if err != nil {
		return nil, &RulesBad{prefix + "(text)", err.Error()}
	}
	// The hash includes the versions of the collation tables, as other versions sort differently.
	sum := sha256.Sum256(append(text, "gather 1 "+collate.CLDRVersion+" "+collate.UnicodeVersion...))
	copy(r.hash[:], sum[:])
	return r, nil
}

func validateSchema(fragment string, text []byte) error {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return &RulesBad{"(text)", "not valid JSON: " + err.Error()}
	}
	schema, err := jsonschema.UnmarshalJSON(bytes.NewReader(Schema))
	if err != nil {
		return err
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("wheatsaddle:gather", schema); err != nil {
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
	setDefault(&r.Records.Form, "json-lines")
	setDefault(&r.Records.MaxBytes, 64<<10)
	for i := range r.Order {
		setDefault(&r.Order[i].Direction, "ascending")
		setDefault(&r.Order[i].Absent, "last")
	}
	setDefault(&r.Duplicates.Keep, "all")
	setDefault(&r.Complete.Need, "all")
	setDefault(&r.Memory.Rows, 1<<16)
	setDefault(&r.Memory.Bytes, 64<<20)
	setDefault(&r.Copies, 8)
	setDefault(&r.Conflicts, 100)
}

func setDefault[T comparable](to *T, def T) {
	var zero T
	if *to == zero {
		*to = def
	}
}

// validate checks what the schema cannot express.
func (r *Rules) validate() (key, why string) {
	seen := map[string]bool{}
	for i := range r.Order {
		k, at := &r.Order[i], fmt.Sprintf("order.%d.", i)
		if why := r.checkField(k.Key); why != "" {
			return at + "key", why
		}
		if seen[k.Key] {
			return at + "key", fmt.Sprintf("%q is in the order twice", k.Key)
		}
		seen[k.Key] = true
		if k.Type != "text" {
			if k.Locale != "" {
				return at + "locale", "is allowed for type text only"
			}
			if k.Equal != "" {
				return at + "equal", "is allowed for type text only"
			}
			continue
		}
		setDefault(&k.Equal, "bytes")
		tag, err := language.Parse(k.Locale)
		if k.Locale == "" || err != nil {
			return at + "locale", fmt.Sprintf("%q is not a BCP 47 tag like \"sv\", which type text needs", k.Locale)
		}
		base, _ := tag.Base()
		if tag != language.Und && !slices.ContainsFunc(collate.Supported(), func(t language.Tag) bool {
			b, _ := t.Base()
			return b == base
		}) && base.String() != "en" {
			return at + "locale", fmt.Sprintf("%q has no collation; \"und\" is the root collation", k.Locale)
		}
	}
	dup := &r.Duplicates
	switch {
	case dup.By > len(r.Order):
		return "duplicates.by", fmt.Sprintf("is %d keys, but the order has %d", dup.By, len(r.Order))
	case dup.By > 0 && dup.Keep == "all":
		return "duplicates.by", "has no meaning if all rows are kept"
	case (dup.Parts > 0) != (dup.Keep == "agree"):
		return "duplicates.parts", "is required for keep agree, and allowed for no other"
	case (dup.Version != nil) != (dup.Keep == "highest"):
		return "duplicates.version", "is required for keep highest, and allowed for no other"
	}
	if dup.By == 0 && dup.Keep != "all" {
		dup.By = len(r.Order)
	}
	if dup.Version != nil {
		if why := r.checkField(dup.Version.Key); why != "" {
			return "duplicates.version.key", why
		}
		if slices.ContainsFunc(r.Order[:dup.By], func(k Key) bool { return k.Key == dup.Version.Key }) {
			return "duplicates.version.key", "is a key in which duplicates are equal, so it cannot choose among them"
		}
	}
	switch {
	case r.Truncate.Rows > 0 && r.Truncate.Top > 0:
		return "truncate.top", "cannot be combined with rows"
	case (r.Complete.Parts > 0) != (r.Complete.Need == "at-least"):
		return "complete.parts", "is required for at-least, and allowed for no other"
	case r.Memory.Bytes < 4*r.Records.MaxBytes:
		return "memory.bytes", fmt.Sprintf("%d is less than four records of records.max_bytes (%d)", r.Memory.Bytes, r.Records.MaxBytes)
	}
	return "", ""
}

func (r *Rules) checkField(name string) string {
	if r.Records.Form == "length-prefixed" {
		if n, err := strconv.Atoi(name); err != nil || n < 0 || n > 255 || strconv.Itoa(n) != name {
			return fmt.Sprintf("%q is not the number of a field, 0 to 255", name)
		}
	}
	return ""
}

// Hash identifies the rules: texts with the same meaning have the same hash. Tokens and partial results contain it.
func (r *Rules) Hash() string { return hex.EncodeToString(r.hash[:]) }

// limit returns the number of rows of a page; 0 is no limit.
func (r *Rules) limit() int { return r.Truncate.Rows + r.Truncate.Top }

func (r *Rules) grouped() bool { return r.Duplicates.Keep != "all" }
