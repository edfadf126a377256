package endpoint

import "encoding/json"

// Headers between nodes and endpoints.
const (
	// HeaderAttempt is the attempt's ID; the endpoint repeats it in its answer.
	HeaderAttempt = "X-Attempt"
	// HeaderPriority is the request's priority; higher goes first.
	HeaderPriority = "X-Priority"
	// HeaderDeadline is the time left, as a Go duration.
	HeaderDeadline = "X-Deadline"
	// HeaderNotRun is set on a refusal if the endpoint ran nothing.
	HeaderNotRun = "X-Not-Run"
	// HeaderLeaving is set on all answers of an endpoint that leaves: its
	// incarnation, or 0 if it has none.
	HeaderLeaving = "X-Leaving"
	// HeaderBackoff is the backoff on a refusal: the number of seconds in which the
	// endpoint wants no requests from this node.
	HeaderBackoff = "Retry-After"
	// HeaderChat names the chat whose prefix the engine may reuse.
	HeaderChat = "X-Chat"
)

// DoneMark is the end mark of a complete stream. It is numbered like the chunks
// before it.
const DoneMark = "[DONE]"

type (
	// ChatRequest is the part of a chat completion request that nodes read. The
	// endpoint receives the caller's body unchanged.
	ChatRequest struct {
		Model     string    `json:"model"`
		Messages  []Message `json:"messages"`
		MaxTokens int       `json:"max_tokens,omitempty"`
		Stream    bool      `json:"stream,omitempty"`
	}

	// Message is one turn of a chat.
	Message struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}

	// Chunk is one event of a streamed answer.
	Chunk struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Model   string   `json:"model"`
		Choices []Choice `json:"choices"`
		Usage   *Usage   `json:"usage,omitempty"`
	}

	// Choice is a piece of the answer.
	Choice struct {
		Index        int     `json:"index"`
		Delta        Delta   `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	}

	// Delta is the text that a chunk adds.
	Delta struct {
		Role    string `json:"role,omitempty"`
		Content string `json:"content,omitempty"`
	}

	// Usage is the tokens that a request took.
	Usage struct {
		PromptTokens     int           `json:"prompt_tokens"`
		CompletionTokens int           `json:"completion_tokens"`
		TotalTokens      int           `json:"total_tokens"`
		PromptDetails    PromptDetails `json:"prompt_tokens_details"`
	}

	// PromptDetails is how much of a prompt the engine's cache held.
	PromptDetails struct {
		CachedTokens int `json:"cached_tokens"`
	}

	// LoadReport is an endpoint's own report.
	LoadReport struct {
		Requests int      `json:"requests"`
		Tokens   int      `json:"tokens"`
		Models   []string `json:"models"`
		Leaving  bool     `json:"leaving"`
		// Incarnation changes when the endpoint restarts; 0 if not reported.
		Incarnation uint64 `json:"incarnation,omitempty"`
		// Adapters and Role are those of the last order, Fence is the highest
		// fencing number that the endpoint has accepted.
		Adapters []string `json:"adapters,omitempty"`
		Role     string   `json:"role,omitempty"`
		Fence    uint64   `json:"fence,omitempty"`
	}
)
