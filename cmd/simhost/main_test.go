package main

import (
	"bytes"
	"strings"
	"testing"
)

const startLines = `["UP","i0",7,{"fleet-size":1,"membership-mode":"push","ceilings":{"max-attempts":3},` +
	`"profiles":[{"name":"read","goal-time":400,"deadline":2000,"repeat":"safe","key-scope":"all","worth":1}],` +
	`"contracts":[{"name":"basic","shares":1,"price":1,"reservation":5}],"extra":{"usual-units":2,"largest":8}}]
["LEDGER",0,[["n","z","k",0,"up",1]]]
["REGISTRY","i0","disk",1,0]
`

// serveInput serves the input and returns the replies and the warnings.
func serveInput(t *testing.T, input string) (out, warnings string, err error) {
	t.Helper()
	var o, w bytes.Buffer
	s := newServer(&w)
	err = s.serve(strings.NewReader(input), &o)
	return o.String(), w.String(), err
}

// A batch of lines is answered when it is complete. A line for an instance that is not running is dropped with a warning, a line
// with an unknown word is ignored, a malformed line ends the server with an error, and invalid settings are answered as BROKEN.
func TestServe(t *testing.T) {
	call := `["CALL","i0","t/a","read","basic","91f0",2900,"2b8e",2,0,1,1]` + "\n"
	out, _, err := serveInput(t, `["ROUND",1000]`+"\n"+startLines+call+`["OVER_TO_YOU"]`+"\n")
	if err != nil || !strings.Contains(out, `["PASS_ON","i0","t/a","n",2900.000]`) || !strings.HasSuffix(out, "[\"EOR\"]\n") {
		t.Errorf("reply %q, error %v", out, err)
	}
	// An instance that is killed and started again in one batch does not answer the events before the kill.
	out, _, err = serveInput(t, `["ROUND",1000]`+"\n"+startLines+call+`["CRASH_NOW","i0"]`+"\n"+startLines+`["OVER_TO_YOU"]`+"\n")
	if err != nil || strings.Contains(out, "PASS_ON") || strings.Count(out, `"tick"`) != 1 {
		t.Errorf("reply %q, error %v", out, err)
	}
	out, warnings, err := serveInput(t, `["ROUND",1]`+"\n"+`["ALARM","i9","x"]`+"\n"+`["NEWS",1]`+"\n"+`["OVER_TO_YOU"]`+"\n")
	if err != nil || out != "[\"EOR\"]\n" || !strings.Contains(warnings, "i9") {
		t.Errorf("reply %q, warnings %q, error %v", out, warnings, err)
	}
	if _, _, err = serveInput(t, "[\"ROUND\",1]\n[\"CALL\",\"i0\"]\n"); err == nil {
		t.Error("a malformed line was accepted")
	}
	invalid := strings.Replace(startLines, `"fleet-size":1`, `"fleet-size":0`, 1)
	if out, _, _ = serveInput(t, `["ROUND",1]`+"\n"+invalid+`["OVER_TO_YOU"]`+"\n"); !strings.Contains(out, "BROKEN") {
		t.Errorf("invalid settings: reply %q", out)
	}
}
