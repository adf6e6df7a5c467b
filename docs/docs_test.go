// Package docs checks the reference pages against the code.
package docs

import (
	"fmt"
	"os"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/config"
	"github.com/zinniapier/zinniapier/errkind"
)

// rows returns the cells of the table rows below a heading.
func rows(t *testing.T, file, heading string) map[string][]string {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	_, section, found := strings.Cut(string(data), "\n## "+heading+"\n")
	if !found {
		t.Fatalf("%s has no section %q", file, heading)
	}
	section, _, _ = strings.Cut(section, "\n## ")
	table := make(map[string][]string)
	for line := range strings.Lines(section) {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		var cells []string
		for cell := range strings.SplitSeq(strings.Trim(strings.TrimSpace(line), "|"), " | ") {
			cells = append(cells, strings.TrimSpace(cell))
		}
		name := strings.Trim(cells[0], "`")
		if table[name] != nil {
			t.Errorf("%s: %s is listed twice", heading, name)
		}
		table[name] = cells
	}
	return table
}

// fields adds the path and the default of each field of v; lists are walked through their element type.
func fields(v reflect.Value, path string, out map[string]string) {
	if v.Kind() == reflect.Pointer {
		if v.IsNil() {
			v = reflect.Zero(v.Type().Elem())
			if v.Kind() != reflect.Struct {
				out[path] = ""
				return
			}
		} else {
			v = v.Elem()
		}
	}
	switch {
	case v.Kind() == reflect.Struct:
		structFields(v, path, out)
	case v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct:
		element := reflect.Zero(v.Type().Elem())
		if v.Len() > 0 {
			element = v.Index(0)
		}
		out[path] = ""
		fields(element, path+"[]", out)
	case v.Kind() != reflect.Bool && v.IsZero():
		out[path] = ""
	default:
		out[path] = fmt.Sprint(v.Interface())
	}
}

func structFields(v reflect.Value, path string, out map[string]string) {
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		if path != "" {
			name = path + "." + name
		}
		fields(v.Field(i), name, out)
	}
}

// exampleServices returns a service with a key, with all defaults filled in.
func exampleServices() api.Services {
	segment := 0
	s := api.Services{Services: []api.Service{{Name: "s", Key: &api.KeySource{PathSegment: &segment}}}}
	// The check refuses the service without routes after it has filled in the defaults.
	_ = config.CheckServices(&s)
	s.Services[0].Name, s.Services[0].Key = "", nil
	return s
}

// TestSettingsPage guards against a setting that the reference omits, invents or describes with another default.
func TestSettingsPage(t *testing.T) {
	for heading, defaults := range map[string]any{
		"zinnia-node":    config.DefaultNodeSettings(),
		"zinnia-control": config.DefaultControlSettings(),
		"zinnia-target":  config.DefaultTargetSettings(),
		"Services file":  exampleServices(),
	} {
		page := rows(t, "settings.md", heading)
		code := make(map[string]string)
		fields(reflect.ValueOf(defaults), "", code)
		for name, value := range code {
			checkDefault(t, heading, name, value, page[name])
		}
		for name := range page {
			if _, known := code[name]; !known && name != "services[].key" {
				t.Errorf("%s: the page describes %s, which does not exist", heading, name)
			}
		}
	}
}

func checkDefault(t *testing.T, heading, name, value string, cells []string) {
	t.Helper()
	switch {
	case len(cells) != 3 || cells[2] == "":
		t.Errorf("%s: the page lacks %s", heading, name)
	case value == "" || value == "false":
		if _, err := strconv.ParseFloat(strings.Trim(cells[1], "`"), 64); err == nil {
			t.Errorf("%s: the page gives %s the default %s; the code has none", heading, name, cells[1])
		}
	case cells[1] != "`"+value+"`":
		t.Errorf("%s: the page gives %s the default %s; the code has %s", heading, name, cells[1], value)
	}
}

// TestErrorKindsPage guards against an error kind without advice, and against a wrong status or "not run".
func TestErrorKindsPage(t *testing.T) {
	page := rows(t, "OPERATIONS.md", "Error kinds")
	for _, kind := range errkind.Kinds() {
		cells := page[string(kind)]
		if len(cells) != 5 {
			t.Errorf("the page lacks %s", kind)
			continue
		}
		notRun := map[bool]string{true: "yes", false: "no"}[kind.Answer().NotRun]
		if cells[1] != strconv.Itoa(kind.Answer().Status) || cells[2] != notRun {
			t.Errorf("%s: the page says %s, %s; the code says %d, %s", kind, cells[1], cells[2], kind.Answer().Status, notRun)
		}
	}
	if len(page) != len(errkind.Kinds()) {
		t.Errorf("the page has %d kinds, the code %d", len(page), len(errkind.Kinds()))
	}
}
