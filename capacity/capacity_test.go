package capacity

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a fit that swaps the axes, loses the intercept or hides scattered points.
func TestFitLine(t *testing.T) {
	is := is.New(t)
	exact := FitLine([]Point{{1, 5}, {2, 7}, {4, 11}})
	is.True(math.Abs(exact.Slope-2) < 1e-9)
	is.True(math.Abs(exact.Intercept-3) < 1e-9)
	is.True(math.Abs(exact.R2-1) < 1e-9)
	is.True(math.Abs(exact.At(10)-23) < 1e-9)
	scattered := FitLine([]Point{{0, 0}, {1, 2}, {2, 1}})
	is.True(math.Abs(scattered.Slope-0.5) < 1e-9)
	is.True(math.Abs(scattered.Intercept-0.5) < 1e-9)
	is.True(math.Abs(scattered.R2-0.25) < 1e-9)
	is.Equal(FitLine([]Point{{3, 4}, {3, 6}}), Fit{Intercept: 5})
	is.Equal(FitLine(nil), Fit{})
}

func tinySizes() Sizes {
	return Sizes{
		Nodes: []int{2, 3, 4}, NodesHeld: 2,
		Targets:       []int{1, 2, 3},
		Organisations: []int{0, 1, 2},
		Partitions:    []int{16, 32, 64},
		PlanTargets:   []int{8, 16, 24},
		Updates:       []int{1, 2, 4},
		Peers:         []int{2, 4, 8},
		Entries:       []int{2, 4, 8},
		Steps:         []int{1, 2, 4},
		Requests:      []int{32, 64, 96},
		Members:       []int{1, 2, 3},
		Hosts:         []int{1, 2, 3},
		Beats:         20,
		Connections:   []int{2, 4, 8},
		Window:        200 * time.Millisecond,
		Loop:          2 * time.Millisecond,
		PlanLease:     400 * time.Millisecond,
		Commits:       4,
	}
}

// Guards against a runner that fails, or that returns too few points for a fit or values
// that cannot be costs, before somebody needs its figures.
func TestRunners(t *testing.T) {
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			slopes, err := Run(t.Context(), name, tinySizes())
			is.NoErr(err)
			is.True(len(slopes) > 0)
			for _, s := range slopes {
				is.True(len(s.Points) >= 3) // enough for a fit
				is.True(s.X != "" && s.Y != "" && s.Method != "" && s.Runner == name)
				for _, p := range s.Points {
					is.True(!math.IsNaN(p.Y) && !math.IsInf(p.Y, 0))
				}
				is.True(s.Method != MethodClock || s.Points[0].Y > 0)
			}
		})
	}
}

// Guards against a misspelt name that measures nothing and looks like a success.
func TestUnknownRunner(t *testing.T) {
	is := is.New(t)
	_, err := Run(t.Context(), "no-such-slope", tinySizes())
	is.True(err != nil)
}
