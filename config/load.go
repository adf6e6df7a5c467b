package config

import (
	"os"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// LoadNode reads and checks the settings file of a node. Errors are Invalid and name file and place.
func LoadNode(path string) (*NodeSettings, error) { return load(path, ParseNode) }

// LoadControl reads and checks the settings file of a control member. Errors are as for LoadNode.
func LoadControl(path string) (*ControlSettings, error) { return load(path, ParseControl) }

// LoadTarget reads and checks the settings file of a sample target. Errors are as for LoadNode.
func LoadTarget(path string) (*TargetSettings, error) { return load(path, ParseTarget) }

// LoadServices reads and checks a services file. Errors are as for LoadNode.
func LoadServices(path string) (*api.Services, error) { return load(path, ParseServices) }

// ParseNode parses and checks the settings of a node and fills in defaults. Errors are Invalid.
func ParseNode(data []byte) (*NodeSettings, error) { return parse(data, (*NodeSettings).Check) }

// ParseControl parses and checks the settings of a control member and fills in defaults. Errors are Invalid.
func ParseControl(data []byte) (*ControlSettings, error) {
	return parse(data, (*ControlSettings).Check)
}

// ParseTarget parses and checks the settings of a sample target and fills in defaults. Errors are Invalid.
func ParseTarget(data []byte) (*TargetSettings, error) { return parse(data, (*TargetSettings).Check) }

// ParseServices parses and checks a services file and fills in defaults. Errors are Invalid.
func ParseServices(data []byte) (*api.Services, error) { return parse(data, CheckServices) }

func load[T any](path string, parse func([]byte) (*T, error)) (*T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errkind.New(errkind.Invalid, "%v", err)
	}
	v, err := parse(data)
	if err != nil {
		e := errkind.From(err)
		return nil, errkind.New(e.Kind, "%s: %s", path, e.Message)
	}
	return v, nil
}

func parse[T any](data []byte, check func(*T) error) (*T, error) {
	v := new(T)
	if err := decodeStrict(data, v); err != nil {
		return nil, err
	}
	if err := check(v); err != nil {
		return nil, err
	}
	return v, nil
}
