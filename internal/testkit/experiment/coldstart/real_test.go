package coldstart

import (
	"testing"
	"time"
)

// The run with processes in small: all of the fleet serve, each life is in the books, the fault happened, and the
// snapshots of a life before were there.
func TestProcessesStartInSmall(t *testing.T) {
	if testing.Short() {
		t.Skip("several processes")
	}
	t.Parallel()
	opt := RealOptions{Options: Options{Hosts: 6, Nodes: 4, Seeds: 1, Seed: 1, Capacity: 4,
		Scenarios: []string{"power cut, half killed again", "power cut, a zone silent"}, Starts: []string{"with snapshot"}},
		Window: 4 * time.Second}
	if err := opt.Check(); err != nil {
		t.Fatal(err)
	}
	var begun []string
	rep, err := RunReal(t.Context(), opt, func(sc string, _ Mode) { begun = append(begun, sc) })
	if err != nil {
		t.Fatal(err)
	}
	if len(rep.Rows) != 2 || len(begun) != 3 {
		t.Fatalf("%d rows, %v", len(rep.Rows), begun)
	}
	for _, x := range rep.Rows {
		lives := map[string]int{"power cut, half killed again": 9, "power cut, a zone silent": 6}[x.Scenario]
		if x.Lives != lives || x.Falls > 0 || x.UnsafeTwice > 0 || x.Served == 0 || x.BareMean <= 0 || x.BareMean > x.BareWorst || x.T50 > x.T99 {
			t.Errorf("%+v", x)
		}
		if x.T100 >= opt.Window.Seconds() || x.Whole99 < x.T99 {
			t.Errorf("not all serve: %+v", x)
		}
		if x.ListCalls < lives || x.ListPeak > x.ListCalls || x.Connects == 0 || x.Requests == 0 || x.ColdLoad <= 0 || x.ColdLoad > 1 {
			t.Errorf("%+v", x)
		}
		if silent := x.Scenario == "power cut, a zone silent"; silent != (x.LinksWaited > 0) {
			t.Errorf("silence: %+v", x)
		}
		if x.Kept != opt.Hosts {
			t.Errorf("snapshots: %+v", x)
		}
	}
}

// The bounds are told from a report.
func TestRealBounds(t *testing.T) {
	good := RealRow{Scenario: "power cut", Start: "coldstart", T99: 5, ListPeak: 40, Refused: 10}
	today := RealRow{Scenario: "power cut", Start: "today", T99: 9, ListPeak: 90, Refused: 20, Falls: 3}
	for want, change := range []func(*RealRow){func(*RealRow) {}, func(r *RealRow) { r.T99 = 6.1 }, func(r *RealRow) { r.ListPeak = 41 },
		func(r *RealRow) { r.Falls = 1 }, func(r *RealRow) { r.Refused = 11 }, func(r *RealRow) { r.UnsafeTwice = 1 }} {
		row := good
		change(&row)
		bad := (&RealReport{Options: Options{Capacity: 40}, Rows: []RealRow{today, row}}).Bounds()
		if len(bad) != min(want, 1) {
			t.Errorf("%d: %v", want, bad)
		}
	}
}
