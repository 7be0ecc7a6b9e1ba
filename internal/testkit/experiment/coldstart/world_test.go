package coldstart

import (
	"reflect"
	"testing"
)

// The experiment in small: 100 hosts, 20 nodes, 3 seeds. With the cold start no node falls, the list's
// service is within its capacity, each request has one final answer and no limit is passed; today's
// start in the same worlds does fell nodes and floods the service, so the world can tell.
func TestFleetStartsInSmall(t *testing.T) {
	opt := Options{Hosts: 100, Nodes: 20, Seeds: 3, Seed: 1, Capacity: 40, Scenarios: []string{"power cut", "power cut, half killed again"}}
	play := func(opt Options) *Report {
		if err := opt.Check(); err != nil {
			t.Fatal(err)
		}
		rep, err := Run(t.Context(), opt, func(string, Mode) {})
		if err != nil {
			t.Fatal(err)
		}
		return rep
	}
	rep := play(opt)
	for _, bad := range rep.Bounds() {
		t.Error(bad)
	}
	for _, sc := range opt.Scenarios {
		today, with := rep.Row(sc, Today).Figures, rep.Row(sc, With).Figures
		if today["falls"].Mean < 1 || today["list/s"].Mean < 2*opt.Capacity {
			t.Errorf("%s: today's start is no trouble here: %+v", sc, today)
		}
		if with["served"].Mean < today["served"].Mean || with["t100"].Worst > 6 {
			t.Errorf("%s: %+v, today %+v", sc, with, today)
		}
	}
	one := Options{Hosts: 20, Nodes: 10, Seeds: 1, Seed: 5, Capacity: 20, Scenarios: []string{"power cut"}}
	if a, b := play(one), play(one); !reflect.DeepEqual(a, b) {
		t.Errorf("a seed does not give the same run: %+v, %+v", a, b)
	}
}
