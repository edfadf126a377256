package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

const (
	// maxBuffered is the largest response that is buffered until it is
	// complete; a larger one is forwarded as it arrives.
	maxBuffered = 1 << 20
	// maxResponseBytes bounds the responses that are buffered at once, but for the first
	// freeResponseBytes of each. While they exceed it, further responses are forwarded
	// as they arrive.
	maxResponseBytes  = 32 << 20
	freeResponseBytes = 16 << 10
	// minChunk and maxChunk are the sizes of the parts in which a response is buffered.
	minChunk = 4 << 10
	maxChunk = 64 << 10
)

type (
	// responseMemory is the memory of the responses that a node buffers.
	responseMemory struct{ held atomic.Int64 }

	// responseBody is the body of a response, or its beginning. A list of chunks needs no
	// more memory while it grows.
	responseBody struct {
		memory *responseMemory
		chunks [][]byte
		size   int
		// room is how much the last chunk has left.
		room int
		held int64
	}
)

// read reads a response's body, and reports whether it is whole: a body that is too large,
// or for which there is no memory, has more to read.
func (m *responseMemory) read(resp *http.Response) (b *responseBody, whole bool, err error) {
	b = &responseBody{memory: m}
	for b.room > 0 || b.grow(resp.ContentLength) {
		last := b.chunks[len(b.chunks)-1]
		n, err := resp.Body.Read(last[len(last) : len(last)+b.room])
		b.chunks[len(b.chunks)-1] = last[:len(last)+n]
		b.size += n
		b.room -= n
		if errors.Is(err, io.EOF) {
			return b, true, nil
		}
		if err != nil {
			b.release()
			return nil, false, err
		}
	}
	return b, false, nil
}

// grow adds a chunk to a body of a length, which is negative if unknown, and reports
// whether it may.
func (b *responseBody) grow(length int64) bool {
	room := min(max(b.size, minChunk), maxChunk, maxBuffered-b.size)
	if length >= 0 {
		room = int(min(int64(room), max(length-int64(b.size), 1)))
	}
	if room == 0 || !b.hold(room) {
		return false
	}
	b.chunks, b.room = append(b.chunks, make([]byte, 0, room)), room
	return true
}

// hold reserves memory for a chunk, and reports whether there is enough.
func (b *responseBody) hold(size int) bool {
	if b.size+size <= freeResponseBytes {
		return true
	}
	if b.memory.held.Add(int64(size)) > maxResponseBytes {
		b.memory.held.Add(-int64(size))
		return false
	}
	b.held += int64(size)
	return true
}

// release frees the body's memory.
func (b *responseBody) release() {
	b.memory.held.Add(-b.held)
	b.chunks, b.held = nil, 0
}

// WriteTo implements io.WriterTo.
func (b *responseBody) WriteTo(w io.Writer) (int64, error) {
	written := int64(0)
	for _, chunk := range b.chunks {
		n, err := w.Write(chunk)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
