package transport

import (
	"net"
	"testing"
	"time"
)

// Guards against a slow read of the peer that is not seen: bytes that the peer's machine has not taken are reported, and once it has
// taken them they are not.
func TestUndeliveredBytesAreSeen(t *testing.T) {
	for network, address := range map[string]string{"tcp": "127.0.0.1:0", "unix": t.TempDir() + "/s"} {
		t.Run(network, func(t *testing.T) {
			stream, peer := connectedPair(t, network, address)
			if HasUndelivered(stream) {
				t.Error("undelivered before the first byte")
			}
			_ = stream.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
			for piece := make([]byte, 64<<10); ; {
				if _, err := stream.Write(piece); err != nil {
					break
				}
			}
			if !HasUndelivered(stream) {
				t.Error("delivered though the peer reads nothing")
			}
			go func() {
				for piece := make([]byte, 64<<10); ; {
					if _, err := peer.Read(piece); err != nil {
						return
					}
				}
			}()
			for deadline := time.Now().Add(5 * time.Second); HasUndelivered(stream); time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatal("undelivered though the peer has read all")
				}
			}
		})
	}
}

// Guards against a wait for bytes that have come already, or that can never come: input is counted without being consumed, and its end is
// seen though bytes are left to read.
func TestQueuedInputIsCounted(t *testing.T) {
	for network, address := range map[string]string{"tcp": "127.0.0.1:0", "unix": t.TempDir() + "/s"} {
		t.Run(network, func(t *testing.T) {
			stream, peer := connectedPair(t, network, address)
			if size, ended := QueuedInput(stream), InputEnded(stream); size != 0 || ended {
				t.Errorf("%d bytes, ended %v, before the first byte", size, ended)
			}
			sent := 0
			for _, size := range []int{1, 999, 40_000} {
				_, _ = peer.Write(make([]byte, size))
				sent += size
				awaitInput(t, stream, sent, false)
			}
			_ = peer.Close()
			awaitInput(t, stream, sent, true)
			_ = stream.Close()
			if !InputEnded(stream) {
				t.Error("not ended after the close")
			}
		})
	}
}

// connectedPair returns both ends of a connection.
func connectedPair(t *testing.T, network, address string) (stream Stream, peer net.Conn) {
	t.Helper()
	listener, err := net.Listen(network, address)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err := net.Dial(network, listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	if stream, err = DisableSplice(client); err != nil {
		t.Fatal(err)
	}
	if peer, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	return stream, peer
}

// awaitInput waits until QueuedInput and InputEnded return what is wanted.
func awaitInput(t *testing.T, stream Stream, wantSize int, wantEnded bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		size, ended := QueuedInput(stream), InputEnded(stream)
		if size == wantSize && ended == wantEnded {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes, ended %v, want %d and %v", size, ended, wantSize, wantEnded)
		}
	}
}

// Guards against acknowledgements on their way to the peer that count as undelivered bytes: connections were closed after a response in
// place of being used again.
func TestAcknowledgementsAreNotUndelivered(t *testing.T) {
	const pieces, pieceSize = 20_000, 500
	stream, peer := connectedPair(t, "tcp", "127.0.0.1:0")
	go func() {
		for range pieces {
			if _, err := peer.Write(make([]byte, pieceSize)); err != nil {
				return
			}
		}
	}()
	wrong, piece := 0, make([]byte, pieceSize)
	for received := 0; received < pieces*pieceSize; {
		n, err := stream.Read(piece)
		if err != nil {
			t.Fatal(err)
		}
		received += n
		if HasUndelivered(stream) {
			wrong++
		}
	}
	if wrong > 0 {
		t.Errorf("undelivered after %d reads though nothing was written", wrong)
	}
}
