package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

func init() { cases["otherwriter"] = otherWriter }

// otherWriter has a heartbeat of another writer reach a node, with fields missing. It names no endpoint to use.
func otherWriter(w *world, trouble bool) (bool, error) {
	if err := w.up(); err != nil {
		return false, err
	}
	m, e := w.sides[0], w.endpoints[0]
	before := time.Now()
	err := w.eventually("a heartbeat is answered", 5*time.Second, func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.answered.After(before)
	})
	if err != nil {
		return false, err
	}
	at := time.Now()
	if trouble {
		if err := w.foreignBeat(m); err != nil {
			return false, err
		}
	}
	time.Sleep(8 * time.Second)
	return w.judgeHolders(at), nil
}

// foreignBeat sends a heartbeat without Zone, Version and WarmupLeft.
func (w *world) foreignBeat(m *machine) error {
	body, err := json.Marshal(map[string]any{
		"Service": m.service, "Address": m.address(appPort), "MaxConcurrency": 12, "State": "draining", "Sequence": 1, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+m.address(controlPort)+"/-/instances/i-other", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := beatClient.Do(req)
	if err != nil {
		return fmt.Errorf("heartbeat of another writer: %w", err)
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	w.rec.note("heartbeat of another writer", "body", string(body), "at", m.name, "status", resp.StatusCode, "answer", fmt.Sprintf("%.100q", text))
	return nil
}
