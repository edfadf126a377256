package standin

import (
	"encoding/json"
	"net/http"
	"slices"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
)

// orders holds the last accepted order and how many were accepted.
type orders struct {
	last     endpoint.Order
	accepted int
}

// Orders returns the last accepted order and the number of accepted orders.
func (e *Endpoint) Orders() (endpoint.Order, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders.last, e.orders.accepted
}

// order serves POST /v1/orders. It answers 409 if the order is refused, and the
// fencing number of the last accepted order in any case.
func (e *Endpoint) order(w http.ResponseWriter, r *http.Request) {
	var o endpoint.Order
	body := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	if err := json.NewDecoder(body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.accept(o) {
		w.WriteHeader(http.StatusConflict)
	}
	last, _ := e.Orders()
	_ = json.NewEncoder(w).Encode(endpoint.OrderReply{Fence: last.Fence})
}

// accept accepts an order unless fencing is on and the fencing number is not above
// the last one. A repetition of the last order is accepted.
func (e *Endpoint) accept(o endpoint.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	last := e.orders.last
	repeated := o.Fence == last.Fence && slices.Equal(o.Models, last.Models) && slices.Equal(o.Adapters, last.Adapters)
	if !e.config.Unfenced && o.Fence <= last.Fence && !repeated {
		return false
	}
	e.orders.last = o
	e.orders.accepted++
	e.config.Models = o.Models
	return true
}
