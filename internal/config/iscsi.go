package config

import (
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"regexp"
	"slices"
	"strconv"

	"github.com/tidwall/gjson"

	"wheatsaddle/internal/address"
	"wheatsaddle/policy"
)

// ISCSI is the file of the iSCSI front.
type ISCSI struct {
	Listen             string
	Initiator          string // prefix of the front's initiator name, to which the scheduler's name is appended
	Vendor             string // T10 vendor of the logical units
	QueueDepth         int    // maximum number of commands in the window of a session
	Sessions           int
	MaxTransfer        uint32  // maximum bytes of one command
	DeduplicatesWrites bool    // the storage targets deduplicate writes by key
	LoginTimeout       float64 // ms
	Targets            []Target
	Storage            []StorageTarget
}

// Target is an iSCSI target that clients log in to.
type Target struct {
	Name  string
	Units []Unit
}

// Unit is a logical unit and the mapping of its commands to requests.
type Unit struct {
	LUN, StorageLUN        uint16
	Shard, Schedulers      int
	Volume, Plan           string
	BlockSize, MaxTransfer uint32
	Blocks                 uint64
	UnitBytes              float64 // bytes of one unit of work
	ReadOnly               bool
	Vendor                 string // T10 vendor, 8 characters at most
	Rules                  []Rule
}

// Rule maps commands of one direction, up to a size, to a class.
type Rule struct {
	Write    bool
	MaxBytes float64 // bytes
	Class    string
	Deadline float64 // ms
}

// StorageTarget is an iSCSI target that holds data.
type StorageTarget struct {
	Name, Target string
	Addresses    []address.Addr
	Shard        int
	State        policy.NodeState
}

// ReadISCSI reads the text of the iSCSI front's file.
func ReadISCSI(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{"iscsi", err}
	}
	return text, nil
}

// LoadISCSI reads the file of the iSCSI front and checks it against the settings.
func LoadISCSI(path string, set policy.Settings) (*ISCSI, error) {
	text, err := ReadISCSI(path)
	if err != nil {
		return nil, err
	}
	return ParseISCSI(text, set)
}

// The default names of the front, under a reserved domain (RFC 2606).
const (
	defaultInitiator = "iqn.2026-12.example:wheatsaddle-"
	defaultVendor    = "WHEATSDL"
)

// initiatorPrefixPattern follows RFC 7143, section 4.2.7.1. A complete name has at most 223 bytes; the scheduler's name is
// appended.
var (
	initiatorPrefixPattern = regexp.MustCompile(`^iqn\.[0-9]{4}-[0-9]{2}\.[a-z0-9.:-]{1,150}$`)
	vendorPattern          = regexp.MustCompile(`^[\x21-\x7e]([\x20-\x7e]{0,6}[\x21-\x7e])?$`)
)

// nodeStatesByWord maps the words of the endpoint list to the states of a storage target.
var nodeStatesByWord = map[string]policy.NodeState{"active": policy.NodeUp, "leaving": policy.NodeDraining, "left": policy.NodeRemoved}

// ParseISCSI reads the text of the iSCSI front's file and checks it against the settings.
func ParseISCSI(text []byte, set policy.Settings) (*ISCSI, error) {
	if err := validate(iscsiFile, iscsiFile, text); err != nil {
		return nil, err
	}
	r := &reader{root: gjson.ParseBytes(text), prefix: "iscsi."}
	c := &ISCSI{Listen: r.text("listen", "127.0.0.1:3260"), QueueDepth: int(r.integer("queue_depth", 32, 1, 1024)),
		Sessions: int(r.integer("sessions", 32, 1, 256)), MaxTransfer: uint32(r.integer("max_transfer", 64<<10, 512, 1<<20)),
		DeduplicatesWrites: r.flag("drops_repeats"), LoginTimeout: r.number("login_timeout_ms", 5000, 1),
		Initiator: r.text("initiator", defaultInitiator), Vendor: r.text("vendor", defaultVendor)}
	if !initiatorPrefixPattern.MatchString(c.Initiator) {
		r.failValue("initiator", strconv.Quote(c.Initiator), "the start of an iSCSI name, as in "+defaultInitiator)
	}
	if !vendorPattern.MatchString(c.Vendor) {
		r.failValue("vendor", strconv.Quote(c.Vendor), "1 to 8 printable ASCII characters")
	}
	r.address("listen", c.Listen)
	shards, names := map[int]bool{}, map[string]bool{}
	r.each("storage", func(s *reader) {
		t := StorageTarget{Name: s.text("name", ""), Addresses: s.portals(), Target: s.text("target", ""),
			Shard: int(s.integer("group", -1, 0, 1e6)), State: enum(s, "status", "active", nodeStatesByWord)}
		s.unique("name", t.Name, names)
		if t.Target == "" {
			s.fail(KeyError{Key: "target", Expected: "the storage target's iSCSI name", Problem: "missing"})
		}
		shards[t.Shard] = true
		c.Storage = append(c.Storage, t)
	})
	targets := map[string]bool{}
	r.each("targets", func(s *reader) {
		t := Target{Name: s.text("name", "")}
		s.unique("name", t.Name, targets)
		luns := map[string]bool{}
		s.each("luns", func(u *reader) {
			x := u.logicalUnit(set, c.MaxTransfer)
			x.Vendor = c.Vendor
			u.unique("lun", fmt.Sprint(x.LUN), luns)
			if !shards[x.Shard] {
				u.fail(KeyError{Key: "group", Value: strconv.Itoa(x.Shard), Expected: "a group of storage", Problem: fmt.Sprintf("no storage target has group %d", x.Shard)})
			}
			t.Units = append(t.Units, x)
		})
		c.Targets = append(c.Targets, t)
	})
	return c, r.err
}

// logicalUnit reads an entry of luns.
func (r *reader) logicalUnit(set policy.Settings, maxTransfer uint32) Unit {
	u := Unit{LUN: uint16(r.integer("lun", -1, 0, 16383)), StorageLUN: uint16(r.integer("storage_lun", 0, 0, 16383)),
		Shard: int(r.integer("group", -1, 0, 1e6)), Schedulers: int(r.integer("hosts", float64(set.Schedulers), 1, 1e6)),
		Volume: r.text("volume", ""), Plan: r.text("plan", ""), BlockSize: uint32(r.integer("block_size", 512, 512, 4096)),
		MaxTransfer: maxTransfer, Blocks: uint64(r.integer("blocks", -1, 1, 1e12)), UnitBytes: r.number("unit_bytes", 8192, 512),
		ReadOnly: r.flag("read_only")}
	if len(u.Volume) != 16 {
		r.failValue("volume", strconv.Quote(u.Volume), "16 hex digits")
	}
	if u.BlockSize&(u.BlockSize-1) != 0 || u.BlockSize > maxTransfer {
		r.fail(KeyError{Key: "block_size", Value: fmt.Sprint(u.BlockSize), Expected: "a power of two up to max_transfer",
			Problem: fmt.Sprintf("%d is not a power of two up to max_transfer", u.BlockSize)})
	}
	planFound := false
	for _, p := range set.Plans {
		planFound = planFound || p.Name == u.Plan
	}
	if !planFound {
		r.fail(KeyError{Key: "plan", Value: u.Plan, Expected: "a plan of the settings", Problem: fmt.Sprintf("the settings have no plan %q", u.Plan)})
	}
	r.rules(&u, set)
	return u
}

// rules reads the rules of a unit. Reads, and writes unless it is read-only, need a rule for the longest command.
func (r *reader) rules(u *Unit, set policy.Settings) {
	covered := map[bool]bool{}
	r.each("rules", func(s *reader) {
		rule := Rule{Write: enum(s, "command", "", map[string]bool{"read": false, "write": true}),
			MaxBytes: s.number("up_to", math.MaxInt32, 1), Class: s.text("class", "")}
		fallback := 0.0
		for _, c := range set.Classes {
			if c.Name == rule.Class {
				fallback = c.Deadline
			}
		}
		if fallback == 0 {
			s.fail(KeyError{Key: "class", Value: rule.Class, Expected: "a class of the settings", Problem: fmt.Sprintf("the settings have no class %q", rule.Class)})
		}
		rule.Deadline = s.number("deadline_ms", fallback, 50)
		covered[rule.Write] = covered[rule.Write] || rule.MaxBytes >= float64(u.MaxTransfer)
		u.Rules = append(u.Rules, rule)
	})
	if !covered[false] || !covered[true] && !u.ReadOnly {
		r.fail(KeyError{Key: "rules", Problem: "reads, and writes unless the unit is read-only, need a rule that covers max_transfer"})
	}
}

// address checks a host:port.
func (r *reader) address(key, value string) {
	if _, _, err := net.SplitHostPort(value); err != nil {
		r.failValue(key, strconv.Quote(value), hostPortForm)
	}
}

// portals reads "addresses" and "address" as in an entry of the endpoint list. Unlike there, an invalid address is an error,
// because this file is written by hand.
func (r *reader) portals() []address.Addr {
	var texts []string
	addresses := r.root.Get("addresses")
	if addresses.Exists() && !addresses.IsArray() {
		r.fail(KeyError{Key: "addresses", Expected: "a list", Problem: "not a list"})
	}
	for i, x := range addresses.Array() {
		if x.Type != gjson.String {
			r.fail(KeyError{Key: fmt.Sprintf("addresses.%d", i), Value: truncate(x.Raw), Expected: "text", Problem: "not text"})
		}
		texts = append(texts, x.Str)
	}
	list, errs := address.ParseList(texts)
	for _, err := range errs {
		var a *address.ListError
		if errors.As(err, &a) {
			r.fail(KeyError{Key: fmt.Sprintf("addresses.%d", a.Index), Value: strconv.Quote(a.Text), Expected: "host:port or unix:PATH", Err: a.Err})
		}
	}
	if one := r.text("address", ""); one != "" || len(texts) == 0 {
		a, err := address.Parse(one)
		if err != nil {
			r.fail(KeyError{Key: "address", Value: strconv.Quote(one), Err: err})
		} else if !slices.Contains(list, a) {
			list = append(list, a)
		}
	}
	return list
}
