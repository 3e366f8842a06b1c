package job

import (
	"encoding/base64"
	"fmt"
	"math/bits"
)

const (
	wordBits = 64 // bits per word of a bitmap
	byteBits = 8

	// TasksPerChunk is the number of tasks that one chunk of completed tasks covers. A chunk takes
	// 1366 bytes in base64, so that the first one fits into a record beside the spec at the
	// smallest size limit of a value, 2 KiB.
	TasksPerChunk = 8192

	wordsPerChunk = TasksPerChunk / wordBits
)

// ChunkCount returns the number of chunks of a job with the given number of tasks.
func ChunkCount(tasks int) int { return (tasks + TasksPerChunk - 1) / TasksPerChunk }

// TaskBitmap is a set of task indices. Copies share their contents.
type TaskBitmap struct{ words []uint64 }

// NewTaskBitmap returns an empty set for indices below n.
func NewTaskBitmap(n int) TaskBitmap {
	return TaskBitmap{words: make([]uint64, (n+wordBits-1)/wordBits)}
}

// Has reports whether an index is in the set.
func (b TaskBitmap) Has(index int) bool { return b.words[index/wordBits]&(1<<(index%wordBits)) != 0 }

// Add adds an index to the set.
func (b TaskBitmap) Add(index int) { b.words[index/wordBits] |= 1 << (index % wordBits) }

// Len returns the number of indices in the set.
func (b TaskBitmap) Len() int {
	n := 0
	for _, word := range b.words {
		n += bits.OnesCount64(word)
	}
	return n
}

// EncodeChunk returns the bytes of one chunk of the set in base64, in little-endian order and
// without trailing zero bytes.
func (b TaskBitmap) EncodeChunk(chunk int) string {
	start := min(chunk*wordsPerChunk, len(b.words))
	end := min(start+wordsPerChunk, len(b.words))
	var raw []byte
	length := 0 // without trailing zero bytes
	for _, word := range b.words[start:end] {
		for shift := 0; shift < wordBits; shift += byteBits {
			octet := byte(word >> shift)
			raw = append(raw, octet)
			if octet != 0 {
				length = len(raw)
			}
		}
	}
	return base64.RawStdEncoding.EncodeToString(raw[:length])
}

// LoadChunk adds the indices of an encoded chunk to the set. Indices beyond the size of the set are
// ignored.
func (b TaskBitmap) LoadChunk(chunk int, encoded string) error {
	raw, err := base64.RawStdEncoding.DecodeString(encoded)
	if err != nil {
		return fmt.Errorf("decoding chunk %d of completed tasks: %w", chunk, err)
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
