package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

// maxErrorText bounds the text of an error about an entry, which may quote it.
const maxErrorText = 256

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

// ParseInstances decodes an instance list. It leaves out entries that are invalid or name an
// instance again, and returns an error for each: if a single one made the list invalid, the
// whole fleet would no longer follow it. It returns ErrValue as err if the data is not a
// list, or if all of its entries are invalid. It ignores unknown fields, as the fleet does
// not control the platform's versions.
func ParseInstances(data []byte) (list []kernel.Instance, invalid []error, err error) {
	entries, err := elements(data)
	if err != nil {
		return nil, nil, err
	}
	seen := make(map[string]bool, len(entries))
	for i, data := range entries {
		var e Instance
		err := json.Unmarshal(data, &e)
		if err == nil {
			err = e.check(seen)
		}
		if err != nil {
			invalid = append(invalid, fmt.Errorf("%w: instances[%d]: %.*s", ErrValue, i, maxErrorText, err.Error()))
			continue
		}
		list = append(list, kernel.Instance(e))
	}
	if len(list) == 0 && len(invalid) > 0 {
		return nil, nil, invalid[0]
	}
	return list, invalid, nil
}

// check returns an error if the entry is invalid or names an instance that was seen.
func (e *Instance) check(seen map[string]bool) error {
	switch {
	case e.Name == "" || e.Addr.Port() == 0:
		return errors.New("name and addr are needed")
	case seen[e.Name]:
		return fmt.Errorf("%q is given twice", e.Name)
	}
	seen[e.Name] = true
	return nil
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
	list := make([]kernel.Instance, len(decoded.Instances))
	seen := make(map[string]bool, len(list))
	for i, e := range decoded.Instances {
		if err := e.check(seen); err != nil {
			return kernel.Instances{}, fmt.Errorf("%w: instances[%d]: %v", ErrValue, i, err)
		}
		list[i] = kernel.Instance(e)
	}
	return kernel.Instances{Version: decoded.Version, List: list}, nil
}
