package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

// Instance is an entry of the instance list as the platform writes it.
type Instance struct {
	Name    string              `json:"name"`
	Kind    kernel.InstanceKind `json:"kind"`
	Zone    string              `json:"zone"`
	Service string              `json:"service,omitempty"`
	Addr    netip.AddrPort      `json:"addr"`
	Peer    netip.AddrPort      `json:"peer,omitzero"`
	Leaving bool                `json:"leaving,omitempty"`
}

// ParseInstances reads an instance list.
func ParseInstances(data []byte) ([]kernel.Instance, error) {
	var entries []Instance
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&entries); err != nil {
		return nil, fmt.Errorf("%w: instances: %v", ErrValue, err)
	}
	list := make([]kernel.Instance, len(entries))
	for i, e := range entries {
		if e.Name == "" || !e.Addr.IsValid() {
			return nil, fmt.Errorf("%w: instances[%d]: name and addr are needed", ErrValue, i)
		}
		list[i] = kernel.Instance(e)
	}
	return list, nil
}
