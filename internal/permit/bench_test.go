package permit_test

import (
	"fmt"
	"testing"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/permit"
	"bulrushhinge.example/bulrushhinge/pkg/manifest"
)

// fleet returns a view of the given number of endpoints. Each node owns four of
// them, as at the target size.
func fleet(endpoints int) *kernel.View {
	const perOwner = 4
	v := &kernel.View{At: time.Unix(0, 0), Self: kernel.Node{Name: "n000"}, Pools: map[string]*kernel.Pool{}}
	p := &kernel.Pool{Service: manifest.Service{Name: "engines"}, Bound: 1.5, Live: endpoints}
	for i := range endpoints {
		owner := fmt.Sprintf("n%03d", i/perOwner)
		if i%perOwner == 0 {
			v.Nodes = append(v.Nodes, kernel.Node{Name: owner})
		}
		load := kernel.Load{Requests: 30, Tokens: 12000}
		p.Endpoints = append(p.Endpoints, kernel.Endpoint{
			Name: fmt.Sprintf("w%04d", i), Service: "engines", Owner: owner, Load: load,
		})
		p.Total = p.Total.Add(load)
	}
	v.Pools["engines"] = p
	return v
}

func BenchmarkAdmit(b *testing.B) {
	for _, endpoints := range []int{12, 240, 1200} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			v := fleet(endpoints)
			g := permit.New(permit.Config{View: func() *kernel.View { return v }})
			now := v.At.Add(time.Second)
			for i := range b.N {
				id := uint64(i) + 1
				g.Admit(now, permit.Request{ID: id, Endpoint: "w0001", Node: "n000", Tokens: 400, Lease: time.Minute})
				if i >= 100 {
					g.Release(now, permit.Release{ID: id - 100})
				}
			}
		})
	}
}
