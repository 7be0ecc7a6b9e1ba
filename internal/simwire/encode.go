package simwire

import (
	"encoding/base64"
	"encoding/json"
	"strconv"

	"wheatsaddle/policy"
)

// End is the line that closes a reply.
const End = "[\"EOR\"]\n"

// allPeers is the receiver of gossip that goes to every peer.
const allPeers = "all"

// Encode appends one action line of an instance.
func Encode(dst []byte, instance string, a policy.Action) []byte {
	switch a.Kind {
	case policy.Send:
		return begin(dst, "PASS_ON", instance).text(a.ID).text(a.Node).number(a.Deadline).end()
	case policy.Reject:
		return begin(dst, "REFUSE", instance).text(a.ID).number(a.Wait).end()
	case policy.Fail:
		return begin(dst, "END_FAILED", instance).text(a.ID).end()
	case policy.Cancel:
		return begin(dst, "ABANDON", instance).text(a.ID).integer(a.Attempt).end()
	case policy.SetTimer:
		return begin(dst, "SET_TIMER", instance).number(a.Wait).text(a.Tag).end()
	case policy.Subscribe:
		return begin(dst, "KEEP_INFORMED", instance).flag(true).end()
	case policy.RequestList:
		return begin(dst, "READ_LIST", instance).end()
	case policy.CheckHealth:
		return begin(dst, "TEST", instance).text(a.Node).end()
	case policy.Gossip:
		return begin(dst, "ANNOUNCE", instance).text(allPeers).text(base64.StdEncoding.EncodeToString(a.Data)).end()
	case policy.Log:
		return begin(dst, "PRINT", instance).text(a.Text).end()
	}
	return dst
}

// EncodeBroken appends the line that declares an instance failed.
func EncodeBroken(dst []byte, instance, text string) []byte {
	return begin(dst, "BROKEN", instance).text(text).end()
}

// lineWriter appends the values of one line.
type lineWriter []byte

// begin appends the start of a line: its word, and the instance that it is from.
func begin(dst []byte, word, instance string) lineWriter {
	w := append(lineWriter(dst), `["`...)
	w = append(w, word...)
	return append(w, '"').text(instance)
}

func (w lineWriter) text(s string) lineWriter {
	quoted, err := json.Marshal(s)
	if err != nil { // a string always has a JSON form
		panic(err)
	}
	return append(append(w, ','), quoted...)
}

// number appends a number with three decimals.
func (w lineWriter) number(v float64) lineWriter {
	return strconv.AppendFloat(append(w, ','), v, 'f', 3, 64)
}

func (w lineWriter) integer(v int) lineWriter { return strconv.AppendInt(append(w, ','), int64(v), 10) }

func (w lineWriter) flag(v bool) lineWriter { return strconv.AppendBool(append(w, ','), v) }

// end closes the line.
func (w lineWriter) end() []byte { return append(w, "]\n"...) }
