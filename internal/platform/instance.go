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

type (
	// Instance is an entry of the instance list as the platform writes it.
	Instance struct {
		Name    string              `json:"name"`
		Kind    kernel.InstanceKind `json:"kind"`
		Zone    string              `json:"zone"`
		Service string              `json:"service,omitempty"`
		Addr    netip.AddrPort      `json:"addr"`
		Peer    netip.AddrPort      `json:"peer,omitzero"`
		Leaving bool                `json:"leaving,omitempty"`
	}

	told struct {
		Version   uint64     `json:"version"`
		Instances []Instance `json:"instances"`
	}
)

// ParseInstances reads an instance list. It returns ErrValue where the list is
// not whole or names an instance twice. Fields that it does not know are left
// out: the platform is not the fleet's to version, and a list that every node
// refuses would blind the whole fleet.
func ParseInstances(data []byte) ([]kernel.Instance, error) {
	var entries []Instance
	dec := json.NewDecoder(bytes.NewReader(data))
	if err := dec.Decode(&entries); err != nil {
		return nil, fmt.Errorf("%w: instances: %v", ErrValue, err)
	}
	if _, err := dec.Token(); entries == nil || !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("%w: instances: not one list", ErrValue)
	}
	return checked(entries)
}

func checked(entries []Instance) ([]kernel.Instance, error) {
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

// EncodeList returns a list and its version as one node tells them to another.
func EncodeList(l kernel.Instances) ([]byte, error) {
	told := told{Version: l.Version, Instances: make([]Instance, len(l.List))}
	for i, instance := range l.List {
		told.Instances[i] = Instance(instance)
	}
	data, err := json.Marshal(told)
	if err != nil {
		return nil, fmt.Errorf("%w: instances: %v", ErrValue, err)
	}
	return data, nil
}

// ParseList reads what EncodeList returned. It returns ErrValue where that is
// malformed.
func ParseList(data []byte) (kernel.Instances, error) {
	var told told
	if err := json.Unmarshal(data, &told); err != nil {
		return kernel.Instances{}, fmt.Errorf("%w: instances: %v", ErrValue, err)
	}
	list, err := checked(told.Instances)
	return kernel.Instances{Version: told.Version, List: list}, err
}
