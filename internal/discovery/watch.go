package discovery

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/core"
	"wheatsaddle/internal/discovery/watchtimer"
	"wheatsaddle/internal/interleave/sync"
	"wheatsaddle/internal/interleave/sync/atomic"
	"wheatsaddle/internal/operr"
	"wheatsaddle/internal/transport"
	"wheatsaddle/policy"
)

// Watcher holds the node list and its watch. Its goroutine alone applies what calls read, so that the list needs no
// lock; listclock decides when a call is opened or closed.
type Watcher struct {
	Address            string
	Version            int64                 // version of the held list
	CachedNodes        []core.Node           // the list known before the first call
	OnUpdate           func(core.ListUpdate) // receives each change and failure of the list
	Log                logrus.FieldLogger
	Timer              watchtimer.Settings
	Pacer              StartPacer // says when a starting process calls; nil: the clock does
	OnUnchanged        func()     // called when a watch reports that nothing followed the held version; may be nil
	nodes              map[string]core.Node
	removedStartTimes  map[string]float64 // start times of nodes that left, maxRemovedNodes at most
	addressChanges     chan string
	received           chan callMessage
	initOnce           sync.Once
	timer              *watchtimer.Timer
	calls              map[int]context.CancelFunc
	lastInvalidListLog atomic.Int64 // elapsed time at which a bad list was last logged; 0: never
	// elapsed and openWatch stand for the time and the network, so that tests can replace both.
	elapsed   func() time.Duration // since the start
	openWatch func(ctx context.Context, address string, index int64, put func(callMessage)) error
}

// Pacer says when a starting process calls for the list, until the first message. Its methods must not block.
type StartPacer interface {
	CallDue() <-chan struct{} // call now
	CallFailed()              // a call was refused, failed or stayed unanswered
}

// callMessage is one message that a call read, or the call's end.
type callMessage struct {
	call      int
	list      *List // nil: a heartbeat, or the end
	unchanged bool  // a heartbeat before any list: nothing followed the requested version
	err       error // the call has ended
}

// initChannels makes the channels at first use, as Move may come before Run.
func (w *Watcher) initChannels() {
	w.initOnce.Do(func() { w.addressChanges, w.received = make(chan string), make(chan callMessage, 1) })
}

// SetAddress watches at another address from now on. The current call remains valid until a call at the new address
// brings a message or the current one ends. Move returns false if the context ended first.
func (w *Watcher) SetAddress(ctx context.Context, address string) bool {
	w.initChannels()
	return sync.SendOr(w.addressChanges, address, ctx.Done())
}

// Run watches until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	start := time.Now()
	w.elapsed, w.openWatch = func() time.Duration { return time.Since(start) }, w.runCall
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	w.runWithTimer(ctx, wake.C, func(at time.Duration) { wake.Reset(at - w.elapsed()) })
}

// runWithTimer is Run with the caller's timer: reset sets the time at which wake must fire.
func (w *Watcher) runWithTimer(ctx context.Context, wake <-chan time.Time, reset func(time.Duration)) {
	w.initChannels()
	settings := w.Timer
	var due <-chan struct{}
	if w.Pacer != nil {
		settings.ExternallyPaced, due = true, w.Pacer.CallDue()
	}
	w.timer, w.calls = watchtimer.New(settings), map[int]context.CancelFunc{}
	w.stepTimer(ctx, watchtimer.Event{Kind: watchtimer.Started}, nil)
	for {
		reset(w.timer.NextTimer())
		_, address, _, l, _, which := sync.First5(ctx.Done(), w.addressChanges, wake, w.received, due)
		if ctx.Err() != nil { // the select may have chosen another ready case; nothing is reported after the stop
			return
		}
		switch which {
		case 1:
			if address != w.Address {
				w.Address = address
				w.stepTimer(ctx, watchtimer.Event{Kind: watchtimer.AddressChanged}, nil)
			}
		case 2:
			w.stepTimer(ctx, watchtimer.Event{Kind: watchtimer.TimerFired}, &WatchSilentError{})
		case 3:
			w.handleCallMessage(ctx, l)
		default:
			w.stepTimer(ctx, watchtimer.Event{Kind: watchtimer.RequestDue}, nil)
		}
	}
}

// handleCallMessage applies a message of a call, or its end. What arrives from a call already closed is ignored.
func (w *Watcher) handleCallMessage(ctx context.Context, message callMessage) {
	switch {
	case w.calls[message.call] == nil: // the call is over
	case message.err != nil:
		w.calls[message.call]()
		delete(w.calls, message.call)
		w.stepTimer(ctx, watchtimer.Event{Kind: watchtimer.CallEnded, Call: message.call}, message.err)
	default:
		w.stepTimer(ctx, watchtimer.Event{Kind: watchtimer.MessageReceived, Call: message.call}, nil)
		w.handleMessage(message)
	}
}

// stepTimer gives the clock an event and carries out its actions; cause is logged if the list goes down.
func (w *Watcher) stepTimer(ctx context.Context, e watchtimer.Event, cause error) {
	for _, a := range w.timer.Step(w.elapsed(), e) {
		switch a.Kind {
		case watchtimer.OpenCall:
			w.startCall(ctx, a.Call)
		case watchtimer.CloseCall:
			w.calls[a.Call]()
			delete(w.calls, a.Call)
		case watchtimer.ReportDown:
			// The clock reports this once for each time the list goes down, not for each failed call.
			w.Log.WithFields(operr.Fields(cause)).Warn("watch ended, connecting again")
			w.OnUpdate(core.ListUpdate{Kind: policy.ListFailed})
		case watchtimer.ReportMissed:
			w.Pacer.CallFailed()
		}
	}
}

// handleMessage applies a list. An older list than the held one counts only if it is a full one.
func (w *Watcher) handleMessage(message callMessage) {
	if message.unchanged && w.OnUnchanged != nil {
		w.OnUnchanged()
	}
	// A change older than the held version comes from a source that lags behind the watch it replaces.
	if message.list == nil || !message.list.Full && message.list.Version < w.Version {
		return
	}
	if message.list.Full && message.list.Version < w.Version {
		w.preserveDrainsAndRemovals(message.list)
	}
	sync.Writes(&w.Version)
	w.Version = message.list.Version
	update := w.applyList(*message.list)
	update.Index = w.Version
	w.OnUpdate(update)
}

// startCall starts a call at the current address, from the held version.
func (w *Watcher) startCall(ctx context.Context, call int) {
	callCtx, stop := sync.WithCancel(ctx)
	w.calls[call] = stop
	address, index := w.Address, w.Version
	sync.Go(func() {
		put := func(l callMessage) {
			l.call = call
			sync.SendOr(w.received, l, callCtx.Done())
		}
		err := w.openWatch(callCtx, address, index, put)
		var c operr.Coded
		if !errors.As(err, &c) {
			err = &CallError{address, err}
		}
		put(callMessage{err: err})
	})
}

// runCall opens a connection, requests what followed the version, and reads messages until the connection ends.
// It sets no read deadline: listclock detects silent calls and cancels the context.
func (w *Watcher) runCall(ctx context.Context, address string, index int64, put func(callMessage)) error {
	conn, err := transport.DialTCP(ctx, address, dialTimeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	var req fasthttp.Request
	req.SetRequestURI(watchPath + "?watch=1&after=" + strconv.FormatInt(index, 10))
	req.Header.SetHost(address)
	writer := bufio.NewWriter(conn)
	if err = req.Write(writer); err == nil {
		err = writer.Flush()
	}
	if err != nil {
		return err
	}
	reader := bufio.NewReader(conn)
	head, err := readHead(reader)
	if err != nil {
		return err
	}
	if head.StatusCode() != fasthttp.StatusOK {
		return &CallRejectedError{head.StatusCode()}
	}
	return w.readLines(body(head, reader), put)
}

// readHead reads the response's head and skips interim (1xx) ones.
func readHead(br *bufio.Reader) (*fasthttp.ResponseHeader, error) {
	head := &fasthttp.ResponseHeader{}
	for range maxInterimResponses {
		if err := head.Read(br); err != nil {
			return nil, err
		}
		if status := head.StatusCode(); status < 100 || status > 199 {
			return head, nil
		}
	}
	return nil, &MalformedError{Reason: "too many interim answers"}
}

// body is the response's body. Each byte can be read as soon as it has arrived; fasthttp's own stream would hold
// back the end of a chunk until the line end after the chunk has arrived as well.
func body(head *fasthttp.ResponseHeader, br *bufio.Reader) io.Reader {
	switch length := head.ContentLength(); {
	case length == chunkedLength:
		return httputil.NewChunkedReader(br)
	case length >= 0:
		return io.LimitReader(br, int64(length))
	}
	return br
}

// readLines reads the messages of a watch. A list may be indented and span several lines: it goes on until its
// first brace is closed. Within a list no line is empty or begins with a brace, so such a line shows that the
// list was cut off. A line that cannot be decoded is logged and ends the watch; the held list and its version
// stay, so that the next call requests what was missed. It is not reported as a message, because listclock would
// then close other calls that may still be valid.
func (w *Watcher) readLines(stream io.Reader, put func(callMessage)) error {
	scanner := bufio.NewScanner(stream)
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	var object []byte
	var nesting jsonNesting
	lastVersion := int64(-1)
	for scanner.Scan() {
		rawLine := scanner.Bytes()
		text := bytes.TrimSpace(rawLine)
		truncated := object != nil && (len(text) == 0 || rawLine[0] == '{')
		if len(text) == 0 && !truncated {
			put(callMessage{unchanged: lastVersion < 0}) // after a list it is only a heartbeat
			continue
		}
		if !truncated {
			open := nesting.continues(text)
			if object != nil || open {
				if object = append(append(object, text...), '\n'); len(object) > maxLineBytes {
					return &MalformedError{Reason: fmt.Sprintf("over %d bytes", maxLineBytes)}
				}
				text = object
			}
			if open {
				continue
			}
		} else {
			text = object
		}
		l, err := Decode(text)
		object, nesting = nil, jsonNesting{}
		if err != nil {
			if w.allowInvalidListLog() {
				w.Log.WithFields(operr.Fields(err)).Warn("bad watch line passed over")
			}
			return err
		}
		w.logInvalidParts(&l)
		if l.Version < lastVersion { // an older list after a newer one counts as a heartbeat only
			put(callMessage{})
			continue
		}
		lastVersion = l.Version
		put(callMessage{list: &l})
	}
	if err := scanner.Err(); err != nil {
		return err
	}
	return io.EOF
}

// logInvalidParts logs the entries and addresses that were left out of a list.
func (w *Watcher) logInvalidParts(l *List) {
	if len(l.InvalidEntries)+len(l.InvalidAddresses) == 0 || !w.allowInvalidListLog() {
		return
	}
	for _, bad := range l.InvalidEntries {
		w.Log.WithFields(operr.Fields(bad)).Warn("list entry left out")
	}
	for _, bad := range l.InvalidAddresses {
		w.Log.WithFields(operr.Fields(bad)).Warn("address left out")
	}
}

// allowInvalidListLog limits the log of bad lists to one in invalidListLogInterval: an agent may be called many times a
// second and serve the same bad list each time.
func (w *Watcher) allowInvalidListLog() bool {
	now, last := int64(w.elapsed()), w.lastInvalidListLog.Load()
	return (last == 0 || now-last >= int64(invalidListLogInterval)) && w.lastInvalidListLog.CompareAndSwap(last, max(now, 1))
}

// jsonNesting tracks the nesting of a JSON text that arrives in pieces.
type jsonNesting struct {
	level             int
	inString, escaped bool
}

// continues reads a piece and reports whether an object or list is still open at its end.
func (d *jsonNesting) continues(piece []byte) bool {
	for _, b := range piece {
		switch {
		case d.escaped:
			d.escaped = false
		case d.inString:
			d.escaped, d.inString = b == '\\', b != '"'
		case b == '"':
			d.inString = true
		case b == '{' || b == '[':
			d.level++
		case b == '}' || b == ']':
			d.level--
		}
	}
	return d.level > 0
}
