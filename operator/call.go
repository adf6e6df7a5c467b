package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/internal/wait"
)

// maxAnswerBytes bounds an answer; the status of 18,000 nodes is about 10 MB.
const maxAnswerBytes = 256 << 20

type request struct {
	method, path string
	body         any
	// repeatable requests may be sent again after an attempt of unknown outcome.
	repeatable bool
}

// call tries the members in turn until one decides or the time is up.
func (c *Client) call(ctx context.Context, r request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	body, err := encode(r.body)
	if err != nil {
		return err
	}
	var last *errkind.Error
	for {
		for _, address := range c.addresses {
			err := c.try(ctx, address, r, body, reply)
			if err == nil {
				return nil
			}
			if ctx.Err() != nil && last != nil {
				return moreCertain(last, err)
			}
			if !tryNext(err, r.repeatable) {
				return err
			}
			last = moreCertain(last, err)
		}
		if !wait.For(ctx, roundPause) {
			return last
		}
	}
}

// moreCertain keeps an error of unknown outcome over a later one that says that nothing ran,
// since the earlier attempt may still have run.
func moreCertain(last, next *errkind.Error) *errkind.Error {
	if last != nil && !last.NotRun && next.NotRun {
		return last
	}
	return next
}

// tryNext reports whether another member may decide what this one did not.
func tryNext(err *errkind.Error, repeatable bool) bool {
	switch err.Kind {
	case errkind.NodeUnreachable, errkind.NotLeader, errkind.ShuttingDown, errkind.NoLease:
		return true
	case errkind.Unknown, errkind.NoQuorum:
		return repeatable
	default:
		return false
	}
}

func encode(body any) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, errkind.New(errkind.Internal, "%v", err)
	}
	return data, nil
}

// try sends the request to one member.
func (c *Client) try(ctx context.Context, address string, r request, body []byte, reply any) *errkind.Error {
	ctx, cancel := context.WithTimeout(ctx, c.attempt)
	defer cancel()
	// The reader without GetBody keeps the transport from resending by itself.
	req, err := http.NewRequestWithContext(ctx, r.method, c.scheme+"://"+address+r.path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return errkind.New(errkind.Invalid, "%v", err)
	}
	req.ContentLength = int64(len(body))
	if body == nil {
		req.Body = nil
	} else {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return linkError(address, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return errkind.New(errkind.Unknown, "answer of %s: %v", address, err)
	}
	return decode(address, resp.StatusCode, data, reply)
}

// linkError tells a failed dial, after which nothing was sent, from any later failure.
func linkError(address string, err error) *errkind.Error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errkind.New(errkind.NodeUnreachable, "%s: %v", address, op)
	}
	return errkind.New(errkind.Unknown, "no answer from %s: %v", address, err)
}

// decode fills reply, or returns the refusal that the answer carries.
func decode(address string, status int, data []byte, reply any) *errkind.Error {
	var refusal errkind.Error
	if status >= http.StatusBadRequest {
		if json.Unmarshal(data, &refusal) == nil && refusal.Kind.Valid() {
			return &refusal
		}
		var inner struct {
			Error *errkind.Error `json:"error"`
		}
		if json.Unmarshal(data, &inner) == nil && inner.Error != nil && inner.Error.Kind.Valid() {
			return inner.Error
		}
		return errkind.New(errkind.Unknown, "%s answered with status %d", address, status)
	}
	if len(data) == 0 {
		return nil
	}
	if err := json.Unmarshal(data, reply); err != nil {
		return errkind.New(errkind.Unknown, "answer of %s: %v", address, err)
	}
	return nil
}
