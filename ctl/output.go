package ctl

import (
	"encoding/json"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/zinniapier/zinniapier/errkind"
)

// print writes v as JSON, or the text form.
func (a *app) print(v any, text func(w io.Writer)) error {
	if !a.json {
		text(a.out)
		return nil
	}
	encoder := json.NewEncoder(a.out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(v); err != nil {
		return errkind.New(errkind.Internal, "%v", err)
	}
	return nil
}

// table writes rows in aligned columns.
func table(w io.Writer, rows ...[]string) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		_, _ = io.WriteString(t, strings.Join(row, "\t")+"\n")
	}
	_ = t.Flush()
}
