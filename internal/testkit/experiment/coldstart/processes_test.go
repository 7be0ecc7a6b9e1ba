package coldstart

import (
	"testing"
	"time"
)

// A small run with processes: all hosts serve, each process is counted, the fault of the scenario occurred, and each host had a
// snapshot of an earlier process.
func TestProcessesStartInSmall(t *testing.T) {
	if testing.Short() {
		t.Skip("starts several processes")
	}
	t.Parallel()
	opt := ProcessOptions{Options: Options{Hosts: 6, Nodes: 4, Seeds: 1, Seed: 1, Capacity: 4,
		Scenarios: []string{"power cut, half killed again", "power cut, a zone silent"}, Starts: []string{"with snapshot"}},
		Window: 4 * time.Second}
	if err := opt.Validate(); err != nil {
		t.Fatal(err)
	}
	var started []string
	rep, err := RunProcesses(t.Context(), opt, func(sc string, _ Mode) { started = append(started, sc) })
	if err != nil {
		t.Fatal(err)
	}
	if len(rep.Rows) != 2 || len(started) != 3 {
		t.Fatalf("%d rows, want 2; scenarios started: %v, want 3", len(rep.Rows), started)
	}
	for _, row := range rep.Rows {
		wantLives := map[string]int{"power cut, half killed again": 9, "power cut, a zone silent": 6}[row.Scenario]
		if row.Lives != wantLives || row.Falls > 0 || row.UnsafeTwice > 0 || row.Served == 0 || row.BareMean <= 0 || row.BareMean > row.BareWorst || row.T50 > row.T99 {
			t.Errorf("processes, node crashes, requests or times are wrong: %+v", row)
		}
		if row.T100 >= opt.Window.Seconds() || row.Whole99 < row.T99 {
			t.Errorf("not all hosts served a request: %+v", row)
		}
		if row.ListCalls < wantLives || row.ListPeak > row.ListCalls || row.Connects == 0 || row.Requests == 0 || row.ColdLoad <= 0 || row.ColdLoad > 1 {
			t.Errorf("list requests, connects, requests or cold load are wrong: %+v", row)
		}
		if silent := row.Scenario == "power cut, a zone silent"; silent != (row.LinksWaited > 0) {
			t.Errorf("pending connects to unreachable nodes: %+v", row)
		}
		if row.Kept != opt.Hosts {
			t.Errorf("not all hosts had a snapshot: %+v", row)
		}
	}
}

// Bounds reports a problem for each bound that a row misses, and none for a row within all bounds.
func TestProcessBounds(t *testing.T) {
	good := ProcessRow{Scenario: "power cut", Start: "coldstart", T99: 5, ListPeak: 40, Refused: 10}
	baseline := ProcessRow{Scenario: "power cut", Start: "today", T99: 9, ListPeak: 90, Refused: 20, Falls: 3}
	for i, change := range []func(*ProcessRow){func(*ProcessRow) {}, func(r *ProcessRow) { r.T99 = 6.1 }, func(r *ProcessRow) { r.ListPeak = 41 },
		func(r *ProcessRow) { r.Falls = 1 }, func(r *ProcessRow) { r.Refused = 11 }, func(r *ProcessRow) { r.UnsafeTwice = 1 }} {
		row := good
		change(&row)
		problems := (&ProcessReport{Options: Options{Capacity: 40}, Rows: []ProcessRow{baseline, row}}).Bounds()
		if len(problems) != min(i, 1) {
			t.Errorf("case %d: Bounds reports %v, want one problem, or none in case 0", i, problems)
		}
	}
}
