package server

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"otterseam/gateway/membership"
)

func TestPeerSocketFiltersDatagrams(t *testing.T) {
	peer, _ := net.ListenPacket("udp", "127.0.0.1:0")
	unknown, _ := net.ListenPacket("udp", "127.0.0.1:0")
	defer peer.Close()
	defer unknown.Close()
	p, err := NewPeerSocket(nil, PeerOptions{Listen: "127.0.0.1:0", Addrs: []string{"127.0.0.1:1", peer.LocalAddr().String()}})
	if err != nil {
		t.Fatal(err)
	}
	received := make(chan string, 10)
	p.onReceive = func(from int, text string) { received <- fmt.Sprint(from, text) }
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = p.Write(ctx) }()
	go func() { _ = p.Read(ctx) }()
	at := p.udp.LocalAddr()
	_, _ = unknown.WriteTo([]byte("=team 1"), at)
	_, _ = peer.WriteTo([]byte(strings.Repeat("x", 257)), at)
	_, _ = peer.WriteTo([]byte("\x00\xff nonsense"), at)
	_, _ = peer.WriteTo([]byte("+h0"), at)
	if a, b := <-received, <-received; a != "1\x00\xff nonsense" || b != "1+h0" {
		t.Fatalf("received %q, %q", a, b)
	}
	p.send(7, "to nobody")
	p.send(1, "to one")
	p.send(membership.Broadcast, "-h0")
	b := make([]byte, 300)
	_ = peer.SetReadDeadline(time.Now().Add(3 * time.Second))
	for _, want := range []string{"to one", "-h0"} {
		if n, _, _ := peer.ReadFrom(b); string(b[:n]) != want {
			t.Fatalf("the peer got %q", b[:n])
		}
	}
}
