package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/internal/routematch"
)

// isMapRequest reports whether the node answers the request itself. The map belongs to the product's own protocol; callers that
// speak another dialect reach the route of its path.
func (g *Gateway) isMapRequest(r *http.Request) bool {
	_, own := g.dialect.(defaultDialect)
	return own && routematch.PathOf(r.URL) == api.PathMap
}

// serveMap sends the public map to a caller that addresses the owners' nodes directly. It needs no
// rate-limit token, since it reaches no target.
func (g *Gateway) serveMap(w http.ResponseWriter, r *http.Request, v *api.View) {
	if e := checkMapRequest(r, v); e != nil {
		g.refuse(w, r, nil, e)
		return
	}
	text, err := json.Marshal(publicMap(v))
	if err != nil {
		g.refuse(w, r, nil, errkind.New(errkind.Internal, "%v", err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	// A write error means that the caller has disconnected.
	_, _ = w.Write(text)
}

func checkMapRequest(r *http.Request, v *api.View) *errkind.Error {
	if r.Method != http.MethodGet {
		return errkind.New(errkind.NoRoute, "the map supports only GET")
	}
	if v.Configuration == nil || v.Index == nil || !v.LeaseValid(time.Now()) {
		return errkind.New(errkind.NoLease, "session lease has expired")
	}
	if _, err := authenticate(v, keyDigest(bearerToken(r.Header))); err != nil {
		return errkind.From(err)
	}
	return nil
}

func publicMap(v *api.View) *api.PublicMap {
	m := &api.PublicMap{Version: v.MapVersion}
	node := make(map[api.SessionID]int, len(v.Peers))
	for _, p := range v.Peers {
		if p.CallerAddr == "" {
			continue
		}
		node[p.Session] = len(m.Nodes)
		m.Nodes = append(m.Nodes, p.CallerAddr)
	}
	for i := range v.Configuration.Services.Services {
		m.Services = append(m.Services, publicService(v, &v.Configuration.Services.Services[i], node))
	}
	return m
}

func publicService(v *api.View, s *api.Service, node map[api.SessionID]int) api.PublicService {
	p := api.PublicService{Name: s.Name, Key: s.Key, Partitions: s.Partitions, Routes: s.Routes}
	if !s.Divided() {
		return p
	}
	p.Owners = make([]int, s.Partitions)
	for i := range p.Owners {
		p.Owners[i] = ownerNode(v.Owner(api.PartitionRef{Service: s.Name, Partition: i}), node)
	}
	return p
}

// ownerNode returns the index of the owner's node; -1 for none.
func ownerNode(a api.Assignment, node map[api.SessionID]int) int {
	if i, known := node[a.Session]; known && a.State == api.Granted {
		return i
	}
	return -1
}
