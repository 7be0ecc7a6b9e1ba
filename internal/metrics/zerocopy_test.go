package metrics

import (
	"fmt"
	"strings"
	"testing"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/testkit/fake/refuser"
)

// A long response is complete on connections where splice and sendfile fail, and neither is called.
func TestResponseWithoutZeroCopy(t *testing.T) {
	ln, err := refuser.Listen()
	if err != nil {
		t.Fatal(err)
	}
	log, _ := logtest.NewNullLogger()
	m := Serve(ln, log)
	defer m.Close()
	const series = 2000
	for i := range series {
		m.Counter("some", "of", fmt.Sprint(i)).Inc()
	}
	_, body, err := fasthttp.Get(nil, "http://"+ln.Addr().String()+"/metrics")
	if n := strings.Count(string(body), "wheatsaddle_some{"); err != nil || n != series {
		t.Errorf("the response has %d of %d series, error %v", n, series, err)
	}
	if n := ln.Count(); n > 0 {
		t.Errorf("%d calls of splice or sendfile", n)
	}
}
