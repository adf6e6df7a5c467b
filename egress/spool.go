package egress

import (
	"io"
	"sync"
	"sync/atomic"
)

// Memory is the memory for responses that wait for the link.
type Memory struct {
	limit int64
	used  atomic.Int64
}

// reserve books a chunk and reports whether there was memory for it.
func (m *Memory) reserve() bool {
	if m.used.Add(ChunkSize) > m.limit {
		m.used.Add(-ChunkSize)
		return false
	}
	return true
}

func (m *Memory) release(chunks int) { m.used.Add(-int64(chunks) * ChunkSize) }

// Used returns the booked bytes.
func (m *Memory) Used() int64 { return m.used.Load() }

var buffers = sync.Pool{New: func() any { return new([ChunkSize]byte) }}

// Spool reads a response ahead of its transfer, so that the target is done with it early. Beyond the memory, it reads
// one chunk once all earlier ones have been taken.
type Spool struct {
	from   io.Reader
	memory *Memory
	length int64 // negative if unknown
	total  int64 // bytes read

	mu     sync.Mutex
	chunks []spooledChunk
	err    error // why reading ended; io.EOF after a complete response
	closed bool
	held   spooledChunk // the chunk that Next has returned

	readable chan struct{}
	taken    chan struct{}
	ended    chan struct{}
}

type spooledChunk struct {
	buffer *[ChunkSize]byte
	length int
	booked bool
}

// NewSpool starts to read a response; a negative length means unknown. done is called after a complete read, before
// the last chunk is available. Close must be called.
func NewSpool(from io.Reader, length int64, memory *Memory, done func()) *Spool {
	s := &Spool{
		from: from, memory: memory, length: length,
		readable: make(chan struct{}, 1), taken: make(chan struct{}, 1), ended: make(chan struct{}),
	}
	go s.read(done)
	return s
}

func (s *Spool) read(done func()) {
	defer close(s.ended)
	for {
		booked, ok := s.awaitMemory()
		if !ok {
			return
		}
		c := spooledChunk{buffer: buffers.Get().(*[ChunkSize]byte), booked: booked}
		var err error
		c.length, err = s.fill(c.buffer[:])
		if err == io.EOF {
			done()
		}
		s.push(c, err)
		if err != nil {
			return
		}
	}
}

// fill reads a chunk: all of it, or what is there of a response of unknown length. Errors: io.EOF after a complete
// response, io.ErrUnexpectedEOF after one that is shorter than its length, those of the reader.
func (s *Spool) fill(chunk []byte) (n int, err error) {
	for n < len(chunk) && err == nil && (n == 0 || s.length >= 0) {
		var m int
		m, err = s.from.Read(chunk[n:])
		n += m
	}
	s.total += int64(n)
	if err == io.EOF && s.length >= 0 && s.total != s.length {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// awaitMemory returns once the next chunk may be read, and whether it is booked; ok is false after Close.
func (s *Spool) awaitMemory() (booked, ok bool) {
	for {
		s.mu.Lock()
		closed, empty := s.closed, len(s.chunks) == 0 && s.held.buffer == nil
		s.mu.Unlock()
		if closed {
			return false, false
		}
		if s.memory.reserve() {
			return true, true
		}
		if empty {
			return false, true
		}
		<-s.taken
	}
}

func (s *Spool) push(c spooledChunk, err error) {
	s.mu.Lock()
	if c.length > 0 && !s.closed {
		s.chunks = append(s.chunks, c)
	} else {
		s.free(c)
	}
	s.err = err
	s.mu.Unlock()
	notify(s.readable)
}

// Next returns the next chunk, which is valid until the next call, or the error that ended the response: io.EOF if it
// is complete.
func (s *Spool) Next() ([]byte, error) {
	for {
		s.mu.Lock()
		s.free(s.held)
		s.held = spooledChunk{}
		if len(s.chunks) > 0 {
			s.held, s.chunks = s.chunks[0], s.chunks[1:]
		}
		held, err := s.held, s.err
		s.mu.Unlock()
		notify(s.taken)
		if held.buffer != nil {
			return held.buffer[:held.length], nil
		}
		if err != nil {
			return nil, err
		}
		<-s.readable
	}
}

// Close frees the memory and returns once nothing is read any more. unblock must end a pending read.
func (s *Spool) Close(unblock func()) {
	s.mu.Lock()
	s.closed = true
	for _, c := range append(s.chunks, s.held) {
		s.free(c)
	}
	s.chunks, s.held = nil, spooledChunk{}
	ended := s.err != nil
	s.mu.Unlock()
	notify(s.taken)
	if !ended {
		unblock()
	}
	<-s.ended
}

// free returns the memory of a chunk. The caller holds the lock.
func (s *Spool) free(c spooledChunk) {
	if c.buffer == nil {
		return
	}
	buffers.Put(c.buffer)
	if c.booked {
		s.memory.release(1)
	}
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
