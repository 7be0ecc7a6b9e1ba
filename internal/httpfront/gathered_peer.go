package httpfront

import (
	"bytes"
	"strconv"

	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/core"
)

// EncodePeerRequest encodes a client's gathered read for a peer process, as the client would have sent it there. It leaves out
// the id, the deadline and the gather fields, which the caller sets.
func EncodePeerRequest(client *core.Request, to *fasthttp.Request) {
	line, rest, _ := bytes.Cut(client.Payload.(*nodeRequest).head, []byte("\r\n"))
	uri := bytes.Split(line, []byte(" "))[1]
	to.Header.SetMethod(fasthttp.MethodGet)
	to.SetRequestURIBytes(uri)
	to.Header.Set("Tier", client.Plan)
	to.Header.SetCookie("extent", client.Key)
	if _, key, hasKey := bytes.Cut(rest, []byte("\r\nIdempotency-Key: ")); hasKey {
		to.Header.SetBytesV("Idempotency-Key", key)
	}
	info := append([]byte("volume="), client.Volume...)
	info = strconv.AppendFloat(append(info, ",units="...), client.Units, 'g', -1, 64)
	info = strconv.AppendInt(append(info, ",shard="...), int64(client.Shard), 10)
	info = strconv.AppendInt(append(info, ",hosts="...), int64(client.Schedulers), 10)
	to.Header.SetBytesV("IO-Info", info)
}
