package route

import "math/bits"

const (
	// learnShare is the weight of the newest answer in an estimate.
	learnShare = 0.1
	// maxEstimates bounds the classes of requests that are told apart.
	maxEstimates = 1 << 12
)

type (
	// class is the requests whose answers are taken to be about as long.
	class struct {
		account string
		model   string
		// input and output are the magnitudes of the prompt and of the longest
		// answer that the caller allows.
		input  int
		output int
	}

	// estimates holds the mean length of answers by class.
	//
	// Callers allow far longer answers than they get. Were that counted as
	// load, endpoints would seem full of work that never comes, and the ones
	// with the longest limits would look the fullest.
	estimates struct {
		means map[class]float64
	}
)

func newEstimates() *estimates { return &estimates{means: map[class]float64{}} }

func classOf(r Request) class {
	return class{account: r.Account, model: r.Model, input: bits.Len(uint(r.Input)), output: bits.Len(uint(r.Output))}
}

// output is how long the answer to a request will probably be, in tokens.
func (e *estimates) output(r Request) int {
	if mean, ok := e.means[classOf(r)]; ok {
		return min(int(mean), r.Output)
	}
	return r.Output
}

// learn notes how long an answer was.
func (e *estimates) learn(r Request, output int) {
	c := classOf(r)
	mean, known := e.means[c]
	if !known {
		if len(e.means) >= maxEstimates {
			clear(e.means)
		}
		mean = float64(output)
	}
	e.means[c] = mean + learnShare*(float64(output)-mean)
}
