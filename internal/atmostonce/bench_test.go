package atmostonce_test

import (
	"context"
	"net/http"
	"testing"

	"bulrushhinge.example/bulrushhinge/internal/atmostonce"
	"bulrushhinge.example/bulrushhinge/pkg/ticket"
)

func BenchmarkMint(b *testing.B) {
	r, _ := newRegistry(atmostonce.Config{})
	b.ReportAllocs()
	for b.Loop() {
		t, _ := r.Mint(account)
		_ = t.String()
	}
}

func BenchmarkParseAndState(b *testing.B) {
	r, _ := newRegistry(atmostonce.Config{})
	t, _ := r.Mint(account)
	text := t.String()
	b.ReportAllocs()
	for b.Loop() {
		read, _ := ticket.Parse(text)
		_ = r.State(read, account)
	}
}

func BenchmarkRedeemAndRun(b *testing.B) {
	r, _ := newRegistry(atmostonce.Config{Blocks: 1 << 30})
	b.ReportAllocs()
	for b.Loop() {
		t, _ := r.Mint(account)
		record, _, _ := r.Redeem(t, account, atmostonce.Print{1})
		record.Run(context.Background(), func(context.Context, http.ResponseWriter) (atmostonce.State, error) { return atmostonce.Done, nil })
		_ = r.Wait(context.Background())
	}
}
