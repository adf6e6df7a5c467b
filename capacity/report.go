package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"
)

// WriteJSON writes the slopes as one JSON list.
func WriteJSON(out io.Writer, slopes []Slope) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return errors.Trace(encoder.Encode(slopes))
}

// WriteTable writes one line for each slope: its raw points and its fit.
func WriteTable(out io.Writer, slopes []Slope) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "runner\twhat\ty\tx\tpoints x:y\tintercept\tslope\tr2\tmethod")
	for _, s := range slopes {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%.4g\t%.4g\t%.3f\t%s\n",
			s.Runner, s.Name, s.Y, s.X, s.pointsText(), s.Fit.Intercept, s.Fit.Slope, s.Fit.R2, s.Method)
	}
	return errors.Trace(w.Flush())
}

func (s *Slope) pointsText() string {
	var list []string
	for _, p := range s.Points {
		list = append(list, fmt.Sprintf("%.0f:%.4g", p.X, p.Y))
	}
	return strings.Join(list, " ")
}
