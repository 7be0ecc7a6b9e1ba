package main

import (
	"bytes"
	"strings"
	"testing"
)

const up = `["UP","i0",7,{"fleet-size":1,"membership-mode":"push","ceilings":{"max-attempts":3},` +
	`"profiles":[{"name":"read","goal-time":400,"deadline":2000,"repeat":"safe","key-scope":"all","worth":1}],` +
	`"contracts":[{"name":"basic","shares":1,"price":1,"reservation":5}],"extra":{"usual-units":2,"largest":8}}]
["LEDGER",0,[["n","z","k",0,"up",1]]]
["REGISTRY","i0","disk",1,0]
`

func run(t *testing.T, input string) (out, warn string, err error) {
	t.Helper()
	var o, w bytes.Buffer
	s := newServer(&w)
	err = s.serve(strings.NewReader(input), &o)
	return o.String(), w.String(), err
}

func TestServe(t *testing.T) {
	call := `["CALL","i0","t/a","read","basic","91f0",2900,"2b8e",2,0,1,1]` + "\n"
	out, _, err := run(t, `["ROUND",1000]`+"\n"+up+call+`["OVER_TO_YOU"]`+"\n")
	if err != nil || !strings.Contains(out, `["PASS_ON","i0","t/a","n",2900.000]`) || !strings.HasSuffix(out, "[\"EOR\"]\n") {
		t.Errorf("%q %v", out, err)
	}
	// killed and started again in one batch: what came before the kill is void
	out, _, err = run(t, `["ROUND",1000]`+"\n"+up+call+`["CRASH_NOW","i0"]`+"\n"+up+`["OVER_TO_YOU"]`+"\n")
	if err != nil || strings.Contains(out, "PASS_ON") || strings.Count(out, `"tick"`) != 1 {
		t.Errorf("%q %v", out, err)
	}
	out, warn, err := run(t, `["ROUND",1]`+"\n"+`["ALARM","i9","x"]`+"\n"+`["NEWS",1]`+"\n"+`["OVER_TO_YOU"]`+"\n")
	if err != nil || out != "[\"EOR\"]\n" || !strings.Contains(warn, "i9") {
		t.Errorf("%q %q %v", out, warn, err)
	}
	if _, _, err = run(t, "[\"ROUND\",1]\n[\"CALL\",\"i0\"]\n"); err == nil {
		t.Error("a malformed line passed")
	}
	bad := strings.Replace(up, `"fleet-size":1`, `"fleet-size":0`, 1)
	if out, _, _ = run(t, `["ROUND",1]`+"\n"+bad+`["OVER_TO_YOU"]`+"\n"); !strings.Contains(out, "BROKEN") {
		t.Errorf("bad settings: %q", out)
	}
}
