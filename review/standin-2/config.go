package main

import "encoding/json"

type (
	route struct {
		Name      string `json:"name"`
		Host      string `json:"host"`
		Prefix    string `json:"path_prefix"`
		Kind      string `json:"kind"`
		Timeout   int    `json:"timeout_ms"`
		Objective int    `json:"target_latency_ms"`
		Priority  int    `json:"priority"`
		Service   string `json:"service"`
		Attempts  int    `json:"max_attempts"`
		Public    bool   `json:"public"`
		Sticky    bool   `json:"sticky_sessions"`
		Resume    bool   `json:"stream_resume"`
		Gap       int    `json:"gap_aim_ms"`
	}

	service struct {
		Name        string `json:"name"`
		Health      string `json:"health_path"`
		Connections int    `json:"max_connections"`
		Protocol    string `json:"protocol"`
		TLS         bool   `json:"tls"`
	}
)

// Routes of the configuration, like those of the sheets.
var (
	streamRoute = route{Name: "r-stream", Host: host, Prefix: "/pufi791/", Kind: "streaming", Timeout: 12000, Objective: 800, Priority: 1, Service: "wuno96b", Attempts: 1, Gap: 300}
	unsafeRoute = route{Name: "r-unsafe", Host: host, Prefix: "/puxa403/", Kind: "unsafe", Timeout: 10000, Objective: 300, Priority: 2, Service: "wuno96b", Attempts: 1}
)

// configure writes the operator's configuration.
func (w *world) configure(version int, routes ...route) error {
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []service{{Name: "wuno96b", Health: "/health", Connections: 110, Protocol: "h1"}, {Name: "huvo11a", Health: "/health", Connections: 620, Protocol: "h1"}},
		"limits":   map[string]int{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": account, "api_keys": []string{apiKey}, "priority": 1}},
	})
	if err != nil {
		return err
	}
	w.store.put("op/config", data)
	return nil
}
