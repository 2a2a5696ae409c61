package scale

import (
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"caperwheel/internal/errs"
)

// plot draws the sweep: processor time, bytes, memory by role, and the time
// until a change is in force.
func (s Sweep) plot(file string, results []Result) error {
	grid := [][]*plot.Plot{{nil, nil}, {nil, nil}}
	for i, f := range []figure{figures[0], figures[2], figures[1]} {
		p := s.panel(f.name, f.unit)
		for k, role := range roles {
			if err := addLine(p, role, k, s.X(results), valuesOf(results, role, f)); err != nil {
				return err
			}
		}
		grid[i/2][i%2] = p
	}
	lag := s.panel("change in force at the last hollow adapter", "ms")
	if err := addLine(lag, "median", 0, s.X(results), lagsIn(results)); err != nil {
		return err
	}
	most := []float64{}
	for _, r := range results {
		most = append(most, float64(r.Most.Milliseconds()))
	}
	if err := addLine(lag, "most", 1, s.X(results), most); err != nil {
		return err
	}
	grid[1][1] = lag
	canvas := vgsvg.New(10*vg.Inch, 7*vg.Inch)
	tiles := draw.Tiles{Rows: 2, Cols: 2, PadX: vg.Millimeter * 4, PadY: vg.Millimeter * 4, PadTop: vg.Millimeter * 2,
		PadBottom: vg.Millimeter * 2, PadLeft: vg.Millimeter * 2, PadRight: vg.Millimeter * 4}
	for j, row := range plot.Align(grid, tiles, draw.New(canvas)) {
		for i, c := range row {
			grid[j][i].Draw(c)
		}
	}
	out, err := os.Create(file)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "plot")
	}
	defer out.Close()
	_, err = canvas.WriteTo(out)
	return errs.Wrap(err, errs.Internal, "plot")
}

func (s Sweep) panel(title, unit string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, s.Unit, unit
	p.X.Min, p.Y.Min = 0, 0
	p.Legend.Top, p.Legend.Left = true, true
	return p
}

func addLine(p *plot.Plot, name string, number int, x, y []float64) error {
	points := plotter.XYs{}
	for i := range x {
		points = append(points, plotter.XY{X: x[i], Y: y[i]})
	}
	line, marks, err := plotter.NewLinePoints(points)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "plot")
	}
	line.Color, marks.Color, marks.Shape = plotutil.Color(number), plotutil.Color(number), plotutil.Shape(number)
	p.Add(line, marks)
	p.Legend.Add(name, line, marks)
	return nil
}
