package capacity

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"

	"github.com/juju/errors"
)

// connections measures the memory of idle HTTP/1.1 connections with both of their ends in
// this process, as the hop between nodes keeps them.
func connections(ctx context.Context, z Sizes) ([]Slope, error) {
	s := Slope{Name: "idle connections, both ends", X: "connections", Y: "KB", Method: MethodHeap}
	for _, n := range z.Connections {
		y, err := idleConnections(ctx, n)
		if err != nil {
			return nil, err
		}
		s.add(n, y/1000)
	}
	return []Slope{s}, nil
}

// idleConnections opens n connections at once and returns the heap and stack that they
// hold when idle.
func idleConnections(ctx context.Context, n int) (float64, error) {
	arrived := make(chan struct{}, n)
	release := make(chan struct{})
	url, stop, err := serve(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-release
	}))
	if err != nil {
		return 0, err
	}
	defer stop()
	transport := &http.Transport{MaxIdleConnsPerHost: n}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	before := heapAndStacks()
	var wait sync.WaitGroup
	failures := make(chan error, n)
	for range n {
		wait.Go(func() { failures <- get(ctx, client, url) })
	}
	// All requests run at the same time, so that none reuses the connection of another.
	for range n {
		select {
		case <-arrived:
		case err := <-failures:
			close(release)
			return 0, errors.Annotate(err, "open connections")
		}
	}
	close(release)
	wait.Wait()
	return heapAndStacks() - before, nil
}

// serve answers HTTP on a free loopback port until stop is called.
func serve(handler http.Handler) (url string, stop func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, errors.Trace(err)
	}
	server := &http.Server{Handler: handler}
	// Serve returns when stop closes the server.
	go func() { _ = server.Serve(l) }()
	return "http://" + l.Addr().String(), func() { _ = server.Close() }, nil
}

func get(ctx context.Context, client *http.Client, url string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Trace(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return errors.Trace(err)
}

func heapAndStacks() float64 {
	live := liveHeap()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return live + float64(m.StackInuse)
}
