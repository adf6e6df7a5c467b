package integration

import (
	"bufio"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"net/rpc"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/config"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/internal/cluster"
	"github.com/zinniapier/zinniapier/target"
)

// authority is a throwaway certificate authority.
type authority struct {
	t           *testing.T
	dir         string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t, dir: t.TempDir()}
	a.key = a.newKey()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der := a.sign(template, template, &a.key.PublicKey)
	a.certificate = template
	a.write("authority.pem", "CERTIFICATE", der)
	return a
}

func (a *authority) newKey() *ecdsa.PrivateKey {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	return key
}

func (a *authority) sign(template, parent *x509.Certificate, public *ecdsa.PublicKey) []byte {
	a.t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, template, parent, public, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	return der
}

func (a *authority) write(name, kind string, der []byte) string {
	a.t.Helper()
	file := filepath.Join(a.dir, name)
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	return file
}

// issue writes the files of a member that listens on loopback.
func (a *authority) issue(name string) config.TLSFiles {
	a.t.Helper()
	key := a.newKey()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	return config.TLSFiles{
		Certificate: a.write(name+".pem", "CERTIFICATE", a.sign(template, a.certificate, &key.PublicKey)),
		Key:         a.write(name+"-key.pem", "PRIVATE KEY", private),
		Authority:   filepath.Join(a.dir, "authority.pem"),
	}
}

// client returns a client configuration from files, which trusts the servers of the authority.
func (a *authority) client(files config.TLSFiles) *tls.Config {
	a.t.Helper()
	pair, err := files.Load()
	if err != nil {
		a.t.Fatal(err)
	}
	pair.Client.RootCAs = x509.NewCertPool()
	pair.Client.RootCAs.AddCert(a.parsed())
	return pair.Client
}

func (a *authority) parsed() *x509.Certificate {
	a.t.Helper()
	data, err := os.ReadFile(filepath.Join(a.dir, "authority.pem"))
	if err != nil {
		a.t.Fatal(err)
	}
	block, _ := pem.Decode(data)
	certificate, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		a.t.Fatal(err)
	}
	return certificate
}

// TestMutualTLS guards against internal links that do not work with certificates, and against
// internal listeners that serve a caller without one of the authority.
func TestMutualTLS(t *testing.T) {
	is := is.New(t)
	ours, foreign := newAuthority(t), newAuthority(t)
	c, key := start(t, cluster.Options{
		Control: 3, Hosts: hosts("a", "b"), EditTarget: warmTargets,
		EditControl: func(i int, s *config.ControlSettings) { s.TLS = ours.issue(s.Name) },
		EditNode:    func(i int, s *config.NodeSettings) { s.TLS = ours.issue(s.Name) },
	})
	s := &sender{key: key, method: "POST", deadline: 2000}
	for i := range 40 {
		is.Equal(s.send(t.Context(), c.Nodes[i%2], fmt.Sprintf("/quotes/post-%d", i)).kind, outcomeWhole)
	}
	// A silent hop is found out over the rpc listener, which so is shown to work.
	for _, l := range linksOf(c, cluster.Hop) {
		l.Silence()
	}
	for i := range 40 {
		is.Equal(s.send(t.Context(), c.Nodes[i%2], fmt.Sprintf("/quotes/post-%d", i)).kind, outcomeWhole)
	}
	// A change is committed by the quorum.
	is.True(c.Change(api.Change{Kind: api.PutOrganisation, Organisation: &api.Organisation{ID: "quay", Rate: 1, Burst: 1}}) > 0)

	own, other := ours.client(ours.issue("probe")), ours.client(foreign.issue("intruder"))
	none := own.Clone()
	none.Certificates = nil
	for _, n := range c.Nodes {
		checkInternal(t, n.Settings.InternalListen, own, none, other)
		checkRPC(t, n.Settings.RPCListen, "Node.Fate", &api.FateRequest{Attempt: "probe"}, &api.FateReply{}, own, none, other)
	}
	for _, m := range c.Control {
		checkRPC(t, m.Settings.RPCListen, "Control.Heartbeat", &api.HeartbeatRequest{}, &api.HeartbeatReply{}, own, none, other)
	}
	for _, k := range targetsOf(c, "quotes") {
		is.Equal(counters(k).RunsByRequest["forged"], 0) // no forged hop has run
	}
	checkOnce(t, s.outcomes(t), runs(counters(targetsOf(c, "quotes")[0]), counters(targetsOf(c, "quotes")[1])))
}

// checkInternal sends a forged hop with each client configuration. Only the first is that of a member.
func checkInternal(t *testing.T, address string, own, none, other *tls.Config) {
	t.Helper()
	if _, err := forgedHop(address, own); err != nil {
		t.Errorf("%s refuses a member: %v", address, err)
	}
	for name, config := range map[string]*tls.Config{"no certificate": none, "a foreign certificate": other, "no TLS": nil} {
		resp, err := forgedHop(address, config)
		// The TLS listener itself answers plain HTTP with 400 and no error kind.
		kind := errkind.Kind("")
		if err == nil {
			kind = errkind.Kind(resp.Header.Get(errkind.HeaderKind))
		}
		if err == nil && kind != errkind.UnknownMember && (kind != "" || resp.StatusCode != http.StatusBadRequest) {
			t.Errorf("%s answers a caller with %s: status %d %s", address, name, resp.StatusCode, kind)
		}
	}
}

// forgedHop sends a request with the headers of a hop.
func forgedHop(address string, config *tls.Config) (*http.Response, error) {
	conn, err := dialProbe(address, config)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/quotes/forged", http.NoBody)
	if err != nil {
		return nil, err
	}
	req.Header = http.Header{
		api.HeaderAttempt: {"forged"},
		api.HeaderHop: {api.Hop{
			Service: "quotes", Epoch: 1, Organisation: api.OrganisationID(organisation), DeadlineMs: 1000, ObjectiveMs: -1,
		}.String()},
		target.HeaderRequestID: {"forged"},
	}
	if err := req.Write(conn); err != nil {
		return nil, err
	}
	return http.ReadResponse(bufio.NewReader(conn), req)
}

// checkRPC calls a method with each client configuration; only the first may get an answer.
func checkRPC(t *testing.T, address, method string, args, reply any, own, none, other *tls.Config) {
	t.Helper()
	if err := callProbe(address, own, method, args, reply); err != nil {
		t.Errorf("%s of %s refuses a member: %v", method, address, err)
	}
	for name, config := range map[string]*tls.Config{"no certificate": none, "a foreign certificate": other, "no TLS": nil} {
		if err := callProbe(address, config, method, args, reply); err == nil {
			t.Errorf("%s of %s answers a caller with %s", method, address, name)
		}
	}
}

func callProbe(address string, config *tls.Config, method string, args, reply any) error {
	conn, err := dialProbe(address, config)
	if err != nil {
		return err
	}
	client := rpc.NewClient(conn)
	defer client.Close()
	err = client.Call(method, args, reply)
	if _, served := err.(rpc.ServerError); served {
		return nil // the method has answered, with an error of its own
	}
	return err
}

func dialProbe(address string, config *tls.Config) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if config == nil {
		return conn, nil
	}
	config = config.Clone()
	config.ServerName = "127.0.0.1"
	return tls.Client(conn, config), nil
}
