package control

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/config"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/placement"
)

const (
	// MaxBody is the limit of the body of an operator request in bytes.
	MaxBody = 4 << 20
	// operatorTimeout bounds the wait for the commit of an operator request.
	operatorTimeout = 4 * time.Second
	// statusTimeout bounds the wait for the control loop.
	statusTimeout = time.Second
)

// Paths of the operator listener.
const (
	PathStatus        = "/v1/status"
	PathConfiguration = "/v1/configuration"
	PathChanges       = "/v1/changes"
	PathMembers       = "/v1/members"
)

// endpoint serves one method of a path; body has been read and is at most MaxBody bytes.
type endpoint func(ctx context.Context, body []byte) (any, *errkind.Error)

// OperatorHandler returns the handler of the operator listener. A follower forwards requests to
// the leader once. Errors carry their errkind. The response to a refused change is an
// api.ChangeResult with the HTTP status and header of its error kind.
func (c *Control) OperatorHandler() http.Handler {
	mux := http.NewServeMux()
	c.route(mux, PathStatus, map[string]endpoint{http.MethodGet: c.getStatus})
	c.route(mux, PathConfiguration, map[string]endpoint{http.MethodGet: c.getConfiguration})
	c.route(mux, PathChanges, map[string]endpoint{http.MethodPost: c.postChange})
	c.route(mux, PathMembers, map[string]endpoint{http.MethodGet: c.getMembers, http.MethodPost: c.postMembers})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		errkind.WriteHTTP(w, errkind.New(errkind.NotFound, "unknown path %s", r.URL.Path))
	})
	return mux
}

func (c *Control) route(mux *http.ServeMux, path string, methods map[string]endpoint) {
	mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		serve, ok := methods[r.Method]
		if !ok {
			errkind.WriteHTTP(w, errkind.New(errkind.BadRequest, "method %s is not allowed on %s", r.Method, path))
			return
		}
		body, err := readBody(w, r)
		if err != nil {
			errkind.WriteHTTP(w, err)
			return
		}
		if err := checkOperator(r.Context()); err != nil {
			errkind.WriteHTTP(w, err)
			return
		}
		if c.forward(w, r, body) {
			return
		}
		response, err := serve(r.Context(), body)
		writeResponse(w, response, err)
	})
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *errkind.Error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, errkind.New(errkind.TooLarge, "request body exceeds %d bytes", MaxBody)
	}
	if err != nil {
		return nil, errkind.New(errkind.BadRequest, "read request body: %v", err)
	}
	return body, nil
}

func writeResponse(w http.ResponseWriter, response any, refusal *errkind.Error) {
	if refusal != nil {
		errkind.WriteHTTP(w, refusal)
		return
	}
	body, err := json.Marshal(response)
	if err != nil {
		errkind.WriteHTTP(w, errkind.New(errkind.Internal, "encode response: %v", err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if result, ok := response.(*api.ChangeResult); ok && result.Error != nil {
		w.Header().Set(errkind.HeaderKind, string(result.Error.Kind))
		w.WriteHeader(result.Error.Kind.Answer().Status)
	}
	// A write error means that the client has disconnected.
	_, _ = w.Write(body)
}

// decodeStrict parses a body of one JSON value and rejects unknown fields. Error: BadRequest.
func decodeStrict(body []byte, v any) *errkind.Error {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return errkind.New(errkind.BadRequest, "parse request body: %v", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return errkind.New(errkind.BadRequest, "parse request body: more than one JSON value")
	}
	return nil
}

// getStatus returns the status of this member; only the leader's includes nodes and tokens.
func (c *Control) getStatus(ctx context.Context, _ []byte) (any, *errkind.Error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, ran := runOnLoop(ctx, c, c.status)
	if !ran {
		return c.localStatus(), nil
	}
	return status, nil
}

func (c *Control) getConfiguration(context.Context, []byte) (any, *errkind.Error) {
	configuration, err := c.leaderConfiguration()
	if err != nil {
		return nil, err
	}
	return configuration, nil
}

func (c *Control) postChange(ctx context.Context, body []byte) (any, *errkind.Error) {
	change := &api.Change{}
	if err := decodeStrict(body, change); err != nil {
		return nil, err
	}
	if err := checkServices(change.Services); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	result, err := c.submitAsLeader(ctx, change)
	if err != nil {
		return nil, err
	}
	return result, nil
}

// checkServices fills in the defaults of services and validates them. zinniactl does so too, but
// other clients may submit changes. A nil s is valid. Error: Invalid.
func checkServices(s *api.Services) *errkind.Error {
	if s == nil {
		return nil
	}
	if err := config.CheckServices(s); err != nil {
		return errkind.From(err)
	}
	return checkPlacementPolicies(s)
}

// checkPlacementPolicies checks that the placement policies exist. The state machine cannot: members
// of different releases may have different policies, but it must decide the same on all of them.
func checkPlacementPolicies(s *api.Services) *errkind.Error {
	for _, v := range s.Services {
		if v.Placement == "" {
			continue
		}
		if _, err := placement.Policies.Get(v.Placement); err != nil {
			return errkind.New(errkind.Invalid, "service %q: %v", v.Name, err)
		}
	}
	return nil
}

// proposeError returns the errkind.Error for a failed proposal; NoQuorum when err is of another
// type. The entry may still be committed, so operators must retry with the same change id.
func proposeError(err error) *errkind.Error {
	var e *errkind.Error
	if errors.As(err, &e) {
		return e
	}
	return errkind.New(errkind.NoQuorum, "commit: %v", err)
}

func (c *Control) getMembers(context.Context, []byte) (any, *errkind.Error) {
	return c.members(), nil
}

func (c *Control) postMembers(ctx context.Context, body []byte) (any, *errkind.Error) {
	var m api.MemberChange
	if err := decodeStrict(body, &m); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	var err error
	switch {
	case m.Action == api.AddMember && m.Name != "" && m.Address != "":
		err = c.o.Log.AddMember(ctx, m.Name, m.Address)
	case m.Action == api.RemoveMember && m.ID != 0:
		err = c.o.Log.RemoveMember(ctx, m.ID)
	default:
		return nil, errkind.New(errkind.Invalid, "a member change must be add with name and address, or remove with id")
	}
	if err != nil {
		return nil, proposeError(err)
	}
	return c.members(), nil
}
