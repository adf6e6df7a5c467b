package config

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// writeCertificate writes a self-signed certificate, which is its own authority.
func writeCertificate(t *testing.T, name string) TLSFiles {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	is.NoErr(err)
	base := filepath.Join(t.TempDir(), name)
	f := TLSFiles{Certificate: base + ".crt", Key: base + ".key", Authority: base + ".crt"}
	is.NoErr(os.WriteFile(f.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	is.NoErr(os.WriteFile(f.Key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}), 0o600))
	return f
}

// exchange sends one byte from a client to a server and back, so that both ends have verified the other.
func exchange(t *testing.T, server, client *tls.Config) error {
	t.Helper()
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		buf := make([]byte, 1)
		if _, err := conn.Read(buf); err == nil {
			_, _ = conn.Write(buf)
		}
	}()
	conn, err := tls.Dial("tcp", l.Addr().String(), client)
	if err != nil {
		return err
	}
	defer conn.Close()
	if _, err := conn.Write([]byte{1}); err != nil {
		return err
	}
	_, err = conn.Read(make([]byte, 1))
	return err
}

// TestBothEndsAreVerified guards against a listener that takes callers without a certificate of the
// authority, and against a client that trusts any server.
func TestBothEndsAreVerified(t *testing.T) {
	is := is.New(t)
	own, err := writeCertificate(t, "own").Load()
	is.NoErr(err)
	other, err := writeCertificate(t, "other").Load()
	is.NoErr(err)
	is.NoErr(exchange(t, own.Server, own.Client))

	anonymous := own.Client.Clone()
	anonymous.Certificates = nil
	is.True(exchange(t, own.Server, anonymous) != nil)

	stranger := own.Client.Clone()
	stranger.Certificates = other.Client.Certificates
	is.True(exchange(t, own.Server, stranger) != nil)

	impostor := own.Server.Clone()
	impostor.Certificates = other.Server.Certificates
	is.True(exchange(t, impostor, own.Client) != nil)
}

// TestNoFilesMeansPlainTCP guards against a half-configured process.
func TestNoFilesMeansPlainTCP(t *testing.T) {
	is := is.New(t)
	pair, err := TLSFiles{}.Load()
	is.NoErr(err)
	is.True(pair.Server == nil && pair.Client == nil)
	_, err = TLSFiles{Key: "k"}.Load()
	is.True(err != nil)
}
