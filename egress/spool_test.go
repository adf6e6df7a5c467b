package egress

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"
)

// readAll takes all chunks of a spool.
func readAll(s *Spool) (got []byte, err error) {
	for {
		chunk, err := s.Next()
		if err != nil {
			return got, err
		}
		got = append(got, chunk...)
	}
}

// Guards against responses that are changed or cut off where the memory is used up, and against memory that is not
// returned.
func TestSpoolWithinMemory(t *testing.T) {
	for _, chunks := range []int64{0, 1, 3, 100} {
		for _, length := range []int64{10*ChunkSize + 17, 10 * ChunkSize, -1} {
			is := is.New(t)
			memory := &Memory{limit: chunks * ChunkSize}
			size := length
			if size < 0 {
				size = 5*ChunkSize + 3
			}
			text := bytes.Repeat([]byte("0123456789abcdef!"), int(size)/17+1)[:size]
			done := make(chan struct{})
			s := NewSpool(iotest.HalfReader(bytes.NewReader(text)), length, memory, func() { close(done) })
			got, err := readAll(s)
			is.Equal(err, io.EOF)
			is.True(bytes.Equal(got, text))
			<-done
			s.Close(func() { t.Error("nothing is being read") })
			is.Equal(memory.Used(), int64(0))
		}
	}
}

// Guards against a truncated response that counts as complete.
func TestTruncatedResponseIsNoEnd(t *testing.T) {
	is := is.New(t)
	broken := errors.New("reset")
	for want, from := range map[error]io.Reader{
		io.ErrUnexpectedEOF: bytes.NewReader(make([]byte, 50_000)),
		broken:              io.MultiReader(bytes.NewReader(make([]byte, 50_000)), iotest.ErrReader(broken)),
	} {
		s := NewSpool(from, 60_000, &Memory{limit: 1 << 20}, func() { t.Error("counts as complete") })
		_, err := readAll(s)
		is.Equal(err, want)
		s.Close(func() {})
	}
}

// Guards against memory that stays booked, and a goroutine that goes on, after the caller has left in the middle of a
// response: while the target sends, and while there is no memory.
func TestCloseFreesMemory(t *testing.T) {
	for _, chunks := range []int64{1, 3} {
		is := is.New(t)
		memory := &Memory{limit: chunks * ChunkSize}
		from, to := io.Pipe()
		go func() { _, _ = to.Write(make([]byte, 3*ChunkSize)) }()
		s := NewSpool(from, 10*ChunkSize, memory, func() { t.Error("counts as complete") })
		_, err := s.Next()
		is.NoErr(err)
		s.Close(func() { _ = from.Close() })
		is.Equal(memory.Used(), int64(0))
	}
}

// Guards against a place in the order that is kept for a caller that has left.
func TestCallerThatLeavesFreesItsPlace(t *testing.T) {
	is := is.New(t)
	l := NewLink(Options{LinkMbps: 0.001, MemoryLimit: 1 << 20}) // one chunk takes two minutes
	is.Equal(l.Memory().limit, int64(1<<20/memoryDivisor))
	var t1, t2 Transfer
	l.Open(&t1, 2*ChunkSize)
	l.Open(&t2, ChunkSize)
	is.NoErr(l.Wait(t.Context(), &t1, ChunkSize))
	ctx, leave := context.WithCancel(t.Context())
	time.AfterFunc(10*time.Millisecond, leave)
	is.Equal(l.Wait(ctx, &t2, ChunkSize), context.Canceled)
	is.Equal(len(l.scheduler.waiting), 0)
	l.Close(&t2)
	is.Equal(l.Backlog(), int64(ChunkSize))
	l.Close(&t1)
	is.Equal(l.Backlog(), int64(0))
}
