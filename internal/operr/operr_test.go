package operr

import (
	"errors"
	"fmt"
	"testing"
)

type codedError struct{ code, advice string }

func (f *codedError) Error() string  { return "full" }
func (f *codedError) Code() string   { return f.code }
func (f *codedError) Advice() string { return f.advice }

func TestFieldsFindTheCodeInAChain(t *testing.T) {
	f := Fields(fmt.Errorf("put: %w", &codedError{"box-full", "wait"}))
	if f["code"] != "box-full" || f["advice"] != "wait" {
		t.Errorf("%v", f)
	}
	if text := Text(fmt.Errorf("put: %w", &codedError{"box-full", "wait"})); text != "put: full\ncode: box-full\nadvice: wait" || Text(errors.New("plain")) != "plain" {
		t.Errorf("%q", text)
	}
	if f = Fields(errors.New("plain")); f["code"] != nil || f["error"] == nil {
		t.Errorf("%v", f)
	}
}

func TestCheck(t *testing.T) {
	for _, all := range [][]Coded{{&codedError{"Box", "x"}}, {&codedError{"box-full", ""}}, {&codedError{"box-full", "x"}, &codedError{"box-full", "y"}}} {
		if Check(all) == nil {
			t.Errorf("invalid list that starts with code %v was accepted", all[0].Code())
		}
	}
	if err := Check([]Coded{&codedError{"box-full", "x"}, &codedError{"box-old", "y"}}); err != nil {
		t.Error(err)
	}
}
