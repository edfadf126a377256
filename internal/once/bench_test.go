package once_test

import (
	"context"
	"net/http"
	"testing"

	"bulrushhinge.example/bulrushhinge/internal/once"
	"bulrushhinge.example/bulrushhinge/pkg/ticket"
)

func BenchmarkMint(b *testing.B) {
	r, _ := newRegistry(once.Config{})
	b.ReportAllocs()
	for b.Loop() {
		t, _ := r.Mint(account)
		_ = t.String()
	}
}

func BenchmarkParseAndState(b *testing.B) {
	r, _ := newRegistry(once.Config{})
	t, _ := r.Mint(account)
	text := t.String()
	b.ReportAllocs()
	for b.Loop() {
		read, _ := ticket.Parse(text)
		_ = r.State(read, account)
	}
}

func BenchmarkRedeemAndRun(b *testing.B) {
	r, _ := newRegistry(once.Config{Blocks: 1 << 30})
	b.ReportAllocs()
	for b.Loop() {
		t, _ := r.Mint(account)
		record, _, _ := r.Redeem(t, account, once.Print{1})
		record.Run(context.Background(), func(context.Context, http.ResponseWriter) (once.State, error) { return once.Done, nil })
		_ = r.Wait(context.Background())
	}
}
