package simwire

import (
	"strings"
	"testing"

	"wheatsaddle/policy"
)

func TestDecode(t *testing.T) {
	for text, want := range map[string]string{
		`{"a":1}`: "not a JSON array", `[]`: "empty", `[1]`: "no name", `["CALL","i"]`: "CALL",
		`["COMPLETED","i","r",0,"n","odd",1,true]`: "odd", `["REGISTRY","i","odd",1,0]`: "odd",
	} {
		if _, err := Decode([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v", text, err)
		}
	}
	if ln, err := Decode([]byte(`["NEWS","i",5]`)); err != nil || ln.Known {
		t.Errorf("an unknown event: %v %v", ln, err)
	}
	ln, err := Decode([]byte(`["CALL","i","t/a","read","basic","91f0",8652.25,"2b8e",2,0,3,3]`))
	r := ln.Event.Request
	if err != nil || r.ID != "t/a" || r.Deadline != 8652.25 || r.Units != 2 || r.Schedulers != 3 || !r.ClientRetry {
		t.Errorf("%+v %v", r, err)
	}
	ln, err = Decode([]byte(`["COMPLETED","i","r",1,"n","completed",18.5,true,86,3,{"outstanding":4,"new":"x"}]`))
	ev := ln.Event
	if err != nil || ev.Attempt != 1 || ev.Status != policy.OK || ev.PlanUsage != 86 || ev.PeerUsage != 3 ||
		ev.Load.Inflight != 4 || ev.Load.Queue != -1 {
		t.Errorf("%+v %v", ev, err)
	}
	ln, err = Decode([]byte(`["LEDGER",0,[["a","z","k",3,"draining",1.5,6100.0],["b","z","k",0,"up",1]]]`))
	if err != nil || len(ln.Nodes) != 2 || ln.Nodes[0].State != policy.NodeDraining || ln.Nodes[0].StartTime != 6100 {
		t.Errorf("%+v %v", ln.Nodes, err)
	}
}

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
			t.Errorf("got %s want %s", got, want)
		}
	}
}
