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

// Fields and Text find the code and the advice of a wrapped error, and accept errors without a code.
func TestFieldsFindTheCodeInAChain(t *testing.T) {
	f := Fields(fmt.Errorf("put: %w", &codedError{"box-full", "wait"}))
	if f["code"] != "box-full" || f["advice"] != "wait" {
		t.Errorf("fields of a wrapped error with a code: %v", f)
	}
	if text := Text(fmt.Errorf("put: %w", &codedError{"box-full", "wait"})); text != "put: full\ncode: box-full\nadvice: wait" || Text(errors.New("plain")) != "plain" {
		t.Errorf("text of a wrapped error with a code is %q, or that of an error without a code is wrong", text)
	}
	if f = Fields(errors.New("plain")); f["code"] != nil || f["error"] == nil {
		t.Errorf("fields of an error without a code: %v", f)
	}
}

// Check rejects a malformed code, missing advice, and a code that two errors share.
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
