package bulrushhinge

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/gateway"
)

// maxExplainQuery bounds the parameters of an explanation, in bytes.
const maxExplainQuery = 16 << 10

// serveExplain answers what this node would do with a request now, as JSON. It counts
// nothing.
func (g *Gateway) serveExplain(w http.ResponseWriter, r *http.Request) {
	x, err := g.explain(time.Now(), r.URL.RawQuery)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	data, err := json.MarshalIndent(x, "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the operator has disconnected.
	_, _ = w.Write(data)
}

// explain returns what this node would do with the request that some parameters
// describe. It returns gateway.ErrQuery if they are invalid.
func (g *Gateway) explain(now time.Time, params string) (gateway.Explanation, error) {
	q, err := parseExplainQuery(params)
	if err != nil {
		return gateway.Explanation{}, err
	}
	region, known := g.config.Regions[q.Zone]
	if q.Zone != "" && !known {
		return gateway.Explanation{}, fmt.Errorf("%w: zone: the settings name no zone %q", gateway.ErrQuery, q.Zone)
	}
	x, err := g.handler.Explain(now, q)
	if err != nil {
		return x, err
	}
	x.Node, x.Stopping = g.config.Node, g.stopping.Load()
	if q.Zone != "" {
		x.Nodes = g.nearest(gateway.Caller{Host: q.Host, Region: region, Zone: q.Zone})
		x.Nodes = x.Nodes[:min(len(x.Nodes), maxAddresses)]
	}
	return x, nil
}

// parseExplainQuery reads the parameters of an explanation. Each may be given once.
func parseExplainQuery(params string) (gateway.Query, error) {
	q := gateway.Query{Method: http.MethodGet}
	if len(params) > maxExplainQuery {
		return q, fmt.Errorf("%w: longer than %d bytes", gateway.ErrQuery, maxExplainQuery)
	}
	values, err := url.ParseQuery(params)
	if err != nil {
		return q, fmt.Errorf("%w: %v", gateway.ErrQuery, err)
	}
	texts := map[string]*string{
		"host": &q.Host, "path": &q.Path, "method": &q.Method, "account": &q.Account, "service": &q.Service, "zone": &q.Zone,
		"prompt": &q.Prompt, "model": &q.Model,
	}
	for name, list := range values {
		if len(list) > 1 {
			return q, fmt.Errorf("%w: %s: given %d times", gateway.ErrQuery, name, len(list))
		}
		value := list[0]
		switch {
		case texts[name] != nil:
			*texts[name] = value
		case name == "tokens":
			if q.Tokens, err = strconv.Atoi(value); err != nil {
				return q, fmt.Errorf("%w: tokens: %q is no number", gateway.ErrQuery, value)
			}
		case name == "deadline":
			if q.Deadline, err = time.ParseDuration(value); err != nil {
				return q, fmt.Errorf("%w: deadline: %q is no duration such as 1500ms", gateway.ErrQuery, value)
			}
		default:
			return q, fmt.Errorf("%w: %s: unknown parameter", gateway.ErrQuery, name)
		}
	}
	return q, nil
}
