package coldstart

import (
	"os"
	"testing"
)

func TestX(t *testing.T) {
	rep, err := Run(t.Context(), Options{Hosts: 100, Nodes: 20, Seeds: 3, Seed: 1, Capacity: 40}, func(string, Mode, int) {})
	if err != nil {
		t.Fatal(err)
	}
	rep.Print(os.Stdout)
}
