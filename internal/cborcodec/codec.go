// Package cborcodec encodes the messages of calls between nodes as CBOR.
package cborcodec

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
)

// Codec implements drpc.Encoding.
type Codec struct{}

// Marshal encodes a message.
func (Codec) Marshal(msg drpc.Message) ([]byte, error) {
	data, err := cbor.Marshal(msg)
	if err != nil {
		return nil, fmt.Errorf("cborcodec: %w", err)
	}
	return data, nil
}

// Unmarshal decodes a message.
func (Codec) Unmarshal(data []byte, msg drpc.Message) error {
	if err := cbor.Unmarshal(data, msg); err != nil {
		return fmt.Errorf("cborcodec: %w", err)
	}
	return nil
}
