package connqueue

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wheatsaddle/internal/testkit/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

// The wait is proportional to the price of a new connection, and bounded.
func TestMaxFreeConnWaitFollowsThePrice(t *testing.T) {
	for _, x := range []struct {
		price float64
		want  time.Duration
	}{{0, 0}, {-1, 0}, {0.08, 32 * time.Millisecond}, {0.5, 100 * time.Millisecond}, {7, 100 * time.Millisecond}} {
		if got := MaxFreeConnWait(x.price, 400*time.Millisecond); got != x.want {
			t.Errorf("price %v: wait of %v, want %v", x.price, got, x.want)
		}
	}
}

// queueModel is a Queue of attempts, which are numbers, with its expected state. Its times are a few nanoseconds.
type queueModel struct {
	queue    *Queue[int]
	settings Settings
	now      time.Duration
	inUse    int                   // connections
	lastItem int                   // the newest attempt
	waiting  []int                 // attempts in the order of the queue
	queuedAt map[int]time.Duration // by attempt
	pending  map[int]time.Duration // start times of connects by id
}

// testLateAfter is the duration after which a connect of queueModel is late, in nanoseconds.
const testLateAfter = 15

// recordRemoval checks that an item which left the queue was the first, and removes it.
func (m *queueModel) recordRemoval(t *rapid.T, item int, ok bool) bool {
	if ok && (len(m.waiting) == 0 || m.waiting[0] != item) {
		t.Fatalf("attempt %d left the queue out of order; %v are waiting", item, m.waiting)
	}
	if ok {
		m.waiting = m.waiting[1:]
		delete(m.queuedAt, item)
	}
	return ok
}

func (m *queueModel) popExpired(t *rapid.T) bool {
	item, ok := m.queue.PopExpired(m.now)
	return m.recordRemoval(t, item, ok)
}

func (m *queueModel) pop(t *rapid.T) bool {
	item, ok := m.queue.Pop()
	return m.recordRemoval(t, item, ok)
}

func (m *queueModel) failConnect(t *rapid.T, id int) bool {
	item, ok := m.queue.ConnectFailed(m.now, id, m.inUse)
	return m.recordRemoval(t, item, ok)
}

// drawPending draws the id of a pending connect, or 0.
func (m *queueModel) drawPending(t *rapid.T) int {
	for id := 1; id <= m.queue.lastID; id++ {
		if _, ok := m.pending[id]; ok && rapid.Bool().Draw(t, "this connect") {
			return id
		}
	}
	return 0
}

// neededConnects returns the expected result of Queue.neededConnects: one connect for each attempt that has waited for FreeConnWait,
// and at least one for every two waiting attempts beyond the number of connections in use.
func (m *queueModel) neededConnects() (n int) {
	for _, item := range m.waiting {
		if m.now >= m.queuedAt[item]+m.settings.FreeConnWait {
			n++
		}
	}
	return max(n, (len(m.waiting)-m.inUse+1)/2)
}

// startConnects removes expired attempts and starts the connects that are due, as a driver does after each change.
func (m *queueModel) startConnects(t *rapid.T) {
	for m.popExpired(t) {
	}
	for range m.queue.ConnectsDue(m.now, m.inUse, testLateAfter) {
		if rapid.IntRange(0, 5).Draw(t, "connect starts if over 0") > 0 {
			m.pending[m.queue.ConnectStarted(m.now)] = m.now
			continue
		}
		item, ok := m.queue.DropLast(m.now, m.inUse)
		if !ok {
			continue
		}
		last := len(m.waiting) - 1
		if item != m.waiting[last] {
			t.Fatalf("attempt %d was dropped, not the last of %v", item, m.waiting)
		}
		m.waiting = m.waiting[:last]
		delete(m.queuedAt, item)
	}
}

func (m *queueModel) enqueue(t *rapid.T) {
	m.lastItem++
	m.queue.Enqueue(m.now, m.lastItem)
	m.waiting, m.queuedAt[m.lastItem] = append(m.waiting, m.lastItem), m.now
	m.startConnects(t)
}

func (m *queueModel) connectSucceeded(t *rapid.T) {
	id := m.drawPending(t)
	if id == 0 {
		return
	}
	if took := m.queue.ConnectSucceeded(m.now, id); took != m.now-m.pending[id] {
		t.Fatalf("wrong connect time %v of a connect that succeeded", took)
	}
	delete(m.pending, id)
	if m.pop(t) {
		m.inUse++
	}
	m.startConnects(t)
}

func (m *queueModel) connectFailed(t *rapid.T) {
	id := m.drawPending(t)
	if id == 0 {
		return
	}
	delete(m.pending, id)
	covered := m.neededConnects() <= len(m.pending)
	if m.failConnect(t, id) == covered && len(m.waiting) > 0 {
		t.Fatalf("a failed connect must remove the first attempt unless enough others are pending (%v); %v are waiting", covered, m.waiting)
	}
	m.startConnects(t)
}

func (m *queueModel) cancel(t *rapid.T) {
	if m.lastItem == 0 {
		return
	}
	item := rapid.IntRange(1, m.lastItem).Draw(t, "attempt")
	_, waits := m.queuedAt[item]
	if m.queue.Remove(item) != waits {
		t.Fatalf("wrong result of removing attempt %d, which waits: %v", item, waits)
	}
	delete(m.queuedAt, item)
	m.waiting = slices.DeleteFunc(m.waiting, func(x int) bool { return x == item })
}

func (m *queueModel) advanceTime(t *rapid.T) {
	at, ok := m.queue.Next(m.now, testLateAfter)
	m.now += time.Duration(rapid.IntRange(0, 60).Draw(t, "ns"))
	if ok {
		m.now = min(m.now, max(at, m.now-60))
	}
	m.startConnects(t)
}

func (m *queueModel) check(t *rapid.T) {
	if m.queue.Len() != len(m.waiting) || len(m.queue.pendingConnects) != len(m.pending) {
		t.Fatalf("%d attempts wait and %d connects are pending, want %v and %v", m.queue.Len(), len(m.queue.pendingConnects), m.waiting, m.pending)
	}
	for _, item := range m.waiting {
		if m.now >= m.queuedAt[item]+m.settings.FreeConnWait+m.settings.ConnectTimeout && m.now > m.queuedAt[item] {
			t.Fatalf("attempt %d waits too long: since %v, it is now %v", item, m.queuedAt[item], m.now)
		}
	}
}

func TestQueueKeepsItsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := queueModel{queuedAt: map[int]time.Duration{}, pending: map[int]time.Duration{}}
		m.settings.FreeConnWait = time.Duration(rapid.IntRange(0, 50).Draw(t, "free connection wait"))
		m.settings.ConnectTimeout = time.Duration(rapid.IntRange(20, 60).Draw(t, "connect timeout"))
		m.queue = New[int](m.settings)
		t.Repeat(map[string]func(*rapid.T){
			"enqueue": m.enqueue,
			"connection freed": func(t *rapid.T) {
				if m.inUse > 0 && !m.pop(t) {
					m.inUse--
				}
			},
			"connection broken": func(t *rapid.T) {
				if m.inUse > 0 {
					m.inUse--
				}
				m.startConnects(t)
			},
			"connect succeeded": m.connectSucceeded,
			"connect failed":    m.connectFailed,
			"cancel":            m.cancel,
			"advance time":      m.advanceTime,
			"":                  m.check,
		})
	})
}

// An attempt whose connect is late uses the connection of a second connect. An attempt whose only connect fails leaves the
// queue.
func TestAnotherConnectStartsBesideALateOne(t *testing.T) {
	const ms = time.Millisecond
	q := New[string](Settings{ConnectTimeout: 250 * ms})
	q.Enqueue(0, "a")
	if n := q.ConnectsDue(0, 3, 20*ms); n != 1 {
		t.Fatalf("%d connects are due at first, want 1", n)
	}
	slow := q.ConnectStarted(0)
	if at, ok := q.Next(0, 20*ms); !ok || at != 20*ms || q.ConnectsDue(at-1, 3, 20*ms) != 0 || q.ConnectsDue(at, 3, 20*ms) != 1 {
		t.Fatalf("no second connect is due once the first is late; next call at %v", at)
	}
	quick := q.ConnectStarted(20 * ms)
	if n := q.ConnectsDue(60*ms, 3, 20*ms); n != 0 {
		t.Fatalf("%d further connects are due although two are pending", n)
	}
	if _, ok := q.ConnectFailed(70*ms, slow, 3); ok {
		t.Fatal("the attempt left the queue while another connect was pending")
	}
	q.ConnectSucceeded(80*ms, quick)
	if a, ok := q.Pop(); !ok || a != "a" {
		t.Fatal("the attempt did not get the connection")
	}
	q.Enqueue(90*ms, "b")
	q.ConnectsDue(90*ms, 3, 20*ms)
	if b, ok := q.ConnectFailed(91*ms, q.ConnectStarted(90*ms), 3); !ok || b != "b" {
		t.Fatal("the attempt is still waiting after its only connect failed")
	}
}

// Attempts wait for the connections that will be free soon, and only the others get a connect.
func TestAttemptsWaitForConnectionsThatAreFreeSoon(t *testing.T) {
	q := New[int](Settings{ConnectTimeout: time.Second})
	for i := range 3 {
		q.Enqueue(0, i)
	}
	q.SetFreeSoon(2)
	if n := q.ConnectsDue(0, 2, time.Hour); n != 1 {
		t.Errorf("%d connects are due for three attempts and two connections, want 1", n)
	}
	if _, dropped := q.DropLast(0, 2); !dropped {
		t.Error("the attempt without a connection was not dropped when no connect is possible")
	}
	if _, dropped := q.DropLast(0, 2); dropped {
		t.Error("an attempt that waits for a connection was dropped")
	}
	q.SetFreeSoon(0)
	if n := q.ConnectsDue(0, 2, time.Hour); n != 2 {
		t.Errorf("%d connects are due for two attempts and no connection, want 2", n)
	}
}
