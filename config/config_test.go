package config

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// edit returns an example file with one text replaced; a text that is missing fails the test,
// so that no case silently checks the unchanged file.
func edit(t *testing.T, file, old, replacement string) []byte {
	t.Helper()
	data, err := os.ReadFile("../examples/" + file)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(data), old) {
		t.Fatalf("%s does not contain %q", file, old)
	}
	return []byte(strings.Replace(string(data), old, replacement, 1))
}

func parseFile(file string, data []byte) error {
	var err error
	switch file {
	case "node.json":
		_, err = ParseNode(data)
	case "control.json":
		_, err = ParseControl(data)
	case "target.json":
		_, err = ParseTarget(data)
	default:
		_, err = ParseServices(data)
	}
	return err
}

// TestExamplesLoad guards against examples that the loaders refuse.
func TestExamplesLoad(t *testing.T) {
	is := is.New(t)
	node, err := LoadNode("../examples/node.json")
	is.NoErr(err)
	is.Equal(node.Timing.LeaseMs, DefaultLeaseMs)
	is.Equal(node.InternalAdvertise, node.InternalListen)
	is.True(*node.Gate.ColdStart)
	control, err := LoadControl("../examples/control.json")
	is.NoErr(err)
	is.Equal(control.SnapshotEntries, DefaultSnapshotEntries)
	_, err = LoadTarget("../examples/target.json")
	is.NoErr(err)
	services, err := LoadServices("../examples/services.json")
	is.NoErr(err)
	is.Equal(services.Find("orders").DeadlineMs, DefaultDeadlineMs)
	is.Equal(services.Find("orders").Partitions, 0)
	_, err = LoadNode("../examples/absent.json")
	is.Equal(errkind.Of(err), errkind.Invalid)
}

// TestBadFilesAreRefused guards against a loader that accepts a wrong file or does not say where it is wrong.
func TestBadFilesAreRefused(t *testing.T) {
	cases := []struct{ name, file, old, replacement, want string }{
		{"syntax", "node.json", `"name": "host-a1",`, `"name": "host-a1";`, "line 2, column 20: invalid character ';'"},
		{"unexpected end", "node.json", "}\n}\n", "}\n", "unexpected end"},
		{"trailing data", "target.json", "}\n}\n", "}\n}\n{}", "line 11, column 1: invalid character '{' after"},
		{"unknown field", "node.json", `"queue":`, `"que":`, "line 10, column 12: gate.que: unknown field"},
		{"field name in other case", "node.json", `"queue":`, `"Queue":`, "gate.Queue: unknown field"},
		{"repeated field", "node.json", `"queue_length": 256`, `"queue": "fifo"`, "gate.queue: field given twice"},
		{"wrong type", "node.json", `256`, `"256"`, `gate.queue_length: the string "256" where a whole number`},
		{"fraction", "node.json", `256`, `2.5`, "gate.queue_length: 2.5 where a whole number"},
		{"null", "node.json", `256`, `null`, "gate.queue_length: null where"},
		{"object for list", "node.json", `["10.0.1.1:8091", "10.0.2.1:8091", "10.0.3.1:8091"]`, `{}`, "control_members: an object where a list"},
		{"list for object", "node.json", `{"level": "info"}`, `[]`, "log: a list where an object"},
		{"missing name", "node.json", `"host-a1"`, `""`, "name: missing"},
		{"bad zone", "node.json", `"zone-a"`, `"zone a"`, "availability_zone: "},
		{"host name", "node.json", `"10.0.1.11:8080"`, `"localhost:8080"`, "caller_listen: "},
		{"port zero", "node.json", `"10.0.1.11:8080"`, `"10.0.1.11:0"`, "caller_listen: "},
		{"no port", "node.json", `"10.0.1.11:8080"`, `"10.0.1.11"`, "caller_listen: "},
		{"missing address", "node.json", `"10.0.1.11:8082"`, `""`, "rpc_listen: missing"},
		{"advertised address missing", "node.json", `"10.0.1.11:8081"`, `"0.0.0.0:8081"`, "internal_advertise: missing"},
		{"advertised address unspecified", "node.json", `"name"`, `"rpc_advertise": "[::]:1", "name"`, "rpc_advertise: "},
		{"announce off loopback", "node.json", `"127.0.0.1:8083"`, `"10.0.1.11:8083"`, "announce_listen: "},
		{"bad status address", "node.json", `"127.0.0.1:8084"`, `"here"`, "status_listen: "},
		{"two listeners on one address", "node.json", `"10.0.1.11:8082"`, `"10.0.1.11:8081"`, "rpc_listen: "},
		{"no control members", "node.json", `["10.0.1.1:8091", "10.0.2.1:8091", "10.0.3.1:8091"]`, `[]`, "control_members: missing"},
		{"bad control member", "node.json", `"10.0.2.1:8091"`, `"b:8091"`, "control_members[1]: "},
		{"repeated control member", "node.json", `"10.0.2.1:8091"`, `"10.0.1.1:8091"`, "control_members[1]: "},
		{"log level", "node.json", `"info"`, `"loud"`, "log.level: "},
		{"trace level", "node.json", `"info"`, `"trace"`, "log.level: "},
		{"queue plug-in", "node.json", `"fair"`, `"fa ir"`, "gate.queue: "},
		{"queue length", "node.json", `256`, `-1`, "gate.queue_length: "},
		{"attempts", "node.json", `"attempts": 3`, `"attempts": 99`, "traffic.attempts: "},
		{"retry share", "node.json", `"retry_share": 0.1`, `"retry_share": 1.1`, "traffic.retry_share: "},
		{"hedge share", "node.json", `0.05`, `-0.1`, "traffic.hedge_share: "},
		{"limiter", "node.json", `"attempts": 3`, `"limiter": "none"`, "traffic.limiter: "},
		{"static limiter without nodes", "node.json", `"attempts": 3`, `"limiter": "static"`, "traffic.static_nodes: "},
		{"nodes without static limiter", "node.json", `"attempts": 3`, `"static_nodes": 3`, "traffic.static_nodes: "},
		{"body bound", "node.json", `"attempts": 3`, `"max_body_bytes": -1`, "traffic.max_body_bytes: "},
		{"head bound too low", "node.json", `"log"`, `"limits": {"max_header_bytes": 8192}, "log"`, "limits.max_header_bytes: 8192 is not between 16384 and 1048576"},
		{"head bound negative", "control.json", `"log"`, `"limits": {"max_header_bytes": -1}, "log"`, "limits.max_header_bytes: "},
		{"too few connections", "node.json", `"log"`, `"limits": {"max_connections": 10}, "log"`, "limits.max_connections: 10 is not between 64 and 1000000"},
		{"too many connections", "control.json", `"log"`, `"limits": {"max_connections": 1000001}, "log"`, "limits.max_connections: "},
		{"lease too short", "node.json", `"log"`, `"timing": {"lease_ms": 400}, "log"`, "timing.lease_ms: "},
		{"election order", "node.json", `"log"`, `"timing": {"election_min_ms": 300}, "log"`, "timing.election_max_ms: "},
		{"beat too long", "node.json", `"log"`, `"timing": {"raft_heartbeat_ms": 80}, "log"`, "timing.raft_heartbeat_ms: "},
		{"margin too long", "node.json", `"log"`, `"timing": {"drift_margin_ms": 700}, "log"`, "timing.drift_margin_ms: "},
		{"negative span", "control.json", `"log"`, `"timing": {"drain_limit_ms": -1}, "log"`, "timing.drain_limit_ms: "},
		{"one TLS file", "node.json", `"log"`, `"tls": {"key": "k.pem"}, "log"`, "tls.certificate: missing"},
		{"absent TLS file", "node.json", `"log"`, `"tls": {"key": "k", "certificate": "c", "authority": "a"}, "log"`, "tls.key: stat k"},
		{"TLS file without PEM", "node.json", `"log"`, `"tls": {"key": "tls.go", "certificate": "tls.go", "authority": "tls.go"}, "log"`, "tls.certificate: "},
		{"no data directory", "control.json", `"/var/lib/zinniapier"`, `""`, "data_dir: missing"},
		{"member not among peers", "control.json", `"name": "control-a",`, `"name": "control-x",`, `peers: "control-x"`},
		{"repeated peer", "control.json", `"control-b"`, `"control-a"`, "peers[1].name: "},
		{"repeated peer address", "control.json", `"10.0.2.1:8090"`, `"10.0.3.1:8090"`, "peers[2].operator_address: "},
		{"peer by host name", "control.json", `"10.0.2.1:8091"`, `"b:8091"`, "peers[1].rpc_address: "},
		{"advertised address not among peers", "control.json", `"data_dir"`, `"rpc_advertise": "10.0.9.1:1", "data_dir"`, "rpc_advertise: "},
		{"operator address not among peers", "control.json", `"data_dir"`, `"operator_advertise": "10.0.9.1:1", "data_dir"`, "operator_advertise: "},
		{"snapshot interval", "control.json", `"data_dir"`, `"snapshot_entries": 1, "data_dir"`, "snapshot_entries: "},
		{"no service", "target.json", `"quotes"`, `""`, "service: missing"},
		{"announce elsewhere", "target.json", `"127.0.0.1:8083"`, `"10.0.1.1:8083"`, "node_announce: "},
		{"no slots", "target.json", `20,`, `-1,`, "slots: "},
		{"cold slots beyond slots", "target.json", `"cold_slots": 2`, `"cold_slots": 21`, "cold_slots: "},
		{"ramp", "target.json", `2000`, `-1`, "ramp_ms: "},
		{"work", "target.json", `"ramp_ms": 2000`, `"work_ms": -1`, "work_ms: "},
		{"repeated service", "services.json", `"orders"`, `"quotes"`, "services[2].name: "},
		{"unknown dependency", "services.json", `["stock"]`, `["stick"]`, "services[1].depends_on[0]: "},
		{"repeated dependency", "services.json", `["stock"]`, `["stock", "stock"]`, "services[1].depends_on[1]: "},
		{"dependency on itself", "services.json", `["stock"]`, `["quotes"]`, "services[1].depends_on: dependency cycle: quotes -> quotes"},
		{"dependency cycle", "services.json", `"name": "stock",`, `"name": "stock", "depends_on": ["quotes"],`, "dependency cycle: stock -> quotes -> stock"},
		{"same route", "services.json", `"/open"`, `"/stock"`, "services[2].routes[1].prefix: "},
		{"same route of a host", "services.json", `{"prefix": "/open"`, `{"prefix": "/orders", "host": "X.example"}, {"prefix": "/orders", "host": "x.example"`, "services[2].routes[2].prefix: "},
		{"overlapping methods", "services.json", `{"prefix": "/stock"}`, `{"prefix": "/orders", "methods": ["GET", "POST"]}`, "services[2].routes[0].prefix: "},
		{"split to unknown service", "services.json", `{"prefix": "/stock"}`, `{"prefix": "/stock", "split": [{"service": "stick", "weight": 1}]}`, "services[0].routes[0].split[0].service: "},
		{"split with negative weight", "services.json", `{"prefix": "/stock"}`, `{"prefix": "/stock", "split": [{"service": "orders", "weight": 2}, {"service": "stock", "weight": -1}]}`, "services[0].routes[0].split[1].weight: "},
		{"split without weight", "services.json", `{"prefix": "/stock"}`, `{"prefix": "/stock", "split": [{"service": "stock"}]}`, "services[0].routes[0].split: "},
		{"no routes", "services.json", `[{"prefix": "/stock"}]`, `[]`, "services[0].routes: missing"},
		{"relative prefix", "services.json", `"/open"`, `"open"`, "services[2].routes[1].prefix: "},
		{"prefix with pattern", "services.json", `"/open"`, `"/open/*"`, "services[2].routes[1].prefix: "},
		{"prefix with slash at end", "services.json", `"/open"`, `"/open/"`, "services[2].routes[1].prefix: "},
		{"prefix with dots", "services.json", `"/open"`, `"/a/../open"`, "services[2].routes[1].prefix: "},
		{"method", "services.json", `["GET"]`, `["FETCH"]`, "services[2].routes[1].methods[0]: "},
		{"repeated method", "services.json", `["GET"]`, `["GET", "GET"]`, "services[2].routes[1].methods[1]: "},
		{"two key sources", "services.json", `"path_segment": 1`, `"path_segment": 1, "query": "id"`, "services[1].key: "},
		{"no key source", "services.json", `"path_segment": 1`, ``, "services[1].key: "},
		{"negative segment", "services.json", `"path_segment": 1`, `"path_segment": -1`, "services[1].key.path_segment: "},
		{"internal header as key", "services.json", `"path_segment": 1`, `"header": "zinnia-key"`, "services[1].key.header: "},
		{"header name", "services.json", `"path_segment": 1`, `"header": "a b"`, "services[1].key.header: "},
		{"partitions", "services.json", `64`, `-1`, "services[1].partitions: "},
		{"splits", "services.json", `"partitions": 64`, `"partitions": 64, "splits": [{"base": 0, "first": 64, "parts": 2}]`, "services[1].splits: "},
		{"partitions without key", "services.json", `"key": {"path_segment": 1},`, ``, "services[1].partitions: "},
		{"deadline", "services.json", `5000`, `-5`, "services[1].deadline_ms: "},
		{"grants by call without ranges", "services.json", `"name": "stock",`, `"name": "stock", "grants_by_call": true,`, "services[0].grants_by_call: "},
		{"placement plug-in", "services.json", `"deadline_ms": 5000`, `"placement": "a b"`, "services[1].placement: "},
		{"placement without key", "services.json", `"name": "stock",`, `"name": "stock", "placement": "balanced",`, "services[0].placement: "},
		{"target choice plug-in", "services.json", `"name": "stock",`, `"name": "stock", "target_choice": "-",`, "services[0].target_choice: "},
		{"target choice with key", "services.json", `"deadline_ms": 5000`, `"target_choice": "random"`, "services[1].target_choice: "},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			err := parseFile(c.file, edit(t, c.file, c.old, c.replacement))
			is.Equal(errkind.Of(err), errkind.Invalid)
			if !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %q, want a message with %q", err, c.want)
			}
		})
	}
}

// TestEveryProblemIsNamed guards against a check that stops at the first wrong field.
func TestEveryProblemIsNamed(t *testing.T) {
	is := is.New(t)
	data := edit(t, "node.json", `"host-a1"`, `""`)
	data = []byte(strings.Replace(string(data), `"fair"`, `"-"`, 1))
	err := parseFile("node.json", data)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "name: missing; "))
	is.True(strings.Contains(err.Error(), "gate.queue: "))
}

// TestSeparateMethodsShareAPrefix guards against refusing routes that cannot both match a request.
func TestSeparateMethodsShareAPrefix(t *testing.T) {
	is.New(t).NoErr(parseFile("services.json", edit(t, "services.json", `"/open"`, `"/orders"`)))
}

// Guards against a refusal of routes of two hosts that share a prefix: no request matches both.
func TestSeparateHostsShareAPrefix(t *testing.T) {
	is := is.New(t)
	services := func(hosts ...string) *api.Services {
		s := &api.Services{Services: []api.Service{{Name: "quotes"}}}
		for _, host := range hosts {
			s.Services[0].Routes = append(s.Services[0].Routes, api.Route{Prefix: "/quotes", Host: host})
		}
		return s
	}
	is.NoErr(CheckServices(services("a.example", "b.example", "")))
	is.True(CheckServices(services("a.example", "b.example", "A.example")) != nil)
	is.True(CheckServices(services("", "")) != nil)
}
