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

	versionedList struct {
		Version   uint64     `json:"version"`
		Instances []Instance `json:"instances"`
	}
)

// ParseInstances decodes an instance list. It returns ErrValue if the list is
// incomplete or names an instance twice. It ignores unknown fields: the fleet
// does not control the platform's versions, and if every node refused the list,
// the whole fleet would be without one.
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

// EncodeList encodes a list and its version for transfer between nodes.
func EncodeList(l kernel.Instances) ([]byte, error) {
	encoded := versionedList{Version: l.Version, Instances: make([]Instance, len(l.List))}
	for i, instance := range l.List {
		encoded.Instances[i] = Instance(instance)
	}
	data, err := json.Marshal(encoded)
	if err != nil {
		return nil, fmt.Errorf("%w: instances: %v", ErrValue, err)
	}
	return data, nil
}

// ParseList decodes what EncodeList returned. It returns ErrValue if the data
// is malformed.
func ParseList(data []byte) (kernel.Instances, error) {
	var decoded versionedList
	if err := json.Unmarshal(data, &decoded); err != nil {
		return kernel.Instances{}, fmt.Errorf("%w: instances: %v", ErrValue, err)
	}
	list, err := checked(decoded.Instances)
	return kernel.Instances{Version: decoded.Version, List: list}, err
}
