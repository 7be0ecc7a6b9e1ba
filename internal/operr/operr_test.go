package operr

import (
	"errors"
	"fmt"
	"testing"
)

type full struct{ code, advice string }

func (f *full) Error() string  { return "full" }
func (f *full) Code() string   { return f.code }
func (f *full) Advice() string { return f.advice }

func TestFieldsFindTheCodeInAChain(t *testing.T) {
	f := Fields(fmt.Errorf("put: %w", &full{"box-full", "wait"}))
	if f["code"] != "box-full" || f["advice"] != "wait" {
		t.Errorf("%v", f)
	}
	if text := Text(fmt.Errorf("put: %w", &full{"box-full", "wait"})); text != "put: full\ncode: box-full\nadvice: wait" || Text(errors.New("plain")) != "plain" {
		t.Errorf("%q", text)
	}
	if f = Fields(errors.New("plain")); f["code"] != nil || f["error"] == nil {
		t.Errorf("%v", f)
	}
}

func TestCheck(t *testing.T) {
	for _, all := range [][]Coded{{&full{"Box", "x"}}, {&full{"box-full", ""}}, {&full{"box-full", "x"}, &full{"box-full", "y"}}} {
		if Check(all) == nil {
			t.Errorf("%v passed", all[0].Code())
		}
	}
	if err := Check([]Coded{&full{"box-full", "x"}, &full{"box-old", "y"}}); err != nil {
		t.Error(err)
	}
}
