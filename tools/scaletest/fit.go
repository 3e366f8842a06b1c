package scaletest

import (
	"math"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat"
)

// term is one explanatory variable of a linear cost model.
type term struct {
	name     string
	evaluate func(machines, controllers float64) float64
}

// The explanatory variables. Costs that grow with the product of the numbers of machines and of
// controllers use pairTerm.
var (
	fixedTerm        = term{"fixed", func(_, _ float64) float64 { return 1 }}
	ownedMachineTerm = term{"machine owned", func(m, c float64) float64 { return m / c }}
	machineTerm      = term{"machine of the fleet", func(m, _ float64) float64 { return m }}
	controllerTerm   = term{"controller", func(_, c float64) float64 { return c }}
	pairTerm         = term{"machine × controller", func(m, c float64) float64 { return m * c }}
)

// Fit is a least-squares fit of a cost: the sum over all terms of slope times value.
type Fit struct {
	Terms       []string
	Slopes      []float64
	RSquared    float64
	Points      int
	MaxResidual float64 // largest absolute difference between a point and the fit

	terms []term
}

// fitCost fits a quantity over points. It returns false if there are not more points than terms, or
// if the points do not determine the slopes.
func fitCost(points []Point, quantity func(r *Result) float64, terms []term) (*Fit, bool) {
	if len(points) <= len(terms) {
		return nil, false
	}
	design, observed := mat.NewDense(len(points), len(terms), nil), mat.NewVecDense(len(points), nil)
	for row, p := range points {
		observed.SetVec(row, quantity(p.Result))
		for column, t := range terms {
			design.Set(row, column, t.evaluate(float64(p.Machines), float64(p.Controllers)))
		}
	}
	var slopes mat.VecDense
	if err := slopes.SolveVec(design, observed); err != nil {
		return nil, false // the terms are linearly dependent at the measured sizes
	}
	f := &Fit{Points: len(points), terms: terms}
	for k, t := range terms {
		f.Terms, f.Slopes = append(f.Terms, t.name), append(f.Slopes, slopes.AtVec(k))
	}
	estimates, values := make([]float64, len(points)), make([]float64, len(points))
	for k, p := range points {
		estimates[k], values[k] = f.predict(p.Machines, p.Controllers), observed.AtVec(k)
		f.MaxResidual = max(f.MaxResidual, math.Abs(estimates[k]-values[k]))
	}
	f.RSquared = stat.RSquaredFrom(estimates, values, nil)
	return f, true
}

// predict returns the fitted cost at a number of machines and controllers.
func (f *Fit) predict(machines, controllers int) (sum float64) {
	for k, t := range f.terms {
		sum += f.Slopes[k] * t.evaluate(float64(machines), float64(controllers))
	}
	return sum
}
