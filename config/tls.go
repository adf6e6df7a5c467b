package config

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/zinniapier/zinniapier/errkind"
)

// TLSPair is the mutual TLS configuration of one process. Both are nil for plain TCP.
type TLSPair struct {
	// Server requires a client certificate that the authority has signed.
	Server *tls.Config
	// Client presents the certificate and verifies the server against the authority.
	Client *tls.Config
}

// Load reads the files. Errors are Invalid and name the field. Without files both configurations are nil.
func (f TLSFiles) Load() (TLSPair, error) {
	if f == (TLSFiles{}) {
		return TLSPair{}, nil
	}
	if err := f.complete(); err != nil {
		return TLSPair{}, err
	}
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return TLSPair{}, errkind.New(errkind.Invalid, "tls.certificate: %v", err)
	}
	pool, err := loadAuthority(f.Authority)
	if err != nil {
		return TLSPair{}, err
	}
	return TLSPair{
		Server: &tls.Config{
			Certificates: []tls.Certificate{certificate},
			ClientAuth:   tls.RequireAndVerifyClientCert,
			ClientCAs:    pool,
			MinVersion:   tls.VersionTLS13,
		},
		Client: &tls.Config{
			Certificates: []tls.Certificate{certificate},
			RootCAs:      pool,
			MinVersion:   tls.VersionTLS13,
		},
	}, nil
}

func loadAuthority(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, errkind.New(errkind.Invalid, "tls.authority: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errkind.New(errkind.Invalid, "tls.authority: %s holds no PEM certificate", file)
	}
	return pool, nil
}

func (f TLSFiles) complete() error {
	p := &problems{}
	for _, file := range f.named() {
		if file.name == "" {
			p.add("tls."+file.field, "missing; all three files are set, or none")
		}
	}
	return p.err()
}

type tlsFile struct{ field, name string }

func (f TLSFiles) named() []tlsFile {
	return []tlsFile{{"certificate", f.Certificate}, {"key", f.Key}, {"authority", f.Authority}}
}

// tls checks that all files or none are named and that they load.
func (p *problems) tls(path string, f TLSFiles) {
	if f == (TLSFiles{}) {
		return
	}
	before := len(p.list)
	for _, file := range f.named() {
		at := path + "." + file.field
		if file.name == "" {
			p.add(at, "missing; all three files are set, or none")
			continue
		}
		if _, err := os.Stat(file.name); err != nil {
			p.add(at, "%v", err)
		}
	}
	if len(p.list) > before {
		return
	}
	if _, err := f.Load(); err != nil {
		p.list = append(p.list, errkind.From(err).Message)
	}
}
