package bench

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/internal/wait"
)

// HeaderRequestID carries the id by which targets count repeated runs.
const HeaderRequestID = "X-Request-Id"

// statusOK bounds the status codes that count as served.
const statusOKLimit = 300

// Sample is the outcome of one request.
type Sample struct {
	Organisation api.OrganisationID
	Service      string
	ID           string
	Idempotent   bool
	// Arrival is the scheduled time since the start of the run.
	Arrival time.Duration
	// Latency counts from the scheduled arrival, so that a stalled generator hides nothing.
	Latency time.Duration
	// Late is by how much the generator sent after the scheduled arrival.
	Late   time.Duration
	Status int
	Kind   errkind.Kind // empty when served
	NotRun bool
	Broken bool // the answer was cut off or no answer came
}

// Served reports whether the caller got a whole successful answer.
func (s *Sample) Served() bool {
	return !s.Broken && s.Status >= http.StatusOK && s.Status < statusOKLimit
}

// Load sends requests of all organisations at their offered rates.
type Load struct {
	Deployment Deployment
	// Nodes are the caller addresses, host:port.
	Nodes []string
	// Keys holds the organisation key of each organisation.
	Keys     map[api.OrganisationID]string
	Duration time.Duration
	Seed     uint64
	// Timeout bounds one request.
	Timeout time.Duration
	// Skew sends the whole traffic of each organisation to a single node in the second half.
	Skew bool
}

type arrival struct {
	at     time.Duration
	tenant int
	pool   int
	key    int
	node   int
	id     string
}

// schedule draws Poisson arrivals of all organisations in order of time.
func (l *Load) schedule() []arrival {
	rng := rand.New(rand.NewPCG(l.Seed, 1))
	var list []arrival
	for t, tenant := range l.Deployment.Tenants {
		pickKey := keyPicker(rng, tenant)
		for at := time.Duration(0); ; {
			at += time.Duration(rng.ExpFloat64() / tenant.Offered * float64(time.Second))
			if at >= l.Duration {
				break
			}
			list = append(list, arrival{
				at:     at,
				tenant: t,
				pool:   l.pickPool(rng.Float64(), tenant),
				key:    pickKey(),
				node:   rng.IntN(len(l.Nodes)),
			})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].at < list[j].at })
	for i := range list {
		if l.Skew && list[i].at >= l.Duration/2 {
			list[i].node = list[i].tenant % len(l.Nodes)
		}
		list[i].id = fmt.Sprintf("r%d-%d", l.Seed, i)
	}
	return list
}

// keyPicker returns a function that draws the keys of an organisation.
func keyPicker(rng *rand.Rand, t OfferedTenant) func() int {
	if t.KeyExponent == 0 {
		return func() int { return rng.IntN(t.Keys) }
	}
	zipf := rand.NewZipf(rng, t.KeyExponent, 1, uint64(t.Keys-1))
	return func() int { return int(zipf.Uint64()) }
}

func (l *Load) pickPool(u float64, t OfferedTenant) int {
	if t.FirstServiceOnly {
		return 0
	}
	for i, pool := range l.Deployment.Services {
		if u < pool.Share {
			return i
		}
		u -= pool.Share
	}
	return 0
}

// Run sends the scheduled requests and returns their samples in order of arrival.
func (l *Load) Run(ctx context.Context) []Sample {
	arrivals := l.schedule()
	samples := make([]Sample, len(arrivals))
	transport := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: l.Timeout}
	var wg sync.WaitGroup
	start := time.Now()
	for i, a := range arrivals {
		if !wait.Until(ctx, start.Add(a.at)) {
			samples = samples[:i]
			break
		}
		wg.Go(func() { samples[i] = l.send(ctx, client, start, a) })
	}
	wg.Wait()
	return samples
}

func (l *Load) send(ctx context.Context, client *http.Client, start time.Time, a arrival) Sample {
	tenant := l.Deployment.Tenants[a.tenant]
	pool := l.Deployment.Services[a.pool]
	sample := Sample{Organisation: tenant.Organisation.ID, Service: pool.Service.Name, ID: a.id, Arrival: a.at}
	sample.Idempotent = pool.Method == http.MethodGet
	key := fmt.Sprintf("%s-%d", tenant.Organisation.ID, a.key)
	url := "http://" + l.Nodes[a.node] + strings.Replace(pool.Path, "{key}", key, 1)
	req, err := http.NewRequestWithContext(ctx, pool.Method, url, nil)
	if err != nil {
		sample.Broken = true
		return sample
	}
	req.Header.Set("Authorization", "Bearer "+l.Keys[tenant.Organisation.ID])
	req.Header.Set(HeaderRequestID, a.id)
	sample.Late = time.Since(start) - a.at
	l.receive(client, req, &sample)
	sample.Latency = time.Since(start) - a.at
	return sample
}

func (l *Load) receive(client *http.Client, req *http.Request, sample *Sample) {
	resp, err := client.Do(req)
	if err != nil {
		sample.Broken = true
		return
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		sample.Broken = true
	}
	sample.Status = resp.StatusCode
	sample.Kind = errkind.Kind(resp.Header.Get(errkind.HeaderKind))
	sample.NotRun = resp.Header.Get(errkind.HeaderNotRun) == "true"
}
