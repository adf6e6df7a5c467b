package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/internal/wait"
	"github.com/zinniapier/zinniapier/telemetry"
)

const (
	// AnnounceInterval is the time between two announcements.
	AnnounceInterval = time.Second
	// announceTimeout bounds one announcement.
	announceTimeout = 500 * time.Millisecond
	// announceRetry is the pause after a failed announcement, so that a target is known soon
	// after its node has started.
	announceRetry = 100 * time.Millisecond
	// leaveTimeout bounds one request to leave; the node answers earlier and is asked again.
	leaveTimeout = 10 * time.Second
	// leaveRetry is the pause after a request to leave that failed.
	leaveRetry = 100 * time.Millisecond
)

// Announcer announces a target to the node on its host.
type Announcer struct {
	// Node is host:port of the node's announce listener.
	Node string
	// Announcement returns the current announcement, with the target's clock.
	Announcement func() api.Announcement
	// Client sends the announcements. Default: a client without a proxy.
	Client *http.Client
}

var announceClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}

// Serve announces the target every second until ctx ends, and returns the error of ctx.
// A node that cannot be reached is announced to again and again.
func (a *Announcer) Serve(ctx context.Context) error {
	failed := false
	for {
		pause := AnnounceInterval
		if err := a.announce(ctx); err != nil && ctx.Err() == nil {
			pause = announceRetry
			a.logFirst(failed, err)
			failed = true
		} else {
			failed = false
		}
		if !wait.For(ctx, pause) {
			return ctx.Err()
		}
	}
}

func (a *Announcer) logFirst(failed bool, err error) {
	if !failed {
		telemetry.Logger("target").WithError(err).Warn("Announcement failed.")
	}
}

func (a *Announcer) announce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	reply, err := a.post(ctx, api.PathAnnounce)
	if err != nil {
		return err
	}
	if !reply.Accepted {
		return errors.New("the node did not accept the announcement")
	}
	return nil
}

// Leave asks the node to drain the target and returns when the target owns nothing and runs
// nothing, or with the error of ctx.
func (a *Announcer) Leave(ctx context.Context) error {
	for {
		left, err := a.leaveOnce(ctx)
		if left {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Annotate(ctx.Err(), "leave")
		}
		if err != nil && !wait.For(ctx, leaveRetry) {
			return errors.Annotate(err, "leave")
		}
	}
}

func (a *Announcer) leaveOnce(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	reply, err := a.post(ctx, api.PathLeave)
	return reply.Left, err
}

func (a *Announcer) post(ctx context.Context, path string) (api.AnnouncementReply, error) {
	var reply api.AnnouncementReply
	body, err := json.Marshal(a.Announcement())
	if err != nil {
		return reply, errors.Trace(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.Node+path, bytes.NewReader(body))
	if err != nil {
		return reply, errors.Trace(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.client().Do(req)
	if err != nil {
		return reply, errors.Trace(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 1<<16))
	if err != nil {
		return reply, errors.Trace(err)
	}
	if resp.StatusCode != http.StatusOK {
		return reply, errors.Errorf("%s answered %s: %s", path, resp.Status, text)
	}
	return reply, errors.Trace(json.Unmarshal(text, &reply))
}

func (a *Announcer) client() *http.Client {
	if a.Client != nil {
		return a.Client
	}
	return announceClient
}
