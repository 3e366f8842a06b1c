package scaletest

import (
	"math"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat"
)

// term is something that a cost grows with.
type term struct {
	name  string
	value func(machines, controllers float64) float64
}

// What costs grow with. Costs that are a product of both numbers have a term for it.
var (
	fixedTerm        = term{"fixed", func(_, _ float64) float64 { return 1 }}
	ownedMachineTerm = term{"machine owned", func(m, c float64) float64 { return m / c }}
	machineTerm      = term{"machine of the fleet", func(m, _ float64) float64 { return m }}
	controllerTerm   = term{"controller", func(_, c float64) float64 { return c }}
	pairTerm         = term{"machine × controller", func(m, c float64) float64 { return m * c }}
)

// Fit is a cost as a sum of slopes times what it grows with, by least squares.
type Fit struct {
	Terms       []string
	Slopes      []float64
	RSquared    float64
	Points      int
	MaxResidual float64 // largest difference between a point and the fit

	terms []term
}

// fitCost fits a quantity over points. It needs at least one point more than terms.
func fitCost(points []Point, quantity func(r *Result) float64, terms []term) (*Fit, bool) {
	if len(points) <= len(terms) {
		return nil, false
	}
	x, y := mat.NewDense(len(points), len(terms), nil), mat.NewVecDense(len(points), nil)
	for row, p := range points {
		y.SetVec(row, quantity(p.Result))
		for column, t := range terms {
			x.Set(row, column, t.value(float64(p.Machines), float64(p.Controllers)))
		}
	}
	var slopes mat.VecDense
	if err := slopes.SolveVec(x, y); err != nil {
		return nil, false // the sizes do not tell the terms apart
	}
	f := &Fit{Points: len(points), terms: terms}
	for k, t := range terms {
		f.Terms, f.Slopes = append(f.Terms, t.name), append(f.Slopes, slopes.AtVec(k))
	}
	estimates, values := make([]float64, len(points)), make([]float64, len(points))
	for k, p := range points {
		estimates[k], values[k] = f.at(p.Machines, p.Controllers), y.AtVec(k)
		f.MaxResidual = max(f.MaxResidual, math.Abs(estimates[k]-values[k]))
	}
	f.RSquared = stat.RSquaredFrom(estimates, values, nil)
	return f, true
}

// at is what the fit says of a size.
func (f *Fit) at(machines, controllers int) (sum float64) {
	for k, t := range f.terms {
		sum += f.Slopes[k] * t.value(float64(machines), float64(controllers))
	}
	return sum
}
