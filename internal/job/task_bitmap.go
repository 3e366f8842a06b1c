package job

import (
	"encoding/base64"
	"fmt"
	"math/bits"
)

const (
	wordBits = 64 // bits in a word of a bitmap
	byteBits = 8

	// TasksPerChunk is how many tasks one chunk of completed tasks covers: in base64 it
	// stays well under half of any value limit, beside the spec.
	TasksPerChunk = 8192

	wordsPerChunk = TasksPerChunk / wordBits
)

// ChunkCount is the number of chunks for a job of so many tasks.
func ChunkCount(tasks int) int { return (tasks + TasksPerChunk - 1) / TasksPerChunk }

// TaskBitmap is a set of task indices. Copies share the indices.
type TaskBitmap struct{ words []uint64 }

// NewTaskBitmap returns an empty set for indices below n.
func NewTaskBitmap(n int) TaskBitmap {
	return TaskBitmap{words: make([]uint64, (n+wordBits-1)/wordBits)}
}

// Has reports whether an index is in the set.
func (b TaskBitmap) Has(index int) bool { return b.words[index/wordBits]&(1<<(index%wordBits)) != 0 }

// Add puts an index into the set.
func (b TaskBitmap) Add(index int) { b.words[index/wordBits] |= 1 << (index % wordBits) }

// Len is the number of indices in the set.
func (b TaskBitmap) Len() int {
	n := 0
	for _, word := range b.words {
		n += bits.OnesCount64(word)
	}
	return n
}

// EncodeChunk encodes one chunk of the set: its bytes, lowest first and without zeros at
// the end, in base64.
func (b TaskBitmap) EncodeChunk(chunk int) string {
	first := min(chunk*wordsPerChunk, len(b.words))
	last := min(first+wordsPerChunk, len(b.words))
	var raw []byte
	used := 0 // bytes up to the last that is not zero
	for _, word := range b.words[first:last] {
		for shift := 0; shift < wordBits; shift += byteBits {
			octet := byte(word >> shift)
			raw = append(raw, octet)
			if octet != 0 {
				used = len(raw)
			}
		}
	}
	return base64.RawStdEncoding.EncodeToString(raw[:used])
}

// LoadChunk adds an encoded chunk to the set. Indices beyond the set are left out.
func (b TaskBitmap) LoadChunk(chunk int, encoded string) error {
	raw, err := base64.RawStdEncoding.DecodeString(encoded)
	if err != nil {
		return fmt.Errorf("decoding finished tasks: %w", err)
	}
	const bytesPerWord = wordBits / byteBits
	for i, octet := range raw {
		word := chunk*wordsPerChunk + i/bytesPerWord
		if word < len(b.words) {
			b.words[word] |= uint64(octet) << (byteBits * (i % bytesPerWord))
		}
	}
	return nil
}
