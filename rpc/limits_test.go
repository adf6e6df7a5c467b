package rpc

import (
	"context"
	"encoding/gob"
	"errors"
	"io"
	"net"
	netrpc "net/rpc"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/internal/connlimit"
)

// echo is a receiver.
type echo struct{ hold chan struct{} }

// Text returns its argument.
func (e *echo) Text(text string, reply *string) error {
	*reply = text
	return nil
}

// Wait returns once the receiver is released.
func (e *echo) Wait(_ string, _ *string) error {
	<-e.hold
	return nil
}

func serve(t *testing.T, options ...Option) (address string, e *echo) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := NewServer(nil, options...)
	e = &echo{hold: make(chan struct{})}
	is.NoErr(s.Register("Echo", e))
	done := make(chan error, 1)
	ctx, stop := context.WithCancel(context.Background())
	go func() { done <- s.Serve(ctx, l) }()
	t.Cleanup(func() {
		stop()
		<-done
	})
	return l.Addr().String(), e
}

func call(address, text string) (reply string, err error) {
	c := NewClient(address, nil)
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	err = c.Call(ctx, "Echo.Text", text, &reply)
	return reply, err
}

// closes reports whether the server closes a connection on which these bytes arrive.
func closes(t *testing.T, address string, sent []byte) bool {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = conn.Write(sent)
	_ = conn.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
	_, err = io.Copy(io.Discard, conn)
	var timeout net.Error
	return !errors.As(err, &timeout) || !timeout.Timeout()
}

// Guards against lengths for which gob allocates memory before a message has arrived, against lengths that are no numbers, and
// against bounds that refuse messages inside them.
func TestMessagesAreBounded(t *testing.T) {
	is := is.New(t)
	address, _ := serve(t, WithMaxMessage(100_000))
	for _, n := range []int{0, 1, 127, 128, 255, 256, 65_536, 99_000} {
		text := strings.Repeat("x", n)
		reply, err := call(address, text)
		is.NoErr(err)
		is.Equal(reply, text)
	}
	_, err := call(address, strings.Repeat("x", 100_001))
	is.True(err != nil)
	is.True(closes(t, address, []byte{0xfd, 0x01, 0x86, 0xa1}))                         // 100,001 bytes
	is.True(!closes(t, address, []byte{0xfd, 0x01, 0x86, 0xa0}))                        // 100,000 bytes
	is.True(closes(t, address, []byte{0xf0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 0, 1, 2, 3, 4})) // 16 bytes of length
}

// Guards against peers that define types without end, which gob keeps.
func TestTypeDefinitionsAreBounded(t *testing.T) {
	is := is.New(t)
	c := &framedConn{slot: connlimit.Unlimited().Group("rpc", 0).Open(func(bool) bool { return true }), maxMessage: 1 << 20}
	definition := []byte{3, 0xff, 0x81, 0} // the number -65
	for range maxTypes {
		is.NoErr(c.scan(definition))
		is.NoErr(c.scan([]byte{3, 0xff, 0x82, 0})) // a value of type 65
	}
	is.Equal(c.types, maxTypes)
	is.Equal(c.scan(definition), errTooMany)
}

// Guards against a check of lengths that depends on how the bytes arrive.
func TestFramesInAnyPieces(t *testing.T) {
	is := is.New(t)
	var sent strings.Builder
	enc := gob.NewEncoder(&sent)
	for range 3 {
		is.NoErr(enc.Encode(netrpc.Request{ServiceMethod: strings.Repeat("m", 300), Seq: 1 << 40}))
	}
	for _, size := range []int{1, 2, 7, 1000} {
		c := &framedConn{slot: connlimit.Unlimited().Group("rpc", 0).Open(func(bool) bool { return true }), maxMessage: 1 << 20}
		rest := []byte(sent.String())
		for len(rest) > 0 {
			n := min(size, len(rest))
			is.NoErr(c.scan(rest[:n]))
			rest = rest[n:]
		}
		is.Equal(c.types, 1)
		is.True(!c.begun && c.complete)
	}
}

// Guards against a process that keeps what many peers have sent of messages, and against closing those with calls at work.
func TestIncompleteMessagesAreBounded(t *testing.T) {
	is := is.New(t)
	process := connlimit.New(connlimit.Limits{Connections: 30, RequestBytes: 1 << 20})
	address, e := serve(t, WithConnections(process.Group("rpc", 0)))
	c := NewClient(address, nil)
	defer c.Close()
	done := make(chan error, 1)
	go func() { done <- c.Call(t.Context(), "Echo.Wait", "", new(string)) }()
	time.Sleep(50 * time.Millisecond)
	for range 40 {
		conn, err := net.Dial("tcp", address)
		is.NoErr(err)
		defer conn.Close()
		_, _ = conn.Write([]byte{0xfd, 0x03, 0, 0, 1, 2, 3}) // of 196,608 bytes
	}
	_, err := call(address, "served beside them")
	is.NoErr(err)
	close(e.hold)
	is.NoErr(<-done)
}
