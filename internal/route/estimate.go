package route

import "math/bits"

const (
	// sampleWeight is the weight of the newest answer in an estimate.
	sampleWeight = 0.1
	// maxClasses bounds the number of request classes.
	maxClasses = 1 << 12
)

type (
	// class identifies the requests whose answers are assumed to be equally long.
	class struct {
		account string
		model   string
		// input and output are the magnitudes (bit lengths) of the prompt and of the
		// longest answer that the caller allows.
		input  int
		output int
	}

	// estimates holds the mean length of answers by class.
	//
	// Callers allow far longer answers than they get. If the allowed length counted
	// as load, endpoints would seem full of work that never arrives, most of all
	// those whose requests have the highest limits.
	estimates struct {
		means map[class]float64
	}
)

func newEstimates() *estimates { return &estimates{means: map[class]float64{}} }

func classOf(r Request) class {
	return class{account: r.Account, model: r.Model, input: bits.Len(uint(r.Input)), output: bits.Len(uint(r.Output))}
}

// output is the estimated length of the answer to a request, in tokens.
func (e *estimates) output(r Request) int {
	if mean, ok := e.means[classOf(r)]; ok {
		return min(int(mean), r.Output)
	}
	return r.Output
}

// learn records the length of an answer.
func (e *estimates) learn(r Request, output int) {
	c := classOf(r)
	mean, known := e.means[c]
	if !known {
		if len(e.means) >= maxClasses {
			clear(e.means)
		}
		mean = float64(output)
	}
	e.means[c] = mean + sampleWeight*(float64(output)-mean)
}
