package workload

import (
	"time"

	"bulrushhinge.example/bulrushhinge/pkg/trace"
)

const (
	boundThies      = 1.5
	boundKaramanlis = 1.25

	// importRate is in tokens a second: a model with 64 KB a token over 25 Gbit/s.
	importRate = 48_000
)

var (
	// thies is the Régie Municipale d'Épargne de Thiès: histories of depositors that
	// agents return to, renewal notices that must not be repeated, and calls of the
	// counter application.
	thies = shape{
		name:  "thies",
		bound: boundThies,
		delay: time.Millisecond,
		zones: []string{"z1", "z2", "z3"},
		models: []trace.Model{
			{Name: "notices", Step: trace.Duration(5 * time.Millisecond), Cache: 250_000, Import: importRate},
			{Name: "counter", Plain: true, Step: trace.Duration(5 * time.Millisecond)},
		},
		endpoints: map[string]int{"notices": 12, "counter": 3},
		rate:      45,
		tasks: []task{
			{
				model: "notices", share: 0.25, first: sizes{800, 3000}, later: sizes{40, 150}, output: sizes{250, 500},
				turns: 8, pause: 30 * time.Second, deadline: 8 * time.Second,
			},
			{
				model: "notices", share: 0.30, first: sizes{60, 200}, later: sizes{30, 80}, output: sizes{80, 240},
				turns: 4, pause: 15 * time.Second, deadline: 5 * time.Second, priority: 1,
			},
			{
				model: "notices", share: 0.15, first: sizes{400, 800}, later: sizes{1, 1}, output: sizes{400, 700},
				turns: 1, deadline: 10 * time.Second, once: true,
			},
			{
				model: "counter", share: 0.25, first: sizes{20, 60}, later: sizes{1, 1}, output: sizes{2, 6},
				turns: 1, deadline: 2 * time.Second, priority: 1,
			},
			{
				model: "counter", share: 0.05, first: sizes{20, 60}, later: sizes{1, 1}, output: sizes{2, 6},
				turns: 1, deadline: 2 * time.Second, once: true, priority: 1,
			},
		},
	}

	// karamanlis is Karamanlis Wholesale Supply: long catalogue summaries that must not
	// be repeated, label rewrites, short tags, chats of buyers, and price lookups.
	karamanlis = shape{
		name:  "karamanlis",
		bound: boundKaramanlis,
		delay: 500 * time.Microsecond,
		zones: []string{"z1", "z2", "z3", "z4"},
		models: []trace.Model{
			{Name: "catalogue", Step: trace.Duration(10 * time.Millisecond), Cache: 250_000, Import: importRate},
			{Name: "prices", Plain: true, Step: trace.Duration(5 * time.Millisecond)},
		},
		endpoints: map[string]int{"catalogue": 20, "prices": 4},
		rate:      70,
		tasks: []task{
			{
				model: "catalogue", share: 0.10, first: sizes{2000, 5000}, later: sizes{1, 1}, output: sizes{400, 800},
				turns: 1, deadline: 20 * time.Second, once: true,
			},
			{
				model: "catalogue", share: 0.20, first: sizes{300, 900}, later: sizes{60, 150}, output: sizes{150, 350},
				turns: 6, pause: 15 * time.Second, deadline: 8 * time.Second,
			},
			{
				model: "catalogue", share: 0.15, first: sizes{200, 400}, later: sizes{40, 80}, output: sizes{4, 10},
				turns: 5, pause: 10 * time.Second, deadline: 4 * time.Second,
			},
			{
				model: "catalogue", share: 0.15, first: sizes{500, 2500}, later: sizes{40, 150}, output: sizes{250, 500},
				turns: 7, pause: 30 * time.Second, deadline: 8 * time.Second,
			},
			{
				model: "prices", share: 0.40, first: sizes{10, 40}, later: sizes{1, 1}, output: sizes{1, 4},
				turns: 1, deadline: 2 * time.Second, priority: 1,
			},
		},
	}
)
