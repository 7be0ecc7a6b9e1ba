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
			listener, err := net.Listen(network, address)
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			client, err := net.Dial(network, listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			stream, err := DisableSplice(client)
			if err != nil {
				t.Fatal(err)
			}
			peer, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer peer.Close()
			if HasUndelivered(stream) {
				t.Error("undelivered before the first byte")
			}
			_ = client.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
			for piece := make([]byte, 64<<10); ; {
				if _, err := client.Write(piece); err != nil {
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
