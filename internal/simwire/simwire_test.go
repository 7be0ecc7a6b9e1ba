package simwire

import (
	"strings"
	"testing"

	"wheatsaddle/policy"
)

// Valid lines are decoded into events and nodes, unknown words of a line into UnknownLine, and invalid lines are errors.
func TestDecode(t *testing.T) {
	for text, want := range map[string]string{
		`{"a":1}`: "not a JSON array", `[]`: "empty", `[1]`: "no name", `["CALL","i"]`: "CALL",
		`["COMPLETED","i","r",0,"n","odd",1,true]`: "odd", `["REGISTRY","i","odd",1,0]`: "odd",
	} {
		if _, err := Decode([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("invalid line %s: error %v", text, err)
		}
	}
	if line, err := Decode([]byte(`["NEWS","i",5]`)); err != nil || line.Kind != UnknownLine {
		t.Errorf("line with an unknown word decoded as %v, error %v", line, err)
	}
	line, err := Decode([]byte(`["CALL","i","t/a","read","basic","91f0",8652.25,"2b8e",2,0,3,3]`))
	r := line.Event.Request
	if err != nil || r.ID != "t/a" || r.Deadline != 8652.25 || r.Units != 2 || r.Schedulers != 3 || !r.ClientRetry {
		t.Errorf("request %+v, error %v", r, err)
	}
	line, err = Decode([]byte(`["COMPLETED","i","r",1,"n","completed",18.5,true,86,3,{"outstanding":4,"new":"x"}]`))
	ev := line.Event
	if err != nil || ev.Attempt != 1 || ev.Status != policy.OK || ev.PlanUsage != 86 || ev.PeerUsage != 3 ||
		ev.Load.Inflight != 4 || ev.Load.Queue != -1 {
		t.Errorf("event %+v, error %v", ev, err)
	}
	line, err = Decode([]byte(`["LEDGER",0,[["a","z","k",3,"draining",1.5,6100.0],["b","z","k",0,"up",1]]]`))
	if err != nil || len(line.Nodes) != 2 || line.Nodes[0].State != policy.NodeDraining || line.Nodes[0].StartTime != 6100 {
		t.Errorf("nodes %+v, error %v", line.Nodes, err)
	}
}

// Each kind of action is encoded as its line.
func TestEncode(t *testing.T) {
	for want, a := range map[string]policy.Action{
		`["PASS_ON","i","r","n",8492.250]`:  {Kind: policy.Send, ID: "r", Node: "n", Deadline: 8492.25},
		`["REFUSE","i","r",250.000]`:        {Kind: policy.Reject, ID: "r", Wait: 250},
		`["END_FAILED","i","r"]`:            {Kind: policy.Fail, ID: "r"},
		`["ABANDON","i","r",1]`:             {Kind: policy.Cancel, ID: "r", Attempt: 1},
		`["SET_TIMER","i",500.000,"sweep"]`: {Kind: policy.SetTimer, Wait: 500, Tag: "sweep"},
		`["KEEP_INFORMED","i",true]`:        {Kind: policy.Subscribe},
		`["READ_LIST","i"]`:                 {Kind: policy.RequestList},
		`["ANNOUNCE","i","all","aGkgNw=="]`: {Kind: policy.Gossip, Data: []byte("hi 7")},
		`["PRINT","i","say \"x\""]`:         {Kind: policy.Log, Text: `say "x"`},
	} {
		if got := string(Encode(nil, "i", a)); got != want+"\n" {
			t.Errorf("got %s, want %s", got, want)
		}
	}
}

// The error of an invalid line names the line's word, and the value or key that is invalid.
func TestDecodeErrorsNameTheValue(t *testing.T) {
	for text, want := range map[string]string{
		`["UP","i",1,{"ceilings":{"max-attempts":"3"}}]`: "UP: json: cannot unmarshal string into Go struct field .ceilings.max-attempts of type int",
		`["UP","i",1,{"profiles":[{"repeat":"odd"}]}]`:   `UP: unknown word "odd"`,
		`["UP","i",1]`:                   "UP: 2 values, want 3",
		`["REGISTRY","i","odd",1,0]`:     `REGISTRY: unknown word "odd"`,
		`["DROPPED","i",5]`:              "DROPPED: value 2: json: cannot unmarshal number into Go value of type string",
		`["HEALTH","i","n","odd",1]`:     `HEALTH: unknown word "odd"`,
		`["LEDGER",0,[["n","z","k",0]]]`: "LEDGER: 4 values, want 6",
	} {
		if _, err := Decode([]byte(text)); err == nil || err.Error() != want {
			t.Errorf("%s: error %q, want %q", text, err, want)
		}
	}
}
