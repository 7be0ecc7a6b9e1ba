package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"wheatsaddle/internal/testkit/rapidtest"
	"wheatsaddle/policy"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

const validConfig = `{"name":"n3","listen":"127.0.0.1:8443","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"index":41,"snapshot":true,"endpoints":[]},
"settings":{"fleet-size":3,"me":1,"ceilings":{"conn-idle":15000.0,"max-attempts":4,"may-cancel":true},
"extra":{"usual-units":1.98,"largest":6},"rules":{"cold":17000.0},
"profiles":[{"name":"balance-read","goal-time":250.0,"deadline":1500.0,"repeat":"safe","key-scope":"all","worth":3.0},
{"name":"new-record","goal-time":300.0,"deadline":1500.0,"repeat":"keyed","key-scope":"cell","memory-span":2500.0,"worth":2.0}],
"contracts":[{"name":"basic","cap":27.0,"burst":38.0,"reservation":1.0,"shares":1.0,"price":0.96,"usual-rate":3.4}]}}`

func noEnv(string) string { return "" }

// A valid configuration is read into its fields, with defaults for absent keys. The environment overrides the address.
func TestParse(t *testing.T) {
	c, err := Parse([]byte(validConfig), noEnv)
	if err != nil {
		t.Fatal(err)
	}
	s := c.Settings
	if c.Name != "n3" || c.Sockets != 1024 || c.ConnIdle != 15000 || c.ConnectTimeout != defaultConnectTimeout || c.Seed == 0 ||
		s.Schedulers != 3 || s.Instance != 1 || s.SlowStartDuration != 17000 || s.MaxAttempts != 4 || !s.MayCancel || s.MayCheckHealth {
		t.Errorf("configuration: %+v", c)
	}
	if k := s.Classes[1]; k.Effect != policy.IdempotentByKey || k.DedupScope != policy.DedupShard || k.DedupWindow != 2500 || s.Plans[0].RateLimit != 27 {
		t.Errorf("settings of classes and plans: %+v", s)
	}
	if c, err = Parse([]byte(validConfig), func(k string) string { return map[string]string{"ROUTER_LISTEN": "127.0.0.1:9"}[k] }); err != nil || c.Listen != "127.0.0.1:9" {
		t.Errorf("with ROUTER_LISTEN: configuration %v, error %v", c, err)
	}
}

// Each error names its key.
func TestErrorsNameKey(t *testing.T) {
	for _, x := range [][3]string{
		{`"127.0.0.1:8443"`, `"here"`, "listen"}, {`"127.0.0.1:8500"`, `7`, "discovery"}, {`"8c1f30d27a5be964"`, `"zz"`, "seed"},
		{`"memory_mb":192`, `"memory_mb":"much"`, "limits.memory_mb"}, {`"sockets":1024`, `"sockets":3`, "limits.sockets"},
		{`"known":{`, `"known":7,"k":{`, "known"}, {`"settings":{`, `"set":{`, "settings"},
		{`"fleet-size":3`, `"fleet-size":0`, "settings.fleet-size"}, {`"max-attempts":4`, `"max-attempts":true`, "settings.ceilings.max-attempts"},
		{`"may-cancel":true`, `"may-cancel":1`, "settings.ceilings.may-cancel"}, {`"goal-time":300.0`, `"goal-time":-1`, "settings.profiles.1.goal-time"},
		{`"repeat":"keyed"`, `"repeat":"often"`, "settings.profiles.1.repeat"}, {`"key-scope":"cell"`, `"key-scope":"x"`, "settings.profiles.1.key-scope"},
		{`"contracts":[`, `"contracts":7,"c":[`, "settings.contracts"}, {`"cap":27.0`, `"cap":[]`, "settings.contracts.0.cap"},
		{`"conn-idle":15000.0`, `"conn-idle":0`, "settings.ceilings.conn-idle"}, {`}]}}`, `}]}`, "JSON"},
	} {
		text := strings.Replace(validConfig, x[0], x[1], 1)
		if _, err := Parse([]byte(text), noEnv); err == nil || !strings.Contains(err.Error(), x[2]) {
			t.Errorf("with %s: error %v, want one with %s", x[1], err, x[2])
		}
	}
	if _, err := Load(noEnv); err == nil || !strings.Contains(err.Error(), "ROUTER_CONFIG") {
		t.Errorf("without ROUTER_CONFIG: error %v", err)
	}
}

// The iSCSI file in deploy is valid, and each error in an edited one names its key.
func TestISCSIFile(t *testing.T) {
	c, err := Parse([]byte(validConfig), noEnv)
	if err != nil {
		t.Fatal(err)
	}
	set := c.Settings
	set.Classes = append(set.Classes, policy.Class{Name: "bulk-export", LatencyObjective: 1200, Deadline: 4000})
	set.Plans = append(set.Plans, policy.Plan{Name: "standard"})
	iscsi, err := LoadISCSI("../../deploy/iscsi.json", set)
	if err != nil || len(iscsi.Targets) != 1 || len(iscsi.Targets[0].Units) != 2 || iscsi.Targets[0].Units[0].Rules[0].Deadline != 1500 {
		t.Fatalf("iSCSI file in deploy: %+v, error %v", iscsi, err)
	}
	text, err := os.ReadFile("../../deploy/iscsi.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range [][3]string{
		{`"127.0.0.1:3260"`, `"x"`, "iscsi.listen"}, {`"queue_depth": 32`, `"queue_depth": 0`, "iscsi.queue_depth"},
		{`"group": 0`, `"group": 1.5`, "iscsi.storage.0.group"}, {`"archive-1", "address"`, `"archive-0", "address"`, "iscsi.storage.1.name"},
		{`"plan": "standard"`, `"plan": "gold"`, "iscsi.targets.0.luns.0.plan"}, {`"class": "new-record"`, `"class": "x"`, "luns.0.rules.2.class"},
		{`"lun": 1`, `"lun": 0`, "luns.1.lun"}, {`"lun": 1, "storage_lun": 0, "group": 1`, `"lun": 1, "group": 9`, "luns.1.group"},
		{`{"command": "read", "class": "bulk-export"},`, ``, "luns.0.rules"}, {`"00000000000a0000"`, `""`, "luns.0.volume"},
		{`"block_size": 512`, `"block_size": 1000`, "luns.0.block_size"}, {`"sessions": 16`, `"sessions": 16, "initiator": "host"`, "iscsi.initiator"},
		{`"sessions": 16`, `"sessions": 16, "vendor": "NINECHARS"`, "iscsi.vendor"},
	} {
		edited := strings.Replace(string(text), x[0], x[1], 1)
		if _, err := ParseISCSI([]byte(edited), set); edited == string(text) || err == nil || !strings.Contains(err.Error(), x[2]) {
			t.Errorf("with %s: error %v, want one with %s", x[1], err, x[2])
		}
	}
}

// A truncated configuration is rejected. One with changed bytes is rejected or has valid settings, and causes no panic.
func TestCorruptFilesAreRejectedOrValid(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if _, err := Parse([]byte(validConfig[:rapid.IntRange(0, len(validConfig)-1).Draw(rt, "cut")]), noEnv); err == nil {
			rt.Fatal("a truncated configuration was accepted")
		}
		b := []byte(validConfig)
		for range rapid.IntRange(1, 4).Draw(rt, "edits") {
			b[rapid.IntRange(0, len(b)-1).Draw(rt, "at")] = rapid.Byte().Draw(rt, "byte")
		}
		if c, err := Parse(b, noEnv); err == nil && (c.Sockets < 64 || len(c.Settings.Classes) == 0 || c.Settings.Schedulers < 1) {
			rt.Fatalf("invalid settings were accepted: %+v", c)
		}
		_, _ = ParseISCSI(b, policy.Settings{})
	})
}

// A reload uses the address of discovery in the file, and the one from the start if the file has none.
func TestReloadPrefersDiscoveryOfFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	env := func(k string) string {
		return map[string]string{"ROUTER_CONFIG": file, "ROUTER_DISCOVERY": "127.0.0.1:1", "ROUTER_LISTEN": "127.0.0.1:2"}[k]
	}
	for _, x := range []struct{ from, to, want string }{
		{"", "", "127.0.0.1:8500"}, {`"discovery":"127.0.0.1:8500",`, "", "127.0.0.1:1"}, {`"127.0.0.1:8500"`, `"here"`, "error"},
	} {
		if err := os.WriteFile(file, []byte(strings.Replace(validConfig, x.from, x.to, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		c, err := Reload(env)
		if x.want == "error" {
			if err == nil || !strings.Contains(err.Error(), "discovery") {
				t.Errorf("invalid discovery in the file: error %v", err)
			}
		} else if err != nil || c.Discovery != x.want || c.Listen != "127.0.0.1:2" {
			t.Errorf("configuration %+v, error %v, want discovery %s", c, err, x.want)
		}
	}
}
