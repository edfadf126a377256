package standin

import (
	"encoding/json"
	"net/http"
	"slices"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
)

// orders is what the endpoint was ordered to.
type orders struct {
	last  endpoint.Order
	taken int
}

// Orders returns the last order that was accepted, and how many were.
func (e *Endpoint) Orders() (endpoint.Order, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders.last, e.orders.taken
}

// order takes an order. An endpoint that checks refuses a number that is not
// above the last, but for a repetition of the last order.
func (e *Endpoint) order(w http.ResponseWriter, r *http.Request) {
	var o endpoint.Order
	body := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	if err := json.NewDecoder(body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.obey(o) {
		w.WriteHeader(http.StatusConflict)
	}
	last, _ := e.Orders()
	_ = json.NewEncoder(w).Encode(endpoint.OrderReply{Fence: last.Fence})
}

func (e *Endpoint) obey(o endpoint.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	last := e.orders.last
	again := o.Fence == last.Fence && slices.Equal(o.Models, last.Models) && slices.Equal(o.Adapters, last.Adapters)
	if !e.config.Unfenced && o.Fence <= last.Fence && !again {
		return false
	}
	e.orders.last = o
	e.orders.taken++
	e.config.Models = o.Models
	return true
}
