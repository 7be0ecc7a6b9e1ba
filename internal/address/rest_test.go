package address

import "testing"

// A resting connection carries no request; after its rest it carries the next one, without a connect.
func TestRestingConnectionCarriesNoRequest(t *testing.T) {
	h := newHarness(Defaults(), ipv6Addr, ipv4Addr)
	h.queueRequest(true)
	h.establish(h.connecting[0])
	rested := h.busy[0]
	h.respondAndRest(rested)
	h.queueRequest(true)
	if h.countActions(Write) != 0 || h.countActions(Connect) != 1 {
		t.Fatalf("actions %+v, want a connect and no write", h.actions)
	}
	h.endRest(rested, ConnRested)
	if c, _ := h.lastAction(Write); c != rested {
		t.Errorf("actions %+v, want the waiting request on the rested connection", h.actions)
	}
	if h.violation != nil {
		t.Error(h.violation)
	}
}

// A resting connection is closed when its address or its node is removed, and at the end of its rest if its address failed.
func TestRestingConnectionIsClosed(t *testing.T) {
	for name, event := range map[string]func(h *harness, rested Conn){
		"address removed": func(h *harness, _ Conn) { h.setAddresses(ipv4Addr) },
		"node removed":    func(h *harness, _ Conn) { h.step(Event{Kind: NodeRemoved}) },
		"address of another node": func(h *harness, rested Conn) {
			h.queueRequest(true)
			h.establish(h.connecting[0])
			h.respond(h.busy[0], VerdictWrongNode)
			h.endRest(rested, ConnRested)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(Defaults(), ipv6Addr, ipv4Addr)
			h.queueRequest(true)
			h.establish(h.connecting[0])
			rested := h.busy[0]
			h.respondAndRest(rested)
			event(h, rested)
			if c, _ := h.lastAction(Close); c != rested {
				t.Errorf("actions %+v, want the resting connection closed", h.actions)
			}
			if h.violation != nil {
				t.Error(h.violation)
			}
		})
	}
}
