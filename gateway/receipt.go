package gateway

import (
	"net/http"
	"sync"
	"time"
)

// receiptShare is the part of the probe interval after which the owner's node confirms the receipt of an
// attempt that is still under way.
const receiptShare = 0.6

// receipt confirms to the first node, by an interim response on the connection of the hop, that an attempt has
// been received. The first node then need not ask over a connection of its own.
//
// Load pattern: in a large fleet two nodes rarely exchange requests, so that nearly each query needs a new
// connection, and half of the requests take longer than the probe interval.
type receipt struct {
	mu    sync.Mutex
	w     http.ResponseWriter
	timer *time.Timer
}

// startReceipt confirms the receipt after the delay unless stop is called before. The response to r must not be
// touched before stop returns; the headers set until now are sent with the confirmation.
func startReceipt(w http.ResponseWriter, r *http.Request, delay time.Duration) (stop func()) {
	if r.Header.Get("Expect") != "" {
		return func() {} // reading the body sends an interim response of its own
	}
	c := &receipt{w: w}
	c.timer = time.AfterFunc(delay, c.send)
	return c.stop
}

func (c *receipt) send() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.w != nil {
		c.w.WriteHeader(http.StatusProcessing)
	}
}

func (c *receipt) stop() {
	c.timer.Stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.w = nil
}
