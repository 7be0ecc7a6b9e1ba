package simwire

import (
	"encoding/base64"
	"encoding/json"
	"strconv"

	"wheatsaddle/policy"
)

// ReplyEnd is the last line of a reply.
const ReplyEnd = "[\"EOR\"]\n"

// allPeers is the receiver of gossip that goes to every peer.
const allPeers = "all"

// Encode appends one action line of an instance.
func Encode(dst []byte, instance string, a policy.Action) []byte {
	switch a.Kind {
	case policy.Send:
		return beginLine(dst, "PASS_ON", instance).appendText(a.ID).appendText(a.Node).appendNumber(a.Deadline).endLine()
	case policy.Reject:
		return beginLine(dst, "REFUSE", instance).appendText(a.ID).appendNumber(a.Wait).endLine()
	case policy.Fail:
		return beginLine(dst, "END_FAILED", instance).appendText(a.ID).endLine()
	case policy.Cancel:
		return beginLine(dst, "ABANDON", instance).appendText(a.ID).appendInteger(a.Attempt).endLine()
	case policy.SetTimer:
		return beginLine(dst, "SET_TIMER", instance).appendNumber(a.Wait).appendText(a.Tag).endLine()
	case policy.Subscribe:
		return beginLine(dst, "KEEP_INFORMED", instance).appendBool(true).endLine()
	case policy.RequestList:
		return beginLine(dst, "READ_LIST", instance).endLine()
	case policy.CheckHealth:
		return beginLine(dst, "TEST", instance).appendText(a.Node).endLine()
	case policy.Gossip:
		return beginLine(dst, "ANNOUNCE", instance).appendText(allPeers).appendText(base64.StdEncoding.EncodeToString(a.Data)).endLine()
	case policy.Log:
		return beginLine(dst, "PRINT", instance).appendText(a.Text).endLine()
	}
	return dst
}

// EncodeInstanceFailure appends the line that reports the failure of an instance.
func EncodeInstanceFailure(dst []byte, instance, text string) []byte {
	return beginLine(dst, "BROKEN", instance).appendText(text).endLine()
}

// lineWriter appends the values of one line.
type lineWriter []byte

// beginLine appends the start of a line: its word and the instance that sends it.
func beginLine(dst []byte, word, instance string) lineWriter {
	w := append(lineWriter(dst), `["`...)
	w = append(w, word...)
	return append(w, '"').appendText(instance)
}

func (w lineWriter) appendText(s string) lineWriter {
	quoted, err := json.Marshal(s)
	if err != nil { // a string can always be marshaled
		panic(err)
	}
	return append(append(w, ','), quoted...)
}

// appendNumber appends a number with three decimal places.
func (w lineWriter) appendNumber(v float64) lineWriter {
	return strconv.AppendFloat(append(w, ','), v, 'f', 3, 64)
}

func (w lineWriter) appendInteger(v int) lineWriter {
	return strconv.AppendInt(append(w, ','), int64(v), 10)
}

func (w lineWriter) appendBool(v bool) lineWriter { return strconv.AppendBool(append(w, ','), v) }

// endLine ends the line and returns the bytes.
func (w lineWriter) endLine() []byte { return append(w, "]\n"...) }
