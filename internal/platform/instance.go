package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
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

// ParseInstances reads an instance list. It returns ErrValue where the list is
// not whole or names an instance twice.
func ParseInstances(data []byte) ([]kernel.Instance, error) {
	var entries []Instance
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&entries); err != nil {
		return nil, fmt.Errorf("%w: instances: %v", ErrValue, err)
	}
	if _, err := dec.Token(); entries == nil || !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("%w: instances: not one list", ErrValue)
	}
	list := make([]kernel.Instance, len(entries))
	seen := make(map[string]bool, len(entries))
	for i, e := range entries {
		switch {
		case e.Name == "" || !e.Addr.IsValid():
			return nil, fmt.Errorf("%w: instances[%d]: name and addr are needed", ErrValue, i)
		case seen[e.Name]:
			return nil, fmt.Errorf("%w: instances[%d]: %q is given twice", ErrValue, i, e.Name)
		}
		seen[e.Name] = true
		list[i] = kernel.Instance(e)
	}
	return list, nil
}
